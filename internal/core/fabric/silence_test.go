package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// silence lets an engine answer nothing for a time, as a sound one may.
func (w *simulation) silence(id string, d time.Duration) {
	w.engines[id].silent = true
	w.run(d)
	w.engines[id].silent = false
}

// TestSilentMemberEndsNoRequests guards against streams that are aborted at a sound head, because it or another member
// of its group was silent for about a second.
func TestSilentMemberEndsNoRequests(t *testing.T) {
	for _, head := range []bool{true, false} {
		for _, silence := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			w := started(t, 3)
			w.closeTime = func() time.Duration { return 3 * time.Second } // the streams in flight
			groups := w.open("m0")
			id := w.member("m0", head)
			group := w.engines[id].member.Group
			w.poolLog = nil
			w.silence(id, silence)
			w.run(2 * time.Second)
			require.False(t, w.logged("{order abort}"), "head %v, silent for %v: %s", head, silence, w.poolLog)
			require.False(t, w.logged("{order leave}"), "head %v, silent for %v: %s", head, silence, w.poolLog)
			require.Equal(t, group, w.engines[id].member.Group)
			w.run(20 * time.Second)
			require.Equal(t, groups, w.open("m0"))
			require.Empty(t, w.violations)
		}
	}
}

// TestHostThatAcceptsNoConnectionIsLostAtOnce guards against a group that waits for a member without power.
func TestHostThatAcceptsNoConnectionIsLostAtOnce(t *testing.T) {
	w := started(t, 3)
	w.closeTime = func() time.Duration { return time.Hour }
	id := w.member("m0", false)
	head := w.engines[id].memberIDs[0]
	group := w.engines[id].member.Group
	w.crash(id)
	w.run(1500 * time.Millisecond)
	require.NotEqual(t, group, w.engines[head].member.Group)
	require.Empty(t, w.violations)
}

// TestLongSilenceIsALoss guards against a group that waits for a member that is gone.
func TestLongSilenceIsALoss(t *testing.T) {
	w := started(t, 3)
	w.closeTime = func() time.Duration { return time.Hour } // the streams in flight stall
	id := w.member("m0", false)
	head := w.engines[id].memberIDs[0]
	group := w.engines[id].member.Group
	w.silence(id, 4*time.Second)
	require.NotEqual(t, group, w.engines[head].member.Group)
	require.NotEqual(t, site.Closing, w.engines[head].member.Phase)
	require.Empty(t, w.violations)
}

// TestMembersOfAnUnknownHeadLeaveAtOnce guards against hosts that are missed for seconds longer: a daemon that takes control
// without knowing the head of a group gave the head's entry time to arrive twice, before and after it closed the group.
func TestMembersOfAnUnknownHeadLeaveAtOnce(t *testing.T) {
	w := started(t, 1)
	head := w.member("m0", true)
	w.pools[0].DropControl()
	w.crash(head)
	w.engines[head].listedAs = nil
	next := New(Settings{EngineStall: simulationStall}, w.pools[0].nextOp)
	next.SetEngine(w.engine)
	w.pools[0] = next
	w.publish(true)
	next.TakeControl(w.now, 9<<20, nil, 0)
	w.poolLog = nil
	w.run(formationGrace + 500*time.Millisecond)
	require.True(t, w.logged("{order leave}"), "%s", w.poolLog)
	require.Empty(t, w.violations)
}
