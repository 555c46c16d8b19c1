package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// formationBits is the number of low bits of an epoch, which count the formations of one lease
// holder. The bits above are the lease revision at which it took control.
const formationBits = 20

// minPassIntervalPerHost, multiplied by the number of hosts, is the shortest interval between
// two passes over the groups. A pass costs about a microsecond per host, and each answered
// order would cause one.
const minPassIntervalPerHost = 10 * time.Microsecond

// controlTick maintains the lease and, while this daemon holds it, orders the groups.
func (s *State) controlTick(now time.Duration, out *step.Out) {
	if len(s.pools) == 0 || !s.hostsKnown {
		return
	}
	s.lease.Tick(now, func() step.ControlLease { return s.leaseContents(now) }, out)
	held := s.lease.Held(now)
	if held != s.holdsControl {
		s.holdsControl = held
		s.onControlChange(now, held)
	}
	if !held || s.lifecycle.stopping {
		return
	}
	if s.lastPassAt > 0 && now-s.lastPassAt < time.Duration(len(s.hosts))*minPassIntervalPerHost {
		return
	}
	s.lastPassAt = now
	for _, p := range s.pools {
		p.SetInitialDeployment(s.lease.Created() && !s.requestSeen)
		p.Tick(now, out)
		if p.NeedsLeaseWrite() {
			s.lease.RenewNow()
		}
	}
}

// onControlChange lets the pools take control with what the last lease holder recorded, or
// drop it.
func (s *State) onControlChange(now time.Duration, held bool) {
	lease := s.lease.Current()
	joinDelays := make(map[string]time.Duration, len(lease.JoinDelayMillis))
	for host, millis := range lease.JoinDelayMillis {
		joinDelays[host] = time.Duration(millis) * time.Millisecond
	}
	for _, p := range s.pools {
		if held {
			p.TakeControl(now, s.lease.Revision()<<formationBits, joinDelays, time.Duration(lease.LoadsEndMillis)*time.Millisecond)
		} else {
			p.DropControl()
		}
	}
}

// leaseContents is what a daemon that takes over the lease must know.
func (s *State) leaseContents(now time.Duration) step.ControlLease {
	lease := step.ControlLease{}
	for _, p := range s.pools {
		for host, left := range p.JoinDelays(now) {
			if lease.JoinDelayMillis == nil {
				lease.JoinDelayMillis = make(map[string]int64)
			}
			lease.JoinDelayMillis[host] = left.Milliseconds()
		}
		lease.LoadsEndMillis = max(lease.LoadsEndMillis, p.LoadsEnd(now).Milliseconds())
	}
	return lease
}

func (s *State) onLease(now time.Duration, a step.LeaseAnswered, out *step.Out) {
	heldBefore := s.lease.Held(now)
	_, renewed := s.lease.OnAnswer(now, a, out)
	if renewed && heldBefore {
		for _, p := range s.pools {
			p.OnLeaseWritten()
		}
	}
	s.controlTick(now, out)
}

func (s *State) onOrder(now time.Duration, a step.GroupOrderAnswered, out *step.Out) {
	for _, p := range s.pools {
		if p.OnOrderAnswered(now, a, out) {
			break
		}
	}
	s.controlTick(now, out)
}
