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

const (
	stopGrace = 8 * time.Second
	// A stop may cut a stream that was sent at most cutStreamsSent after it and runs into the last sixth of the grace.
	cutStreamsSent = 3 * time.Second
	cutStreamsFrom = stopGrace - stopGrace/6
	worldStep      = 10 * time.Millisecond
)

// stopWorld is a deployment whose daemons are stopped while requests come.
type stopWorld struct {
	worldClock
	t        *testing.T
	daemons  []*stopDaemon
	handed   *handovers
	requests map[step.RequestID]*stopRequest
	version  int64
}

type stopDaemon struct {
	*harness
	name        string
	lease       string // what the store does with calls for the lease: "held", "others", "slow" or "away"
	stoppedAt   time.Duration
	cutOff      bool // from all hosts
	pausedUntil time.Duration
	wasPaused   bool
	queue       []step.Event // while paused
	draining    bool
	idleFor     time.Duration // without a request, since draining
	closeAfter  time.Duration // of idleFor
	closed      bool          // no connection is accepted any more
	exitedAt    time.Duration // zero before
	attempts    map[step.AttemptID]*stopAttempt
}

type stopAttempt struct {
	step.Forward
	reached bool
}

type stopRequest struct {
	id        step.RequestID
	kind      site.Kind
	daemon    *stopDaemon
	sentAt    time.Duration // its last byte
	deadline  time.Duration
	posted    bool
	runs      int
	begun     bool // a stream that has begun
	broke     bool // a host broke off
	elsewhere bool // it was handed over
	ended     bool
	endedAt   time.Duration
	answer    *step.Answer // nil for that of a host
}

func newStopWorld(rt *rapid.T, t *testing.T) *stopWorld {
	w := &stopWorld{worldClock: worldClock{rt: rt, now: time.Minute}, t: t, handed: newHandovers(), requests: make(map[step.RequestID]*stopRequest)}
	n := rapid.IntRange(1, 4).Draw(rt, "daemons")
	for i := range n {
		d := &stopDaemon{
			harness: newHarness(t), name: fmt.Sprintf("d%d", i), attempts: make(map[step.AttemptID]*stopAttempt),
			lease:      rapid.SampledFrom([]string{"others", "held", "slow", "away"}).Draw(rt, "lease"),
			closeAfter: time.Duration(rapid.IntRange(0, 2200).Draw(rt, "close after")) * time.Millisecond,
		}
		d.s = New(Settings{Daemon: d.name, Incarnation: "r", DataCentre: "dc", Cores: 1, Limits: d.s.settings.Limits})
		w.daemons = append(w.daemons, d)
		var peers step.SiteDaemons
		for j := range n {
			peers.Daemons = append(peers.Daemons, step.Peer{Daemon: fmt.Sprintf("d%d", j), Address: fmt.Sprintf("d%d:1", j), DataCentre: "dc"})
		}
		w.post(d, step.SiteHosts{Full: true, Hosts: []site.Host{plainHost("a"), plainHost("b"), plainHost("c"), openHead("h1"), openHead("h2")}})
		w.post(d, peers)
	}
	w.configure(0)
	return w
}

