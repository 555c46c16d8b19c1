package core

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Directory is what the callers' interface needs before a request reaches the
// reducer. It is a copy: safe to share.
type Directory struct {
	// Customers are the customers by the SHA-256 of their keys, in hex.
	Customers map[string]string
	// Models and Services are the configured names, sorted.
	Models   []string
	Services []string
	// Allowed are the contracts by customer.
	Allowed map[string]*object.Contract
}

// Directory copies the part of the configuration in force that callers meet first.
func (s *State) Directory() *Directory {
	d := &Directory{Customers: make(map[string]string), Allowed: make(map[string]*object.Contract)}
	for _, customer := range s.config.Names(object.KindContract) {
		c, ok := s.config.Contract(customer)
		if !ok {
			continue
		}
		d.Allowed[customer] = c
		for _, h := range c.KeyHashes {
			d.Customers[h] = customer
		}
	}
	d.Models = append(d.Models, s.config.Names(object.KindModel)...)
	d.Services = append(d.Services, s.config.Names(object.KindService)...)
	return d
}

// Status is what this daemon knows of the whole system; the caller adds what the
// settings say.
func (s *State) Status(now step.Time) operatorapi.Status {
	st := operatorapi.Status{
		Daemon: s.set.Daemon, Incarnation: s.set.Incarnation, DataCentre: s.set.DataCentre,
		Ready: s.life.ready, Applied: s.config.Applied(), PlatformReachable: s.life.platform,
		Daemons:  []operatorapi.DaemonStatus{},
		Groups:   []operatorapi.GroupStatus{},
		Services: []operatorapi.ServiceStatus{},
		Leases:   []operatorapi.LeaseStatus{},
	}
	s.daemonStatus(&st)
	s.groupStatus(now, &st)
	s.serviceStatus(now, &st)
	return st
}

func (s *State) daemonStatus(st *operatorapi.Status) {
	for _, name := range s.members.Live() {
		d := operatorapi.DaemonStatus{Name: name, DataCentre: s.set.DataCentre, Applied: s.config.Applied(), Linked: true}
		if beat, ok := s.members.Peer(name); ok {
			d.Applied, d.Leaving, d.DataCentre = beat.Applied, beat.Leaving, ""
		}
		st.Daemons = append(st.Daemons, d)
	}
	for _, name := range s.members.Unknown() {
		st.Daemons = append(st.Daemons, operatorapi.DaemonStatus{Name: name, AgeMillis: -1})
	}
}

func (s *State) groupStatus(now step.Time, st *operatorapi.Status) {
	for _, domain := range s.config.Names(object.KindDomain) {
		d, _ := s.config.Domain(domain)
		if d == nil {
			continue
		}
		st.Leases = append(st.Leases, operatorapi.LeaseStatus{Domain: domain, Holder: d.Holder, Fence: d.Fence, AgeMillis: -1})
		for _, name := range slices.Sorted(maps.Keys(d.Groups)) {
			g := d.Groups[name]
			item := operatorapi.GroupStatus{
				Name: name, Model: g.Model, Domain: domain, DataCentre: g.DataCentre,
				Generation: g.Generation, Members: g.Members, Serving: s.fleet.Routable(now, name),
			}
			if t, ok := s.fleet.Target(name); ok {
				item.Limit, item.InFlight = t.Limit, t.InFlight+t.PeerInFlight
			}
			st.Groups = append(st.Groups, item)
		}
	}
}

func (s *State) serviceStatus(now step.Time, st *operatorapi.Status) {
	for _, name := range s.config.Names(object.KindService) {
		service, ok := s.config.Service(name)
		if !ok {
			continue
		}
		for _, t := range service.Targets {
			item := operatorapi.ServiceStatus{Service: name, Host: t.Host, DataCentre: t.DataCentre}
			if f, ok := s.fleet.Target(name + "/" + t.Host); ok {
				item.Serving = s.fleet.Routable(now, f.Name)
				item.Limit, item.InFlight = f.Limit, f.InFlight+f.PeerInFlight
			}
			st.Services = append(st.Services, item)
		}
	}
}

// HeartbeatInterval is the time between two heartbeats of this daemon.
func (s *State) HeartbeatInterval() time.Duration { return s.members.Interval() }
