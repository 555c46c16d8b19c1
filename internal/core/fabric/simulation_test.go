package fabric

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// These tests simulate engines that carry out orders as their protocol prescribes, a registry
// that lags, and pools that send orders over paths that lose and delay them.

const (
	simulationStep  = 10 * time.Millisecond
	simulationStall = 5 * time.Second
	entryLag        = 60 * time.Millisecond
	orderLatency    = 10 * time.Millisecond
)

func testEngine() *site.Engine {
	return &site.Engine{
		Slots: 26, StepTime: 6 * time.Millisecond, StepTimePerRequest: 50 * time.Microsecond, StepsPerEvent: 7, PromptTokensPerSecond: 50000,
		MeanPromptTokens: 1000, MeanAnswerTokens: 180, ReportLag: 200 * time.Millisecond, OpenDelay: 300 * time.Millisecond,
		MaxLoadsPerSecond: 4.5, MaxConcurrentLoads: 6,
		Models: []site.Model{
			{Name: "m0", GroupSize: 4, Share: 0.57, TimeFactor: 1, LoadTime: 4 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "m1", GroupSize: 3, Share: 0.43, TimeFactor: 0.6, LoadTime: 3 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

// fakeEngine is one host's engine. Its fields are its true state; others see it with a delay.
type fakeEngine struct {
	id, domain   string
	dataCentre   string
	up           bool
	incarnation  int64
	orders       uint64
	staged       []string
	member       site.Membership
	memberIDs    []string
	model        string
	lastModel    string // model of its last group
	highestEpoch uint64 // highest epoch of an order to join
	readyAt      time.Duration
	openAt       time.Duration // when an order to open takes effect; zero if none
	stalledSince time.Duration // since when an open head has lacked a member; zero if it does not
	draining     bool
	unreachable  bool // pools can't reach it
	silent       bool // it accepts connections, and answers nothing
	unregistered bool // its registrations are lost, and its entry expires
	frozen       bool // its entry stays as it is
	// former is the formation that an order made it leave, of these members.
	former        site.GroupID
	formerMembers []string
	entryDueAt    time.Duration
	listedAs      *site.Host
	lapsesAt      time.Duration
}

type scheduledCall struct {
	at time.Duration
	do func()
}

type simulation struct {
	now             time.Duration
	engine          *site.Engine
	engines         map[string]*fakeEngine
	ids             []string
	pools           []*Pool
	lastIncarnation int64
	scheduled       []scheduledCall
	// readyFormations are the formations under which each host was ever ready.
	readyFormations map[string]map[string]bool
	loadStarts      []time.Duration
	violations      []string // violated invariants
	storeOut        bool     // the lease is not written
	checkFormer     bool     // whether checkFree covers the groups that hosts have left
	poolLog         []string // what the pools logged
	ops             step.OpID
	// lose decides whether the answer to an order is lost, and delay after what time such an
	// order is carried out.
	lose  func() bool
	delay func() time.Duration
	// sendDelay returns how late an order leaves its daemon.
	sendDelay func(step.SendGroupOrder) time.Duration
	// sendExpired lets orders leave their daemons although their leases have expired.
	sendExpired bool
	// concurrency are the requests that callers have at the groups of each model, if these have room.
	concurrency map[string]float64
	// closeTime returns how long a head that closes takes to finish its requests.
	closeTime func() time.Duration
}

func newSimulation(domains, perDomain, pools int) *simulation {
	w := &simulation{
		engine: testEngine(), engines: make(map[string]*fakeEngine), readyFormations: make(map[string]map[string]bool),
		sendDelay: func(step.SendGroupOrder) time.Duration { return 0 },
		lose:      func() bool { return false }, delay: func() time.Duration { return 0 }, closeTime: func() time.Duration { return 0 },
	}
	for d := range domains {
		for h := range perDomain {
			w.add(fmt.Sprintf("h%d-%d", d, h), fmt.Sprintf("d%d", d))
		}
	}
	for range pools {
		w.addPool()
	}
	return w
}

func (w *simulation) addPool() {
	p := New(Settings{EngineStall: simulationStall}, func() step.OpID { w.ops++; return w.ops })
	p.SetEngine(w.engine)
	w.pools = append(w.pools, p)
	w.publish(true)
}

func (w *simulation) add(id, domain string) *fakeEngine {
	w.lastIncarnation++
	e := &fakeEngine{id: id, domain: domain, dataCentre: "dc", up: true, incarnation: w.lastIncarnation}
	w.engines[id] = e
	w.ids = append(w.ids, id)
	slices.Sort(w.ids)
	return e
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) after(d time.Duration, do func()) {
	w.scheduled = append(w.scheduled, scheduledCall{w.now + d, do})
}

// run advances the time.
func (w *simulation) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += simulationStep {
		due := w.scheduled
		w.scheduled = nil
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.scheduled = append(w.scheduled, e)
			}
		}
		for _, id := range w.ids {
			w.advance(w.engines[id])
		}
		if w.now%(50*time.Millisecond) == 0 {
			w.publish(false)
			for _, p := range w.pools {
				w.tick(p)
			}
		}
	}
}

// runUnreachable advances the time while no pool can reach any engine.
func (w *simulation) runUnreachable(d time.Duration) {
	before := make(map[string]bool, len(w.ids))
	for _, id := range w.ids {
		before[id], w.engines[id].unreachable = w.engines[id].unreachable, true
	}
	w.run(d)
	for _, id := range w.ids {
		w.engines[id].unreachable = before[id]
	}
}

func (w *simulation) tick(p *Pool) {
	out := &step.Out{}
	p.SetControlUntil(w.now + leaseTTL)
	p.Tick(w.now, out)
	if !w.storeOut {
		p.JoinDelays(w.now)
		p.LoadsEnd(w.now)
		p.OnLeaseWritten()
	}
	w.perform(p, out)
}

func (w *simulation) perform(p *Pool, out *step.Out) {
	for _, effect := range out.Effects {
		switch e := effect.(type) {
		case step.RequestReport:
			w.sendReport(p, e)
		case step.SendGroupOrder:
			w.sendOrder(p, e)
		case step.Log:
			w.poolLog = append(w.poolLog, fmt.Sprint(w.now, " ", slices.Index(w.pools, p), " ", e.ID, " ", e.Fields))
		}
	}
}

func (w *simulation) sendReport(p *Pool, e step.RequestReport) {
	sent := w.now
	f := w.engines[e.Host]
	if f == nil || !f.up || f.unreachable || f.silent {
		silent := f != nil && f.up && f.silent
		w.after(300*time.Millisecond, func() { w.toPool(p, step.ReportAnswered{Host: e.Host, Sent: sent, Accepts: silent}) })
		return
	}
	running, queued := w.requestsAt(f)
	r := site.Report{Running: running, Queued: queued, Incarnation: f.incarnation, OrderCount: f.orders, Model: f.model, Staged: slices.Clone(f.staged), Member: f.member}
	w.after(orderLatency, func() { w.toPool(p, step.ReportAnswered{Host: e.Host, OK: true, Report: r, Sent: sent}) })
}

// requestsAt returns the requests that run and wait at an engine: an equal part of those for its model.
func (w *simulation) requestsAt(f *fakeEngine) (running, queued int) {
	if f.member.Phase != site.Open && f.member.Phase != site.Closing {
		return 0, 0
	}
	n := int(w.concurrency[f.model] / float64(max(1, w.open(f.model))))
	return min(n, w.engine.Slots), min(max(0, n-w.engine.Slots), w.engine.Slots)
}

func (w *simulation) toPool(p *Pool, ev step.Event) {
	out := &step.Out{}
	switch e := ev.(type) {
	case step.ReportAnswered:
		p.OnReport(w.now, e, out)
	case step.GroupOrderAnswered:
		p.OnOrderAnswered(w.now, e, out)
	}
	w.perform(p, out)
}

func (w *simulation) sendOrder(p *Pool, e step.SendGroupOrder) {
	d := w.sendDelay(e)
	if d == 0 {
		w.carryOrder(p, e)
		return
	}
	w.after(d, func() { w.sendLate(p, e) })
}

// sendLate sends an order of a daemon that has stood still since its decision. It may reach hosts that others don't.
func (w *simulation) sendLate(p *Pool, e step.SendGroupOrder) {
	outcome := step.OrderLost
	if f := w.engines[e.Host]; !w.sendExpired && e.Expired(w.now) {
		outcome = step.OrderExpired
	} else if f.up {
		outcome = w.execute(f, e.Order)
	}
	w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: outcome})
}

