package account

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// TestMain sets the seed and the number of checks of the property tests unless the flags are
// given, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// admitEventually admits a request and waits for the slice to be renewed if that is necessary.
func admitEventually(t *testing.T, sim *simulation, td *testDaemon, tokens int64) {
	t.Helper()
	for range 40 {
		if td.admit(tokens).Decision == Admitted {
			return
		}
		sim.run(50*time.Millisecond, nil)
	}
	require.Fail(t, "not admitted")
}

// closeAll stops every daemon gracefully while the platform answers.
func (sim *simulation) closeAll(t *testing.T) {
	for _, td := range sim.daemons {
		for len(td.tickets) > 0 {
			td.settle(td.tickets[0].Reserved, object.Completed)
		}
		td.Close()
	}
	sim.run(2*time.Second, nil)
	for _, td := range sim.daemons {
		require.Zero(t, td.Pending())
	}
}

func TestAccountIsExactWithoutFailures(t *testing.T) {
	sim := newSimulation(3, &object.Contract{RequestsPerMonth: 1000, TokensPerMonth: 1 << 20}, false)
	for i := range 30 {
		td := sim.daemons[i%3]
		admitEventually(t, sim, td, 100)
		td.settle(int64(i), []object.Outcome{object.Completed, object.Unknown, object.NotRun}[i/3%3])
	}
	sim.closeAll(t)
	settled, open, uncertain := sim.sums()
	require.Equal(t, amountOf(sim.actualUsage), settled)
	require.Zero(t, open)
	require.Zero(t, uncertain)
	stored := sim.objects[Name(testCustomer, testStart)].Value.(*object.Account)
	require.EqualValues(t, 9, stored.Settled.Unknown)
	require.EqualValues(t, 9, stored.Settled.NotRun)
}

func TestAllowanceIsFullyUsable(t *testing.T) {
	for _, daemons := range []int{1, 9} {
		for _, loaded := range []int{1, daemons} {
			t.Run(fmt.Sprintf("%d of %d daemons", loaded, daemons), func(t *testing.T) {
				sim := newSimulation(daemons, &object.Contract{RequestsPerMonth: 2000}, false)
				admitted := 0
				sim.run(2*time.Minute, func() {
					for _, td := range sim.daemons[:loaded] {
						for range 4 {
							if td.admit(10).Decision == Admitted {
								admitted++
								td.settle(10, object.Completed)
							}
						}
					}
				})
				require.Equal(t, 2000, admitted)
				sim.daemons[0].admit(10)
				sim.run(time.Second, nil)
				require.Equal(t, Exhausted, sim.daemons[0].admit(10).Decision)
			})
		}
	}
}

func TestLostSliceIsNotSettledAgain(t *testing.T) {
	sim := newSimulation(2, &object.Contract{RequestsPerMonth: 100}, true)
	paused, other := sim.daemons[0], sim.daemons[1]
	admitEventually(t, sim, paused, 10)
	admitEventually(t, sim, paused, 10)
	paused.suspectedDead = true // the others consider it gone; it is paused
	sim.daemons = []*testDaemon{other}
	for range 8 {
		admitEventually(t, sim, other, 10)
		sim.run(time.Second, nil)
	}
	_, _, uncertain := sim.sums()
	require.NotZero(t, uncertain)

	sim.daemons = []*testDaemon{paused, other}
	paused.settle(10, object.Completed) // first request of the lost slice
	sim.run(2*time.Second, nil)         // the daemon reads that its slice is lost
	admitEventually(t, sim, paused, 10)
	paused.settle(10, object.Completed) // second request of the lost slice
	st := paused.accounts[Name(testCustomer, testStart)]
	require.Equal(t, amount{1, 10}, st.reserved)
	require.Zero(t, st.unsettled)
	sim.closeAll(t)
	settled, open, after := sim.sums()
	require.Equal(t, int64(9), settled.requests, "two are uncertain")
	require.Zero(t, open)
	require.Equal(t, uncertain, after)
}

