package limit

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate is the daemon's share. It may go into debt by
// one request, so that a request larger than the bucket passes too and is paid for
// afterwards.
type bucket struct {
	rate    float64 // a second
	bounded bool
	level   float64
	at      time.Duration
	// demand is what is asked a second, averaged; offered what was since then.
	demand  float64
	offered float64
}

func (b *bucket) offer(n float64) { b.offered += n }

func (b *bucket) average(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
	b.demand = keep*b.demand + (1-keep)*b.offered/elapsed.Seconds()
	b.offered = 0
}

// set changes the limit and this daemon's share of it; a new bucket is full.
func (b *bucket) set(now time.Duration, limit, share float64) {
	b.fill(now)
	if !b.bounded {
		b.level = share * burstTime.Seconds()
	}
	b.bounded, b.rate = limit > 0, share
}

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.rate*burstTime.Seconds())
	b.at = now
}

// wait returns how long the next request has to wait; zero lets it pass.
func (b *bucket) wait(now time.Duration) time.Duration {
	if !b.bounded {
		return 0
	}
	b.fill(now)
	if b.level > 0 {
		return 0
	}
	if b.rate <= 0 {
		return comeBack
	}
	return time.Duration((-b.level/b.rate)*float64(time.Second)) + time.Millisecond
}

func (b *bucket) take(n float64) {
	if b.bounded {
		b.level -= n
	}
}
