package process

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
)

// servingGroups counts the groups that serve.
func servingGroups(groups []operatorapi.GroupStatus) int {
	n := 0
	for _, g := range groups {
		if g.Serving {
			n++
		}
	}
	return n
}

// streamCluster starts a cluster of engines, each in a group by itself, and daemons, and
// waits until all groups serve.
func streamCluster(t *testing.T, engines, daemons int, change func(*config.Settings)) *cluster {
	c := newCluster(t)
	c.putContract()
	c.putModel(withGroups(engines))
	for i := range engines {
		c.addEngine(fmt.Sprintf("h%d", i), "f1", "a", "--tokens-per-second", "50")
	}
	c.listHosts()
	for range daemons {
		c.addDaemon("a", change)
	}
	c.waitGroups(engines)
	return c
}

// sendStreams sends streamed completions at a rate for a duration and returns when the last
// has ended. If pick is not nil, it chooses the address for each request.
func (c *cluster) sendStreams(rate float64, duration time.Duration, seed uint64, pick func(int) string) (load.Report, []load.Result) {
	report, results, err := load.Run(context.Background(), load.Options{
		Addresses: c.callersAddresses(), Pick: pick, CallerKey: callerKey, Kind: load.Streams, Model: modelName,
		Rate: rate, Duration: duration, Deadline: 20 * time.Second, MaxTokens: 40, Prompts: 1 << 20,
		MaxInFlight: 200, Seed: seed,
	})
	require.NoError(c.t, err)
	report.Seconds = nil
	c.t.Logf("%+v", report)
	return report, results
}

// requireConsistent fails the test if an answer repeated, lost or mixed tokens, was cut off,
// or is incomplete without an error code.
func requireConsistent(t *testing.T, results []load.Result) {
	t.Helper()
	for _, r := range results {
		require.False(t, r.Wrong, "%+v", r)
		require.False(t, r.Cut(), "%+v", r)
		if !r.Complete {
			require.NotEmpty(t, r.Code, "%+v", r)
		}
	}
}

// TestStreamsSurviveEngineCrashes crashes engines in the middle of streams and makes others
// send duplicate, truncated and foreign answers. No caller may receive a wrong or cut stream,
// and nine of ten streams must complete.
func TestStreamsSurviveEngineCrashes(t *testing.T) {
	c := streamCluster(t, 4, 2, nil)
	var crashes sync.WaitGroup
	crashes.Go(func() {
		for i := range 6 {
			time.Sleep(time.Second)
			c.engines[i%len(c.engines)].setFaults(t, engine.Faults{CrashAfterTokens: 5, DuplicateChunk: 3})
			c.engines[(i+1)%len(c.engines)].setFaults(t, engine.Faults{WrongAttempt: 1, Truncate: 1})
		}
	})
	report, results := c.sendStreams(20, 8*time.Second, 3, nil)
	crashes.Wait()
	requireConsistent(t, results)
	incarnations := 0
	for _, h := range c.engines {
		incarnations += h.stats(t).Incarnations
	}
	require.Greater(t, incarnations, len(c.engines), "no engine crashed")
	require.GreaterOrEqual(t, report.Complete, report.Sent*9/10)
}

// TestStoppingDaemonFinishesItsStreams stops a daemon gracefully while it forwards streams.
// Every stream must complete before the daemon exits.
func TestStoppingDaemonFinishesItsStreams(t *testing.T) {
	c := streamCluster(t, 3, 1, nil)
	d := c.daemons[0]
	caller := load.NewCaller(callerKey, 30*time.Second)
	defer caller.Close()
	results := make([]load.Result, 30)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() {
			results[i] = caller.Generate(context.Background(), d.callersAddress, engine.Request{
				Model: modelName, Prompt: load.Prompt(5, i), MaxTokens: 250, Stream: true,
			})
		})
	}
	waitUntil(t, "all streams have started", func() bool { return c.engineRuns() == int64(len(results)) })
	d.terminate()
	running.Wait()
	requireConsistent(t, results)
	for _, r := range results {
		require.True(t, r.Complete, "%+v", r)
	}
	require.Zero(t, d.waitExit(waitTimeout))
}

