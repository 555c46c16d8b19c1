package place

import (
	"math"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// Target is one host that takes requests: a plain service's, or the head of an open
// group.
type Target struct {
	Host   site.Host
	engine *site.Engine // nil for a plain service
	model  *site.Model
	hash   uint64

	coldUntil time.Duration
	cold      coldBucket

	inFlight int // this daemon's requests there
	reading  int // prompt tokens of those that have not begun to answer
	others   int // requests of other daemons, as the target last told
	toldAt   time.Duration
	heard    bool    // it has told at all
	usual    float64 // what the targets of its pool told, on average

	doubtUntil time.Duration
	doubts     int // in a row
	failures   float64
	failedAt   time.Duration
}

// InFlight returns the number of this daemon's requests at the target.
func (t *Target) InFlight() int { return t.inFlight }

// load is the number of requests that the target is thought to have. What it told of others
// tends to what is usual with time, so that daemons that heard something long ago do not all
// follow it. A full one that gets nothing tells nothing new, so that it is tried with one
// request after a while.
func (t *Target) load(now time.Duration) int {
	others := int(math.Round(t.usual + (float64(t.others)-t.usual)*math.Exp2(-float64(now-t.toldAt)/float64(toldHalf))))
	if t.inFlight == 0 && now-t.toldAt > toldFor {
		return min(others, t.capacity()-1)
	}
	return t.inFlight + others
}

// usualLoad is the mean of what targets told of other daemons' requests.
func usualLoad(pool []*Target) float64 {
	sum, n := 0, 0
	for _, t := range pool {
		if t.heard {
			sum, n = sum+t.others, n+1
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// capacity is the number of requests above which the target gets no more.
func (t *Target) capacity() int {
	if t.engine != nil {
		return t.engine.Slots + waitingAtEngine
	}
	return t.Host.Slots * plainDepth
}

// FirstBy estimates the time until the first event, or the answer, of one more request
// with a prompt of so many tokens.
func (t *Target) FirstBy(now time.Duration, prompt int) time.Duration {
	if t.engine == nil {
		return time.Duration(float64(plainWork) * float64(t.load(now)+1) / float64(max(t.Host.Slots, 1)))
	}
	batch := min(t.load(now)+1, t.engine.Slots)
	pass := t.engine.EventInterval(t.model, batch)
	// The pass under way ends, the prompts ahead and this one are read, and the first
	// event takes a pass of its own.
	first := pass/2 + t.engine.PromptTime(t.model, t.reading+prompt) + pass
	if over := t.load(now) + 1 - t.engine.Slots; over > 0 {
		first += time.Duration(over) * t.engine.RequestTime(t.model, batch) / time.Duration(t.engine.Slots)
	}
	return first
}

// Pass estimates the time between two events of a stream at the target; zero for a
// plain service.
func (t *Target) Pass(now time.Duration) time.Duration {
	if t.engine == nil {
		return 0
	}
	return t.engine.EventInterval(t.model, min(t.load(now), t.engine.Slots))
}

// recentFailures is the weight of the failures of the last seconds.
func (t *Target) recentFailures(now time.Duration) float64 {
	return t.failures * math.Exp2(-float64(now-t.failedAt)/float64(failureHalf))
}

func (t *Target) fail(now time.Duration) {
	t.failures, t.failedAt = t.recentFailures(now)+1, now
}

// doubt keeps requests away for a time that doubles while nothing good is heard.
func (t *Target) doubt(now time.Duration) {
	t.doubtUntil = now + min(doubtFor<<min(t.doubts, 4), doubtMost)
	t.doubts++
}

func (t *Target) trust() { t.doubtUntil, t.doubts = 0, 0 }

// coldBucket paces requests to a cold target.
type coldBucket struct {
	next time.Duration // when the next request may go
}

// take reports whether a request may go now at a rate a second.
func (b *coldBucket) take(now time.Duration, rate float64) bool {
	if rate <= 0 || now < b.next {
		return false
	}
	b.next = now + time.Duration(float64(time.Second)/rate)
	return true
}

// coldRate returns this daemon's part of what a cold target bears. The part is dealt
// over all known daemons, live or not, so that views that differ for a moment, or a
// daemon that is cut off, do not raise the sum. Each daemon with a part may send one
// request at once; the number of them is bounded so that this stays within the rate.
func coldRate(daemons []string, self string, target uint64, rate float64) float64 {
	parts := max(1, min(len(daemons), int(rate/2)))
	own := rendezvous.Score(rendezvous.Hash(self), target, 0)
	ahead, known := 0, false
	for _, d := range daemons {
		if d == self {
			known = true
		} else if rendezvous.Score(rendezvous.Hash(d), target, 0) > own {
			ahead++
		}
	}
	if !known || ahead >= parts {
		return 0
	}
	return rate / float64(parts)
}
