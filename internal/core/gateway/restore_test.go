package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// written returns an entry after a number of writes.
func written(h site.Host, writes uint64) site.Host {
	h.Writes = writes
	return h
}

func draining(h site.Host) site.Host {
	h.Draining = true
	return h
}

// restore begins an era of the store.
func (x *harness) restore(era uint64) []step.Effect { return x.reduce(step.StoreEra{Era: era}) }

// hostsServing sends requests and returns the hosts that got them.
func (x *harness) hostsServing(path string) map[string]bool {
	hosts := make(map[string]bool)
	for i := range 8 {
		r := step.Call{ID: step.RequestID(path + string(rune('a'+i))), Host: "h", Path: path, Key: "key"}
		if path == "/chat/1" {
			r.Model = "m"
		}
		for _, e := range x.reduce(r) {
			if f, ok := e.(step.Forward); ok {
				hosts[f.Host] = true
			}
		}
	}
	return hosts
}

// TestOlderCopyDoesNotBringHostsBack lets the store come back from a copy in which a host that
// drains and one that is gone are ready, and one that has restarted has its earlier entry. None
// of these entries may count. What the hosts write afterwards does.
func TestOlderCopyDoesNotBringHostsBack(t *testing.T) {
	x := newHarness(t)
	x.restore(1)
	x.configure(1)
	reborn := written(plainHost("reborn"), 1)
	reborn.Incarnation = 2
	reborn.Address = "new"
	x.setHosts(written(plainHost("a"), 3), written(plainHost("drains"), 4), written(plainHost("gone"), 5), reborn)
	x.reduce(step.SiteHosts{Hosts: []site.Host{draining(written(plainHost("drains"), 5))}, Gone: []string{"gone"}})
	require.Equal(t, map[string]bool{"a": true, "reborn": true}, x.hostsServing("/read/1"))

	x.now = 30 * time.Second
	x.restore(2)
	old := plainHost("reborn")
	old.Writes = 90
	x.setHosts(written(plainHost("a"), 2), written(plainHost("drains"), 4), written(plainHost("gone"), 5), old)
	require.Equal(t, map[string]bool{"a": true, "reborn": true}, x.hostsServing("/read/2"))
	require.Equal(t, "new", x.s.hosts["reborn"].Address)

	x.now += time.Second
	x.reduce(step.SiteHosts{Hosts: []site.Host{written(plainHost("gone"), 6)}})
	require.Contains(t, x.hostsServing("/read/3"), "gone", "the host has written its entry since it was gone, so it lives")
}

// TestOlderCopyKeepsHostsForAWhile lets the store come back from a copy that lacks a host. The
// host serves until entries that were lost must be back.
func TestOlderCopyKeepsHostsForAWhile(t *testing.T) {
	x := newHarness(t)
	x.restore(4)
	x.configure(1)
	x.setHosts(plainHost("a"), plainHost("late"))
	x.now = 30 * time.Second
	x.restore(5)
	x.setHosts(plainHost("a"))
	require.Contains(t, x.hostsServing("/read/1"), "late")
	x.now += missingHostGrace
	x.reduce(step.Tick{})
	require.NotContains(t, x.hostsServing("/read/2"), "late")
}

// TestOlderCopyDoesNotEndEvacuation lets the store come back twice from copies that lack an
// evacuation. The data centre must get no requests before the operator can have written the
// evacuation again, and an evacuation that the operator ends ends at once.
func TestOlderCopyDoesNotEndEvacuation(t *testing.T) {
	x := newHarness(t)
	x.restore(1)
	x.configure(1)
	out := plainHost("out")
	out.DataCentre = "dc2"
	x.setHosts(plainHost("a"), out)
	x.reduce(step.SiteEvacuated{Full: true, DataCentres: []string{"dc2"}})
	require.NotContains(t, x.hostsServing("/read/1"), "out")

	for era := uint64(2); era < 4; era++ {
		x.now += evacuationRetention / 2
		x.restore(era)
		x.reduce(step.SiteEvacuated{Full: true})
		require.NotContains(t, x.hostsServing("/read/2"), "out")
	}
	x.now += evacuationRetention - time.Millisecond
	x.reduce(step.Tick{})
	require.NotContains(t, x.hostsServing("/read/3"), "out")
	x.now += time.Millisecond
	x.reduce(step.Tick{})
	require.Contains(t, x.hostsServing("/read/4"), "out")

	x.restore(5)
	x.reduce(step.SiteEvacuated{Full: true, DataCentres: []string{"dc2"}})
	require.NotContains(t, x.hostsServing("/read/5"), "out")
	x.reduce(step.SiteEvacuated{})
	require.Contains(t, x.hostsServing("/read/6"), "out", "the operator has ended the evacuation")
}

// TestOlderCopyDoesNotRevertConfiguration checks that routes stay in force while the store has
// an older configuration.
func TestOlderCopyDoesNotRevertConfiguration(t *testing.T) {
	x := newHarness(t)
	x.restore(1)
	x.configure(7)
	x.setHosts(plainHost("a"))
	x.restore(2)
	x.configure(3)
	require.EqualValues(t, 7, x.s.Config().Version)
	x.configure(8)
	require.EqualValues(t, 8, x.s.Config().Version)
}

