package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

func targets(n int) []*fleet.Target {
	all := make([]*fleet.Target, n)
	for i := range all {
		name := fmt.Sprintf("group-%04d", i)
		all[i] = &fleet.Target{Name: name, Hash: rendezvous.Hash(name), DataCentre: "a", Limit: 8}
	}
	return all
}

func TestPickAvoidsFullTargets(t *testing.T) {
	all := targets(3)
	all[0].InFlight, all[2].InFlight = 8, 8
	require.Same(t, all[1], Pick(all, Query{DataCentre: "a"}))
	all[1].InFlight = 8
	require.Nil(t, Pick(all, Query{DataCentre: "a"}))
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
	all := targets(3)
	all[0].InFlight, all[1].PeerInFlight, all[2].ReportedInFlight = 3, 1, 2
	require.Same(t, all[1], Pick(all, Query{DataCentre: "a"}))
}

func TestPickStaysInTheDataCentreAtEqualLoad(t *testing.T) {
	all := targets(3)
	all[0].DataCentre, all[2].DataCentre = "b", "b"
	for seed := range uint64(20) {
		require.Same(t, all[1], Pick(all, Query{DataCentre: "a", Seed: seed}))
	}
}

func TestPrefixStaysWhileItsTargetIsNotOverloaded(t *testing.T) {
	all := targets(8)
	q := Query{DataCentre: "a", Prefix: 42}
	home := Pick(all, q)
	home.PeerInFlight = 2
	require.Same(t, home, Pick(all, q))
	home.PeerInFlight = 7
	require.NotSame(t, home, Pick(all, q))
}

func TestTriedTargetsComeLast(t *testing.T) {
	all := targets(2)
	require.Same(t, all[1], Pick(all, Query{DataCentre: "a", Tried: []string{all[0].Name}}))
	all[1].InFlight = 8
	require.Same(t, all[0], Pick(all, Query{DataCentre: "a", Tried: []string{all[0].Name}}))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 90, 300, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			all := targets(n)
			b.ReportAllocs()
			q := Query{DataCentre: "a", Prefix: 42}
			for b.Loop() {
				q.Seed++
				Pick(all, q)
			}
		})
	}
}
