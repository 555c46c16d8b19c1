package place

import (
	"math"
	"time"
)

// This file corrects the estimate of the time to a first event by what requests have met. Published
// step times lack fixed parts, slow hosts, and what waits at an engine for other daemons.

const (
	// correctionWeight is the weight of a new sample in a pool's correction, and maxCorrection bounds
	// the correction: a longer time is a wait or a fault and no fixed part.
	correctionWeight = 1.0 / 16
	maxCorrection    = 500 * time.Millisecond
	// correctionHalfLife is the time in which a correction without new samples halves. Requests that it
	// makes too late for their callers are no samples.
	correctionHalfLife = 10 * time.Second
	// waitWeight is the weight of a new sample in a pool's recent wait, waitHalfLife the time in which
	// the wait halves without samples, and maxWait bounds it.
	waitWeight   = 1.0 / 4
	waitHalfLife = 2 * time.Second
	maxWait      = 4 * time.Second
	// maxStallAllowance bounds what corrections add to the time after which a request counts as
	// stalled, so that a lost host is still noticed within about two seconds.
	maxStallAllowance = 1200 * time.Millisecond
	// slownessWeight is the weight of a new sample in a head's slowness, slownessHalfLife the time in
	// which the slowness fades by half, and maxSlowness bounds it.
	slownessWeight   = 1.0 / 4
	slownessHalfLife = 5 * time.Second
	maxSlowness      = 8
	// minSlowness is the slowness below which a head counts as others do. Single samples differ by more than
	// the load of a head does, and would else decide where requests go.
	minSlowness = 1.6
	// connectionIdleTime is how long a connection to an engine can be used again. Hosts close idle ones
	// after about 1.5 s.
	connectionIdleTime = 1200 * time.Millisecond
	// warmLoadAllowance is by how many requests the load of a head to which a connection is open may
	// exceed that of others and still be preferred.
	warmLoadAllowance = 2
)

// learned is what a pool's requests have met. It outlives changes of the pool's targets.
type learned struct {
	correction  time.Duration // fixed part that the step model lacks, as of correctedAt
	correctedAt time.Duration
	wait        time.Duration // recent wait beyond the estimate, as of waitAt
	waitAt      time.Duration
	probeAt     time.Duration // when a request may next be sent although all targets seem full
}

// correctionNow is the fixed part that the step model lacks.
func (l *learned) correctionNow(now time.Duration) time.Duration {
	return time.Duration(float64(l.correction) * math.Exp2(-float64(now-l.correctedAt)/float64(correctionHalfLife)))
}

func (l *learned) recentWait(now time.Duration) time.Duration {
	return time.Duration(float64(l.wait) * math.Exp2(-float64(now-l.waitAt)/float64(waitHalfLife)))
}

// stallAllowance is what corrections add to the time after which a request counts as stalled.
func (l *learned) stallAllowance(now time.Duration) time.Duration {
	return min(l.correctionNow(now)+2*l.recentWait(now), maxStallAllowance)
}

// learnedOf returns what a pool's requests have met.
func (tbl *Table) learnedOf(key poolKey) *learned {
	l := tbl.learned[key]
	if l == nil {
		l = &learned{}
		tbl.learned[key] = l
	}
	return l
}

// Sample is the time to the first event of one request.
type Sample struct {
	Service, Model string
	Host           string
	// Estimated is Choice.ModelTime, and Measured the time from sending to the first event.
	Estimated, Measured time.Duration
	// Waited is set if the head had no free slot, or waiting requests, as it began to answer.
	Waited bool
}

// RecordFirstEvent learns from a request whose first event has come.
func (tbl *Table) RecordFirstEvent(now time.Duration, s Sample) {
	l := tbl.learnedOf(poolKey{s.Service, s.Model})
	beyond := s.Measured - s.Estimated
	correction := l.correctionNow(now)
	if !s.Waited {
		correction += time.Duration(correctionWeight * float64(min(max(beyond, 0), maxCorrection)-correction))
		l.correction, l.correctedAt = correction, now
	}
	wait := min(max(beyond-correction, 0), maxWait)
	l.wait, l.waitAt = l.recentWait(now)+time.Duration(waitWeight*float64(wait-l.recentWait(now))), now
	if t := tbl.targets[s.Host]; t != nil && t.engine != nil {
		ratio := float64(s.Measured) / float64(max(s.Estimated+correction, time.Millisecond))
		t.slowness, t.slownessAt = t.slownessNow(now)+slownessWeight*(min(max(ratio, 1), maxSlowness)-t.slownessNow(now)), now
	}
}

// slownessNow is by how much the target has lately been slower than estimated; 1 is as estimated.
func (t *Target) slownessNow(now time.Duration) float64 {
	return 1 + max(0, t.slowness-1)*math.Exp2(-float64(now-t.slownessAt)/float64(slownessHalfLife))
}

// slowFactor multiplies the estimate by which the target is ranked.
func (t *Target) slowFactor(now time.Duration) float64 {
	if s := t.slownessNow(now); s >= minSlowness {
		return s
	}
	return 1
}

// coldConnectionCost is what a new connection to an engine adds to its cost.
func (t *Target) coldConnectionCost(now time.Duration) time.Duration {
	if t.engine == nil || t.idleConnection && now-t.idleSince < connectionIdleTime {
		return 0
	}
	return t.engine.EventInterval(t.model, warmLoadAllowance) - t.engine.EventInterval(t.model, 0)
}
