package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

// TestPoisonRequestIsQuarantined sends a request that crashes every engine that runs it 20
// times, through different daemons, while ordinary streams run. The daemons must refuse it
// as quarantined from the fifth time on, and at most two engines may crash.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	c := streamCluster(t, 5, 3, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		caller := load.NewCaller(callerKey, 5*time.Second)
		defer caller.Close()
		for i := range 20 {
			result := caller.Generate(context.Background(), c.daemons[i%len(c.daemons)].callersAddress, engine.Request{
				Model: modelName, Prompt: "an innocent start {{crash}}", MaxTokens: 20, Stream: true,
			})
			if i > 3 && result.Code != "quarantined" {
				t.Errorf("request %d was not quarantined: %+v", i, result)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	report, results := c.sendStreams(10, 6*time.Second, 41, nil)
	<-done
	requireConsistent(t, results)
	var crashes int64
	for _, h := range c.engines {
		crashes += h.stats(t).Poisoned
	}
	t.Logf("%d engines crashed", crashes)
	require.LessOrEqual(t, crashes, int64(2))
	require.GreaterOrEqual(t, report.Complete, report.Sent*95/100)
}

// TestColdEnginesAreNotOverloaded checks that daemons together respect the cold limit. It
// sends a high load through four daemons to engines that crash when a cold one gets more than
// its limit. Engines crash and return cold without notice, and one daemon is killed and
// restarted; no engine may crash by overload.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	const coldLimit, warmAfter = 4, 20
	c.putModel(func(m *object.Model) {
		m.Groups = 4
		m.ColdLimit, m.WarmLimit, m.WarmAfter = coldLimit, 40, warmAfter
	})
	for i := range 4 {
		c.addEngine(fmt.Sprintf("h%d", i), "f1", "a", "--tokens-per-second", "100",
			"--cold-limit", fmt.Sprint(coldLimit), "--warm-after", fmt.Sprint(warmAfter))
	}
	c.listHosts()
	for range 4 {
		c.addDaemon("a", nil)
	}
	c.waitGroups(4)
	b := newBalancer(c)
	defer b.stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(3 * time.Second)
		c.engines[0].setFaults(t, engine.Faults{Crash: true})
		time.Sleep(2 * time.Second)
		c.daemons[3].kill()
		c.engines[1].setFaults(t, engine.Faults{Crash: true})
		time.Sleep(2 * time.Second)
		c.engines[2].setFaults(t, engine.Faults{Crash: true})
		c.daemons[3].start()
	}()
	_, results := c.sendStreams(80, 12*time.Second, 43, b.pick)
	<-done
	complete := 0
	for _, r := range results {
		require.False(t, r.Wrong, "%+v", r)
		if r.Complete {
			complete++
		}
	}
	var overloadCrashes int64
	for _, h := range c.engines {
		stats := h.stats(t)
		overloadCrashes += stats.OverloadCrashes
		t.Logf("%s: crashes by overload %d, peak cold %d, peak %d, runs %d", h.name, stats.OverloadCrashes, stats.PeakCold, stats.PeakInFlight, stats.Runs)
	}
	require.Zero(t, overloadCrashes)
	require.Greater(t, complete, len(results)/2)
}

// TestCallsAvoidUnresponsiveConnections makes every open connection to the services and the
// platform unresponsive once a second, while new connections work. Every lookup must complete,
// and so must every keyed call that is repeated.
func TestCallsAvoidUnresponsiveConnections(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.addServices(2, []string{"a"})
	var cuts []func(cutter.Cut)
	targets := make([]object.ServiceTarget, len(c.services))
	for i, s := range c.services {
		listed, cut := startCutter(t, s.address)
		targets[i] = object.ServiceTarget{Host: fmt.Sprintf("s%d", i), Address: listed, DataCentre: "a"}
		cuts = append(cuts, cut)
	}
	c.put(object.KindService, serviceName, &object.Service{
		Targets: targets, Idempotent: []object.Route{{Method: "GET", Prefix: "/entries/"}},
		ColdLimit: 16, WarmLimit: 64, WarmAfter: 5,
	})
	listed, cutPlatform := startCutter(t, c.platform.address)
	c.addDaemon("a", func(s *config.Settings) { s.Platform.Address = "http://" + listed })
	c.waitServing(2)
	cuts = append(cuts, cutPlatform)

	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 {
			time.Sleep(time.Second)
			for _, cut := range cuts {
				cut(cutter.Cut{Existing: cutter.Swallow})
			}
		}
	}()
	report, _ := c.sendLookups(40, 6*time.Second, 51)
	<-done
	require.Equal(t, report.Sent, report.Complete)
	c.sendKeyedOverUnresponsiveConnections(cuts)
}

// sendKeyedOverUnresponsiveConnections sends keyed calls right after all open connections
// became unresponsive. Daemons must not send on idle connections, so each call must complete
// when it is repeated, and run once. The services must not have restarted.
func (c *cluster) sendKeyedOverUnresponsiveConnections(cuts []func(cutter.Cut)) {
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	for n := range 5 {
		key := uuid.Must(uuid.NewV7()).String()
		for _, cut := range cuts {
			cut(cutter.Cut{Existing: cutter.Swallow})
		}
		call := load.Call{Service: serviceName, Method: "POST", Path: "/new", Key: key, Body: fmt.Appendf(nil, `{"n":%d}`, n)}
		waitUntil(c.t, "key "+key+" completes", func() bool {
			result := caller.Call(context.Background(), c.daemons[0].callersAddress, call)
			if result.Outcome != object.Completed {
				c.t.Logf("%s %s after %s", result.Outcome, result.Code, result.Latency)
			}
			return result.Outcome == object.Completed
		})
		runs, _ := c.runsByKey()
		require.EqualValues(c.t, 1, runs[key])
	}
	stats := getJSON[platform.Stats](c.t, c.platform.address, platform.PathStats)
	c.t.Logf("platform: %+v", stats)
	for _, s := range c.services {
		require.Equal(c.t, 1, getJSON[service.Stats](c.t, s.address, service.PathStats).Incarnations)
	}
}
