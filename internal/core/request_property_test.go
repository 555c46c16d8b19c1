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

// The seed is fixed, so that CI gives the same verdict each time; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// keys are two idempotency keys minted at the start of the run.
var keys = []string{"01a3185c-5000-7001-8000-000000000001", "01a3185c-5000-7002-8000-000000000002"}

// path drives one reducer through requests whose attempts and claim writes end in any
// way and order, and notes what a caller and a target would see.
type path struct {
	t       *rapid.T
	state   *State
	now     time.Duration
	n       int
	calls   map[step.RequestID]*seen
	flying  map[step.AttemptID]step.Dispatch
	ended   []step.AttemptEnded // to be brought again, late
	writes  map[step.OpID]step.Effect
	store   map[string]object.Object
	version object.Version
	ran     map[string]int // by key: attempts that may have run
}

// seen is what became of one request.
type seen struct {
	req    step.Request
	ran    int // attempts that may have run
	finals int
}

func newPath(t *rapid.T) *path {
	p := &path{
		t: t, state: New(Defaults("d1", "run-1", "dc1")),
		calls: make(map[step.RequestID]*seen), flying: make(map[step.AttemptID]step.Dispatch),
		writes: make(map[step.OpID]step.Effect), store: make(map[string]object.Object), ran: make(map[string]int),
	}
	p.do(step.ConfigBatch{Full: true, Revision: 3, Objects: []object.Object{
		{Kind: object.KindContract, Name: "acme", Version: 1, Value: &object.Contract{Models: []string{"*"}, Services: []string{"*"}, DeadlineMillis: 20000}},
		{Kind: object.KindService, Name: "ledger", Version: 2, Value: &object.Service{
			Targets:    []object.ServiceTarget{{Host: "s1", Address: "s1:1", DataCentre: "dc1"}, {Host: "s2", Address: "s2:1", DataCentre: "dc1"}},
			Idempotent: []object.Route{{Method: "GET", Prefix: "/"}}, ColdLimit: 2, WarmLimit: 2,
		}},
	}})
	p.do(step.PlatformState{Reachable: true})
	p.pass(50 * time.Millisecond)
	return p
}

func (p *path) do(e step.Event) {
	at := step.Time{Mono: p.now, Unix: 1_800_000_000_000 + p.now.Milliseconds()}
	for _, effect := range p.state.Reduce(at, e) {
		p.note(effect)
	}
}

func (p *path) note(effect step.Effect) {
	switch e := effect.(type) {
	case step.Dispatch:
		p.open(e.ID)
		p.flying[e.Attempt] = e
	case step.Deliver:
		p.final(e.ID)
	case step.Answer:
		p.final(e.ID)
		p.judge(e)
	case step.PutObject:
		p.writes[e.Op] = e
	case step.GetObject:
		p.writes[e.Op] = e
	}
}

func (p *path) open(id step.RequestID) {
	if p.calls[id].finals > 0 {
		p.t.Fatalf("%s is sent after its final answer", id)
	}
}

func (p *path) final(id step.RequestID) {
	p.open(id)
	p.calls[id].finals++
}

// judge checks that an answer says the truth.
func (p *path) judge(a step.Answer) {
	c := p.calls[a.ID]
	if a.Outcome == object.NotRun && (c.ran > 0 || c.req.Key != "" && c.req.Method != "GET") {
		p.t.Fatalf("%s is said not to have run: %d attempts may have, key %q", a.ID, c.ran, c.req.Key)
	}
	if a.Attempt == object.NotRun && c.ran > 0 {
		p.t.Fatalf("%s: its attempt is said not to have run", a.ID)
	}
	if a.Outcome == object.Completed && p.ran[c.req.Key] == 0 {
		p.t.Fatalf("%s is said to be completed, but its key never ran", a.ID)
	}
}

// pass lets time pass; the targets report.
func (p *path) pass(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * time.Millisecond
		for _, host := range []string{"s1", "s2"} {
			p.do(step.HostReport{Host: host, OK: true, Conn: 1, Sent: p.now, Status: engineapi.Status{Host: host, Incarnation: host + "-1", Ready: true}})
		}
		p.do(step.PlatformState{Reachable: true, Asked: p.now})
		p.do(step.Tick{})
		p.do(step.Wake{})
	}
}

