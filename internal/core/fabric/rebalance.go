package fabric

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// This file moves hosts between models: groups of a model with more hosts than its work needs are
// closed for one that is short of them. It answers load whose shares differ from the configured ones
// for longer than a burst of a second or two.

const (
	// wantedHeadroom is how many times its need a model should have in hosts, so that bursts and losses
	// leave enough. A model above it gets none by a move, and one that gives hosts keeps it.
	wantedHeadroom = 1.2
	// moveMargin is how many times the headroom of the receiving model the giving one must have after a
	// move. With it, constant demand moves no host back.
	moveMargin = 1.1
	// moveDelay is how long a move must have been worth it before it begins.
	moveDelay = 1500 * time.Millisecond
	// moveInterval is the least time between two decisions to move.
	moveInterval = 500 * time.Millisecond
	// moveControlTime is how long this daemon must have had control before it moves hosts: what the
	// holder before it has begun shows by then.
	moveControlTime = 3 * time.Second
	// maxMovingShare is the share of a model's groups, at least one, that may be closing for moves.
	maxMovingShare = 0.25
	// maxStagingMoves bounds the moves for which weights are loaded first. More of them would only
	// share the rate of loads.
	maxStagingMoves = 2
	// moveReserveTime is how long the hosts of a closed group are kept for the model that they go to. The
	// other groups of the same move close within closeTimeout, and then leave.
	moveReserveTime = closeTimeout + 2*time.Second
)

// moves is the state of the moves between models.
type moves struct {
	// blocked keeps moves from beginning: the store can't be reached.
	blocked bool
	// from and to are the models of the move that is worth it since wantedSince; empty if none is.
	from, to    string
	wantedSince time.Duration
	lastAt      time.Duration // when the last move was decided
}

// SetMovesBlocked keeps moves between models from beginning, as while the store can't be reached: a
// daemon that takes over might not learn of them.
func (p *Pool) SetMovesBlocked(blocked bool) { p.moves.blocked = blocked }

func (p *Pool) mayMove(now time.Duration) bool {
	return p.demand.known && !p.moves.blocked && len(p.partitions) == 0 && now-p.controlSince >= moveControlTime
}

// rebalance continues the planned moves and decides on another one.
func (p *Pool) rebalance(now time.Duration, out *step.Out) {
	p.stageAlternatives(now, out)
	if !p.mayMove(now) {
		p.moves.from, p.moves.to = "", ""
		p.cancelPlans()
		return
	}
	p.continuePlans(now, out)
	hosts := p.plannedByModel()
	to, from := p.leastHeadroom(hosts), (*site.Model)(nil)
	if to != nil {
		from = p.givingModel(hosts, to)
	}
	if from == nil {
		p.moves.from, p.moves.to = "", ""
		return
	}
	if p.moves.from != from.Name || p.moves.to != to.Name {
		p.moves.from, p.moves.to, p.moves.wantedSince = from.Name, to.Name, now
	}
	if now-p.moves.wantedSince < moveDelay || now-p.moves.lastAt < moveInterval && p.moves.lastAt > 0 {
		return
	}
	groups := p.groupsToMove(now, from, to)
	if groups == nil {
		return
	}
	p.moves.lastAt = now
	for _, g := range groups {
		g.moveTo = to
	}
	p.logMove(groups, from, to, hosts, out)
	p.continuePlans(now, out)
}

func (p *Pool) logMove(groups []*group, from, to *site.Model, hosts map[string]int, out *step.Out) {
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.id.Name
	}
	out.Log(event.HostsMoving, event.F("groups", names), event.F("from", from.Name), event.F("to", to.Name),
		event.F("fromHosts", hosts[from.Name]), event.F("toHosts", hosts[to.Name]), event.F("fromNeed", math.Round(p.need(from))), event.F("toNeed", math.Round(p.presentNeed(to))),
		event.F("staged", p.lackingWeights(groups, to) == 0), event.F("reportAgeMillis", p.demand.oldestReport.Milliseconds()))
}

// plannedByModel returns the hosts that each model has in groups, or will have after the planned moves.
func (p *Pool) plannedByModel() map[string]int {
	hosts := make(map[string]int)
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		hosts[m.Name] = p.totals.activeHosts[m.Name]
	}
	moving := make(map[domainModel]int)
	for _, g := range p.groups {
		if g.moveTo == nil {
			continue
		}
		if g.stage != closing {
			hosts[g.model.Name] -= g.model.GroupSize
		}
		if h := p.hosts[g.head().id]; h != nil {
			moving[domainModel{h.entry.Domain, g.moveTo.Name}] += g.model.GroupSize
		}
	}
	for to, n := range moving {
		size := p.engine.Model(to.model).GroupSize
		hosts[to.model] += n / size * size
	}
	return hosts
}

