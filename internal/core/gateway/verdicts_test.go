package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// verdictHarness is a daemon that reaches the store, in which no verdict is stored.
type verdictHarness struct{ *crashHarness }

func newVerdictHarness(t *testing.T) *verdictHarness {
	x := newCrashHarness(t)
	x.reduce(step.StoreEra{Era: 1})
	x.reduce(step.PlatformState{Reachable: true})
	x.reduce(step.SiteVerdicts{Full: true})
	return &verdictHarness{x}
}

// writes lets time pass in ticks, up to the first writes, and returns the verdicts that are to be
// stored and removed.
func (x *verdictHarness) writes(d time.Duration) (stored []step.StoreVerdict, removed []step.RemoveVerdict) {
	for until := x.now + d; x.now < until && len(stored)+len(removed) == 0; x.now += 50 * time.Millisecond {
		for _, e := range x.reduce(step.Tick{}) {
			switch e := e.(type) {
			case step.StoreVerdict:
				stored = append(stored, e)
			case step.RemoveVerdict:
				removed = append(removed, e)
			}
		}
	}
	return stored, removed
}

// storeVerdict condemns a request and lets the verdict be stored.
func (x *verdictHarness) storeVerdict() quarantine.Verdict {
	x.condemn("/once/1", 1)
	stored, removed := x.writes(100 * time.Millisecond)
	require.Len(x.t, stored, 1)
	require.Empty(x.t, removed)
	require.Len(x.t, stored[0].Verdict.Hosts, 3)
	x.reduce(step.VerdictAnswered{Op: stored[0].Op, OK: true})
	return stored[0].Verdict
}

func TestOwnVerdictIsStoredUntilThatSucceeds(t *testing.T) {
	x := newVerdictHarness(t)
	x.condemn("/once/1", 1)
	stored, _ := x.writes(100 * time.Millisecond)
	require.Len(t, stored, 1)
	x.reduce(step.VerdictAnswered{Op: stored[0].Op})
	again, _ := x.writes(verdictRetryDelay)
	require.Len(t, again, 1)
	x.reduce(step.VerdictAnswered{Op: again[0].Op, OK: true})
	more, removed := x.writes(time.Minute)
	require.Empty(t, more)
	require.Empty(t, removed)
}

// TestVerdictOfSharedEvidenceIsStoredByOneDaemon lets another daemon find the last crash.
func TestVerdictOfSharedEvidenceIsStoredByOneDaemon(t *testing.T) {
	for _, storedByOther := range []bool{true, false} {
		x := newVerdictHarness(t)
		f := quarantine.Fingerprint{Kind: quarantine.Content, Hash: 5}
		for _, host := range []string{"a", "b", "c"} {
			x.reduce(step.EvidenceReceived{Evidence: quarantine.Evidence{Crashes: []quarantine.Crash{
				{Host: host, Incarnation: 1, At: x.now, Begun: true, Suspects: []quarantine.Fingerprint{f}},
			}}})
			x.now += 300 * time.Millisecond
		}
		require.Equal(t, 1, x.s.CondemnedFingerprints())
		stored, _ := x.writes(verdictWriteDelay - 500*time.Millisecond)
		require.Empty(t, stored)
		if storedByOther {
			x.reduce(step.SiteVerdicts{Verdicts: []quarantine.Verdict{{Fingerprint: f}}})
		}
		stored, _ = x.writes(time.Second + 3*verdictWriteStep)
		require.Equal(t, storedByOther, len(stored) == 0)
	}
}

// TestEndedVerdictIsRemoved lets a request with the fingerprint run well. The write of the verdict
// may still be carried out afterwards.
func TestEndedVerdictIsRemoved(t *testing.T) {
	x := newVerdictHarness(t)
	v := x.storeVerdict()
	x.reduce(step.EvidenceReceived{Evidence: quarantine.Evidence{Successes: []quarantine.Success{{Fingerprint: v.Fingerprint, At: x.now}}}})
	require.Zero(t, x.s.CondemnedFingerprints())
	_, removed := x.writes(verdictWriteDelay + 3*verdictWriteStep)
	require.Len(t, removed, 1)
	x.reduce(step.VerdictAnswered{Op: removed[0].Op, OK: true})
	x.reduce(step.SiteVerdicts{Gone: []quarantine.Fingerprint{v.Fingerprint}})
	_, removed = x.writes(time.Second)
	require.Empty(t, removed)

	x.reduce(step.SiteVerdicts{Verdicts: []quarantine.Verdict{v}})
	require.Zero(t, x.s.CondemnedFingerprints(), "a late write")
	_, removed = x.writes(time.Second)
	require.Len(t, removed, 1)
}

