package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReplacementsUpgradeAllAndRollSomeBack(t *testing.T) {
	const length = 40 * time.Second
	for _, daemons := range []int{1, 2, 4, 18, MaxDaemons} {
		for seed := range uint64(20) {
			all := drawReplacements(seed, length, daemons)
			require.Equal(t, all, drawReplacements(seed, length, daemons))
			require.True(t, slices.IsSortedFunc(all, func(a, b replacement) int { return int(a.at - b.at) }))
			former := make([]bool, daemons) // all run the former build at first
			for i := range former {
				former[i] = true
			}
			rolledBack, firstUpgrades, late := 0, 0, 0
			for _, p := range all {
				require.Less(t, p.at, length)
				require.NotEqual(t, former[p.daemon], p.former, "each replacement changes the build")
				former[p.daemon] = p.former
				switch {
				case p.former:
					rolledBack++
				case p.at < length/2:
					firstUpgrades++
				}
				if p.at >= length/2 && !slices.ContainsFunc(all, func(o replacement) bool { return o.daemon == p.daemon && o.at < p.at }) {
					late++
				}
			}
			require.NotContains(t, former, true, "all run the new build at last")
			require.Equal(t, daemons, firstUpgrades+late)
			require.Positive(t, late, "some run the former build for most of the run")
			if daemons > 1 {
				require.Positive(t, rolledBack)
			}
		}
	}
}
