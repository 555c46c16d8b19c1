package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// suspicionSenders is the approximate number of daemons that report a suspicion about one
	// engine. Those whose requests run there notice the same fault at the same time.
	suspicionSenders = 12
	// suspicionInterval is the shortest interval between two suspicions of this daemon about
	// the same engine.
	suspicionInterval = 2 * time.Second
)

// reportSuspicion reports that an engine may have failed to the daemon that orders the groups,
// so that it detects the loss of a group member before the next report is due. With many hosts
// the interval between reports is seconds long. Until the loss is detected, each daemon finds the
// fault only when a request of its own stalls.
func (s *State) reportSuspicion(now time.Duration, host string, out *step.Out) {
	h := s.hosts[host]
	if h == nil || s.pools[h.Service] == nil || s.paths.Cut(h.Service) {
		return // what this daemon can't reach says nothing of the engine
	}
	if sentAt, ok := s.suspicionSentAt[host]; ok && now-sentAt < suspicionInterval {
		return
	}
	s.suspicionSentAt[host] = now
	if s.holdsControl {
		s.pools[h.Service].Suspect(host)
		return
	}
	holder := s.lease.Current().Holder
	address := s.daemonAddresses[holder]
	if address == "" {
		return // the lease holder detects the loss by its own report requests
	}
	draw := rendezvous.Mix(rendezvous.Hash(s.settings.Daemon)^rendezvous.Hash(host)+uint64(now)) % uint64(s.targets.Daemons())
	if draw >= suspicionSenders || !s.pools[h.Service].WantsSuspicions() {
		return
	}
	out.Log(event.HostSuspected, event.F("host", host), event.F("daemon", holder))
	out.Add(step.NotifySuspect{Daemon: holder, Address: address, Host: host})
}

func (s *State) onSuspected(e step.HostSuspected) {
	if h := s.hosts[e.Host]; s.holdsControl && h != nil && s.pools[h.Service] != nil {
		s.pools[h.Service].Suspect(e.Host)
	}
}
