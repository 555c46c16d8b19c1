// Package warmth simulates a back end that has little capacity after a start and crashes if it
// gets more requests. It is cold until it has completed WarmAfter answers.
package warmth

import "sync"

// Limits are the limits of one incarnation of a back end. A limit of 0 is no limit.
type Limits struct {
	ColdLimit     int   // requests in flight while cold; more crash the back end
	WarmAfter     int64 // number of complete answers after which the back end is warm
	InFlightLimit int   // requests in flight at any time; further ones are refused
}

// Verdict is the decision on an arriving request.
type Verdict int

// The verdicts.
const (
	Run     Verdict = iota
	Refuse          // InFlightLimit is reached; the request is not run
	Crash           // the request exceeds ColdLimit and crashes the back end
	Crashed         // the back end has crashed before
)

// Gate counts the requests of one incarnation and decides which ones it admits.
type Gate struct {
	limits Limits

	mu              sync.Mutex
	inFlight        int
	completeAnswers int64 // complete answers since the start or the last GoCold
	peak            int   // maximum of inFlight
	peakCold        int   // the same while cold
	crashed         bool
}

// New returns the gate of a cold back end.
func New(limits Limits) *Gate { return &Gate{limits: limits} }

// Enter decides on a request. The caller must call Leave after a Run verdict.
func (g *Gate) Enter() Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashed {
		return Crashed
	}
	if g.limits.InFlightLimit > 0 && g.inFlight >= g.limits.InFlightLimit {
		return Refuse
	}
	g.inFlight++
	g.peak = max(g.peak, g.inFlight)
	if !g.cold() {
		return Run
	}
	g.peakCold = max(g.peakCold, g.inFlight)
	if g.inFlight > g.limits.ColdLimit {
		g.crashed = true
		return Crash
	}
	return Run
}

func (g *Gate) cold() bool { return g.limits.ColdLimit > 0 && g.completeAnswers < g.limits.WarmAfter }

// Leave ends a request. complete says whether its answer was sent completely.
func (g *Gate) Leave(complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if complete {
		g.completeAnswers++
	}
}

// GoCold makes the back end cold again.
func (g *Gate) GoCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completeAnswers = 0
}

// State holds the counts of a gate. Peak and PeakCold are maxima of requests in flight.
type State struct {
	InFlight        int
	CompleteAnswers int64
	Peak            int
	PeakCold        int
}

// State returns the current counts.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{InFlight: g.inFlight, CompleteAnswers: g.completeAnswers, Peak: g.peak, PeakCold: g.peakCold}
}
