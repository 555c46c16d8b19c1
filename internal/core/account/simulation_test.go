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

// simulation runs several daemons against a simulated platform with a simulated clock.
type simulation struct {
	contract *object.Contract
	now      time.Duration
	version  object.Version
	objects  map[string]object.Object
	daemons  []*testDaemon
	delayed  []call // calls that no daemon waits for any more, but that may still take effect

	shortTimes bool // use short durations, so that they pass within short histories

	actualUsage object.Usage // total usage, independent of how it was counted
	restarts    int          // number of daemons that were started again
	offered     int          // requests sent by load
	deferred    int          // requests sent by load that were not admitted at once
	writes      int
	reads       int
	conflicts   int
}

// testDaemon is one daemon's Manager with its pending calls and open reservations.
type testDaemon struct {
	*Manager
	sim           *simulation
	name          string
	incarnation   string
	lastOp        step.OpID
	calls         []call
	tickets       []Used
	suspectedDead bool // the others consider it gone although it runs
}

// call is a platform call that has not been executed yet.
type call struct {
	from *testDaemon
	put  *step.PutObject
	get  *step.GetObject
}

func newSimulation(daemons int, contract *object.Contract, shortTimes bool) *simulation {
	sim := &simulation{contract: contract, shortTimes: shortTimes, objects: make(map[string]object.Object)}
	for i := range daemons {
		sim.daemons = append(sim.daemons, sim.start(fmt.Sprintf("d%d", i), 1))
	}
	return sim
}

func (sim *simulation) start(name string, run int) *testDaemon {
	td := &testDaemon{sim: sim, name: name, incarnation: fmt.Sprintf("%s.%d", name, run)}
	set := Defaults(name, td.incarnation)
	if sim.shortTimes {
		set.ReapDelay, set.IdleTimeout, set.SettleInterval, set.Horizon = time.Second, 5*time.Second, time.Second, time.Second
	}
	td.Manager = New(set, sim, func() step.OpID { td.lastOp++; return td.lastOp })
	return td
}

// Live and Alive implement Members.
func (sim *simulation) Live() int { return len(sim.daemons) }

func (sim *simulation) Alive(daemon, incarnation string) bool {
	for _, td := range sim.daemons {
		if td.name == daemon && td.incarnation == incarnation && !td.suspectedDead {
			return true
		}
	}
	return false
}

func (sim *simulation) time() step.Time {
	return step.Time{Mono: sim.now, Unix: testStart + sim.now.Milliseconds()}
}

func (td *testDaemon) tick() {
	var out step.Out
	td.Tick(td.sim.time(), &out)
	td.collect(out)
}

// collect queues the platform calls of a step and delivers its messages to the other daemons.
func (td *testDaemon) collect(out step.Out) {
	for _, e := range out.Effects {
		switch e := e.(type) {
		case step.PutObject:
			td.calls = append(td.calls, call{from: td, put: &e})
		case step.GetObject:
			td.calls = append(td.calls, call{from: td, get: &e})
		case step.SendPeer:
			td.sim.send(td, e)
		}
	}
}

func (sim *simulation) send(from *testDaemon, e step.SendPeer) {
	for _, to := range sim.daemons {
		if to.name != e.To {
			continue
		}
		var out step.Out
		switch m := e.Message.(type) {
		case step.UsageHandoff:
			to.OnHandoff(from.name, m, &out)
		case step.UsageTaken:
			to.OnUsageTaken(m)
		}
		to.collect(out)
	}
}

func (td *testDaemon) admit(tokens int64) Verdict { return td.admitFor(testCustomer, tokens) }

func (td *testDaemon) admitFor(customer string, tokens int64) Verdict {
	v := td.Admit(td.sim.time(), customer, td.sim.contract, tokens)
	if v.Decision == Admitted {
		td.tickets = append(td.tickets, Used{Ticket: v.Ticket, Reserved: tokens})
	}
	return v
}

// settle ends the oldest request with its actual usage.
func (td *testDaemon) settle(tokens int64, outcome object.Outcome) {
	u := td.tickets[0]
	td.tickets = td.tickets[1:]
	u.Tokens, u.Outcome = tokens, outcome
	if outcome == object.NotRun {
		u.Tokens = 0
	} else {
		td.sim.actualUsage.Requests++
		td.sim.actualUsage.Tokens += u.Tokens
	}
	td.Settle(td.sim.time(), u)
}

// apply executes a call and returns the platform's answer.
func (sim *simulation) apply(c call) step.PlatformReply {
	if c.get != nil {
		sim.reads++
		o := sim.objects[c.get.Name]
		if o.Version == 0 {
			return step.PlatformReply{Op: c.get.Op, Status: step.ReplyAbsent}
		}
		return step.PlatformReply{Op: c.get.Op, Status: step.ReplyOK, Object: o}
	}
	if o := sim.objects[c.put.Name]; c.put.IfVersion != o.Version {
		sim.conflicts++
		return step.PlatformReply{Op: c.put.Op, Status: step.ReplyConflict, Object: o}
	}
	sim.writes++
	sim.version++
	o := object.Object{Kind: object.KindAccount, Name: c.put.Name, Version: sim.version, Value: c.put.Value}
	sim.objects[c.put.Name] = o
	return step.PlatformReply{Op: c.put.Op, Status: step.ReplyOK, Object: o}
}

func (c call) op() step.OpID {
	if c.get != nil {
		return c.get.Op
	}
	return c.put.Op
}

func (td *testDaemon) reply(r step.PlatformReply) {
	var out step.Out
	td.OnReply(td.sim.time(), r, &out)
	td.collect(out)
}

// answerAll executes and answers calls until none is left.
func (sim *simulation) answerAll() {
	for progress := true; progress; {
		progress = false
		for _, td := range sim.daemons {
			if len(td.calls) > 0 {
				c := td.calls[0]
				td.calls = td.calls[1:]
				td.reply(sim.apply(c))
				progress = true
			}
		}
	}
}

const (
	tickInterval = 50 * time.Millisecond
	// callDuration is the time that a platform call takes. Daemons whose ticks are closer
	// together than this may conflict at an account.
	callDuration = 5 * time.Millisecond
)

// run advances the time in ticks, which are spread evenly over the daemons, while the platform
// answers. After every tick it calls afterTick unless that is nil.
func (sim *simulation) run(d time.Duration, afterTick func()) {
	for end := sim.now + d; sim.now < end; sim.now += tickInterval {
		together := max(len(sim.daemons)*int(callDuration)/int(tickInterval), 1)
		for batch := range slices.Chunk(sim.daemons, together) {
			for _, td := range batch {
				td.tick()
			}
			sim.answerAll()
		}
		if afterTick != nil {
			afterTick()
		}
	}
}

// sums returns what the test customer's account of the first month stores: the settled usage,
// the total of the slices (open) and the uncertain usage.
func (sim *simulation) sums() (settled, open, uncertain amount) {
	return sim.sumsOf(Name(testCustomer, testStart))
}

func (sim *simulation) sumsOf(name string) (settled, open, uncertain amount) {
	stored, ok := sim.objects[name].Value.(*object.Account)
	if !ok {
		return settled, open, uncertain
	}
	for _, s := range stored.Slices {
		open = open.plus(sliceAmount(s))
	}
	return amountOf(stored.Settled), open, amountOf(stored.Uncertain)
}