func TestLostAnswersAreSettledOnce(t *testing.T) {
	sim := newSimulation(1, &object.Contract{RequestsPerMonth: 100}, true)
	td := sim.daemons[0]
	for range 20 {
		admitEventually(t, sim, td, 10)
		td.settle(10, object.Completed)
		sim.now += 1100 * time.Millisecond
		td.tick()
		for len(td.calls) > 0 {
			sim.finishCall(td, "lose")
		}
	}
	sim.closeAll(t)
	settled, _, uncertain := sim.sums()
	require.Equal(t, amountOf(sim.actualUsage), settled)
	require.Zero(t, uncertain)
}

func TestAppliedWriteAmongLostOnesIsSettled(t *testing.T) {
	for arrives := range 3 {
		sim := newSimulation(1, &object.Contract{RequestsPerMonth: 100}, true)
		td := sim.daemons[0]
		for range 8 {
			admitEventually(t, sim, td, 10)
		}
		for i := range 3 {
			td.settle(10, object.Completed)
			if i > 0 {
				td.settle(10, object.Unknown)
			}
			sim.now += 1100 * time.Millisecond
			td.tick()                    // reads
			sim.finishCall(td, "answer") // and writes
			sim.finishCall(td, "delay")
		}
		sim.apply(sim.delayed[arrives])
		for _, c := range sim.delayed {
			require.Equal(t, step.ReplyConflict, sim.apply(c).Status)
		}
		sim.closeAll(t)
		settled, open, uncertain := sim.sums()
		require.Equal(t, amountOf(sim.actualUsage), settled)
		require.Zero(t, open.plus(uncertain))
	}
}

func TestHandoffSettlesWhatALostWriteDidNot(t *testing.T) {
	sim := newSimulation(2, &object.Contract{RequestsPerMonth: 100}, true)
	td, peer := sim.daemons[0], sim.daemons[1]
	admitEventually(t, sim, td, 10)
	td.settle(10, object.Completed)
	sim.now += 1100 * time.Millisecond
	td.tick()                    // reads
	sim.finishCall(td, "answer") // and writes one request
	sim.finishCall(td, "lose")
	require.Equal(t, Admitted, td.admit(10).Decision)
	sim.leave(td, peer)
	sim.delayed = nil
	sim.run(2*time.Second, nil)
	settled, open, uncertain := sim.sums()
	require.Equal(t, amountOf(sim.actualUsage), settled)
	require.Equal(t, int64(2), settled.requests)
	require.Zero(t, open.plus(uncertain))
}

func TestUsageHandedToTwoPeersIsSettledOnce(t *testing.T) {
	sim := newSimulation(3, &object.Contract{RequestsPerMonth: 100}, true)
	td := sim.daemons[0]
	admitEventually(t, sim, td, 10)
	td.settle(10, object.Completed)
	td.Close()
	var out step.Out
	td.Handoff("", &out)
	require.Len(t, out.Effects, 1)
	for _, peer := range sim.daemons[1:] { // the answer of the first peer was lost
		peer.OnHandoff(td.name, out.Effects[0].(step.SendPeer).Message.(step.UsageHandoff), &step.Out{})
	}
	sim.daemons = sim.daemons[1:]
	sim.run(5*time.Second, nil)
	settled, open, uncertain := sim.sums()
	require.Equal(t, amountOf(sim.actualUsage), settled)
	require.Zero(t, open.plus(uncertain))
	require.Zero(t, sim.daemons[0].Pending()+sim.daemons[1].Pending())
}

func TestSingleRequestIsReservedSoon(t *testing.T) {
	sim := newSimulation(1, &object.Contract{}, false)
	sim.run(3*time.Second, nil)
	require.Equal(t, Admitted, sim.daemons[0].admit(1000).Decision)
	sim.run(200*time.Millisecond, nil)
	_, open, _ := sim.sums()
	require.True(t, open.covers(amount{1, 1000}))
}

