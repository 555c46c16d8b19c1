// Package warmth models a back end that bears little load after a start and falls
// over under more.
package warmth

import "sync"

// Limits say what a back end bears. A zero limit is no bound.
type Limits struct {
	Cold      int   // requests in flight while cold
	WarmAfter int64 // whole answers that end the cold start
	Queue     int   // requests in flight at any time; beyond them it refuses
}

// Verdict is what becomes of a request on arrival.
type Verdict int

// The verdicts.
const (
	Run     Verdict = iota
	Refuse          // over the queue limit; nothing was run
	Topple          // more than a cold back end bears
	Stopped         // the back end has fallen over before
)

// Gate counts the requests of one incarnation.
type Gate struct {
	limits Limits

	mu       sync.Mutex
	inFlight int
	answered int64
	peak     int
	peakCold int
	toppled  bool
}

// New returns the gate of a cold back end.
func New(limits Limits) *Gate { return &Gate{limits: limits} }

// Enter admits a request. Leave must follow a Run verdict.
func (g *Gate) Enter() Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.toppled {
		return Stopped
	}
	if g.limits.Queue > 0 && g.inFlight >= g.limits.Queue {
		return Refuse
	}
	g.inFlight++
	g.peak = max(g.peak, g.inFlight)
	if !g.cold() {
		return Run
	}
	g.peakCold = max(g.peakCold, g.inFlight)
	if g.inFlight > g.limits.Cold {
		g.toppled = true
		return Topple
	}
	return Run
}

func (g *Gate) cold() bool { return g.limits.Cold > 0 && g.answered < g.limits.WarmAfter }

// Leave ends a request; whole tells that its answer was given in full.
func (g *Gate) Leave(whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if whole {
		g.answered++
	}
}

// GoCold forgets the answers so far.
func (g *Gate) GoCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = 0
}

// State is a gate's counts.
type State struct {
	InFlight int
	Answered int64
	Peak     int
	PeakCold int
}

// State returns the counts now.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{InFlight: g.inFlight, Answered: g.answered, Peak: g.peak, PeakCold: g.peakCold}
}
