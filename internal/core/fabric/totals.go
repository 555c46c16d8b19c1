package fabric

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// minShare is the least share of the work for which a model counts, so that one without any
// still gets a group.
const minShare = 0.01

// totals are counts over hosts and groups. recount computes them when a tick begins and again
// before hosts are given to groups: recounting for each decision would cost the product of
// hosts and groups.
type totals struct {
	groupOf      map[string]*group   // by host ID
	domainSize   map[string]int      // registered hosts by domain
	groupedHosts map[domainModel]int // hosts in groups of any stage
	activeHosts  map[string]int      // by model: hosts in groups that are forming, opening or serving
	silentHosts  map[string]int      // by data centre: registered hosts that missed their last report
	// answeredSentAt are, by data centre, when the last answered requests to the other registered
	// hosts were sent, sorted, without hosts that let a newer one wait. It is computed only if there
	// are silent hosts.
	answeredSentAt map[string][]time.Duration
}

// domainModel is a pair of a domain and a model.
type domainModel struct{ domain, model string }

func (p *Pool) recount(now time.Duration) {
	t := totals{
		groupOf: make(map[string]*group), domainSize: make(map[string]int), groupedHosts: make(map[domainModel]int), activeHosts: make(map[string]int),
		silentHosts: make(map[string]int), answeredSentAt: make(map[string][]time.Duration),
	}
	for _, h := range p.hosts {
		if !h.listed {
			continue
		}
		t.domainSize[h.entry.Domain]++
		if h.silent {
			t.silentHosts[h.entry.DataCentre]++
		}
	}
	if len(t.silentHosts) > 0 {
		for _, h := range p.hosts {
			if h.listed && !h.silent && h.hasAnswered && !(h.reportPending && now-h.reportSentAt > sameBatchWindow) {
				t.answeredSentAt[h.entry.DataCentre] = append(t.answeredSentAt[h.entry.DataCentre], h.answeredSentAt)
			}
		}
		for _, times := range t.answeredSentAt {
			slices.Sort(times)
		}
	}
	p.totals = t
	for _, g := range p.groups {
		p.addToTotals(g)
	}
}

func (p *Pool) addToTotals(g *group) {
	if h := p.hosts[g.head().id]; h != nil {
		p.totals.groupedHosts[domainModel{h.entry.Domain, g.model.Name}] += g.model.GroupSize
	}
	if g.stage == forming || g.stage == opening || g.stage == serving {
		p.totals.activeHosts[g.model.Name] += g.model.GroupSize
	}
	for _, m := range g.members {
		if m.id != "" {
			p.totals.groupOf[m.id] = g
		}
	}
}

// domainSize returns the number of registered hosts of a domain.
func (p *Pool) domainSize(domain string) int { return p.totals.domainSize[domain] }

// groupedHosts returns the number of a domain's hosts in groups of a model.
func (p *Pool) groupedHosts(domain string, m *site.Model) int {
	return p.totals.groupedHosts[domainModel{domain, m.Name}]
}

// servesOtherModels reports whether a domain has groups of other models.
func (p *Pool) servesOtherModels(domain string, m *site.Model) bool {
	for i := range p.engine.Models {
		if other := &p.engine.Models[i]; other.Name != m.Name && p.groupedHosts(domain, other) > 0 {
			return true
		}
	}
	return false
}

// hostsPerShare is the number of hosts in active groups of a model, divided by the model's
// share of the hosts. The model with the lowest value needs another group most.
func (p *Pool) hostsPerShare(m *site.Model) float64 {
	return float64(p.totals.activeHosts[m.Name]) / p.share(m)
}
