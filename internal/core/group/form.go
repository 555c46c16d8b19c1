package group

import (
	"fmt"
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// place is where a group stands.
type place struct{ domain, group string }

// countGroups counts a model's groups over all domains, as the configuration in force
// and the held domains have them, and returns the last by domain and name.
func (c *Controller) countGroups(model string) (int, place) {
	total, last := 0, place{}
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
				last = place{name, group}
			}
		}
	}
	return total, last
}

// need is a model that lacks groups.
type need struct {
	model   string
	m       *object.Model
	have    int
	stopped bool // no domain has room for one more
}

// form adds the groups that fall to this domain when the lacking groups of all models
// are shared out over all domains. Every holder works out the same shares from the
// same view; where views differ for a moment, one group too many is dissolved later.
func (p *plan) form() {
	needs := p.needs()
	free := p.freeHosts()
	lacking := ""
	for {
		n := mostNeedy(needs)
		if n == nil {
			break
		}
		domain := roomiest(free, n.m)
		if domain == "" {
			n.stopped = true
			lacking = n.model
			continue
		}
		n.have++
		free[domain] -= n.m.Members
		if domain == p.d.name && !p.formOne(n) {
			break
		}
	}
	p.shortage(lacking)
}

// shortage logs once that a model lacks hosts.
func (p *plan) shortage(model string) {
	if model != "" && !p.d.short {
		p.log(event.DomainShort, event.F("model", model))
	}
	p.d.short = model != ""
}

func (p *plan) needs() []need {
	var needs []need
	for _, name := range p.c.Config.Names(object.KindModel) {
		m, ok := p.c.Config.Model(name)
		if !ok {
			continue
		}
		have, _ := p.c.countGroups(name)
		needs = append(needs, need{model: name, m: m, have: have})
	}
	return needs
}

// mostNeedy returns the model that has the smallest part of its wanted groups, the
// first by name among equals.
func mostNeedy(needs []need) *need {
	var most *need
	for i := range needs {
		n := &needs[i]
		if n.stopped || n.have >= n.m.Groups {
			continue
		}
		if most == nil || n.have*most.m.Groups < most.have*n.m.Groups {
			most = n
		}
	}
	return most
}

// freeHosts counts the hosts of each domain that could join a group.
func (p *plan) freeHosts() map[string]int {
	free := make(map[string]int)
	for _, domain := range p.c.Fleet.Domains() {
		if domain == p.d.name {
			free[domain] = len(p.spares(len(p.c.Fleet.HostsOf(domain))))
			continue
		}
		free[domain] = p.c.freeElsewhere(p, domain)
	}
	return free
}

// freeElsewhere counts the free hosts of a domain that another daemon holds.
func (c *Controller) freeElsewhere(p *plan, domain string) int {
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
		if !taken[name] && h.Report.OK && h.Report.Fresh(p.now) && !c.leavingHost(h) && !c.centreOut(h.DataCentre) {
			n++
		}
	}
	return n
}

// roomiest returns the domain with the most free hosts that has room for a group of
// the model beside the spares that it wants, the first by name among equals.
func roomiest(free map[string]int, m *object.Model) string {
	best := ""
	for _, name := range sorted(free) {
		if free[name] >= m.Members+m.SpareHosts && (best == "" || free[name] > free[best]) {
			best = name
		}
	}
	return best
}

// formOne writes one new group of free hosts.
func (p *plan) formOne(n *need) bool {
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

// newName returns the first free name of a group in this domain.
func (p *plan) newName() string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("%s.%d", p.d.name, i)
		if _, taken := p.next.Groups[name]; !taken {
			return name
		}
	}
}
