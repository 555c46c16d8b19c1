package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxVerdicts bounds the verdicts in force, since callers choose what they send.
	maxVerdicts = 256
	// maxStrayCrashes is how many crashes may speak against a fingerprint and not against another
	// one for the other one to still explain them: hosts also crash for other reasons.
	maxStrayCrashes = 1
	// trialDelayFactor is by how much the delay between trials grows with each.
	trialDelayFactor = 10
	// adoptedTrials is the number of trials that count as done for a verdict of another daemon,
	// adoptedProvisionalTrials if it is provisional, and returnedTrials for one that comes back after it
	// has expired.
	adoptedTrials, adoptedProvisionalTrials, returnedTrials = 1, 2, 2
)

// Verdict is the decision to refuse requests with a fingerprint.
type Verdict struct {
	Fingerprint Fingerprint
	// Rivals are other fingerprints that may have caused the same crashes. A request that lacks
	// one of them may be sound.
	Rivals []Fingerprint
	// SoleSuspects are all suspects of as many of the crashes as condemn a fingerprint. A request
	// that has all of them is refused without a trial. It is empty if the crashes had others on
	// board.
	SoleSuspects []Fingerprint
	// Hosts are the hosts that crashed, in the order of the crashes.
	Hosts []string
	// Level is 0 for the first verdict on a fingerprint and rises with each one that follows
	// within the time of the one before.
	Level int
	// Provisional is set while the hosts crashed so close together that they may have been lost
	// together. Requests are then sent to one host at a time, until one runs well or crashes
	// another host.
	Provisional bool

	since       time.Duration // when this daemon decided, or learnt of it
	ttl         time.Duration
	crashes     int // that speak against the fingerprint
	lastCrashAt time.Duration
	trials      int           // of all daemons
	lastTrialAt time.Duration // valid if there was one
	voidTrial   bool          // the last one reached no host
	asked       demand        // since the last trial
}

// demand records the requests with a condemned fingerprint that a daemon could have tried.
type demand struct {
	occasions int           // how often requests came after a pause
	since     time.Duration // when the last of these began; valid if there was one
}

func (v *Verdict) left(now time.Duration) time.Duration { return v.since + v.ttl - now }

func (v *Verdict) recordTrial(at time.Duration) {
	v.trials, v.lastTrialAt, v.voidTrial, v.asked = v.trials+1, max(v.lastTrialAt, at), false, demand{}
}

