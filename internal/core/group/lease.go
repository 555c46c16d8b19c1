package group

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// lease is the state of this daemon's own lease. The lease is kept only while the daemon holds
// a domain or wants to take one.
type lease struct {
	// held is set by a renewal that took effect and cleared when the lease is known to be
	// gone. It stays set after the lease has expired by time; see leaseValid.
	held    bool
	version object.Version
	renewal uint64 // number of the last renewal that took effect
	// renewedAt is when the last renewal that took effect was sent. The lease runs from then,
	// since other daemons can only have seen the change later.
	renewedAt   time.Duration
	attemptedAt time.Duration // when a renewal was last sent, zero if none was
	pending     step.OpID     // call in flight, zero if none
	// term rises whenever the lease is lost or gained. A domain that was taken in an earlier
	// term is no longer held.
	term uint64
	// termStart is when the first renewal of the term took effect. No earlier run of this
	// daemon can have renewed after it.
	termStart time.Duration
}

// leaseValid reports whether this daemon may act under its lease.
func (c *Controller) leaseValid(now time.Duration) bool {
	return c.lease.held && now < c.lease.renewedAt+c.set.LeaseDuration
}

// renew renews the lease when a renewal is due, and deletes it when it is no longer needed.
func (c *Controller) renew(now time.Duration, out *step.Out) {
	l := &c.lease
	if l.pending != 0 {
		return
	}
	if !c.leaseNeeded() {
		if l.held {
			op := c.await(operation{kind: opDeleteLease, sentAt: now})
			l.pending = op
			out.Add(step.DeleteObject{Op: op, Kind: object.KindLease, Name: c.Daemon, IfVersion: l.version})
		}
		return
	}
	if l.attemptedAt != 0 && now-l.attemptedAt < c.renewalInterval() {
		return
	}
	l.attemptedAt = now
	value := &object.Lease{
		Daemon: c.Daemon, Incarnation: c.Incarnation, Renewal: l.renewal + 1, Millis: c.set.LeaseDuration.Milliseconds(),
	}
	l.pending = c.await(operation{kind: opRenewLease, sentAt: now})
	out.Add(step.PutObject{Op: l.pending, Name: c.Daemon, IfVersion: l.version, Value: value})
}

// renewalInterval returns the time between two renewals, which is at most writeRetryDelay while
// the lease is not held.
func (c *Controller) renewalInterval() time.Duration {
	if c.lease.held {
		return c.set.RenewInterval
	}
	return min(c.set.RenewInterval, writeRetryDelay)
}

// leaseNeeded reports whether this daemon holds a domain, wants to take one, or has a call
// about one in flight.
func (c *Controller) leaseNeeded() bool {
	for _, d := range c.domains {
		if c.holds(d) || d.pending != 0 || (d.isOwner && !c.stopping) {
			return true
		}
	}
	return false
}

// onLease handles the reply to a call about this daemon's lease.
func (c *Controller) onLease(now time.Duration, op operation, r step.PlatformReply, out *step.Out) {
	l := &c.lease
	l.pending = 0
	switch {
	case op.kind == opDeleteLease && (r.Status == step.ReplyOK || r.Status == step.ReplyAbsent || r.Status == step.ReplyConflict):
		c.loseLease(r.Object.Version)
		if r.Status != step.ReplyConflict {
			l.version = 0
		}
	case r.Status == step.ReplyLost:
		l.pending = c.await(operation{kind: opReadLease, sentAt: op.sentAt})
		out.Add(step.GetObject{Op: l.pending, Kind: object.KindLease, Name: c.Daemon})
	case op.kind == opRenewLease && r.Status == step.ReplyOK:
		c.onRenewed(now, op.sentAt, r.Object.Version, l.renewal+1)
	case r.Status == step.ReplyAbsent:
		c.loseLease(0)
	case op.kind == opRenewLease && r.Status == step.ReplyConflict:
		c.loseLease(r.Object.Version)
	case op.kind == opReadLease && r.Status == step.ReplyOK:
		c.readBack(now, op.sentAt, r.Object)
	}
}

// readBack decides, from the lease that was read, whether a renewal without an answer took
// effect.
func (c *Controller) readBack(now, sent time.Duration, o object.Object) {
	v, ok := o.Value.(*object.Lease)
	switch {
	case ok && v.Incarnation == c.Incarnation && v.Renewal == c.lease.renewal+1:
		c.onRenewed(now, sent, o.Version, v.Renewal)
	case o.Version != c.lease.version:
		c.loseLease(o.Version)
	}
}

// onRenewed records a renewal that took effect, and starts a new term if the lease was not
// held.
func (c *Controller) onRenewed(now, sent time.Duration, version object.Version, renewal uint64) {
	l := &c.lease
	if !l.held {
		l.term++
		l.termStart = now
	}
	l.held, l.version, l.renewal, l.renewedAt = true, version, renewal, sent
}

// loseLease ends the term, so that no domain is held any more. The lease has been deleted, by
// this daemon or another, or another daemon may delete it.
func (c *Controller) loseLease(version object.Version) {
	l := &c.lease
	if l.held {
		l.term++
	}
	l.held, l.version = false, version
}
