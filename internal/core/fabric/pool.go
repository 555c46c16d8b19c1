// Package fabric forms and repairs the groups of model engines that are ordered in two
// steps: every member joins, and once all are ready the head is opened.
//
// The state lies with the engines: each registers its group, rank and phase, so that a
// daemon that takes over control works out what stands from the registered hosts.
// Nothing but three rules makes it safe that two daemons may order at the same time for
// a moment, and that an order may be carried out long after it was sent:
//
//  1. Each order expects the count of orders that its engine has taken up. Of several
//     that expect the same count at most one takes effect, whenever it arrives.
//  2. A head is opened only after every member was seen ready under the group's name,
//     epoch and list. An epoch is never used for two lists.
//  3. Members go to another group only once their head can't serve any more: it was
//     closed and has left the group, by an order of this daemon that was answered; or its
//     process has restarted; or it has been without a member for as long as an engine
//     takes to notice. An engine that can't be reached may still serve others.
//
// The package is pure: time, registered hosts, reports and answers come in, effects go
// out. Times are monotonic times since this daemon started.
package fabric

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// memberEvery is the interval of reports asked of a member, spareEvery of a host
	// outside of groups. A lost member makes its group useless, so it is looked for often.
	memberEvery = 300 * time.Millisecond
	spareEvery  = 2 * time.Second
	// asksAtOnce bounds the questions for reports that are open, and asksPerSecond those
	// that members are asked: a small machine follows as many beside its requests.
	asksAtOnce    = 24
	asksPerSecond = 150
	// suspectPays is the time between two reports of a member from which the daemon that
	// orders learns of a loss sooner by what others tell, through the store.
	suspectPays = 600 * time.Millisecond
	// ordersAtOnce bounds the orders without an answer: each is a connection.
	ordersAtOnce = 256
	// deadMisses is the number of reports in a row that a dead host has not answered.
	deadMisses = 2
	// togetherFor is how far apart questions of one pass are sent: a tick and its carrying out.
	togetherFor = 50 * time.Millisecond
	// deafFor is how long nobody may answer before silence is taken for that of the hosts,
	// and not of the daemon that asks or of the way to all of them.
	deafFor = 1500 * time.Millisecond
	// massShare is the share of a data centre's hosts whose silence is taken as a cut
	// between here and there, not as their death.
	massShare = 0.75
	// massLeast is the number of silent hosts from which massShare is looked at.
	massLeast = 4
	// stallMargin is added to the time after which a head without a member is broken.
	stallMargin = 700 * time.Millisecond
	// lateFor is how long after it was sent an order without an answer may be carried out,
	// as long as the published troubles of this kind last.
	lateFor = 12 * time.Second
	// closeFor is how long a head may finish its requests before a planned change.
	closeFor = 1500 * time.Millisecond
	// orderAgain is how long an order that was taken up may be without visible effect.
	orderAgain = time.Second
	// loadPatience is how many times the usual load a formation may take.
	loadPatience = 3
	// formGrace is added to that for orders, and entries that lag.
	formGrace = 3 * time.Second
	// lagMargin is added to the lag of reports before one is taken to show an order.
	lagMargin = 100 * time.Millisecond
	// unmarkAfter is how long a free host may keep the mark of a formation that is over: most
	// join another soon.
	unmarkAfter = 2 * time.Second
	// loadWindow is the time over which begun loads count against LoadsPerSecond.
	loadWindow = 5 * time.Second
)

// Settings are what the platform promises of engines.
type Settings struct {
	// Stall is how long a head that has lost a member stands still before it is broken.
	Stall time.Duration
}

