package quiet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeriods(t *testing.T) {
	var p Periods
	require.Zero(t, p.Left(0, "a", 1))
	p.Record(time.Second, "a", 1, 3*time.Second)
	require.Equal(t, 2*time.Second, p.Left(2*time.Second, "a", 1))
	require.Zero(t, p.Left(2*time.Second, "a", 2), "another incarnation has asked for nothing")
	require.Zero(t, p.Left(2*time.Second, "b", 1))

	p.Record(2*time.Second, "a", 1, time.Second)
	require.Equal(t, time.Second, p.Left(3*time.Second, "a", 1), "a shorter period does not end a longer one")
	require.Zero(t, p.Left(4*time.Second, "a", 1))

	p.Record(2*time.Second, "a", 2, time.Second)
	require.Equal(t, time.Second, p.Left(2*time.Second, "a", 2), "a restarted host begins anew")

	p.Record(10*time.Second, "b", 1, 1000*time.Hour)
	require.Equal(t, MaxPeriod, p.Left(10*time.Second, "b", 1))
	require.Len(t, p.byHost, 1, "periods that are over are dropped")
}
