package fabric

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// renewInterval is the interval between two renewals by the lease holder.
	renewInterval = time.Second
	// readInterval is the interval between two reads of a lease that another daemon holds.
	readInterval = time.Second
	// leaseTTL is how long a daemon may give orders after it sent a renewal that was accepted.
	leaseTTL = 2 * time.Second
	// takeoverDelay is how long another daemon must have seen the lease unchanged before it
	// takes it. It exceeds leaseTTL by more than the rates of two clocks differ.
	takeoverDelay = 2500 * time.Millisecond
	// takeoverSpread is the range over which daemons spread their attempts to take a free
	// lease, so that they don't all write at once.
	takeoverSpread = 100 * time.Millisecond
	// takeoverDelayPerCore times the missing fraction is the extra wait of a daemon that may use
	// less than one core: with half a core it waits half of this time longer. Larger daemons
	// thus take the lease first, because ordering many groups takes processor time.
	takeoverDelayPerCore = 500 * time.Millisecond
	// heldRetryDelay is the delay after a failed call to the store while this daemon holds the
	// lease.
	heldRetryDelay = 300 * time.Millisecond
	// freeRetryDelay is the same delay while it does not hold the lease. These delays bound
	// how often a store that is down is called.
	freeRetryDelay = time.Second
	// takeReadAge is the age up to which the last read decides whether to take the lease. Others may have
	// taken it since an older one; a read costs a tenth of a write that fails.
	takeReadAge = 200 * time.Millisecond
	// answerTimeout is how long to wait for the store's answer to a call. After that the next
	// call may be sent, and a later answer to this one is ignored.
	answerTimeout = 2 * time.Second
)

// Lease is one daemon's part in the election of the daemon that orders the groups. The lease
// is one object in the platform's store, and is written only on the condition that its
// revision has not changed. The daemon whose write was accepted holds it for leaseTTL, and
// renews it.
//
// Each era of the store has a lease of its own, which does not exist when the era begins. A
// daemon that sees the store for the first time can't tell a new deployment from a store that
// has lost the lease, so with eras nobody but the holder of the era before creates the lease
// within takeoverDelay. By then every lease of an earlier era has expired: it was last renewed
// before the store went away.
type Lease struct {
	self, incarnation string           // this daemon and its incarnation
	cores             float64          // processor cores that this daemon may use
	nextOp            func() step.OpID // returns a new ID for a call

	// revision and current are the lease as last seen, if known. revisionSeenAt is when this
	// revision was first seen. known is false until a read or write has returned a lease, and
	// again once the store has answered that there is none.
	revision       uint64
	current        step.ControlLease
	revisionSeenAt time.Duration
	known          bool

	// era is the store's era, valid if eraKnown. createAt is when this daemon may create the
	// lease of the era, with the contents firstContents; valid if createSet.
	era           uint64
	eraKnown      bool
	createAt      time.Duration
	createSet     bool
	firstContents step.ControlLease
	// continued is whether this daemon held the lease when the era began.
	continued bool

	held         bool // as of the last write; expires at heldUntil
	heldUntil    time.Duration
	sentAt       time.Duration // when the last read or write was sent
	pending      step.OpID     // the call without an answer; zero if none
	pendingWrite bool          // the pending call is a write, of writtenLease
	writtenLease step.ControlLease
	nextReadAt   time.Duration // when the next read is due
	readAt       time.Duration // when the last read that was answered was sent; valid if hasRead
	hasRead      bool
	retryAt      time.Duration // no call is sent before, because the last one failed
	renewNow     bool          // renew before renewInterval is over
	releasing    bool          // the lease is being released, or has been
	avoidUntil   time.Duration // until then this daemon leaves the lease to others; see Avoid
	created      bool          // this daemon created the lease: nobody held it in this era
}

// NewLease returns the Lease of one incarnation of a daemon that has so many cores.
func NewLease(self, incarnation string, cores float64, next func() step.OpID) *Lease {
	return &Lease{self: self, incarnation: incarnation, cores: cores, nextOp: next}
}

// Held reports whether this daemon may give orders now.
func (l *Lease) Held(now time.Duration) bool { return l.held && now < l.heldUntil }

// HeldUntil returns when the lease expires unless it is renewed; valid while it is held.
func (l *Lease) HeldUntil() time.Duration { return l.heldUntil }

// Revision returns the revision last seen. While the lease is held that is the revision of
// this daemon's last write; every earlier holder's was lower.
func (l *Lease) Revision() uint64 { return l.revision }

// Current returns the lease as it was last seen.
func (l *Lease) Current() step.ControlLease { return l.current }

// Era returns the store's era, which the revision belongs to.
func (l *Lease) Era() uint64 { return l.era }

// Created reports whether this daemon created the lease, so that no other held it in this era
// of the store.
func (l *Lease) Created() bool { return l.created }

