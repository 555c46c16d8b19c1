package fabric

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestJoinDelayOutlastsAMissingEntry guards against a host that joins a group before the head that it was taken from
// has stopped, because it had no entry when the holder changed.
func TestJoinDelayOutlastsAMissingEntry(t *testing.T) {
	for _, changes := range []int{1, 2} {
		w := started(t, 2)
		const delay = 6 * time.Second
		id := w.domainHosts("d1")[0]
		w.hide([]string{id}, true)
		w.run(5 * time.Second)
		w.pools = nil
		w.addPool()
		w.pools[0].TakeControl(w.now, 2<<20, map[string]time.Duration{id: delay}, 0)
		from := w.now
		w.run(time.Second)
		if changes == 2 {
			w.changeHolder()
		}
		w.hide([]string{id}, false)
		w.run(from + delay - w.now)
		require.GreaterOrEqual(t, w.pools[0].hosts[id].mayJoinAt, from+delay, "%d changes", changes)
	}
}

// TestUnknownPredecessorOfAHostWithoutEntry guards against a host that joins a group as soon as it registers, although
// an unknown holder may have taken it from one whose head still serves. One that has accepted no order was in none.
func TestUnknownPredecessorOfAHostWithoutEntry(t *testing.T) {
	w := started(t, 2)
	w.checkFormer = true
	members := w.engines[w.member("m0", true)].memberIDs
	w.hide(members, true)
	w.run(6 * time.Second)
	w.pools = nil
	w.addPool()
	w.pools[0].TakeControl(w.now, 1<<40, nil, 0)
	w.pools[0].AssumeUnknownPredecessor(w.now)
	w.run(4 * time.Second)
	for _, id := range members[1:] { // late orders of that holder
		f := w.engines[id]
		w.execute(f, step.GroupOrder{Kind: step.OrderLeave, Group: f.member.Group, ExpectedOrders: f.orders})
	}
	w.hide(members[1:], false)
	w.add("new", "d0")
	w.run(3 * time.Second)
	require.Empty(t, w.violations)
	require.LessOrEqual(t, w.pools[0].hosts["new"].mayJoinAt, w.now)
}

// TestGroupOfUnknownModelIsNotOpened guards against a group that opens without its last member, because a new holder
// assumed a smaller model for it.
func TestGroupOfUnknownModelIsNotOpened(t *testing.T) {
	w := newSimulation(2, 9, 0)
	slices.Reverse(w.engine.Models)
	members := w.ids[:4]
	for _, id := range members[:3] {
		w.execute(w.engines[id], step.GroupOrder{Kind: step.OrderJoin, Group: site.GroupID{Name: "d0.5", Epoch: 5}, Model: "m0", Members: members})
	}
	w.addPool()
	w.pools[0].TakeControl(w.now, 1<<20, nil, 0)
	w.runUnreachable(3500 * time.Millisecond)
	w.run(10 * time.Second)
	require.Empty(t, w.violations)
}

// TestHistoriesOfReturns draws hosts that are hidden and return one by one, in another incarnation or with outdated
// entries, lost orders, cut holders and changes of the holder. No host may join a group while the head of one that it
// was in may serve, and 30 s after the last disturbance the hosts serve again.
func TestHistoriesOfReturns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := started(t, 2)
		w.checkFormer = true
		lossy := false
		w.lose = func() bool { return lossy && rapid.IntRange(0, 2).Draw(rt, "lost") == 0 }
		w.delay = func() time.Duration {
			return time.Duration(rapid.IntRange(0, int(maxOrderDelay/time.Millisecond)).Draw(rt, "delay")) * time.Millisecond
		}
		w.closeTime = func() time.Duration {
			return time.Duration(rapid.IntRange(0, 4000).Draw(rt, "closing")) * time.Millisecond
		}
		group := slices.Clone(w.engines[w.member("m0", true)].memberIDs)
		for range rapid.IntRange(1, 14).Draw(rt, "steps") {
			if rapid.IntRange(0, 2).Draw(rt, "another") == 0 {
				id := rapid.SampledFrom(w.ids).Draw(rt, "host")
				if m := w.engines[id].memberIDs; len(m) > 0 {
					group = slices.Clone(m)
				}
			}
			id := rapid.SampledFrom(group).Draw(rt, "member")
			f := w.engines[id]
			switch rapid.IntRange(0, 11).Draw(rt, "what") {
			case 0, 1:
				w.hide(group, true)
			case 2:
				w.hide([]string{id}, false)
			case 3:
				w.hide(group[1:], false)
			case 4:
				w.hide(group[:1], false)
			case 5:
				f.unreachable = !f.unreachable
			case 6:
				f.unregistered = !f.unregistered
			case 7:
				f.frozen = !f.frozen
			case 8:
				if f.up {
					w.crash(id)
				}
				w.restart(id)
			case 9:
				lossy = !lossy
			case 10:
				w.changeHolder()
			case 11:
				w.runUnreachable(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "cut")) * time.Millisecond / 10 * 10)
			}
			w.run(time.Duration(rapid.IntRange(1, 7000).Draw(rt, "pause")) * time.Millisecond / 10 * 10)
		}
		lossy = false
		for _, id := range w.ids {
			w.engines[id].frozen = false
		}
		w.hide(w.ids, false)
		w.run(30 * time.Second)
		serving := 4*w.open("m0") + 3*w.open("m1")
		if len(w.violations) > 0 || serving < 14 {
			rt.Fatalf("%d hosts serve\n%v\n%s", serving, w.violations, strings.Join(w.poolLog, "\n"))
		}
	})
}

