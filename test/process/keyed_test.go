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
	keyedCalls = 2400 // number of keys
	// keyedWorkers is the number of callers that send keys concurrently.
	keyedWorkers = 40
	// maxKeyedTries is how often a caller sends a key that has not completed.
	maxKeyedTries = 4
	// racedKeyStride selects the raced keys: one key in this many is sent to two daemons at
	// the same time.
	racedKeyStride = 10
	// singleTryStride selects the keys without a repetition: one key in this many is sent
	// only once, whatever the answer.
	singleTryStride = 3
	// keyedTimeout is the callers' timeout for one call.
	keyedTimeout = 2 * time.Second
	// keyedRetryDelay is the wait between two tries of a key.
	keyedRetryDelay = 300 * time.Millisecond
)

// keyedFaultShares are the shares of calls in which the service injects a fault before,
// during or after the run. They sum up to about a tenth.
var keyedFaultShares = service.Shares{
	CrashBefore: 0.005, CrashAfter: 0.005, Truncate: 0.02, Cross: 0.02, RefuseBefore: 0.03, FailAfter: 0.02,
}

// history holds the answers to all calls with one key, in the order of the calls.
type history struct {
	raced   bool // the first two calls were sent at the same time, so have no order
	body    []byte
	results []load.Result
}

// TestKeyedCallsUnderFaults sends keyed calls while daemons are killed and paused, the
// platform is down, slow and loses answers, and services crash before or after the run. No
// key may run twice, and every outcome that a caller receives must be true.
func TestKeyedCallsUnderFaults(t *testing.T) {
	c := newCluster(t)
	c.putContract()
	c.addServices(4, []string{"a", "b"}, "--run-ms", "10")
	for i := range 3 {
		c.addDaemon([]string{"a", "b", "a"}[i], nil)
	}
	c.waitServing(4)
	c.setServiceFaults(service.Faults{Shares: keyedFaultShares})

	var done atomic.Int64
	faultsOver := make(chan struct{})
	go func() {
		defer close(faultsOver)
		c.runKeyedFaultPlan(&done)
	}()
	histories := c.sendKeyed(&done)
	<-faultsOver
	c.setServiceFaults(service.Faults{})
	c.resendAll(histories)
	c.checkKeyed(histories)
}

