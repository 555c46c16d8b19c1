package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const tick = 100 * time.Millisecond

// view is the table of one daemon with its clock and the effects of its steps.
type view struct {
	*Table
	clock time.Duration
	own   step.Heartbeat
	out   step.Out
}

func newView(self string, peers ...string) *view {
	v := &view{Table: New(self, Settings{HeartbeatInterval: time.Second, HeartbeatTimeout: 3 * time.Second})}
	for _, p := range peers {
		v.up(p)
	}
	return v
}

func (v *view) up(name string) {
	v.PeerUp(step.PeerUp{Daemon: name, Incarnation: name + "-1"}, &v.out)
	v.receive(name, step.Heartbeat{})
}

func (v *view) receive(name string, h step.Heartbeat) {
	h.Incarnation = name + "-1"
	v.Heartbeat(name, h)
}

// advance lets time pass while the named peers send the heartbeat in every tick.
func (v *view) advance(d time.Duration, h step.Heartbeat, senders ...string) {
	for end := v.clock + d; v.clock < end; {
		v.clock += tick
		v.Advance(v.clock, &v.out)
		for _, name := range senders {
			v.receive(name, h)
		}
		v.Tick(v.own, &v.out)
	}
}

// sent returns the messages that were sent to a peer, or to all if it is empty.
func (v *view) sent(to string) []step.Message {
	var messages []step.Message
	for _, e := range v.out.Effects {
		if s, ok := e.(step.SendPeer); ok && s.To == to {
			messages = append(messages, s.Message)
		}
	}
	return messages
}

func TestUnresponsiveDaemonIsNotLive(t *testing.T) {
	v := newView("b", "a", "c")
	require.Equal(t, []string{"a", "b", "c"}, v.Live())
	v.advance(10*time.Second, step.Heartbeat{}, "a", "c")
	require.True(t, v.Settled())
	v.advance(2*time.Second+2*tick, step.Heartbeat{}, "a")
	require.False(t, v.Settled(), "c is late")
	require.Len(t, v.Live(), 3)
	v.advance(2*time.Second, step.Heartbeat{}, "a")
	require.Equal(t, []string{"a", "b"}, v.Live())
	v.advance(10*time.Second, step.Heartbeat{}, "a")
	require.False(t, v.Settled(), "c may still be serving")
	require.Equal(t, []string{"c"}, v.Unknown())
	v.SetListed([]string{"a", "b"})
	require.True(t, v.Settled(), "the configuration no longer lists c")
}

func TestPausedDaemonIsNotSettled(t *testing.T) {
	v := newView("a", "b")
	v.advance(10*time.Second, step.Heartbeat{Platform: true}, "b")
	require.True(t, v.Settled())
	require.False(t, v.Isolated())
	v.clock += time.Minute
	v.Advance(v.clock, &v.out)
	require.False(t, v.Settled())
	require.Equal(t, []string{"a"}, v.Live())
	require.True(t, v.Isolated())
}

// pause lets time pass while the daemon is not running.
func (v *view) pause(d time.Duration) {
	v.clock += d
	v.Advance(v.clock, &v.out)
	v.out.Effects = nil
}

func TestNoWorkAfterAPauseWithoutProof(t *testing.T) {
	v := newView("a", "b")
	v.SetPlatform(step.PlatformState{Reachable: true})
	v.advance(5*time.Second, step.Heartbeat{Platform: true}, "b")
	require.True(t, v.MayServe())
	before := v.clock
	v.pause(5 * time.Second)
	require.False(t, v.MayServe())
	v.receive("b", step.Heartbeat{Platform: true})
	v.SetPlatform(step.PlatformState{Reachable: true, Asked: before})
	require.False(t, v.MayServe(), "a call or message from before the pause is no proof")
	v.advance(tick, step.Heartbeat{Platform: true}, "b")
	ask, ok := v.sent("b")[0].(step.ConfigAsk)
	require.True(t, ok)
	v.pause(5 * time.Second)
	v.OnProof(ask.Nonce)
	require.False(t, v.MayServe(), "the answer is to a query from before the second pause")
	v.advance(proofQueryInterval, step.Heartbeat{Platform: true}, "b")
	ask, ok = v.sent("b")[0].(step.ConfigAsk)
	require.True(t, ok)
	v.OnProof(ask.Nonce)
	require.True(t, v.MayServe())
	v.pause(5 * time.Second)
	v.SetPlatform(step.PlatformState{Reachable: true, Asked: v.clock + 1})
	require.True(t, v.MayServe(), "the platform answered a call made after the pause")
}

