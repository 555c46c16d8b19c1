package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSmallDomainsFollowShares deals new domains to models of several sizes and shares. Some
// domains are too small for two groups of the larger model beside a spare, so that groups of
// the other one fill them. Both models must get about the hosts of their share.
func TestSmallDomainsFollowShares(t *testing.T) {
	for _, c := range []struct {
		domains, perDomain int
		sizes              [2]int
		share              float64 // of the first model
		least              [2]int  // hosts that the models must have
	}{
		{6, 8, [2]int{4, 2}, 0.67, [2]int{24, 12}},
		{9, 19, [2]int{8, 4}, 0.67, [2]int{80, 32}},
		{6, 9, [2]int{4, 3}, 0.57, [2]int{24, 12}},
		{6, 37, [2]int{16, 4}, 0.5, [2]int{96, 96}},
		{2, 20, [2]int{8, 2}, 0.6, [2]int{16, 8}},
		{15, 73, [2]int{32, 8}, 0.5, [2]int{448, 448}},
	} {
		w := newSimulation(c.domains, c.perDomain, 0)
		for i, share := range []float64{c.share, 1 - c.share} {
			w.engine.Models[i].GroupSize, w.engine.Models[i].Share = c.sizes[i], share
		}
		w.engine.MaxLoadsPerSecond, w.engine.MaxConcurrentLoads = 25, 37
		w.addPool()
		w.pools[0].TakeControl(0, 1<<20, nil, 0)
		w.pools[0].SetInitialDeployment(true)
		w.run(12 * time.Second)
		hosts := [2]int{c.sizes[0] * w.open("m0"), c.sizes[1] * w.open("m1")}
		t.Log(c.domains, c.perDomain, c.sizes, c.share, hosts)
		require.GreaterOrEqual(t, hosts[0], c.least[0], "%+v", c)
		require.GreaterOrEqual(t, hosts[1], c.least[1], "%+v", c)
		require.Empty(t, w.violations)
	}
}
