package group

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// control brings a held domain forward: first what the object should say, written in
// one conditional update, then, once that stands, the orders that follow from it.
func (c *Controller) control(now step.Time, d *domain, out *step.Out) {
	c.watchHosts(now.Mono, d, out)
	c.watchGroups(now.Mono, d, out)
	if d.pending != 0 || !c.valid(now.Mono) || (d.tried != 0 && now.Mono-d.tried < writeEvery) {
		return
	}
	if c.leave(now.Mono, d) {
		c.release(now.Mono, d, out)
		return
	}
	if now.Mono-d.heldAt < settleAfter {
		return // what was seen before the takeover may be old
	}
	p := &plan{c: c, d: d, now: now.Mono, next: cloneDomain(d.value)}
	if !d.dark && !d.storm {
		p.make()
	}
	p.pin()
	for _, l := range p.logs {
		out.Add(l)
	}
	if p.changed {
		c.write(now.Mono, d, p.next, out)
		return
	}
	c.order(now.Mono, d, out)
}

// plan is the next state of a domain in the making.
type plan struct {
	c       *Controller
	d       *domain
	now     time.Duration
	next    *object.Domain
	changed bool
	logs    []step.Log
	taken   map[string]string // host to group
}

func (p *plan) make() {
	p.taken = make(map[string]string)
	for _, name := range sorted(p.next.Groups) {
		for _, host := range p.next.Groups[name].Members {
			p.taken[host] = name
		}
	}
	p.dissolveUnwanted()
	p.repair()
	p.form()
}

func (p *plan) log(id event.ID, fields ...event.Field) {
	fields = append([]event.Field{event.F("domain", p.d.name)}, fields...)
	p.logs = append(p.logs, step.Log{ID: id, Fields: fields})
}

// setGroup writes a group under the next generation.
func (p *plan) setGroup(name string, g object.Group) {
	if p.next.Groups == nil {
		p.next.Groups = make(map[string]object.Group)
	}
	p.next.Last++
	for _, other := range p.next.Groups {
		p.next.Last = max(p.next.Last, other.Generation+1)
	}
	g.Generation = p.next.Last
	p.next.Groups[name] = g
	for _, host := range g.Members {
		p.taken[host] = name
	}
	p.changed = true
}

func (p *plan) dissolve(name, why string) {
	g := p.next.Groups[name]
	p.next.Last = max(p.next.Last, g.Generation)
	for _, host := range g.Members {
		delete(p.taken, host)
	}
	delete(p.next.Groups, name)
	p.changed = true
	p.log(event.GroupDissolved, event.F("group", name), event.F("reason", why))
}

// dissolveUnwanted ends groups of models that are gone, have another number of
// members, or have had too many groups for a while.
func (p *plan) dissolveUnwanted() {
	for _, name := range sorted(p.next.Groups) {
		g := p.next.Groups[name]
		m, ok := p.c.Config.Model(g.Model)
		if !ok || m.Members != len(g.Members) {
			p.dissolve(name, "the model does not want it")
		}
	}
	for _, model := range p.c.Config.Names(object.KindModel) {
		p.dissolveSurplus(model)
	}
}

// dissolveSurplus ends one group of a model that has too many over all domains. The
// last domain by name gives up its last group.
func (p *plan) dissolveSurplus(model string) {
	m, _ := p.c.Config.Model(model)
	total, last := p.c.countGroups(model)
	if total <= m.Groups || last.domain != p.d.name {
		delete(p.d.surplus, model)
		return
	}
	since, ok := p.d.surplus[model]
	if !ok {
		p.d.surplus[model] = p.now
		return
	}
	if _, stands := p.next.Groups[last.group]; stands && p.now-since >= surplusAfter {
		delete(p.d.surplus, model)
		p.dissolve(last.group, "the model has more groups than wanted")
	}
}

// loss is a group with members that can't serve.
type loss struct {
	name    string
	planned []int // ranks of members that leave or are taken out
	down    []int // ranks of members that do not answer
}

// repair replaces members that leave at once and members that are lost when that is
// sooner than their return.
func (p *plan) repair() {
	if baselinePolicy {
		p.dissolveBroken()
		return
	}
	var stuck []loss
	for _, name := range sorted(p.next.Groups) {
		l := p.lost(name)
		if len(l.planned)+len(l.down) == 0 {
			continue
		}
		before := p.changed
		if !p.replace(l) && p.overdue(l) {
			stuck = append(stuck, l)
		}
		if p.changed == before {
			p.wait(l)
		}
	}
	if len(stuck) > 0 {
		p.consolidate(stuck)
	}
}

// dissolveBroken is the baseline: a group that lost a member ends, and a new one is
// formed when enough hosts are free.
func (p *plan) dissolveBroken() {
	for _, name := range sorted(p.next.Groups) {
		if l := p.lost(name); len(l.planned)+len(l.down) > 0 {
			p.dissolve(name, "a member is lost")
		}
	}
}

// wait says once that a group waits for its members.
func (p *plan) wait(l loss) {
	ch, ok := p.d.changes[l.name]
	if !ok || ch.waiting {
		return
	}
	ch.waiting = true
	var hosts []string
	for _, rank := range append(slices.Clone(l.planned), l.down...) {
		hosts = append(hosts, p.next.Groups[l.name].Members[rank])
	}
	p.log(event.GroupWaiting, event.F("group", l.name), event.F("for", hosts))
}

