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

// control advances a held domain. It first computes the next state of the domain object and
// writes it in one conditional update. Once a state is acknowledged and needs no change, it
// sends the orders that follow from it.
func (c *Controller) control(now step.Time, d *domain, out *step.Out) {
	c.updateHosts(now.Mono, d, out)
	c.updateGroups(now.Mono, d, out)
	if d.pending != 0 || !c.leaseValid(now.Mono) || (d.failedAt != 0 && now.Mono-d.failedAt < writeRetryDelay) {
		return
	}
	if c.shouldRelease(now.Mono, d) {
		c.release(now.Mono, d, out)
		return
	}
	if now.Mono-d.takenAt < settleDelay {
		return // what was observed before the takeover may be stale
	}
	p := &plan{c: c, d: d, now: now.Mono, next: cloneDomain(d.value)}
	if !d.unreachable && !d.massLoss {
		p.build()
	}
	p.pinHosts()
	for _, l := range p.logs {
		out.Add(l)
	}
	if p.changed {
		p.next.Fence++
		c.write(now.Mono, d, p.next, out)
		return
	}
	c.sendOrders(now.Mono, d, out)
}

// plan is the computation of the next state of a domain.
type plan struct {
	c       *Controller
	d       *domain
	now     time.Duration
	next    *object.Domain
	changed bool
	logs    []step.Log
	groupOf map[string]string // by host, the group that it is assigned to
}

// build computes the assignment of hosts to groups.
func (p *plan) build() {
	p.groupOf = make(map[string]string)
	for _, name := range sorted(p.next.Groups) {
		for _, host := range p.next.Groups[name].Members {
			p.groupOf[host] = name
		}
	}
	p.dissolveUnwanted()
	p.repair()
	p.formGroups()
}

func (p *plan) log(id event.ID, fields ...event.Field) {
	fields = append([]event.Field{event.F("domain", p.d.name)}, fields...)
	p.logs = append(p.logs, step.Log{ID: id, Fields: fields})
}

// setGroup sets a group under a new generation.
func (p *plan) setGroup(name string, g object.Group) {
	if p.next.Groups == nil {
		p.next.Groups = make(map[string]object.Group)
	}
	p.next.LastGeneration++
	for _, other := range p.next.Groups {
		p.next.LastGeneration = max(p.next.LastGeneration, other.Generation+1)
	}
	g.Generation = p.next.LastGeneration
	p.next.Groups[name] = g
	for _, host := range g.Members {
		p.groupOf[host] = name
	}
	p.changed = true
}

// dissolve removes a group and frees its members.
func (p *plan) dissolve(name, why string) {
	g := p.next.Groups[name]
	p.next.LastGeneration = max(p.next.LastGeneration, g.Generation)
	for _, host := range g.Members {
		delete(p.groupOf, host)
	}
	delete(p.next.Groups, name)
	p.changed = true
	p.log(event.GroupDissolved, event.F("group", name), event.F("reason", why))
}

// dissolveUnwanted dissolves groups whose model no longer exists, or wants another number of
// members, or has had too many groups for surplusDelay.
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

// dissolveSurplus dissolves one group of a model that has too many groups in all domains: the
// last one by domain and name. Only the holder of that domain acts.
func (p *plan) dissolveSurplus(model string) {
	m, _ := p.c.Config.Model(model)
	total, last := p.c.countGroups(model)
	if total <= m.Groups || last.domain != p.d.name {
		delete(p.d.surplusSince, model)
		return
	}
	since, ok := p.d.surplusSince[model]
	if !ok {
		p.d.surplusSince[model] = p.now
		return
	}
	if _, exists := p.next.Groups[last.group]; exists && p.now-since >= surplusDelay {
		delete(p.d.surplusSince, model)
		p.dissolve(last.group, "the model has more groups than wanted")
	}
}

// loss is a group with members that cannot serve.
type loss struct {
	name    string
	planned []int // ranks of members that leave or were taken out of service
	down    []int // ranks of members that are unresponsive
}

// repair replaces members. Members that leave are replaced at once; members that are lost are
// replaced if that is expected to be sooner than their return.
func (p *plan) repair() {
	if baselinePolicy {
		p.dissolveBroken()
		return
	}
	var stuck []loss
	for _, name := range sorted(p.next.Groups) {
		l := p.findLoss(name)
		if len(l.planned)+len(l.down) == 0 {
			continue
		}
		before := p.changed
		if !p.replace(l) && p.overdue(l) {
			stuck = append(stuck, l)
		}
		if p.changed == before {
			p.logWaiting(l)
		}
	}
	if len(stuck) > 0 {
		p.dissolveStuck(stuck)
	}
}

// dissolveBroken is the baseline policy: a group that lost a member is dissolved, and a new
// one is formed when enough hosts are free.
func (p *plan) dissolveBroken() {
	for _, name := range sorted(p.next.Groups) {
		if l := p.findLoss(name); len(l.planned)+len(l.down) > 0 {
			p.dissolve(name, "a member is lost")
		}
	}
}

// logWaiting logs once that a group waits for its members.
func (p *plan) logWaiting(l loss) {
	st, ok := p.d.groupStates[l.name]
	if !ok || st.waitingLogged {
		return
	}
	st.waitingLogged = true
	var hosts []string
	for _, rank := range append(slices.Clone(l.planned), l.down...) {
		hosts = append(hosts, p.next.Groups[l.name].Members[rank])
	}
	p.log(event.GroupWaiting, event.F("group", l.name), event.F("for", hosts))
}