// configure applies a new configuration with other timeouts. It drops the first routes.
func (w *stopWorld) configure(dropped int) {
	w.version++
	timeout := func() time.Duration {
		return rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, 40 * time.Second}).Draw(w.rt, "timeout")
	}
	c := &site.Config{
		Version: w.version,
		Services: map[string]*site.Service{
			"plain": {Name: "plain"},
			"llm": {Name: "llm", Engine: &site.Engine{
				Slots: 26, StepTime: 6 * time.Millisecond, StepsPerEvent: 7, PromptTokensPerSecond: 50000, MeanAnswerTokens: 180,
				Models: []site.Model{{Name: "m", GroupSize: 1, TimeFactor: 1, Share: 1}},
			}},
		},
		Routes: []site.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: site.Once, Timeout: timeout(), MaxTargets: 1, Public: true, Shares: []site.Share{{Service: "plain", Weight: 1}}},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: site.Repeatable, Timeout: timeout(), MaxTargets: 2, Public: true, Shares: []site.Share{{Service: "plain", Weight: 1}}},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: site.Stream, Resumable: rapid.Bool().Draw(w.rt, "resumable"), Timeout: timeout(), MaxTargets: 2, Public: true, Shares: []site.Share{{Service: "llm", Weight: 1}}},
		}[dropped:],
	}
	require.NoError(w.t, c.Prepare())
	for _, d := range w.daemons {
		w.post(d, step.SiteConfig{Revision: uint64(w.version), Config: c})
	}
}

func (w *stopWorld) run(d time.Duration) {
	for until := w.now + d; w.now < until; w.now += worldStep {
		for _, d := range w.daemons {
			if d.pausedUntil <= w.now {
				queue := d.queue
				d.queue = nil
				for _, e := range queue {
					w.post(d, e)
				}
			}
		}
		w.runDue()
		for _, d := range w.daemons {
			if w.now%(50*time.Millisecond) == 0 && d.pausedUntil <= w.now {
				w.post(d, step.Tick{})
			}
			w.drain(d)
		}
	}
}

// drain closes the connections of a daemon once they have been without a request for some time.
func (w *stopWorld) drain(d *stopDaemon) {
	if !d.draining || d.closed || d.pausedUntil > w.now {
		return
	}
	d.idleFor += worldStep
	for _, r := range w.requests {
		if r.daemon == d && !r.ended && r.posted {
			d.idleFor = 0
		}
	}
	if d.idleFor > d.closeAfter {
		d.closed = true
		w.post(d, step.ConnectionsClosed{})
	}
}

// post passes an event to a daemon and carries out the effects.
func (w *stopWorld) post(d *stopDaemon, ev step.Event) {
	if d.exitedAt > 0 {
		return
	}
	if d.pausedUntil > w.now {
		if len(d.queue) == 0 || ev != step.Event(step.Tick{}) {
			d.queue = append(d.queue, ev)
		}
		return
	}
	for _, effect := range d.s.Reduce(step.Time{Mono: w.now}, ev) {
		switch e := effect.(type) {
		case step.Forward:
			w.forward(d, e)
		case step.Cancel:
			w.cancel(d, e)
		case step.Deliver:
			w.end(e.ID, nil)
			w.handed.onEffect(effect)
		case step.Answer:
			w.end(e.ID, &e)
			w.handed.onEffect(effect)
		case step.ReadLease:
			w.answerLease(d, step.LeaseAnswered{Op: e.Op, Era: e.Era, Status: step.ReplyOK, Revision: 7, Lease: step.ControlLease{Holder: "nobody", Incarnation: "x", Renewal: uint64(w.now / time.Second)}})
		case step.WriteLease:
			a := step.LeaseAnswered{Op: e.Op, Era: e.Era, Status: step.ReplyOK, Revision: e.Revision + 1, Lease: e.Lease}
			if d.lease == "others" {
				a.Status = step.ReplyConflict
			}
			w.answerLease(d, a)
		case step.ProbeHost:
			answer := step.HostProbed{Host: e.Host, Result: step.ProbeAccepted, Sent: w.now, PathOf: e.PathOf}
			after := time.Millisecond
			if d.cutOff {
				answer.Result, after = step.ProbeUnanswered, 150*time.Millisecond
			}
			w.after(after, 0, func() { w.post(d, answer) })
		case step.CloseConnections:
			d.draining = true
		case step.Exit:
			w.exit(d)
			return
		}
	}
}

func (w *stopWorld) answerLease(d *stopDaemon, a step.LeaseAnswered) {
	switch d.lease {
	case "away":
		return
	case "slow":
		w.after(200*time.Millisecond, 1500*time.Millisecond, func() { w.post(d, a) })
	default:
		w.after(5*time.Millisecond, 0, func() { w.post(d, a) })
	}
}

