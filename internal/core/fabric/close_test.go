package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// TestDrainingMemberLetsStreamsEnd guards against streams that are aborted although the members of their group, of which
// one drains, stay until they have ended.
func TestDrainingMemberLetsStreamsEnd(t *testing.T) {
	for _, head := range []bool{true, false} {
		w := started(t, 3)
		w.closeTime = func() time.Duration { return 8 * time.Second } // the streams in flight
		groups := w.open("m0")
		w.poolLog = nil
		w.engines[w.member("m0", head)].draining = true
		w.run(8 * time.Second)
		require.False(t, w.logged("{order abort}"), "%s", w.poolLog)
		w.run(6 * time.Second)
		require.False(t, w.logged("{order abort}"), "%s", w.poolLog)
		require.Equal(t, groups, w.open("m0"), "one with a spare in its place serves")
		require.Empty(t, w.violations)
	}
}

// TestStreamsThatDoNotEndAreAborted guards against a group that closes for ever.
func TestStreamsThatDoNotEndAreAborted(t *testing.T) {
	w := started(t, 3)
	w.closeTime = func() time.Duration { return time.Hour }
	leaver := w.member("m0", false)
	head := w.engines[leaver].memberIDs[0]
	w.engines[leaver].draining = true
	w.run(9 * time.Second)
	require.Equal(t, site.Closing, w.engines[head].member.Phase)
	w.run(3 * time.Second)
	require.True(t, w.logged("{order abort}"))
	require.NotEqual(t, site.Closing, w.engines[head].member.Phase)
	require.Empty(t, w.violations)
}

// TestTakeoverKeepsAPlannedClose guards against streams that are aborted because control passes to another daemon while
// their group closes by plan.
func TestTakeoverKeepsAPlannedClose(t *testing.T) {
	w := started(t, 3)
	w.closeTime = func() time.Duration { return 6 * time.Second }
	w.engines[w.member("m0", false)].draining = true
	w.run(time.Second)
	w.pools[0].DropControl()
	next := New(Settings{EngineStall: simulationStall}, w.pools[0].nextOp)
	next.SetEngine(w.engine)
	w.pools[0], w.poolLog = next, nil
	w.publish(true)
	next.TakeControl(w.now, 9<<20, nil, 0)
	w.run(10 * time.Second)
	require.False(t, w.logged("{order abort}"), "%s", w.poolLog)
	require.Empty(t, w.violations)
}
