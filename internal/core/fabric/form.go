package fabric

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// spareShare is the share of a domain's hosts, at least one host, that is kept out of groups
// that would first have to load weights. A spare that already has the weights repairs a group
// in a fraction of the time of a load.
const spareShare = 0.12

// reservedSpares is the number of hosts that a domain keeps out of such groups.
func (p *Pool) reservedSpares(domain string) int {
	return max(1, int(math.Round(spareShare*float64(p.domainSize(domain)))))
}

const (
	// settleDelay is the time without a newly registered host that must pass before the first
	// groups of a new deployment are formed, so that all hosts of the domains are known by
	// then.
	settleDelay = 800 * time.Millisecond
	// settleTimeout bounds that wait. It counts from when this daemon took control.
	settleTimeout = 5 * time.Second
)

// formGroups forms groups from free hosts, and stages models on the hosts that remain. Groups
// whose members all have the weights come first: they serve within seconds.
func (p *Pool) formGroups(now time.Duration, out *step.Out) {
	if p.initialDeployment && now-p.lastNewHostAt < settleDelay && now-p.controlSince < settleTimeout {
		return
	}
	if p.initialDeployment {
		p.assumeNeverOrdered()
	}
	domains := p.freeByDomain(now)
	names := make([]string, 0, len(domains))
	for d := range domains {
		names = append(names, d)
	}
	slices.Sort(names)
	for _, m := range p.byHostsPerShare() {
		for _, d := range names {
			for staged := p.stagedWith(domains[d], m.Name); len(staged) >= m.GroupSize; staged = p.stagedWith(domains[d], m.Name) {
				domains[d] = without(domains[d], p.beginFormation(now, d, m, staged[:m.GroupSize], out))
			}
		}
	}
	loadsLimited := false
	for _, d := range names {
		loadsLimited = p.loadForGroup(now, d, domains[d], out) || loadsLimited
	}
	for _, d := range names {
		if !loadsLimited {
			p.loadSpares(now, d, domains[d], out)
		}
		p.leaveReleased(now, domains[d], out)
	}
}

// assumeNeverOrdered assumes that the hosts of a new deployment have accepted no order yet,
// without a report from each: no daemon but this one ever held control. If one did, the engine
// refuses this daemon's first order.
func (p *Pool) assumeNeverOrdered() {
	for _, h := range p.hosts {
		if h.listed && !h.orderCountKnown && !h.hasAnswered && h.pendingOp == 0 && h.recountFrom == 0 && h.entry.Member.Phase == site.Absent {
			h.orderCountKnown = true
		}
	}
}

// leaveReleased orders hosts to leave formations that were released. Otherwise a daemon that
// takes over control would adopt what is left of them as groups.
func (p *Pool) leaveReleased(now time.Duration, free []string, out *step.Out) {
	for _, name := range p.idle(free) {
		h := p.hosts[name]
		if former := h.group; former != (site.GroupID{}) && now-p.released[former] > leaveDelay {
			p.sendOrder(now, name, step.GroupOrder{Kind: step.OrderLeave, Group: former}, out)
		}
	}
}

// freeByDomain returns the hosts that belong to no group, by domain. Some of them may not be
// ready for an order yet; see orderable.
func (p *Pool) freeByDomain(now time.Duration) map[string][]string {
	domains := make(map[string][]string)
	for _, name := range p.names {
		h := p.hosts[name]
		if !h.listed || h.entry.Draining || p.totals.groupOf[name] != nil || h.unresponsive() || now < h.mayJoinAt || p.evacuated[h.entry.DataCentre] {
			continue
		}
		domains[h.entry.Domain] = append(domains[h.entry.Domain], name)
	}
	return domains
}

// orderable reports whether a free host can get an order now.
func (p *Pool) orderable(name string) bool {
	return p.hosts[name].stagingModel == "" && p.orderableWhileStaging(name)
}

// orderableWhileStaging reports the same for an order that needs no weights from the host's disk.
func (p *Pool) orderableWhileStaging(name string) bool {
	h := p.hosts[name]
	return h.missedReports == 0 && h.orderCountKnown && h.pendingOp == 0 && p.inNoActiveGroup(h)
}

// inNoActiveGroup reports whether a host, at its known order count, is in no group whose head
// may serve. An order that expects this count then can't take the host out of such a group.
func (p *Pool) inNoActiveGroup(h *host) bool {
	return h.group == site.GroupID{} || p.isReleased(h.group) && !h.headsOpenGroup()
}

// headsOpenGroup reports whether the host's last report shows that it serves as the head of its group.
func (h *host) headsOpenGroup() bool {
	at := h.lastReport.Member
	return h.hasAnswered && at.Group == h.group && at.Rank == 0 && (at.Phase == site.Open || at.Phase == site.Closing)
}

// stagedWith returns the hosts that can join a group of a model now without loading its weights.
func (p *Pool) stagedWith(hosts []string, model string) []string {
	var staged []string
	for _, name := range hosts {
		if h := p.hosts[name]; h.hasWeights(model) && h.mayServe(p.tickAt, model) && (p.orderable(name) || h.lastModel == model && p.orderableWhileStaging(name)) {
			staged = append(staged, name)
		}
	}
	return staged
}