func (w *stopWorld) end(id step.RequestID, a *step.Answer) {
	if r := w.requests[id]; r != nil {
		require.False(w.rt, r.ended, "%s is answered twice", id)
		r.ended, r.endedAt, r.answer = true, w.now, a
	}
}

// exit checks that a daemon exits in time and owes nobody an answer.
func (w *stopWorld) exit(d *stopDaemon) {
	d.exitedAt = w.now
	require.NotZero(w.rt, d.stoppedAt)
	if d.wasPaused {
		for _, id := range sortedStopRequests(w.requests) {
			if r := w.requests[id]; r.daemon == d && r.posted && !r.ended {
				w.end(id, &step.Answer{Status: 504, Outcome: object.Unknown}) // the process answers what the reducer left
			}
		}
		return
	}
	require.LessOrEqual(w.rt, w.now, d.stoppedAt+stopGrace-exitReserve+50*time.Millisecond, "%s exits late", d.name)
	for _, id := range sortedStopRequests(w.requests) {
		if r := w.requests[id]; r.daemon == d && r.posted {
			require.True(w.rt, r.ended, "%s exits and %s has no answer", d.name, id)
		}
	}
}

func sortedStopRequests(requests map[step.RequestID]*stopRequest) []step.RequestID {
	ids := make([]step.RequestID, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *stopWorld) original(id step.RequestID) *stopRequest {
	return w.requests[step.RequestID(w.handed.calls[id].CallerID)]
}

func (w *stopWorld) endAttempt(d *stopDaemon, a *stopAttempt, ending step.Ending, delivered int) {
	if d.attempts[a.Attempt] != a {
		return
	}
	delete(d.attempts, a.Attempt)
	w.handed.onEnded(a.ID, ending)
	if ending == step.EndedBroken || ending == step.EndedError {
		w.original(a.ID).broke = true
	}
	w.post(d, step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Ending: ending, Delivered: delivered}})
}

func (w *stopWorld) forward(d *stopDaemon, f step.Forward) {
	a := &stopAttempt{Forward: f}
	d.attempts[f.Attempt] = a
	r := w.original(f.ID)
	if d.stoppedAt > 0 && r.daemon == d && r.sentAt > d.stoppedAt+cutStreamsSent {
		require.LessOrEqual(w.rt, f.Deadline, d.stoppedAt+stopGrace-finalAnswerReserve, "%s may outlast the daemon", f.ID)
	}
	if f.Daemon != "" {
		w.handOver(d, a)
		return
	}
	if d.cutOff {
		w.after(150*time.Millisecond, 0, func() { w.endAttempt(d, a, step.EndedUnsent, 0) })
		return
	}
	fate := rapid.SampledFrom([]string{"answers", "answers", "answers", "answers", "silent", "silent", "fails", "breaks", "refuses", "unreached"}).Draw(w.rt, "fate")
	if fate == "unreached" {
		w.after(time.Millisecond, 150*time.Millisecond, func() { w.endAttempt(d, a, step.EndedUnsent, 0) })
		return
	}
	w.after(0, 5*time.Millisecond, func() { w.runAtHost(d, a, fate) })
}

