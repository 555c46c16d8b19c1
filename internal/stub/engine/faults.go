package engine

import (
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
)

// Faults is what the stand-in can be told to do wrong. Setting it replaces the
// lasting faults; GoCold acts once, at the setting, and Crash once the setting has
// been answered. Counts run down with
// each request that they strike.
type Faults struct {
	// Pause holds everything without closing connections.
	Pause            bool  `json:"pause,omitempty"`
	DelayMillis      int64 `json:"delayMillis,omitempty"`      // before a request is admitted
	OrderDelayMillis int64 `json:"orderDelayMillis,omitempty"` // before an order is taken
	Crash            bool  `json:"crash,omitempty"`
	GoCold           bool  `json:"goCold,omitempty"`
	// CrashAfterTokens ends the incarnation when a request has got this many tokens.
	CrashAfterTokens int `json:"crashAfterTokens,omitempty"`
	// WrongAttempt, Truncate and DuplicateChunk are numbers of answers.
	WrongAttempt   int `json:"wrongAttempt,omitempty"`
	Truncate       int `json:"truncate,omitempty"`
	DuplicateChunk int `json:"duplicateChunk,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	if e.faults.Pause && !f.Pause {
		close(e.resumed)
		e.resumed = make(chan struct{})
	}
	e.faults = f
	e.faults.Crash, e.faults.GoCold = false, false
	e.mu.Unlock()
	i, running := e.process.Current()
	if !running {
		return
	}
	if f.GoCold {
		i.State.gate.GoCold()
	}
	if f.Crash {
		time.AfterFunc(retireGrace, func() { e.end(i) })
	}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// misbehaviour is what goes wrong with one answer.
type misbehaviour struct {
	wrongAttempt, truncate, duplicate bool
	crashAfter                        int // tokens; 0 means no crash
}

func (e *Engine) nextMisbehaviour() misbehaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := misbehaviour{
		wrongAttempt: strike(&e.faults.WrongAttempt),
		truncate:     strike(&e.faults.Truncate),
		duplicate:    strike(&e.faults.DuplicateChunk),
		crashAfter:   e.faults.CrashAfterTokens,
	}
	e.faults.CrashAfterTokens = 0
	return m
}

func strike(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// end ends an incarnation and keeps its peaks.
func (e *Engine) end(i *lifecycle.Incarnation[*state]) {
	e.keepPeaks(i.State)
	e.process.End(i)
}

// holdWhilePaused makes a call wait while the engine is paused.
func (e *Engine) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.waitWhilePaused(r)
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) waitWhilePaused(r *http.Request) {
	for {
		e.mu.Lock()
		paused, resumed := e.faults.Pause, e.resumed
		e.mu.Unlock()
		if !paused {
			return
		}
		select {
		case <-resumed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
