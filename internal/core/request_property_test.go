package core

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// The seed is fixed so that CI runs are reproducible; pass -rapid.seed to use another.
func init() { _ = flag.Set("rapid.seed", "1") }

// keys are two idempotency keys created at the start of the run.
var keys = []string{"01a3185c-5000-7001-8000-000000000001", "01a3185c-5000-7002-8000-000000000002"}

// harness drives one reducer through requests whose attempts and claim writes end in any way and
// order. It plays the callers, the targets and the platform, and checks every effect.
type harness struct {
	t             *rapid.T
	state         *State
	now           time.Duration
	requestCount  int
	requests      map[step.RequestID]*requestState
	inFlight      map[step.AttemptID]step.Dispatch
	endedAttempts []step.AttemptEnded // delivered once; may be delivered again, late
	platformCalls map[step.OpID]step.Effect
	store         map[string]object.Object
	version       object.Version
	runsByKey     map[string]int // attempts that may have run, by idempotency key
}

// requestState tracks one request.
type requestState struct {
	req          step.Request
	runs         int // attempts that may have run
	finalAnswers int // Answer and Deliver effects
}

func newHarness(t *rapid.T) *harness {
	h := &harness{
		t: t, state: New(Defaults("d1", "run-1", "dc1")),
		requests: make(map[step.RequestID]*requestState), inFlight: make(map[step.AttemptID]step.Dispatch),
		platformCalls: make(map[step.OpID]step.Effect), store: make(map[string]object.Object), runsByKey: make(map[string]int),
	}
	h.reduce(step.ConfigBatch{Full: true, Revision: 3, Objects: []object.Object{
		{Kind: object.KindContract, Name: "acme", Version: 1, Value: &object.Contract{Models: []string{"*"}, Services: []string{"*"}, DeadlineMillis: 20000}},
		{Kind: object.KindService, Name: "ledger", Version: 2, Value: &object.Service{
			Targets:    []object.ServiceTarget{{Host: "s1", Address: "s1:1", DataCentre: "dc1"}, {Host: "s2", Address: "s2:1", DataCentre: "dc1"}},
			Idempotent: []object.Route{{Method: "GET", Prefix: "/"}}, ColdLimit: 2, WarmLimit: 2,
		}},
	}})
	h.reduce(step.PlatformState{Reachable: true})
	h.advance(50 * time.Millisecond)
	return h
}

func (h *harness) reduce(e step.Event) {
	at := step.Time{Mono: h.now, Unix: 1_800_000_000_000 + h.now.Milliseconds()}
	for _, effect := range h.state.Reduce(at, e) {
		h.record(effect)
	}
}

func (h *harness) record(effect step.Effect) {
	switch e := effect.(type) {
	case step.Dispatch:
		h.requireOpen(e.ID)
		h.inFlight[e.Attempt] = e
	case step.Deliver:
		h.recordFinal(e.ID)
	case step.Answer:
		h.recordFinal(e.ID)
		h.checkAnswer(e)
	case step.PutObject:
		h.platformCalls[e.Op] = e
	case step.GetObject:
		h.platformCalls[e.Op] = e
	}
}

func (h *harness) requireOpen(id step.RequestID) {
	if h.requests[id].finalAnswers > 0 {
		h.t.Fatalf("request %s: dispatched or answered again after its final answer", id)
	}
}

func (h *harness) recordFinal(id step.RequestID) {
	h.requireOpen(id)
	h.requests[id].finalAnswers++
}

// checkAnswer checks that the outcome in an answer agrees with the attempts that were made.
func (h *harness) checkAnswer(a step.Answer) {
	c := h.requests[a.ID]
	if a.Outcome == object.NotRun && (c.runs > 0 || c.req.Key != "" && c.req.Method != "GET") {
		h.t.Fatalf("request %s: outcome is not_run, but %d attempts may have run, key %q", a.ID, c.runs, c.req.Key)
	}
	if a.Attempt == object.NotRun && c.runs > 0 {
		h.t.Fatalf("request %s: attempt outcome is not_run, but an attempt may have run", a.ID)
	}
	if a.Outcome == object.Completed && h.runsByKey[c.req.Key] == 0 {
		h.t.Fatalf("request %s: outcome is completed, but no attempt with its key ran", a.ID)
	}
}

// advance moves the clock forward by d in ticks of 50 ms. At each tick the targets report and
// the platform is reachable.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 50 * time.Millisecond
		for _, host := range []string{"s1", "s2"} {
			h.reduce(step.HostReport{Host: host, OK: true, Conn: 1, Sent: h.now, Status: engineapi.Status{Host: host, Incarnation: host + "-1", Ready: true}})
		}
		h.reduce(step.PlatformState{Reachable: true, Asked: h.now})
		h.reduce(step.Tick{})
		h.reduce(step.Wake{})
	}
}

