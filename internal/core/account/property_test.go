package account

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// actions are what may happen, the frequent ones more than once.
var actions = []string{
	"tick", "tick", "tick", "tick", "admit", "admit", "admit", "settle", "settle", "settle",
	"answer", "answer", "answer", "answer", "answer", "answer", "lose", "delay", "unsent",
	"late", "kill", "leave", "fear",
}

// TestAllowanceHoldsWhateverFails draws histories of requests, ticks, lost and late
// writes, kills, pauses and handoffs, and checks after each step that the account
// stays within the allowance and that nothing is charged twice or lost.
func TestAllowanceHoldsWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contract := &object.Contract{
			RequestsPerMonth: rapid.Int64Range(1, 200).Draw(t, "requests"),
			TokensPerMonth:   rapid.Int64Range(100, 100_000).Draw(t, "tokens"),
		}
		w := newWorld(rapid.IntRange(1, 3).Draw(t, "daemons"), contract, true)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			n := rapid.SampledFrom(w.daemons).Draw(t, "daemon")
			w.act(t, n, rapid.SampledFrom(actions).Draw(t, "action"))
			checkAccount(t, w)
		}
	})
}

func (w *world) act(t *rapid.T, n *node, action string) {
	switch action {
	case "tick":
		w.now += time.Duration(rapid.IntRange(1, 1_500).Draw(t, "ms")) * time.Millisecond
		n.tick()
	case "admit":
		for range rapid.IntRange(1, 5).Draw(t, "many") {
			n.admit(rapid.Int64Range(1, 2_000).Draw(t, "estimate"))
		}
	case "settle":
		if len(n.tickets) > 0 {
			actual := rapid.Int64Range(0, n.tickets[0].Reserved).Draw(t, "actual")
			outcome := rapid.SampledFrom([]object.Outcome{object.Completed, object.Unknown, object.NotRun}).Draw(t, "outcome")
			n.settle(actual, outcome)
		}
	case "answer", "lose", "delay", "unsent":
		w.carryOut(n, action)
	case "late":
		if len(w.network) > 0 {
			w.apply(w.network[0])
			w.network = w.network[1:]
		}
	case "kill":
		w.replace(n)
	case "leave":
		w.leave(n, rapid.SampledFrom(w.daemons).Draw(t, "to"))
	case "fear":
		n.feared = !n.feared
	}
}

// carryOut deals with a daemon's next call in one of the ways that can happen.
func (w *world) carryOut(n *node, how string) {
	if len(n.calls) == 0 {
		return
	}
	c := n.calls[0]
	n.calls = n.calls[1:]
	switch how {
	case "lose": // takes effect, its answer is lost
		w.apply(c)
		n.reply(step.PlatformReply{Op: c.op(), Status: step.ReplyLost})
	case "delay": // given up, but may still arrive
		w.network = append(w.network, c)
		n.reply(step.PlatformReply{Op: c.op(), Status: step.ReplyLost})
	case "unsent":
		n.reply(step.PlatformReply{Op: c.op(), Status: step.ReplyUnsent})
	default:
		n.reply(w.apply(c))
	}
}

// replace ends a daemon and starts the next run of it; what it sent may still arrive.
func (w *world) replace(n *node) {
	w.runs++
	w.network = append(w.network, n.calls...)
	w.daemons[slices.Index(w.daemons, n)] = w.start(n.name, 1+w.runs)
}

// leave stops a daemon gracefully in an outage: its usage is handed to another.
func (w *world) leave(n, to *node) {
	for len(n.tickets) > 0 {
		n.settle(n.tickets[0].Reserved, object.Completed)
	}
	n.Close()
	var out step.Out
	n.Handoff(to.name, &out)
	n.take(out)
	w.replace(n)
}

func checkAccount(t *rapid.T, w *world) {
	settled, open, uncertain := w.sums()
	total := settled.plus(open).plus(uncertain)
	if !allowanceOf(w.contract).covers(total) {
		t.Fatalf("settled %v, open %v, uncertain %v exceed %v", settled, open, uncertain, allowanceOf(w.contract))
	}
	if !amountOf(w.truth).covers(settled) {
		t.Fatalf("settled %v of %v that were used: charged twice", settled, amountOf(w.truth))
	}
	if !total.covers(amountOf(w.truth)) {
		t.Fatalf("used %v, of which the account covers only %v", amountOf(w.truth), total)
	}
}