// resendAll sends every key once more after the faults have ended, adds the answers to the
// histories, and logs how often each answer came.
func (c *cluster) resendAll(histories map[string]*history) {
	c.waitServing(len(c.services))
	keys := make(chan string)
	codes := make(map[string]int)
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range keyedWorkers {
		workers.Go(func() {
			caller := load.NewCaller(callerKey, keyedTimeout)
			defer caller.Close()
			for key := range keys {
				h := histories[key]
				result := caller.Call(context.Background(), c.daemons[0].callersAddress, load.Call{
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
	c.t.Logf("answers to the keys sent again after the faults: %v", codes)
}

// runKeyedFaultPlan injects one failure after another, each when the given number of keys
// is done.
func (c *cluster) runKeyedFaultPlan(done *atomic.Int64) {
	first, second, third := c.daemons[0], c.daemons[1], c.daemons[2]
	plan := []struct {
		at  int64
		act func()
	}{
		{150, func() { first.kill(); first.start() }},
		{400, func() { second.pauseFor(5 * time.Second) }},
		{600, func() { c.setPlatformFaults(platform.Faults{LoseWriteAnswers: 0.2, Seed: 11}) }},
		{900, func() { c.setPlatformFaults(platform.Faults{LoseWriteAnswers: 0.2, SlowMillis: 200}) }},
		{1100, func() { third.kill(); third.start() }},
		{1200, func() { c.setPlatformFaults(platform.Faults{Down: platform.DownHang}) }},
		{1300, func() { first.pauseFor(3 * time.Second) }},
		{1400, func() { c.setPlatformFaults(platform.Faults{LoseWriteAnswers: 0.1}) }},
		{1700, func() { c.setPlatformFaults(platform.Faults{Down: platform.DownReset}) }},
		{1800, func() { c.setPlatformFaults(platform.Faults{}) }},
		{1900, func() { second.kill(); second.start() }},
		{2000, func() { third.pauseFor(5 * time.Second) }},
	}
	for _, step := range plan {
		for done.Load() < step.at {
			time.Sleep(pollInterval)
		}
		step.act()
	}
}

// pauseFor pauses a daemon's process and resumes it after a time, without waiting for that.
func (d *daemon) pauseFor(length time.Duration) {
	p := d.process
	p.pause()
	time.AfterFunc(length, p.resume)
}

// sendKeyed sends all keys through concurrent callers, counts those that are done, and
// returns each key's history.
func (c *cluster) sendKeyed(done *atomic.Int64) map[string]*history {
	histories := make(map[string]*history)
	var mu sync.Mutex
	var workers sync.WaitGroup
	numbers := make(chan int)
	for range keyedWorkers {
		workers.Go(func() {
			caller := load.NewCaller(callerKey, keyedTimeout)
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

// sendKey sends key number n until it has completed or its tries are used up. A raced key
// is sent to two daemons at once instead, without repetition.
func (c *cluster) sendKey(caller *load.Caller, n int) (string, *history) {
	key := uuid.Must(uuid.NewV7()).String()
	call := load.Call{Service: serviceName, Method: "POST", Path: "/new", Key: key, Body: fmt.Appendf(nil, `{"n":%d}`, n)}
	h := &history{raced: n%racedKeyStride == 0, body: call.Body}
	if h.raced {
		h.results = c.sendRaced(caller, call, n)
		return key, h
	}
	for try := range maxKeyedTries {
		result := caller.Call(context.Background(), c.daemons[(n+try)%len(c.daemons)].callersAddress, call)
		h.results = append(h.results, result)
		if n%singleTryStride == 0 || result.Outcome == object.Completed {
			break
		}
		time.Sleep(keyedRetryDelay)
	}
	return key, h
}

// sendRaced sends a call to two daemons at the same time.
func (c *cluster) sendRaced(caller *load.Caller, call load.Call, n int) []load.Result {
	results := make([]load.Result, 2)
	var both sync.WaitGroup
	for i := range results {
		both.Go(func() {
			results[i] = caller.Call(context.Background(), c.daemons[(n/racedKeyStride+i)%len(c.daemons)].callersAddress, call)
		})
	}
	both.Wait()
	return results
}

// checkKeyed compares the answers that callers received with what the services ran.
func (c *cluster) checkKeyed(histories map[string]*history) {
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
			if r.Outcome == object.NotRun && h.hadRunBy(i, attempts[key]) {
				falseNotRun = append(falseNotRun, fmt.Sprintf("%s: ran as %v, answered %+v", key, attempts[key], h.results))
			}
			if r.AttemptOutcome == object.NotRun && ranForRequest(r.Request, attempts[key]) {
				falseNotRun = append(falseNotRun, fmt.Sprintf("%s: attempt ran as %v, answered %+v", key, attempts[key], r))
			}
		}
	}
	t.Logf("keys %d, ran %d, answers: completed %d, not_run %d, unknown %d, none %d", len(histories), len(runs),
		tally[object.Completed], tally[object.NotRun], tally[object.Unknown], tally[""])
	require.Empty(t, twice, "keys that ran twice")
	require.Empty(t, falseNotRun, "not_run answers for a key that had run")
	require.Empty(t, falseCompleted, "completed answers for a key that did not run")
	require.Empty(t, wrong, "answers that belong to another call, or repeat or lack a part")
	require.Len(t, histories, keyedCalls)
}

// hadRunBy reports whether the key had certainly run by the time of answer i: whether an
// attempt that ran belongs to none of the requests that were sent later. If a later
// request's ID is unknown, the attempt may belong to that one, so it proves nothing. Two
// raced calls have no order, so both count as sent by the time of either answer.
func (h *history) hadRunBy(i int, attempts []string) bool {
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
		if !later[requestIDOf(attempt)] && !unnamed {
			return true
		}
	}
	return false
}

// ranForRequest reports whether one of the attempts that ran belongs to the request.
func ranForRequest(request string, attempts []string) bool {
	return request != "" && slices.ContainsFunc(attempts, func(a string) bool { return requestIDOf(a) == request })
}