func TestServesWithoutProofInOutage(t *testing.T) {
	for name, peers := range map[string][]string{"alone": nil, "all were paused": {"b", "c"}} {
		v := newView("a", peers...)
		v.pause(5 * time.Second)
		v.advance(time.Second, step.Heartbeat{}, peers...)
		require.False(t, v.MayServe(), name)
		v.advance(10*time.Second, step.Heartbeat{}, peers...)
		require.True(t, v.MayServe(), name)
	}
}

func TestCutOffDaemonTakesNoWork(t *testing.T) {
	v := newView("a", "b", "c")
	v.SetPlatform(step.PlatformState{Reachable: true})
	v.advance(5*time.Second, step.Heartbeat{Platform: true}, "b", "c")
	v.SetPlatform(step.PlatformState{})
	require.True(t, v.MayServe(), "the peers reach the platform")
	v.advance(5*time.Second, step.Heartbeat{Platform: true})
	require.False(t, v.MayServe())
	v.up("b")
	require.True(t, v.MayServe(), "two of three daemons continue to serve in an outage")
}

func TestDaemonStartedInOutageDoesNotCount(t *testing.T) {
	listed := []string{"a", "b", "c"}
	late := newView("late", "a")
	late.SetListed(listed)
	require.False(t, late.InLargerPart(), "b and c may still be serving")
	other := newView("b", "c")
	other.SetListed(listed)
	require.True(t, other.InLargerPart())
	late.up("b")
	require.True(t, late.InLargerPart())
	other.Goodbye("c", step.Goodbye{Incarnation: "c-1"})
	other.PeerDown(step.PeerDown{Daemon: "c"}, &other.out)
	require.False(t, other.InLargerPart(), "b is one of two daemons, and the first by name is a")
	other.up("a")
	require.True(t, other.InLargerPart(), "a daemon that has stopped does not count")
}

func TestDaemonIsNotUnknownAfterGoodbye(t *testing.T) {
	v := newView("a", "b")
	v.advance(5*time.Second, step.Heartbeat{}, "b")
	v.Goodbye("b", step.Goodbye{Incarnation: "b-1"})
	for i := range 50 {
		require.Equal(t, "a", v.Owner(fmt.Sprint(i)), "a leaving daemon gets no duty")
	}
	v.PeerDown(step.PeerDown{Daemon: "b"}, &v.out)
	require.Empty(t, v.Unknown())
	v.advance(5*time.Second, step.Heartbeat{})
	require.True(t, v.Settled())
}

func TestHeartbeatOfAnEarlierRunIsIgnored(t *testing.T) {
	v := newView("a", "b")
	v.Heartbeat("b", step.Heartbeat{Incarnation: "b-0", Applied: 9})
	got, ok := v.Peer("b")
	require.True(t, ok)
	require.Zero(t, got.Applied)
}

func TestOwnersMoveOnlyFromTheDaemonThatLeft(t *testing.T) {
	names := []string{"b", "c", "d", "e", "f"}
	v := newView("a", names...)
	before := make(map[string]string)
	counts := make(map[string]int)
	const duties = 3000
	for i := range duties {
		k := fmt.Sprint(i)
		before[k] = v.Owner(k)
		counts[before[k]]++
		require.Equal(t, before[k], v.Owners(k, 2)[0])
	}
	for name, n := range counts {
		require.InDelta(t, duties/6, n, duties/30, name)
	}
	v.PeerDown(step.PeerDown{Daemon: "d"}, &v.out)
	for k, owner := range before {
		if owner != "d" {
			require.Equal(t, owner, v.Owner(k))
		}
	}
}

func TestQueriesPeerThatIsAhead(t *testing.T) {
	ahead := step.Heartbeat{Applied: 9, Newest: 7}
	for name, test := range map[string]struct {
		own  step.Heartbeat
		want int
	}{
		"behind":             {step.Heartbeat{Applied: 6}, 1},
		"covers the newest":  {step.Heartbeat{Applied: 7}, 0},
		"revision rose only": {step.Heartbeat{Applied: 8}, 0},
	} {
		v := newView("a", "b", "c")
		v.own = test.own
		v.advance(500*time.Millisecond, ahead, "b", "c")
		require.Len(t, append(v.sent("b"), v.sent("c")...), test.want, name)
	}
	v := newView("a", "b")
	v.SetPlatform(step.PlatformState{Reachable: true})
	v.advance(queryDelay, ahead, "b")
	require.Empty(t, v.sent("b"), "the watch has queryDelay to bring the change")
	v.advance(2*tick, ahead, "b")
	require.Equal(t, []step.Message{step.ConfigAsk{}}, v.sent("b"))
	v.advance(queryInterval, ahead, "b")
	require.Len(t, v.sent("b"), 2, "the query is repeated after its answer was lost")
}

