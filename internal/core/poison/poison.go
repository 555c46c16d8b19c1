// Package poison finds requests that kill the targets that run them, and quarantines them before
// they kill more targets. Requests are identified by the fingerprint of their content.
//
// A broken connection proves nothing. The proof is that the incarnation of the target has
// died: a report from the same host then names another incarnation. Until there is proof, the
// attempt counts as broken and its fingerprint as suspected.
//
// Harmless requests that ran on the same target break at the same time as the harmful one. A
// second death distinguishes them: a suspected request is sent only to targets where no other
// suspect runs, and a fingerprint is condemned only if it was running at the deaths of enough
// distinct hosts, and at one of these deaths it was the only fingerprint that was already
// suspected.
package poison

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// Settings configure a Tracker.
type Settings struct {
	// MinDeadHosts is the number of distinct hosts that must have died while they ran a
	// fingerprint before it is condemned.
	MinDeadHosts int
	// DeathTTL is how long a death counts after it was proved. A condemned fingerprint is refused
	// as long as the deaths that still count condemn it.
	DeathTTL time.Duration
}

// Defaults returns the settings that are used unless others are configured.
func Defaults() Settings { return Settings{MinDeadHosts: 2, DeathTTL: 10 * time.Minute} }

const (
	// proofTimeout bounds how long a broken attempt waits for proof of the target's death.
	// After it the attempt is forgotten.
	proofTimeout = 30 * time.Second
	// verdictTimeout bounds how long a request waits for proof after its attempt broke. After it
	// the request may be sent to another target.
	verdictTimeout = 2 * time.Second
)

// death is the proved death of one incarnation, with the fingerprints of the attempts that
// broke.
type death struct {
	host         string
	incarnation  string
	provedAt     time.Duration
	fingerprints []uint64 // sorted
}

// brokenAttempt is an attempt that broke off on a target that may or may not have died.
type brokenAttempt struct {
	fingerprint uint64
	host        string
	incarnation string
	brokenAt    time.Duration
}

// Tracker records broken attempts and proved deaths. It is not safe for concurrent use.
type Tracker struct {
	set            Settings
	brokenAttempts []brokenAttempt
	deaths         []death
}

// New returns a Tracker that knows of no deaths.
func New(set Settings) *Tracker { return &Tracker{set: set} }

// AttemptBroken records that an attempt broke off while an incarnation of a host ran it. It
// ignores an attempt whose incarnation is not known.
func (t *Tracker) AttemptBroken(now step.Time, fingerprint uint64, host, incarnation string) {
	if incarnation == "" {
		return
	}
	t.brokenAttempts = append(t.brokenAttempts, brokenAttempt{fingerprint: fingerprint, host: host, incarnation: incarnation, brokenAt: now.Mono})
}

// OnReport handles a report of the incarnation that runs on a host; sent is when the report was
// requested. Broken attempts on another incarnation of the host are now proved deaths, which are
// sent to the peers. Broken attempts on the reported incarnation had another cause and are
// dropped. A report that was requested before an attempt broke proves neither.
func (t *Tracker) OnReport(now step.Time, sent time.Duration, host, incarnation string, out *step.Out) {
	if len(t.brokenAttempts) == 0 || incarnation == "" {
		return
	}
	kept := t.brokenAttempts[:0]
	for _, a := range t.brokenAttempts {
		if a.host != host || sent <= a.brokenAt {
			kept = append(kept, a)
			continue
		}
		if a.incarnation == incarnation {
			continue
		}
		t.addDeath(now.Mono, a.fingerprint, a.host, a.incarnation)
		out.Add(step.SendPeer{Message: step.Suspect{Fingerprint: a.fingerprint, Target: a.host, Incarnation: a.incarnation}})
		out.Log(event.TargetDied, event.F("host", host), event.F("incarnation", a.incarnation))
	}
	t.brokenAttempts = kept
}

// OnSuspect records a death that a peer has proved.
func (t *Tracker) OnSuspect(now step.Time, s step.Suspect) {
	t.addDeath(now.Mono-s.Age, s.Fingerprint, s.Target, s.Incarnation)
}

