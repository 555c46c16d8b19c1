package member

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Live returns the live daemons with this one, sorted. The slice must not be changed.
func (t *Table) Live() []string { return t.live }

// Peer returns the last heartbeat of a live daemon other than this one.
func (t *Table) Peer(name string) (step.Heartbeat, bool) {
	p := t.peers[name]
	if p == nil || !t.isLive(name) {
		return step.Heartbeat{}, false
	}
	return p.beat, true
}

func (t *Table) isLive(name string) bool {
	_, found := slices.BinarySearch(t.live, name)
	return found
}

// Unknown returns the daemons that may be serving but are not heard, sorted.
func (t *Table) Unknown() []string {
	var names []string
	for name := range t.known {
		if !t.isLive(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Owner returns the live daemon that does the duty named by key; leaving daemons take
// none. It is only a hint: what must be exclusive is settled by conditional update.
func (t *Table) Owner(key string) string {
	owner, best := t.self, uint64(0)
	duty := rendezvous.Hash(key)
	for _, d := range t.duties() {
		if score := rendezvous.Score(d.hash, duty, 0); score >= best {
			owner, best = d.name, score
		}
	}
	return owner
}

// dutiful is a daemon that takes duties.
type dutiful struct {
	name string
	hash uint64
}

// duties returns the daemons that take duties, by name.
func (t *Table) duties() []dutiful {
	if t.dutiful != nil {
		return t.dutiful
	}
	for _, name := range t.live {
		if !t.leaving(name) {
			t.dutiful = append(t.dutiful, dutiful{name, rendezvous.Hash(name)})
		}
	}
	return t.dutiful
}

// Owners returns up to n live daemons for a duty, the first being its Owner.
func (t *Table) Owners(key string, n int) []string {
	duty := rendezvous.Hash(key)
	best := make([]ranked, 0, n+1)
	for _, d := range t.duties() {
		r := ranked{d.name, rendezvous.Score(d.hash, duty, 0)}
		if len(best) == n && !r.before(best[n-1]) {
			continue
		}
		at := len(best)
		for at > 0 && r.before(best[at-1]) {
			at--
		}
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	names := make([]string, len(best))
	for i, r := range best {
		names[i] = r.name
	}
	return names
}

// ranked is a daemon with its score for a duty.
type ranked struct {
	name  string
	score uint64
}

func (r ranked) before(other ranked) bool {
	return r.score > other.score || r.score == other.score && r.name > other.name
}

// Sure reports whether every daemon that may be serving is heard and membership has
// been the same for a while. What is shared out by membership falls to its safe side
// when it is not.
func (t *Table) Sure() bool {
	if t.now-t.changed < t.settle() {
		return false
	}
	for name := range t.known {
		if !t.isLive(name) {
			return false
		}
	}
	for _, name := range t.live {
		if p := t.peers[name]; p != nil && t.now-p.heard > t.lateAfter(t.silentAfter(p)) {
			return false
		}
	}
	return true
}

// Lowest returns the lowest applied revision among the live daemons and who is there, sorted.
func (t *Table) Lowest() (object.Version, []string) {
	lowest, names := t.lowest(), []string(nil)
	for _, name := range t.live {
		if t.applied(name) == lowest {
			names = append(names, name)
		}
	}
	return lowest, names
}

func (t *Table) lowest() object.Version {
	lowest := t.own.Applied
	for _, name := range t.live {
		lowest = min(lowest, t.applied(name))
	}
	return lowest
}

// Lagging returns the daemons that are live below a revision, or unknown, sorted.
func (t *Table) Lagging(revision object.Version) []string {
	names := t.Unknown()
	for _, name := range t.live {
		if t.applied(name) < revision {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Watermark returns the highest value that Lowest has had. It does not fall when a
// daemon joins, so it tells that a revision was once in force on all, not that it is.
func (t *Table) Watermark() object.Version { return t.watermark }

func (t *Table) applied(name string) object.Version {
	if p := t.peers[name]; p != nil {
		return p.beat.Applied
	}
	return t.own.Applied
}

// Isolated reports that this daemon hears neither the platform nor a live daemon that
// does: an accepted change may be passing it by.
func (t *Table) Isolated() bool {
	if t.platform {
		return false
	}
	for _, name := range t.live {
		if p := t.peers[name]; p != nil && p.beat.Platform {
			return false
		}
	}
	return true
}

// LargerPart reports whether the live daemons are more than half of those that the
// configuration lists, or exactly half with the first of them by name. In an outage of
// the platform at most one part of a split holds this, as long as both parts know lists
// that differ by one daemon at most. One that started in the outage is not listed and
// does not count.
func (t *Table) LargerPart() bool {
	voters := t.listed
	if len(voters) == 0 {
		voters = t.known
	}
	all, live, first := 0, 0, ""
	for name := range voters {
		switch {
		case t.isLive(name):
			live++
		case t.leaving(name):
			continue // it said that it stops
		}
		all++
		if first == "" || name < first {
			first = name
		}
	}
	if 2*live == all {
		return t.isLive(first)
	}
	return 2*live > all
}

func score(name, key string) uint64 {
	return rendezvous.Score(rendezvous.Hash(name), rendezvous.Hash(key), 0)
}
