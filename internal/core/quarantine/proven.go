package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxProven bounds the parts of prompts that are remembered as proven; callers choose how many they send.
	maxProven = 4096
	// maxExplaining is the number of fingerprints that may together explain the crashes under a proven one. Each
	// request has some of its own, so a part that has become harmful would find an explanation in any of them.
	maxExplaining = 2
)

// RecordProven records that a request with these parts of a prompt ran well at a time, whether they are suspected or
// not. A part that crashes hosts crashes each one that begins to answer it, so one that ran well before the crashes is
// less suspect than one that never did.
func (t *Tracker) RecordProven(at time.Duration, parts []uint64) {
	for _, id := range parts {
		f := Fingerprint{Kind: PromptPart, Hash: id}
		if last, known := t.proven[f]; known || len(t.proven) < maxProven {
			t.proven[f] = max(last, at)
		}
	}
}

// forgetProven drops the parts that have not run for as long as crashes count.
func (t *Tracker) forgetProven(now time.Duration) {
	maps.DeleteFunc(t.proven, func(_ Fingerprint, at time.Duration) bool { return now-at > t.set.CrashTTL })
}

func (t *Tracker) isProven(f Fingerprint) bool {
	_, ok := t.proven[f]
	return ok
}

// explanations finds out whether crashes under proven fingerprints have another explanation. It remembers the results,
// since parts of the same prompts share their crashes.
type explanations struct {
	tracker *Tracker
	known   []explanation
}

type explanation struct {
	crashes   []int
	explained bool
}

// all reports whether few fingerprints that are not proven explain all of these crashes: each had one of them on board.
func (e *explanations) all(crashes []int) bool {
	for _, k := range e.known {
		if slices.Equal(k.crashes, crashes) {
			return k.explained
		}
	}
	left := slices.Clone(crashes)
	for range maxExplaining {
		suspect, ok := e.tracker.commonestUnproven(left)
		if !ok {
			break
		}
		left = slices.DeleteFunc(left, func(i int) bool { return slices.Contains(e.tracker.crashes[i].Suspects, suspect) })
	}
	e.known = append(e.known, explanation{crashes, len(left) == 0})
	return len(left) == 0
}

// commonestUnproven returns the fingerprint, of those not proven, that most of these crashes speak against.
func (t *Tracker) commonestUnproven(crashes []int) (commonest Fingerprint, ok bool) {
	most, counts := 0, make(map[Fingerprint]int)
	for _, i := range crashes {
		for _, f := range t.crashes[i].Suspects {
			if t.isProven(f) || !t.counts(t.crashes[i], f) {
				continue
			}
			counts[f]++
			if n := counts[f]; n > most || n == most && Compare(f, commonest) < 0 {
				commonest, most = f, n
			}
		}
	}
	return commonest, most > 0
}
