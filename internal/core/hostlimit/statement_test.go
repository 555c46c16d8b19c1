package hostlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func stated(perSecond float64, asOf time.Duration) Statement {
	return Statement{Host: "a", Incarnation: 1, PerSecond: perSecond, AsOf: asOf}
}

func TestLimitBeginsChangesAndEnds(t *testing.T) {
	l := New("d0")
	for i, c := range []struct {
		perSecond float64
		want      Change
		before    float64
	}{{0, Unchanged, 0}, {5, Began, 0}, {5, Unchanged, 5}, {3, Altered, 5}, {8, Altered, 3}, {0, Ended, 8}, {0, Unchanged, 0}, {2, Began, 0}} {
		change, before := l.Record(time.Second, stated(c.perSecond, time.Duration(i)), true)
		require.Equal(t, c.want, change, "%d", i)
		require.Equal(t, c.before, before, "%d", i)
		require.Equal(t, c.perSecond, l.Host("a", 1).Limit(), "%d", i)
	}
	require.Equal(t, 1, l.InForce())
}

// TestAnswersThatOvertakeEachOther lets answers to older requests arrive last.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	l := New("d0")
	l.Record(100*ms, stated(5, 50*ms), true)
	change, _ := l.Record(200*ms, stated(0, 40*ms), true)
	require.Equal(t, Unchanged, change, "it was sent before")
	l.Record(300*ms, stated(0, 250*ms), true)
	change, _ = l.Record(400*ms, stated(5, 240*ms), true)
	require.Equal(t, Unchanged, change, "it was sent before the end")
	require.Zero(t, l.InForce())
}

func TestRestartedHostHasNamedNothing(t *testing.T) {
	l := New("d0")
	l.Record(0, stated(5, 1), true)
	require.Nil(t, l.Host("a", 2))
	newer := stated(3, 2)
	newer.Incarnation = 2
	change, _ := l.Record(0, newer, true)
	require.Equal(t, Began, change)
	change, _ = l.Record(0, stated(0, 3), true)
	require.Equal(t, Unchanged, change, "of the run before")
	require.Equal(t, 3.0, l.Host("a", 2).Limit())
}

// TestReportsWithoutLimitEndOnlyThoseThatReportsNamed lets a host answer report requests with and without
// its limit.
func TestReportsWithoutLimitEndOnlyThoseThatReportsNamed(t *testing.T) {
	for _, inReports := range []bool{true, false} {
		l := New("d0")
		l.Record(0, stated(5, 1), true)
		report := stated(5, 2)
		report.InReport = true
		if inReports {
			l.Record(0, report, true)
		}
		report.PerSecond, report.AsOf = 0, 3
		change, _ := l.Record(0, report, true)
		require.Equal(t, inReports, change == Ended)
		change, _ = l.Record(0, stated(0, 4), true)
		require.Equal(t, inReports, change != Ended, "an answer ends any")
	}
}