func (p *path) request() {
	p.n++
	r := step.Request{ID: step.RequestID(fmt.Sprintf("r%d", p.n)), Customer: "acme", Service: "ledger", Path: "/", Fingerprint: uint64(p.n)}
	r.Method = rapid.SampledFrom([]string{"GET", "POST"}).Draw(p.t, "method")
	r.Key = rapid.SampledFrom([]string{"", keys[0], keys[1]}).Draw(p.t, "key")
	p.calls[r.ID] = &seen{req: r}
	p.do(r)
}

func (p *path) endAttempt(ending step.Ending) {
	if len(p.flying) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(p.flying))).Draw(p.t, "attempt")
	d := p.flying[id]
	delete(p.flying, id)
	c := p.calls[d.ID]
	if ending != step.EndedUnsent && ending != step.EndedRefused {
		c.ran++
		if c.req.Method != "GET" {
			p.runs(c)
		}
	}
	e := step.AttemptEnded{ID: d.ID, Attempt: id, Ending: ending, Status: 200, Body: []byte("{}")}
	p.ended = append(p.ended, e)
	p.do(e)
}

// runs notes that a call that may not be repeated may have run.
func (p *path) runs(c *seen) {
	if c.ran > 1 {
		p.t.Fatalf("%s may have run twice", c.req.ID)
	}
	if c.req.Key == "" {
		return
	}
	p.ran[c.req.Key]++
	if p.ran[c.req.Key] > 1 {
		p.t.Fatalf("key %s may have run twice", c.req.Key)
	}
}

// answerCall answers one call to the platform, truly, or with its answer lost.
func (p *path) answerCall(lose, reach bool) {
	if len(p.writes) == 0 {
		return
	}
	op := rapid.SampledFrom(slices.Sorted(maps.Keys(p.writes))).Draw(p.t, "op")
	e := p.writes[op]
	delete(p.writes, op)
	r := step.PlatformReply{Op: op, Status: step.ReplyUnsent}
	if reach {
		r = p.carry(op, e)
	}
	if lose {
		r = step.PlatformReply{Op: op, Status: step.ReplyLost}
	}
	p.do(r)
}

// heal answers every call and ends every attempt until all deadlines have passed.
func (p *path) heal() {
	for range 500 {
		for _, op := range slices.Sorted(maps.Keys(p.writes)) {
			e := p.writes[op]
			delete(p.writes, op)
			p.do(p.carry(op, e))
		}
		for range len(p.flying) {
			p.endAttempt(step.EndedTimeout)
		}
		p.pass(50 * time.Millisecond)
	}
}

func (p *path) carry(op step.OpID, e step.Effect) step.PlatformReply {
	r := step.PlatformReply{Op: op, Status: step.ReplyAbsent}
	switch e := e.(type) {
	case step.GetObject:
		if o, ok := p.store[string(e.Kind)+e.Name]; ok {
			r.Status, r.Object = step.ReplyOK, o
		}
	case step.PutObject:
		name := string(e.Value.Kind()) + e.Name
		standing := p.store[name]
		if standing.Version != e.IfVersion {
			r.Status, r.Object = step.ReplyConflict, standing
			return r
		}
		p.version++
		r.Status, r.Object = step.ReplyOK, object.Object{Kind: e.Value.Kind(), Name: e.Name, Version: p.version, Value: e.Value}
		p.store[name] = r.Object
	}
	return r
}

// TestEveryRequestIsAnsweredOnceAndTruthfully lets attempts end in any way and order,
// late and twice, and calls to the platform fail, lose answers and conflict.
func TestEveryRequestIsAnsweredOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPath(t)
		p.version = 100
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { p.request() },
			"end": func(t *rapid.T) {
				p.endAttempt(step.Ending(rapid.IntRange(int(step.EndedWhole), int(step.EndedTimeout)).Draw(t, "ending")))
			},
			"late": func(t *rapid.T) {
				if len(p.ended) > 0 {
					p.do(rapid.SampledFrom(p.ended).Draw(t, "answer"))
				}
			},
			"gone": func(t *rapid.T) {
				if p.n > 0 {
					p.do(step.CallerGone{ID: step.RequestID(fmt.Sprintf("r%d", rapid.IntRange(1, p.n).Draw(t, "request")))})
				}
			},
			"platform": func(t *rapid.T) {
				p.answerCall(rapid.Bool().Draw(t, "lose"), rapid.Bool().Draw(t, "reach"))
			},
			"pass": func(t *rapid.T) {
				p.pass(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * 50 * time.Millisecond)
			},
		})
		p.heal()
		for id, c := range p.calls {
			if c.finals != 1 {
				t.Fatalf("%s got %d final answers", id, c.finals)
			}
		}
	})
}
