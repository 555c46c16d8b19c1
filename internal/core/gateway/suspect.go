package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// tellers is the number of daemons, about, that tell of one engine: those whose requests
	// run there see the same at the same time.
	tellers = 12
	// tellAgain is how long a daemon does not tell of the same engine again.
	tellAgain = 2 * time.Second
)

// suspect makes known that an engine brings nothing, so that the loss of a member of its
// group is found before its report is next due. Where many hosts share the questions for
// reports that takes seconds, in which each daemon would find out by requests of its own.
func (s *State) suspect(now time.Duration, host string, out *step.Out) {
	h := s.hosts[host]
	if h == nil || s.pools[h.Service] == nil {
		return
	}
	if told, ok := s.told[host]; ok && now-told < tellAgain {
		return
	}
	s.told[host] = now
	if s.control {
		s.pools[h.Service].Suspect(host)
		return
	}
	holder := s.lease.Current().Holder
	address := s.daemonAt[holder]
	if address == "" {
		return // it finds out without
	}
	turn := rendezvous.Mix(rendezvous.Hash(s.set.Daemon)^rendezvous.Hash(host)+uint64(now)) % uint64(s.book.Daemons())
	if turn >= tellers || !s.pools[h.Service].WantsSuspicions() {
		return
	}
	out.Log(event.HostSuspected, event.F("host", host), event.F("daemon", holder))
	out.Add(step.TellSuspect{Daemon: holder, Address: address, Host: host})
}

func (s *State) onSuspected(e step.HostSuspected) {
	if h := s.hosts[e.Host]; s.control && h != nil && s.pools[h.Service] != nil {
		s.pools[h.Service].Suspect(e.Host)
	}
}