// Continued reports whether this daemon held the lease when the era began. If it has created
// that of the era, nobody gave orders in between.
func (l *Lease) Continued() bool { return l.continued }

// JustCreated reports whether the lease as last seen is the one that this daemon created.
func (l *Lease) JustCreated() bool { return l.created && l.current.Renewal == 1 }

// RenewNow requests a renewal at once because the contents of the lease have changed.
func (l *Lease) RenewNow() { l.renewNow = true }

// Release starts to hand the lease back. Released reports whether that is done, or was not
// needed.
func (l *Lease) Release()       { l.releasing = true }
func (l *Lease) Released() bool { return l.releasing && !l.held && l.pending == 0 }

// Avoid leaves the lease to other daemons until a time: this daemon can't give orders. It gives the
// lease back if it holds it.
func (l *Lease) Avoid(until time.Duration) { l.avoidUntil = max(l.avoidUntil, until) }

// Avoiding reports whether this daemon leaves the lease to others.
func (l *Lease) Avoiding(now time.Duration) bool { return now < l.avoidUntil }

// EnterEra begins an era of the store. Except for the first one that this daemon sees, a lease
// of the era before is lost. If this daemon held it, it may create that of the new era at once,
// with the given contents.
func (l *Lease) EnterEra(now time.Duration, era uint64, contents step.ControlLease, out *step.Out) {
	if l.eraKnown && era <= l.era {
		return
	}
	first, held := !l.eraKnown, l.Held(now)
	l.era, l.eraKnown = era, true
	if first {
		return
	}
	if l.held {
		out.Log(event.ControlLost, event.F("reason", "the store came back from an older copy"), event.F("revision", l.revision), event.F("era", era))
	}
	l.held, l.created, l.known, l.revision, l.current = false, false, false, 0, step.ControlLease{}
	l.pending, l.retryAt, l.nextReadAt = 0, 0, now
	l.createAt, l.createSet = now+takeoverDelay+l.takeoverTurn(), true
	l.firstContents, l.continued = step.ControlLease{}, held
	if held {
		l.createAt, l.firstContents = now, contents
	}
}

// Tick renews, reads, takes or releases the lease, whichever is due. The function contents
// returns what the holder writes into the lease for its successor.
func (l *Lease) Tick(now time.Duration, contents func() step.ControlLease, out *step.Out) {
	if l.pending != 0 {
		if now-l.sentAt < answerTimeout {
			return
		}
		l.pending = 0
	}
	if l.held && now >= l.heldUntil {
		l.held = false
		out.Log(event.ControlLost, event.F("reason", "the lease could not be renewed in time"), event.F("revision", l.revision))
	}
	if now < l.retryAt {
		return
	}
	switch {
	case l.held && (l.releasing || l.Avoiding(now)):
		lease := contents()
		lease.Holder, lease.Incarnation = "", ""
		l.write(now, lease, out)
	case l.releasing:
	case l.held:
		if l.renewNow || now-l.sentAt >= renewInterval {
			l.renewNow = false
			lease := contents()
			lease.Holder, lease.Incarnation = l.self, l.incarnation
			l.write(now, lease, out)
		}
	case !l.known:
		l.tickUnknown(now, out)
	case l.mayTake(now+takeReadAge/2) && !l.isOwn(l.current) && !l.readLately(now):
		l.readOnce(now, out)
	case l.mayTake(now):
		l.write(now, l.takeoverLease(), out)
	case now >= l.nextReadAt:
		l.read(now, out)
	}
}

// tickUnknown looks for a lease while none is known. A write at revision zero creates it, or
// returns the one that exists.
func (l *Lease) tickUnknown(now time.Duration, out *step.Out) {
	if !l.createSet {
		l.createAt, l.createSet = now+l.takeoverTurn(), true
		if l.era > 0 {
			l.createAt += takeoverDelay
		}
	}
	switch {
	case now+takeReadAge/2 >= l.createAt && !l.Avoiding(now) && !l.readLately(now):
		l.readOnce(now, out)
	case now >= l.createAt && !l.Avoiding(now):
		l.createAt = now + readInterval
		lease := l.firstContents
		lease.Holder, lease.Incarnation = l.self, l.incarnation
		l.write(now, lease, out)
	case l.era > 0 && now >= l.nextReadAt:
		l.read(now, out)
	}
}

// read reads the lease. A stale answer is good enough, as every write is conditional.
func (l *Lease) read(now time.Duration, out *step.Out) {
	l.nextReadAt = now + readInterval
	l.readOnce(now, out)
}

// readOnce reads the lease without a change of the times of the regular reads: these decide when a daemon
// sees a renewal, and so which one takes the lease first.
func (l *Lease) readOnce(now time.Duration, out *step.Out) {
	l.pending, l.sentAt, l.pendingWrite = l.nextOp(), now, false
	out.Add(step.ReadLease{Op: l.pending, Era: l.era, AllowStale: true})
}