// Pool is the engines of one service, as the daemon that holds control orders them.
type Pool struct {
	set    Settings
	engine *site.Engine
	next   func() step.OpID

	hosts  map[string]*host
	names  []string // sorted
	groups map[site.GroupID]*group
	// over are formations that were released, and when: members still marked with one are
	// free.
	over  map[site.GroupID]time.Duration
	ops   map[step.OpID]pending
	loads []time.Duration // when loads were begun, oldest first
	// answeredAsk is when the newest question that was answered was sent, heardAt when any
	// answer last came.
	answeredAsk time.Duration
	heardAt     time.Duration
	tally       tally

	active bool
	epoch  uint64 // of the last formation
	// fresh tells that the deployment starts for the first time and no request has come.
	fresh    bool
	tookAt   time.Duration
	newAt    time.Duration // when a host last registered for the first time
	unnoted  bool          // hosts rest that the lease does not name yet
	loadsOff time.Duration
	out      map[string]bool // data centres that must get no work
}

type host struct {
	entry  site.Host
	listed bool
	// orders is the engine's count, known if counted. Reports sent before countFrom may
	// be older than the last order.
	orders    uint64
	counted   bool
	countFrom time.Duration
	// in is the group that the host is in at that count.
	in site.GroupID

	asking   bool
	asked    time.Duration
	dueAt    time.Duration
	answered time.Duration
	heard    bool
	misses   int
	// suspected tells that a report is wanted before all others.
	suspected bool
	report    site.Report

	pending      step.OpID
	staging      string
	stagingSince time.Duration
	restUntil    time.Duration
	silent       bool // a log line has said so
}

type pending struct {
	host  string
	order step.GroupOrder
	sent  time.Duration
}

// New returns a pool without hosts. Next mints the ID of an order.
func New(set Settings, next func() step.OpID) *Pool {
	return &Pool{
		set: set, next: next,
		hosts:  make(map[string]*host),
		groups: make(map[site.GroupID]*group),
		over:   make(map[site.GroupID]time.Duration),
		ops:    make(map[step.OpID]pending),
	}
}

// SetEngine takes up the engines' published behaviour.
func (p *Pool) SetEngine(e *site.Engine) { p.engine = e }

// SetStall takes up how long a head that has lost a member stands still.
func (p *Pool) SetStall(stall time.Duration) { p.set.Stall = stall }

// SetOut tells the data centres that must get no work.
func (p *Pool) SetOut(out map[string]bool) { p.out = out }

// SetHosts takes up the registered hosts of the service.
func (p *Pool) SetHosts(now time.Duration, entries []*site.Host) {
	for _, h := range p.hosts {
		h.listed = false
	}
	for _, e := range entries {
		h := p.hosts[e.ID]
		if h == nil {
			h = &host{}
			p.hosts[e.ID] = h
			p.newAt = now
		}
		if h.entry.Born != e.Born {
			*h = host{answered: now, restUntil: h.restUntil} // another run
		}
		h.entry, h.listed = *e, true
		if h.staging != "" && e.StagedWith(h.staging) {
			h.staging = ""
		}
	}
	p.names = slices.Sorted(maps.Keys(p.hosts))
}

// Take begins control. Epochs of this term are above base. Resting hosts join nothing
// for the time given; loads that the daemon before may have begun count for a while.
func (p *Pool) Take(now time.Duration, base uint64, resting map[string]time.Duration, loadsEnd time.Duration) {
	p.active, p.epoch, p.tookAt = true, base, now
	clear(p.groups)
	clear(p.over)
	clear(p.ops)
	p.heardAt = now
	for name, h := range p.hosts {
		h.pending, h.counted, h.asking, h.misses, h.answered = 0, false, false, 0, now
		h.restUntil = max(h.restUntil, now+resting[name])
	}
	p.loads = nil
	p.loadsOff = now + loadsEnd
}

// SetFresh tells whether the deployment starts for the first time and has had no request:
// until then loads are neither bounded nor slow each other down.
func (p *Pool) SetFresh(fresh bool) { p.fresh = fresh }

// Drop ends control.
func (p *Pool) Drop() { p.active = false }

