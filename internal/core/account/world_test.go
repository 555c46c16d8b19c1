package account

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	testCustomer = "ropes"
	testStart    = 1_800_000_000_000 // Unix milliseconds
)

// world is several daemons before one account in the platform.
type world struct {
	contract *object.Contract
	now      time.Duration
	version  object.Version
	objects  map[string]object.Object
	daemons  []*node
	network  []call // writes whose answers were lost before they arrived

	hasty bool // use short times, so that short histories meet them

	truth     object.Usage // what was used, whoever counted it
	runs      int          // daemons started again
	asked     int          // requests of load, of which later were told to come again
	later     int
	wrote     int
	reads     int
	conflicts int
}

type node struct {
	*Manager
	world       *world
	name        string
	incarnation string
	ops         step.OpID
	calls       []call
	tickets     []Used
	feared      bool // others take it for gone although it runs
}

// call is one call to the platform that has not been carried out.
type call struct {
	from *node
	put  *step.PutObject
	get  *step.GetObject
}

func newWorld(daemons int, contract *object.Contract, hasty bool) *world {
	w := &world{contract: contract, hasty: hasty, objects: make(map[string]object.Object)}
	for i := range daemons {
		w.daemons = append(w.daemons, w.start(fmt.Sprintf("d%d", i), 1))
	}
	return w
}

func (w *world) start(name string, run int) *node {
	n := &node{world: w, name: name, incarnation: fmt.Sprintf("%s.%d", name, run)}
	set := Defaults(name, n.incarnation)
	if w.hasty {
		set.ReapAfter, set.IdleAfter, set.SettleEvery, set.Horizon = time.Second, 5*time.Second, time.Second, time.Second
	}
	n.Manager = New(set, w, func() step.OpID { n.ops++; return n.ops })
	return n
}

// Live and Alive make the world the membership.
func (w *world) Live() int { return len(w.daemons) }

func (w *world) Alive(daemon, incarnation string) bool {
	for _, n := range w.daemons {
		if n.name == daemon && n.incarnation == incarnation && !n.feared {
			return true
		}
	}
	return false
}

func (w *world) time() step.Time {
	return step.Time{Mono: w.now, Unix: testStart + w.now.Milliseconds()}
}

func (n *node) tick() {
	var out step.Out
	n.Tick(n.world.time(), &out)
	n.take(out)
}

func (n *node) take(out step.Out) {
	for _, e := range out.Effects {
		switch e := e.(type) {
		case step.PutObject:
			n.calls = append(n.calls, call{from: n, put: &e})
		case step.GetObject:
			n.calls = append(n.calls, call{from: n, get: &e})
		case step.SendPeer:
			n.world.send(n, e)
		}
	}
}

func (w *world) send(from *node, e step.SendPeer) {
	for _, to := range w.daemons {
		if to.name != e.To {
			continue
		}
		var out step.Out
		switch m := e.Message.(type) {
		case step.UsageHandoff:
			to.OnHandoff(from.name, m, &out)
		case step.UsageTaken:
			to.OnTaken(m)
		}
		to.take(out)
	}
}

func (n *node) admit(tokens int64) Verdict { return n.admitFor(testCustomer, tokens) }

func (n *node) admitFor(customer string, tokens int64) Verdict {
	v := n.Admit(n.world.time(), customer, n.world.contract, tokens)
	if v.Decision == Admitted {
		n.tickets = append(n.tickets, Used{Ticket: v.Ticket, Reserved: tokens})
	}
	return v
}

// settle ends the oldest request with what it really used.
func (n *node) settle(tokens int64, outcome object.Outcome) {
	u := n.tickets[0]
	n.tickets = n.tickets[1:]
	u.Tokens, u.Outcome = tokens, outcome
	if outcome == object.NotRun {
		u.Tokens = 0
	} else {
		n.world.truth.Requests++
		n.world.truth.Tokens += u.Tokens
	}
	n.Settle(n.world.time(), u)
}

// apply carries a call out and returns the platform's answer.
func (w *world) apply(c call) step.PlatformReply {
	if c.get != nil {
		w.reads++
		o := w.objects[c.get.Name]
		if o.Version == 0 {
			return step.PlatformReply{Op: c.get.Op, Status: step.ReplyAbsent}
		}
		return step.PlatformReply{Op: c.get.Op, Status: step.ReplyOK, Object: o}
	}
	if o := w.objects[c.put.Name]; c.put.IfVersion != o.Version {
		w.conflicts++
		return step.PlatformReply{Op: c.put.Op, Status: step.ReplyConflict, Object: o}
	}
	w.wrote++
	w.version++
	o := object.Object{Kind: object.KindAccount, Name: c.put.Name, Version: w.version, Value: c.put.Value}
	w.objects[c.put.Name] = o
	return step.PlatformReply{Op: c.put.Op, Status: step.ReplyOK, Object: o}
}

func (c call) op() step.OpID {
	if c.get != nil {
		return c.get.Op
	}
	return c.put.Op
}

func (n *node) reply(r step.PlatformReply) {
	var out step.Out
	n.OnReply(n.world.time(), r, &out)
	n.take(out)
}

// answerAll carries out calls until none is left.
func (w *world) answerAll() {
	for progress := true; progress; {
		progress = false
		for _, n := range w.daemons {
			if len(n.calls) > 0 {
				c := n.calls[0]
				n.calls = n.calls[1:]
				n.reply(w.apply(c))
				progress = true
			}
		}
	}
}

const (
	tickEvery = 50 * time.Millisecond
	// callTime is how long a call to the platform takes: daemons whose ticks lie
	// closer together than that meet at an account.
	callTime = 5 * time.Millisecond
)

// run lets time pass in ticks, spread evenly over the daemons, with a platform that
// answers.
func (w *world) run(d time.Duration, each func()) {
	for end := w.now + d; w.now < end; w.now += tickEvery {
		together := max(len(w.daemons)*int(callTime)/int(tickEvery), 1)
		for batch := range slices.Chunk(w.daemons, together) {
			for _, n := range batch {
				n.tick()
			}
			w.answerAll()
		}
		if each != nil {
			each()
		}
	}
}

// sums returns the parts of the customer's account of the first month as they stand.
func (w *world) sums() (settled, open, uncertain amount) {
	return w.sumsOf(Name(testCustomer, testStart))
}

func (w *world) sumsOf(name string) (settled, open, uncertain amount) {
	standing, ok := w.objects[name].Value.(*object.Account)
	if !ok {
		return settled, open, uncertain
	}
	for _, s := range standing.Slices {
		open = open.plus(sliceAmount(s))
	}
	return amountOf(standing.Settled), open, amountOf(standing.Uncertain)
}
