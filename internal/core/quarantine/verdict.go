package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxVerdicts bounds the verdicts in force, since callers choose what they send.
const maxVerdicts = 256

// maxStrayCrashes is how many crashes may speak against a fingerprint and not against another
// one for the other one to still explain them: hosts also crash for other reasons.
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
	// foreign is set if another daemon decided and this one has no evidence.
	foreign bool
}

func (v *Verdict) left(now time.Duration) time.Duration { return v.since + v.ttl - now }

// probation follows a verdict that has expired: the next crash brings the next verdict.
type probation struct {
	level int
	until time.Duration
}

// Change is a verdict that began or ended.
type Change struct {
	Verdict Verdict
	Ended   Ending // Began for one that began
}

// Ending is why a verdict ended.
type Ending uint8

// The endings.
const (
	Began          Ending = iota
	EndedSound            // a request with the fingerprint has run well
	EndedExplained        // another fingerprint explains the crashes
	EndedExpired          // its time is over
	EndedLifted           // it was lifted, by an operator or another daemon
)

// String returns the ending as it appears in logs.
func (e Ending) String() string {
	return [...]string{"began", "a request has run well", "another fingerprint explains the crashes", "expired", "lifted"}[e]
}

// evaluate compares the verdicts with the crashes that count, and returns what changed. The
// fingerprint that most crashes speak against is condemned, with those that the same crashes
// speak against. These crashes are explained then, and the others are looked at in the same way.
func (t *Tracker) evaluate(now time.Duration) []Change {
	against := t.suspicions()
	t.suspected = make(map[Fingerprint]bool, len(against))
	for f := range against {
		t.suspected[f] = true
	}
	condemned := make(map[Fingerprint][]int)
	explained := make([]bool, len(t.crashes))
	for {
		open := t.candidates(against, explained)
		best, ok := mostCrashes(open)
		if !ok {
			break
		}
		for f, crashes := range open {
			if isSubset(crashes, open[best]) {
				condemned[f] = against[f]
			}
		}
		for _, i := range open[best] {
			explained[i] = true
		}
	}
	return t.apply(now, condemned, against)
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

func isSubset(part, whole []int) bool { return strays(part, whole) == 0 }

// strays is the number of crashes in part that are not in whole.
func strays(part, whole []int) int {
	n := 0
	for _, i := range part {
		if !slices.Contains(whole, i) {
			n++
		}
	}
	return n
}

// apply begins verdicts on the condemned fingerprints, and ends those on fingerprints that are
// not condemned although all crashes that led to the verdict are still known.
func (t *Tracker) apply(now time.Duration, condemned, against map[Fingerprint][]int) []Change {
	var changes []Change
	for _, f := range slices.SortedFunc(maps.Keys(t.verdicts), Compare) {
		v := t.verdicts[f]
		if _, stays := condemned[f]; !stays && !v.foreign && len(against[f]) >= len(v.Hosts) {
			delete(t.verdicts, f)
			changes = append(changes, Change{Verdict: *v, Ended: EndedExplained})
		}
	}
	candidates := t.candidates(against, make([]bool, len(t.crashes)))
	for _, f := range slices.SortedFunc(maps.Keys(condemned), Compare) {
		crashes := condemned[f]
		v := t.verdicts[f]
		isNew := v == nil
		if isNew && len(t.verdicts) >= maxVerdicts {
			continue
		}
		if isNew {
			v = t.begin(now, f)
		}
		v.foreign, v.Hosts, v.Rivals = false, nil, nil
		for _, i := range crashes {
			v.Hosts = append(v.Hosts, t.crashes[i].Host)
			v.lastCrashAt = max(v.lastCrashAt, t.crashes[i].At)
		}
		for _, g := range slices.SortedFunc(maps.Keys(candidates), Compare) {
			if g != f && strays(crashes, candidates[g]) <= maxStrayCrashes {
				v.Rivals = append(v.Rivals, g)
			}
		}
		if isNew {
			changes = append(changes, Change{Verdict: *v})
		}
	}
	return changes
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
