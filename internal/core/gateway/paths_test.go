package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/handover"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// cutOff returns a harness with two other daemons, and hosts none of which accepts connections.
func cutOff(t *testing.T) *harness {
	x := newHarness(t)
	x.configure(1)
	x.setDaemons(3)
	x.crashed = map[string]bool{"a": true, "b": true, "c": true, "h1": true, "h2": true, "h3": true}
	x.setHosts(plainHost("a"), plainHost("b"), plainHost("c"), openHead("h1"), openHead("h2"), openHead("h3"))
	return x
}

// failUntilHandedOver lets attempts at hosts fail until one goes elsewhere or the request ends.
func (x *harness) failUntilHandedOver(effects []step.Effect, ending step.Ending) (last step.Effect, failed int) {
	for {
		require.NotEmpty(x.t, effects)
		f, ok := effects[0].(step.Forward)
		if !ok || x.s.hosts[f.Host] == nil {
			return effects[0], failed
		}
		failed++
		x.now += 150 * time.Millisecond
		effects = x.endAttempt(f, ending, 0)
	}
}

// TestRequestsOfCutOffDaemonAreNotRefused guards against refusing what other daemons can serve.
func TestRequestsOfCutOffDaemonAreNotRefused(t *testing.T) {
	for _, path := range []string{"/chat/1", "/once/1", "/read/1"} {
		x := cutOff(t)
		_, effects := x.call(path, "key")
		last, failed := x.failUntilHandedOver(effects, step.EndedUnsent)
		require.IsType(t, step.Forward{}, last, path)
		require.LessOrEqual(t, failed, 2, "at most two dead targets are tried")
		_, effects = x.call(path, "key")
		last, failed = x.failUntilHandedOver(effects, step.EndedUnsent)
		require.IsType(t, step.Forward{}, last, path)
		require.Zero(t, failed, "the cut is known")
	}
}

// TestRequestThatStaysHereIsNotHandedOver guards against handing over what a daemon of an earlier release would
// take for a message.
func TestRequestThatStaysHereIsNotHandedOver(t *testing.T) {
	x := cutOff(t)
	_, effects := x.call("/once/1", "key")
	last, _ := x.failUntilHandedOver(effects, step.EndedUnsent)
	require.IsType(t, step.Forward{}, last, "the path is cut, others are handed over")
	effects = x.reduce(step.Call{ID: "stays", CallerID: "stays", Host: "H:80", Path: "/once/1", Key: "key", StaysHere: true})
	last, _ = x.failUntilHandedOver(effects, step.EndedUnsent)
	answer, ok := last.(step.Answer)
	require.True(t, ok, "%#v", last)
	require.Equal(t, 503, answer.Status)
}

// TestResetsOfACutAreNoCrashes guards against taking a cut of this daemon's links for crashes.
func TestResetsOfACutAreNoCrashes(t *testing.T) {
	x := cutOff(t)
	var forwards []step.Forward
	for range 4 {
		_, effects := x.call("/once/1", "key")
		forwards = append(forwards, x.requireForward(effects))
		_, effects = x.call("/chat/1", "key")
		forwards = append(forwards, x.requireForward(effects))
	}
	var shared []step.ShareEvidence
	for _, f := range forwards {
		_, s := withoutEvidence(x.endAttempt(f, step.EndedBroken, 0))
		shared = append(shared, s...)
	}
	for range 20 {
		x.now += 50 * time.Millisecond
		_, s := withoutEvidence(x.reduce(step.Tick{}))
		shared = append(shared, s...)
	}
	require.Empty(t, shared)
	require.Zero(t, x.s.CondemnedFingerprints()+x.s.ProvisionalFingerprints())
}

// TestHolderThatIsCutOffLeavesTheLease guards against a holder that reaches no host and keeps the others
// from ordering the groups.
func TestHolderThatIsCutOffLeavesTheLease(t *testing.T) {
	store := newLeaseStore(0)
	x, y := started(t), started(t)
	y.s = New(Settings{Daemon: "d1", Incarnation: "r1", DataCentre: "dc", Cores: 1})
	y.configure(1)
	y.setHosts(plainHost("a"), openHead("h1"), openHead("h2"))
	run := func(d time.Duration) {
		for end := x.now + d; x.now < end; x.now += 50 * time.Millisecond {
			y.now = x.now
			x.answerLease(store, x.reduce(step.Tick{}))
			y.answerLease(store, y.reduce(step.Tick{}))
			require.False(t, x.s.lease.Held(x.now) && y.s.lease.Held(x.now))
		}
	}
	run(5 * time.Second)
	first, second := x, y
	if y.s.HoldsControl() {
		first, second = y, x
	}
	require.True(t, first.s.HoldsControl())
	for range 3 {
		first.crashed, second.crashed = map[string]bool{"h1": true, "h2": true}, nil
		run(5 * time.Second)
		require.False(t, first.s.HoldsControl())
		require.True(t, second.s.HoldsControl())
		first, second = second, first
	}
	x.crashed, y.crashed = map[string]bool{"h1": true, "h2": true}, map[string]bool{"h1": true, "h2": true}
	run(5 * time.Second)
	writes := store.revision
	run(5 * time.Second)
	require.Equal(t, writes, store.revision, "the lease does not wander between daemons that are cut off")
	x.crashed = nil
	run(2 * time.Second)
	require.True(t, x.s.HoldsControl())
}

