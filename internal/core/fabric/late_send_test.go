package fabric

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestOpenSentLateDoesNotStartReleasedGroup guards against a head that a former holder opens after its group was released.
func TestOpenSentLateDoesNotStartReleasedGroup(t *testing.T) {
	released := false
	for late := 13 * time.Second; late < 25*time.Second; late += 100 * time.Millisecond {
		w := newSimulation(1, 9, 1)
		w.pools[0].TakeControl(0, 1<<20, nil, 0)
		w.pools[0].SetInitialDeployment(true)
		head, group := "", site.GroupID{}
		w.sendDelay = func(e step.SendGroupOrder) time.Duration {
			if head != "" || e.Order.Kind != step.OrderOpen {
				return 0
			}
			head, group = e.Host, e.Order.Group
			return late
		}
		for head == "" {
			w.run(50 * time.Millisecond)
		}
		// The holder stands still. The next one doesn't reach the head.
		w.engines[head].unreachable = true
		former := w.pools[0]
		w.pools = nil
		w.run(takeoverDelay)
		w.addPool()
		w.pools[0].TakeControl(w.now, former.lastEpoch+1<<20, nil, 0)
		w.run(late - takeoverDelay)
		_, known := w.pools[0].released[group]
		released = released || known
		w.run(10 * time.Second)
		require.Empty(t, w.violations, "open sent %v late", late)
	}
	require.True(t, released, "the group is released while the order is on its way")
}

// TestJoinSentLateToFreeHost guards against a host that a former holder takes while the next one counts on it: of two
// orders that expect the same count one takes effect.
func TestJoinSentLateToFreeHost(t *testing.T) {
	for late := 100 * time.Millisecond; late < 20*time.Second; late += 300 * time.Millisecond {
		w := newSimulation(1, 9, 1)
		w.sendExpired = true
		w.pools[0].TakeControl(0, 1<<20, nil, 0)
		joins := 0
		w.sendDelay = func(e step.SendGroupOrder) time.Duration {
			if e.Order.Kind != step.OrderJoin || e.Order.Group.Epoch >= 2<<20 {
				return 0
			}
			joins++
			return late
		}
		for joins == 0 {
			w.run(50 * time.Millisecond)
		}
		w.pools = nil
		w.run(takeoverDelay)
		w.addPool()
		w.pools[0].TakeControl(w.now, 2<<20, nil, 0)
		w.run(late + 30*time.Second)
		require.Empty(t, w.violations, "joins sent %v late", late)
		require.Positive(t, w.open("m0")+w.open("m1"), "joins sent %v late", late)
	}
}

// TestHistoriesOfOrdersSentLate draws orders that leave their daemon late, beside hidden and lost hosts and
// changes of the holder.
func TestHistoriesOfOrdersSentLate(t *testing.T) {
	t.Run("while the lease lasts", func(t *testing.T) { ordersSentLate(t, false) })
	t.Run("without open, after the lease", func(t *testing.T) { ordersSentLate(t, true) })
}

func ordersSentLate(t *testing.T, expired bool) {
	rapid.Check(t, func(rt *rapid.T) {
		w := started(t, 1)
		w.sendExpired = expired
		frozen := false
		w.sendDelay = func(e step.SendGroupOrder) time.Duration {
			if !frozen || expired && e.Order.Kind == step.OrderOpen {
				return 0
			}
			return time.Duration(rapid.IntRange(1, 3000).Draw(rt, "late")) * simulationStep
		}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			id := rapid.SampledFrom(w.ids).Draw(rt, "host")
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0, 1: // the holder stands still right after its decisions, and another takes over
				frozen = true
				w.run(time.Duration(rapid.IntRange(1, 150).Draw(rt, "frozen")) * simulationStep)
				frozen = false
				former := w.pools[0]
				w.pools = nil
				w.run(takeoverDelay)
				w.pools = []*Pool{former}
				w.changeHolder()
			case 2:
				w.hide([]string{id}, true)
			case 3:
				w.hide(w.engines[id].memberIDs, true)
			case 4:
				w.hide(w.ids, false)
			default:
				if w.engines[id].up {
					w.crash(id)
				} else {
					w.restart(id)
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 900).Draw(rt, "pause")) * simulationStep)
		}
		w.hide(w.ids, false)
		w.run(12 * time.Second)
		if len(w.violations) > 0 {
			rt.Fatalf("%v\n%s", w.violations, strings.Join(w.poolLog, "\n"))
		}
	})
}