// findLoss returns the members of a group that cannot serve.
func (p *plan) findLoss(name string) loss {
	l := loss{name: name}
	for rank, member := range p.next.Groups[name].Members {
		h, ok := p.c.Fleet.Host(member)
		switch {
		case ok && p.c.hostExcluded(h):
			l.planned = append(l.planned, rank)
		case !p.d.host(member).expectedToServe(p.now, p.c.set.ExpectedRestart):
			l.down = append(l.down, rank)
		}
	}
	return l
}

// replace assigns spares to the ranks of lost members. It returns false if there are too few
// spares, and true if it replaced the members or decided to wait for their return.
func (p *plan) replace(l loss) bool {
	ranks := l.planned
	if len(l.down) > 0 {
		if !p.shouldReplace(l) {
			if len(l.planned) == 0 {
				return true
			}
		} else {
			ranks = append(slices.Clone(ranks), l.down...)
		}
	}
	g := p.next.Groups[l.name]
	if p.c.dataCentreOut(g.DataCentre) {
		return true // the members are as likely as other hosts to return with the data centre
	}
	spares := p.spares(len(ranks))
	if len(spares) < len(ranks) {
		return false
	}
	g.Members = slices.Clone(g.Members)
	for i, rank := range ranks {
		delete(p.groupOf, g.Members[rank])
		g.Members[rank] = spares[i]
	}
	p.setGroup(l.name, g)
	p.log(event.GroupRepaired, event.F("group", l.name), event.F("generation", p.next.Groups[l.name].Generation), event.F("spares", spares))
	return true
}

// shouldReplace decides between waiting for lost members and replacing them, by which is
// expected to be sooner. It waits through a short pause, since the member then continues as it
// was. A member that comes back as a new incarnation has to load its weights, as a spare has.
// A flapping member is not waited for.
func (p *plan) shouldReplace(l loss) bool {
	d, set := p.d, p.c.set
	g := p.next.Groups[l.name]
	replaceTime := set.ExpectedLoad
	if m, ok := d.meanLoads[g.Model]; ok {
		replaceTime = m.or(set.ExpectedLoad)
	}
	waitTime := time.Duration(0)
	for _, rank := range l.down {
		s := d.host(g.Members[rank])
		if s.flapping {
			return true
		}
		if p.now-s.stateSince < p.replaceDelay(replaceTime) {
			return false
		}
		waitTime = max(waitTime, remainingAbsence(p.now, s.stateSince, d.meanReturn.or(set.ExpectedReturn)))
	}
	waitTime += replaceTime
	if p.survivorsRestart(g) {
		replaceTime += d.meanRestart.or(set.ExpectedRestart)
	}
	return replaceTime < waitTime
}

// replaceDelay returns how long a member may be unresponsive before its loss counts as more
// than a pause: twice the mean pause of the domain, but at most half the load time, and at
// least a second.
func (p *plan) replaceDelay(load time.Duration) time.Duration {
	return min(max(2*p.d.meanPause.or(p.c.set.ReplaceDelay/2), time.Second), max(load/2, time.Second))
}

// survivorsRestart reports whether a change of the group makes remaining members restart.
// Engines that do not check fencing tokens can change their group only by a restart.
func (p *plan) survivorsRestart(g object.Group) bool {
	for _, member := range g.Members {
		h, ok := p.c.Fleet.Host(member)
		if ok && p.d.host(member).up && !p.c.checksFencing(p.d, h, g.Model) {
			return true
		}
	}
	return false
}

// overdue reports whether all missing members of a group have been down for longer than a
// pause, so that the group may be dissolved for the benefit of another one. A group in a data
// centre that is out of service never is.
func (p *plan) overdue(l loss) bool {
	g := p.next.Groups[l.name]
	if p.c.dataCentreOut(g.DataCentre) {
		return false
	}
	for _, rank := range append(slices.Clone(l.down), l.planned...) {
		if s := p.d.host(g.Members[rank]); !s.up && p.now-s.stateSince < p.replaceDelay(p.c.set.ExpectedLoad) {
			return false
		}
	}
	return true
}

// dissolveStuck dissolves at most one of the groups that cannot be repaired, so that its
// remaining members become free: the group with the most lost members, if its remaining members
// can repair another such group or one of its lost members has been absent for AbsenceTimeout.
func (p *plan) dissolveStuck(stuck []loss) {
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
		if !s.up && p.now-s.stateSince >= p.c.set.AbsenceTimeout {
			p.dissolve(worst.name, "a member has been away too long")
			return
		}
	}
}

// spares returns up to n hosts that may join a group now: first hosts that hold no group, then
// the others, each by name.
func (p *plan) spares(n int) []string {
	var idle, busy []string
	for _, name := range p.c.Fleet.HostsOf(p.d.name) {
		h, _ := p.c.Fleet.Host(name)
		if _, taken := p.groupOf[name]; taken || !p.usable(h) {
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

// usable reports whether a free host may become a member of a group.
func (p *plan) usable(h *fleet.Host) bool {
	s := p.d.host(h.Name)
	return s.up && !s.flapping && !p.c.hostExcluded(h) && !p.c.dataCentreOut(h.DataCentre)
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