// Resting returns the hosts that may not join a group yet, with the time left, for the
// daemon that takes over.
func (p *Pool) Resting(now time.Duration) map[string]time.Duration {
	rest := make(map[string]time.Duration)
	for name, h := range p.hosts {
		if h.restUntil > now {
			rest[name] = h.restUntil - now
		}
	}
	for _, g := range p.groups {
		if g.stage == headless {
			for _, m := range g.members {
				rest[m.id] = p.rest(g)
			}
		}
	}
	return rest
}

// LoadsEnd returns how long the loads begun so far count.
func (p *Pool) LoadsEnd(now time.Duration) time.Duration {
	if len(p.loads) == 0 {
		return 0
	}
	return max(0, p.loads[len(p.loads)-1]+loadWindow-now)
}

// NeedsNote reports whether the lease should be written now, since hosts rest that it
// does not name; Noted tells that it does.
func (p *Pool) NeedsNote() bool { return p.unnoted }

// Noted says that a lease with what Resting returned stands.
func (p *Pool) Noted() {
	p.unnoted = false
	for _, g := range p.groups {
		if g.stage == headless {
			g.noted = true
		}
	}
}

// Tick brings the groups forward while this daemon holds control.
func (p *Pool) Tick(now time.Duration, out *step.Out) {
	if !p.active || p.engine == nil {
		return
	}
	p.count()
	p.ask(now, out)
	p.adopt(now)
	for _, id := range p.groupIDs() {
		p.advance(now, p.groups[id], out)
	}
	p.count()
	p.form(now, out)
	p.forget(now)
}

func (p *Pool) groupIDs() []site.GroupID {
	return slices.SortedFunc(maps.Keys(p.groups), func(a, b site.GroupID) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch) - int(b.Epoch)
		}
		return len(a.Name) - len(b.Name)
	})
}

// round is the time between two reports of one of so many members.
func round(members int) time.Duration {
	return max(memberEvery, time.Duration(members)*time.Second/asksPerSecond)
}

// WantsSuspects reports whether a daemon that orders these hosts would learn of a loss
// sooner by what others tell it.
func (p *Pool) WantsSuspects() bool { return round(len(p.names)) >= suspectPays }

// Suspect asks all members of a host's group for reports at once: one of them may be lost.
func (p *Pool) Suspect(host string) {
	g := p.tally.grouped[host]
	if g == nil {
		return
	}
	for _, m := range g.members {
		if h := p.hosts[m.id]; h != nil {
			h.suspected = true
		}
	}
}

// ask asks for the reports that are due, those first that have been due for longest. Only
// so many questions are open at a time: a daemon that asks more than it can follow takes
// its own slowness for the silence of hosts.
func (p *Pool) ask(now time.Duration, out *step.Out) {
	grouped := p.tally.grouped
	every := round(len(grouped))
	open := 0
	var due []string
	for _, name := range p.names {
		h := p.hosts[name]
		if h.asking {
			open++
			continue
		}
		if !h.listed && grouped[name] == nil {
			continue
		}
		switch {
		case h.suspected:
			h.dueAt = 0
		case h.asked == 0, h.misses > 0 && h.misses < 2*deadMisses, !h.counted && now >= h.countFrom:
			h.dueAt = min(h.dueAt, now)
		case grouped[name] != nil:
			h.dueAt = h.asked + every
		default:
			h.dueAt = h.asked + max(spareEvery, every)
		}
		if h.dueAt <= now {
			due = append(due, name)
		}
	}
	slices.SortStableFunc(due, func(a, b string) int { return cmp.Compare(p.hosts[a].dueAt, p.hosts[b].dueAt) })
	for _, name := range due[:min(len(due), max(0, asksAtOnce-open))] {
		h := p.hosts[name]
		h.asking, h.asked, h.dueAt, h.suspected = true, now, now+every, false
		out.Add(step.AskReport{Host: name, Address: h.entry.Address})
	}
}