func (p *plan) lost(name string) loss {
	l := loss{name: name}
	for rank, member := range p.next.Groups[name].Members {
		h, ok := p.c.Fleet.Host(member)
		switch {
		case ok && p.c.leavingHost(h):
			l.planned = append(l.planned, rank)
		case !p.d.host(member).serves(p.now, p.c.set.Restart):
			l.down = append(l.down, rank)
		}
	}
	return l
}

// replace puts spares in the place of lost members, and reports whether it did or
// still waits for their return by choice.
func (p *plan) replace(l loss) bool {
	ranks := l.planned
	if len(l.down) > 0 {
		if !p.giveUpWaiting(l) {
			if len(l.planned) == 0 {
				return true
			}
		} else {
			ranks = append(slices.Clone(ranks), l.down...)
		}
	}
	g := p.next.Groups[l.name]
	if p.c.centreOut(g.DataCentre) {
		return true // on its return the hosts are as likely to be there as any
	}
	spares := p.spares(len(ranks))
	if len(spares) < len(ranks) {
		return false
	}
	g.Members = slices.Clone(g.Members)
	for i, rank := range ranks {
		delete(p.taken, g.Members[rank])
		g.Members[rank] = spares[i]
	}
	p.setGroup(l.name, g)
	p.log(event.GroupRepaired, event.F("group", l.name), event.F("generation", p.next.Groups[l.name].Generation), event.F("spares", spares))
	return true
}

// giveUpWaiting decides between waiting for lost members and replacing them, by which
// is expected sooner. A short pause costs nothing to wait for; a member that comes
// back as another incarnation loads its weights like a spare does.
func (p *plan) giveUpWaiting(l loss) bool {
	d, set := p.d, p.c.set
	g := p.next.Groups[l.name]
	swap := set.Load
	if m, ok := d.loads[g.Model]; ok {
		swap = m.or(set.Load)
	}
	wait := time.Duration(0)
	for _, rank := range l.down {
		s := d.host(g.Members[rank])
		if s.flapping {
			return true
		}
		if p.now-s.since < p.patience(swap) {
			return false
		}
		wait = max(wait, remaining(p.now, s.since, d.returns.or(set.Return)))
	}
	wait += swap
	if p.survivorsRestart(g) {
		swap += d.restarts.or(set.Restart)
	}
	return swap < wait
}

// patience is how long a member may be silent before it counts as more than paused.
func (p *plan) patience(load time.Duration) time.Duration {
	return min(max(2*p.d.pauses.or(p.c.set.Patience/2), time.Second), max(load/2, time.Second))
}

// survivorsRestart reports whether a change of the group makes members restart: those
// that do not check fencing numbers change their group only that way.
func (p *plan) survivorsRestart(g object.Group) bool {
	for _, member := range g.Members {
		h, ok := p.c.Fleet.Host(member)
		if ok && p.d.host(member).up && !p.c.checks(p.d, h, g.Model) {
			return true
		}
	}
	return false
}

// overdue reports whether a group has waited so long that its survivors may serve
// another.
func (p *plan) overdue(l loss) bool {
	g := p.next.Groups[l.name]
	if p.c.centreOut(g.DataCentre) {
		return false
	}
	for _, rank := range append(slices.Clone(l.down), l.planned...) {
		if s := p.d.host(g.Members[rank]); !s.up && p.now-s.since < p.patience(p.c.set.Load) {
			return false
		}
	}
	return true
}

// consolidate gives up one of several stuck groups so that its survivors repair the
// others, or one that has been stuck for long so that its survivors are free.
func (p *plan) consolidate(stuck []loss) {
	worst := stuck[0]
	for _, l := range stuck[1:] {
		if len(l.planned)+len(l.down) >= len(worst.planned)+len(worst.down) {
			worst = l
		}
	}
	g := p.next.Groups[worst.name]
	survivors := len(g.Members) - len(worst.planned) - len(worst.down)
	for _, l := range stuck {
		need := len(l.planned) + len(l.down)
		if l.name != worst.name && need <= survivors+len(p.spares(need)) {
			p.dissolve(worst.name, "its members repair another group")
			return
		}
	}
	for _, rank := range append(slices.Clone(worst.down), worst.planned...) {
		s := p.d.host(g.Members[rank])
		if !s.up && p.now-s.since >= p.c.set.GiveUp {
			p.dissolve(worst.name, "a member has been away too long")
			return
		}
	}
}

// spares returns up to n hosts that may join a group now, the best first: idle before
// busy, and then by name.
func (p *plan) spares(n int) []string {
	var idle, busy []string
	for _, name := range p.c.Fleet.HostsOf(p.d.name) {
		h, _ := p.c.Fleet.Host(name)
		if _, taken := p.taken[name]; taken || !p.usable(h) {
			continue
		}
		if h.Report.Group == "" {
			idle = append(idle, name)
		} else {
			busy = append(busy, name)
		}
	}
	free := append(idle, busy...)
	return free[:min(n, len(free))]
}

func (p *plan) usable(h *fleet.Host) bool {
	s := p.d.host(h.Name)
	return s.up && !s.flapping && !p.c.leavingHost(h) && !p.c.centreOut(h.DataCentre)
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
