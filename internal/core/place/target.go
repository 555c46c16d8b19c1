package place

import (
	"cmp"
	"math"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// Target is one host that takes requests: one of a plain service, or the head of an open
// group.
type Target struct {
	Host   site.Host
	engine *site.Engine // nil if no model is served now, as for a plain service
	model  *site.Model  // nil if engine is
	hash   uint64       // of the host ID

	changedAt time.Duration   // when its incarnation, group or phase last changed
	coldUntil time.Duration   // until then it is cold, and its rate is limited
	limit     *hostlimit.Host // what the host has named; nil if it has named none
	spacer    spacer          // of requests while the rate is limited

	inFlight          int           // this daemon's requests at the target
	promptTokensAhead int           // prompt tokens of those that have not begun to answer
	othersLoad        int           // requests of other daemons, as the target last reported
	loadReceivedAt    time.Duration // when the target last reported its load
	loadReported      bool          // the target has reported its load at least once
	meanOthersLoad    float64       // mean othersLoad of the targets in its pool that reported

	slowness   float64 // measured against estimated time to a first event, as of slownessAt; 0 before any
	slownessAt time.Duration
	// idleConnection is set if a connection to the engine has been idle since idleSince.
	idleConnection bool
	idleSince      time.Duration

	suspectUntil  time.Duration // until then it is a last resort; see Choose
	suspicions    int           // in a row
	failureWeight float64       // as of lastFailureAt
	lastFailureAt time.Duration
}

// InFlight returns the number of this daemon's requests at the target.
func (t *Target) InFlight() int { return t.inFlight }

// estimatedLoad is the estimated number of requests at the target. The reported load of other
// daemons approaches the pool's mean with time, so that daemons with an old report don't all
// follow it. A full target of a plain service that gets no requests sends no new report, so it is
// tried with one request after fullMaxAge; for engines see Table.mayProbe.
func (t *Target) estimatedLoad(now time.Duration) int {
	others := int(math.Round(t.meanOthersLoad + (float64(t.othersLoad)-t.meanOthersLoad)*math.Exp2(-float64(now-t.loadReceivedAt)/float64(loadHalfLife))))
	if t.engine == nil && t.inFlight == 0 && now-t.loadReceivedAt > fullMaxAge {
		return min(others, t.capacity(0)-1)
	}
	return t.inFlight + others
}

// meanOthersLoad is the mean of the load of other daemons that the targets of a pool reported. The
// weight of a report halves with each reportHalfLife that it is older than the newest one, so that the
// mean follows a burst.
func meanOthersLoad(pool []*Target) float64 {
	var newest time.Duration
	for _, t := range pool {
		if t.loadReported {
			newest = max(newest, t.loadReceivedAt)
		}
	}
	sum, weights := 0.0, 0.0
	for _, t := range pool {
		if t.loadReported {
			w := math.Exp2(-float64(newest-t.loadReceivedAt) / float64(reportHalfLife))
			sum, weights = sum+w*float64(t.othersLoad), weights+w
		}
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// capacity is the number of requests at which the target gets no more, if so many may wait at an engine.
func (t *Target) capacity(waiting int) int {
	if t.engine != nil {
		return t.engine.Slots + waiting
	}
	return t.Host.Slots * plainRequestsPerSlot
}

// capacityFor is the number of requests at which the target gets no more like this one.
func (t *Target) capacityFor(a Request) int {
	switch {
	case a.Begun && t.engine != nil:
		return t.capacity(max(a.MaxWaiting, maxWaitingAtEngine)) + maxBegunAtEngine
	case !a.HandedOver:
		return t.capacity(max(cmp.Or(a.MaxWaiting, maxWaitingAtEngine), 0))
	case t.engine != nil:
		return t.engine.Slots
	}
	return t.Host.Slots * (plainRequestsPerSlot - 1)
}

// ModelTime estimates, by the published step times alone, the time until the first event, or the answer, of one more
// request with a prompt of so many tokens.
func (t *Target) ModelTime(now time.Duration, prompt int) time.Duration {
	if t.engine == nil {
		return time.Duration(float64(plainRequestTime) * float64(t.estimatedLoad(now)+1) / float64(max(t.Host.Slots, 1)))
	}
	batch := min(t.estimatedLoad(now)+1, t.engine.Slots)
	interval := t.engine.EventInterval(t.model, batch)
	// First the current interval ends, then the prompts ahead and this one are read, and then
	// the first event takes an interval.
	first := interval/2 + t.engine.PromptTime(t.model, t.promptTokensAhead+prompt) + interval
	if waiting := t.estimatedLoad(now) + 1 - t.engine.Slots; waiting > 0 {
		first += time.Duration(waiting) * t.engine.RequestTime(t.model, batch) / time.Duration(t.engine.Slots)
	}
	return first
}

// idleTime estimates the time to the first event at an engine without any other request.
func (t *Target) idleTime(prompt int) time.Duration {
	return t.engine.PromptTime(t.model, prompt) + 3*t.engine.EventInterval(t.model, 1)/2
}

// EventInterval estimates the time between two events of a stream at the target; zero for a
// plain service.
func (t *Target) EventInterval(now time.Duration) time.Duration {
	if t.engine == nil {
		return 0
	}
	return t.engine.EventInterval(t.model, min(t.estimatedLoad(now), t.engine.Slots))
}

// recentFailureWeight is the sum of the target's failures, each weighted by its age.
func (t *Target) recentFailureWeight(now time.Duration) float64 {
	return t.failureWeight * math.Exp2(-float64(now-t.lastFailureAt)/float64(failureHalfLife))
}

func (t *Target) recordFailure(now time.Duration) {
	t.failureWeight, t.lastFailureAt = t.recentFailureWeight(now)+1, now
}

// suspect keeps requests away for a time that doubles until the target answers.
func (t *Target) suspect(now time.Duration) {
	t.suspectUntil = now + min(suspectBackoff<<min(t.suspicions, 4), maxSuspectBackoff)
	t.suspicions++
}

func (t *Target) clearSuspicion() { t.suspectUntil, t.suspicions = 0, 0 }

// spacer spaces requests to a target whose rate is limited.
type spacer struct {
	nextAt time.Duration // when the next request may be sent
}

// take reports whether a request may be sent now, at a rate per second, and if so counts it.
func (l *spacer) take(now time.Duration, rate float64) bool {
	if rate <= 0 || now < l.nextAt {
		return false
	}
	l.nextAt = now + time.Duration(float64(time.Second)/rate)
	return true
}

// ownColdRate returns this daemon's part of the rate of requests that a cold target can take.
// The rate is divided among all known daemons, live or not, so that views that differ for a
// moment, or a daemon that is cut off, don't raise the sum. Each daemon with a part may send
// one request at once; the number of such daemons is bounded so that these requests stay
// within the rate.
func ownColdRate(daemons []string, self string, target uint64, rate float64) float64 {
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
