package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testPool = Pool{Service: "llm", Model: "m0"}

// underPressure returns a controller whose pool has the greatest pressure at time zero.
func underPressure() *Controller {
	c := New()
	for range 20 {
		c.FirstEvent(0, testPool, false, true)
	}
	return c
}

// TestPressureFallsWhileObjectivesCantBeMet guards against a pressure that stays after an overload because
// all requests are late for another reason, as where hosts are slow or an objective is too short.
func TestPressureFallsWhileObjectivesCantBeMet(t *testing.T) {
	c := underPressure()
	now := time.Duration(0)
	for range 600 {
		now += 100 * time.Millisecond
		c.FirstEvent(now, testPool, false, false)
	}
	require.Zero(t, c.Pressure(now, testPool))
}

// TestLargeRequestsAreNotStarved guards against a size of request that always yields: under the greatest
// pressure, the large ones of a kind must be in time at least half as often as the whole kind.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	c := underPressure()
	inTime, of := make(map[bool]int), make(map[bool]int)
	for i := range uint64(20000) {
		large := i%10 == 0
		work := time.Second
		if large {
			work = 4 * time.Second
		}
		of[large]++
		if c.Rank(0, Request{Pool: testPool, Priority: 3, Work: work, Spread: i * 0x9e3779b97f4a7c15}) == InTime {
			inTime[large]++
		}
	}
	all := float64(inTime[true]+inTime[false]) / float64(of[true]+of[false])
	require.GreaterOrEqual(t, float64(inTime[true])/float64(of[true]), 0.5*all)
}

// TestOneCallerDoesNotSetTheWorkOfAll guards against a caller who announces an answer of any length, after
// which all other requests count as small.
func TestOneCallerDoesNotSetTheWorkOfAll(t *testing.T) {
	c := New()
	for range 100 {
		c.Rank(0, Request{Pool: testPool, Work: time.Second})
	}
	c.Rank(0, Request{Pool: testPool, Work: 1 << 62})
	require.Less(t, c.pools[testPool].meanWork, 1.5*float64(time.Second))
}

// TestOneCallerDoesNotMakeOthersLate guards against a caller who states more time than others: those were
// taken for callers that have come back, and so for late, for as long as it sent a request in half a minute.
func TestOneCallerDoesNotMakeOthersLate(t *testing.T) {
	c := New()
	now, late := time.Duration(0), 0
	for i := range 2000 {
		now += 50 * time.Millisecond
		if i%50 == 0 {
			c.Elapsed(now, "chat", time.Minute, time.Minute)
		}
		if c.Elapsed(now, "chat", time.Minute, 20*time.Second) > 0 && i > 100 {
			late++
		}
	}
	require.Zero(t, late)
}

// TestCallersThatComeBackAreKnown guards against retries that count as first attempts, also where half of all
// requests are retries and callers give somewhat different times.
func TestCallersThatComeBackAreKnown(t *testing.T) {
	c := New()
	now := time.Duration(0)
	for i := range 400 {
		now += 50 * time.Millisecond
		first := c.Elapsed(now, "chat", time.Minute, time.Duration(9+i%3)*time.Second)
		back := c.Elapsed(now, "chat", time.Minute, 7*time.Second)
		if i > 40 {
			require.Zero(t, first)
			require.InDelta(t, 4, back.Seconds(), 1.1)
		}
	}
}
