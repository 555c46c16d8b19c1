package retry

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

// Part returns the part of a service's slack that one of several daemons gets. It is a whole number, since the rest of
// one allows no retry: the whole retries are dealt to the daemons in turn, in an order that differs between services.
// With more daemons no part becomes larger.
func Part(slack float64, daemons []string, self, service string) float64 {
	rank, count := 0, len(daemons)
	if !slices.Contains(daemons, self) {
		count++
	}
	order := func(daemon string) uint64 {
		return rendezvous.Mix(rendezvous.Hash(daemon) ^ rendezvous.Hash(service))
	}
	own := order(self)
	for _, d := range daemons {
		if d != self && order(d) < own {
			rank++
		}
	}
	return float64(max(0, int(slack)-rank+count-1) / count)
}
