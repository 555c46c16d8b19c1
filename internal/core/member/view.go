package member

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Live returns the live daemons, including this one, sorted. The slice must not be changed.
func (t *Table) Live() []string { return t.live }

// Peer returns the last heartbeat of a live daemon other than this one.
func (t *Table) Peer(name string) (step.Heartbeat, bool) {
	p := t.peers[name]
	if p == nil || !t.isLive(name) {
		return step.Heartbeat{}, false
	}
	return p.heartbeat, true
}

func (t *Table) isLive(name string) bool {
	_, found := slices.BinarySearch(t.live, name)
	return found
}

// Unknown returns the daemons that may be serving but are not live, sorted.
func (t *Table) Unknown() []string {
	var names []string
	for name := range t.possiblyServing {
		if !t.isLive(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Owner returns the live daemon that is responsible for the duty named by key. Leaving daemons
// get no duties. The result is only a hint, since daemons may see different memberships; what
// must be exclusive is decided by conditional update.
func (t *Table) Owner(key string) string {
	owner, best := t.self, uint64(0)
	duty := rendezvous.Hash(key)
	for _, d := range t.ownerCandidates() {
		if score := rendezvous.Score(d.hash, duty, 0); score >= best {
			owner, best = d.name, score
		}
	}
	return owner
}

// ownerCandidate is a daemon that can be responsible for duties.
type ownerCandidate struct {
	name string
	hash uint64 // of the name
}

// ownerCandidates returns the daemons that can be responsible for duties, sorted by name.
func (t *Table) ownerCandidates() []ownerCandidate {
	if t.candidates != nil {
		return t.candidates
	}
	for _, name := range t.live {
		if !t.isLeaving(name) {
			t.candidates = append(t.candidates, ownerCandidate{name, rendezvous.Hash(name)})
		}
	}
	return t.candidates
}

// Owners returns up to n live daemons for a duty, in the order of their scores. The first is
// its Owner.
func (t *Table) Owners(key string, n int) []string {
	duty := rendezvous.Hash(key)
	best := make([]ranked, 0, n+1)
	for _, d := range t.ownerCandidates() {
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

// before reports whether r comes before other in the order of Owners.
func (r ranked) before(other ranked) bool {
	return r.score > other.score || r.score == other.score && r.name > other.name
}

// Settled reports whether all daemons that may be serving are live, no heartbeat is late, and
// membership has not changed for settleDelay. Whatever is divided by membership must use its
// safe value while this is false.
func (t *Table) Settled() bool {
	if t.now-t.changedAt < t.settleDelay() {
		return false
	}
	for name := range t.possiblyServing {
		if !t.isLive(name) {
			return false
		}
	}
	for _, name := range t.live {
		if p := t.peers[name]; p != nil && t.now-p.lastSeenAt > t.lateAge(t.peerTimeout(p)) {
			return false
		}
	}
	return true
}

// LowestApplied returns the lowest applied revision of the live daemons, and the daemons that
// are at it, sorted.
func (t *Table) LowestApplied() (object.Version, []string) {
	lowest, names := t.lowestApplied(), []string(nil)
	for _, name := range t.live {
		if t.applied(name) == lowest {
			names = append(names, name)
		}
	}
	return lowest, names
}

func (t *Table) lowestApplied() object.Version {
	lowest := t.ownHeartbeat.Applied
	for _, name := range t.live {
		lowest = min(lowest, t.applied(name))
	}
	return lowest
}

// Lagging returns the live daemons that have not applied a revision and the unknown daemons,
// sorted.
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

// Watermark returns the highest value that LowestApplied has had. It does not fall when a
// daemon joins. It therefore proves that a revision was in force on all live daemons at some
// time, not that it is now.
func (t *Table) Watermark() object.Version { return t.watermark }

// applied returns the revision that a daemon has applied, as it last reported.
func (t *Table) applied(name string) object.Version {
	if p := t.peers[name]; p != nil {
		return p.heartbeat.Applied
	}
	return t.ownHeartbeat.Applied
}

// Isolated reports whether this daemon reaches neither the platform nor a live daemon that
// does, so that it may miss accepted changes.
func (t *Table) Isolated() bool {
	if t.platformReachable {
		return false
	}
	for _, name := range t.live {
		if p := t.peers[name]; p != nil && p.heartbeat.Platform {
			return false
		}
	}
	return true
}

// InLargerPart reports whether the live daemons are more than half of those that the
// configuration lists, or exactly half including the first of them by name. A daemon that has
// announced that it stops and is no longer live does not count, nor does one that started in
// the outage and is therefore not listed. Without a list, the daemons that may be serving count
// instead. In an outage of the platform, at most one part of a split cluster gets true, as
// long as the lists that the parts know differ by at most one daemon.
func (t *Table) InLargerPart() bool {
	voters := t.listed
	if len(voters) == 0 {
		voters = t.possiblyServing
	}
	all, live, first := 0, 0, ""
	for name := range voters {
		switch {
		case t.isLive(name):
			live++
		case t.isLeaving(name):
			continue // it has announced that it stops
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

// score returns the rendezvous score of a daemon for a key.
func score(name, key string) uint64 {
	return rendezvous.Score(rendezvous.Hash(name), rendezvous.Hash(key), 0)
}