func (h *harness) request() {
	h.requestCount++
	r := step.Request{ID: step.RequestID(fmt.Sprintf("r%d", h.requestCount)), Customer: "acme", Service: "ledger", Path: "/", Fingerprint: uint64(h.requestCount)}
	r.Method = rapid.SampledFrom([]string{"GET", "POST"}).Draw(h.t, "method")
	r.Key = rapid.SampledFrom([]string{"", keys[0], keys[1]}).Draw(h.t, "key")
	h.requests[r.ID] = &requestState{req: r}
	h.reduce(r)
}

func (h *harness) endAttempt(ending step.Ending) {
	if len(h.inFlight) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(h.inFlight))).Draw(h.t, "attempt")
	d := h.inFlight[id]
	delete(h.inFlight, id)
	c := h.requests[d.ID]
	if ending != step.EndedUnsent && ending != step.EndedRefused {
		c.runs++
		if c.req.Method != "GET" {
			h.recordRun(c)
		}
	}
	e := step.AttemptEnded{ID: d.ID, Attempt: id, Ending: ending, Status: 200, Body: []byte("{}")}
	h.endedAttempts = append(h.endedAttempts, e)
	h.reduce(e)
}

// recordRun counts an attempt, which may have run, of a call that must not run twice.
func (h *harness) recordRun(c *requestState) {
	if c.runs > 1 {
		h.t.Fatalf("%s may have run twice", c.req.ID)
	}
	if c.req.Key == "" {
		return
	}
	h.runsByKey[c.req.Key]++
	if h.runsByKey[c.req.Key] > 1 {
		h.t.Fatalf("key %s may have run twice", c.req.Key)
	}
}

// replyToCall ends one open platform call. If applied is set, the call takes effect. If loseReply
// is set, the reducer learns only that the reply was lost.
func (h *harness) replyToCall(loseReply, applied bool) {
	if len(h.platformCalls) == 0 {
		return
	}
	op := rapid.SampledFrom(slices.Sorted(maps.Keys(h.platformCalls))).Draw(h.t, "op")
	e := h.platformCalls[op]
	delete(h.platformCalls, op)
	r := step.PlatformReply{Op: op, Status: step.ReplyUnsent}
	if applied {
		r = h.applyCall(op, e)
	}
	if loseReply {
		r = step.PlatformReply{Op: op, Status: step.ReplyLost}
	}
	h.reduce(r)
}

// settle replies to every platform call and ends every attempt until all deadlines have passed.
func (h *harness) settle() {
	for range 500 {
		for _, op := range slices.Sorted(maps.Keys(h.platformCalls)) {
			e := h.platformCalls[op]
			delete(h.platformCalls, op)
			h.reduce(h.applyCall(op, e))
		}
		for range len(h.inFlight) {
			h.endAttempt(step.EndedTimeout)
		}
		h.advance(50 * time.Millisecond)
	}
}

func (h *harness) applyCall(op step.OpID, e step.Effect) step.PlatformReply {
	r := step.PlatformReply{Op: op, Status: step.ReplyAbsent}
	switch e := e.(type) {
	case step.GetObject:
		if o, ok := h.store[string(e.Kind)+e.Name]; ok {
			r.Status, r.Object = step.ReplyOK, o
		}
	case step.PutObject:
		name := string(e.Value.Kind()) + e.Name
		current := h.store[name]
		if current.Version != e.IfVersion {
			r.Status, r.Object = step.ReplyConflict, current
			return r
		}
		h.version++
		r.Status, r.Object = step.ReplyOK, object.Object{Kind: e.Value.Kind(), Name: e.Name, Version: h.version, Value: e.Value}
		h.store[name] = r.Object
	}
	return r
}

// TestEveryRequestIsAnsweredOnceAndTruthfully checks that each request gets exactly one final
// answer, with a correct outcome, while attempts end in any way and order, late or twice, and
// platform calls fail, lose their replies or conflict.
func TestEveryRequestIsAnsweredOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.version = 100
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { h.request() },
			"end": func(t *rapid.T) {
				h.endAttempt(step.Ending(rapid.IntRange(int(step.EndedComplete), int(step.EndedTimeout)).Draw(t, "ending")))
			},
			"late": func(t *rapid.T) {
				if len(h.endedAttempts) > 0 {
					h.reduce(rapid.SampledFrom(h.endedAttempts).Draw(t, "answer"))
				}
			},
			"gone": func(t *rapid.T) {
				if h.requestCount > 0 {
					h.reduce(step.CallerGone{ID: step.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, h.requestCount).Draw(t, "request")))})
				}
			},
			"platform": func(t *rapid.T) {
				h.replyToCall(rapid.Bool().Draw(t, "lose"), rapid.Bool().Draw(t, "reach"))
			},
			"pass": func(t *rapid.T) {
				h.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * 50 * time.Millisecond)
			},
		})
		h.settle()
		for id, c := range h.requests {
			if c.finalAnswers != 1 {
				t.Fatalf("%s got %d final answers", id, c.finalAnswers)
			}
		}
	})
}
