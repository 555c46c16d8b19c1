package group

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// observed is what this daemon saw of the lease of a domain's holder.
type observed struct {
	holder  string
	pending step.OpID
	looked  time.Duration // when the last look was sent
	found   bool
	version object.Version
	millis  int64
	since   time.Duration // when the version was first seen
	lapsed  bool          // the lease is gone
}

// seek takes a domain whose owner this daemon is, once nobody may act for it.
func (c *Controller) seek(now time.Duration, d *domain, out *step.Out) {
	mine := c.Members.Owner(Key(d.name)) == c.Daemon
	d.sought = mine
	if c.stopping || !mine || !c.valid(now) || d.pending != 0 || now-d.tried < writeEvery && d.tried != 0 {
		return
	}
	if c.free(now, d, out) {
		c.takeOver(now, d, out)
	}
}

// free reports whether the domain has no holder that may still act.
func (c *Controller) free(now time.Duration, d *domain, out *step.Out) bool {
	if d.value == nil || d.value.Holder == "" {
		return true
	}
	if d.value.Holder == c.Daemon {
		// An earlier run or term of this daemon took it. That one could not renew after
		// this term began, so that its lease has run out by now.
		return now >= c.lease.began+c.set.Lease+c.margin()
	}
	return c.lapsed(now, d, out)
}

func (c *Controller) margin() time.Duration { return leaseMargin + c.set.Lease/10 }

// lapsed watches the holder's lease and reports whether it is gone. A lease that has
// stood unchanged for its time and a margin, on this daemon's clock, is deleted
// first: its holder cannot renew it any more, even if it wakes.
func (c *Controller) lapsed(now time.Duration, d *domain, out *step.Out) bool {
	s := &d.seen
	if s.holder != d.value.Holder {
		*s = observed{holder: d.value.Holder}
	}
	if s.lapsed {
		return true
	}
	if s.pending != 0 || (s.looked != 0 && now-s.looked < observeEvery) {
		return false
	}
	if s.found && now-s.since > time.Duration(s.millis)*time.Millisecond*11/10+leaseMargin {
		s.pending = c.await(operation{kind: opBreak, domain: d.name, sent: now})
		out.Add(step.DeleteObject{Op: s.pending, Kind: object.KindLease, Name: s.holder, IfVersion: s.version})
		return false
	}
	s.looked = now
	s.pending = c.await(operation{kind: opObserve, domain: d.name, sent: now})
	out.Add(step.GetObject{Op: s.pending, Kind: object.KindLease, Name: s.holder})
	return false
}

func (c *Controller) onObserved(now time.Duration, op operation, r step.PlatformReply, _ *step.Out) {
	s := &c.domain(op.domain).seen
	s.pending = 0
	switch {
	case r.Status == step.ReplyAbsent, op.kind == opBreak && r.Status == step.ReplyOK,
		r.Status == step.ReplyConflict && r.Object.Deleted():
		// Gone: deleted here, or by a call before whose answer was lost.
		s.lapsed = true
	case r.Status == step.ReplyOK, r.Status == step.ReplyConflict:
		v, ok := r.Object.Value.(*object.Lease)
		if !ok || (s.found && s.version == r.Object.Version) {
			return
		}
		s.found, s.version, s.millis, s.since = true, r.Object.Version, v.Millis, now
	}
}

// takeOver writes this daemon as the holder, with the next fencing number.
func (c *Controller) takeOver(now time.Duration, d *domain, out *step.Out) {
	next := cloneDomain(d.value)
	next.Holder, next.Run = c.Daemon, c.Incarnation
	next.Fence++
	d.seen = observed{}
	c.write(now, d, next, out)
}

// release hands the domain back.
func (c *Controller) release(now time.Duration, d *domain, out *step.Out) {
	next := cloneDomain(d.value)
	next.Holder, next.Run = "", ""
	c.write(now, d, next, out)
	out.Log(event.DomainReleased, event.F("domain", d.name))
}

// leave reports whether the domain is being handed back: this daemon stops, or
// another has been its owner for a while.
func (c *Controller) leave(now time.Duration, d *domain) bool {
	if c.stopping {
		return true
	}
	if c.Members.Owner(Key(d.name)) == c.Daemon {
		d.away = 0
		return false
	}
	if d.away == 0 {
		d.away = now
	}
	return now-d.away >= handOver
}

func cloneDomain(v *object.Domain) *object.Domain {
	if v == nil {
		return &object.Domain{}
	}
	next := *v
	next.Groups = maps.Clone(v.Groups)
	next.Pins = maps.Clone(v.Pins)
	return &next
}
