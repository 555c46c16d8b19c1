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
	p := &harness{
		t: t, state: New(Defaults("d1", "run-1", "dc1")),
		requests: make(map[step.RequestID]*requestState), inFlight: make(map[step.AttemptID]step.Dispatch),
		platformCalls: make(map[step.OpID]step.Effect), store: make(map[string]object.Object), runsByKey: make(map[string]int),
	}
	p.reduce(step.ConfigBatch{Full: true, Revision: 3, Objects: []object.Object{
		{Kind: object.KindContract, Name: "acme", Version: 1, Value: &object.Contract{Models: []string{"*"}, Services: []string{"*"}, DeadlineMillis: 20000}},
		{Kind: object.KindService, Name: "ledger", Version: 2, Value: &object.Service{
			Targets:    []object.ServiceTarget{{Host: "s1", Address: "s1:1", DataCentre: "dc1"}, {Host: "s2", Address: "s2:1", DataCentre: "dc1"}},
			Idempotent: []object.Route{{Method: "GET", Prefix: "/"}}, ColdLimit: 2, WarmLimit: 2,
		}},
	}})
	p.reduce(step.PlatformState{Reachable: true})
	p.advance(50 * time.Millisecond)
	return p
}

func (p *harness) reduce(e step.Event) {
	at := step.Time{Mono: p.now, Unix: 1_800_000_000_000 + p.now.Milliseconds()}
	for _, effect := range p.state.Reduce(at, e) {
		p.record(effect)
	}
}

func (p *harness) record(effect step.Effect) {
	switch e := effect.(type) {
	case step.Dispatch:
		p.requireOpen(e.ID)
		p.inFlight[e.Attempt] = e
	case step.Deliver:
		p.recordFinal(e.ID)
	case step.Answer:
		p.recordFinal(e.ID)
		p.checkAnswer(e)
	case step.PutObject:
		p.platformCalls[e.Op] = e
	case step.GetObject:
		p.platformCalls[e.Op] = e
	}
}

func (p *harness) requireOpen(id step.RequestID) {
	if p.requests[id].finalAnswers > 0 {
		p.t.Fatalf("request %s: dispatched or answered again after its final answer", id)
	}
}

func (p *harness) recordFinal(id step.RequestID) {
	p.requireOpen(id)
	p.requests[id].finalAnswers++
}

// checkAnswer checks that the outcome in an answer agrees with the attempts that were made.
func (p *harness) checkAnswer(a step.Answer) {
	c := p.requests[a.ID]
	if a.Outcome == object.NotRun && (c.runs > 0 || c.req.Key != "" && c.req.Method != "GET") {
		p.t.Fatalf("request %s: outcome is not_run, but %d attempts may have run, key %q", a.ID, c.runs, c.req.Key)
	}
	if a.Attempt == object.NotRun && c.runs > 0 {
		p.t.Fatalf("request %s: attempt outcome is not_run, but an attempt may have run", a.ID)
	}
	if a.Outcome == object.Completed && p.runsByKey[c.req.Key] == 0 {
		p.t.Fatalf("request %s: outcome is completed, but no attempt with its key ran", a.ID)
	}
}

// advance moves the clock forward by d in ticks of 50 ms. At each tick the targets report and the
// platform is reachable.
func (p *harness) advance(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * time.Millisecond
		for _, host := range []string{"s1", "s2"} {
			p.reduce(step.HostReport{Host: host, OK: true, Conn: 1, Sent: p.now, Status: engineapi.Status{Host: host, Incarnation: host + "-1", Ready: true}})
		}
		p.reduce(step.PlatformState{Reachable: true, Asked: p.now})
		p.reduce(step.Tick{})
		p.reduce(step.Wake{})
	}
}

func (p *harness) request() {
	p.requestCount++
	r := step.Request{ID: step.RequestID(fmt.Sprintf("r%d", p.requestCount)), Customer: "acme", Service: "ledger", Path: "/", Fingerprint: uint64(p.requestCount)}
	r.Method = rapid.SampledFrom([]string{"GET", "POST"}).Draw(p.t, "method")
	r.Key = rapid.SampledFrom([]string{"", keys[0], keys[1]}).Draw(p.t, "key")
	p.requests[r.ID] = &requestState{req: r}
	p.reduce(r)
}