// readLately reports whether the last read that was answered shows who holds the lease now.
func (l *Lease) readLately(now time.Duration) bool {
	return l.hasRead && now-l.readAt <= takeReadAge
}

// isOwn reports whether a lease is held by this incarnation.
func (l *Lease) isOwn(lease step.ControlLease) bool {
	return lease.Holder == l.self && lease.Incarnation == l.incarnation
}

// takeoverLease keeps what the last holder recorded about join delays and loads.
func (l *Lease) takeoverLease() step.ControlLease {
	lease := l.current
	lease.Holder, lease.Incarnation = l.self, l.incarnation
	return lease
}

// mayTake reports whether this daemon may take the lease now. Daemons try one after the other.
func (l *Lease) mayTake(now time.Duration) bool {
	if l.Avoiding(now) {
		return false
	}
	if l.isOwn(l.current) {
		return true // held by this incarnation: it has expired, or the answer to its write was lost
	}
	wait := l.takeoverTurn()
	if l.current.Holder != "" {
		wait += takeoverDelay
	}
	return now-max(l.revisionSeenAt, l.avoidUntil) >= wait
}

// takeoverTurn is how long this daemon waits before it takes a lease that is free.
func (l *Lease) takeoverTurn() time.Duration {
	missingCores := time.Duration(max(0, 1-l.cores) * float64(takeoverDelayPerCore))
	return missingCores + time.Duration(rendezvous.Mix(rendezvous.Hash(l.self)+l.revision)%uint64(takeoverSpread))
}

func (l *Lease) write(now time.Duration, lease step.ControlLease, out *step.Out) {
	lease.Renewal = l.current.Renewal + 1
	l.pending, l.sentAt, l.pendingWrite, l.writtenLease = l.nextOp(), now, true, lease
	out.Add(step.WriteLease{Op: l.pending, Era: l.era, Revision: l.revision, Lease: lease})
}

// OnAnswer handles the answer to a read or write. It reports whether the call was this
// lease's, and whether the answer confirms that this daemon now holds the lease.
func (l *Lease) OnAnswer(now time.Duration, a step.LeaseAnswered, out *step.Out) (mine, renewed bool) {
	if l.pending == 0 || a.Op != l.pending {
		return false, false
	}
	l.pending = 0
	if a.Era != l.era {
		return true, false // the answer of a copy that the store has left, or the first one of a new era
	}
	if !l.pendingWrite && (a.Status == step.ReplyOK || a.Status == step.ReplyAbsent) {
		l.readAt, l.hasRead = l.sentAt, true
	}
	own := l.isOwn(a.Lease)
	switch {
	case l.pendingWrite && a.Status == step.ReplyOK:
		l.created = l.created || l.revision == 0
		l.observe(now, a.Revision, l.writtenLease)
		return true, l.onWriteAccepted(out)
	case l.pendingWrite && a.Status == step.ReplyConflict && own && a.Revision != l.revision:
		// An earlier write, whose answer was lost, was accepted. The TTL counts from the last
		// renewal that is known, so one more is needed.
		l.observe(now, a.Revision, a.Lease)
		l.renewNow = true
	case a.Status == step.ReplyOK, a.Status == step.ReplyConflict:
		if l.held && !own {
			l.held = false
			out.Log(event.ControlLost, event.F("holder", a.Lease.Holder), event.F("revision", a.Revision))
		}
		l.observe(now, a.Revision, a.Lease)
	case a.Status == step.ReplyAbsent:
		l.known, l.revision = false, 0
	default:
		l.retryAt = now + freeRetryDelay
		if l.held {
			l.retryAt = now + heldRetryDelay
		}
	}
	return true, false
}

// onWriteAccepted updates the state after the pending write was accepted. It reports whether
// this daemon now holds the lease.
func (l *Lease) onWriteAccepted(out *step.Out) bool {
	if l.writtenLease.Holder == "" {
		l.held = false
		reason := "hosts out of reach"
		if l.releasing {
			reason = "stopping"
		}
		out.Log(event.ControlReleased, event.F("revision", l.revision), event.F("reason", reason))
		return false
	}
	if !l.held {
		out.Log(event.ControlAcquired, event.F("revision", l.revision))
	}
	l.held, l.heldUntil = true, l.sentAt+leaseTTL
	return true
}

func (l *Lease) observe(now time.Duration, revision uint64, lease step.ControlLease) {
	if revision < l.revision && l.known {
		return // an outdated answer
	}
	if revision != l.revision || !l.known {
		l.revisionSeenAt = now
	}
	l.known, l.revision, l.current = true, revision, lease
}