func without(hosts, taken []string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return slices.Contains(taken, h) })
}

// byHostsPerShare returns the models, sorted by hostsPerShare: the one with the greatest need
// first.
func (p *Pool) byHostsPerShare() []*site.Model {
	models := make([]*site.Model, len(p.engine.Models))
	for i := range models {
		models[i] = &p.engine.Models[i]
	}
	slices.SortStableFunc(models, func(a, b *site.Model) int { return cmp.Compare(p.hostsPerShare(a), p.hostsPerShare(b)) })
	return models
}

// beginFormation starts a formation and returns its hosts.
func (p *Pool) beginFormation(now time.Duration, domain string, m *site.Model, hosts []string, out *step.Out) []string {
	p.lastEpoch++
	g := &group{
		id:    site.GroupID{Name: fmt.Sprintf("%s.%d", domain, p.lastEpoch), Epoch: p.lastEpoch},
		model: m, stage: forming, stageSince: now,
	}
	for _, name := range hosts {
		h := p.hosts[name]
		h.reservedFor = ""
		g.members = append(g.members, member{id: name, incarnation: h.entry.Incarnation})
		if !h.hasWeights(m.Name) {
			p.loadStarts = append(p.loadStarts, now)
		}
	}
	p.groups[g.id] = g
	p.addToTotals(g)
	out.Log(event.GroupFormed, event.F("group", g.id.Name), event.F("epoch", g.id.Epoch), event.F("model", m.Name), event.F("members", hosts))
	p.advanceForming(now, g, health{lostRank: -1}, out)
	return hosts
}

// loadForGroup spends loads from the weight store on the group of a domain that can form
// soonest. It reports whether the limit of loads delays that.
func (p *Pool) loadForGroup(now time.Duration, domain string, free []string, out *step.Out) (waits bool) {
	idle := p.idle(free)
	if m := p.modelForUnstaged(domain, idle, free); m != nil {
		if !p.mayLoad(now, m.GroupSize) {
			return true
		}
		p.beginFormation(now, domain, m, p.unstaged(idle)[:m.GroupSize], out)
		return false
	}
	if m, hosts := p.cheapestGroup(domain, free, idle); m != nil {
		return p.stageModel(now, m, hosts, m.GroupSize-p.stagedOrStaging(free, m.Name), out) > 0
	}
	return false
}

// loadSpares stages models on hosts that no group can use now.
func (p *Pool) loadSpares(now time.Duration, domain string, free []string, out *step.Out) {
	if m, _ := p.cheapestGroup(domain, free, p.idle(free)); m != nil {
		return
	}
	for _, name := range p.unstaged(p.idle(free)) {
		if m := p.modelForSpare(domain, free); m != nil && p.hosts[name].stagingModel == "" {
			p.stageModel(now, m, []string{name}, 1, out)
		}
	}
}

// idle returns the hosts that can get an order and have not joined a formation during this
// tick.
func (p *Pool) idle(hosts []string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(name string) bool { return !p.orderable(name) || p.totals.groupOf[name] != nil })
}

// unstaged returns the hosts without any weights.
func (p *Pool) unstaged(hosts []string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(name string) bool { return len(p.hosts[name].entry.Staged) > 0 || p.hosts[name].lastModel != "" })
}

// modelForUnstaged returns the model for a group of hosts that have no weights at all, or nil
// if there are too few of them. Models that groups of the domain already serve come first: the
// hosts left over by two groups of one model can make up another group of it; those left over
// by groups of two models can't. A model that would get no hosts anywhere comes before them.
func (p *Pool) modelForUnstaged(domain string, idle, free []string) *site.Model {
	unstagedHosts := len(p.unstaged(idle))
	if unstagedHosts == 0 {
		return nil
	}
	reserved := p.reservedSpares(domain)
	models := slices.DeleteFunc(p.byHostsPerShare(), func(m *site.Model) bool {
		return unstagedHosts < m.GroupSize || len(free) < m.GroupSize+reserved
	})
	if len(models) == 0 {
		return nil
	}
	if p.groupedInDomain(domain) == 0 {
		return p.modelForEmptyDomain(domain, models)
	}
	if m := models[0]; p.hostsPerShare(m) == 0 && !p.hasEmptyDomain() && p.plannedHosts()[m.Name] == 0 {
		return m
	}
	if i := slices.IndexFunc(models, func(m *site.Model) bool { return p.groupedHosts(domain, m) > 0 }); i >= 0 {
		return models[i]
	}
	return models[0]
}

