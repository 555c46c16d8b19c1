package account

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// book is one account as this daemon knows it.
type book struct {
	name      string
	set       *Settings
	allowance amount

	// base is the object that stood at version; known is false until it was read.
	base    *object.Account
	version object.Version
	known   bool
	readAt  time.Duration

	// granted is this daemon's slice at version.
	granted  amount
	sequence uint64 // last one used
	// epoch names the slice: another one follows when it was lost, so that what was
	// reserved in it is no longer counted.
	epoch     uint64
	nextEpoch func() uint64
	held      amount       // reserved by requests in flight
	unsettled object.Usage // used and not known to be settled
	// attempts are the writes that are in flight or whose answers were lost.
	attempts []attempt
	parcels  []parcel // usage that leaving daemons handed over

	demand  rate
	offered amount // since the demand was last averaged
	// need is what requests wait for: needed is the sum of the step before.
	need   amount
	needed amount

	op        step.OpID // call in flight, 0 if none
	reading   bool
	retryAt   time.Duration
	written   time.Duration // when the last write took effect
	tried     time.Duration // when the last write was sent
	conflicts int           // since the last write that took effect
	used      time.Duration // when the last request was admitted
	fullUntil time.Duration
	// failing is since when calls to the platform fail; valid if isFailing.
	failing   time.Duration
	isFailing bool
	absent    map[string]time.Duration // slices whose daemon is gone, since when
}

// attempt is one write and what it would change for this daemon.
type attempt struct {
	sequence uint64
	base     object.Version
	settled  object.Usage // moved from unsettled to settled
	slice    amount       // slice after it
	returns  bool         // gives the slice back
	parcels  []string     // slices of the parcels settled with it
}

// leastWeight is the share of demandMemory that must have been seen before demand is
// taken for steady: one request in the first instant is no rate.
const leastWeight = 0.1

// rate is demand a second, averaged over the time since the first request at first
// and over demandMemory later.
type rate struct {
	requests, tokens float64
	weight           float64 // of the time seen, up to 1
	at               time.Duration
}

// start begins the averaging.
func (r *rate) start(now time.Duration) {
	if r.weight == 0 {
		r.at = now
	}
}

// average takes up what was offered since the last call; it reports false if no time
// has passed.
func (r *rate) average(now time.Duration, offered amount) bool {
	elapsed := (now - r.at).Seconds()
	if elapsed <= 0 {
		return false
	}
	r.at = now
	keep := math.Exp(-elapsed / demandMemory.Seconds())
	r.requests = keep*r.requests + (1-keep)*float64(offered.requests)/elapsed
	r.tokens = keep*r.tokens + (1-keep)*float64(offered.tokens)/elapsed
	r.weight = keep*r.weight + 1 - keep
	return true
}

func (r *rate) over(d time.Duration) amount {
	if r.weight == 0 {
		return amount{}
	}
	f := d.Seconds() / max(r.weight, leastWeight)
	return amount{int64(math.Ceil(r.requests * f)), int64(math.Ceil(r.tokens * f))}
}

// empty reports whether nothing of this daemon is left in the account.
func (b *book) empty() bool {
	return b.held == amount{} && b.unsettled == object.Usage{} && b.granted == amount{} &&
		len(b.attempts) == 0 && len(b.parcels) == 0
}

// available is what may be reserved whichever of the open writes took effect.
func (b *book) available() amount {
	left := b.granted.minus(amountOf(b.unsettled))
	for _, a := range b.attempts {
		left = left.min(a.slice.minus(amountOf(subtract(b.unsettled, a.settled))))
	}
	return left.minus(b.held)
}

// learn takes up the object that stands at a version and settles which of the open
// writes took effect.
func (b *book) learn(now time.Duration, version object.Version, standing *object.Account) {
	b.readAt = max(b.readAt, now)
	if version != 0 && (version < b.version || b.known && version == b.version) {
		return // older than what was seen
	}
	mine, present := standing.Slices[b.set.Incarnation]
	applied := b.resolve(now, version, mine, present)
	if !present && !applied && b.granted != (amount{}) {
		b.lose()
	}
	b.base, b.version, b.known = standing, version, true
	b.granted = sliceAmount(mine)
}

// resolve removes the attempts that the version decides and reports whether one of
// them took effect.
func (b *book) resolve(now time.Duration, version object.Version, mine object.Slice, present bool) bool {
	applied := false
	open := b.attempts[:0]
	for _, a := range b.attempts {
		if a.base == version {
			open = append(open, a) // it may still arrive
			continue
		}
		if present && a.sequence == mine.Sequence || !present && a.returns {
			applied = true
			b.unsettled = subtract(b.unsettled, a.settled)
			b.parcels = slices.DeleteFunc(b.parcels, func(p parcel) bool { return slices.Contains(a.parcels, p.slice) })
			b.written = now
		}
	}
	b.attempts = open
	return applied
}

// lose gives up a slice that others have declared uncertain: what was reserved or
// used in it is counted there.
func (b *book) lose() {
	b.epoch = b.nextEpoch()
	b.held = amount{}
	b.unsettled = object.Usage{}
}

// room is what the account has free beside this daemon's slice, once the unsettled
// usage is settled.
func (b *book) room() amount {
	taken := amountOf(b.base.Settled).plus(amountOf(b.unsettled)).plus(amountOf(b.base.Uncertain))
	for id, s := range b.base.Slices {
		if id != b.set.Incarnation {
			taken = taken.plus(sliceAmount(s))
		}
	}
	return b.allowance.minus(taken)
}