// carryOrder carries an order to its engine, and the answer back.
func (w *simulation) carryOrder(p *Pool, e step.SendGroupOrder) {
	answer := func(o step.OrderOutcome) {
		w.after(orderLatency, func() { w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: o}) })
	}
	f := w.engines[e.Host]
	if f == nil || !f.up || f.unreachable || f.silent {
		w.after(time.Second, func() {
			w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: step.OrderNotSent})
		})
		return
	}
	incarnation := f.incarnation
	if w.lose() {
		w.after(w.delay(), func() {
			if f.up && f.incarnation == incarnation {
				w.execute(f, e.Order)
			}
		})
		w.after(time.Second, func() {
			w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: step.OrderLost})
		})
		return
	}
	w.after(orderLatency/2, func() {
		if !f.up || f.incarnation != incarnation {
			answer(step.OrderLost)
			return
		}
		answer(w.execute(f, e.Order))
	})
}

// execute carries out an order as the engines' protocol prescribes.
func (w *simulation) execute(f *fakeEngine, o step.GroupOrder) step.OrderOutcome {
	if o.ExpectedOrders != f.orders {
		return step.OrderRejected
	}
	mine := f.member.Phase != site.Absent && f.member.Group == o.Group
	switch o.Kind {
	case step.OrderJoin:
		return w.join(f, o)
	case step.OrderStage:
		if slices.Contains(f.staged, o.Model) {
			return step.OrderDone
		}
		f.orders++
		w.load(f, o.Model)
		return step.OrderAccepted
	case step.OrderLeave:
		if !mine {
			return step.OrderDone
		}
		f.orders++
		f.lastModel = f.model
		f.former, f.formerMembers = f.member.Group, f.memberIDs
		f.member, f.memberIDs, f.model = site.Membership{}, nil, ""
		f.stalledSince, f.openAt = 0, 0
		return step.OrderDone
	case step.OrderOpen:
		if !mine || f.member.Rank != 0 || f.member.Phase != site.Ready {
			return step.OrderRejected
		}
		f.orders++
		f.openAt = w.now + w.engine.OpenDelay
		return step.OrderAccepted
	}
	if !mine || f.member.Phase == site.Ready || f.member.Phase == site.Joining {
		return step.OrderRejected
	}
	f.orders++
	if o.Kind == step.OrderClose && f.member.Phase == site.Closing {
		return step.OrderAccepted // it finishes its requests already
	}
	if d := w.closeTime(); o.Kind == step.OrderClose && f.member.Phase == site.Open && d > 0 {
		f.member.Phase = site.Closing
		incarnation, group := f.incarnation, f.member.Group
		w.after(d, func() {
			if f.up && f.incarnation == incarnation && f.member.Group == group && f.member.Phase == site.Closing {
				f.member.Phase, f.stalledSince = site.Ready, 0
			}
		})
		return step.OrderAccepted
	}
	f.member.Phase, f.stalledSince = site.Ready, 0
	return step.OrderAccepted
}