func TestHeartbeatIsSentAtOnceOnNewVersion(t *testing.T) {
	v := newView("a", "b")
	v.advance(5*time.Second, step.Heartbeat{}, "b")
	before := len(v.sent(""))
	require.InDelta(t, 5, before, 1)
	v.own.Newest, v.own.Applied = 5, 5
	v.advance(tick, step.Heartbeat{}, "b")
	require.Len(t, v.sent(""), before+1)
}

func TestLowestAndLagging(t *testing.T) {
	v := newView("a", "b", "c")
	v.own.Applied = 9
	v.receive("b", step.Heartbeat{Applied: 8})
	v.receive("c", step.Heartbeat{Applied: 5})
	v.advance(tick, step.Heartbeat{Applied: 8}, "b")
	lowest, names := v.LowestApplied()
	require.Equal(t, object.Version(5), lowest)
	require.Equal(t, []string{"c"}, names)
	v.SetListed([]string{"a", "b", "c", "z"})
	require.Equal(t, []string{"c", "z"}, v.Lagging(8))
	v.receive("c", step.Heartbeat{Applied: 8})
	v.advance(tick, step.Heartbeat{Applied: 8}, "b", "c")
	require.Equal(t, object.Version(8), v.Watermark())
	v.up("d")
	v.advance(tick, step.Heartbeat{Applied: 8}, "b", "c")
	lowest, _ = v.LowestApplied()
	require.Zero(t, lowest)
	require.Equal(t, object.Version(8), v.Watermark(), "the watermark does not fall when a daemon joins")
}

// TestAtMostOnePartIsLarger splits clusters of 2 to 9 daemons in two in every way, with a
// daemon that started in the outage on both sides.
func TestAtMostOnePartIsLarger(t *testing.T) {
	for size := 2; size <= 9; size++ {
		names := make([]string, size)
		for i := range names {
			names[i] = fmt.Sprintf("d%d", i)
		}
		for mask := 1; mask < 1<<size-1; mask++ {
			var larger [2]int
			for i, self := range names {
				v := newView(self, names...)
				v.SetListed(names)
				v.up("started in the outage")
				for j, other := range names {
					if mask>>i&1 != mask>>j&1 {
						v.PeerDown(step.PeerDown{Daemon: other}, &v.out)
					}
				}
				require.True(t, v.Isolated())
				if v.InLargerPart() {
					larger[mask>>i&1]++
				}
			}
			require.Falsef(t, larger[0] > 0 && larger[1] > 0, "both parts of %d split by %b", size, mask)
			require.Positive(t, larger[0]+larger[1])
		}
	}
}

func TestIntervalGrowsWithTheCluster(t *testing.T) {
	v := newView("a")
	require.Equal(t, time.Second, v.Interval())
	for i := range 339 {
		v.up(fmt.Sprintf("p%03d", i))
	}
	require.Equal(t, 5100*time.Millisecond, v.Interval())
	v.receive("p000", step.Heartbeat{Every: v.Interval()})
	v.clock += 3 * time.Second
	v.Advance(v.clock, &v.out)
	_, ok := v.Peer("p000")
	require.True(t, ok, "the timeout depends on the sender's interval")
}

// BenchmarkInterval measures one interval between heartbeats: ten ticks, this daemon's own
// heartbeat and one from each peer.
func BenchmarkInterval(b *testing.B) {
	for _, size := range []int{9, 340} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			v := newView("self")
			names := make([]string, size-1)
			for i := range names {
				names[i] = fmt.Sprintf("entry-%03d", i)
				v.up(names[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				v.advance(time.Second, step.Heartbeat{})
				for _, name := range names {
					v.receive(name, step.Heartbeat{})
				}
				v.out.Effects = v.out.Effects[:0]
			}
			require.Len(b, v.Live(), size)
		})
	}
}
