package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// termBits are the low bits of an epoch, which count the formations of one holder of
// control; the bits above are the revision at which it took control.
const termBits = 20

// passGap is the least time between two passes over the groups, for each host: one costs
// about a microsecond a host, and each answered order would cause one.
const passGap = 10 * time.Microsecond

// controlTick keeps the lease and, while it is held, orders the groups.
func (s *State) controlTick(now time.Duration, out *step.Out) {
	if len(s.pools) == 0 || !s.listed {
		return
	}
	s.lease.Tick(now, func() step.ControlLease { return s.note(now) }, out)
	held := s.lease.Held(now)
	if held != s.control {
		s.control = held
		s.passControl(now, held)
	}
	if !held || s.life.stopping {
		return
	}
	if s.passedAt > 0 && now-s.passedAt < time.Duration(len(s.hosts))*passGap {
		return
	}
	s.passedAt = now
	for _, p := range s.pools {
		p.SetInitialDeployment(s.lease.Created() && !s.called)
		p.Tick(now, out)
		if p.NeedsLeaseWrite() {
			s.lease.RenewNow()
		}
	}
}

func (s *State) passControl(now time.Duration, held bool) {
	standing := s.lease.Current()
	resting := make(map[string]time.Duration, len(standing.Resting))
	for host, millis := range standing.Resting {
		resting[host] = time.Duration(millis) * time.Millisecond
	}
	for _, p := range s.pools {
		if held {
			p.TakeControl(now, s.lease.Revision()<<termBits, resting, time.Duration(standing.LoadsEndMillis)*time.Millisecond)
		} else {
			p.DropControl()
		}
	}
}

// note is what a daemon that takes over must know.
func (s *State) note(now time.Duration) step.ControlLease {
	lease := step.ControlLease{}
	for _, p := range s.pools {
		for host, left := range p.Resting(now) {
			if lease.Resting == nil {
				lease.Resting = make(map[string]int64)
			}
			lease.Resting[host] = left.Milliseconds()
		}
		lease.LoadsEndMillis = max(lease.LoadsEndMillis, p.LoadsEnd(now).Milliseconds())
	}
	return lease
}

func (s *State) onLease(now time.Duration, a step.LeaseAnswered, out *step.Out) {
	noting := s.lease.Held(now)
	_, renewed := s.lease.OnAnswer(now, a, out)
	if renewed && noting {
		for _, p := range s.pools {
			p.OnLeaseWritten()
		}
	}
	s.controlTick(now, out)
}

func (s *State) onOrder(now time.Duration, a step.GroupOrderAnswered, out *step.Out) {
	for _, p := range s.pools {
		if p.OnOrder(now, a, out) {
			break
		}
	}
	s.controlTick(now, out)
}