// runAtHost runs an attempt that has reached its host.
func (w *stopWorld) runAtHost(d *stopDaemon, a *stopAttempt, fate string) {
	if d.attempts[a.Attempt] != a {
		return
	}
	if fate == "refuses" {
		w.endAttempt(d, a, step.EndedRefused, 0)
		return
	}
	a.reached = true
	r := w.original(a.ID)
	r.runs++
	w.after(max(0, a.Deadline-w.now), 0, func() { w.endAttempt(d, a, step.EndedTimeout, 0) })
	least, most := time.Duration(0), 300*time.Millisecond
	if rapid.Bool().Draw(w.rt, "slow") {
		most = 9 * time.Second
	}
	begun, delivered := false, 0
	if a.FirstByteTimeout > 0 {
		var stall func()
		stall = func() {
			if d.attempts[a.Attempt] == a && !begun {
				w.post(d, step.AnswerStalled{ID: a.ID, Attempt: a.Attempt, TargetSilence: a.FirstByteTimeout})
				w.after(100*time.Millisecond, 0, stall)
			}
		}
		w.after(a.FirstByteTimeout, 0, stall)
	}
	begin := func() {
		if d.attempts[a.Attempt] != a {
			return
		}
		begun = true
		w.post(d, step.AnswerBegan{ID: a.ID, Attempt: a.Attempt, NewConnection: true})
		if a.Stream {
			delivered, r.begun = 1, true
			w.post(d, step.StreamStarted{ID: a.ID, Attempt: a.Attempt})
		}
	}
	if a.Stream && fate != "silent" {
		w.after(20*time.Millisecond, 200*time.Millisecond, begin)
		least = 200 * time.Millisecond
	}
	switch fate {
	case "answers":
		w.after(least, least+most, func() {
			if !begun {
				begin()
			}
			w.endAttempt(d, a, step.EndedComplete, delivered)
		})
	case "fails":
		w.after(least, least+most, func() {
			if a.Stream && begun {
				w.endAttempt(d, a, step.EndedBroken, delivered)
				return
			}
			begin()
			w.endAttempt(d, a, step.EndedError, 0)
		})
	case "breaks":
		w.after(least, least+most, func() { w.endAttempt(d, a, step.EndedBroken, delivered) })
	}
}

// loseHosts cuts a daemon off from all hosts. Its attempts break, or go on.
func (w *stopWorld) loseHosts(d *stopDaemon, breaks bool) {
	d.cutOff = true
	if !breaks {
		return
	}
	var ids []step.AttemptID
	for id, a := range d.attempts {
		if a.Daemon == "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := d.attempts[id]
		delivered := 0
		if w.original(a.ID).begun {
			delivered = 1
		}
		w.endAttempt(d, a, step.EndedBroken, delivered)
	}
}

func (w *stopWorld) handOver(d *stopDaemon, a *stopAttempt) {
	w.original(a.ID).elsewhere = true
	i := slices.IndexFunc(w.daemons, func(o *stopDaemon) bool { return o.name == a.Daemon })
	other := w.daemons[i]
	if other.closed || other.exitedAt > 0 {
		w.after(time.Millisecond, 0, func() { w.endAttempt(d, a, step.EndedUnsent, 0) })
		return
	}
	a.reached = true
	call := w.handed.begin(a.Forward, func(ended step.Event) {
		w.after(time.Millisecond, 3*time.Millisecond, func() {
			if d.attempts[a.Attempt] == a {
				delete(d.attempts, a.Attempt)
				w.post(d, ended)
			}
		})
	})
	call.Deadline = w.now + max(time.Millisecond, a.Deadline-w.now)
	w.after(max(0, a.Deadline-w.now), 0, func() { w.endAttempt(d, a, step.EndedTimeout, 0) })
	w.after(time.Millisecond, 3*time.Millisecond, func() { w.post(other, call) })
}

func (w *stopWorld) cancel(d *stopDaemon, c step.Cancel) {
	a, ok := d.attempts[c.Attempt]
	if !ok {
		return
	}
	if id, handed := w.handed.byID[c.Attempt]; handed {
		delete(w.handed.taken, id)
		for _, other := range w.daemons {
			w.post(other, step.CallerGone{ID: id})
		}
	}
	ending := step.EndedUnsent
	if a.reached {
		ending = step.EndedCancelled
	}
	w.after(0, 20*time.Millisecond, func() { w.endAttempt(d, a, ending, 0) })
}
