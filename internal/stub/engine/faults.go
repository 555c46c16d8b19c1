package engine

import (
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
)

// Faults are the faults that the engine shows. A new setting replaces the faults in force.
// GoCold acts once, when it is set, and Crash once, after the setting has been answered.
// WrongAttempt, Truncate and DuplicateChunk are numbers of answers, and each affected answer
// counts down by one.
type Faults struct {
	// Pause withholds all answers without closing connections.
	Pause            bool  `json:"pause,omitempty"`
	DelayMillis      int64 `json:"delayMillis,omitempty"`      // before a request is admitted
	OrderDelayMillis int64 `json:"orderDelayMillis,omitempty"` // before an order is checked
	Crash            bool  `json:"crash,omitempty"`
	GoCold           bool  `json:"goCold,omitempty"` // starts a cold phase
	// CrashAfterTokens ends the incarnation once the next request has generated this many
	// tokens.
	CrashAfterTokens int `json:"crashAfterTokens,omitempty"`
	// WrongAttempt answers with another attempt's ID, Truncate ends an answer after its
	// first half, and DuplicateChunk sends the first chunk of a stream twice.
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
		time.AfterFunc(closeDelay, func() { e.endIncarnation(i) })
	}
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// misbehaviour holds the faults of one answer.
type misbehaviour struct {
	wrongAttempt, truncate, duplicate bool
	crashAfter                        int // tokens; 0 means that it does not crash
}

// nextMisbehaviour returns the faults of the next answer and counts them down.
func (e *Engine) nextMisbehaviour() misbehaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := misbehaviour{
		wrongAttempt: takeOne(&e.faults.WrongAttempt),
		truncate:     takeOne(&e.faults.Truncate),
		duplicate:    takeOne(&e.faults.DuplicateChunk),
		crashAfter:   e.faults.CrashAfterTokens,
	}
	e.faults.CrashAfterTokens = 0
	return m
}

// takeOne counts a positive number down by one, and returns false if it is 0.
func takeOne(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// endIncarnation records the peaks of an incarnation and ends it.
func (e *Engine) endIncarnation(i *lifecycle.Incarnation[*state]) {
	e.recordPeaks(i.State)
	e.process.End(i)
}

// holdWhilePaused is a middleware that holds requests while the engine is paused.
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
