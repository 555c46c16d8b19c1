// Package relay distributes changes in the platform's store among the gateway daemons, so that
// only a few of many daemons watch the store. Each call to the store has a cost, and without a
// relay every daemon would make one for every change.
//
// A daemon queries one that ranks above it (Sources), of its own data centre if that has enough
// of them. All daemons compute the same ranking, so queries form no cycle. A daemon that watches
// the store keeps the latest changes for others (Feed). If the queried daemon does not answer,
// or its own data is stale, the daemon goes back to the store.
//
// Correctness does not depend on who queries whom: the changes and revisions are always those
// of the store, whichever way they arrive.
//
// The package also has the notification by which a daemon reports a suspected engine to
// another one, and the exchange of evidence on crashes (Notifier).
package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// minDaemonsToRelay is the number of daemons in a data centre from which on changes are
	// relayed there. Fewer daemons cost the store little, and a daemon that queries another one
	// depends on it.
	minDaemonsToRelay = 8
	// minDaemonsToRelayFar is the number of daemons of a deployment from which on those of a
	// smaller data centre query daemons of others. Such a query also depends on the links
	// between data centres.
	minDaemonsToRelayFar = 16
	// The primary sources are the highest-ranking daemons, which the others query first. There
	// is one for every daemonsPerSource daemons of a data centre, and at least minSources, so
	// that the loss of one affects only part of the others.
	daemonsPerSource = 32
	minSources       = 2
	// fallbackSources is the number of further daemons that are queried when the primary
	// sources fail.
	fallbackSources = 2
	// sourceRetryDelay is how long a daemon that failed is not queried again.
	sourceRetryDelay = 5 * time.Second
)

// Daemon is a daemon that may relay changes to others, as it registers in the store.
type Daemon struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"dataCentre"`
	Address    string  `json:"address"` // host:port for queries of other daemons; empty if it relays nothing
	Cores      float64 `json:"cores"`   // CPU cores that it may use
}

// Sources chooses which other daemon to query for changes. It is not safe for concurrent use.
type Sources struct {
	self         Daemon
	candidates   []Daemon                 // in order of preference; empty means the store
	avoidedUntil map[string]time.Duration // by name of a daemon that failed
}

// NewSources returns the sources of a daemon that knows no other daemon yet.
func NewSources(self Daemon) *Sources {
	return &Sources{self: self, avoidedUntil: make(map[string]time.Duration)}
}

// SetDaemons sets the daemons of the deployment and recomputes the candidates, which all rank
// above this daemon. The daemon with the highest rank has none.
func (s *Sources) SetDaemons(daemons []Daemon) {
	others := slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool { return d.Address == "" || d.Name == s.self.Name })
	nearby := slices.DeleteFunc(slices.Clone(others), func(d Daemon) bool { return d.DataCentre != s.self.DataCentre })
	least := minDaemonsToRelay
	if len(nearby)+1 < minDaemonsToRelay {
		nearby, least = others, minDaemonsToRelayFar
	}
	nearby = append(nearby, s.self)
	s.candidates = nil
	if len(nearby) < least {
		return
	}
	slices.SortFunc(nearby, compareRank)
	count := max(minSources, len(nearby)/daemonsPerSource)
	ownRank := slices.IndexFunc(nearby, func(d Daemon) bool { return d.Name == s.self.Name })
	primary, fallback := nearby[:min(ownRank, count)], nearby[min(ownRank, count):min(ownRank, count+fallbackSources)]
	// The queries are spread over the primary sources by a hash of the daemon's name. The
	// order of the other primary sources also differs between daemons, so that the loss of a
	// source does not move all its queries to one other.
	primary = slices.Clone(primary)
	ownHash := rendezvous.Hash(s.self.Name)
	slices.SortFunc(primary, func(a, b Daemon) int {
		return cmp.Compare(rendezvous.Score(rendezvous.Hash(b.Name), ownHash, 0), rendezvous.Score(rendezvous.Hash(a.Name), ownHash, 0))
	})
	s.candidates = append(primary, fallback...)
}

// compareRank ranks the daemons of a data centre. A daemon queries only those that rank above
// it, so no two query each other. Daemons with more CPU cores rank higher.
func compareRank(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvous.Hash(a.Name), rendezvous.Hash(b.Name)), strings.Compare(a.Name, b.Name))
}

// Pick returns the daemon to query now. It returns false if the store must be used.
func (s *Sources) Pick(now time.Duration) (Daemon, bool) {
	for _, d := range s.candidates {
		if now >= s.avoidedUntil[d.Name] {
			return d, true
		}
	}
	return Daemon{}, false
}

// Avoid excludes a daemon that failed for sourceRetryDelay.
func (s *Sources) Avoid(now time.Duration, name string) {
	s.avoidedUntil[name] = now + sourceRetryDelay
}
