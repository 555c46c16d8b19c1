// Package poison finds requests that end the targets that run them, and keeps them
// from the next one.
//
// A connection that breaks proves nothing: the death of the target's incarnation
// does, and a report of another incarnation from the same host is what shows it.
// Requests that merely ran beside the harmful one die with it. They are told apart
// by the second death: a suspected request is sent where no other suspect runs, and
// a fingerprint is condemned only if it was present at the deaths of enough
// distinct hosts, at one of which it was the only one already suspected.
package poison

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// Settings bound the quarantine.
type Settings struct {
	// Targets is the number of distinct hosts that must have died.
	Targets int
	// Expiry is how long a death counts.
	Expiry time.Duration
}

// Defaults returns the settings used where none are given.
func Defaults() Settings { return Settings{Targets: 2, Expiry: 10 * time.Minute} }

const (
	// proofPatience is how long a broken attempt waits for proof of the death.
	proofPatience = 30 * time.Second
	// verdictPatience is how long a request waits to learn whether it is condemned.
	verdictPatience = 2 * time.Second
)

// death is one incarnation that ended, with the fingerprints that ran on it.
type death struct {
	host        string
	incarnation string
	at          time.Duration
	prints      []uint64 // sorted
}

// open is a broken attempt whose target's fate is not known yet.
type open struct {
	print       uint64
	host        string
	incarnation string
	at          time.Duration
}

// Book holds what is known of deaths.
type Book struct {
	set    Settings
	open   []open
	deaths []death
}

// New returns an empty book.
func New(set Settings) *Book { return &Book{set: set} }

// Broken notes that an attempt broke off while a host's incarnation ran it.
func (b *Book) Broken(now step.Time, print uint64, host, incarnation string) {
	if incarnation == "" {
		return
	}
	b.open = append(b.open, open{print: print, host: host, incarnation: incarnation, at: now.Mono})
}

// Seen takes a report of the incarnation that runs on a host, whose probe was sent
// at sent. Broken attempts on an earlier one are now proved deaths and passed on to
// peers; those on this one were broken by something else. A report from before an
// attempt broke proves neither.
func (b *Book) Seen(now step.Time, sent time.Duration, host, incarnation string, out *step.Out) {
	if len(b.open) == 0 || incarnation == "" {
		return
	}
	kept := b.open[:0]
	for _, o := range b.open {
		if o.host != host || sent <= o.at {
			kept = append(kept, o)
			continue
		}
		if o.incarnation == incarnation {
			continue
		}
		b.add(now.Mono, o.print, o.host, o.incarnation)
		out.Add(step.SendPeer{Message: step.Suspect{Fingerprint: o.print, Target: o.host, Incarnation: o.incarnation}})
		out.Log(event.TargetDied, event.F("host", host), event.F("incarnation", o.incarnation))
	}
	b.open = kept
}

// Heard takes a peer's word on a death.
func (b *Book) Heard(now step.Time, s step.Suspect) {
	b.add(now.Mono-s.Age, s.Fingerprint, s.Target, s.Incarnation)
}

func (b *Book) add(at time.Duration, print uint64, host, incarnation string) {
	for i := range b.deaths {
		d := &b.deaths[i]
		if d.host != host || d.incarnation != incarnation {
			continue
		}
		if at, found := slices.BinarySearch(d.prints, print); !found {
			d.prints = slices.Insert(d.prints, at, print)
		}
		return
	}
	b.deaths = append(b.deaths, death{host: host, incarnation: incarnation, at: at, prints: []uint64{print}})
	slices.SortStableFunc(b.deaths, func(x, y death) int { return int(x.at - y.at) })
}

// Suspected reports whether a target is known or feared to have died running the fingerprint.
func (b *Book) Suspected(print uint64) bool {
	if len(b.deaths) == 0 && len(b.open) == 0 {
		return false
	}
	for _, o := range b.open {
		if o.print == print {
			return true
		}
	}
	for _, d := range b.deaths {
		if _, found := slices.BinarySearch(d.prints, print); found {
			return true
		}
	}
	return false
}

// Undecided reports whether the fingerprint has broken off on as many distinct hosts
// as condemn it, while it is not yet proved of all of them whether they died. Such a
// request waits for the proof rather than be sent to one more target.
func (b *Book) Undecided(now step.Time, print uint64) bool {
	var hosts []string
	waiting := false
	for _, o := range b.open {
		if o.print == print && now.Mono-o.at <= verdictPatience {
			hosts = appendNew(hosts, o.host)
			waiting = true
		}
	}
	if !waiting {
		return false
	}
	for _, d := range b.deaths {
		if _, present := slices.BinarySearch(d.prints, print); present {
			hosts = appendNew(hosts, d.host)
		}
	}
	return len(hosts) >= b.set.Targets
}

func appendNew(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

// Condemned reports whether the fingerprint must not run, and for how long yet.
func (b *Book) Condemned(now step.Time, print uint64) (time.Duration, bool) {
	var hosts []string
	alone := false
	var last time.Duration
	earlier := make(map[uint64]bool)
	for _, d := range b.deaths {
		if _, present := slices.BinarySearch(d.prints, print); present {
			hosts = appendNew(hosts, d.host)
			alone = alone || earlier[print] && onlySuspect(d.prints, print, earlier)
			last = d.at
		}
		for _, p := range d.prints {
			earlier[p] = true
		}
	}
	if len(hosts) < b.set.Targets || !alone {
		return 0, false
	}
	return max(last+b.set.Expiry-now.Mono, time.Second), true
}

// onlySuspect reports whether no other fingerprint of a death was suspected before it.
func onlySuspect(prints []uint64, print uint64, earlier map[uint64]bool) bool {
	for _, p := range prints {
		if p != print && earlier[p] {
			return false
		}
	}
	return true
}

// Tick forgets what has expired.
func (b *Book) Tick(now step.Time) {
	b.open = slices.DeleteFunc(b.open, func(o open) bool { return now.Mono-o.at > proofPatience })
	b.deaths = slices.DeleteFunc(b.deaths, func(d death) bool { return now.Mono-d.at > b.set.Expiry })
}
