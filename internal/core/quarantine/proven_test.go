package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// provenTracker returns a tracker that knows the first parts of prompts as proven, and those parts.
func provenTracker(parts int) (*Tracker, []Fingerprint) {
	t := New(Defaults(), func(Fingerprint) int { return 0 })
	var shared []Fingerprint
	for i := range parts {
		shared = append(shared, part(uint64(100+i)))
		t.RecordProven(time.Second, []uint64{uint64(100 + i)})
	}
	return t, shared
}

func crashAt(t *Tracker, host string, at time.Duration, fingerprints ...Fingerprint) []Change {
	t.RecordCrash(at, Crash{Host: host, Incarnation: int64(at), At: at, Begun: true, Suspects: fingerprints})
	return t.Evaluate(at)
}

// TestProvenPartsAreNotCondemnedBesideACrasher guards against parts that ran well before the crashes and are condemned
// with the one part that causes them.
func TestProvenPartsAreNotCondemnedBesideACrasher(t *testing.T) {
	tracker, shared := provenTracker(31)
	for i, host := range []string{"a", "b", "c"} {
		crashAt(tracker, host, time.Minute+time.Duration(i)*200*time.Millisecond, append([]Fingerprint{part(1)}, shared...)...)
	}
	require.True(t, tracker.Refuses(part(1)))
	for _, f := range shared {
		require.False(t, tracker.Refuses(f))
	}
	require.Zero(t, tracker.Decide(time.Minute+time.Second, shared, true).RetryAfter)
	require.NotZero(t, tracker.Decide(time.Minute+time.Second, append([]Fingerprint{part(1)}, shared...), true).RetryAfter)
}

// TestProvenPartThatBecomesHarmfulIsCondemned guards against a part that ran well once, crashes hosts now, and hides behind
// the other parts of the requests that have it.
func TestProvenPartThatBecomesHarmfulIsCondemned(t *testing.T) {
	tracker, shared := provenTracker(1)
	at := time.Minute
	for i := range 6 {
		at += 200 * time.Millisecond
		crashAt(tracker, string(rune('a'+i)), at, shared[0], part(uint64(1+i/2))) // each request crashes two hosts
	}
	require.True(t, tracker.Refuses(shared[0]))
}

// TestJointDelayIsBounded guards against requests that wait for their trial by the number of their parts.
func TestJointDelayIsBounded(t *testing.T) {
	for _, parts := range []int{2, 8, 32} {
		tracker := New(Defaults(), func(Fingerprint) int { return 0 })
		var shared []Fingerprint
		for i := range parts {
			shared = append(shared, part(uint64(100+i)))
		}
		for i, host := range []string{"a", "b", "c"} {
			crashAt(tracker, host, time.Minute+time.Duration(i)*200*time.Millisecond, append([]Fingerprint{part(1)}, shared...)...)
		}
		set := Defaults()
		require.LessOrEqual(t, tracker.Decide(time.Minute+time.Second, shared, true).RetryAfter, set.JointTrialDelay, "%d parts", parts)
	}
}

// TestProvenPartsAreBounded guards against memory that callers fill by sending ever new parts.
func TestProvenPartsAreBounded(t *testing.T) {
	tracker := New(Defaults(), func(Fingerprint) int { return 0 })
	for i := range uint64(2 * maxProven) {
		tracker.RecordProven(time.Second, []uint64{i})
	}
	require.Len(t, tracker.proven, maxProven)
	tracker.Tick(time.Second + Defaults().CrashTTL + forgetInterval + 1)
	require.Empty(t, tracker.proven)
}
