package process

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

const (
	keyedCalls   = 2400
	keyedWorkers = 40
	keyedTries   = 4
	// racedEvery is which keys are sent to two daemons at once.
	racedEvery = 10
	// onceEvery is which keys are sent exactly once, whatever the answer.
	onceEvery     = 3
	keyedDeadline = 2 * time.Second
	pauseOfTries  = 300 * time.Millisecond
)

// keyedFaults strike a tenth of the calls at the service.
var keyedFaults = service.Shares{
	CrashBefore: 0.005, CrashAfter: 0.005, Truncate: 0.02, Cross: 0.02, RefuseBefore: 0.03, FailAfter: 0.02,
}

// history is all that the callers of one key were told, in order. Answers of raced
// calls have no order among them.
type history struct {
	raced   bool
	body    []byte
	results []load.Result
}

// TestKeyedCallsUnderFaults sends keyed calls while daemons die and pause, the
// platform is down, slow and loses answers, and services die around the run.
func TestKeyedCallsUnderFaults(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.addServices(4, []string{"a", "b"}, "--run-ms", "10")
	for i := range 3 {
		c.addDaemon([]string{"a", "b", "a"}[i], nil)
	}
	c.waitServing(4)
	c.serviceFaults(service.Faults{Shares: keyedFaults})

	var done atomic.Int64
	faultsOver := make(chan struct{})
	go func() {
		defer close(faultsOver)
		c.keyedFaultPlan(&done)
	}()
	histories := c.sendKeyed(&done)
	<-faultsOver
	c.serviceFaults(service.Faults{})
	c.askAgain(histories)
	c.judgeKeyed(histories)
}

// askAgain sends every key once more now that nothing fails, and logs what is said.
func (c *cluster) askAgain(histories map[string]*history) {
	c.waitServing(len(c.services))
	keys := make(chan string)
	codes := make(map[string]int)
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range keyedWorkers {
		workers.Go(func() {
			caller := load.NewCaller(callerKey, keyedDeadline)
			defer caller.Close()
			for key := range keys {
				h := histories[key]
				result := caller.Call(context.Background(), c.daemons[0].callers, load.Call{
					Service: serviceName, Method: "POST", Path: "/new", Key: key, Body: h.body,
				})
				h.results = append(h.results, result)
				mu.Lock()
				codes[fmt.Sprintf("%d %s %s", result.Status, result.Outcome, result.Code)]++
				mu.Unlock()
			}
		})
	}
	for _, key := range slices.Sorted(maps.Keys(histories)) {
		keys <- key
	}
	close(keys)
	workers.Wait()
	c.t.Logf("asked again after the faults: %v", codes)
}

// keyedFaultPlan brings about one failure after another, each once a part of the
// calls is done.
func (c *cluster) keyedFaultPlan(done *atomic.Int64) {
	first, second, third := c.daemons[0], c.daemons[1], c.daemons[2]
	plan := []struct {
		at  int64
		act func()
	}{
		{150, func() { first.kill(); first.start() }},
		{400, func() { second.pauseFor(5 * time.Second) }},
		{600, func() { c.faults(platform.Faults{LoseWriteAnswers: 0.2, Seed: 11}) }},
		{900, func() { c.faults(platform.Faults{LoseWriteAnswers: 0.2, SlowMillis: 200}) }},
		{1100, func() { third.kill(); third.start() }},
		{1200, func() { c.faults(platform.Faults{Down: platform.DownHang}) }},
		{1300, func() { first.pauseFor(3 * time.Second) }},
		{1400, func() { c.faults(platform.Faults{LoseWriteAnswers: 0.1}) }},
		{1700, func() { c.faults(platform.Faults{Down: platform.DownReset}) }},
		{1800, func() { c.faults(platform.Faults{}) }},
		{1900, func() { second.kill(); second.start() }},
		{2000, func() { third.pauseFor(5 * time.Second) }},
	}
	for _, step := range plan {
		for done.Load() < step.at {
			time.Sleep(glance)
		}
		step.act()
	}
}

// pauseFor stops a daemon's process and wakes it later.
func (d *daemon) pauseFor(length time.Duration) {
	p := d.process
	p.pause()
	time.AfterFunc(length, p.wake)
}

