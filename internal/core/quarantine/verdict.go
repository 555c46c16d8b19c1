package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxVerdicts bounds the verdicts in force, since callers choose what they send.
const maxVerdicts = 256

// maxStrayCrashes is how many crashes may speak against a fingerprint and not against another
// one for the other one to still explain them: hosts also crash for other reasons. A crash under
// a trial is no such coincidence.
const maxStrayCrashes = 1

// Verdict is the decision to refuse requests with a fingerprint.
type Verdict struct {
	Fingerprint Fingerprint
	// Rivals are other fingerprints that may have caused the same crashes. A request that lacks
	// one of them may be sound.
	Rivals []Fingerprint
	// Hosts are the hosts that crashed, in the order of the crashes.
	Hosts []string
	// Level is 0 for the first verdict on a fingerprint and rises with each one that follows
	// within the time of the one before.
	Level int

	since       time.Duration // when this daemon decided, or learnt of it
	ttl         time.Duration
	lastCrashAt time.Duration
	lastTrialAt time.Duration
	tried       bool // lastTrialAt is valid
	// confirmations are the trials that have crashed their hosts.
	confirmations []confirmation
	// foreign is set if another daemon decided and this one has no evidence.
	foreign bool
}

func (v *Verdict) left(now time.Duration) time.Duration { return v.since + v.ttl - now }

// minCrashesOfSuspect is how many crashes must speak against a fingerprint for it to be an
// alternative explanation of a trial that crashed its host.
const minCrashesOfSuspect = 2

// confirmation is a trial that has crashed its host.
type confirmation struct {
	at       time.Duration
	suspects []Fingerprint // of the request, without those that only this crash speaks against
}

// crashedTrials returns the number of trials that have crashed their hosts with no suspect that a
// request lacks, and the time of the last one.
func (v *Verdict) crashedTrials(fingerprints []Fingerprint) (n int, lastAt time.Duration) {
	for _, c := range v.confirmations {
		if containsAll(fingerprints, c.suspects) {
			n, lastAt = n+1, c.at
		}
	}
	return n, lastAt
}

// probation follows a verdict that has expired: the next crash brings the next verdict.
type probation struct {
	level int
	until time.Duration
}

// Change is a verdict that began or ended.
type Change struct {
	Verdict *Verdict
	Ended   Ending // Began for one that began
}

// Ending is why a verdict ended.
type Ending uint8

// The endings.
const (
	Began        Ending = iota
	EndedSound          // a request with the fingerprint has run well
	EndedExpired        // its time is over
	EndedLifted         // it was lifted, by an operator or another daemon
)

// String returns the ending as it appears in logs.
func (e Ending) String() string {
	return [...]string{"began", "a request has run well", "expired", "lifted"}[e]
}

// evaluate begins verdicts by the crashes that count, and returns them. Crashes that speak against
// a fingerprint with a verdict are explained by that. Of the others, the fingerprint that most of
// them speak against is condemned, with those that the same ones speak against. These crashes are
// explained then too, and the rest is looked at in the same way.
//
// A verdict does not end because another one explains its crashes as well: requests that are
// refused wrongly are found by trials, and hosts that crash meanwhile are not brought back.
func (t *Tracker) evaluate(now time.Duration) []Change {
	against := t.suspicions()
	t.suspected = make(map[Fingerprint]bool, len(against))
	explained := make([]bool, len(t.crashes))
	for f, crashes := range against {
		t.suspected[f] = true
		if t.verdicts[f] != nil {
			for _, i := range crashes {
				explained[i] = true
			}
		}
	}
	var changes []Change
	for {
		open := t.candidates(against, explained)
		best, ok := mostCrashes(open)
		if !ok {
			break
		}
		for _, f := range slices.SortedFunc(maps.Keys(open), Compare) {
			if isSubset(open[f], open[best]) && t.verdicts[f] == nil && len(t.verdicts) < maxVerdicts {
				changes = append(changes, Change{Verdict: t.begin(now, f)})
			}
		}
		for _, i := range open[best] {
			explained[i] = true
		}
	}
	candidates := t.candidates(against, make([]bool, len(t.crashes)))
	for f, v := range t.verdicts {
		if len(against[f]) > 0 {
			t.describe(v, against, candidates)
		}
	}
	return changes
}

// candidates returns the fingerprints that enough of the crashes that are not explained speak
// against, with these crashes.
func (t *Tracker) candidates(against map[Fingerprint][]int, explained []bool) map[Fingerprint][]int {
	found := make(map[Fingerprint][]int)
	for f, crashes := range against {
		minCrashes, minSpan := t.set.MinCrashes, t.set.MinSpan
		if _, onProbation := t.probations[f]; onProbation {
			minCrashes, minSpan = 1, 0
		}
		if len(crashes) < minCrashes {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(crashes), func(i int) bool { return explained[i] })
		if len(open) >= minCrashes && t.crashes[open[len(open)-1]].At-t.crashes[open[0]].At >= minSpan {
			found[f] = open
		}
	}
	return found
}

func mostCrashes(candidates map[Fingerprint][]int) (best Fingerprint, ok bool) {
	for _, f := range slices.SortedFunc(maps.Keys(candidates), Compare) {
		if !ok || len(candidates[f]) > len(candidates[best]) {
			best, ok = f, true
		}
	}
	return best, ok
}

func isSubset(part, whole []int) bool {
	return !slices.ContainsFunc(part, func(i int) bool { return !slices.Contains(whole, i) })
}

// mayExplain reports whether the crashes that speak against one fingerprint may explain those that
// speak against another.
func (t *Tracker) mayExplain(crashes, others []int) bool {
	n := 0
	for _, i := range others {
		switch {
		case slices.Contains(crashes, i):
		case t.crashes[i].Tried:
			return false
		default:
			n++
		}
	}
	return n <= maxStrayCrashes
}

// describe sets what follows from the crashes that speak against a condemned fingerprint.
func (t *Tracker) describe(v *Verdict, against, candidates map[Fingerprint][]int) {
	crashes := against[v.Fingerprint]
	v.foreign, v.Hosts, v.Rivals, v.confirmations = false, nil, nil, nil
	for _, i := range crashes {
		c := t.crashes[i]
		v.Hosts = append(v.Hosts, c.Host)
		v.lastCrashAt = max(v.lastCrashAt, c.At)
		if c.Tried {
			suspects := slices.DeleteFunc(slices.Clone(c.Suspects), func(g Fingerprint) bool { return len(against[g]) < minCrashesOfSuspect })
			v.confirmations = append(v.confirmations, confirmation{at: c.At, suspects: suspects})
		}
	}
	for _, g := range slices.SortedFunc(maps.Keys(candidates), Compare) {
		if g != v.Fingerprint && t.mayExplain(candidates[g], crashes) {
			v.Rivals = append(v.Rivals, g)
		}
	}
}

// begin starts a verdict on a fingerprint. One on probation gets the next level.
func (t *Tracker) begin(now time.Duration, f Fingerprint) *Verdict {
	v := &Verdict{Fingerprint: f, since: now}
	if p, ok := t.probations[f]; ok {
		v.Level = p.level + 1
		delete(t.probations, f)
	}
	v.ttl = t.ttl(v.Level)
	t.verdicts[f] = v
	return v
}

func (t *Tracker) ttl(level int) time.Duration {
	d := t.set.VerdictTTL
	for ; level > 0 && d < t.set.MaxVerdictTTL; level-- {
		d *= 2
	}
	return min(d, t.set.MaxVerdictTTL)
}
