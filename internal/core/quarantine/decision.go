package quarantine

import (
	"slices"
	"time"
)

// Decision is whether a request may be sent to a host.
type Decision struct {
	// Refused is the fingerprint for which the request is refused; valid if RetryAfter is
	// positive.
	Refused Fingerprint
	// RetryAfter is the time after which the request may be let through; zero if it may be sent
	// now.
	RetryAfter time.Duration
	// Trial is set if the request is let through to find out whether it is sound. It must be
	// sent to one host only.
	Trial bool
}

const (
	// maxCrashedTrials is the number of trials that may crash their hosts before there is no other
	// until the verdict ends. A host may crash for another reason under a trial.
	maxCrashedTrials = 3
	// trialDelayFactor is by how much the delay grows with each trial that has crashed its host.
	trialDelayFactor = 10
)

// Decide decides on a request with these fingerprints that is about to be sent to a host. It
// lets one through as a trial only if mayTry is set.
func (t *Tracker) Decide(now time.Duration, fingerprints []Fingerprint, mayTry bool) Decision {
	var d Decision
	var trials []*Verdict
	for _, f := range fingerprints {
		v := t.verdicts[f]
		if v == nil {
			continue
		}
		left := v.left(now)
		if from, ok := t.trialFrom(v, fingerprints); ok {
			trials = append(trials, v)
			left = from - now
			if !mayTry {
				left = max(left, t.set.TrialInterval)
			}
		}
		if left > d.RetryAfter {
			d.Refused, d.RetryAfter = f, left
		}
	}
	if d.RetryAfter > 0 {
		return d
	}
	for _, v := range trials {
		v.tried, v.lastTrialAt, d.Trial = true, now, true
	}
	return d
}

// trialFrom returns the time from which a request may be let through although there is a verdict on
// one of its fingerprints. It returns false if only the end of the verdict allows it.
func (t *Tracker) trialFrom(v *Verdict, fingerprints []Fingerprint) (time.Duration, bool) {
	if v.Fingerprint.Kind == Content {
		return 0, false
	}
	turn := time.Duration(t.rank(v.Fingerprint)) * t.set.TrialStep
	crashedTrials, lastAt := v.crashedTrials(fingerprints)
	from := v.since
	switch {
	case crashedTrials >= maxCrashedTrials:
		return 0, false
	case crashedTrials > 0:
		from = lastAt + turn + t.set.NextTrialDelay
		for range crashedTrials - 1 {
			from += trialDelayFactor * t.set.NextTrialDelay
		}
	case !containsAll(fingerprints, v.Rivals):
	case v.Level == 0 && !v.foreign:
		from += turn + t.set.TrialDelay
	default:
		return 0, false
	}
	if v.tried {
		from = max(from, v.lastTrialAt+t.set.TrialInterval)
	}
	return from, true
}

// CertainlyRefused reports whether a request with these fingerprints is refused without doubt:
// none of them has a rival that the request lacks.
func (t *Tracker) CertainlyRefused(fingerprints []Fingerprint) bool {
	for _, f := range fingerprints {
		if v := t.verdicts[f]; v != nil && containsAll(fingerprints, v.Rivals) {
			return true
		}
	}
	return false
}

func containsAll(fingerprints, all []Fingerprint) bool {
	return !slices.ContainsFunc(all, func(f Fingerprint) bool { return !slices.Contains(fingerprints, f) })
}

// HasVerdicts reports whether any request may be refused now.
func (t *Tracker) HasVerdicts() bool { return len(t.verdicts) > 0 }

// Suspects returns those of a crash's suspects that no success has cleared.
func (t *Tracker) Suspects(c Crash) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(c.Suspects), func(f Fingerprint) bool { return !t.counts(c, f) })
}

// KnowsBegun reports whether it is known of a request that a crashed host was beginning it.
func (t *Tracker) KnowsBegun(c Crash) bool {
	return slices.ContainsFunc(t.crashes, func(k Crash) bool { return k.Begun && k.Host == c.Host && k.Incarnation == c.Incarnation })
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

// Adopt takes over a verdict of another daemon, unless this one knows crashes or successes of
// its own from which to decide.
func (t *Tracker) Adopt(now time.Duration, v Verdict) []Change {
	f := v.Fingerprint
	if _, cleared := t.lastSuccess[f]; cleared || t.suspected[f] || t.verdicts[f] != nil || len(t.verdicts) >= maxVerdicts {
		return nil
	}
	t.verdicts[f] = &Verdict{
		Fingerprint: f, Rivals: v.Rivals, Hosts: v.Hosts, Level: v.Level,
		since: now, ttl: t.ttl(v.Level), foreign: true,
	}
	delete(t.probations, f)
	return []Change{{Verdict: t.verdicts[f]}}
}

// Lift ends the verdict on a fingerprint, and forgets the crashes that led to it.
func (t *Tracker) Lift(now time.Duration, f Fingerprint) []Change {
	v := t.verdicts[f]
	if v == nil {
		return nil
	}
	delete(t.verdicts, f)
	t.lastSuccess[f] = now
	return append([]Change{{Verdict: v, Ended: EndedLifted}}, t.evaluate(now)...)
}
