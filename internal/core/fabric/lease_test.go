package fabric

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// leaseCluster is a set of daemons that share the lease object of one store.
type leaseCluster struct {
	now      time.Duration
	daemons  []*Lease
	dead     map[int]bool
	revision uint64
	lease    step.ControlLease
	contents step.ControlLease // what a holder writes into the lease
	writes   int
	ops      step.OpID
	held     []int // holders at the last step
}

const (
	leaseStep    = 50 * time.Millisecond
	storeLatency = 5 * time.Millisecond
)

func newLeases(large, small int) *leaseCluster {
	x := &leaseCluster{dead: make(map[int]bool)}
	for i := range large + small {
		cores := 0.2
		if i < large {
			cores = 0.8
		}
		x.daemons = append(x.daemons, NewLease(fmt.Sprintf("d%d", i), "r", cores, func() step.OpID { x.ops++; return x.ops }))
	}
	return x
}

// run advances the time. Within a step the daemons tick one after the other.
func (x *leaseCluster) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := x.now + d; x.now < end; x.now += leaseStep {
		x.held = nil
		for i, l := range x.daemons {
			if x.dead[i] {
				continue
			}
			now := x.now + leaseStep*time.Duration(i)/time.Duration(len(x.daemons))
			out := &step.Out{}
			l.Tick(now, func() step.ControlLease { return x.contents }, out)
			for _, e := range out.Effects {
				if a, ok := x.answer(e); ok {
					l.OnAnswer(now+storeLatency, a, &step.Out{})
				}
			}
			if l.Held(now) {
				x.held = append(x.held, i)
			}
		}
		require.LessOrEqual(t, len(x.held), 1)
	}
}

func (x *leaseCluster) answer(e step.Effect) (step.LeaseAnswered, bool) {
	switch e := e.(type) {
	case step.ReadLease:
		if x.revision == 0 {
			return step.LeaseAnswered{Op: e.Op, Status: step.ReplyAbsent}, true
		}
		return step.LeaseAnswered{Op: e.Op, Status: step.ReplyOK, Revision: x.revision, Lease: x.lease}, true
	case step.WriteLease:
		x.writes++
		status := step.ReplyConflict
		if e.Revision == x.revision {
			x.revision++
			x.lease, status = e.Lease, step.ReplyOK
		}
		return step.LeaseAnswered{Op: e.Op, Status: status, Revision: x.revision, Lease: x.lease}, true
	}
	return step.LeaseAnswered{}, false
}

// TestLeaseIsTakenOver kills one holder after the other. Another daemon must take the lease
// soon, a large daemon before a small one, and two daemons must never hold it at once.
func TestLeaseIsTakenOver(t *testing.T) {
	for _, size := range []struct{ large, small int }{{0, 1}, {7, 0}, {8, 54}, {12, 75}} {
		x := newLeases(size.large, size.small)
		x.run(t, 5*time.Second)
		require.Len(t, x.held, 1)
		x.writes = 0
		x.run(t, time.Minute)
		require.LessOrEqual(t, x.writes, 61, "one renewal a second, and no other daemon writes")
		for range min(3, size.large-1) {
			x.dead[x.held[0]] = true
			x.run(t, takeoverDelay+2*time.Second)
			require.Len(t, x.held, 1, "the lease must be taken within two seconds after takeoverDelay")
			require.Less(t, x.held[0], size.large, "a large daemon must take the lease")
		}
	}
}

// TestFewDaemonsWriteAtATakeover guards against a write of every daemon when the holder is lost: those whose turn
// comes later must see that another one has taken the lease.
func TestFewDaemonsWriteAtATakeover(t *testing.T) {
	x := newLeases(8, 105)
	x.run(t, 5*time.Second)
	require.LessOrEqual(t, x.writes, 24, "at the start")
	x.writes = 0
	x.dead[x.held[0]] = true
	x.run(t, takeoverDelay+2*time.Second)
	require.Len(t, x.held, 1)
	require.LessOrEqual(t, x.writes, 16)
}

// TestNoWriteWhileReadsFail guards against writes of all daemons to a store that is away.
func TestNoWriteWhileReadsFail(t *testing.T) {
	var ops step.OpID
	l := NewLease("d0", "r", 1, func() step.OpID { ops++; return ops })
	answer := step.LeaseAnswered{Status: step.ReplyOK, Revision: 9, Lease: step.ControlLease{Holder: "d1", Incarnation: "r"}}
	for now := time.Duration(0); now < 10*time.Second; now += leaseStep {
		out := &step.Out{}
		l.Tick(now, func() step.ControlLease { return step.ControlLease{} }, out)
		for _, e := range out.Effects {
			read, ok := e.(step.ReadLease)
			require.True(t, ok, "%T at %v", e, now)
			answer.Op = read.Op
			if now > time.Second {
				answer = step.LeaseAnswered{Op: read.Op, Status: step.ReplyUnsent}
			}
			l.OnAnswer(now, answer, out)
		}
	}
}

// TestReleasedLeaseIsTakenAtOnce releases the lease, as a daemon does when it stops.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	x := newLeases(8, 54)
	x.run(t, 5*time.Second)
	from := x.held[0]
	x.daemons[from].Release()
	x.run(t, readInterval+takeoverDelayPerCore+takeoverSpread)
	require.Len(t, x.held, 1)
	require.NotEqual(t, from, x.held[0])
	require.True(t, x.daemons[from].Released())
}

// TestReleasedLeaseKeepsJoinDelays guards against a holder that stops and takes along which hosts must
// not join a group yet.
func TestReleasedLeaseKeepsJoinDelays(t *testing.T) {
	x := newLeases(2, 0)
	x.contents = step.ControlLease{JoinDelayMillis: map[string]int64{"h": 5000}, LoadsEndMillis: 4000}
	x.run(t, 5*time.Second)
	from := x.held[0]
	x.daemons[from].Release()
	for len(x.held) == 1 && x.held[0] == from {
		x.run(t, leaseStep)
	}
	require.Equal(t, x.contents.JoinDelayMillis, x.lease.JoinDelayMillis)
	require.Equal(t, x.contents.LoadsEndMillis, x.lease.LoadsEndMillis)
	require.Empty(t, x.lease.Holder)
	x.contents = step.ControlLease{}
	for len(x.held) == 0 {
		x.run(t, leaseStep)
	}
	require.Contains(t, x.daemons[x.held[0]].Current().JoinDelayMillis, "h", "the next holder must know it as it takes over")
}

// TestStaleReadOfFormerEra answers a read from a replica of the store that still has the copy
// of the era before. It says nothing about the lease of this era.
func TestStaleReadOfFormerEra(t *testing.T) {
	var ops step.OpID
	l := NewLease("d0", "r", 1, func() step.OpID { ops++; return ops })
	l.EnterEra(0, 2, step.ControlLease{}, &step.Out{})
	read := func(now time.Duration, a step.LeaseAnswered) {
		out := &step.Out{}
		l.Tick(now, func() step.ControlLease { return step.ControlLease{} }, out)
		require.Len(t, out.Effects, 1)
		a.Op = out.Effects[0].(step.ReadLease).Op
		l.OnAnswer(now, a, out)
	}
	read(0, step.LeaseAnswered{Era: 2, Status: step.ReplyOK, Revision: 9, Lease: step.ControlLease{Holder: "d1", Incarnation: "r"}})
	read(readInterval, step.LeaseAnswered{Era: 1, Status: step.ReplyAbsent})
	require.Equal(t, "d1", l.Current().Holder)
	require.EqualValues(t, 9, l.Revision())
}