// headroom is how many times its need a model has in hosts.
func (p *Pool) headroom(hosts int, m *site.Model) float64 { return float64(hosts) / p.need(m) }

// presentHeadroom is the same for its need without memory of a recent peak.
func (p *Pool) presentHeadroom(hosts int, m *site.Model) float64 {
	return float64(hosts) / p.presentNeed(m)
}

// leastHeadroom returns the model that is shortest of hosts for its present work, or nil if none is short.
// Work that has gone by gets no hosts, while the model that gives them keeps what its recent peak needs.
func (p *Pool) leastHeadroom(hosts map[string]int) *site.Model {
	var least *site.Model
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		if h := p.presentHeadroom(hosts[m.Name], m); h < wantedHeadroom && (least == nil || h < p.presentHeadroom(hosts[least.Name], least)) {
			least = m
		}
	}
	return least
}

// groupsPerMove is the number of groups of a model, all of one domain, whose hosts make up a group of
// another one.
func groupsPerMove(from, to *site.Model) int {
	return (to.GroupSize + from.GroupSize - 1) / from.GroupSize
}

// givingModel returns the model with the most headroom after a move to another one, or nil if none has
// enough.
func (p *Pool) givingModel(hosts map[string]int, to *site.Model) *site.Model {
	var best *site.Model
	most := 0.0
	for i := range p.engine.Models {
		from := &p.engine.Models[i]
		moved := groupsPerMove(from, to) * from.GroupSize
		left := hosts[from.Name] - moved
		if from.Name == to.Name || left < from.GroupSize {
			continue
		}
		// One loss more must leave it no worse off: each takes a large part of a model with few large groups.
		after := p.presentHeadroom(hosts[to.Name]+moved/to.GroupSize*to.GroupSize, to)
		h := p.headroom(left, from)
		if h < wantedHeadroom || h < moveMargin*after || p.headroom(left-from.GroupSize, from) < after {
			continue
		}
		if best == nil || h > most {
			best, most = from, h
		}
	}
	return best
}

// groupsToMove returns the groups of one domain that are best closed for another model: those that have
// its weights, then those that leave no hosts over, then those with the fewest requests. It returns nil if
// as many as allowed are moving, or no other group of the model serves.
func (p *Pool) groupsToMove(now time.Duration, from, to *site.Model) []*group {
	byDomain := make(map[string][]*group)
	groups, moving, staging, staying := 0, 0, 0, 0
	for _, id := range p.groupIDs() {
		g := p.groups[id]
		if g.moveTo != nil {
			moving++
			if g.stage == serving {
				staging++
			}
		}
		if g.model.Name != from.Name || g.stage != serving && g.stage != closing {
			continue
		}
		groups++
		if g.stage == serving && g.moveTo == nil {
			staying++
		}
		if h := p.hosts[g.head().id]; g.stage == serving && g.moveTo == nil && h != nil && h.listed {
			byDomain[h.entry.Domain] = append(byDomain[h.entry.Domain], g)
		}
	}
	n := groupsPerMove(from, to)
	if moving+n > max(n, int(maxMovingShare*float64(groups))) || staying <= n {
		return nil
	}
	type candidate struct {
		domain        string
		groups        []*group
		lacking, over int
		requests      int
	}
	var candidates []candidate
	for domain, all := range byDomain {
		if len(all) < n {
			continue
		}
		slices.SortStableFunc(all, func(a, b *group) int {
			return cmp.Or(cmp.Compare(p.lackingWeights([]*group{a}, to), p.lackingWeights([]*group{b}, to)), cmp.Compare(p.requestsAt(a), p.requestsAt(b)))
		})
		c := candidate{domain: domain, groups: all[:n]}
		c.lacking, c.over = p.lackingWeights(c.groups, to), n*from.GroupSize%to.GroupSize
		for _, g := range c.groups {
			c.requests += p.requestsAt(g)
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 {
		return nil
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.lacking, b.lacking), cmp.Compare(a.over, b.over), cmp.Compare(a.requests, b.requests), cmp.Compare(a.domain, b.domain))
	})
	if best.lacking > 0 && (staging >= maxStagingMoves*n || !p.mayLoad(now, 1)) {
		return nil
	}
	return best.groups
}

// servingGroups is the number of a model's groups that serve.
func (p *Pool) servingGroups(m *site.Model) int {
	n := 0
	for _, g := range p.groups {
		if g.stage == serving && g.model.Name == m.Name {
			n++
		}
	}
	return n
}