// TestCrashesOfAllHostsOfAServiceCount guards against taking it for a cut when a request crashes all
// hosts of a small service: their new entries show that they had ended.
func TestCrashesOfAllHostsOfAServiceCount(t *testing.T) {
	x := newCrashHarness(t)
	x.setHosts(plainHost("a"), plainHost("b"), plainHost("c"))
	x.crashed = make(map[string]bool)
	var forwards []step.Forward
	for len(forwards) < 3 {
		f := x.requireForward(x.send("/once/1", 1))
		if !x.crashed[f.Host] {
			forwards = append(forwards, f)
		}
		x.crashed[f.Host] = true
	}
	for _, f := range forwards {
		x.endAttempt(f, step.EndedBroken, 0)
	}
	require.Zero(t, x.s.CondemnedFingerprints()+x.s.ProvisionalFingerprints())
	x.now += 3 * time.Second
	x.crashed = nil
	var back []site.Host
	for _, id := range []string{"a", "b", "c"} {
		h := plainHost(id)
		h.Incarnation = 2
		back = append(back, h)
	}
	x.setHosts(back...)
	require.Equal(t, 1, x.s.CondemnedFingerprints()+x.s.ProvisionalFingerprints())
}

// TestHandedOverRequestsDontReturnToAnOlderConfiguration guards against a caller's daemon that hands requests
// over to one with a new configuration, and later ones to one that has not got it yet.
func TestHandedOverRequestsDontReturnToAnOlderConfiguration(t *testing.T) {
	x := cutOff(t)
	_, effects := x.call("/once/1", "key")
	last, _ := x.failUntilHandedOver(effects, step.EndedUnsent)
	f, ok := last.(step.Forward)
	require.True(t, ok)
	for version, want := range []int64{1, 1, 2, 3} { // 0: a release that does not say
		x.reduce(step.AnswerBegan{ID: f.ID, Attempt: f.Attempt, ConfigVersion: int64(version)})
		x.endAttempt(f, step.EndedComplete, 0)
		_, effects = x.call("/once/1", "key")
		f = x.requireForward(effects)
		require.NotEmpty(t, f.Daemon)
		require.Equal(t, want, f.ConfigVersion)
	}
	x.configure(9)
	_, effects = x.call("/once/1", "key")
	require.EqualValues(t, 9, x.requireForward(effects).ConfigVersion)
}

// TestTakenRequestsCountOnceForTheRetryBudget guards against counting a request that was handed over twice,
// or not at all.
func TestTakenRequestsCountOnceForTheRetryBudget(t *testing.T) {
	for _, counted := range []bool{false, true} {
		x := startedWithSlack(t)
		slack := 0
		for x.s.budget.Allow(x.now, "plain", 1) {
			slack++
		}
		x = startedWithSlack(t)
		for i := range 200 {
			id := step.RequestID(fmt.Sprintf("h%d", i))
			x.reduce(step.Call{ID: id, CallerID: string(id), Host: "h", Path: "/read/1", Key: "key", HandedOver: true, MaxRuns: 2, Counted: counted})
		}
		allowed := 0
		for x.s.budget.Allow(x.now, "plain", 1) {
			allowed++
		}
		if counted {
			require.Equal(t, slack, allowed)
		} else {
			require.Greater(t, allowed, slack)
		}
	}
}

// TestHandedOverRequestSaysWhetherItIsCounted hands over a request before and after a host was tried.
func TestHandedOverRequestSaysWhetherItIsCounted(t *testing.T) {
	x := cutOff(t)
	_, effects := x.call("/once/1", "key")
	last, failed := x.failUntilHandedOver(effects, step.EndedUnsent)
	require.Positive(t, failed)
	require.True(t, last.(step.Forward).Counted)
	_, effects = x.call("/once/1", "key")
	require.False(t, x.requireForward(effects).Counted)
}

// handedOver is a request that another daemon hands over.
func (x *harness) handedOver(path string, version int64) []step.Effect {
	id := step.RequestID(fmt.Sprintf("h%d", x.now))
	x.now++
	return x.reduce(step.Call{ID: id, CallerID: string(id), Host: "h", Path: path, Key: "key", HandedOver: true, MaxRuns: 1, ConfigVersion: version})
}

// TestHandedOverRequestIsNotRunByAnOlderConfiguration guards against requests that run by routes that operators have changed.
func TestHandedOverRequestIsNotRunByAnOlderConfiguration(t *testing.T) {
	x := started(t)
	x.configure(7)
	for _, path := range []string{"/once/1", "/chat/1", "/a/route/that/came/later/", "/read/open/1"} {
		a, ok := x.handedOver(path, 8)[0].(step.Answer)
		require.True(t, ok, path)
		require.Equal(t, object.NotRun, a.Outcome)
		why, elsewhere := refusalOf(a.Code)
		require.True(t, elsewhere)
		require.Equal(t, handover.Outdated, why)
	}
	for _, version := range []int64{0, 6, 7} { // 0: of a release that names none
		x.requireForward(x.handedOver("/once/1", version))
	}
	x.configure(8)
	x.requireForward(x.handedOver("/once/1", 8))
}

// TestHandoverNamesTheConfiguration guards against daemons that can't know by which configuration a request was admitted.
func TestHandoverNamesTheConfiguration(t *testing.T) {
	x := cutOff(t)
	x.configure(7)
	_, effects := x.call("/once/1", "key")
	last, _ := x.failUntilHandedOver(effects, step.EndedUnsent)
	f := last.(step.Forward)
	require.EqualValues(t, 7, f.ConfigVersion)
	first := f.Daemon
	effects = x.reduce(step.ForwardEnded{
		AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: step.EndedRefused},
		Handover:     &step.HandoverResult{Answer: &step.Answer{Status: 503, Code: step.CodeOutdated, Outcome: object.NotRun}},
	})
	f = x.requireForward(effects)
	require.NotEmpty(t, f.Daemon)
	require.NotEqual(t, first, f.Daemon, "another one is asked")
}
