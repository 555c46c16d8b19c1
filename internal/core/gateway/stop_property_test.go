package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// send lets a request come over one of the daemon's open connections. Its body arrives some time after its header.
func (w *stopWorld) send(d *stopDaemon) {
	kind := rapid.SampledFrom([]site.Kind{site.Once, site.Repeatable, site.Stream}).Draw(w.rt, "kind")
	path := map[site.Kind]string{site.Once: "/once/1", site.Repeatable: "/read/1", site.Stream: "/chat/1"}[kind]
	id := step.RequestID(fmt.Sprintf("r%d", len(w.requests)+1))
	call := step.Call{ID: id, CallerID: string(id), Method: "POST", Host: "h", Path: path, BodyHash: uint64(len(w.requests))}
	if kind == site.Stream {
		call.Model, call.PromptTokens = "m", 100
	}
	if left := rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second, 30 * time.Second}).Draw(w.rt, "time left"); left > 0 {
		call.Deadline = w.now + left
	}
	r := &stopRequest{id: id, kind: kind, daemon: d, deadline: call.Deadline}
	w.requests[id] = r
	body := time.Duration(0)
	if rapid.IntRange(0, 3).Draw(w.rt, "slow body") == 0 {
		body = 3 * time.Second
	}
	w.after(0, body, func() {
		if d.closed || d.exitedAt > 0 {
			return
		}
		r.posted, r.sentAt = true, w.now
		if c := d.s.Config(); c != nil {
			if route := c.Match("h", path); route != nil && (r.deadline == 0 || r.deadline > w.now+route.Timeout) {
				r.deadline = w.now + route.Timeout
			}
		}
		w.handed.calls[id] = call
		w.post(d, call)
	})
}

func (w *stopWorld) stop(d *stopDaemon) {
	if d.stoppedAt == 0 {
		d.stoppedAt = w.now
	}
	w.post(d, step.Stop{Since: w.now})
}

// check checks how each request has ended.
func (w *stopWorld) check() {
	for _, id := range sortedStopRequests(w.requests) {
		r := w.requests[id]
		d := r.daemon
		if !r.posted {
			continue
		}
		require.True(w.rt, r.ended, "%s has no answer", id)
		if r.kind == site.Once {
			require.LessOrEqual(w.rt, r.runs, 1, "%s runs twice", id)
		}
		if r.answer == nil {
			continue
		}
		promised := slices.Contains([]int{408, 421, 429, 503}, r.answer.Status)
		if promised || r.answer.Outcome == object.NotRun {
			require.Zero(w.rt, r.runs, "%s is refused as not run: %+v", id, r.answer)
		}
		if r.broke || r.elsewhere || d.wasPaused || d.stoppedAt == 0 || r.endedAt < d.stoppedAt {
			continue
		}
		if r.begun {
			allowed := r.endedAt >= r.deadline || r.sentAt <= d.stoppedAt+cutStreamsSent && r.endedAt >= d.stoppedAt+cutStreamsFrom
			require.True(w.rt, allowed, "%s is cut %v after the stop, sent %v after it: %+v", id, r.endedAt-d.stoppedAt, r.sentAt-d.stoppedAt, r.answer)
		}
		if r.answer.Status == 504 {
			require.GreaterOrEqual(w.rt, r.endedAt+worldStep, min(r.deadline, d.stoppedAt+stopGrace-finalAnswerReserve), "%s ends early: %+v", id, r.answer)
		}
		if r.runs > 0 && r.sentAt > d.stoppedAt+cutStreamsSent {
			require.NotEqual(w.rt, step.CodeShuttingDown, r.answer.Code, "%s was passed on %v after the stop and not served", id, r.sentAt-d.stoppedAt)
		}
	}
}

