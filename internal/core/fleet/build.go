package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// HostList takes up the platform's list. The list lags: it adds hosts and leaving
// marks, while the reports decide who answers. A host that has gone from the list
// is kept, marks and all, for as long as it still answers.
func (v *View) HostList(now step.Time, list step.HostList) {
	for _, h := range v.hosts {
		h.Listed = false
	}
	for _, l := range list.Hosts {
		v.listed(l)
	}
	v.prune(now)
	v.index()
	v.rebuild(now)
}

func (v *View) listed(l platformapi.Host) {
	h := v.host(l.Name)
	if h.Service {
		return
	}
	h.Address, h.Domain, h.DataCentre = l.Address, l.Domain, l.DataCentre
	h.Accelerators = l.Accelerators
	h.Listed = true
	h.mark(l.Leaving)
}

// mark takes up the list's leaving mark. One that was seen stays, since an older
// list may still come, until the list drops it for a host that has been started
// anew: that is the return of a host that had left.
func (h *Host) mark(leaving bool) {
	switch {
	case leaving && !h.Leaving:
		h.Leaving, h.leavingAs = true, h.Report.Incarnation
	case !leaving && h.Leaving && h.Report.OK && h.Report.Incarnation != h.leavingAs:
		h.Leaving, h.leavingAs = false, ""
	}
}

func (v *View) host(name string) *Host {
	h, ok := v.hosts[name]
	if !ok {
		h = &Host{Name: name}
		v.hosts[name] = h
	}
	return h
}

// prune forgets hosts that are neither listed nor heard. A host that comes back
// after that is a new one, without the old leaving mark.
func (v *View) prune(now step.Time) {
	for name, h := range v.hosts {
		if h.Listed || h.Service || (h.Report.OK && h.Report.Fresh(now.Mono)) {
			continue
		}
		delete(v.hosts, name)
	}
}

// index sorts the hosts by name and by domain.
func (v *View) index() {
	v.hostNames = sortedKeys(v.hosts)
	clear(v.domains)
	for _, name := range v.hostNames {
		h := v.hosts[name]
		if h.Domain != "" {
			v.domains[h.Domain] = append(v.domains[h.Domain], name)
		}
	}
	v.live = nil // deals the probing anew on the next tick
}

// ConfigChanged takes up the configuration in force.
func (v *View) ConfigChanged(now step.Time) {
	v.serviceHosts()
	v.index()
	v.rebuild(now)
}

func (v *View) serviceHosts() {
	wanted := make(map[string]bool)
	for _, name := range v.config.Names(object.KindService) {
		s, ok := v.config.Service(name)
		if !ok {
			continue
		}
		for _, st := range s.Targets {
			h := v.host(st.Host)
			h.Service = true
			h.Address, h.DataCentre = st.Address, st.DataCentre
			wanted[st.Host] = true
		}
	}
	for name, h := range v.hosts {
		if h.Service && !wanted[name] {
			delete(v.hosts, name)
		}
	}
}

// rebuild brings the targets in line with the configuration and the hosts. Targets
// that stay keep their counts; one that goes is kept until its last request ends.
func (v *View) rebuild(now step.Time) {
	for _, h := range v.hosts {
		h.targets = h.targets[:0]
	}
	for _, t := range v.targets {
		t.wanted = false
	}
	for _, name := range v.config.Names(object.KindDomain) {
		d, _ := v.config.Domain(name)
		if d == nil {
			continue
		}
		for _, group := range sortedKeys(d.Groups) {
			v.setGroup(now, group, d.Groups[group])
		}
	}
	for _, name := range v.config.Names(object.KindService) {
		if s, ok := v.config.Service(name); ok {
			v.setService(now, name, s)
		}
	}
	v.sweep(now)
}

func (v *View) sweep(now step.Time) {
	v.names = sortedKeys(v.targets)
	for _, name := range slices.Clone(v.names) {
		t := v.targets[name]
		v.judge(now, t)
		if !t.wanted && t.InFlight == 0 {
			v.forget(t)
		}
	}
}

func (v *View) setGroup(now step.Time, name string, g object.Group) {
	_, known := v.config.Model(g.Model)
	t := v.target(name, poolOf(v.models, g.Model))
	t.Model, t.Service, t.DataCentre = g.Model, "", g.DataCentre
	t.generation = g.Generation
	t.wanted = known
	wasOut := t.out
	t.out = v.centreOut(g.DataCentre)
	t.members = t.members[:0]
	for _, member := range g.Members {
		h, ok := v.hosts[member]
		if !ok {
			t.wanted = false // no address to probe it at
			continue
		}
		t.members = append(t.members, h)
		t.out = t.out || v.hostOut(member) || v.centreOut(h.DataCentre)
		h.targets = append(h.targets, t)
	}
	if wasOut && !t.out {
		v.centreBack(now, t)
	}
	t.To = step.Destination{Group: name, Generation: g.Generation}
	if len(t.members) > 0 {
		t.To.Host, t.To.Address = t.members[0].Name, t.members[0].Address
	}
}

func (v *View) setService(now step.Time, name string, s *object.Service) {
	for _, st := range s.Targets {
		t := v.target(ServiceTarget(name, st.Host), poolOf(v.services, name))
		t.Model, t.Service, t.DataCentre = "", name, st.DataCentre
		t.wanted = true
		wasOut := t.out
		t.out = v.hostOut(st.Host) || v.centreOut(st.DataCentre)
		if wasOut && !t.out {
			v.centreBack(now, t)
		}
		t.To = step.Destination{Host: st.Host, Address: st.Address}
		h := v.hosts[st.Host]
		t.members = append(t.members[:0], h)
		h.targets = append(h.targets, t)
	}
}

// target returns the target of a name, moved to the pool given.
func (v *View) target(name string, p *pool) *Target {
	t, ok := v.targets[name]
	if !ok {
		t = &Target{Name: name, Hash: xxhash.Sum64String(name), pool: p}
		v.targets[name] = t
	}
	if t.pool != p {
		if t.routable {
			t.routable = false
			t.pool.remove(t)
		}
		t.pool = p
	}
	return t
}

func poolOf(pools map[string]*pool, name string) *pool {
	p, ok := pools[name]
	if !ok {
		p = &pool{expiry: maxTime}
		pools[name] = p
	}
	return p
}

func (v *View) centreOut(name string) bool {
	c, ok := v.config.DataCentre(name)
	return ok && c.Out
}

func (v *View) hostOut(name string) bool {
	h, ok := v.config.Host(name)
	return ok && h.Out
}

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
