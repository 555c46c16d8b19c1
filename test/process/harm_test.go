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

// TestPoisonRequestIsQuarantined sends a request that ends each engine that runs
// it, again and again through different daemons, beside ordinary streams.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	c := streamCluster(t, 5, 3, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		caller := load.NewCaller(callerKey, 5*time.Second)
		defer caller.Close()
		for i := range 20 {
			result := caller.Generate(context.Background(), c.daemons[i%len(c.daemons)].callers, engine.Request{
				Model: modelName, Prompt: "an innocent start {{crash}}", MaxTokens: 20, Stream: true,
			})
			if i > 3 && result.Code != "quarantined" {
				t.Errorf("request %d was not quarantined: %+v", i, result)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	report, results := c.streams(10, 6*time.Second, 41, nil)
	<-done
	requireSound(t, results)
	var died int64
	for _, h := range c.engines {
		died += h.stats(t).Poisoned
	}
	t.Logf("%d engines died", died)
	require.LessOrEqual(t, died, int64(2))
	require.GreaterOrEqual(t, report.Whole, report.Sent*95/100)
}

// TestColdEnginesBearTheirLoad sends much load through several daemons to engines
// that fall over when cold, while they restart, go cold without a word, and a
// daemon is killed.
func TestColdEnginesBearTheirLoad(t *testing.T) {
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
		c.engines[0].faults(t, engine.Faults{Crash: true})
		time.Sleep(2 * time.Second)
		c.daemons[3].kill()
		c.engines[1].faults(t, engine.Faults{Crash: true})
		time.Sleep(2 * time.Second)
		c.engines[2].faults(t, engine.Faults{Crash: true})
		c.daemons[3].start()
	}()
	_, results := c.streams(80, 12*time.Second, 43, b.pick)
	<-done
	whole := 0
	for _, r := range results {
		require.False(t, r.Wrong, "%+v", r)
		if r.Whole {
			whole++
		}
	}
	var toppled int64
	for _, h := range c.engines {
		stats := h.stats(t)
		toppled += stats.Toppled
		t.Logf("%s: toppled %d, peak cold %d, peak %d, runs %d", h.name, stats.Toppled, stats.PeakCold, stats.PeakInFlight, stats.Runs)
	}
	require.Zero(t, toppled)
	require.Greater(t, whole, len(results)/2)
}

// TestCallsLeaveSilentConnections swallows every open connection to services, the
// platform, or both, while new ones work.
func TestCallsLeaveSilentConnections(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.addServices(2, []string{"a"})
	var cuts []func(cutter.Cut)
	targets := make([]object.ServiceTarget, len(c.services))
	for i, s := range c.services {
		listed, cut := throughCutter(t, s.address)
		targets[i] = object.ServiceTarget{Host: fmt.Sprintf("s%d", i), Address: listed, DataCentre: "a"}
		cuts = append(cuts, cut)
	}
	c.put(object.KindService, serviceName, &object.Service{
		Targets: targets, Idempotent: []object.Route{{Method: "GET", Prefix: "/entries/"}},
		ColdLimit: 16, WarmLimit: 64, WarmAfter: 5,
	})
	listed, cutPlatform := throughCutter(t, c.platform.address)
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
	report, _ := c.lookups(40, 6*time.Second, 51)
	<-done
	require.Equal(t, report.Sent, report.Whole)
	c.keyedOverSilentConnections(cuts)
}

// keyedOverSilentConnections sends keyed calls right after their connections were
// swallowed: idle connections must not be used, so all complete.
func (c *cluster) keyedOverSilentConnections(cuts []func(cutter.Cut)) {
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	for n := range 5 {
		key := uuid.Must(uuid.NewV7()).String()
		for _, cut := range cuts {
			cut(cutter.Cut{Existing: cutter.Swallow})
		}
		call := load.Call{Service: serviceName, Method: "POST", Path: "/new", Key: key, Body: fmt.Appendf(nil, `{"n":%d}`, n)}
		until(c.t, "key "+key+" completes", func() bool {
			result := caller.Call(context.Background(), c.daemons[0].callers, call)
			if result.Outcome != object.Completed {
				c.t.Logf("%s %s after %s", result.Outcome, result.Code, result.Latency)
			}
			return result.Outcome == object.Completed
		})
		runs, _ := c.runsByKey()
		require.EqualValues(c.t, 1, runs[key])
	}
	stats := get[platform.Stats](c.t, c.platform.address, platform.PathStats)
	c.t.Logf("platform: %+v", stats)
	for _, s := range c.services {
		require.Equal(c.t, 1, get[service.Stats](c.t, s.address, service.PathStats).Incarnations)
	}
}