// lackingWeights is the number of members of some groups that would have to load a model's weights.
func (p *Pool) lackingWeights(groups []*group, m *site.Model) int {
	n := 0
	for _, g := range groups {
		for _, member := range g.members {
			if h := p.hosts[member.id]; h == nil || !h.hasWeights(m.Name) {
				n++
			}
		}
	}
	return n
}

// requestsAt is the number of requests at a group's head by its last report.
func (p *Pool) requestsAt(g *group) int {
	if h := p.hosts[g.head().id]; h != nil {
		return h.lastReport.Running + h.lastReport.Queued
	}
	return 0
}

// continuePlans stages weights for the planned moves and closes the groups whose members all have them.
func (p *Pool) continuePlans(now time.Duration, out *step.Out) {
	for _, id := range p.groupIDs() {
		g := p.groups[id]
		if g.moveTo == nil || g.stage != serving {
			continue
		}
		if p.presentHeadroom(p.totals.activeHosts[g.moveTo.Name], g.moveTo) >= wantedHeadroom {
			g.moveTo = nil // the work has changed while its weights were loaded
			continue
		}
		if p.servingGroups(g.model) <= 1 || p.headroom(p.plannedByModel()[g.model.Name], g.model) < p.headroom(p.totals.activeHosts[g.moveTo.Name], g.moveTo) {
			g.moveTo = nil // the others were lost since, or so many that its own model would be the shorter one
			continue
		}
		if p.lackingWeights([]*group{g}, g.moveTo) == 0 {
			to := g.moveTo
			p.startClosing(now, g, "its hosts are needed for another model", out)
			g.plannedClose, g.moveTo = true, to
			continue
		}
		p.stageModel(now, g.moveTo, p.stageable(g), g.model.GroupSize, out)
	}
}

// reserveMembers keeps the hosts of a group for the model that they move to or, if the group was lost, for its own
// one as long as that has no hosts to give: small groups of another model would else take hosts of which a large
// group can't be formed again.
func (p *Pool) reserveMembers(now time.Duration, g *group) {
	model, reserve := g.model, g.model.LoadTime+moveReserveTime // its missing members may have to load weights
	switch {
	case g.moveTo != nil:
		model, reserve = g.moveTo, moveReserveTime
	case p.demand.known && p.engine.Model(model.Name) != nil && p.headroom(p.plannedByModel()[model.Name], model) >= wantedHeadroom:
		return
	}
	for _, m := range g.members {
		if h := p.hosts[m.id]; h != nil {
			h.reservedFor, h.reservedUntil = model.Name, now+reserve
		}
	}
}

// cancelPlans gives up the moves whose groups still serve.
func (p *Pool) cancelPlans() {
	for _, g := range p.groups {
		if g.stage == serving {
			g.moveTo = nil
		}
	}
}

// stageable returns the members of a group onto which weights can be loaded now.
func (p *Pool) stageable(g *group) []string {
	var names []string
	for _, m := range g.members {
		if h := p.hosts[m.id]; h != nil && h.listed && h.pendingOp == 0 && h.stagingModel == "" && h.orderCountKnown {
			names = append(names, m.id)
		}
	}
	return names
}

// stageAlternatives stages another model on the members of up to half of the groups of each domain, before the
// first request of a new deployment, when loads are cheap: a move then needs no load. Members of a group
// hold its own model in memory. The other half keeps its weights on its hosts, for a domain that loses
// its power and comes back.
func (p *Pool) stageAlternatives(now time.Duration, out *step.Out) {
	if !p.initialDeployment || len(p.engine.Models) < 2 {
		return
	}
	byDomain := make(map[domainModel][]*group)
	for _, id := range p.groupIDs() {
		g := p.groups[id]
		if h := p.hosts[g.head().id]; h != nil && g.stage == serving {
			key := domainModel{h.entry.Domain, g.model.Name}
			byDomain[key] = append(byDomain[key], g)
		}
	}
	keys := slices.SortedFunc(maps.Keys(byDomain), func(a, b domainModel) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.model, b.model))
	})
	for _, key := range keys {
		other, groups := p.alternativeTo(key.model), byDomain[key]
		for _, g := range groups[:len(groups)/2] {
			p.stageModel(now, other, p.stageable(g), g.model.GroupSize, out)
		}
	}
}

// alternativeTo returns the model other than the named one with the largest share.
func (p *Pool) alternativeTo(name string) *site.Model {
	var best *site.Model
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; m.Name != name && (best == nil || p.share(m) > p.share(best)) {
			best = m
		}
	}
	return best
}
