package account

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// accountState is one account as this daemon knows it.
type accountState struct {
	name      string
	set       *Settings
	allowance amount

	// stored is the account object as it was stored at version. isKnown is false before the
	// first read and after a failed call; the object is then read before the next write.
	stored  *object.Account
	version object.Version
	isKnown bool
	readAt  time.Duration

	// granted is this daemon's slice in stored.
	granted      amount
	lastSequence uint64 // sequence number of the last write
	// epoch identifies the slice that reservations belong to. After the loss of a slice it is
	// replaced, so that what was reserved in the lost slice no longer counts.
	epoch     uint64
	nextEpoch func() uint64
	reserved  amount       // reserved for requests in flight
	unsettled object.Usage // used and not known to be settled
	// openWrites are the writes that are in flight or whose answers were lost.
	openWrites []openWrite
	handoffs   []pendingHandoff // usage that leaving daemons handed over

	demand  demandAverage
	offered amount // admitted since demand was last updated
	// waiting is the cost of the requests that the slice did not cover, as of the last tick:
	// those that wait for its renewal and those refused because of an outage. nextWaiting
	// collects the cost for the next tick. Each reply of the platform resets it, as the
	// waiting requests are then tried again.
	nextWaiting amount
	waiting     amount

	op                 step.OpID // call in flight, 0 if none
	reading            bool      // whether the call in flight is a read
	retryAt            time.Duration
	lastWriteAppliedAt time.Duration // when a write was last found to have taken effect
	lastWriteSentAt    time.Duration
	conflicts          int // number of conflicts since the last write that took effect
	lastAdmittedAt     time.Duration
	// exhaustedUntil is the time until which requests that the slice does not cover are refused
	// without another try to renew the slice.
	exhaustedUntil time.Duration
	// failingSince is the time of the first of the consecutive failed platform calls; valid if
	// isFailing.
	failingSince time.Duration
	isFailing    bool
	// absentSince holds the time since which the daemon of a slice has been gone, by the
	// incarnation that names the slice.
	absentSince map[string]time.Duration
}

// openWrite is a write whose result is not known yet, with its changes for this daemon.
type openWrite struct {
	sequence     uint64
	baseVersion  object.Version // the write is conditional on this version
	settled      object.Usage   // usage that it moves from unsettled to settled
	slice        amount         // this daemon's slice after it
	returnsSlice bool           // whether it gives the slice back
	handoffs     []string       // slices of the handoffs that it settles
}

// minDemandWeight is the smallest weight that a demand average is divided by. Less time than
// this fraction of demandTimeConstant is too short for an estimate: a single request in the
// first instant would give a very high rate.
const minDemandWeight = 0.1

// demandAverage is the average demand per second, over the time since the first request at first
// and over about demandTimeConstant later.
type demandAverage struct {
	requests, tokens float64
	weight           float64 // weight of the observed time in the average, from 0 to 1
	updatedAt        time.Duration
}

// start begins the averaging at the first request; later calls have no effect.
func (r *demandAverage) start(now time.Duration) {
	if r.weight == 0 {
		r.updatedAt = now
	}
}

// update adds the demand since the last call to the average. It reports false if no time has
// passed; the caller then keeps the demand for the next call.
func (r *demandAverage) update(now time.Duration, offered amount) bool {
	elapsed := (now - r.updatedAt).Seconds()
	if elapsed <= 0 {
		return false
	}
	r.updatedAt = now
	keep := math.Exp(-elapsed / demandTimeConstant.Seconds())
	r.requests = keep*r.requests + (1-keep)*float64(offered.requests)/elapsed
	r.tokens = keep*r.tokens + (1-keep)*float64(offered.tokens)/elapsed
	r.weight = keep*r.weight + 1 - keep
	return true
}

// expectedFor returns the demand expected in a period.
func (r *demandAverage) expectedFor(d time.Duration) amount {
	if r.weight == 0 {
		return amount{}
	}
	f := d.Seconds() / max(r.weight, minDemandWeight)
	return amount{int64(math.Ceil(r.requests * f)), int64(math.Ceil(r.tokens * f))}
}

// isEmpty reports whether this daemon has nothing reserved, unsettled, granted or unconfirmed in
// the account.
func (st *accountState) isEmpty() bool {
	return st.reserved == amount{} && st.unsettled == object.Usage{} && st.granted == amount{} &&
		len(st.openWrites) == 0 && len(st.handoffs) == 0
}

// available returns the amount that may be reserved, whichever of the open writes took effect.
func (st *accountState) available() amount {
	left := st.granted.minus(amountOf(st.unsettled))
	for _, w := range st.openWrites {
		left = left.min(w.slice.minus(amountOf(subtract(st.unsettled, w.settled))))
	}
	return left.minus(st.reserved)
}

// adopt replaces the known state by the object stored at a version, unless it is older, and
// determines which of the open writes took effect.
func (st *accountState) adopt(now time.Duration, version object.Version, stored *object.Account) {
	st.readAt = max(st.readAt, now)
	if version != 0 && (version < st.version || st.isKnown && version == st.version) {
		return // not newer than what is known
	}
	ownSlice, present := stored.Slices[st.set.Incarnation]
	applied := st.resolveWrites(now, version, ownSlice, present)
	if !present && !applied && st.granted != (amount{}) {
		st.dropSlice()
	}
	st.stored, st.version, st.isKnown = stored, version, true
	st.granted = sliceAmount(ownSlice)
}

// resolveWrites removes the open writes whose result follows from the stored version, and
// reports whether one of them took effect. A write that is conditional on the stored version
// may still take effect and stays open. Of the others, a write took effect if the stored slice
// has its sequence number, or if the slice is absent and the write gives it back. The remaining
// writes can no longer take effect.
func (st *accountState) resolveWrites(now time.Duration, version object.Version, ownSlice object.Slice, present bool) bool {
	applied := false
	remaining := st.openWrites[:0]
	for _, w := range st.openWrites {
		if w.baseVersion == version {
			remaining = append(remaining, w) // it may still take effect
			continue
		}
		if present && w.sequence == ownSlice.Sequence || !present && w.returnsSlice {
			applied = true
			st.unsettled = subtract(st.unsettled, w.settled)
			st.handoffs = slices.DeleteFunc(st.handoffs, func(p pendingHandoff) bool { return slices.Contains(w.handoffs, p.slice) })
			st.lastWriteAppliedAt = now
		}
	}
	st.openWrites = remaining
	return applied
}

// dropSlice forgets a slice that another daemon has moved to uncertain or settled. What was
// reserved or used in it is counted there.
func (st *accountState) dropSlice() {
	st.epoch = st.nextEpoch()
	st.reserved = amount{}
	st.unsettled = object.Usage{}
}

// unreserved returns the part of the allowance that is free for this daemon's slice: what
// remains after the settled and uncertain usage, this daemon's unsettled usage and the slices
// of the other daemons.
func (st *accountState) unreserved() amount {
	taken := amountOf(st.stored.Settled).plus(amountOf(st.unsettled)).plus(amountOf(st.stored.Uncertain))
	for id, s := range st.stored.Slices {
		if id != st.set.Incarnation {
			taken = taken.plus(sliceAmount(s))
		}
	}
	return st.allowance.minus(taken)
}
