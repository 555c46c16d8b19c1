package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/reach"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// CutServices returns the number of services whose hosts are out of this daemon's reach.
func (s *State) CutServices() int { return s.paths.CutServices() }

func (s *State) updatePaths(hosts []*site.Host) {
	byService := make(map[string][]reach.Host)
	for _, h := range hosts {
		byService[h.Service] = append(byService[h.Service], reach.Host{ID: h.ID, Address: h.Address, DataCentre: h.DataCentre, Domain: h.Domain})
	}
	s.paths.SetHosts(byService)
}

func (s *State) pathTick(now time.Duration, out *step.Out) {
	s.probePaths(now, out)
	s.concludeRefused(now, out)
	s.shareUnconfirmed(now, out)
}

// probePaths starts the rounds of probes that are due.
func (s *State) probePaths(now time.Duration, out *step.Out) {
	for _, p := range s.paths.Tick(now) {
		out.Add(step.ProbeHost{Host: p.Host.ID, Address: p.Host.Address, PathOf: p.Service})
	}
}

// onHostProbed handles the result of a probe, whatever it was sent for.
func (s *State) onHostProbed(now time.Duration, e step.HostProbed, out *step.Out) {
	service := e.PathOf
	if h := s.hosts[e.Host]; h != nil {
		service = h.Service
	}
	switch {
	case service == "":
	case e.Result == step.ProbeAccepted:
		s.recordReached(now, service, out)
	default:
		s.recordUnreached(now, service, e.Host, out)
	}
	if e.PathOf == "" {
		s.resolveUnconfirmed(now, service, e, out)
		s.onProbed(now, e, out)
	} else {
		s.concludeRefused(now, out)
		s.shareUnconfirmed(now, out)
	}
}

// recordAnswer records that a host of a service has answered.
func (s *State) recordAnswer(now time.Duration, service string, newConnection bool, out *step.Out) {
	if s.paths.Answered(now, service, newConnection) {
		s.onPathRestored(now, service, out)
	}
	s.concludeRefused(now, out)
}

func (s *State) recordReached(now time.Duration, service string, out *step.Out) {
	if s.paths.Reached(now, service) {
		s.onPathRestored(now, service, out)
	}
	s.moveStalled(now, service, out)
}

// recordUnreached records that no connection to a host could be opened.
func (s *State) recordUnreached(now time.Duration, service, host string, out *step.Out) {
	if s.paths.Failed(now, service, host) {
		s.targets.ForgetFailures(service)
		out.Log(event.HostsUnreachable, event.F("service", service), event.F("unreached", s.paths.Unreached(service)))
		s.moveStalled(now, service, out)
	}
	s.probePaths(now, out)
}

func (s *State) onPathRestored(now time.Duration, service string, out *step.Out) {
	s.targets.ForgetFailures(service)
	s.probeUnconfirmed(service, out)
	out.Log(event.HostsReachable, event.F("service", service), event.F("millis", (now-s.paths.CutSince(service)).Milliseconds()))
}
