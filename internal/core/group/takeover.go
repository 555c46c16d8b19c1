package group

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// observedLease is what this daemon has seen of the lease of the holder of a domain.
type observedLease struct {
	holder       string
	pending      step.OpID     // call in flight, zero if none
	requestedAt  time.Duration // when the lease was last requested, zero if never
	found        bool          // the fields below are known
	version      object.Version
	leaseMillis  int64         // duration of the lease
	versionSince time.Duration // when version was first seen
	expired      bool          // the lease does not exist any more
}

// tryTakeOver takes over a domain if this daemon is its owner and no holder may still act for
// it.
func (c *Controller) tryTakeOver(now time.Duration, d *domain, out *step.Out) {
	mine := c.Members.Owner(Key(d.name)) == c.Daemon
	d.isOwner = mine
	if c.stopping || !mine || !c.leaseValid(now) || d.pending != 0 || now-d.failedAt < writeRetryDelay && d.failedAt != 0 {
		return
	}
	if c.available(now, d, out) {
		c.takeOver(now, d, out)
	}
}

// available reports whether the domain has no holder that may still act.
func (c *Controller) available(now time.Duration, d *domain, out *step.Out) bool {
	if d.value == nil || d.value.Holder == "" {
		return true
	}
	if d.value.Holder == c.Daemon {
		// An earlier run or term of this daemon took the domain. It could not renew its lease
		// after this term began, so that lease has expired once its duration and a margin have
		// passed since the term began.
		return now >= c.lease.termStart+c.set.LeaseDuration+c.clockMargin()
	}
	return c.holderExpired(now, d, out)
}

// clockMargin is the allowance for clocks that differ in rate, added to the duration of a
// lease.
func (c *Controller) clockMargin() time.Duration { return leaseMargin + c.set.LeaseDuration/10 }

// holderExpired reads the holder's lease at intervals and reports whether it is gone. A lease
// that has not changed for its duration and a margin, on the clock of this daemon, is deleted
// first. Its holder can then not renew it any more, even if it resumes after a pause.
func (c *Controller) holderExpired(now time.Duration, d *domain, out *step.Out) bool {
	s := &d.holderLease
	if s.holder != d.value.Holder {
		*s = observedLease{holder: d.value.Holder}
	}
	if s.expired {
		return true
	}
	if s.pending != 0 || (s.requestedAt != 0 && now-s.requestedAt < leaseReadInterval) {
		return false
	}
	if s.found && now-s.versionSince > time.Duration(s.leaseMillis)*time.Millisecond*11/10+leaseMargin {
		s.pending = c.await(operation{kind: opDeleteHolderLease, domain: d.name, sentAt: now})
		out.Add(step.DeleteObject{Op: s.pending, Kind: object.KindLease, Name: s.holder, IfVersion: s.version})
		return false
	}
	s.requestedAt = now
	s.pending = c.await(operation{kind: opReadHolderLease, domain: d.name, sentAt: now})
	out.Add(step.GetObject{Op: s.pending, Kind: object.KindLease, Name: s.holder})
	return false
}

// onHolderLease handles the reply to a read or deletion of another holder's lease.
func (c *Controller) onHolderLease(now time.Duration, op operation, r step.PlatformReply, _ *step.Out) {
	s := &c.domain(op.domain).holderLease
	s.pending = 0
	switch {
	case r.Status == step.ReplyAbsent, op.kind == opDeleteHolderLease && r.Status == step.ReplyOK,
		r.Status == step.ReplyConflict && r.Object.Deleted():
		// Deleted by this call, or by an earlier one whose answer was lost.
		s.expired = true
	case r.Status == step.ReplyOK, r.Status == step.ReplyConflict:
		v, ok := r.Object.Value.(*object.Lease)
		if !ok || (s.found && s.version == r.Object.Version) {
			return
		}
		s.found, s.version, s.leaseMillis, s.versionSince = true, r.Object.Version, v.Millis, now
	}
}

// takeOver writes this daemon as the holder, with the next fencing token.
func (c *Controller) takeOver(now time.Duration, d *domain, out *step.Out) {
	next := cloneDomain(d.value)
	next.Holder, next.HolderIncarnation = c.Daemon, c.Incarnation
	next.Fence++
	d.holderLease = observedLease{}
	c.write(now, d, next, out)
}

// release writes the domain without a holder, so that another daemon can take it at once.
func (c *Controller) release(now time.Duration, d *domain, out *step.Out) {
	next := cloneDomain(d.value)
	next.Holder, next.HolderIncarnation = "", ""
	c.write(now, d, next, out)
	out.Log(event.DomainReleased, event.F("domain", d.name))
}

// shouldRelease reports whether to release the domain: this daemon is stopping, or another
// daemon has been the owner for handOverDelay.
func (c *Controller) shouldRelease(now time.Duration, d *domain) bool {
	if c.stopping {
		return true
	}
	if c.Members.Owner(Key(d.name)) == c.Daemon {
		d.notOwnerSince = 0
		return false
	}
	if d.notOwnerSince == 0 {
		d.notOwnerSince = now
	}
	return now-d.notOwnerSince >= handOverDelay
}

// cloneDomain returns a copy of the state whose maps can be changed, or an empty state for
// nil.
func cloneDomain(v *object.Domain) *object.Domain {
	if v == nil {
		return &object.Domain{}
	}
	next := *v
	next.Groups = maps.Clone(v.Groups)
	next.Pins = maps.Clone(v.Pins)
	return &next
}