// TestRequestsDuringAStopAreAnswered guards against requests that a stopping daemon passes on and does not answer.
func TestRequestsDuringAStopAreAnswered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newStopWorld(rt, t)
		w.run(time.Duration(rapid.IntRange(1, 6).Draw(rt, "age")) * time.Second)
		first := w.daemons[0]
		moment := func(name string, d time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(d/worldStep)).Draw(rt, name)) * worldStep
		}
		for i, d := range w.daemons {
			if i == 0 || rapid.Bool().Draw(rt, "stops") {
				at := time.Second + moment("stop", 3*time.Second)
				w.after(at, 0, func() { w.stop(d) })
				if rapid.Bool().Draw(rt, "stopped twice") {
					w.after(at+moment("second stop", 8*time.Second), 0, func() { w.stop(d) })
				}
			}
			if rapid.IntRange(0, 2).Draw(rt, "loses hosts") == 0 {
				breaks := rapid.Bool().Draw(rt, "breaks connections")
				w.after(moment("cut", 12*time.Second), 0, func() { w.loseHosts(d, breaks) })
			}
		}
		if rapid.IntRange(0, 3).Draw(rt, "paused") == 0 {
			pause := moment("pause", 4*time.Second)
			w.after(4*time.Second+moment("pause at", 7*time.Second), 0, func() { first.pausedUntil, first.wasPaused = w.now+pause, true })
		}
		for range rapid.IntRange(0, 2).Draw(rt, "configurations") {
			w.after(moment("configuration", 11*time.Second), 0, func() { w.configure(rapid.IntRange(0, 3).Draw(rt, "dropped routes")) })
		}
		for range rapid.IntRange(0, 2).Draw(rt, "SIGHUP") {
			limits := first.s.settings.Limits
			limits.ShutdownTimeout = rapid.SampledFrom([]time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second}).Draw(rt, "grace")
			w.after(4*time.Second+moment("SIGHUP at", 8*time.Second), 0, func() { w.post(first, limits) })
		}
		for range rapid.IntRange(1, 60).Draw(rt, "requests") {
			d := w.daemons[rapid.IntRange(0, 2*len(w.daemons)).Draw(rt, "to")%len(w.daemons)]
			w.after(moment("request", 13*time.Second), 0, func() { w.send(d) })
		}
		w.run(25 * time.Second)
		for _, d := range w.daemons {
			require.True(rt, d.stoppedAt == 0 || d.exitedAt > 0, "%s does not exit", d.name)
			if d.stoppedAt == 0 {
				w.stop(d)
			}
		}
		w.run(9 * time.Second)
		w.check()
	})
}

// TestReloadDuringAStopKeepsItsTimeout guards against streams cut early, and requests admitted beyond the exit, by another grace.
func TestReloadDuringAStopKeepsItsTimeout(t *testing.T) {
	x := startedWithSlack(t)
	_, effects := x.call("/chat/1", "key")
	x.requireForward(effects)
	x.reduce(step.Stop{})
	x.now += time.Second
	for _, timeout := range []time.Duration{time.Second, time.Minute} {
		limits := x.s.settings.Limits
		limits.ShutdownTimeout = timeout
		require.Empty(t, x.reduce(limits))
	}
	x.now += stopGrace - time.Second - exitReserve
	require.Contains(t, x.reduce(step.Tick{}), step.Exit{})
}

// TestWaitingRequestsAreAnsweredAtTheEndOfTheGrace guards against requests without an attempt that a stop forgets.
func TestWaitingRequestsAreAnsweredAtTheEndOfTheGrace(t *testing.T) {
	const late = stopGrace - finalAnswerReserve - 100*time.Millisecond
	for what, wait := range map[string]func() (*harness, step.RequestID){
		"an interrupted stream": func() (*harness, step.RequestID) {
			x, id, _ := interruptedStream(t, 2)
			return x, id
		},
		"the probe of a host": func() (*harness, step.RequestID) {
			x := startedWithSlack(t)
			id, effects := x.call("/read/1", "key")
			f := x.requireForward(effects)
			x.s.Reduce(step.Time{Mono: x.now}, step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedBroken}})
			require.NotNil(t, x.s.calls[id].awaitsProbe)
			return x, id
		},
	} {
		x, id := wait()
		require.Empty(t, answersOf(x.reduce(step.Stop{Since: x.now - late})), what)
		x.now += 100 * time.Millisecond
		answers := answersOf(x.reduce(step.Tick{}))
		require.Len(t, answers, 1, what)
		require.Equal(t, id, answers[0].ID, what)
		require.Equal(t, 504, answers[0].Status, "%s: it may have run", what)
		require.Empty(t, x.s.calls, what)
	}
}
