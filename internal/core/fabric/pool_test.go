package fabric

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

func started(t testing.TB, domains int) *world {
	w := newWorld(domains, 9, 1)
	w.pools[0].Take(0, 1<<20, nil, 0)
	w.pools[0].SetFresh(true)
	w.run(8 * time.Second)
	w.pools[0].SetFresh(false)
	require.NotZero(t, w.open("m0"))
	require.NotZero(t, w.open("m1"))
	require.Empty(t, w.broken)
	return w
}

// member returns a host of an open group of a model, its head or not.
func (w *world) member(model string, head bool) string {
	for _, id := range w.ids {
		f := w.engines[id]
		if f.up && f.member.Phase == site.Open && f.model == model && f.stillFrom == 0 {
			if head {
				return id
			}
			return f.list[1]
		}
	}
	return ""
}

func TestGroupsFormBeforeTraffic(t *testing.T) {
	w := started(t, 6)
	hosts := map[string]int{"m0": 4 * w.open("m0"), "m1": 3 * w.open("m1")}
	require.InDelta(t, 0.57, float64(hosts["m0"])/float64(hosts["m0"]+hosts["m1"]), 0.15, "hosts follow the models' shares")
	require.GreaterOrEqual(t, hosts["m0"]+hosts["m1"], 42, "seven hosts of nine serve")
	for _, id := range w.ids {
		if f := w.engines[id]; f.member.Phase == site.Absent {
			require.NotEmpty(t, f.staged, "a spare has weights at hand")
		}
	}
}

// largeGroups is a world of eight domains in which one model's groups take almost half of
// a domain each.
func largeGroups() *world {
	w := newWorld(8, 37, 0)
	w.engine.Models[0].Size, w.engine.Models[0].Share = 16, 0.5
	w.engine.Models[1].Size, w.engine.Models[1].Share = 4, 0.5
	w.engine.LoadsPerSecond, w.engine.LoadsAtOnce = 25, 37
	w.addPool()
	w.pools[0].Take(0, 1<<20, nil, 0)
	w.pools[0].SetFresh(true)
	w.run(10 * time.Second)
	w.pools[0].SetFresh(false)
	return w
}

// TestLargeGroupsGetTheirShare deals new domains over a model of large groups and one of
// small ones: both get the hosts of their share.
func TestLargeGroupsGetTheirShare(t *testing.T) {
	w := largeGroups()
	require.Equal(t, 8, w.open("m0"), "two in each of four domains")
	require.GreaterOrEqual(t, w.open("m1"), 32)
	require.Empty(t, w.broken)
}

// TestSparesOfLargeGroups keeps the hosts beside two large groups as spares with their
// weights, instead of a small group of the other model, so that losses in a row are
// repaired without a load.
func TestSparesOfLargeGroups(t *testing.T) {
	w := largeGroups()
	for range 3 {
		w.crash(w.member("m0", false))
		w.run(5 * time.Second)
		require.Equal(t, 8, w.open("m0"))
	}
	require.Empty(t, w.broken)
}

// TestSuspicionShortensALoss tells of a head that brings nothing shortly after one of its
// members was lost. With 296 hosts the members' reports alone would take two seconds more.
func TestSuspicionShortensALoss(t *testing.T) {
	w := largeGroups()
	require.True(t, w.pools[0].WantsSuspects())
	lost := w.member("m0", false)
	head := w.engines[lost].list[0]
	w.crash(lost)
	w.run(400 * time.Millisecond)
	w.pools[0].Suspect(head)
	w.run(time.Second)
	require.NotEqual(t, site.Open, w.engines[head].member.Phase, "closed within a second")
	w.run(2500 * time.Millisecond)
	require.Equal(t, 8, w.open("m0"))
	require.Empty(t, w.broken)
	require.False(t, started(t, 6).pools[0].WantsSuspects(), "few hosts are asked often enough")
}

// TestLostMemberIsReplaced crashes a member whose domain has a spare with the weights: the
// group serves again within detection, the warm load and opening.
func TestLostMemberIsReplaced(t *testing.T) {
	for _, model := range []string{"m0", "m1"} {
		w := started(t, 1)
		w.crash(w.member(model, false))
		w.run(4 * time.Second)
		require.Equal(t, 1, w.open(model), model)
		require.Empty(t, w.broken)
	}
}

// TestOwnSilenceIsNoLoss lets nobody answer for a while, as when the daemon that asks stands
// still itself: no group is closed. A host that is lost meanwhile is found right after.
func TestOwnSilenceIsNoLoss(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		w := started(t, 6)
		m0, m1, orders := w.open("m0"), w.open("m1"), w.ops
		w.silence(silence)
		w.run(3 * time.Second)
		require.Equal(t, orders, w.ops, "nothing was ordered after a silence of %v", silence)
		lost := w.member("m0", false)
		w.crash(lost)
		w.silence(silence)
		w.run(4 * time.Second)
		require.Equal(t, m0, w.open("m0"))
		require.Equal(t, m1, w.open("m1"))
		require.Empty(t, w.broken)
	}
}

// TestLastingSilenceIsALoss lets nobody answer any more: after a while the hosts count as lost,
// although nothing shows that the daemon still hears.
func TestLastingSilenceIsALoss(t *testing.T) {
	w := started(t, 1)
	for _, id := range w.ids {
		w.engines[id].cut = true
	}
	w.run(deafFor + 2*time.Second)
	for _, id := range w.ids {
		require.True(t, w.pools[0].hosts[id].dead(), id)
	}
}

// TestLostHeadRests crashes a head. It might be alive and cut off, so that its members
// rest until it would have broken, and then serve again.
func TestLostHeadRests(t *testing.T) {
	w := started(t, 1)
	w.crash(w.member("m0", true))
	w.run(worldStall)
	require.Zero(t, w.open("m0"), "not sooner than a living head would break")
	w.run(5 * time.Second)
	require.Equal(t, 1, w.open("m0"))
	require.Empty(t, w.broken)
}

