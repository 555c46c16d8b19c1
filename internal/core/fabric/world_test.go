package fabric

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// The world of these tests: engines that obey orders as their protocol says, a registry
// that lags, and pools that order them over paths that lose and delay.

const (
	worldStep  = 10 * time.Millisecond
	worldStall = 5 * time.Second
	entryLag   = 60 * time.Millisecond
	orderTrip  = 10 * time.Millisecond
)

func testEngine() *site.Engine {
	return &site.Engine{
		Slots: 26, Step: 6 * time.Millisecond, StepPerRequest: 50 * time.Microsecond, StepsPerPass: 7, ReadPerSecond: 50000,
		UsualPrompt: 1000, UsualAnswer: 180, ReportLag: 200 * time.Millisecond, Opening: 300 * time.Millisecond,
		LoadsPerSecond: 4.5, LoadsAtOnce: 6,
		Models: []site.Model{
			{Name: "m0", Size: 4, Share: 0.57, Pace: 1, Load: 4 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "m1", Size: 3, Share: 0.43, Pace: 0.6, Load: 3 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// fakeEngine is one host's engine. Its fields are the truth; others see it late.
type fakeEngine struct {
	id, domain string
	up         bool
	born       int64
	orders     uint64
	staged     []string
	member     site.Membership
	list       []string
	model      string
	last       string // model of its last group
	highest    uint64 // epoch seen
	readyAt    time.Duration
	openAt     time.Duration // an order to open takes effect; zero if none
	stillFrom  time.Duration // the head lacks a member; zero if it does not
	draining   bool
	cut        bool // pools can't reach it
	hidden     bool // the registry does not hear it
	entryDue   time.Duration
	listedAs   *site.Host
	lapsesAt   time.Duration
}

type timed struct {
	at time.Duration
	do func()
}

type world struct {
	now     time.Duration
	engine  *site.Engine
	engines map[string]*fakeEngine
	ids     []string
	pools   []*Pool
	bornN   int64
	later   []timed
	// readied are the formations under which each host was ever ready.
	readied map[string]map[string]bool
	loads   []time.Duration
	broken  []string // invariants
	journal []string // what the pools logged
	ops     step.OpID
	// lose and delay decide what becomes of an order's answer: lost, and carried out
	// after a time.
	lose  func() bool
	delay func() time.Duration
}

func newWorld(domains, perDomain, pools int) *world {
	w := &world{
		engine: testEngine(), engines: make(map[string]*fakeEngine), readied: make(map[string]map[string]bool),
		lose: func() bool { return false }, delay: func() time.Duration { return 0 },
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

func (w *world) addPool() {
	p := New(Settings{Stall: worldStall}, func() step.OpID { w.ops++; return w.ops })
	p.SetEngine(w.engine)
	w.pools = append(w.pools, p)
	w.publish(true)
}

func (w *world) add(id, domain string) *fakeEngine {
	w.bornN++
	e := &fakeEngine{id: id, domain: domain, up: true, born: w.bornN}
	w.engines[id] = e
	w.ids = append(w.ids, id)
	slices.Sort(w.ids)
	return e
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, timed{w.now + d, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += worldStep {
		due := w.later
		w.later = nil
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.later = append(w.later, e)
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

// silence lets time pass in which no engine can be reached.
func (w *world) silence(d time.Duration) {
	before := make(map[string]bool, len(w.ids))
	for _, id := range w.ids {
		before[id], w.engines[id].cut = w.engines[id].cut, true
	}
	w.run(d)
	for _, id := range w.ids {
		w.engines[id].cut = before[id]
	}
}

func (w *world) tick(p *Pool) {
	out := &step.Out{}
	p.Tick(w.now, out)
	p.Noted()
	w.carry(p, out)
}

func (w *world) carry(p *Pool, out *step.Out) {
	for _, effect := range out.Effects {
		switch e := effect.(type) {
		case step.AskReport:
			w.report(p, e)
		case step.SendGroupOrder:
			w.order(p, e)
		case step.Log:
			w.journal = append(w.journal, fmt.Sprint(w.now, " ", slices.Index(w.pools, p), " ", e.ID, " ", e.Fields))
		}
	}
}

func (w *world) report(p *Pool, e step.AskReport) {
	sent := w.now
	f := w.engines[e.Host]
	if f == nil || !f.up || f.cut {
		w.after(300*time.Millisecond, func() { w.toPool(p, step.ReportRead{Host: e.Host, Sent: sent}) })
		return
	}
	r := site.Report{Born: f.born, Orders: f.orders, Model: f.model, Staged: slices.Clone(f.staged), Member: f.member}
	w.after(orderTrip, func() { w.toPool(p, step.ReportRead{Host: e.Host, OK: true, Report: r, Sent: sent}) })
}

func (w *world) toPool(p *Pool, ev step.Event) {
	out := &step.Out{}
	switch e := ev.(type) {
	case step.ReportRead:
		p.OnReport(w.now, e, out)
	case step.GroupOrderAnswered:
		p.OnOrder(w.now, e, out)
	}
	w.carry(p, out)
}

func (w *world) order(p *Pool, e step.SendGroupOrder) {
	answer := func(o step.OrderOutcome) {
		w.after(orderTrip, func() { w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: o}) })
	}
	f := w.engines[e.Host]
	if f == nil || !f.up || f.cut {
		w.after(time.Second, func() {
			w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: step.OrderNotSent})
		})
		return
	}
	born := f.born
	if w.lose() {
		w.after(w.delay(), func() {
			if f.up && f.born == born {
				w.obey(f, e.Order)
			}
		})
		w.after(time.Second, func() {
			w.toPool(p, step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: step.OrderLost})
		})
		return
	}
	w.after(orderTrip/2, func() {
		if !f.up || f.born != born {
			answer(step.OrderLost)
			return
		}
		answer(w.obey(f, e.Order))
	})
}

// obey carries out an order as the engines' protocol says.
func (w *world) obey(f *fakeEngine, o step.GroupOrder) step.OrderOutcome {
	if o.Expect != f.orders {
		return step.OrderUnfit
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
		return step.OrderBegun
	case step.OrderLeave:
		if !mine {
			return step.OrderDone
		}
		f.orders++
		f.last = f.model
		f.member, f.list, f.model = site.Membership{}, nil, ""
		f.stillFrom, f.openAt = 0, 0
		return step.OrderDone
	case step.OrderOpen:
		if !mine || f.member.Rank != 0 || f.member.Phase != site.Ready {
			return step.OrderUnfit
		}
		f.orders++
		f.openAt = w.now + w.engine.Opening
		return step.OrderBegun
	}
	if !mine || f.member.Phase == site.Ready || f.member.Phase == site.Joining {
		return step.OrderUnfit
	}
	f.orders++
	f.member.Phase, f.stillFrom = site.Ready, 0
	return step.OrderBegun
}

func (w *world) load(f *fakeEngine, model string) {
	w.loads = append(w.loads, w.now)
	born := f.born
	w.after(w.engine.Model(model).Load, func() {
		if f.up && f.born == born {
			f.staged = []string{model}
		}
	})
}

func (w *world) join(f *fakeEngine, o step.GroupOrder) step.OrderOutcome {
	if o.Group.Epoch < f.highest || o.Group == f.member.Group && !slices.Equal(f.list, o.Members) {
		return step.OrderUnfit
	}
	if f.member.Phase != site.Absent && f.member.Group != o.Group {
		w.checkFree(f)
	}
	f.orders++
	f.highest = o.Group.Epoch
	m := w.engine.Model(o.Model)
	took := m.Warm
	switch {
	case f.last == o.Model || f.model == o.Model:
		took = 200 * time.Millisecond
	case !slices.Contains(f.staged, o.Model):
		w.load(f, o.Model)
		took = m.Load
	}
	f.member = site.Membership{Group: o.Group, Rank: slices.Index(o.Members, f.id), Phase: site.Joining}
	f.list, f.model, f.readyAt, f.stillFrom, f.openAt = slices.Clone(o.Members), o.Model, w.now+took, 0, 0
	return step.OrderBegun
}

// checkFree checks that the head of a host's group can't serve any more.
func (w *world) checkFree(f *fakeEngine) {
	if len(f.list) == 0 {
		return
	}
	head := w.engines[f.list[0]]
	if head == nil || !head.up || head.member.Group != f.member.Group {
		return
	}
	if p := head.member.Phase; p == site.Open || p == site.Closing {
		w.fail("%s joins another group while the head %s of %v is %s", f.id, head.id, f.member.Group, p)
	}
}

func formation(f *fakeEngine) string { return fmt.Sprint(f.member.Group, f.list, f.model) }

// advance lets an engine's own time pass.
func (w *world) advance(f *fakeEngine) {
	if !f.up {
		return
	}
	if f.member.Phase == site.Joining && w.now >= f.readyAt {
		f.member.Phase = site.Ready
		if w.readied[f.id] == nil {
			w.readied[f.id] = make(map[string]bool)
		}
		w.readied[f.id][formation(f)] = true
	}
	if f.openAt > 0 && w.now >= f.openAt && f.member.Phase == site.Ready {
		f.openAt, f.member.Phase = 0, site.Open
		w.checkWhole(f)
	}
	if f.member.Phase != site.Open {
		return
	}
	still := false
	for _, id := range f.list {
		m := w.engines[id]
		still = still || m == nil || !m.up || m.member.Group != f.member.Group || m.born > f.born && m.readyAt == 0
	}
	switch {
	case still && f.stillFrom == 0:
		f.stillFrom = w.now
	case !still:
		f.stillFrom = 0
	case w.now-f.stillFrom >= worldStall:
		f.member.Phase = site.Broken
	}
}

// checkWhole checks that a group that begins to serve has its size, and that each member
// was ready in it.
func (w *world) checkWhole(f *fakeEngine) {
	if len(f.list) != w.engine.Model(f.model).Size {
		w.fail("%s opens with %d members", f.id, len(f.list))
	}
	for _, id := range f.list {
		if !w.readied[id][formation(f)] {
			w.fail("%s opens %v although %s was never ready in it", f.id, f.member.Group, id)
		}
	}
}

func same(a, b *site.Host) bool {
	return a.Born == b.Born && a.Draining == b.Draining && a.Model == b.Model && a.Member == b.Member && slices.Equal(a.Staged, b.Staged)
}

// publish brings what changed to the registry, and from there to the pools.
func (w *world) publish(force bool) {
	changed := force
	for _, id := range w.ids {
		f := w.engines[id]
		now := site.Host{
			ID: id, Service: "llm", Address: id, DataCentre: "dc", Domain: f.domain, Slots: 26, Draining: f.draining, Born: f.born,
			Staged: slices.Clone(f.staged), Model: f.model, Member: f.member,
		}
		if f.member.Phase == site.Joining {
			now.Model = ""
		}
		if !f.up || f.hidden {
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
			if f.entryDue == 0 {
				f.entryDue = w.now + entryLag
			}
			if w.now >= f.entryDue || force {
				f.listedAs, f.entryDue, changed = &now, 0, true
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

func (w *world) crash(id string) {
	f := w.engines[id]
	f.up = false
	f.member, f.list, f.model, f.last, f.openAt, f.stillFrom, f.orders, f.highest = site.Membership{}, nil, "", "", 0, 0, 0, 0
}

func (w *world) restart(id string) {
	f := w.engines[id]
	w.bornN++
	f.up, f.born, f.readyAt = true, w.bornN, 0
}

// open counts the groups of a model that serve and stand whole.
func (w *world) open(model string) int {
	n := 0
	for _, id := range w.ids {
		f := w.engines[id]
		if f.up && f.member.Phase == site.Open && f.stillFrom == 0 && f.model == model {
			n++
		}
	}
	return n
}

// tooManyLoads reports whether more loads began in some window than the weight store
// bears.
func (w *world) tooManyLoads(window time.Duration, most float64) bool {
	for i := range w.loads {
		n := 0
		for _, at := range w.loads[i:] {
			if at-w.loads[i] < window {
				n++
			}
		}
		if float64(n) > most {
			return true
		}
	}
	return false
}
