package process

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

// lookups sends idempotent calls and returns what became of them.
func (c *cluster) lookups(rate float64, duration time.Duration, seed uint64) (load.Report, []load.Result) {
	report, results, err := load.Run(context.Background(), load.Options{
		Addresses: c.callers(), CallerKey: callerKey, Kind: load.Lookups, Service: serviceName,
		Rate: rate, Duration: duration, Deadline: 5 * time.Second, MaxInFlight: 200, Seed: seed,
	})
	require.NoError(c.t, err)
	report.Seconds = nil
	c.t.Logf("%+v", report)
	return report, results
}

// TestPlatformOutage takes the platform away in each way and looks at what goes on:
// streams and lookups, while keyed calls are refused soon and truthfully.
func TestPlatformOutage(t *testing.T) {
	for _, mode := range []platform.DownMode{platform.DownRefuse, platform.DownReset, platform.DownHang} {
		t.Run(string(mode), func(t *testing.T) { platformOutage(t, mode) })
	}
}

func platformOutage(t *testing.T, mode platform.DownMode) {
	c := newCluster(t)
	c.putContract()
	c.putModel(groups(2))
	c.addEngine("h0", "f1", "a", "--tokens-per-second", "50")
	c.addEngine("h1", "f1", "a", "--tokens-per-second", "50")
	c.listHosts()
	c.addServices(2, []string{"a"})
	c.addDaemon("a", nil)
	c.addDaemon("a", nil)
	c.waitGroups(2)
	c.waitServing(2)

	c.faults(platform.Faults{Down: mode})
	lookedUp := make(chan load.Report, 1)
	go func() {
		report, _ := c.lookups(50, 6*time.Second, 21)
		lookedUp <- report
	}()
	keyed := c.keyedDuringOutage(20)
	report, results := c.streams(10, 5*time.Second, 22, nil)
	requireSound(t, results)
	require.Equal(t, report.Sent, report.Whole)
	lookups := <-lookedUp
	require.Equal(t, lookups.Sent, lookups.Whole)

	c.faults(platform.Faults{})
	c.keyedAfterOutage(keyed)
}

// refusedSoon bounds how long a keyed call may wait for a platform that is away.
const refusedSoon = 3 * time.Second

// keyedDuringOutage sends keyed calls, each of which must be refused without a run.
func (c *cluster) keyedDuringOutage(n int) []load.Call {
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	var calls []load.Call
	for i := range n {
		call := load.Call{
			Service: serviceName, Method: "POST", Path: "/new",
			Key: uuid.Must(uuid.NewV7()).String(), Body: []byte(`{"n":1}`),
		}
		calls = append(calls, call)
		if i >= 4 {
			continue // four wait out the refusal; the rest is asked for afterwards
		}
		result := caller.Call(context.Background(), c.daemons[i%len(c.daemons)].callers, call)
		require.Equal(c.t, 503, result.Status, "%+v", result)
		require.Equal(c.t, object.NotRun, result.AttemptOutcome, "%+v", result)
		require.Equal(c.t, object.Unknown, result.Outcome, "%+v", result)
		require.Less(c.t, result.Latency, refusedSoon)
	}
	return calls
}

// keyedAfterOutage asks for the same keys again: each runs now, once.
func (c *cluster) keyedAfterOutage(calls []load.Call) {
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	for i, call := range calls {
		until(c.t, "key "+call.Key+" completes", func() bool {
			return caller.Call(context.Background(), c.daemons[i%len(c.daemons)].callers, call).Outcome == object.Completed
		})
	}
	runs, _ := c.runsByKey()
	for _, call := range calls {
		require.EqualValues(c.t, 1, runs[call.Key])
	}
}

// outSoon bounds how long a data centre that was taken out may still receive new work.
const outSoon = 3 * time.Second

// runsIn adds up the runs of services and engines in a data centre.
func (c *cluster) runsIn(dataCentre string) int64 {
	c.t.Helper()
	var runs int64
	for i, s := range c.services {
		if c.serviceCentres[i] == dataCentre {
			runs += get[service.Stats](c.t, s.address, service.PathStats).Runs
		}
	}
	for _, h := range c.engines {
		if h.dataCentre == dataCentre {
			runs += h.stats(c.t).Runs
		}
	}
	return runs
}

// TestDataCentreLeavesAndReturns takes a data centre out and in again under load.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.putModel(groups(4))
	for i, dc := range []string{"a", "a", "b", "b"} {
		c.addEngine("h"+string(rune('0'+i)), "f-"+dc, dc, "--tokens-per-second", "50")
	}
	c.listHosts()
	c.addServices(4, []string{"a", "b"})
	for _, dc := range []string{"a", "b", "a"} {
		c.addDaemon(dc, nil)
	}
	c.waitGroups(4)
	c.waitServing(4)

	type outcome struct {
		report  load.Report
		results []load.Result
	}
	streamed, lookedUp := make(chan outcome, 1), make(chan outcome, 1)
	go func() {
		report, results := c.streams(15, 16*time.Second, 31, nil)
		streamed <- outcome{report, results}
	}()
	go func() {
		report, results := c.lookups(60, 16*time.Second, 32)
		lookedUp <- outcome{report, results}
	}()
	until(t, "data centre a takes work", func() bool { return c.runsIn("a") > 40 })

	accepted := time.Now()
	c.put(object.KindDataCentre, "a", &object.DataCentre{Out: true, Reason: "test"})
	last, lastChange := c.runsIn("a"), accepted
	for time.Since(accepted) < outSoon+2*time.Second {
		if runs := c.runsIn("a"); runs != last {
			last, lastChange = runs, time.Now()
		}
		time.Sleep(glance)
	}
	t.Logf("last new work in the data centre %s after it was taken out", lastChange.Sub(accepted))
	require.Less(t, lastChange.Sub(accepted), outSoon)

	c.put(object.KindDataCentre, "a", &object.DataCentre{RampSeconds: 2})
	back := time.Now()
	until(t, "data centre a takes work again", func() bool { return c.runsIn("a") > last+20 })
	t.Logf("20 requests ran in the data centre within %s of its return", time.Since(back))

	for _, ch := range []chan outcome{streamed, lookedUp} {
		o := <-ch
		requireSound(t, o.results)
		require.Equal(t, o.report.Sent, o.report.Whole)
	}
}
