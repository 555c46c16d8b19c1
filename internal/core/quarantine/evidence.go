package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes that are remembered; the oldest are forgotten first.
	maxCrashes = 128
	// maxSuspects bounds the fingerprints that are remembered of one crash.
	maxSuspects = 64
	// successRetention is how long a success is remembered of a fingerprint that no crash
	// speaks against any more: evidence of earlier crashes may still arrive.
	successRetention = 10 * time.Second
	// successValidity is how long before a crash a success still clears a fingerprint of that
	// crash. It covers the delay of messages between daemons, and lets requests that began a
	// moment ago count.
	successValidity = 500 * time.Millisecond
)

// Crash is the end of an incarnation of a host, with the fingerprints of the requests that may
// have caused it. All times are monotonic times of the daemon that keeps them.
type Crash struct {
	Host        string
	Incarnation int64
	At          time.Duration
	// Begun is set if the host was beginning to answer the requests, as opposed to requests
	// that may still have waited for their turn. If any daemon knows of requests that had
	// begun, the others don't count.
	Begun    bool
	Suspects []Fingerprint // distinct
}

// isSameAs reports whether two daemons speak of the same crash.
func (c Crash) isSameAs(other Crash) bool {
	return c.Host == other.Host && c.Incarnation == other.Incarnation
}

// Success is a request with a fingerprint that ran well at a time.
type Success struct {
	Fingerprint Fingerprint
	At          time.Duration
}

// Evidence is what one daemon tells others. Its times are those of the daemon that holds it.
type Evidence struct {
	Crashes []Crash
	// Uncertain are crashes of hosts while the daemon reached no host of their service. They count once
	// the hosts' entries show that the processes have ended.
	Uncertain []Crash
	Successes []Success
	Trials    []Trial
}

// addCrash adds what a daemon knows of a crash to what is known. It returns false if that says
// nothing new.
func (t *Tracker) addCrash(c Crash) bool {
	c.Suspects = c.Suspects[:min(len(c.Suspects), maxSuspects)]
	i := slices.IndexFunc(t.crashes, c.isSameAs)
	if i < 0 {
		c.Suspects = slices.Clone(c.Suspects)
		at, _ := slices.BinarySearchFunc(t.crashes, c.At, func(k Crash, at time.Duration) int { return int(k.At - at) })
		t.crashes = slices.Insert(t.crashes, at, c)
		t.crashes = slices.Delete(t.crashes, 0, max(0, len(t.crashes)-maxCrashes))
		return true
	}
	known := &t.crashes[i]
	switch {
	case known.Begun && !c.Begun:
		return false
	case !known.Begun && c.Begun:
		known.Begun, known.Suspects = true, slices.Clone(c.Suspects)
		return true
	}
	added := false
	for _, f := range c.Suspects {
		if len(known.Suspects) < maxSuspects && !slices.Contains(known.Suspects, f) {
			known.Suspects = append(known.Suspects, f)
			added = true
		}
	}
	return added
}

// counts reports whether a crash speaks against a fingerprint: no request with it has run well
// since, or just before.
func (t *Tracker) counts(c Crash, f Fingerprint) bool {
	at, ranWell := t.lastSuccess[f]
	return !ranWell || at+successValidity < c.At
}

// suspicions returns, for each fingerprint that crashes speak against, the indices of these
// crashes in the order of their times.
func (t *Tracker) suspicions() map[Fingerprint][]int {
	found := make(map[Fingerprint][]int)
	for i, c := range t.crashes {
		for _, f := range c.Suspects {
			if t.counts(c, f) {
				found[f] = append(found[f], i)
			}
		}
	}
	return found
}

// forget drops crashes that are older than their lifetime, and successes that clear no crash
// any more.
func (t *Tracker) forget(now time.Duration) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c Crash) bool { return now-c.At > t.set.CrashTTL })
	t.forgetProven(now)
	named := make(map[Fingerprint]bool)
	for _, c := range t.crashes {
		for _, f := range c.Suspects {
			named[f] = true
		}
	}
	maps.DeleteFunc(t.lastSuccess, func(f Fingerprint, at time.Duration) bool { return now-at > successRetention && !named[f] })
}