func TestOutageRules(t *testing.T) {
	for rule, want := range map[object.OutageRule]Decision{object.OutageRefuse: Outage, object.OutageServe: Admitted} {
		sim := newSimulation(1, &object.Contract{RequestsPerMonth: 100, OutageRule: rule}, true)
		td := sim.daemons[0]
		admitEventually(t, sim, td, 10)
		spent := 1
		for range 60 { // the platform answers nothing for 3 s
			sim.now += 50 * time.Millisecond
			td.tick()
			for len(td.calls) > 0 {
				sim.finishCall(td, "unsent")
			}
			if td.admit(10).Decision == Admitted {
				spent++
			}
		}
		require.Equal(t, want, td.admit(10).Decision, rule)
		if rule == object.OutageServe {
			spent++
		}
		sim.closeAll(t)
		settled, _, _ := sim.sums()
		require.EqualValues(t, spent, settled.requests, "usage during the outage is settled after it")
	}
}

func TestRequestsCountInTheMonthThatAdmittedThem(t *testing.T) {
	sim := newSimulation(1, &object.Contract{RequestsPerMonth: 100}, false)
	td := sim.daemons[0]
	sim.now = untilMonthEnd(testStart) - time.Second
	admitEventually(t, sim, td, 10)
	sim.run(2*time.Second, nil)
	td.settle(10, object.Completed)
	sim.run(2*time.Second, nil)
	settled, open, _ := sim.sums()
	require.EqualValues(t, 1, settled.requests)
	require.Zero(t, open, "the slice of the past month is given back")
	require.Zero(t, td.Pending())
}

func TestUnboundedContractsNeverWait(t *testing.T) {
	sim := newSimulation(1, &object.Contract{}, false)
	for range 100 {
		require.Equal(t, Admitted, sim.daemons[0].admit(1000).Decision)
	}
	sim.run(time.Second, nil)
	_, open, _ := sim.sums()
	require.GreaterOrEqual(t, open.requests, int64(100), "requests in flight are reserved")
}

// TestWritesStayWithinTheBound counts the platform calls for ten customers and nine daemons.
func TestWritesStayWithinTheBound(t *testing.T) {
	sim := newSimulation(9, &object.Contract{TokensPerMonth: 1 << 40}, false)
	sim.load(10, 4, time.Minute)
	perSecond := float64(sim.writes) / sim.now.Seconds()
	t.Logf("%.1f writes and %.1f reads a second; %d of %d requests deferred", perSecond, float64(sim.reads)/sim.now.Seconds(), sim.deferred, sim.offered)
	require.LessOrEqual(t, perSecond, 50.0)
	require.Less(t, float64(sim.deferred), 0.01*float64(sim.offered))
}

// load sends one request of 400 tokens for each customer to each daemon, once in intervalTicks
// ticks, for the time d.
func (sim *simulation) load(customers, intervalTicks int, d time.Duration) {
	ticks := 0
	sim.run(d, func() {
		if ticks++; ticks%intervalTicks != 0 {
			return
		}
		for _, td := range sim.daemons {
			for c := range customers {
				sim.offered++
				if td.admitFor(fmt.Sprintf("c%d", c), 400).Decision != Admitted {
					sim.deferred++
					continue
				}
				td.settle(350, object.Completed)
			}
		}
	})
}

func BenchmarkAdmitSettle(b *testing.B) {
	for _, customers := range []int{10, 1000} {
		b.Run(fmt.Sprintf("%d customers", customers), func(b *testing.B) {
			sim := newSimulation(1, &object.Contract{TokensPerMonth: 1 << 50}, false)
			m := sim.daemons[0].Manager
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%d", i)
				st := m.account(Name(names[i], testStart))
				st.granted = amount{1 << 50, 1 << 50}
			}
			now := step.Time{Unix: testStart}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				v := m.Admit(now, names[i%customers], sim.contract, 400)
				m.Settle(now, Used{Ticket: v.Ticket, Reserved: 400, Tokens: 300, Outcome: object.Completed})
				i++
			}
		})
	}
}
