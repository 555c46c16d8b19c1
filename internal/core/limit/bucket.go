package limit

import (
	"math"
	"time"
)

// bucket is a token bucket for requests or tokens. Its rate is the daemon's share of the
// limit. It may go into debt by one request, so that a request that is larger than the bucket
// is admitted too; the following requests then wait until the debt is refilled.
type bucket struct {
	rate       float64 // daemon's share of the limit, per second
	bounded    bool    // whether the contract sets this limit
	level      float64 // negative while in debt
	refilledAt time.Duration
	// demand is the moving average of the demand per second, and offered is the demand since it
	// was last averaged. Both include refused requests.
	demand  float64
	offered float64
}

func (b *bucket) addDemand(n float64) { b.offered += n }

// averageDemand adds the demand of the elapsed time to the moving average.
func (b *bucket) averageDemand(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	b.demand = keep*b.demand + (1-keep)*b.offered/elapsed.Seconds()
	b.offered = 0
}

// setShare sets the limit and this daemon's share of it. A limit of zero means no limit. A
// bucket that had no limit before starts full.
func (b *bucket) setShare(now time.Duration, limit, share float64) {
	b.refill(now)
	if !b.bounded {
		b.level = share * burstDuration.Seconds()
	}
	b.bounded, b.rate = limit > 0, share
}

// refill adds what has accrued since the last call.
func (b *bucket) refill(now time.Duration) {
	b.level = min(b.level+b.rate*(now-b.refilledAt).Seconds(), b.rate*burstDuration.Seconds())
	b.refilledAt = now
}

// wait returns how long the next request must wait; zero admits it.
func (b *bucket) wait(now time.Duration) time.Duration {
	if !b.bounded {
		return 0
	}
	b.refill(now)
	if b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return defaultRetryAfter
	}
	return time.Duration((-b.level/b.rate)*float64(time.Second)) + time.Millisecond
}

// take removes n from the level; a negative n is a refund.
func (b *bucket) take(n float64) {
	if b.bounded {
		b.level -= n
	}
}
