package fabric

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// This file begins and ends the control of a pool, and says what the lease names for the next holder.

// TakeControl begins this daemon's control. Epochs of its term are greater than base. Hosts
// in joinDelays join no group for the time given. The loads that the previous lease holder may
// have begun count for loadsEnd from now.
func (p *Pool) TakeControl(now time.Duration, base uint64, joinDelays map[string]time.Duration, loadsEnd time.Duration) {
	p.active, p.lastEpoch, p.controlSince = true, base, now
	clear(p.groups)
	clear(p.released)
	clear(p.hidden)
	clear(p.pendingOrders)
	clear(p.partitions)
	p.lastAnswerAt = now
	maps.DeleteFunc(p.joinDelays, func(_ string, until time.Duration) bool { return until <= now })
	for name, left := range joinDelays {
		p.joinDelays[name] = max(p.joinDelays[name], now+left)
	}
	for name, h := range p.hosts {
		h.pendingOp, h.orderCountKnown, h.reportPending, h.missedReports, h.silent, h.lastAnswerAt = 0, false, false, 0, false, now
		h.mayJoinAt = max(h.mayJoinAt, p.joinDelays[name])
	}
	p.loadStarts = nil
	p.loadsBlockedUntil = now + loadsEnd
	p.loadsWanted, p.loadsCoveredUntil, p.loadsWrittenUntil = false, 0, 0
	p.demand.restart()
	p.moves.from, p.moves.to = "", ""
}

// AssumeUnknownPredecessor makes the pool safe after a holder of which nothing is known: that
// holder may just have begun as many loads as are allowed, and any host that is in no group may
// have been taken from a group whose head can't be reached and still serves.
func (p *Pool) AssumeUnknownPredecessor(now time.Duration) {
	p.loadsBlockedUntil = max(p.loadsBlockedUntil, now+loadWindow)
	p.predecessorUntil = now + p.longestJoinDelay()
	for _, h := range p.hosts {
		if h.entry.Member.Phase == site.Absent {
			h.mayJoinAt = max(h.mayJoinAt, p.predecessorUntil)
		}
	}
}

// SetInitialDeployment sets whether the deployment starts for the first time and has had no
// request. Until its first request loads are not bounded, nor do they slow each other down.
func (p *Pool) SetInitialDeployment(initial bool) { p.initialDeployment = initial }

// SetControlUntil sets when this daemon's control ends unless the lease is renewed. Orders leave it before.
func (p *Pool) SetControlUntil(until time.Duration) { p.controlUntil = until }

// DropControl ends this daemon's control.
func (p *Pool) DropControl() { p.active = false }

// JoinDelays returns the hosts that may not join a group yet, each with the time left, for the
// daemon that takes over. They are to be written into the lease; see OnLeaseWritten.
func (p *Pool) JoinDelays(now time.Duration) map[string]time.Duration {
	delays := make(map[string]time.Duration)
	for name, until := range p.joinDelays {
		if until > now {
			delays[name] = until - now
		}
	}
	for name, h := range p.hosts {
		if h.mayJoinAt > now {
			delays[name] = h.mayJoinAt - now
		}
	}
	for _, g := range p.groups {
		if g.stage != headless {
			continue
		}
		g.delaysWritten = true
		for _, m := range g.members {
			if m.id != "" {
				delays[m.id] = max(delays[m.id], p.joinDelay(g))
			}
		}
	}
	return delays
}

// LoadsEnd returns how much longer the loads that this daemon has begun, or begins under the lease
// that is written now, count against the limit once that lease is taken over; see OnLeaseWritten.
func (p *Pool) LoadsEnd(now time.Duration) time.Duration {
	if p.loadsWanted {
		p.loadsWanted, p.loadsWrittenUntil = false, now+leaseTTL
		return loadWindow
	}
	p.loadsCoveredUntil, p.loadsWrittenUntil = 0, 0
	if len(p.loadStarts) == 0 {
		return 0
	}
	return max(0, p.loadStarts[len(p.loadStarts)-1]+loadWindow-now)
}

// NeedsLeaseWrite reports whether the lease should be written now because it lacks hosts that
// must not join a group yet, or loads that wait. OnLeaseWritten ends that.
func (p *Pool) NeedsLeaseWrite() bool { return p.leaseOutdated }

// OnLeaseWritten records that the lease in force names the hosts that JoinDelays returned last.
func (p *Pool) OnLeaseWritten() {
	p.leaseOutdated = false
	p.loadsCoveredUntil = p.loadsWrittenUntil
	for _, g := range p.groups {
		if g.stage == headless {
			g.delaysInLease = g.delaysWritten
			p.leaseOutdated = p.leaseOutdated || !g.delaysInLease
		}
	}
}
