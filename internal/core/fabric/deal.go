package fabric

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// This file deals the domains of a deployment to models when groups are formed of hosts without
// weights. A domain is filled with groups of one model, and with those of others where that one
// leaves room, so that a model gets hosts in domains of its own and in the rest of others.

// modelForEmptyDomain returns which of some models a domain without groups should be filled
// with first, so that the model that is worst off for its share has as many hosts as possible
// once all domains that have groups are full. Of equals it is the model with fewer hosts for its
// share, then the one with fewer groups, of which each loss takes a larger part of it. The models
// are not empty.
func (p *Pool) modelForEmptyDomain(domain string, models []*site.Model) *site.Model {
	planned := p.plannedHosts()
	perShare := func(hosts map[string]int, m *site.Model) float64 {
		return float64(hosts[m.Name]) / p.share(m)
	}
	leastPerShare := func(first *site.Model) float64 {
		hosts := maps.Clone(planned)
		p.addFilled(hosts, domain, first)
		least := perShare(hosts, &p.engine.Models[0])
		for i := range p.engine.Models {
			least = min(least, perShare(hosts, &p.engine.Models[i]))
		}
		return least
	}
	return slices.MinFunc(models, func(a, b *site.Model) int {
		return cmp.Or(cmp.Compare(leastPerShare(b), leastPerShare(a)), cmp.Compare(perShare(planned, a), perShare(planned, b)), cmp.Compare(planned[a.Name]/a.GroupSize, planned[b.Name]/b.GroupSize))
	})
}

// plannedHosts returns the hosts that each model has once all domains that have groups are full.
func (p *Pool) plannedHosts() map[string]int {
	planned := make(map[string]int)
	for d := range p.totals.domainSize {
		if p.groupedInDomain(d) > 0 {
			p.addFilled(planned, d, nil)
		}
	}
	return planned
}

// hasEmptyDomain reports whether some domain has no groups.
func (p *Pool) hasEmptyDomain() bool {
	for d := range p.totals.domainSize {
		if p.groupedInDomain(d) == 0 {
			return true
		}
	}
	return false
}

// addFilled adds the hosts that each model's groups in a domain have or will have once the
// domain is full: first with groups of a model, if one is given, then of those that it serves,
// then of any that fits, larger groups first.
func (p *Pool) addFilled(hosts map[string]int, domain string, first *site.Model) {
	room := p.domainSize(domain) - p.reservedSpares(domain) - p.groupedInDomain(domain)
	models := make([]*site.Model, 0, len(p.engine.Models))
	for i := range p.engine.Models {
		models = append(models, &p.engine.Models[i])
	}
	rank := func(m *site.Model) int {
		switch {
		case m == first:
			return 0
		case p.groupedHosts(domain, m) > 0:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(models, func(a, b *site.Model) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	for _, m := range models {
		added := max(0, room) / m.GroupSize * m.GroupSize
		hosts[m.Name] += p.groupedHosts(domain, m) + added
		room -= added
	}
}

// groupedInDomain returns the number of a domain's hosts in groups of any model.
func (p *Pool) groupedInDomain(domain string) int {
	n := 0
	for i := range p.engine.Models {
		n += p.groupedHosts(domain, &p.engine.Models[i])
	}
	return n
}