// TestOlderCopyDoesNotEnlargeParts lets the list of daemons become shorter, as the store has
// lost entries. The parts of shared limits must not grow.
func TestOlderCopyDoesNotEnlargeParts(t *testing.T) {
	x := started(t)
	x.setDaemons(8)
	x.restore(1)
	x.restore(2)
	x.setDaemons(2)
	require.Equal(t, 8, x.s.targets.Daemons())
	require.Equal(t, 8, x.s.budgetDaemons)
}

// leaseStore answers the lease calls of reducers.
type leaseStore struct {
	era, revision uint64
	leases        map[uint64]step.ControlLease // by era
	revisions     map[uint64]uint64
}

func newLeaseStore(era uint64) *leaseStore {
	return &leaseStore{era: era, revision: 10, leases: make(map[uint64]step.ControlLease), revisions: make(map[uint64]uint64)}
}

// restore loses all leases, as a copy from before the first one has none, and gives out
// revisions again.
func (l *leaseStore) restore() {
	l.era, l.revision = l.era+1, 10
	clear(l.leases)
	clear(l.revisions)
}

func (l *leaseStore) answer(e step.Effect) (step.LeaseAnswered, bool) {
	switch e := e.(type) {
	case step.ReadLease:
		a := step.LeaseAnswered{Op: e.Op, Status: step.ReplyAbsent, Era: l.era}
		if rev, ok := l.revisions[e.Era]; ok {
			a.Status, a.Revision, a.Lease = step.ReplyOK, rev, l.leases[e.Era]
		}
		return a, true
	case step.WriteLease:
		status := step.ReplyConflict
		if e.Revision == l.revisions[e.Era] {
			l.revision++
			l.revisions[e.Era], l.leases[e.Era], status = l.revision, e.Lease, step.ReplyOK
		}
		return step.LeaseAnswered{Op: e.Op, Status: status, Era: l.era, Revision: l.revisions[e.Era], Lease: l.leases[e.Era]}, true
	}
	return step.LeaseAnswered{}, false
}

// answerLease answers lease calls at once.
func (x *harness) answerLease(store *leaseStore, effects []step.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		if a, ok := store.answer(e); ok {
			if a.Era > x.s.era {
				effects = append(effects, x.restore(a.Era)...)
			}
			effects = append(effects, x.reduce(a)...)
		}
	}
}

// runLease lets time pass.
func (x *harness) runLease(store *leaseStore, d time.Duration) {
	for end := x.now + d; x.now < end; x.now += 50 * time.Millisecond {
		x.answerLease(store, x.reduce(step.Tick{}))
	}
}

// TestControlOverEras restores the store under a holder. It must lose control at the first
// answer of the new era, may take it again at once, and must use epochs above all earlier ones.
// A daemon that starts in the new era must not take control before the lease of the era before
// has expired, and then must assume that loads were begun and hosts freed a moment ago.
func TestControlOverEras(t *testing.T) {
	store := newLeaseStore(1)
	x := started(t)
	x.restore(1)
	x.runLease(store, 5*time.Second)
	require.True(t, x.s.HoldsControl())
	before := firstEpoch(x.s.lease.Era(), x.s.lease.Revision())

	store.restore()
	effects := x.restore(2)
	require.False(t, x.s.lease.Held(x.now))
	require.False(t, x.s.HoldsControl())
	x.answerLease(store, effects)
	x.runLease(store, 100*time.Millisecond)
	require.True(t, x.s.HoldsControl(), "nobody else can have given orders")
	require.Greater(t, firstEpoch(x.s.lease.Era(), x.s.lease.Revision()), before+1<<formationBits)

	store.restore()
	y := newHarness(t)
	y.configure(1)
	free := openHead("free")
	free.Member, free.Staged = site.Membership{}, []string{"m"}
	y.restore(3)
	y.setHosts(openHead("h1"), free)
	y.runLease(store, 2400*time.Millisecond)
	require.False(t, y.s.HoldsControl(), "a holder of the era before may not know of the new one yet")
	y.runLease(store, time.Second)
	require.True(t, y.s.HoldsControl())
	require.False(t, y.s.initialDeployment)
	require.Positive(t, y.s.pools["llm"].JoinDelays(y.now)["free"])
	require.NotContains(t, y.s.pools["llm"].JoinDelays(y.now), "h1")
	require.Positive(t, store.leases[3].JoinDelayMillis["free"], "the next holder must know it too")
}

// TestAnswersOfFormerEra delivers the answer to a lease call after the era has ended.
func TestAnswersOfFormerEra(t *testing.T) {
	store := newLeaseStore(1)
	x := started(t)
	x.restore(1)
	x.runLease(store, 5*time.Second)
	var late step.LeaseAnswered
	for late.Op == 0 {
		x.now += 50 * time.Millisecond
		for _, e := range x.reduce(step.Tick{}) {
			if w, ok := e.(step.WriteLease); ok {
				late, _ = store.answer(w)
			}
		}
	}
	x.restore(2)
	x.reduce(late)
	require.False(t, x.s.HoldsControl())
}
