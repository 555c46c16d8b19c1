// Package route chooses the target of a request among the candidates that have a free slot.
//
// Reports of the targets about their load lag behind. So the choice uses the number of
// requests that this daemon has in flight plus the numbers that its peers announce, and the
// reported number only if that is larger. Requests with the same prompt prefix go to the same
// target while its load stays near the mean, because that target probably has the prefix in
// its cache.
package route

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// affinityLoadFactor times the mean load, plus affinityLoadMargin, is the highest load at
	// which the target that probably has the prefix in its cache is preferred. Above it, the
	// request goes to the least loaded target.
	affinityLoadFactor = 1.25
	// affinityLoadMargin, in requests in flight, lets prefix affinity work at low load too.
	affinityLoadMargin = 2.0
	// remoteTargetCost is added to the load of a target in another data centre when targets are
	// compared, in requests in flight.
	remoteTargetCost = 1.0
)

// Query describes the request for which a target is chosen.
type Query struct {
	Prefix     uint64 // hash of the prompt prefix, 0 for no affinity
	Seed       uint64 // varies the choice among equally loaded targets
	DataCentre string // data centre of this daemon
	// Tried names the targets that failed this request. They are chosen only if no other target
	// has a free slot.
	Tried []string
	// Exclude reports whether a target must not be used. It may be nil.
	Exclude func(t *fleet.Target) bool
}

// HasFreeSlot reports whether this daemon may send one more request to the target.
func HasFreeSlot(t *fleet.Target) bool { return t.Free() > 0 }

// TotalSlots returns the number of requests that this daemon may have in flight at the targets
// together, free or not.
func TotalSlots(targets []*fleet.Target) int {
	n := 0
	for _, t := range targets {
		n += t.Limit
	}
	return n
}

// Pick returns the target to send the request to, or nil if no target that may be used has a
// free slot.
func Pick(targets []*fleet.Target, q Query) *fleet.Target {
	if t := pick(targets, q, q.Tried); t != nil || len(q.Tried) == 0 {
		return t
	}
	return pick(targets, q, nil)
}

// pick chooses among the targets with a free slot that are neither tried nor excluded. It
// returns the target that the prefix hashes to if its load is low enough, or else the least
// loaded one.
func pick(targets []*fleet.Target, q Query, tried []string) *fleet.Target {
	var best, preferred *fleet.Target
	var bestCost, sum float64
	var bestTie, bestScore uint64
	for _, t := range targets {
		load := Load(t)
		sum += load
		if !HasFreeSlot(t) || slices.Contains(tried, t.Name) || q.Exclude != nil && q.Exclude(t) {
			continue
		}
		cost := load
		if t.DataCentre != q.DataCentre {
			cost += remoteTargetCost
		}
		tie := rendezvous.Mix(t.Hash ^ q.Seed)
		if best == nil || cost < bestCost || cost == bestCost && tie < bestTie {
			best, bestCost, bestTie = t, cost, tie
		}
		if score := rendezvous.Mix(t.Hash ^ q.Prefix); preferred == nil || score > bestScore {
			preferred, bestScore = t, score
		}
	}
	if preferred == nil || q.Prefix == 0 {
		return best
	}
	mean := sum / float64(len(targets))
	if Load(preferred) <= mean*affinityLoadFactor+affinityLoadMargin {
		return preferred
	}
	return best
}

// Load estimates the number of requests in flight at a target: this daemon's exact number plus
// the peers' last announced numbers, or the target's reported number if that is larger.
func Load(t *fleet.Target) float64 {
	known := t.InFlight + t.PeerInFlight
	return float64(max(known, t.ReportedInFlight))
}