// TestUnreachableHeadIsNotRobbed cuts a living head off: its members may join another
// group only once it is broken.
func TestUnreachableHeadIsNotRobbed(t *testing.T) {
	w := started(t, 1)
	head := w.member("m0", true)
	w.engines[head].cut = true
	w.engines[head].hidden = true
	w.run(20 * time.Second)
	require.Empty(t, w.broken)
	require.Equal(t, 1, w.open("m0"))
}

// TestRestartedHeadFreesItsMembers restarts a head: its old life is over at once.
func TestRestartedHeadFreesItsMembers(t *testing.T) {
	w := started(t, 1)
	head := w.member("m0", true)
	w.crash(head)
	w.run(500 * time.Millisecond)
	w.restart(head)
	w.run(4 * time.Second)
	require.Equal(t, 1, w.open("m0"))
	require.Empty(t, w.broken)
}

// TestDrainingMemberIsReplaced announces the leave of a member: its group closes, and one
// with a spare in its place serves.
func TestDrainingMemberIsReplaced(t *testing.T) {
	w := started(t, 1)
	leaver := w.member("m0", false)
	w.engines[leaver].draining = true
	w.run(5 * time.Second)
	require.Equal(t, 1, w.open("m0"))
	require.Equal(t, site.Ready, w.engines[leaver].member.Phase, "the leaver was not ordered again")
	require.Empty(t, w.broken)
}

// TestTakeoverKeepsGroups hands control to a daemon that knows only the registry.
func TestTakeoverKeepsGroups(t *testing.T) {
	w := started(t, 2)
	w.pools[0].Drop()
	next := New(Settings{Stall: worldStall}, w.pools[0].next)
	next.SetEngine(w.engine)
	w.pools[0] = next
	w.publish(true)
	next.Take(w.now, 9<<20, nil, 0)
	orders, m0, m1 := w.ops, w.open("m0"), w.open("m1")
	w.run(10 * time.Second)
	require.Equal(t, m0, w.open("m0"))
	require.Equal(t, m1, w.open("m1"))
	require.Equal(t, orders, w.ops, "nothing was ordered")
	w.crash(w.member("m0", false))
	w.run(4 * time.Second)
	require.Equal(t, m0, w.open("m0"))
	require.Empty(t, w.broken)
}

// TestLoadsKeepToTheBound takes all weights away and lets two holders, one after the
// other, load anew: in no window may more begin than the store bears.
func TestLoadsKeepToTheBound(t *testing.T) {
	w := newWorld(6, 9, 2)
	w.pools[0].Take(0, 1<<20, nil, 0)
	w.run(6 * time.Second)
	w.pools[0].Drop()
	end := w.pools[0].LoadsEnd(w.now)
	w.pools[1].Take(w.now, 9<<20, nil, end)
	w.run(20 * time.Second)
	require.NotEmpty(t, w.loads)
	require.False(t, w.tooManyLoads(5*time.Second, 4.5*5*1.1+3))
	require.Empty(t, w.broken)
}

// TestHistories draws crashes, restarts, cuts, lapses, lost and late orders, and two
// daemons that both believe that they hold control: no host joins a group while the head
// of its own may serve, and no head opens before all were ready.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(1, 2).Draw(rt, "domains"), 9, 2)
		w.pools[0].Take(0, 1<<20, nil, 0)
		w.pools[0].SetFresh(true)
		w.run(4 * time.Second)
		w.pools[0].SetFresh(false)
		term := uint64(1)
		late := rapid.IntRange(0, 3).Draw(rt, "late") == 0
		n := 0
		w.lose = func() bool { n++; return late && n%3 == 0 }
		w.delay = func() time.Duration { return time.Duration(n%10) * 1200 * time.Millisecond }
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			id := rapid.SampledFrom(w.ids).Draw(rt, "host")
			f := w.engines[id]
			switch rapid.IntRange(0, 6).Draw(rt, "fault") {
			case 0, 1:
				w.crash(id)
			case 2:
				if !f.up {
					w.restart(id)
				}
			case 3:
				f.cut = !f.cut
			case 4:
				f.hidden = !f.hidden
			case 5:
				f.draining = true
			case 6:
				both := rapid.Bool().Draw(rt, "both")
				if !both {
					w.pools[0].Drop()
				}
				term++ // a lease's revision rises with each write
				w.pools[1].Take(w.now, term<<20, w.pools[0].Resting(w.now), 0)
			}
			w.run(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "pause")) * time.Millisecond / 10 * 10)
		}
		w.run(8 * time.Second)
		if len(w.broken) > 0 {
			rt.Fatalf("%v\n%s", w.broken, strings.Join(w.journal, "\n"))
		}
	})
}

// TestManyHostsFormInTime forms the groups of 3,000 hosts from the moment in which a daemon
// takes control of a new deployment: nearly all hosts but the spares serve before its
// traffic starts, 8 s later.
func TestManyHostsFormInTime(t *testing.T) {
	const domains, perDomain = 81, 37
	w := newWorld(domains, perDomain, 0)
	w.engine.Models[0].Size, w.engine.Models[0].Share = 16, 0.5
	w.engine.Models[1].Size, w.engine.Models[1].Share = 4, 0.5
	w.addPool()
	w.pools[0].Take(0, 1<<20, nil, 0)
	w.pools[0].SetFresh(true)
	w.run(8 * time.Second)
	require.Greater(t, 16*w.open("m0")+4*w.open("m1"), domains*perDomain*8/10)
	require.Empty(t, w.broken)
}