// TestMemberThatLeavesAHiddenGroupWaits guards against members that join another group as soon as they return, although
// an order to leave was carried out late and the head that stayed hidden has not yet stopped.
func TestMemberThatLeavesAHiddenGroupWaits(t *testing.T) {
	for _, change := range []bool{false, true} {
		w := started(t, 2)
		w.checkFormer = true
		members := w.engines[w.member("m0", true)].memberIDs
		w.lose = func() bool { return true }
		w.delay = func() time.Duration { return 4 * time.Second }
		w.hide(members[:1], true)
		w.run(1300 * time.Millisecond)
		w.hide(members, true)
		w.run(5 * time.Second)
		w.lose = func() bool { return false }
		if change {
			w.changeHolder()
		}
		w.hide(members[1:], false)
		w.run(5 * time.Second)
		require.Empty(t, w.violations, "holder changes: %v", change)
	}
}

// TestHistoriesOfRemovedMembers hides a head alone, so that a member is ordered to leave, and then the others, in any
// order with changes of the holder and of what returns. The order may be carried out late. No member may join another
// group while the head may serve.
func TestHistoriesOfRemovedMembers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seconds := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most*100).Draw(rt, label)) * simulationStep
		}
		w := started(t, 2)
		w.checkFormer = true
		lossy := rapid.Bool().Draw(rt, "lossy")
		w.lose = func() bool { return lossy }
		delay := seconds(12, "delay")
		w.delay = func() time.Duration { return delay }
		members := w.engines[w.member("m0", true)].memberIDs
		w.after(0, func() { w.hide(members[:1], true) })
		w.after(seconds(6, "hidden"), func() { w.hide(members, true) })
		for range rapid.IntRange(0, 2).Draw(rt, "changes") {
			w.after(seconds(16, "change"), w.changeHolder)
		}
		w.after(seconds(16, "calm"), func() { lossy = false })
		for _, id := range members {
			w.after(6*time.Second+seconds(14, "returns"), func() { w.hide([]string{id}, false) })
		}
		w.run(22 * time.Second)
		w.hide(w.ids, false)
		w.run(28 * time.Second)
		serving := 4*w.open("m0") + 3*w.open("m1")
		if len(w.violations) > 0 || serving < 14 {
			rt.Fatalf("%d hosts serve\n%v\n%s", serving, w.violations, strings.Join(w.poolLog, "\n"))
		}
	})
}

// TestLoadsStayWithinLimitAfterTheHolderDies guards against loads of two holders in one window, the first of which
// dies after its last write of the lease.
func TestLoadsStayWithinLimitAfterTheHolderDies(t *testing.T) {
	for _, loadTime := range []time.Duration{600 * time.Millisecond, 4 * time.Second} {
		w := newSimulation(12, 9, 0)
		w.engine.MaxLoadsPerSecond, w.engine.MaxConcurrentLoads = 14, 20
		for i := range w.engine.Models {
			w.engine.Models[i].LoadTime = loadTime
		}
		w.addPool()
		w.pools[0].TakeControl(0, 1<<20, nil, 0)
		former := w.pools[0]
		end := former.LoadsEnd(w.now) // as the last write of the lease has it
		w.storeOut = true
		w.run(renewInterval)
		w.pools = nil
		w.run(takeoverDelay - renewInterval)
		w.storeOut = false
		w.addPool()
		w.pools[0].TakeControl(w.now, 9<<20, nil, end)
		w.run(20 * time.Second)
		require.NotEmpty(t, w.loadStarts)
		require.False(t, w.tooManyLoads(5*time.Second, 14*5*1.1+3), "loads of %v", loadTime)
	}
}