func (w *simulation) load(f *fakeEngine, model string) {
	w.loadStarts = append(w.loadStarts, w.now)
	incarnation := f.incarnation
	w.after(w.engine.Model(model).LoadTime, func() {
		if f.up && f.incarnation == incarnation {
			f.staged = []string{model}
		}
	})
}

func (w *simulation) join(f *fakeEngine, o step.GroupOrder) step.OrderOutcome {
	if o.Group.Epoch < f.highestEpoch || o.Group == f.member.Group && !slices.Equal(f.memberIDs, o.Members) {
		return step.OrderRejected
	}
	if f.member.Phase != site.Absent && f.member.Group != o.Group {
		w.checkFree(f, f.member.Group, f.memberIDs)
	}
	if w.checkFormer && f.former != o.Group {
		w.checkFree(f, f.former, f.formerMembers)
	}
	f.orders++
	f.highestEpoch = o.Group.Epoch
	m := w.engine.Model(o.Model)
	loadTime := m.WarmLoadTime
	switch {
	case f.lastModel == o.Model || f.model == o.Model:
		loadTime = 200 * time.Millisecond
	case !slices.Contains(f.staged, o.Model):
		w.load(f, o.Model)
		loadTime = m.LoadTime
	}
	f.member = site.Membership{Group: o.Group, Rank: slices.Index(o.Members, f.id), Phase: site.Joining}
	f.memberIDs, f.model, f.readyAt, f.stalledSince, f.openAt = slices.Clone(o.Members), o.Model, w.now+loadTime, 0, 0
	return step.OrderAccepted
}

// checkFree checks that the head of a group that a host is or was in can't serve any more.
func (w *simulation) checkFree(f *fakeEngine, group site.GroupID, members []string) {
	if len(members) == 0 {
		return
	}
	head := w.engines[members[0]]
	if head == nil || !head.up || head.member.Group != group {
		return
	}
	if p := head.member.Phase; p == site.Open || p == site.Closing {
		w.violate("%s joins another group while the head %s of %v is %s", f.id, head.id, group, p)
	}
}

func formation(f *fakeEngine) string { return fmt.Sprint(f.member.Group, f.memberIDs, f.model) }