func TestRemovedVerdictIsLifted(t *testing.T) {
	for _, full := range []bool{true, false} {
		x := newVerdictHarness(t)
		v := x.storeVerdict()
		e := step.SiteVerdicts{Full: full}
		if !full {
			e.Gone = []quarantine.Fingerprint{v.Fingerprint}
		}
		x.reduce(e)
		require.Zero(t, x.s.CondemnedFingerprints())
		x.requireForward(x.send("/once/1", 1))
		stored, removed := x.writes(10 * time.Second)
		require.Empty(t, stored)
		require.Empty(t, removed)
	}
}

// TestVerdictOutlivesRestoredStore lets the store come back from a copy that lacks the verdict.
func TestVerdictOutlivesRestoredStore(t *testing.T) {
	x := newVerdictHarness(t)
	v := x.storeVerdict()
	x.reduce(step.StoreEra{Era: 2})
	stored, _ := x.writes(5 * time.Second)
	require.Empty(t, stored, "what the store has is not known yet")
	x.reduce(step.SiteVerdicts{Full: true})
	x.requireRefused(x.send("/once/1", 1))
	stored, _ = x.writes(3 * verdictWriteStep)
	require.Len(t, stored, 1)
	require.Equal(t, v.Fingerprint, stored[0].Verdict.Fingerprint)
}

// TestStoredVerdictIsAdopted starts a daemon while a verdict is stored.
func TestStoredVerdictIsAdopted(t *testing.T) {
	x := newVerdictHarness(t)
	id, _ := x.call("/once/1", "key")
	f := x.s.calls[id].fingerprints()[0]
	x.reduce(step.SiteVerdicts{Full: true, Verdicts: []quarantine.Verdict{{Fingerprint: f, Hosts: []string{"a"}}}})
	_, effects := x.call("/once/1", "key")
	x.requireRefused(effects)
	stored, removed := x.writes(time.Minute)
	require.Empty(t, stored)
	require.Empty(t, removed)
	x.now += quarantine.Defaults().VerdictTTL
	_, removed = x.writes(verdictWriteDelay + 3*verdictWriteStep)
	require.NotEmpty(t, removed, "it has expired")
}

// TestProvisionalVerdictIsStoredAndThenReplaced crashes three hosts within a moment, and one more.
func TestProvisionalVerdictIsStoredAndThenReplaced(t *testing.T) {
	x := newVerdictHarness(t)
	for range 3 {
		x.crash(x.requireForward(x.send("/once/1", 1)))
		x.now += 50 * time.Millisecond
	}
	stored, _ := x.writes(100 * time.Millisecond)
	require.Len(t, stored, 1)
	require.True(t, stored[0].Verdict.Provisional)
	x.reduce(step.VerdictAnswered{Op: stored[0].Op, OK: true})
	x.reduce(step.SiteVerdicts{Verdicts: []quarantine.Verdict{stored[0].Verdict}})
	require.Equal(t, 1, x.s.ProvisionalFingerprints())
	require.Zero(t, x.s.CondemnedFingerprints())
	more, _ := x.writes(5 * time.Second)
	require.Empty(t, more)

	x.now += time.Duration(x.s.rankFor(stored[0].Verdict.Fingerprint)) * quarantine.Defaults().TrialStep
	effects, _ := withoutEvidence(x.send("/once/1", 1))
	x.crash(x.requireForward(effects))
	replaced, _ := x.writes(100 * time.Millisecond)
	require.Len(t, replaced, 1)
	require.False(t, replaced[0].Verdict.Provisional)
	require.Len(t, replaced[0].Verdict.Hosts, 4)
	x.reduce(step.VerdictAnswered{Op: replaced[0].Op, OK: true})
	x.reduce(step.SiteVerdicts{Verdicts: []quarantine.Verdict{stored[0].Verdict}})
	again, _ := x.writes(2 * time.Second)
	require.Len(t, again, 1, "the store still has the provisional one")
	require.Equal(t, 1, x.s.CondemnedFingerprints())
}
