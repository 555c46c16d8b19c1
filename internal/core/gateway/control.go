package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// formationBits is the number of low bits of an epoch, which count the formations of one
	// lease holder. The bits above are the lease revision at which it took control plus the
	// store's era shifted by revisionBits.
	formationBits = 12
	// revisionBits keeps the epochs of an era above all of the one before, although the store
	// gives out revisions again. Epochs of the first 32 eras stay exact in engines that read
	// numbers as floating point.
	revisionBits = 36
	// formationBitsWithoutEras is formationBits where the store has no eras. Engines refuse
	// epochs below those that earlier releases gave them.
	formationBitsWithoutEras = 20
)

// firstEpoch is the epoch below those of the holder that took control at a revision.
func firstEpoch(era, revision uint64) uint64 {
	if era == 0 {
		return revision << formationBitsWithoutEras
	}
	return (era<<revisionBits + revision) << formationBits
}

// minPassIntervalPerHost, multiplied by the number of hosts, is the shortest interval between
// two passes over the groups. A pass costs about a microsecond per host, and each answered
// order would cause one.
const minPassIntervalPerHost = 10 * time.Microsecond

// controlTick maintains the lease and, while this daemon holds it, orders the groups.
func (s *State) controlTick(now time.Duration, out *step.Out) {
	if len(s.pools) == 0 || !s.hostsKnown {
		return
	}
	s.avoidControl(now)
	s.lease.Tick(now, func() step.ControlLease { return s.leaseContents(now) }, out)
	held := s.lease.Held(now)
	if held != s.holdsControl {
		s.holdsControl = held
		s.onControlChange(now, held)
	}
	if !held || s.lifecycle.stopping || s.lease.Avoiding(now) {
		return
	}
	if s.lastPassAt > 0 && now-s.lastPassAt < time.Duration(len(s.hosts))*minPassIntervalPerHost {
		return
	}
	s.lastPassAt = now
	for _, p := range s.pools {
		p.SetInitialDeployment(s.initialDeployment && !s.requestSeen)
		p.SetMovesBlocked(!s.storeReachable)
		p.SetControlUntil(s.lease.HeldUntil())
		p.Tick(now, out)
		if p.NeedsLeaseWrite() {
			s.lease.RenewNow()
		}
	}
}

const (
	// controlCutDelay is how long the hosts of engines must be out of reach before this daemon leaves
	// the lease to another one. A change of the holder takes about as long.
	controlCutDelay = 500 * time.Millisecond
	// controlPathMargin is how long a daemon stays away from the lease once it reaches hosts again.
	controlPathMargin = 200 * time.Millisecond
	// controlPartitionTime is how long it does after most hosts, but not all, were silent: it can't
	// tell by connections whether that is over.
	controlPartitionTime = 10 * time.Second
)

// avoidControl leaves the lease to daemons that reach the engines. If none does, nobody holds it.
func (s *State) avoidControl(now time.Duration) {
	for name, p := range s.pools {
		switch {
		case s.paths.Cut(name):
			if now-s.paths.CutSince(name) >= controlCutDelay {
				s.lease.Avoid(now + controlPathMargin)
			}
		case p.CutOffFromMost(now):
			s.lease.Avoid(now + controlPartitionTime)
		case p.Silent(now):
			s.paths.Doubt(name) // probes tell whether the hosts are out of reach
		}
	}
}

// onControlChange lets the pools take control with what the last lease holder recorded, or
// drop it.
func (s *State) onControlChange(now time.Duration, held bool) {
	if !held {
		for _, p := range s.pools {
			p.DropControl()
		}
		return
	}
	lease := s.lease.Current()
	joinDelays := make(map[string]time.Duration, len(lease.JoinDelayMillis))
	for host, millis := range lease.JoinDelayMillis {
		joinDelays[host] = time.Duration(millis) * time.Millisecond
	}
	s.initialDeployment = s.lease.Created() && !s.storeRestored && s.enginesAreBlank()
	// A holder that has created the lease knows nothing of the one before it, unless it was that
	// one itself. The next holder must learn what it assumes.
	predecessorUnknown := s.lease.JustCreated() && !s.initialDeployment && !s.lease.Continued()
	for _, p := range s.pools {
		p.TakeControl(now, firstEpoch(s.lease.Era(), s.lease.Revision()), joinDelays, time.Duration(lease.LoadsEndMillis)*time.Millisecond)
		if predecessorUnknown {
			p.AssumeUnknownPredecessor(now)
			s.lease.RenewNow()
		}
	}
}

// enginesAreBlank reports whether no engine has weights or is in a group, as when a deployment
// starts for the first time.
func (s *State) enginesAreBlank() bool {
	for _, h := range s.hosts {
		if s.pools[h.Service] != nil && (len(h.Staged) > 0 || h.Member.Phase != site.Absent) {
			return false
		}
	}
	return true
}

// onStoreEra begins an era of the store. Whatever was learnt from the store in the era before
// stays in force until the store shows something newer; see onHosts, onConfig and onEvacuated.
func (s *State) onStoreEra(now time.Duration, e step.StoreEra, out *step.Out) {
	restored := s.eraKnown && e.Era > s.era
	if s.eraKnown && !restored {
		return
	}
	var contents step.ControlLease
	if s.holdsControl {
		contents = s.leaseContents(now)
	}
	s.era, s.eraKnown = e.Era, true
	s.lease.EnterEra(now, e.Era, contents, out)
	if !restored {
		return
	}
	out.Log(event.StoreRestored, event.F("era", e.Era), event.F("heldControl", s.holdsControl))
	s.storeRestored, s.hadOutage, s.storeBackAt = true, true, now
	s.restoreVerdicts(now)
	s.controlTick(now, out)
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
