package account

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// actions are the events of a random history. Frequent ones are listed more than once.
var actions = []string{
	"tick", "tick", "tick", "tick", "admit", "admit", "admit", "settle", "settle", "settle",
	"answer", "answer", "answer", "answer", "answer", "answer", "lose", "delay", "unsent",
	"late", "kill", "leave", "fear",
}

// TestAllowanceHoldsWhateverFails draws random histories of requests, ticks, lost and late
// writes, kills, pauses and handoffs. After each step it checks that the account stays within
// the allowance and that no usage is charged twice or lost.
func TestAllowanceHoldsWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contract := &object.Contract{
			RequestsPerMonth: rapid.Int64Range(1, 200).Draw(t, "requests"),
			TokensPerMonth:   rapid.Int64Range(100, 100_000).Draw(t, "tokens"),
		}
		sim := newSimulation(rapid.IntRange(1, 3).Draw(t, "daemons"), contract, true)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			td := rapid.SampledFrom(sim.daemons).Draw(t, "daemon")
			sim.perform(t, td, rapid.SampledFrom(actions).Draw(t, "action"))
			checkAccount(t, sim)
		}
	})
}

func (sim *simulation) perform(t *rapid.T, td *testDaemon, action string) {
	switch action {
	case "tick":
		sim.now += time.Duration(rapid.IntRange(1, 1_500).Draw(t, "ms")) * time.Millisecond
		td.tick()
	case "admit":
		for range rapid.IntRange(1, 5).Draw(t, "many") {
			td.admit(rapid.Int64Range(1, 2_000).Draw(t, "estimate"))
		}
	case "settle":
		if len(td.tickets) > 0 {
			actual := rapid.Int64Range(0, td.tickets[0].Reserved).Draw(t, "actual")
			outcome := rapid.SampledFrom([]object.Outcome{object.Completed, object.Unknown, object.NotRun}).Draw(t, "outcome")
			td.settle(actual, outcome)
		}
	case "answer", "lose", "delay", "unsent":
		sim.finishCall(td, action)
	case "late":
		if len(sim.delayed) > 0 {
			sim.apply(sim.delayed[0])
			sim.delayed = sim.delayed[1:]
		}
	case "kill":
		sim.replace(td)
	case "leave":
		sim.leave(td, rapid.SampledFrom(sim.daemons).Draw(t, "to"))
	case "fear":
		td.suspectedDead = !td.suspectedDead
	}
}

// finishCall ends the daemon's next platform call in one of the ways in which a call can end.
func (sim *simulation) finishCall(td *testDaemon, how string) {
	if len(td.calls) == 0 {
		return
	}
	c := td.calls[0]
	td.calls = td.calls[1:]
	switch how {
	case "lose": // the call takes effect, but its answer is lost
		sim.apply(c)
		td.reply(step.PlatformReply{Op: c.op(), Status: step.ReplyLost})
	case "delay": // the daemon stops waiting, but the call may still take effect
		sim.delayed = append(sim.delayed, c)
		td.reply(step.PlatformReply{Op: c.op(), Status: step.ReplyLost})
	case "unsent":
		td.reply(step.PlatformReply{Op: c.op(), Status: step.ReplyUnsent})
	default:
		td.reply(sim.apply(c))
	}
}

// replace kills a daemon and starts its next incarnation. Calls that it sent may still take
// effect.
func (sim *simulation) replace(td *testDaemon) {
	sim.restarts++
	sim.delayed = append(sim.delayed, td.calls...)
	sim.daemons[slices.Index(sim.daemons, td)] = sim.start(td.name, 1+sim.restarts)
}

// leave stops a daemon gracefully during an outage, so that it hands its usage to another one.
func (sim *simulation) leave(td, to *testDaemon) {
	for len(td.tickets) > 0 {
		td.settle(td.tickets[0].Reserved, object.Completed)
	}
	td.Close()
	var out step.Out
	td.Handoff(to.name, &out)
	td.collect(out)
	sim.replace(td)
}

// checkAccount checks the stored account of the test customer against its allowance and
// against the actual usage.
func checkAccount(t *rapid.T, sim *simulation) {
	settled, open, uncertain := sim.sums()
	total := settled.plus(open).plus(uncertain)
	if !allowanceOf(sim.contract).covers(total) {
		t.Fatalf("settled %v, open %v, uncertain %v exceed %v", settled, open, uncertain, allowanceOf(sim.contract))
	}
	if !amountOf(sim.actualUsage).covers(settled) {
		t.Fatalf("settled %v of %v that were used: charged twice", settled, amountOf(sim.actualUsage))
	}
	if !total.covers(amountOf(sim.actualUsage)) {
		t.Fatalf("used %v, of which the account covers only %v", amountOf(sim.actualUsage), total)
	}
}
