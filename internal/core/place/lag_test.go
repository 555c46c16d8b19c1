package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLagFollowsWhatIsSeen lets requests begin later than estimated, then as estimated, and
// then none at all: the lag of their model follows, and no other model's does.
func TestLagFollowsWhatIsSeen(t *testing.T) {
	b := bookOf()
	const estimate = 50 * time.Millisecond
	require.InDelta(t, 1, b.Lag(0, "llm", "m0"), 0)
	for range 30 {
		b.Took(0, "llm", "m0", 5*estimate, estimate)
	}
	require.InDelta(t, 5, b.Lag(0, "llm", "m0"), 0.1)
	require.InDelta(t, 1, b.Lag(0, "llm", "m1"), 0)
	require.InDelta(t, 3, b.Lag(lagHalf, "llm", "m0"), 0.1)
	for range 30 {
		b.Took(lagHalf, "llm", "m0", estimate/2, estimate)
	}
	require.InDelta(t, 1, b.Lag(lagHalf, "llm", "m0"), 0.1)
	for range 1000 {
		b.Took(lagHalf, "llm", "m0", time.Minute, estimate)
	}
	require.InDelta(t, lagMost, b.Lag(lagHalf, "llm", "m0"), 0.01)
	b.Took(lagHalf, "llm", "m0", time.Minute, 0)
}