// advance updates an engine's state for the present time.
func (w *simulation) advance(f *fakeEngine) {
	if !f.up {
		return
	}
	if f.member.Phase == site.Joining && w.now >= f.readyAt {
		f.member.Phase = site.Ready
		if w.readyFormations[f.id] == nil {
			w.readyFormations[f.id] = make(map[string]bool)
		}
		w.readyFormations[f.id][formation(f)] = true
	}
	if f.openAt > 0 && w.now >= f.openAt && f.member.Phase == site.Ready {
		f.openAt, f.member.Phase = 0, site.Open
		w.checkComplete(f)
	}
	if f.member.Phase != site.Open {
		return
	}
	stalled := false
	for _, id := range f.memberIDs {
		m := w.engines[id]
		stalled = stalled || m == nil || !m.up || m.member.Group != f.member.Group || m.incarnation > f.incarnation && m.readyAt == 0
	}
	switch {
	case stalled && f.stalledSince == 0:
		f.stalledSince = w.now
	case !stalled:
		f.stalledSince = 0
	case w.now-f.stalledSince >= simulationStall:
		f.member.Phase = site.Broken
	}
}

// checkComplete checks that a group that starts to serve has the size of its model, and that
// each member was ready in it.
func (w *simulation) checkComplete(f *fakeEngine) {
	if len(f.memberIDs) != w.engine.Model(f.model).GroupSize {
		w.violate("%s opens with %d members", f.id, len(f.memberIDs))
	}
	for _, id := range f.memberIDs {
		if !w.readyFormations[id][formation(f)] {
			w.violate("%s opens %v although %s was never ready in it", f.id, f.member.Group, id)
		}
	}
}

func same(a, b *site.Host) bool {
	return a.Incarnation == b.Incarnation && a.Draining == b.Draining && a.Model == b.Model && a.Member == b.Member && slices.Equal(a.Staged, b.Staged)
}

// publish copies changed state to the registry after its lag, and from there to the pools.
func (w *simulation) publish(force bool) {
	changed := force
	for _, id := range w.ids {
		f := w.engines[id]
		if f.frozen {
			continue
		}
		now := site.Host{
			ID: id, Service: "llm", Address: id, DataCentre: f.dataCentre, Domain: f.domain, Slots: 26, Draining: f.draining, Incarnation: f.incarnation,
			Staged: slices.Clone(f.staged), Model: f.model, Member: f.member,
		}
		if f.member.Phase == site.Joining {
			now.Model = ""
		}
		if !f.up || f.unregistered {
			if f.listedAs != nil && f.lapsesAt == 0 {
				f.lapsesAt = w.now + 3600*time.Millisecond
			}
			if f.lapsesAt > 0 && w.now >= f.lapsesAt && f.listedAs != nil {
				f.listedAs, changed = nil, true
			}
			continue
		}
		f.lapsesAt = 0
		if f.listedAs == nil || !same(f.listedAs, &now) {
			if f.entryDueAt == 0 {
				f.entryDueAt = w.now + entryLag
			}
			if w.now >= f.entryDueAt || force {
				f.listedAs, f.entryDueAt, changed = &now, 0, true
			}
		}
	}
	if !changed {
		return
	}
	for _, p := range w.pools {
		var entries []*site.Host
		for _, id := range w.ids {
			if e := w.engines[id].listedAs; e != nil {
				entries = append(entries, e)
			}
		}
		p.SetHosts(w.now, entries)
	}
}

func (w *simulation) crash(id string) {
	f := w.engines[id]
	f.up = false
	f.member, f.memberIDs, f.model, f.lastModel, f.openAt, f.stalledSince, f.orders, f.highestEpoch = site.Membership{}, nil, "", "", 0, 0, 0, 0
	f.former, f.formerMembers = site.GroupID{}, nil
}

func (w *simulation) restart(id string) {
	f := w.engines[id]
	w.lastIncarnation++
	f.up, f.incarnation, f.readyAt = true, w.lastIncarnation, 0
}

// open counts the groups of a model that serve and have all members.
func (w *simulation) open(model string) int {
	n := 0
	for _, id := range w.ids {
		f := w.engines[id]
		if f.up && f.member.Phase == site.Open && f.stalledSince == 0 && f.model == model {
			n++
		}
	}
	return n
}

// tooManyLoads reports whether in some window more loads began than the weight store allows.
func (w *simulation) tooManyLoads(window time.Duration, most float64) bool {
	for i := range w.loadStarts {
		n := 0
		for _, at := range w.loadStarts[i:] {
			if at-w.loadStarts[i] < window {
				n++
			}
		}
		if float64(n) > most {
			return true
		}
	}
	return false
}

// logged reports whether the pools have logged a line with some text.
func (w *simulation) logged(text string) bool {
	return slices.ContainsFunc(w.poolLog, func(line string) bool { return strings.Contains(line, text) })
}
