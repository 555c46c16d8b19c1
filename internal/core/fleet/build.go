package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// HostList applies the platform's list of hosts. The list lags behind: it only adds hosts and
// leaving marks, while reports decide which hosts are reachable. A host that is no longer listed
// is kept, with its leaving mark, as long as it answers probes.
func (v *View) HostList(now step.Time, list step.HostList) {
	for _, h := range v.hosts {
		h.Listed = false
	}
	for _, l := range list.Hosts {
		v.applyListEntry(l)
	}
	v.removeGoneHosts(now)
	v.indexHosts()
	v.rebuildTargets(now)
}

func (v *View) applyListEntry(l platformapi.Host) {
	h := v.host(l.Name)
	if h.Service {
		return
	}
	h.Address, h.Domain, h.DataCentre = l.Address, l.Domain, l.DataCentre
	h.Accelerators = l.Accelerators
	h.Listed = true
	h.applyLeavingMark(l.Leaving)
}

// applyLeavingMark applies the leaving mark of the list. Because an older list may arrive later,
// the mark is cleared only if the list lacks it and the host runs another incarnation than when
// the mark appeared: then a host that had left has returned.
func (h *Host) applyLeavingMark(leaving bool) {
	switch {
	case leaving && !h.Leaving:
		h.Leaving, h.leavingIncarnation = true, h.Report.Incarnation
	case !leaving && h.Leaving && h.Report.OK && h.Report.Incarnation != h.leavingIncarnation:
		h.Leaving, h.leavingIncarnation = false, ""
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

// removeGoneHosts removes hosts that are not listed and have no successful report that is up to
// date. If such a host returns, it is a new one without the old leaving mark.
func (v *View) removeGoneHosts(now step.Time) {
	for name, h := range v.hosts {
		if h.Listed || h.Service || (h.Report.OK && h.Report.UpToDate(now.Mono)) {
			continue
		}
		delete(v.hosts, name)
	}
}

// indexHosts rebuilds the sorted host names and the hosts by domain.
func (v *View) indexHosts() {
	v.hostNames = sortedKeys(v.hosts)
	clear(v.domains)
	for _, name := range v.hostNames {
		h := v.hosts[name]
		if h.Domain != "" {
			v.domains[h.Domain] = append(v.domains[h.Domain], name)
		}
	}
	v.liveDaemons = nil // makes the next tick reassign the probes
}

// ConfigChanged updates the view after a change of the configuration in force.
func (v *View) ConfigChanged(now step.Time) {
	v.updateServiceHosts()
	v.indexHosts()
	v.rebuildTargets(now)
}

func (v *View) updateServiceHosts() {
	configured := make(map[string]bool)
	for _, name := range v.config.Names(object.KindService) {
		s, ok := v.config.Service(name)
		if !ok {
			continue
		}
		for _, st := range s.Targets {
			h := v.host(st.Host)
			h.Service = true
			h.Address, h.DataCentre = st.Address, st.DataCentre
			configured[st.Host] = true
		}
	}
	for name, h := range v.hosts {
		if h.Service && !configured[name] {
			delete(v.hosts, name)
		}
	}
}

// rebuildTargets updates the targets from the configuration and the hosts. Existing targets keep
// their counts. A target that is no longer configured is kept until its last request ends.
func (v *View) rebuildTargets(now step.Time) {
	for _, h := range v.hosts {
		h.targets = h.targets[:0]
	}
	for _, t := range v.targets {
		t.configured = false
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
	v.removeUnconfigured(now)
}

func (v *View) removeUnconfigured(now step.Time) {
	v.targetNames = sortedKeys(v.targets)
	for _, name := range slices.Clone(v.targetNames) {
		t := v.targets[name]
		v.updateRoutable(now, t)
		if !t.configured && t.InFlight == 0 {
			v.removeTarget(t)
		}
	}
}

func (v *View) setGroup(now step.Time, name string, g object.Group) {
	_, known := v.config.Model(g.Model)
	t := v.target(name, poolOf(v.models, g.Model))
	t.Model, t.Service, t.DataCentre = g.Model, "", g.DataCentre
	t.generation = g.Generation
	t.configured = known
	wasOutOfService := t.outOfService
	t.outOfService = v.dataCentreOut(g.DataCentre)
	t.members = t.members[:0]
	for _, member := range g.Members {
		h, ok := v.hosts[member]
		if !ok {
			t.configured = false // the member's address is not known, so it cannot be probed
			continue
		}
		t.members = append(t.members, h)
		t.outOfService = t.outOfService || v.hostOut(member) || v.dataCentreOut(h.DataCentre)
		h.targets = append(h.targets, t)
	}
	if wasOutOfService && !t.outOfService {
		v.startRamp(now, t)
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
		t.configured = true
		wasOutOfService := t.outOfService
		t.outOfService = v.hostOut(st.Host) || v.dataCentreOut(st.DataCentre)
		if wasOutOfService && !t.outOfService {
			v.startRamp(now, t)
		}
		t.To = step.Destination{Host: st.Host, Address: st.Address}
		h := v.hosts[st.Host]
		t.members = append(t.members[:0], h)
		h.targets = append(h.targets, t)
	}
}

// target returns the target with a name, creating it if needed, and moves it to pool p.
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
		p = &pool{earliestExpiry: noExpiry}
		pools[name] = p
	}
	return p
}

func (v *View) dataCentreOut(name string) bool {
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
