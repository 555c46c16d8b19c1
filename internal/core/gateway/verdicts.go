package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	// The daemon that found the last crash stores a verdict at once, and the one that knows of the
	// success removes it. The others do so if it has not happened within verdictWriteDelay, one
	// after the other in steps of verdictWriteStep.
	verdictWriteDelay = time.Second
	verdictWriteStep  = 500 * time.Millisecond
	// verdictRetryDelay is the delay after a write that failed.
	verdictRetryDelay = time.Second
	// endedRetention is how long a verdict that ended is remembered: a write that was not answered
	// may be carried out seconds later.
	endedRetention = 2 * time.Minute
)

// verdictStore keeps the stored verdicts in line with those in force.
type verdictStore struct {
	// known is set once a complete list of the store's current era has come.
	known  bool
	stored map[quarantine.Fingerprint]bool
	// provisional are those of the stored ones that are provisional.
	provisional map[quarantine.Fingerprint]bool
	// writeAt is when a verdict that began is to be stored, or one that ended to be removed.
	writeAt map[quarantine.Fingerprint]time.Duration
	endedAt map[quarantine.Fingerprint]time.Duration
	// writes are the calls that have not been answered.
	writes map[step.OpID]verdictWrite
}

// verdictWrite is a verdict that is being stored or removed.
type verdictWrite struct {
	fingerprint quarantine.Fingerprint
	provisional bool
}

func newVerdictStore() verdictStore {
	return verdictStore{
		stored: make(map[quarantine.Fingerprint]bool), provisional: make(map[quarantine.Fingerprint]bool), writeAt: make(map[quarantine.Fingerprint]time.Duration),
		endedAt: make(map[quarantine.Fingerprint]time.Duration), writes: make(map[step.OpID]verdictWrite),
	}
}

// scheduleWrite has a changed verdict written. own is set if this daemon brought the change about.
func (s *State) scheduleWrite(now time.Duration, change quarantine.Change, own bool) {
	f := change.Verdict.Fingerprint
	at := now
	if !own {
		at += verdictWriteDelay + time.Duration(s.rankFor(f))*verdictWriteStep
	}
	s.verdicts.writeAt[f] = at
	delete(s.verdicts.endedAt, f)
	if change.Ended != quarantine.Began {
		s.verdicts.endedAt[f] = now
	}
}

// onVerdicts applies changes of the stored verdicts. One that is no longer stored is lifted, unless
// the store may have lost it.
func (s *State) onVerdicts(now time.Duration, e step.SiteVerdicts, out *step.Out) {
	w := &s.verdicts
	gone := e.Gone
	if e.Full {
		listed := make(map[quarantine.Fingerprint]bool, len(e.Verdicts))
		for _, v := range e.Verdicts {
			listed[v.Fingerprint] = true
		}
		for _, f := range slices.SortedFunc(maps.Keys(w.stored), quarantine.Compare) {
			if !listed[f] {
				gone = append(gone, f)
			}
		}
		w.known = true
	}
	for _, f := range gone {
		delete(w.stored, f)
		delete(w.provisional, f)
		s.applyVerdicts(now, s.crashes.tracker.Lift(now, f), true, out)
	}
	for _, v := range e.Verdicts {
		if _, ended := w.endedAt[v.Fingerprint]; !ended {
			s.applyVerdicts(now, s.crashes.tracker.Adopt(now, v), false, out)
		}
		w.recordStored(v.Fingerprint, v.Provisional)
	}
}

// restoreVerdicts has the verdicts in force stored again if the store lacks them in its new era.
func (s *State) restoreVerdicts(now time.Duration) {
	w := &s.verdicts
	w.known = false
	clear(w.stored)
	clear(w.provisional)
	clear(w.writes)
	for _, v := range s.crashes.tracker.Verdicts() {
		w.writeAt[v.Fingerprint] = now + time.Duration(s.rankFor(v.Fingerprint))*verdictWriteStep
	}
}

// verdictTick writes what is due.
func (s *State) verdictTick(now time.Duration, out *step.Out) {
	w := &s.verdicts
	if !w.known || !s.storeReachable || len(w.writeAt) == 0 && len(w.endedAt) == 0 && !s.crashes.tracker.HasVerdicts() {
		return
	}
	inForce := make(map[quarantine.Fingerprint]bool)
	for _, v := range s.crashes.tracker.Verdicts() {
		inForce[v.Fingerprint] = true
		missing := !w.stored[v.Fingerprint] || w.provisional[v.Fingerprint] && !v.Provisional
		if missing && s.isDue(now, v.Fingerprint) {
			op := s.beginWrite(now, verdictWrite{v.Fingerprint, v.Provisional})
			out.Add(step.StoreVerdict{Op: op, Verdict: v})
		}
	}
	for _, f := range slices.SortedFunc(maps.Keys(w.endedAt), quarantine.Compare) {
		if now-w.endedAt[f] >= endedRetention {
			delete(w.endedAt, f)
			delete(w.writeAt, f)
			continue
		}
		if w.stored[f] && !inForce[f] && s.isDue(now, f) {
			op := s.beginWrite(now, verdictWrite{fingerprint: f})
			out.Add(step.RemoveVerdict{Op: op, Fingerprint: f})
		}
	}
}

// isDue reports whether a verdict is to be written now.
func (s *State) isDue(now time.Duration, f quarantine.Fingerprint) bool {
	return now >= s.verdicts.writeAt[f]
}

func (s *State) beginWrite(now time.Duration, v verdictWrite) step.OpID {
	op := s.nextOp()
	s.verdicts.writes[op] = v
	s.verdicts.writeAt[v.fingerprint] = now + verdictRetryDelay
	return op
}

// onVerdictAnswered records the result of a write. The store's next change shows it too.
func (s *State) onVerdictAnswered(e step.VerdictAnswered) {
	v, ok := s.verdicts.writes[e.Op]
	delete(s.verdicts.writes, e.Op)
	if !ok || !e.OK {
		return
	}
	if _, ended := s.verdicts.endedAt[v.fingerprint]; ended {
		delete(s.verdicts.stored, v.fingerprint)
		return
	}
	s.verdicts.recordStored(v.fingerprint, v.provisional)
}

func (w *verdictStore) recordStored(f quarantine.Fingerprint, provisional bool) {
	w.stored[f] = true
	if provisional {
		w.provisional[f] = true
	} else {
		delete(w.provisional, f)
	}
}
