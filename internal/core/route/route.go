// Package route chooses the target of a request among those that may take it now.
//
// Load reports lag, so that the choice rests first on what this daemon itself has
// in flight and what its peers say of theirs, then on the reported rest. Requests
// that share a prompt's start go to the same target while its load stays near the
// mean, since its cache holds the prefix.
package route

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// affinitySlack is how far above the mean load, as a factor, the target that is
	// likely to hold the prefix may lie.
	affinitySlack = 1.25
	// affinityGrace is added to the mean so that affinity works at low load, in requests.
	affinityGrace = 2.0
	// remoteCost is what a target in another data centre costs, in requests in flight.
	remoteCost = 1.0
)

// Query is what the choice depends on.
type Query struct {
	Prefix     uint64 // 0 for no affinity
	Seed       uint64 // spreads equal choices over targets
	DataCentre string // of this daemon
	// Tried are targets that failed this request; they come last.
	Tried []string
	// Avoid are targets that must not be used, or nil.
	Avoid func(t *fleet.Target) bool
}

// Free reports whether a target has a place for one more request of this daemon.
func Free(t *fleet.Target) bool { return t.Free() > 0 }

// Places sums the places of a set of targets.
func Places(targets []*fleet.Target) int {
	n := 0
	for _, t := range targets {
		n += t.Limit
	}
	return n
}

// Pick returns the target to send to, or nil if none has a free place.
func Pick(targets []*fleet.Target, q Query) *fleet.Target {
	if t := pick(targets, q, q.Tried); t != nil || len(q.Tried) == 0 {
		return t
	}
	return pick(targets, q, nil)
}

func pick(targets []*fleet.Target, q Query, tried []string) *fleet.Target {
	var best, preferred *fleet.Target
	var bestCost, sum float64
	var bestTie, bestScore uint64
	for _, t := range targets {
		load := Load(t)
		sum += load
		if !Free(t) || slices.Contains(tried, t.Name) || q.Avoid != nil && q.Avoid(t) {
			continue
		}
		cost := load
		if t.DataCentre != q.DataCentre {
			cost += remoteCost
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
	if Load(preferred) <= mean*affinitySlack+affinityGrace {
		return preferred
	}
	return best
}

// Load estimates a target's requests in flight: ours exactly, peers' as last told,
// and the target's own report where it shows more than both.
func Load(t *fleet.Target) float64 {
	known := t.InFlight + t.PeerInFlight
	return float64(max(known, t.Reported))
}
