// Command claims compares ways of claiming idempotency keys in one run: the platform writes
// for each call and the latency that a claim adds, at several rates over eight daemons. The
// added latency is the difference to idempotent calls at the same rate, which need no claim.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/claim"
	"github.com/rhubarbswitch/rhubarbswitch/internal/daemon"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/test/measure/lab"
)

const (
	daemons  = 8
	services = 3 // targets of the service
	// platformDelay is the delay that the platform adds to each answer.
	platformDelay = 3 * time.Millisecond
	// keyedDuration is how long keyed calls are sent at each rate. Idempotent calls are sent for
	// half of it.
	keyedDuration = 8 * time.Second
	// seed is the seed of the arrivals.
	seed = 1
)

// method is one way of claiming keys.
type method struct {
	name   string
	option daemon.Option // changes the daemon's claim settings
}

func main() {
	ways := []method{
		{"one object a key", func(s *core.Settings) {
			s.Claims.Naming, s.Claims.ForwardToOwner, s.Claims.WriteInterval, s.Claims.OutcomeDelay = claim.PerKey, false, 0, 0
		}},
		{"shards, each daemon writes", func(s *core.Settings) { s.Claims.ForwardToOwner = false }},
		{"shards, the owner writes, no pace", func(s *core.Settings) { s.Claims.WriteInterval, s.Claims.OutcomeDelay = 0, 0 }},
		{"shards, the owner writes, paced", func(*core.Settings) {}},
	}
	fmt.Println("| way | calls/s | writes/call | writes/s | conflicts/call | not claimed | added p50 ms | added p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, w := range ways {
		for _, rate := range []float64{50, 500, 2000} {
			if err := measure(w, rate); err != nil {
				fmt.Fprintln(os.Stderr, w.name, rate, err)
				os.Exit(1)
			}
		}
	}
}

// measure sends idempotent and then keyed calls at a rate through new daemons, and prints a
// row of the table.
func measure(w method, rate float64) error {
	l, err := lab.New(platformDelay)
	if err != nil {
		return err
	}
	defer l.Close()
	if err := l.AddServices(services, 0); err != nil {
		return err
	}
	if err := l.AddDaemons(daemons, w.option); err != nil {
		return err
	}
	o := load.Options{
		Addresses: l.Callers, CallerKey: lab.CallerKey, Kind: load.Lookups, Service: lab.Service,
		Rate: rate, Duration: keyedDuration / 2, Deadline: 5 * time.Second, MaxInFlight: 4096, Prompts: 1, Seed: seed,
	}
	base, _, err := load.Run(context.Background(), o)
	if err != nil {
		return err
	}
	before := l.Platform.Stats()
	o.Kind, o.Duration = load.Keyed, keyedDuration
	keyed, _, err := load.Run(context.Background(), o)
	if err != nil {
		return err
	}
	// Daemons record the outcomes after they have answered.
	time.Sleep(time.Second)
	after := l.Platform.Stats()
	kind := string(object.KindClaim)
	writes := float64(after.WritesByKind[kind] - before.WritesByKind[kind])
	calls := float64(keyed.Sent)
	fmt.Printf("| %s | %.0f | %.2f | %.0f | %.2f | %.1f%% | %.1f | %.1f |\n", w.name, rate,
		writes/calls, writes/keyedDuration.Seconds(), float64(after.Conflicts-before.Conflicts)/calls,
		100*(1-float64(keyed.Completed)/calls),
		millis(keyed.Latency.P50-base.Latency.P50), millis(keyed.Latency.P99-base.Latency.P99))
	return nil
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