// TestDaemonsReplacedUnderLoad restarts all daemons one after the other while a load
// balancer sends only to daemons that report ready. Every stream must complete.
func TestDaemonsReplacedUnderLoad(t *testing.T) {
	c := streamCluster(t, 4, 3, nil)
	b := newBalancer(c)
	defer b.stop()
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		for _, d := range c.daemons {
			d.terminate()
			d.waitExit(waitTimeout)
			d.start()
			d.waitReady()
		}
	}()
	var reports []load.Report
	for {
		report, results := c.sendStreams(20, 2*time.Second, uint64(7+len(reports)), b.pick)
		requireConsistent(t, results)
		require.Equal(t, report.Sent, report.Complete)
		reports = append(reports, report)
		select {
		case <-replaced:
			t.Logf("%d rounds of load", len(reports))
			return
		default:
		}
	}
}

// balancer is a load balancer that picks among the daemons that reported ready in the last
// round of readiness checks.
type balancer struct {
	cluster *cluster
	cancel  context.CancelFunc
	done    chan struct{}

	mu    sync.Mutex
	ready []string // caller addresses of the ready daemons, guarded by mu
}

// newBalancer starts a balancer that checks readiness in the background until stop.
func newBalancer(c *cluster) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{cluster: c, cancel: cancel, done: make(chan struct{}), ready: c.callersAddresses()}
	go func() {
		defer close(b.done)
		for ctx.Err() == nil {
			b.checkReadiness()
			time.Sleep(5 * pollInterval)
		}
	}()
	return b
}

// checkReadiness checks every daemon once and replaces the list of ready ones.
func (b *balancer) checkReadiness() {
	var ready []string
	for _, d := range b.cluster.daemons {
		response, err := controlClient.Get("http://" + d.operatorsAddress + operatorapi.PathReady)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, d.callersAddress)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the address for request n, or "" if no daemon is ready.
func (b *balancer) pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[n%len(b.ready)]
}

func (b *balancer) stop() {
	b.cancel()
	<-b.done
}

// startCutter starts a relay in front of an address. It returns the address that the relay
// listens on, and a function that sets how the relay treats connections.
func startCutter(t *testing.T, address string) (listed string, cut func(cutter.Cut)) {
	t.Helper()
	p := spawn(t, "cutter", "rhubarbstub", "cutter", "--to", address)
	listed = p.readLine()
	controlAddress := p.readLine()
	return listed, func(c cutter.Cut) {
		t.Helper()
		sendJSON(t, "POST", controlAddress, cutter.PathCut, c)
	}
}

// TestStreamsAvoidUnresponsiveConnections makes every open connection to the engines
// unresponsive twice, while new connections work. Daemons must stop using those connections:
// nine of ten streams must complete, and the 95th percentile of the first token must stay
// below two stall timeouts.
func TestStreamsAvoidUnresponsiveConnections(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.putModel(withGroups(2))
	var cuts []func(cutter.Cut)
	for i := range 2 {
		h := c.addEngine(fmt.Sprintf("h%d", i), "f1", "a", "--tokens-per-second", "20")
		listed, cut := startCutter(t, h.address)
		h.listedAddress = listed
		cuts = append(cuts, cut)
	}
	c.listHosts()
	c.addDaemon("a", func(s *config.Settings) { s.Targets.Silence = config.Duration(time.Second) })
	c.waitGroups(2)
	swallowed := make(chan struct{})
	go func() {
		defer close(swallowed)
		for range 2 {
			time.Sleep(2 * time.Second)
			for _, cut := range cuts {
				cut(cutter.Cut{Existing: cutter.Swallow})
			}
		}
	}()
	report, results := c.sendStreams(6, 6*time.Second, 9, nil)
	<-swallowed
	requireConsistent(t, results)
	require.GreaterOrEqual(t, report.Complete, report.Sent*9/10)
	// A stream may wait for one or two stall timeouts of 1 s, but not also for the timeouts
	// of earlier requests.
	require.Less(t, report.FirstToken.P95, (2 * time.Second).Microseconds())
}