// addDeath adds a fingerprint to the death of an incarnation. It keeps the deaths sorted by
// time.
func (t *Tracker) addDeath(at time.Duration, fingerprint uint64, host, incarnation string) {
	for i := range t.deaths {
		d := &t.deaths[i]
		if d.host != host || d.incarnation != incarnation {
			continue
		}
		if at, found := slices.BinarySearch(d.fingerprints, fingerprint); !found {
			d.fingerprints = slices.Insert(d.fingerprints, at, fingerprint)
		}
		return
	}
	t.deaths = append(t.deaths, death{host: host, incarnation: incarnation, provedAt: at, fingerprints: []uint64{fingerprint}})
	slices.SortStableFunc(t.deaths, func(x, y death) int { return int(x.provedAt - y.provedAt) })
}

// Suspected reports whether a target has died, or may have died, while it ran the fingerprint.
func (t *Tracker) Suspected(fingerprint uint64) bool {
	if len(t.deaths) == 0 && len(t.brokenAttempts) == 0 {
		return false
	}
	for _, a := range t.brokenAttempts {
		if a.fingerprint == fingerprint {
			return true
		}
	}
	for _, d := range t.deaths {
		if _, found := slices.BinarySearch(d.fingerprints, fingerprint); found {
			return true
		}
	}
	return false
}

// AwaitsProof reports whether attempts of the fingerprint broke off on enough distinct hosts to
// condemn it, but for some of these hosts it is not known yet whether they died. Such a request
// waits for the proof, so that it does not kill another target.
func (t *Tracker) AwaitsProof(now step.Time, fingerprint uint64) bool {
	var hosts []string
	unproved := false
	for _, a := range t.brokenAttempts {
		if a.fingerprint == fingerprint && now.Mono-a.brokenAt <= verdictTimeout {
			hosts = appendUnique(hosts, a.host)
			unproved = true
		}
	}
	if !unproved {
		return false
	}
	for _, d := range t.deaths {
		if _, present := slices.BinarySearch(d.fingerprints, fingerprint); present {
			hosts = appendUnique(hosts, d.host)
		}
	}
	return len(hosts) >= t.set.MinDeadHosts
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// Condemned reports whether the fingerprint must not run. The duration is the time until the last
// of its deaths expires, at least one second; the refusal ends earlier if the remaining deaths
// no longer condemn the fingerprint.
func (t *Tracker) Condemned(now step.Time, fingerprint uint64) (time.Duration, bool) {
	var hosts []string
	alone := false
	var last time.Duration
	earlier := make(map[uint64]bool)
	for _, d := range t.deaths {
		if _, present := slices.BinarySearch(d.fingerprints, fingerprint); present {
			hosts = appendUnique(hosts, d.host)
			alone = alone || earlier[fingerprint] && onlySuspect(d.fingerprints, fingerprint, earlier)
			last = d.provedAt
		}
		for _, p := range d.fingerprints {
			earlier[p] = true
		}
	}
	if len(hosts) < t.set.MinDeadHosts || !alone {
		return 0, false
	}
	return max(last+t.set.DeathTTL-now.Mono, time.Second), true
}

// onlySuspect reports whether no other fingerprint of a death was already suspected because of
// an earlier death.
func onlySuspect(fingerprints []uint64, fingerprint uint64, earlier map[uint64]bool) bool {
	for _, p := range fingerprints {
		if p != fingerprint && earlier[p] {
			return false
		}
	}
	return true
}

// Tick forgets broken attempts after proofTimeout and deaths after DeathTTL.
func (t *Tracker) Tick(now step.Time) {
	t.brokenAttempts = slices.DeleteFunc(t.brokenAttempts, func(a brokenAttempt) bool { return now.Mono-a.brokenAt > proofTimeout })
	t.deaths = slices.DeleteFunc(t.deaths, func(d death) bool { return now.Mono-d.provedAt > t.set.DeathTTL })
}
