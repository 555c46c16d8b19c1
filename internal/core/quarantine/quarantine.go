// Package quarantine decides which requests a gateway refuses because they crash the hosts that
// begin to answer them.
//
// A crash comes when a host begins to answer. So of the requests at a host that crashed, those
// whose answers were under way are cleared, and those that were just beginning are suspects. If
// it is not known of any that it was beginning, all that had not begun are.
//
// A request is suspected by its fingerprints, not by its ID: a caller that sends it again uses
// another one. Hosts crash for other reasons too, with sound requests on board. Therefore a
// fingerprint is condemned only if enough hosts crashed at different times as they began to
// answer requests with it, and if none of them has run well in between. What shares requests with
// the cause may be condemned too; so a few requests are let through as trials, first those that
// can tell several suspects apart, and a verdict ends when one runs well.
//
// Daemons exchange crashes and successes; each decides by all that it knows. The package has no
// clock, randomness or I/O.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Settings configure a Tracker.
type Settings struct {
	// MinCrashes is the number of hosts that must have crashed before a fingerprint is
	// condemned.
	MinCrashes int
	// MinSpan is the least time between the first and the last of these crashes: hosts that
	// lose their power or network together crash at the same time, whatever they run. If the
	// crashes are closer together, the verdict on a request is provisional.
	MinSpan time.Duration
	// CrashTTL is how long a crash counts.
	CrashTTL time.Duration
	// VerdictTTL is how long requests with a condemned fingerprint are refused the first time.
	// It doubles each time that the fingerprint is condemned again, up to MaxVerdictTTL.
	VerdictTTL, MaxVerdictTTL time.Duration
	// Requests with a condemned fingerprint are let through as trials, one for all daemons, to find
	// out whether it is sound. TrialDelay after the verdict began the first one is let through by
	// the daemon of rank 0, and TrialStep later by that of each further rank; at once if the request
	// lacks a rival. The next one follows after NextTrialDelay, and later ones after longer delays.
	// Crashes beyond MinCrashes count as trials of a request. If none has come by its time, each
	// daemon's TrialStep counts from the first one that comes later. Under a provisional verdict the
	// first trial has no delay, and later ones have TrialDelay and longer ones.
	// A request with further suspects or parts of its prompt waits JointTrialDelay longer, since it tells less, and for
	// each of them if some are proven and others are suspected: those are the likely cause. A request is not tried if MinCrashes crashes had nothing on board but
	// what it consists of, such as one that is sent again and again.
	TrialDelay, TrialStep, NextTrialDelay, JointTrialDelay time.Duration
}

// Defaults returns the settings of a gateway.
func Defaults() Settings {
	return Settings{
		MinCrashes: 3, MinSpan: 250 * time.Millisecond, CrashTTL: 10 * time.Minute,
		VerdictTTL: 10 * time.Minute, MaxVerdictTTL: 24 * time.Hour,
		TrialDelay: time.Second, TrialStep: 500 * time.Millisecond, NextTrialDelay: 5 * time.Second, JointTrialDelay: 3 * time.Second,
	}
}

// forgetInterval is the time between two runs of forget.
const forgetInterval = time.Second

// Tracker holds the crashes, successes and verdicts that a daemon knows. It is not safe for
// concurrent use.
type Tracker struct {
	set     Settings
	crashes []Crash // sorted by time
	// lastSuccess is when a request with a suspected fingerprint last ran well.
	lastSuccess map[Fingerprint]time.Duration
	// proven is when a request with a part of a prompt last ran well, suspected or not; see RecordProven.
	proven     map[Fingerprint]time.Duration
	verdicts   map[Fingerprint]*Verdict
	probations map[Fingerprint]probation
	suspected  map[Fingerprint]bool // as of the last evaluation, and of crashes since
	outdated   bool                 // something was recorded since
	// newProvisional are the verdicts that TakeProvisional returns next.
	newProvisional []*Verdict
	forgotAt       time.Duration // when forget last ran
	rank           func(Fingerprint) int
}

// New returns a Tracker that knows of no crashes. rank returns this daemon's rank among all for a
// fingerprint, from 0 on; daemons that know each other have different ranks.
func New(set Settings, rank func(Fingerprint) int) *Tracker {
	return &Tracker{
		set: set, rank: rank, lastSuccess: make(map[Fingerprint]time.Duration), proven: make(map[Fingerprint]time.Duration), verdicts: make(map[Fingerprint]*Verdict),
		probations: make(map[Fingerprint]probation), suspected: make(map[Fingerprint]bool),
	}
}

// Idle reports whether nothing is suspected, so that successes don't matter.
func (t *Tracker) Idle() bool {
	return len(t.suspected) == 0 && len(t.verdicts) == 0 && len(t.probations) == 0
}

// RecordCrash records what a daemon knows of a crash, and reports whether that is new. Evaluate
// should follow once all that is known of successes has been recorded as well; the next Tick
// does it otherwise.
func (t *Tracker) RecordCrash(now time.Duration, c Crash) (isNew bool) {
	if len(c.Suspects) == 0 || now-c.At > t.set.CrashTTL || !t.addCrash(c) {
		return false
	}
	for _, f := range c.Suspects {
		t.suspected[f] = true
	}
	t.outdated = true
	return true
}

// RecordSuccess records that a request with these fingerprints ran well at a time: a host began
// to answer it and did not crash. It returns the fingerprints that were suspected until then, and
// the verdicts that end.
func (t *Tracker) RecordSuccess(at time.Duration, fingerprints []Fingerprint) (cleared []Fingerprint, ended []Change) {
	for _, f := range fingerprints {
		_, onProbation := t.probations[f]
		v := t.verdicts[f]
		if !t.suspected[f] && v == nil && !onProbation || v != nil && at+successValidity < v.lastCrashAt {
			continue
		}
		if last, ok := t.lastSuccess[f]; ok && last >= at {
			continue
		}
		t.lastSuccess[f] = at
		if !slices.ContainsFunc(t.crashes, func(c Crash) bool { return slices.Contains(c.Suspects, f) && t.counts(c, f) }) {
			delete(t.suspected, f)
		}
		t.outdated = true
		delete(t.probations, f)
		cleared = append(cleared, f)
		if v != nil {
			delete(t.verdicts, f)
			ended = append(ended, Change{Verdict: v, Ended: EndedSound})
		}
	}
	return cleared, ended
}

// Tick forgets what is too old, evaluates what was recorded, and returns the verdicts that began
// and ended.
func (t *Tracker) Tick(now time.Duration) []Change {
	var changes []Change
	for _, f := range slices.SortedFunc(maps.Keys(t.verdicts), Compare) {
		v := t.verdicts[f]
		if left := v.left(now); left > 0 {
			continue
		}
		delete(t.verdicts, f)
		if !v.Provisional {
			t.probations[f] = probation{level: v.Level, until: now + v.ttl, soleSuspects: v.SoleSuspects}
		}
		t.lastSuccess[f] = now // its crashes have been paid for
		changes = append(changes, Change{Verdict: v, Ended: EndedExpired})
	}
	for f, p := range t.probations {
		if now >= p.until {
			delete(t.probations, f)
		}
	}
	before := len(t.crashes)
	if now-t.forgotAt >= forgetInterval {
		t.forgotAt = now
		t.forget(now)
	}
	if t.outdated || len(changes) > 0 || len(t.crashes) != before {
		changes = append(changes, t.Evaluate(now)...)
	}
	return changes
}