// OnReport takes the answer to AskReport.
func (p *Pool) OnReport(now time.Duration, r step.ReportRead, out *step.Out) {
	h := p.hosts[r.Host]
	if h == nil || !h.asking {
		return
	}
	h.asking = false
	if r.OK {
		p.heardAt, p.answeredAsk = now, max(p.answeredAsk, r.Sent)
	} else if !p.hears(now, r.Sent) {
		h.suspected = true // to be asked again at once
		return
	}
	if !r.OK || r.Report.Born != h.entry.Born {
		h.misses++
		if h.dead() && !h.silent {
			h.silent = true
			out.Log(event.HostSilent, event.F("host", r.Host), event.F("listed", h.listed), event.F("heardMillis", (now-h.answered).Milliseconds()))
		}
		return
	}
	h.misses, h.answered, h.heard, h.silent = 0, now, true, false
	h.report = r.Report
	if !h.counted && r.Sent >= h.countFrom {
		h.orders, h.counted, h.in = r.Report.Orders, true, r.Report.Member.Group
	}
}

// hears reports whether silence after a question tells of the host that was asked: some other
// question, sent as late as this one, was answered. A daemon that stands still itself finds
// all of its open questions unanswered at one moment, whichever groups they are about.
func (p *Pool) hears(now, sent time.Duration) bool {
	return p.answeredAsk >= sent-togetherFor || now-p.heardAt > deafFor
}

func (h *host) dead() bool { return h.misses >= deadMisses }

// send sends an order that expects the host's count as it is known. It reports false if
// another order is on its way there, the count is not known, or too many are on their way.
func (p *Pool) send(now time.Duration, name string, o step.GroupOrder, out *step.Out) bool {
	h := p.hosts[name]
	if h == nil || h.pending != 0 || !h.counted || len(p.ops) >= ordersAtOnce {
		return false
	}
	o.Expect = h.orders
	op := p.next()
	h.pending = op
	p.ops[op] = pending{host: name, order: o, sent: now}
	out.Add(step.SendGroupOrder{Op: op, Host: name, Address: h.entry.Address, Order: o})
	return true
}

// OnOrder takes the answer to an order. It reports false for one that is not the pool's.
func (p *Pool) OnOrder(now time.Duration, a step.GroupOrderAnswered, out *step.Out) bool {
	op, ok := p.ops[a.Op]
	if !ok {
		return false
	}
	delete(p.ops, a.Op)
	out.Log(event.OrderAnswered, event.F("host", op.host), event.F("order", string(op.order.Kind)),
		event.F("group", op.order.Group.Name), event.F("epoch", op.order.Group.Epoch), event.F("model", op.order.Model),
		event.F("expects", op.order.Expect), event.F("outcome", a.Outcome))
	h := p.hosts[op.host]
	if h == nil || h.pending != a.Op {
		return true
	}
	h.pending = 0
	switch {
	case a.Outcome == step.OrderBegun:
		h.orders++
		if op.order.Kind == step.OrderJoin {
			h.in = op.order.Group
		}
	case a.Outcome == step.OrderDone && op.order.Kind == step.OrderLeave && h.in == op.order.Group:
		// It was a member at the count that the order expected, so that it has left.
		h.orders++
		h.in = site.GroupID{}
	case a.Outcome == step.OrderNotSent:
		h.misses++
	default:
		// Whether the engine counted it shows in a report that is late enough.
		h.counted = false
		h.countFrom = now + p.engine.ReportLag + lagMargin
	}
	if op.order.Kind == step.OrderStage {
		if a.Outcome == step.OrderUnfit || a.Outcome == step.OrderNotSent {
			h.staging = ""
		}
		return true
	}
	if g := p.groups[op.order.Group]; g != nil {
		g.onOrder(now, op, a.Outcome)
	}
	return true
}

// forget drops hosts that are gone and belong to nothing.
func (p *Pool) forget(now time.Duration) {
	grouped := p.tally.grouped
	changed := false
	for name, h := range p.hosts {
		if !h.listed && grouped[name] == nil && h.pending == 0 && now >= h.restUntil {
			delete(p.hosts, name)
			changed = true
		}
	}
	if changed {
		p.names = slices.Sorted(maps.Keys(p.hosts))
	}
}
