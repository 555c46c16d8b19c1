package quarantine

import (
	"slices"
	"time"
)

const (
	// provisionalRetryAfter bounds the time after which a caller should come back whose request is
	// held back by a provisional verdict. A trial ends within about that time.
	provisionalRetryAfter = 250 * time.Millisecond
	// maxMissedTurns is after how many turns without a request a daemon no longer waits for its turn.
	maxMissedTurns = 3
)

// Decision is whether a request may be sent to a host.
type Decision struct {
	// Refused is the fingerprint for which the request is refused; valid if RetryAfter is
	// positive.
	Refused Fingerprint
	// RetryAfter is the time after which the request may be let through; zero if it may be sent
	// now.
	RetryAfter time.Duration
	// Certain is set if the request is refused without a trial.
	Certain bool
	// Tried are the condemned fingerprints of a request that is let through to find out whether it
	// is sound; empty for any other. It must be sent to one host only, and others must know.
	Tried []Fingerprint
}

// Trial is a request with a condemned fingerprint that was let through.
type Trial struct {
	Fingerprint Fingerprint
	At          time.Duration
	// Void is set once it has ended without reaching a host.
	Void bool
}

// Decide decides on a request with these fingerprints that is about to be sent to a host. It
// lets one through as a trial only if mayTry is set.
func (t *Tracker) Decide(now time.Duration, fingerprints []Fingerprint, mayTry bool) Decision {
	var condemned []*Verdict
	suspects, proven, unproven := 0, 0, 0
	for _, f := range fingerprints {
		v := t.verdicts[f]
		if v != nil {
			condemned = append(condemned, v)
		}
		if v != nil || t.suspected[f] || f.Kind == PromptPart {
			suspects++
		}
		switch {
		case t.isProven(f):
			proven++
		case v != nil || t.suspected[f]:
			unproven++
		}
	}
	var d Decision
	joint := time.Duration(0)
	switch {
	case unproven == 0:
	case proven > 0: // the others ran well, so these are the likely cause
		joint = time.Duration(suspects-1) * t.set.JointTrialDelay
	case suspects > 1:
		joint = t.set.JointTrialDelay
	}
	for _, v := range condemned {
		left := v.left(now)
		certain := v.isCertainFor(fingerprints)
		if !certain {
			left = min(left, t.trialFrom(now, v, fingerprints, joint, unproven == 0, mayTry)-now)
			if !mayTry {
				left = max(left, t.set.TrialDelay)
			}
			if v.Provisional {
				left = min(left, provisionalRetryAfter)
			}
		}
		if left > d.RetryAfter {
			d.Refused, d.RetryAfter, d.Certain = v.Fingerprint, left, certain
		}
	}
	if d.RetryAfter > 0 {
		return d
	}
	for _, v := range condemned {
		v.recordTrial(now)
		d.Tried = append(d.Tried, v.Fingerprint)
	}
	return d
}

// trialFrom returns the time from which a request with a condemned fingerprint may be let through.
// The first one is let through at once if it lacks a rival of the fingerprint, or is proven: all parts of its
// prompt have run well. joint is the additional delay of a request with several suspects.
func (t *Tracker) trialFrom(now time.Duration, v *Verdict, fingerprints []Fingerprint, joint time.Duration, proven, mayTry bool) time.Duration {
	trials, lastTrialAt := v.trials, v.lastTrialAt
	if extra := v.crashes - t.set.MinCrashes; extra > trials && v.Fingerprint.Kind != PromptPart && !v.Provisional {
		trials, lastTrialAt = extra, max(lastTrialAt, v.lastCrashAt)
	}
	var due time.Duration
	switch {
	case v.Provisional && trials == 0:
		due = v.since
	case v.Provisional:
		due = lastTrialAt + delayAfter(2*trials-1, t.set.TrialDelay) // few: each may crash a host
	case trials > 0:
		due = lastTrialAt + delayAfter(trials, t.set.NextTrialDelay) + joint
	case containsAll(fingerprints, v.Rivals) && !proven:
		due = v.since + t.set.TrialDelay + joint
	case !v.voidTrial:
		return v.since + joint
	}
	if v.voidTrial {
		due = max(due, v.lastTrialAt+t.set.TrialDelay+joint)
	}
	return t.turnFrom(now, v, due, mayTry)
}

// delayAfter returns the delay after some trials. It grows with each.
func delayAfter(trials int, first time.Duration) time.Duration {
	for range trials - 1 {
		first *= trialDelayFactor
	}
	return first
}

// turnFrom returns the time from which this daemon may let a trial through that is due. Daemons take
// turns by rank, so that one hears of the trial of another before its own turn. A turn lasts for one
// TrialStep. A daemon that has missed several goes on at once: no other was asked all the while.
func (t *Tracker) turnFrom(now time.Duration, v *Verdict, due time.Duration, mayTry bool) time.Duration {
	turn := time.Duration(t.rank(v.Fingerprint)) * t.set.TrialStep
	from := max(due, v.asked.since) + turn
	if mayTry && (v.asked.occasions == 0 || now >= from+t.set.TrialStep) {
		v.asked = demand{occasions: v.asked.occasions + 1, since: now}
		from = max(due, now) + turn
		if v.asked.occasions > maxMissedTurns {
			from = max(due, now)
		}
	}
	return from
}

