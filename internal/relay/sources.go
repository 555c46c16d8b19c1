// Package relay passes on what one daemon hears of the deployment's hosts, so that of many
// daemons in a data centre only a few watch the platform's store themselves. Each call to
// the store has its price, and each daemon would make one for each change.
//
// A daemon asks one that is ahead of it in an order that all agree on, over the data
// centre's own network, and goes on with the store when that one does not answer, or has
// not heard the store lately itself. Nothing depends on who asks whom: changes are those of
// the store, with its revisions, wherever they are heard.
package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// relayFrom is the number of daemons in a data centre from which some pass changes on.
	// Fewer cost the store little, and each one that asks another depends on it.
	relayFrom = 8
	// perSource is the number of daemons that one passes changes on to, leastSources the
	// number that share this at least, so that the loss of one is felt by a part.
	perSource    = 32
	leastSources = 2
	// standIns is the number of further daemons that are asked when those fail.
	standIns = 2
	// avoidFor is how long a daemon that failed is not asked again.
	avoidFor = 5 * time.Second
)

// Daemon is one that may pass on what it hears.
type Daemon struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"dataCentre"`
	Address    string  `json:"address"` // host:port of Handler; empty passes nothing on
	Cores      float64 `json:"cores"`   // of the processor that it may use
}

// Sources are the daemons that one daemon may ask for changes.
type Sources struct {
	self    Daemon
	order   []Daemon
	avoided map[string]time.Duration // by name, until when
}

// NewSources returns the sources of a daemon that knows no other yet.
func NewSources(self Daemon) *Sources {
	return &Sources{self: self, avoided: make(map[string]time.Duration)}
}

// SetDaemons takes up the daemons of the deployment.
func (s *Sources) SetDaemons(daemons []Daemon) {
	near := slices.DeleteFunc(slices.Clone(daemons), func(d Daemon) bool {
		return d.DataCentre != s.self.DataCentre || d.Address == "" || d.Name == s.self.Name
	})
	near = append(near, s.self)
	s.order = nil
	if len(near) < relayFrom {
		return
	}
	slices.SortFunc(near, compare)
	count := max(leastSources, len(near)/perSource)
	own := slices.IndexFunc(near, func(d Daemon) bool { return d.Name == s.self.Name })
	first, more := near[:min(own, count)], near[min(own, count):min(own, count+standIns)]
	// Those that ask are spread over the first ones; the order in which others follow is
	// theirs too, so that the loss of one does not send all that asked it to the same.
	first = slices.Clone(first)
	me := rendezvous.Hash(s.self.Name)
	slices.SortFunc(first, func(a, b Daemon) int {
		return cmp.Compare(rendezvous.Score(rendezvous.Hash(b.Name), me, 0), rendezvous.Score(rendezvous.Hash(a.Name), me, 0))
	})
	s.order = append(first, more...)
}

// compare orders the daemons of a data centre: nobody asks one that comes after it, so that
// no two ask each other. Daemons with more of a processor come first.
func compare(a, b Daemon) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvous.Hash(a.Name), rendezvous.Hash(b.Name)), strings.Compare(a.Name, b.Name))
}

// Pick returns the daemon to ask now, if there is one.
func (s *Sources) Pick(now time.Duration) (Daemon, bool) {
	for _, d := range s.order {
		if now >= s.avoided[d.Name] {
			return d, true
		}
	}
	return Daemon{}, false
}

// Avoid keeps a daemon that failed from being asked for a while.
func (s *Sources) Avoid(now time.Duration, name string) { s.avoided[name] = now + avoidFor }
