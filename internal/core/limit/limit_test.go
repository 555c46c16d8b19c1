package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// TestMain fixes the draw of the properties, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

const customerName = "ropes"

// cluster is several managers that tell each other their demand once a second.
type cluster struct {
	managers []*Manager
	now      time.Duration
	flights  []flight
}

type flight struct {
	m   *Manager
	end time.Duration
}

// Live and Interval make the cluster the membership.
func (c *cluster) Live() int             { return max(len(c.managers), 1) }
func (*cluster) Interval() time.Duration { return time.Second }

func newCluster(n int) *cluster {
	c := &cluster{}
	for range n {
		c.managers = append(c.managers, New(c))
	}
	return c
}

// run offers requests to the loaded daemons in each of the ticks and returns how many
// were admitted and the most in flight at once.
func (c *cluster) run(d time.Duration, contract *object.Contract, loaded, perTick int, tokens int64, hold time.Duration) (admitted, most int) {
	for end := c.now + d; c.now < end; c.now += 50 * time.Millisecond {
		now := step.Time{Mono: c.now}
		for len(c.flights) > 0 && c.flights[0].end <= c.now {
			c.flights[0].m.Done(customerName, tokens, tokens)
			c.flights = c.flights[1:]
		}
		for i, m := range c.managers {
			m.Tick(now)
			for j, other := range c.managers {
				if i != j && c.now%time.Second == 0 {
					other.Heard(fmt.Sprint(i), m.Demands())
				}
			}
		}
		for _, m := range c.managers[:loaded] {
			for range perTick {
				if m.Admit(now, customerName, contract, tokens).Message == "" {
					admitted++
					c.flights = append(c.flights, flight{m, c.now + hold})
				}
			}
		}
		most = max(most, len(c.flights))
	}
	return admitted, most
}

func TestFullRateIsReachedHoweverLoadIsSpread(t *testing.T) {
	contract := &object.Contract{RequestsPerSecond: 40, TokensPerSecond: 4000}
	for _, loaded := range []int{1, 3, 9} {
		c := newCluster(9)
		c.run(10*time.Second, contract, loaded, 20, 100, 0) // shares settle
		admitted, _ := c.run(30*time.Second, contract, loaded, 20, 100, 0)
		require.InDelta(t, 1200, admitted, 60, "%d loaded", loaded)
	}
}

func TestBurstIsBounded(t *testing.T) {
	c := newCluster(9)
	contract := &object.Contract{RequestsPerSecond: 45}
	admitted, _ := c.run(time.Second, contract, 9, 20, 1, 0)
	require.LessOrEqual(t, admitted, 2*45, "a second of the limit beside a full bucket")
}

func TestConcurrencyIsShared(t *testing.T) {
	for _, loaded := range []int{1, 9} {
		c := newCluster(9)
		contract := &object.Contract{Concurrency: 30}
		c.run(20*time.Second, contract, loaded, 5, 1, 900*time.Millisecond)
		admitted, most := c.run(20*time.Second, contract, loaded, 5, 1, 900*time.Millisecond)
		require.LessOrEqual(t, most, 30+9)
		require.Greater(t, admitted, 20*24, "most of the slots are used, %d loaded", loaded)
	}
}

func TestLargeRequestIsPaidForAfterwards(t *testing.T) {
	m := New(&cluster{})
	contract := &object.Contract{TokensPerSecond: 10}
	require.Empty(t, m.Admit(step.Time{}, customerName, contract, 1000).Message)
	refusal := m.Admit(step.Time{Mono: time.Second}, customerName, contract, 1)
	require.Contains(t, refusal.Message, "10 tokens a second")
	require.Equal(t, longestWait, refusal.RetryAfter)
	m.Done(customerName, 1000, 5)
	require.Empty(t, m.Admit(step.Time{Mono: 2 * time.Second}, customerName, contract, 1).Message)
}

// TestSharesNeverExceedTheLimit draws demands that all daemons know of.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 40).Draw(t, "demands")
		limit := rapid.Float64Range(0.01, 1e6).Draw(t, "limit")
		all := 0.0
		for _, d := range demands {
			all += d
		}
		sum := 0.0
		for _, d := range demands {
			sum += share(limit, d, all-d, len(demands))
		}
		if sum > limit*(1+1e-9) {
			t.Fatalf("shares sum to %g of %g", sum, limit)
		}
	})
}

func BenchmarkAdmitDone(b *testing.B) {
	for _, customers := range []int{10, 1000} {
		b.Run(fmt.Sprintf("%d customers", customers), func(b *testing.B) {
			m := New(newCluster(9))
			contract := &object.Contract{RequestsPerSecond: 1e12, TokensPerSecond: 1e12, Concurrency: 1 << 40}
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%d", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				name := names[i%customers]
				m.Admit(step.Time{}, name, contract, 400)
				m.Done(name, 400, 300)
				i++
			}
		})
	}
}
