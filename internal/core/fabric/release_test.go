package fabric

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
