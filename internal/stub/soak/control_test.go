package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestControlDisturbancesLast(t *testing.T) {
	for _, k := range controlCatalogue {
		for _, f := range Draw(3, time.Minute, []Kind{k.kind}) {
			require.Equal(t, k.kind, f.Kind)
			require.GreaterOrEqual(t, f.Duration, minDurations[k.kind])
			late := latenessOf(f)
			require.True(t, late >= minOrderLateness && late < maxOrderLateness)
		}
	}
}

func TestDoubleJoinIsFound(t *testing.T) {
	h := newCheckerTest()
	h.checkDoubleJoins(nil)
	require.Empty(t, h.findings)
	h.checkDoubleJoins([]string{"a joins b"})
	require.Equal(t, []string{"two groups"}, promises(h.findings))
}
