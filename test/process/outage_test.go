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

// sendLookups sends idempotent calls at a rate for a duration, and returns the report and
// the result of each call.
func (c *cluster) sendLookups(rate float64, duration time.Duration, seed uint64) (load.Report, []load.Result) {
	report, results, err := load.Run(context.Background(), load.Options{
		Addresses: c.callersAddresses(), CallerKey: callerKey, Kind: load.Lookups, Service: serviceName,
		Rate: rate, Duration: duration, Deadline: 5 * time.Second, MaxInFlight: 200, Seed: seed,
	})
	require.NoError(c.t, err)
	report.Seconds = nil
	c.t.Logf("%+v", report)
	return report, results
}

// TestPlatformOutage makes the platform refuse, reset or hang. Streams and lookups must
// complete. Keyed calls must be refused within maxRefusalLatency with a truthful outcome,
// and complete when they are repeated after the outage.
func TestPlatformOutage(t *testing.T) {
	for _, mode := range []platform.DownMode{platform.DownRefuse, platform.DownReset, platform.DownHang} {
		t.Run(string(mode), func(t *testing.T) { platformOutage(t, mode) })
	}
}

func platformOutage(t *testing.T, mode platform.DownMode) {
	c := newCluster(t)
	c.putContract()
	c.putModel(withGroups(2))
	c.addEngine("h0", "f1", "a", "--tokens-per-second", "50")
	c.addEngine("h1", "f1", "a", "--tokens-per-second", "50")
	c.listHosts()
	c.addServices(2, []string{"a"})
	c.addDaemon("a", nil)
	c.addDaemon("a", nil)
	c.waitGroups(2)
	c.waitServing(2)

	c.setPlatformFaults(platform.Faults{Down: mode})
	lookedUp := make(chan load.Report, 1)
	go func() {
		report, _ := c.sendLookups(50, 6*time.Second, 21)
		lookedUp <- report
	}()
	keyed := c.sendKeyedDuringOutage(20)
	report, results := c.sendStreams(10, 5*time.Second, 22, nil)
	requireConsistent(t, results)
	require.Equal(t, report.Sent, report.Complete)
	lookups := <-lookedUp
	require.Equal(t, lookups.Sent, lookups.Complete)

	c.setPlatformFaults(platform.Faults{})
	c.sendKeyedAfterOutage(keyed)
}

// maxRefusalLatency is the longest time that a keyed call may wait for an unavailable
// platform before it is refused. The test fails above it.
const maxRefusalLatency = 3 * time.Second

// sendKeyedDuringOutage prepares n keyed calls and sends the first four, each of which must
// be refused without a run. It returns all n calls.
func (c *cluster) sendKeyedDuringOutage(n int) []load.Call {
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
			continue // four refusals are enough; the rest is sent after the outage
		}
		result := caller.Call(context.Background(), c.daemons[i%len(c.daemons)].callersAddress, call)
		require.Equal(c.t, 503, result.Status, "%+v", result)
		require.Equal(c.t, object.NotRun, result.AttemptOutcome, "%+v", result)
		require.Equal(c.t, object.Unknown, result.Outcome, "%+v", result)
		require.Less(c.t, result.Latency, maxRefusalLatency)
	}
	return calls
}

// sendKeyedAfterOutage sends the calls with the same keys until each completes. Each key
// must run exactly once.
func (c *cluster) sendKeyedAfterOutage(calls []load.Call) {
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	for i, call := range calls {
		waitUntil(c.t, "key "+call.Key+" completes", func() bool {
			return caller.Call(context.Background(), c.daemons[i%len(c.daemons)].callersAddress, call).Outcome == object.Completed
		})
	}
	runs, _ := c.runsByKey()
	for _, call := range calls {
		require.EqualValues(c.t, 1, runs[call.Key])
	}
}

// maxOutDelay is the longest time that a data centre may still receive new work after it
// was taken out. The test fails above it.
const maxOutDelay = 3 * time.Second

// runsInDataCentre returns how many requests the services and engines of a data centre have
// run.
func (c *cluster) runsInDataCentre(dataCentre string) int64 {
	c.t.Helper()
	var runs int64
	for i, s := range c.services {
		if c.serviceDataCentres[i] == dataCentre {
			runs += getJSON[service.Stats](c.t, s.address, service.PathStats).Runs
		}
	}
	for _, h := range c.engines {
		if h.dataCentre == dataCentre {
			runs += h.stats(c.t).Runs
		}
	}
	return runs
}

// TestDataCentreLeavesAndReturns takes a data centre out under load and puts it back. New
// work there must stop within maxOutDelay and start again after the return, and every
// stream and lookup must complete.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.putModel(withGroups(4))
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
		report, results := c.sendStreams(15, 16*time.Second, 31, nil)
		streamed <- outcome{report, results}
	}()
	go func() {
		report, results := c.sendLookups(60, 16*time.Second, 32)
		lookedUp <- outcome{report, results}
	}()
	waitUntil(t, "data centre a receives work", func() bool { return c.runsInDataCentre("a") > 40 })

	accepted := time.Now()
	c.put(object.KindDataCentre, "a", &object.DataCentre{Out: true, Reason: "test"})
	last, lastChange := c.runsInDataCentre("a"), accepted
	for time.Since(accepted) < maxOutDelay+2*time.Second {
		if runs := c.runsInDataCentre("a"); runs != last {
			last, lastChange = runs, time.Now()
		}
		time.Sleep(pollInterval)
	}
	t.Logf("last new request in the data centre %s after it was taken out", lastChange.Sub(accepted))
	require.Less(t, lastChange.Sub(accepted), maxOutDelay)

	c.put(object.KindDataCentre, "a", &object.DataCentre{RampSeconds: 2})
	back := time.Now()
	waitUntil(t, "data centre a receives work again", func() bool { return c.runsInDataCentre("a") > last+20 })
	t.Logf("20 requests ran in the data centre within %s of its return", time.Since(back))

	for _, ch := range []chan outcome{streamed, lookedUp} {
		o := <-ch
		requireConsistent(t, o.results)
		require.Equal(t, o.report.Sent, o.report.Complete)
	}
}