// cheapestGroup returns the model whose next group in the domain makes the best use of loads:
// the fewest loads, weighted by hostsPerShare. It also returns the hosts that may load the
// model's weights. The model is nil if no group can be formed.
func (p *Pool) cheapestGroup(domain string, free, idle []string) (best *site.Model, hosts []string) {
	least, reserved := 0.0, p.reservedSpares(domain)
	for _, m := range p.byHostsPerShare() {
		available := p.stagedOrStaging(free, m.Name)
		if available == 0 && p.servesOtherModels(domain, m) && len(free) < m.GroupSize+reserved {
			continue // this would spend the spares of the domain's groups on another model
		}
		lacking := m.GroupSize - available
		loadable := slices.DeleteFunc(slices.Clone(idle), func(name string) bool { return !p.mayRestage(domain, name, m) })
		if lacking > len(loadable) {
			continue
		}
		if cost := float64(max(lacking, 0)) * (p.hostsPerShare(m) + 1); best == nil || cost < least {
			best, hosts, least = m, loadable, cost
		}
	}
	return best, hosts
}

// mayRestage reports whether a host's weights may be replaced by those of the model to. The
// host must have no weights, or only those of models that have more hosts for their share and
// no group in the domain that the host could repair.
func (p *Pool) mayRestage(domain, name string, to *site.Model) bool {
	h := p.hosts[name]
	if h.hasWeights(to.Name) {
		return false
	}
	for i := range p.engine.Models {
		from := &p.engine.Models[i]
		if h.hasWeights(from.Name) && (p.groupedHosts(domain, from) > 0 || p.hostsPerShare(from) <= p.hostsPerShare(to)) {
			return false
		}
	}
	return true
}

func (p *Pool) stagedOrStaging(hosts []string, model string) int {
	n := 0
	for _, name := range hosts {
		h := p.hosts[name]
		hasWeights := h.stagingModel == model || h.lastModel == model || h.stagingModel == "" && h.entry.StagedWith(model)
		if hasWeights && h.mayServe(p.tickAt, model) {
			n++
		}
	}
	return n
}

// modelForSpare returns the model whose weights a spare of the domain should have: the one
// with the most hosts in groups of the domain for each spare that has its weights.
func (p *Pool) modelForSpare(domain string, free []string) *site.Model {
	var best *site.Model
	bestHostsPerSpare := 0.0
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		hostsPerSpare := float64(p.groupedHosts(domain, m)+1) / float64(p.stagedOrStaging(free, m.Name)+1)
		if best == nil || hostsPerSpare > bestHostsPerSpare || hostsPerSpare == bestHostsPerSpare && p.hostsPerShare(m) < p.hostsPerShare(best) {
			best, bestHostsPerSpare = m, hostsPerSpare
		}
	}
	return best
}

// stageModel orders up to n of the hosts that lack a model's weights to load them, hosts
// without any weights first. It returns how many loads are still missing.
func (p *Pool) stageModel(now time.Duration, m *site.Model, hosts []string, n int, out *step.Out) int {
	hosts = slices.Clone(hosts)
	slices.SortStableFunc(hosts, func(a, b string) int {
		return len(p.hosts[a].entry.Staged) - len(p.hosts[b].entry.Staged)
	})
	for _, name := range hosts {
		h := p.hosts[name]
		if n <= 0 || !p.mayLoad(now, 1) {
			return n
		}
		if h.entry.StagedWith(m.Name) {
			continue
		}
		if p.sendOrder(now, name, step.GroupOrder{Kind: step.OrderStage, Model: m.Name}, out) {
			h.stagingModel, h.stagingSince = m.Name, now
			p.loadStarts = append(p.loadStarts, now)
			out.Log(event.ModelStaging, event.F("host", name), event.F("domain", h.entry.Domain), event.F("model", m.Name))
			n--
		}
	}
	return n
}

// mayLoad reports whether n more loads may begin. All hosts share the weight store, which
// slows down under too many concurrent loads. Before the first request of a new deployment it
// takes any number.
func (p *Pool) mayLoad(now time.Duration, n int) bool {
	if p.initialDeployment {
		return true
	}
	for len(p.loadStarts) > 0 && now-p.loadStarts[0] >= loadWindow {
		p.loadStarts = p.loadStarts[1:]
	}
	if now < p.loadsBlockedUntil || float64(len(p.loadStarts)+n) > p.engine.MaxLoadsPerSecond*loadWindow.Seconds() {
		return false
	}
	if running := p.runningLoads(now); running > 0 && running+n > max(p.engine.MaxConcurrentLoads, 1) {
		return false
	}
	p.loadsWanted = true
	covered := now < p.loadsCoveredUntil
	p.leaseOutdated = p.leaseOutdated || !covered
	return covered
}

// runningLoads counts the hosts that are loading weights from the store.
func (p *Pool) runningLoads(now time.Duration) int {
	n := 0
	for _, h := range p.hosts {
		if h.stagingModel == "" {
			continue
		}
		if m := p.engine.Model(h.stagingModel); m == nil || now-h.stagingSince > loadTimeoutFactor*m.LoadTime+formationGrace {
			h.stagingModel = "" // the order was lost, or the host is stuck: try again
			continue
		}
		n++
	}
	for _, g := range p.groups {
		if g.stage != forming {
			continue
		}
		for _, m := range g.members {
			if h := p.hosts[m.id]; h != nil && !h.hasWeights(g.model.Name) {
				n++
			}
		}
	}
	return n
}
