package group

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// lease is this daemon's own. It is kept only while domains are held or sought.
type lease struct {
	held    bool
	version object.Version
	renewal uint64
	// sent is when the last renewal that took effect was sent: the lease runs from
	// there, since observers saw it change later.
	sent    time.Duration
	tried   time.Duration
	pending step.OpID
	// term rises whenever the lease is lost: what was held under an earlier term is
	// held no more.
	term uint64
	// began is when the first renewal of the term took effect. No earlier run of this
	// daemon can have renewed after it.
	began time.Duration
}

// valid reports whether this daemon may act.
func (c *Controller) valid(now time.Duration) bool {
	return c.lease.held && now < c.lease.sent+c.set.Lease
}

func (c *Controller) renew(now time.Duration, out *step.Out) {
	l := &c.lease
	if l.pending != 0 {
		return
	}
	if !c.wanted() {
		if l.held {
			op := c.await(operation{kind: opDropLease, sent: now})
			l.pending = op
			out.Add(step.DeleteObject{Op: op, Kind: object.KindLease, Name: c.Daemon, IfVersion: l.version})
		}
		return
	}
	if l.tried != 0 && now-l.tried < c.pause() {
		return
	}
	l.tried = now
	value := &object.Lease{
		Daemon: c.Daemon, Incarnation: c.Incarnation, Renewal: l.renewal + 1, Millis: c.set.Lease.Milliseconds(),
	}
	l.pending = c.await(operation{kind: opRenew, sent: now})
	out.Add(step.PutObject{Op: l.pending, Name: c.Daemon, IfVersion: l.version, Value: value})
}

// pause is the time between two renewals; a lease that is not held is tried sooner.
func (c *Controller) pause() time.Duration {
	if c.lease.held {
		return c.set.Renew
	}
	return min(c.set.Renew, writeEvery)
}

// wanted reports whether a domain is held or sought.
func (c *Controller) wanted() bool {
	for _, d := range c.domains {
		if c.holds(d) || d.pending != 0 || (d.sought && !c.stopping) {
			return true
		}
	}
	return false
}

func (c *Controller) onLease(now time.Duration, op operation, r step.PlatformReply, out *step.Out) {
	l := &c.lease
	l.pending = 0
	switch {
	case op.kind == opDropLease && (r.Status == step.ReplyOK || r.Status == step.ReplyAbsent || r.Status == step.ReplyConflict):
		c.loseLease(r.Object.Version)
		if r.Status != step.ReplyConflict {
			l.version = 0
		}
	case r.Status == step.ReplyLost:
		l.pending = c.await(operation{kind: opReadLease, sent: op.sent})
		out.Add(step.GetObject{Op: l.pending, Kind: object.KindLease, Name: c.Daemon})
	case op.kind == opRenew && r.Status == step.ReplyOK:
		c.renewed(now, op.sent, r.Object.Version, l.renewal+1)
	case r.Status == step.ReplyAbsent:
		c.loseLease(0)
	case op.kind == opRenew && r.Status == step.ReplyConflict:
		c.loseLease(r.Object.Version)
	case op.kind == opReadLease && r.Status == step.ReplyOK:
		c.readBack(now, op.sent, r.Object)
	}
}

// readBack settles a renewal whose answer was lost.
func (c *Controller) readBack(now, sent time.Duration, o object.Object) {
	v, ok := o.Value.(*object.Lease)
	switch {
	case ok && v.Incarnation == c.Incarnation && v.Renewal == c.lease.renewal+1:
		c.renewed(now, sent, o.Version, v.Renewal)
	case o.Version != c.lease.version:
		c.loseLease(o.Version)
	}
}

func (c *Controller) renewed(now, sent time.Duration, version object.Version, renewal uint64) {
	l := &c.lease
	if !l.held {
		l.term++
		l.began = now
	}
	l.held, l.version, l.renewal, l.sent = true, version, renewal, sent
}

// loseLease drops everything that was held under the lease: another daemon has
// broken it, or is free to.
func (c *Controller) loseLease(version object.Version) {
	l := &c.lease
	if l.held {
		l.term++
	}
	l.held, l.version = false, version
}
