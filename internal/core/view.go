package core

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Directory is the part of the configuration that the callers' interface needs to authenticate
// and check a request before the reducer gets it. It is a copy and safe to share between
// goroutines.
type Directory struct {
	// Customers maps the hex SHA-256 of a key to the customer's name.
	Customers map[string]string
	// Models and Services are the names of all configured models and services, sorted.
	Models   []string
	Services []string
	// Contracts maps a customer's name to its contract.
	Contracts map[string]*object.Contract
}

// Directory returns a copy of the contracts and names in the configuration in force.
func (s *State) Directory() *Directory {
	d := &Directory{Customers: make(map[string]string), Contracts: make(map[string]*object.Contract)}
	for _, customer := range s.config.Names(object.KindContract) {
		c, ok := s.config.Contract(customer)
		if !ok {
			continue
		}
		d.Contracts[customer] = c
		for _, h := range c.KeyHashes {
			d.Customers[h] = customer
		}
	}
	d.Models = append(d.Models, s.config.Names(object.KindModel)...)
	d.Services = append(d.Services, s.config.Names(object.KindService)...)
	return d
}

// Status returns this daemon's view of the whole system. Fields that come from the settings file
// are empty; the caller fills them in.
func (s *State) Status(now step.Time) operatorapi.Status {
	st := operatorapi.Status{
		Daemon: s.settings.Daemon, Incarnation: s.settings.Incarnation, DataCentre: s.settings.DataCentre,
		Ready: s.lifecycle.ready, Applied: s.config.Applied(), PlatformReachable: s.lifecycle.platformReachable,
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
		d := operatorapi.DaemonStatus{Name: name, DataCentre: s.settings.DataCentre, Applied: s.config.Applied(), Linked: true}
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

// HeartbeatInterval returns the time between two heartbeats of this daemon.
func (s *State) HeartbeatInterval() time.Duration { return s.members.Interval() }