func (p *harness) endAttempt(ending step.Ending) {
	if len(p.inFlight) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(p.inFlight))).Draw(p.t, "attempt")
	d := p.inFlight[id]
	delete(p.inFlight, id)
	c := p.requests[d.ID]
	if ending != step.EndedUnsent && ending != step.EndedRefused {
		c.runs++
		if c.req.Method != "GET" {
			p.recordRun(c)
		}
	}
	e := step.AttemptEnded{ID: d.ID, Attempt: id, Ending: ending, Status: 200, Body: []byte("{}")}
	p.endedAttempts = append(p.endedAttempts, e)
	p.reduce(e)
}

// recordRun counts an attempt, which may have run, of a call that must not run twice.
func (p *harness) recordRun(c *requestState) {
	if c.runs > 1 {
		p.t.Fatalf("%s may have run twice", c.req.ID)
	}
	if c.req.Key == "" {
		return
	}
	p.runsByKey[c.req.Key]++
	if p.runsByKey[c.req.Key] > 1 {
		p.t.Fatalf("key %s may have run twice", c.req.Key)
	}
}

// replyToCall ends one open platform call. If applied is set, the call takes effect; if loseReply
// is set, the reducer learns only that the reply was lost.
func (p *harness) replyToCall(loseReply, applied bool) {
	if len(p.platformCalls) == 0 {
		return
	}
	op := rapid.SampledFrom(slices.Sorted(maps.Keys(p.platformCalls))).Draw(p.t, "op")
	e := p.platformCalls[op]
	delete(p.platformCalls, op)
	r := step.PlatformReply{Op: op, Status: step.ReplyUnsent}
	if applied {
		r = p.applyCall(op, e)
	}
	if loseReply {
		r = step.PlatformReply{Op: op, Status: step.ReplyLost}
	}
	p.reduce(r)
}

// settle replies to every platform call and ends every attempt until all deadlines have passed.
func (p *harness) settle() {
	for range 500 {
		for _, op := range slices.Sorted(maps.Keys(p.platformCalls)) {
			e := p.platformCalls[op]
			delete(p.platformCalls, op)
			p.reduce(p.applyCall(op, e))
		}
		for range len(p.inFlight) {
			p.endAttempt(step.EndedTimeout)
		}
		p.advance(50 * time.Millisecond)
	}
}

func (p *harness) applyCall(op step.OpID, e step.Effect) step.PlatformReply {
	r := step.PlatformReply{Op: op, Status: step.ReplyAbsent}
	switch e := e.(type) {
	case step.GetObject:
		if o, ok := p.store[string(e.Kind)+e.Name]; ok {
			r.Status, r.Object = step.ReplyOK, o
		}
	case step.PutObject:
		name := string(e.Value.Kind()) + e.Name
		current := p.store[name]
		if current.Version != e.IfVersion {
			r.Status, r.Object = step.ReplyConflict, current
			return r
		}
		p.version++
		r.Status, r.Object = step.ReplyOK, object.Object{Kind: e.Value.Kind(), Name: e.Name, Version: p.version, Value: e.Value}
		p.store[name] = r.Object
	}
	return r
}

// TestEveryRequestIsAnsweredOnceAndTruthfully checks that each request gets exactly one final
// answer, with a correct outcome, while attempts end in any way and order, late or twice, and
// platform calls fail, lose their replies or conflict.
func TestEveryRequestIsAnsweredOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newHarness(t)
		p.version = 100
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { p.request() },
			"end": func(t *rapid.T) {
				p.endAttempt(step.Ending(rapid.IntRange(int(step.EndedComplete), int(step.EndedTimeout)).Draw(t, "ending")))
			},
			"late": func(t *rapid.T) {
				if len(p.endedAttempts) > 0 {
					p.reduce(rapid.SampledFrom(p.endedAttempts).Draw(t, "answer"))
				}
			},
			"gone": func(t *rapid.T) {
				if p.requestCount > 0 {
					p.reduce(step.CallerGone{ID: step.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, p.requestCount).Draw(t, "request")))})
				}
			},
			"platform": func(t *rapid.T) {
				p.replyToCall(rapid.Bool().Draw(t, "lose"), rapid.Bool().Draw(t, "reach"))
			},
			"pass": func(t *rapid.T) {
				p.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * 50 * time.Millisecond)
			},
		})
		p.settle()
		for id, c := range p.requests {
			if c.finalAnswers != 1 {
				t.Fatalf("%s got %d final answers", id, c.finalAnswers)
			}
		}
	})
}