func (c *cluster) sendKeyed(done *atomic.Int64) map[string]*history {
	histories := make(map[string]*history)
	var mu sync.Mutex
	var workers sync.WaitGroup
	numbers := make(chan int)
	for range keyedWorkers {
		workers.Go(func() {
			caller := load.NewCaller(callerKey, keyedDeadline)
			defer caller.Close()
			for n := range numbers {
				key, h := c.sendKey(caller, n)
				mu.Lock()
				histories[key] = h
				mu.Unlock()
				done.Add(1)
			}
		})
	}
	for n := range keyedCalls {
		numbers <- n
	}
	close(numbers)
	workers.Wait()
	return histories
}

// sendKey sends one key until its fate is known, or its tries are spent.
func (c *cluster) sendKey(caller *load.Caller, n int) (string, *history) {
	key := uuid.Must(uuid.NewV7()).String()
	call := load.Call{Service: serviceName, Method: "POST", Path: "/new", Key: key, Body: fmt.Appendf(nil, `{"n":%d}`, n)}
	h := &history{raced: n%racedEvery == 0, body: call.Body}
	if h.raced {
		h.results = c.race(caller, call, n)
		return key, h
	}
	for try := range keyedTries {
		result := caller.Call(context.Background(), c.daemons[(n+try)%len(c.daemons)].callers, call)
		h.results = append(h.results, result)
		if n%onceEvery == 0 || result.Outcome == object.Completed {
			break
		}
		time.Sleep(pauseOfTries)
	}
	return key, h
}

func (c *cluster) race(caller *load.Caller, call load.Call, n int) []load.Result {
	results := make([]load.Result, 2)
	var both sync.WaitGroup
	for i := range results {
		both.Go(func() {
			results[i] = caller.Call(context.Background(), c.daemons[(n/racedEvery+i)%len(c.daemons)].callers, call)
		})
	}
	both.Wait()
	return results
}

// judgeKeyed compares what callers were told with what the services ran.
func (c *cluster) judgeKeyed(histories map[string]*history) {
	t := c.t
	runs, attempts := c.runsByKey()
	twice, falseNotRun, falseCompleted, wrong := []string{}, []string{}, []string{}, []string{}
	tally := make(map[object.Outcome]int)
	for _, key := range slices.Sorted(maps.Keys(histories)) {
		h := histories[key]
		if runs[key] > 1 {
			twice = append(twice, key)
		}
		for i, r := range h.results {
			tally[r.Outcome]++
			if r.Wrong {
				wrong = append(wrong, fmt.Sprintf("%s: %+v", key, r))
			}
			if r.Outcome == object.Completed && runs[key] != 1 {
				falseCompleted = append(falseCompleted, key)
			}
			if r.Outcome == object.NotRun && h.ranBy(i, attempts[key]) {
				falseNotRun = append(falseNotRun, fmt.Sprintf("%s: ran as %v, told %+v", key, attempts[key], h.results))
			}
			if r.AttemptOutcome == object.NotRun && ranAs(r.Request, attempts[key]) {
				falseNotRun = append(falseNotRun, fmt.Sprintf("%s: attempt ran as %v, told %+v", key, attempts[key], r))
			}
		}
	}
	t.Logf("keys %d, ran %d, answers: completed %d, not_run %d, unknown %d, none %d", len(histories), len(runs),
		tally[object.Completed], tally[object.NotRun], tally[object.Unknown], tally[""])
	require.Empty(t, twice, "keys that ran twice")
	require.Empty(t, falseNotRun, "not_run answers for a key that had run")
	require.Empty(t, falseCompleted, "completed answers for a key that did not run")
	require.Empty(t, wrong, "answers that are not the caller's own or not whole")
	require.Len(t, histories, keyedCalls)
}

// ranBy reports whether the key had run by the time of answer i: every attempt
// that ran must belong to a request that was sent later. Two raced calls have no
// order between them.
func (h *history) ranBy(i int, attempts []string) bool {
	if h.raced {
		i = max(i, 1)
	}
	later := make(map[string]bool)
	unnamed := false
	for _, r := range h.results[i+1:] {
		later[r.Request] = true
		unnamed = unnamed || r.Request == ""
	}
	for _, attempt := range attempts {
		if !later[requestOf(attempt)] && !unnamed {
			return true
		}
	}
	return false
}

func ranAs(request string, attempts []string) bool {
	return request != "" && slices.ContainsFunc(attempts, func(a string) bool { return requestOf(a) == request })
}