// probation follows a verdict that has expired: the next crash brings the next verdict.
type probation struct {
	level        int
	until        time.Duration
	soleSuspects []Fingerprint // of the verdict that has expired
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

// Evaluate begins verdicts by the crashes that count, and returns them. All fingerprints that
// enough crashes speak against are condemned, since nothing but a success tells those that happened
// to be on board: two crashing parts with common first parts look like one crashing first part.
// Requests that are refused wrongly are found by trials.
func (t *Tracker) Evaluate(now time.Duration) []Change {
	against := t.suspicions()
	t.outdated = false
	t.suspected = make(map[Fingerprint]bool, len(against))
	for f := range against {
		t.suspected[f] = true
	}
	candidates := t.candidates(against)
	var changes []Change
	for _, f := range slices.SortedFunc(maps.Keys(candidates), Compare) {
		switch v := t.verdicts[f]; {
		case v == nil && len(t.verdicts) < maxVerdicts:
			changes = append(changes, Change{Verdict: t.begin(now, f)})
		case v != nil && v.Provisional:
			changes = append(changes, t.confirm(now, v))
		}
	}
	t.beginProvisional(now, against)
	for f, v := range t.verdicts {
		if len(against[f]) > 0 {
			t.describe(v, against[f], candidates)
		}
	}
	return changes
}

// beginProvisional begins provisional verdicts on requests under which enough hosts crashed, but
// so close together that the hosts may have been lost together. Parts of prompts get none: a common
// part is on board of all hosts that are lost together.
func (t *Tracker) beginProvisional(now time.Duration, against map[Fingerprint][]int) {
	for _, f := range slices.SortedFunc(maps.Keys(against), Compare) {
		if f.Kind == PromptPart || t.verdicts[f] != nil || len(against[f]) < t.set.MinCrashes || len(t.verdicts) >= maxVerdicts {
			continue
		}
		v := t.begin(now, f)
		v.Provisional = true
		t.newProvisional = append(t.newProvisional, v)
	}
}

// TakeProvisional returns the provisional verdicts that have begun since it was last called.
func (t *Tracker) TakeProvisional() []*Verdict {
	v := t.newProvisional
	t.newProvisional = nil
	return v
}

// confirm turns a provisional verdict into one that refuses requests.
func (t *Tracker) confirm(now time.Duration, v *Verdict) Change {
	v.Provisional, v.since, v.asked = false, now, demand{}
	return Change{Verdict: v}
}

// candidates returns the fingerprints that enough crashes speak against, with these crashes.
func (t *Tracker) candidates(against map[Fingerprint][]int) map[Fingerprint][]int {
	found := make(map[Fingerprint][]int)
	explained := explanations{tracker: t}
	for f, crashes := range against {
		minCrashes, from := t.set.MinCrashes, t.crashes[crashes[0]].At+t.set.MinSpan
		if _, onProbation := t.probations[f]; onProbation {
			minCrashes, from = 1, 0
		} else if len(crashes) >= minCrashes && t.isProven(f) && explained.all(crashes) {
			continue
		}
		if v := t.verdicts[f]; v != nil && v.Provisional {
			// A daemon that knows of fewer crashes has adopted the verdict: one more is enough.
			if len(crashes) < t.set.MinCrashes {
				minCrashes, from = 1, v.since+t.set.MinSpan
			}
		}
		if len(crashes) >= minCrashes && t.crashes[crashes[len(crashes)-1]].At >= from {
			found[f] = crashes
		}
	}
	return found
}

// describe sets what follows from the crashes that speak against a condemned fingerprint.
func (t *Tracker) describe(v *Verdict, crashes []int, candidates map[Fingerprint][]int) {
	v.lastCrashAt = max(v.lastCrashAt, t.crashes[crashes[len(crashes)-1]].At)
	if len(crashes) < len(v.Hosts) {
		return // the daemon that gave the verdict knew of more, or some have been forgotten
	}
	v.Hosts, v.Rivals, v.crashes = nil, nil, len(crashes)
	if sole := t.soleSuspects(crashes); sole != nil {
		v.SoleSuspects = sole
	}
	for _, i := range crashes {
		v.Hosts = append(v.Hosts, t.crashes[i].Host)
	}
	for _, g := range slices.SortedFunc(maps.Keys(candidates), Compare) {
		if g != v.Fingerprint && strays(crashes, candidates[g]) <= maxStrayCrashes {
			v.Rivals = append(v.Rivals, g)
		}
	}
}

// soleSuspects returns the smallest set of suspects that MinCrashes of some crashes have no other
// suspects beside, or nil.
func (t *Tracker) soleSuspects(crashes []int) []Fingerprint {
	sets := make([][]Fingerprint, len(crashes))
	for n, i := range crashes {
		sets[n] = t.Suspects(t.crashes[i])
	}
	var smallest []Fingerprint
	for _, set := range sets {
		n := 0
		for _, other := range sets {
			if containsAll(set, other) {
				n++
			}
		}
		if n >= t.set.MinCrashes && (smallest == nil || len(set) < len(smallest)) {
			smallest = set
		}
	}
	return smallest
}

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

// begin starts a verdict on a fingerprint. One on probation gets the next level.
func (t *Tracker) begin(now time.Duration, f Fingerprint) *Verdict {
	v := &Verdict{Fingerprint: f, since: now}
	if p, ok := t.probations[f]; ok {
		v.Level, v.SoleSuspects = p.level+1, p.soleSuspects
		v.trials, v.lastTrialAt = returnedTrials, now
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
