package group

import (
	"fmt"
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// groupRef names a group and its domain.
type groupRef struct{ domain, group string }

// countGroups counts the groups of a model in all domains and returns the last of them by
// domain and name. For each domain it uses the controller's newest known state of the object,
// or the configuration in force if there is none.
func (c *Controller) countGroups(model string) (int, groupRef) {
	total, last := 0, groupRef{}
	for _, name := range c.Config.Names(object.KindDomain) {
		v, _ := c.Config.Domain(name)
		if d, ok := c.domains[name]; ok && d.value != nil {
			v = d.value
		}
		if v == nil {
			continue
		}
		for _, group := range sorted(v.Groups) {
			if v.Groups[group].Model == model {
				total++
				last = groupRef{name, group}
			}
		}
	}
	return total, last
}

// shortfall is a model that may lack groups, with the number of groups that it has.
type shortfall struct {
	model  string
	m      *object.Model
	have   int  // existing groups and those planned in this round
	noRoom bool // no domain has room for one more group
}

// formGroups forms the groups that this domain must contribute. It distributes the missing
// groups of all models over all domains. Each holder computes the same distribution from the
// same view. If the views differ for a moment, a group too many may be formed; it is dissolved
// later.
func (p *plan) formGroups() {
	needs := p.shortfalls()
	free := p.freeHosts()
	lackingModel := ""
	for {
		n := largestShortfall(needs)
		if n == nil {
			break
		}
		domain := domainWithMostFree(free, n.m)
		if domain == "" {
			n.noRoom = true
			lackingModel = n.model
			continue
		}
		n.have++
		free[domain] -= n.m.Members
		if domain == p.d.name && !p.formGroup(n) {
			break
		}
	}
	p.logShortage(lackingModel)
}

// logShortage logs once that a model lacks hosts, until no model does.
func (p *plan) logShortage(model string) {
	if model != "" && !p.d.lacksHosts {
		p.log(event.DomainLacksHosts, event.F("model", model))
	}
	p.d.lacksHosts = model != ""
}

// shortfalls returns the number of groups of each model, sorted by model.
func (p *plan) shortfalls() []shortfall {
	var needs []shortfall
	for _, name := range p.c.Config.Names(object.KindModel) {
		m, ok := p.c.Config.Model(name)
		if !ok {
			continue
		}
		have, _ := p.c.countGroups(name)
		needs = append(needs, shortfall{model: name, m: m, have: have})
	}
	return needs
}

// largestShortfall returns the model that has the smallest fraction of its wanted groups, the
// first by name among equals. It returns nil if no model can get another group.
func largestShortfall(needs []shortfall) *shortfall {
	var largest *shortfall
	for i := range needs {
		n := &needs[i]
		if n.noRoom || n.have >= n.m.Groups {
			continue
		}
		if largest == nil || n.have*largest.m.Groups < largest.have*n.m.Groups {
			largest = n
		}
	}
	return largest
}

// freeHosts returns how many hosts of each domain could join a group now.
func (p *plan) freeHosts() map[string]int {
	free := make(map[string]int)
	for _, domain := range p.c.Fleet.Domains() {
		if domain == p.d.name {
			free[domain] = len(p.spares(len(p.c.Fleet.HostsOf(domain))))
			continue
		}
		free[domain] = p.c.freeInOtherDomain(p, domain)
	}
	return free
}

// freeInOtherDomain counts the free hosts of a domain that another daemon holds, using the
// configuration in force and the latest reports.
func (c *Controller) freeInOtherDomain(p *plan, domain string) int {
	taken := make(map[string]bool)
	v, _ := c.Config.Domain(domain)
	if v == nil {
		v = &object.Domain{}
	}
	for _, g := range v.Groups {
		for _, member := range g.Members {
			taken[member] = true
		}
	}
	n := 0
	for _, name := range c.Fleet.HostsOf(domain) {
		h, _ := c.Fleet.Host(name)
		if !taken[name] && h.Report.OK && h.Report.UpToDate(p.now) && !c.hostExcluded(h) && !c.dataCentreOut(h.DataCentre) {
			n++
		}
	}
	return n
}

// domainWithMostFree returns the domain with the most free hosts, the first by name among
// equals. It considers only domains with enough free hosts for a group of the model and for the
// spare hosts that the model wants.
func domainWithMostFree(free map[string]int, m *object.Model) string {
	best := ""
	for _, name := range sorted(free) {
		if free[name] >= m.Members+m.SpareHosts && (best == "" || free[name] > free[best]) {
			best = name
		}
	}
	return best
}

// formGroup adds one new group of free hosts to the plan. It returns false if too few are
// free.
func (p *plan) formGroup(n *shortfall) bool {
	members := p.spares(n.m.Members)
	if len(members) < n.m.Members {
		return false
	}
	h, _ := p.c.Fleet.Host(members[0])
	name := p.newName()
	p.setGroup(name, object.Group{Model: n.model, Members: slices.Clone(members), DataCentre: h.DataCentre})
	p.log(event.GroupFormed, event.F("group", name), event.F("model", n.model), event.F("members", members))
	return true
}

// newName returns the first unused group name in this domain.
func (p *plan) newName() string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("%s.%d", p.d.name, i)
		if _, taken := p.next.Groups[name]; !taken {
			return name
		}
	}
}
