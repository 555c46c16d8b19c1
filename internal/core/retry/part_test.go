package retry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPartsAddUpToTheSlack deals slack to daemons of which more and more are known.
func TestPartsAddUpToTheSlack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slack := float64(rapid.IntRange(0, 4000).Draw(rt, "slack")) / 8
		n := rapid.IntRange(1, 200).Draw(rt, "daemons")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("daemon", i))
		}
		total := 0.0
		for _, name := range names {
			part := Part(slack, names, name, "service")
			total += part
			require.LessOrEqual(rt, part, Part(slack, names[:(n+1)/2], name, "service"), "no part grows with the daemons")
		}
		require.InDelta(rt, float64(int(slack)), total, 1e-9, "nothing is lost but the fraction")
	})
}
