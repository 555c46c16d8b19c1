package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FullMeshMost is the number of daemons up to which each links to all others.
	FullMeshMost = 16
	// ringLinks and hashLinks are the links that a daemon dials in a larger cluster;
	// with those dialled to it, it has twice as many on average.
	ringLinks = 1
	hashLinks = 3
)

// choose returns the daemons to which self dials. Up to FullMeshMost it is everyone.
// Beyond, it is the next on a ring ordered by hash, which keeps the graph connected
// while all live, and a few by rendezvous hash, which keep paths short and the graph
// connected when some die. Every daemon makes the same choice from the same names.
func choose(self string, names []string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == self })
	slices.Sort(others)
	others = slices.Compact(others)
	if len(others) < FullMeshMost {
		return others
	}
	chosen := make([]string, 0, ringLinks+hashLinks)
	byRing := sortBy(others, func(n string) uint64 { return xxhash.Sum64String(n) - xxhash.Sum64String(self) })
	chosen = append(chosen, byRing[:ringLinks]...)
	byScore := sortBy(others, func(n string) uint64 { return xxhash.Sum64String(self + "\x00" + n) })
	for _, n := range byScore {
		if len(chosen) == ringLinks+hashLinks {
			break
		}
		if !slices.Contains(chosen, n) {
			chosen = append(chosen, n)
		}
	}
	slices.Sort(chosen)
	return chosen
}

func sortBy(names []string, score func(string) uint64) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
	return sorted
}
