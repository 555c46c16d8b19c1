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

// TestMain fixes the seed of the property tests unless -rapid.seed is given, so that results are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

const testCustomer = "ropes"

// cluster is a number of managers that announce their demands to each other once a second.
type cluster struct {
	managers []*Manager
	now      time.Duration
	inFlight []testRequest
}

// testRequest is an admitted request and the time at which it ends.
type testRequest struct {
	m   *Manager
	end time.Duration
}

// Live and Interval implement Members.
func (c *cluster) Live() int             { return max(len(c.managers), 1) }
func (*cluster) Interval() time.Duration { return time.Second }

func newCluster(n int) *cluster {
	c := &cluster{}
	for range n {
		c.managers = append(c.managers, New(c))
	}
	return c
}

// run sends perTick requests per tick, for the time d, to each of the first loaded daemons. An
// admitted request is in flight for requestDuration. It returns how many were admitted and the
// largest number in flight at the same time.
func (c *cluster) run(d time.Duration, contract *object.Contract, loaded, perTick int, tokens int64, requestDuration time.Duration) (admitted, maxInFlight int) {
	for end := c.now + d; c.now < end; c.now += 50 * time.Millisecond {
		now := step.Time{Mono: c.now}
		for len(c.inFlight) > 0 && c.inFlight[0].end <= c.now {
			c.inFlight[0].m.Done(testCustomer, tokens, tokens)
			c.inFlight = c.inFlight[1:]
		}
		for i, m := range c.managers {
			m.Tick(now)
			for j, other := range c.managers {
				if i != j && c.now%time.Second == 0 {
					other.SetPeerDemands(fmt.Sprint(i), m.Demands())
				}
			}
		}
		for _, m := range c.managers[:loaded] {
			for range perTick {
				if m.Admit(now, testCustomer, contract, tokens).Message == "" {
					admitted++
					c.inFlight = append(c.inFlight, testRequest{m, c.now + requestDuration})
				}
			}
		}
		maxInFlight = max(maxInFlight, len(c.inFlight))
	}
	return admitted, maxInFlight
}

func TestFullRateIsReachedHoweverLoadIsSpread(t *testing.T) {
	contract := &object.Contract{RequestsPerSecond: 40, TokensPerSecond: 4000}
	for _, loaded := range []int{1, 3, 9} {
		c := newCluster(9)
		c.run(10*time.Second, contract, loaded, 20, 100, 0) // until the shares are stable
		admitted, _ := c.run(30*time.Second, contract, loaded, 20, 100, 0)
		require.InDelta(t, 1200, admitted, 60, "%d loaded", loaded)
	}
}

func TestBurstIsBounded(t *testing.T) {
	c := newCluster(9)
	contract := &object.Contract{RequestsPerSecond: 45}
	admitted, _ := c.run(time.Second, contract, 9, 20, 1, 0)
	require.LessOrEqual(t, admitted, 2*45, "one second of the limit and a full bucket")
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
	require.Empty(t, m.Admit(step.Time{}, testCustomer, contract, 1000).Message)
	refusal := m.Admit(step.Time{Mono: time.Second}, testCustomer, contract, 1)
	require.Contains(t, refusal.Message, "10 tokens a second")
	require.Equal(t, maxRetryAfter, refusal.RetryAfter)
	m.Done(testCustomer, 1000, 5)
	require.Empty(t, m.Admit(step.Time{Mono: 2 * time.Second}, testCustomer, contract, 1).Message)
}

// TestSharesNeverExceedTheLimit draws demands that are known to all daemons, and checks that the
// shares of all daemons add up to the limit at most.
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
