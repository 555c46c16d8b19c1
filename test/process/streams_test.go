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

func servingGroups(groups []operatorapi.GroupStatus) int {
	n := 0
	for _, g := range groups {
		if g.Serving {
			n++
		}
	}
	return n
}

// streamCluster is n engines with a group each behind some daemons.
func streamCluster(t *testing.T, engines, daemons int, change func(*config.Settings)) *cluster {
	c := newCluster(t)
	c.putContract()
	c.putModel(groups(engines))
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

// streams sends streamed completions until the duration is over and returns when
// the last has ended.
func (c *cluster) streams(rate float64, duration time.Duration, seed uint64, pick func(int) string) (load.Report, []load.Result) {
	report, results, err := load.Run(context.Background(), load.Options{
		Addresses: c.callers(), Pick: pick, CallerKey: callerKey, Kind: load.Streams, Model: modelName,
		Rate: rate, Duration: duration, Deadline: 20 * time.Second, MaxTokens: 40, Prompts: 1 << 20,
		MaxInFlight: 200, Seed: seed,
	})
	require.NoError(c.t, err)
	report.Seconds = nil
	c.t.Logf("%+v", report)
	return report, results
}

// requireSound fails if a stream repeated, lost or mixed tokens, or ended without a word.
func requireSound(t *testing.T, results []load.Result) {
	t.Helper()
	for _, r := range results {
		require.False(t, r.Wrong, "%+v", r)
		require.False(t, r.Cut(), "%+v", r)
		if !r.Whole {
			require.NotEmpty(t, r.Code, "%+v", r)
		}
	}
}

// TestStreamsOutliveEngineCrashes lets engines die in the middle of streams.
func TestStreamsOutliveEngineCrashes(t *testing.T) {
	c := streamCluster(t, 4, 2, nil)
	var crashes sync.WaitGroup
	crashes.Go(func() {
		for i := range 6 {
			time.Sleep(time.Second)
			c.engines[i%len(c.engines)].faults(t, engine.Faults{CrashAfterTokens: 5, DuplicateChunk: 3})
			c.engines[(i+1)%len(c.engines)].faults(t, engine.Faults{WrongAttempt: 1, Truncate: 1})
		}
	})
	report, results := c.streams(20, 8*time.Second, 3, nil)
	crashes.Wait()
	requireSound(t, results)
	incarnations := 0
	for _, h := range c.engines {
		incarnations += h.stats(t).Incarnations
	}
	require.Greater(t, incarnations, len(c.engines), "no engine crashed")
	require.GreaterOrEqual(t, report.Whole, report.Sent*9/10)
}

// TestStoppingDaemonFinishesItsStreams ends a daemon while streams run on it.
func TestStoppingDaemonFinishesItsStreams(t *testing.T) {
	c := streamCluster(t, 3, 1, nil)
	d := c.daemons[0]
	caller := load.NewCaller(callerKey, 30*time.Second)
	defer caller.Close()
	results := make([]load.Result, 30)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() {
			results[i] = caller.Generate(context.Background(), d.callers, engine.Request{
				Model: modelName, Prompt: load.Prompt(5, i), MaxTokens: 250, Stream: true,
			})
		})
	}
	until(t, "all streams run", func() bool { return c.engineRuns() == int64(len(results)) })
	d.terminate()
	running.Wait()
	requireSound(t, results)
	for _, r := range results {
		require.True(t, r.Whole, "%+v", r)
	}
	require.Zero(t, d.waitEnd(patience))
}

// TestDaemonsReplacedUnderLoad replaces all daemons one after the other while a
// balancer sends to those that say they are ready.
func TestDaemonsReplacedUnderLoad(t *testing.T) {
	c := streamCluster(t, 4, 3, nil)
	b := newBalancer(c)
	defer b.stop()
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		for _, d := range c.daemons {
			d.terminate()
			d.waitEnd(patience)
			d.start()
			d.waitReady()
		}
	}()
	var reports []load.Report
	for {
		report, results := c.streams(20, 2*time.Second, uint64(7+len(reports)), b.pick)
		requireSound(t, results)
		require.Equal(t, report.Sent, report.Whole)
		reports = append(reports, report)
		select {
		case <-replaced:
			t.Logf("%d rounds of load", len(reports))
			return
		default:
		}
	}
}

// balancer sends to daemons that said lately that they are ready.
type balancer struct {
	cluster *cluster
	cancel  context.CancelFunc
	done    chan struct{}

	mu    sync.Mutex
	ready []string
}

func newBalancer(c *cluster) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{cluster: c, cancel: cancel, done: make(chan struct{}), ready: c.callers()}
	go func() {
		defer close(b.done)
		for ctx.Err() == nil {
			b.look()
			time.Sleep(5 * glance)
		}
	}()
	return b
}

func (b *balancer) look() {
	var ready []string
	for _, d := range b.cluster.daemons {
		response, err := control.Get("http://" + d.operators + operatorapi.PathReady)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, d.callers)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

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

// throughCutter puts a cutter before an address.
func throughCutter(t *testing.T, address string) (listed string, cut func(cutter.Cut)) {
	t.Helper()
	p := spawn(t, "cutter", "rhubarbstub", "cutter", "--to", address)
	listed = p.line()
	controlAddress := p.line()
	return listed, func(c cutter.Cut) {
		t.Helper()
		send(t, "POST", controlAddress, cutter.PathCut, c)
	}
}

// TestStreamsLeaveSilentConnections swallows every open connection to the engines
// while new ones work.
func TestStreamsLeaveSilentConnections(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.putModel(groups(2))
	var cuts []func(cutter.Cut)
	for i := range 2 {
		h := c.addEngine(fmt.Sprintf("h%d", i), "f1", "a", "--tokens-per-second", "20")
		listed, cut := throughCutter(t, h.address)
		h.listed = listed
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
	report, results := c.streams(6, 6*time.Second, 9, nil)
	<-swallowed
	requireSound(t, results)
	require.GreaterOrEqual(t, report.Whole, report.Sent*9/10)
	// A stream waits out one silence or two, not those of the requests before it.
	require.Less(t, report.FirstToken.P95, (2 * time.Second).Microseconds())
}