// RecordTrial records a trial of another daemon, or that a trial of any daemon was void.
func (t *Tracker) RecordTrial(tr Trial) {
	switch v := t.verdicts[tr.Fingerprint]; {
	case v == nil:
	case !tr.Void:
		v.recordTrial(tr.At)
	default:
		v.trials, v.voidTrial, v.asked = max(0, v.trials-1), true, demand{occasions: 1, since: v.lastTrialAt}
	}
}

// WithdrawTrial records that a trial of this daemon was void. It need not wait for its turn again.
func (t *Tracker) WithdrawTrial(tr Trial) {
	t.RecordTrial(tr)
	if v := t.verdicts[tr.Fingerprint]; v != nil {
		v.asked.occasions = maxMissedTurns
	}
}

// isCertainFor reports whether enough hosts have crashed under nothing but what a request consists
// of.
func (v *Verdict) isCertainFor(fingerprints []Fingerprint) bool {
	return !v.Provisional && len(v.SoleSuspects) > 0 && containsAll(fingerprints, v.SoleSuspects)
}

// Condemned reports whether any of these fingerprints is condemned.
func (t *Tracker) Condemned(fingerprints []Fingerprint) bool {
	return slices.ContainsFunc(fingerprints, func(f Fingerprint) bool { return t.verdicts[f] != nil })
}

// Refuses reports whether a verdict on the fingerprint is in force that is not provisional.
func (t *Tracker) Refuses(f Fingerprint) bool {
	v := t.verdicts[f]
	return v != nil && !v.Provisional
}

// CertainlyRefused reports whether a request with these fingerprints is refused without doubt:
// one of them is condemned, and has no rival that the request lacks.
func (t *Tracker) CertainlyRefused(fingerprints []Fingerprint) bool {
	for _, f := range fingerprints {
		if t.Refuses(f) && containsAll(fingerprints, t.verdicts[f].Rivals) {
			return true
		}
	}
	return false
}

func containsAll(fingerprints, all []Fingerprint) bool {
	return !slices.ContainsFunc(all, func(f Fingerprint) bool { return !slices.Contains(fingerprints, f) })
}

// HasVerdicts reports whether any verdict is in force.
func (t *Tracker) HasVerdicts() bool { return len(t.verdicts) > 0 }

// VerdictCount returns the number of verdicts in force, with and without the provisional ones.
func (t *Tracker) VerdictCount() (final, provisional int) {
	for _, v := range t.verdicts {
		if v.Provisional {
			provisional++
		} else {
			final++
		}
	}
	return final, provisional
}

// Suspects returns those of a crash's suspects that no success has cleared.
func (t *Tracker) Suspects(c Crash) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(c.Suspects), func(f Fingerprint) bool { return !t.counts(c, f) })
}

// Knows reports whether a crash is known, whatever its suspects are.
func (t *Tracker) Knows(c Crash) bool {
	return slices.ContainsFunc(t.crashes, func(k Crash) bool { return k.isSameAs(c) })
}

// KnowsBegun reports whether it is known of a request that a crashed host was beginning it.
func (t *Tracker) KnowsBegun(c Crash) bool {
	return slices.ContainsFunc(t.crashes, func(k Crash) bool { return k.Begun && k.isSameAs(c) })
}

// Verdicts returns the verdicts in force, sorted by fingerprint.
func (t *Tracker) Verdicts() []Verdict {
	var all []Verdict
	for _, v := range t.verdicts {
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b Verdict) int { return Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Adopt takes over a verdict of another daemon, unless this one knows that a request with the
// fingerprint has run well. It may know only some of the crashes.
func (t *Tracker) Adopt(now time.Duration, v Verdict) []Change {
	f := v.Fingerprint
	if known := t.verdicts[f]; known != nil && known.Provisional && !v.Provisional {
		return []Change{t.confirm(now, known)}
	}
	if _, cleared := t.lastSuccess[f]; cleared || t.verdicts[f] != nil || len(t.verdicts) >= maxVerdicts {
		return nil
	}
	own := t.begin(now, f)
	own.Rivals, own.SoleSuspects, own.Hosts, own.Level, own.ttl = v.Rivals, v.SoleSuspects, v.Hosts, v.Level, t.ttl(v.Level)
	own.trials, own.lastTrialAt = adoptedTrials, now
	if own.Provisional = v.Provisional; v.Provisional {
		own.trials = adoptedProvisionalTrials
		t.newProvisional = append(t.newProvisional, own)
		return nil
	}
	return []Change{{Verdict: own}}
}

// Lift ends the verdict on a fingerprint, and forgets the crashes that led to it.
func (t *Tracker) Lift(now time.Duration, f Fingerprint) []Change {
	v := t.verdicts[f]
	if v == nil {
		return nil
	}
	delete(t.verdicts, f)
	t.lastSuccess[f] = now
	return append([]Change{{Verdict: v, Ended: EndedLifted}}, t.Evaluate(now)...)
}
