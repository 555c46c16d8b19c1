package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func content(n uint64) Fingerprint { return Fingerprint{Content, n} }
func part(n uint64) Fingerprint    { return Fingerprint{PromptPart, n} }

// world drives one Tracker. Each crash is of another host.
type world struct {
	*Tracker
	t       *testing.T
	now     time.Duration
	crashed int
}

func newWorld(t *testing.T) *world {
	return &world{Tracker: New(Defaults(), func(Fingerprint) int { return 2 }), t: t, now: time.Hour}
}

func (w *world) crash(suspects ...Fingerprint) []Change {
	w.crashed++
	require.True(w.t, w.RecordCrash(w.now, Crash{Host: fmt.Sprintf("h%d", w.crashed), Incarnation: 1, At: w.now, Begun: true, Suspects: suspects}))
	return w.Evaluate(w.now)
}

func (w *world) success(fingerprints ...Fingerprint) []Change {
	_, ended := w.RecordSuccess(w.now, fingerprints)
	return append(ended, w.Evaluate(w.now)...)
}

func (w *world) refused(fingerprints ...Fingerprint) bool {
	return w.Decide(w.now, fingerprints, true).RetryAfter > 0
}

func TestCondemnedAfterThreeCrashes(t *testing.T) {
	w := newWorld(t)
	x := content(1)
	require.True(t, w.Idle())
	for range 2 {
		require.Empty(t, w.crash(x))
		require.False(t, w.refused(x))
		w.now += 200 * ms
	}
	require.False(t, w.Idle())
	changes := w.crash(x)
	require.Len(t, changes, 1)
	require.Equal(t, Began, changes[0].Ended)
	require.Equal(t, []string{"h1", "h2", "h3"}, changes[0].Verdict.Hosts)
	d := w.Decide(w.now, []Fingerprint{content(9), x}, true)
	require.Equal(t, Decision{Refused: x, RetryAfter: Defaults().VerdictTTL, Certain: true}, d)
	require.False(t, w.refused(content(2)), "another request")
	require.Empty(t, w.crash(x), "the verdict is in force")
}

// TestHostsLostTogetherCondemnNothing crashes many hosts at the same time.
func TestHostsLostTogetherCondemnNothing(t *testing.T) {
	w := newWorld(t)
	x := content(1)
	for range 20 {
		require.Empty(t, w.crash(x))
		w.now += ms
	}
	w.now += time.Second
	require.NotEmpty(t, w.crash(x), "another crash, at another time")
}

// closeCrashes crashes three hosts within 139 ms.
func (w *world) closeCrashes(suspects ...Fingerprint) {
	for _, pause := range []time.Duration{42 * ms, 97 * ms, 0} {
		require.Empty(w.t, w.crash(suspects...))
		w.now += pause
	}
}

// TestRequestThatCrashedHostsWithinAMomentIsSentToOneHostAtATime crashes three hosts within a moment.
// One of the requests that follow is let through, and decides.
func TestRequestThatCrashedHostsWithinAMomentIsSentToOneHostAtATime(t *testing.T) {
	set, request := Defaults(), []Fingerprint{content(1), part(5)}
	for _, sound := range []bool{true, false} {
		w := newWorld(t)
		w.closeCrashes(request...)
		provisional := w.TakeProvisional()
		require.Len(t, provisional, 1, "parts of prompts are left alone")
		require.Equal(t, []string{"h1", "h2", "h3"}, provisional[0].Hosts)
		require.Empty(t, w.TakeProvisional())
		require.False(t, w.refused(part(5), content(2)))
		require.False(t, w.CertainlyRefused(request))

		w.now += 4900 * ms // the hosts are back
		require.Equal(t, Decision{Refused: request[0], RetryAfter: provisionalRetryAfter}, w.Decide(w.now, request, true), "it is the turn of two others")
		w.now += 2 * set.TrialStep
		require.Equal(t, Decision{Refused: request[0], RetryAfter: provisionalRetryAfter}, w.Decide(w.now, request, false), "a retry")
		require.Equal(t, Decision{Tried: request[:1]}, w.Decide(w.now, request, true))
		require.True(t, w.refused(request...), "one at a time")
		w.now += 50 * ms
		if sound {
			require.Len(t, w.success(request...), 1)
			require.False(t, w.refused(request...))
			require.False(t, w.HasVerdicts())
			continue
		}
		require.Len(t, w.crash(request...), 2)
		require.Equal(t, Decision{Refused: request[0], RetryAfter: set.VerdictTTL, Certain: true}, w.Decide(w.now, request, true))
	}
}

// TestSoundRequestOnManyLostHostsIsTriedAtOnce loses many hosts together, all with one sound request.
func TestSoundRequestOnManyLostHostsIsTriedAtOnce(t *testing.T) {
	w := newWorld(t)
	x := content(1)
	for range 20 {
		w.crash(x)
		w.now += ms
	}
	w.now += time.Second
	require.True(t, w.refused(x))
	w.now += 2 * Defaults().TrialStep
	require.NotEmpty(t, w.Decide(w.now, []Fingerprint{x}, true).Tried)
	w.now += 50 * ms
	w.success(x)
	require.False(t, w.refused(x))
}

// TestTrialUnderProvisionalVerdictThatDecidesNothing lets trials end without a crash or a success.
func TestTrialUnderProvisionalVerdictThatDecidesNothing(t *testing.T) {
	set, x := Defaults(), content(1)
	turn := 2 * set.TrialStep
	w := newWorld(t)
	w.closeCrashes(x)
	require.True(t, w.refused(x))
	w.now += turn
	for _, delay := range []time.Duration{set.TrialDelay, 100 * set.TrialDelay} {
		require.NotEmpty(t, w.Decide(w.now, []Fingerprint{x}, true).Tried)
		require.True(t, w.refused(x))
		w.now += delay + turn - ms
		require.True(t, w.refused(x))
		w.now += ms
	}
	w.now += set.VerdictTTL
	changes := w.Tick(w.now)
	require.Len(t, changes, 1)
	require.Equal(t, EndedExpired, changes[0].Ended)
	w.crash(x)
	require.False(t, w.refused(x), "it is on no probation")
}

// TestProvisionalVerdictOfAnotherDaemon adopts one and learns of another crash, or that the verdict is
// no longer provisional.
func TestProvisionalVerdictOfAnotherDaemon(t *testing.T) {
	x := content(1)
	provisional := Verdict{Fingerprint: x, Hosts: []string{"a", "b", "c"}, SoleSuspects: []Fingerprint{x}, Provisional: true}
	final := provisional
	final.Provisional = false
	for _, crashes := range []bool{true, false} {
		w := newWorld(t)
		require.Empty(t, w.Adopt(w.now, provisional))
		require.Len(t, w.TakeProvisional(), 1)
		require.True(t, w.refused(x))
		if crashes {
			require.Empty(t, w.crash(x), "as close to the others")
			w.now += 300 * ms
			require.Len(t, w.crash(x), 1)
		} else {
			require.Len(t, w.Adopt(w.now, final), 1)
		}
		require.True(t, w.Decide(w.now, []Fingerprint{x}, true).Certain)
		require.Empty(t, w.Adopt(w.now, provisional))
		require.True(t, w.Refuses(x))
	}
}

// TestCrashesBeforeTheVerdictCountAsTrials crashes five hosts at once before there is a verdict, each
// with another request on board.
func TestCrashesBeforeTheVerdictCountAsTrials(t *testing.T) {
	set, x := Defaults(), content(1)
	w := newWorld(t)
	for i := range uint64(5) {
		w.RecordCrash(w.now, Crash{Host: fmt.Sprint(i), Incarnation: 1, At: w.now, Suspects: []Fingerprint{x, content(10 + i)}})
		w.now += 100 * ms
	}
	require.Len(t, w.Evaluate(w.now), 1)
	w.now += set.TrialDelay + 2*set.TrialStep + set.JointTrialDelay
	require.True(t, w.refused(x))
	require.Greater(t, w.Decide(w.now, []Fingerprint{x}, true).RetryAfter, 9*set.NextTrialDelay)
}

// TestTurnsCountFromTheFirstRequest lets the first request come long after its trial is due: daemons
// that get one at the same moment take turns all the same. One that nobody else is asked for goes on.
func TestTurnsCountFromTheFirstRequest(t *testing.T) {
	set, x := Defaults(), content(1)
	w := newWorld(t)
	w.closeCrashes(x)
	w.now += time.Minute
	for range maxMissedTurns {
		require.True(t, w.refused(x))
		w.now += 3 * set.TrialStep
	}
	require.False(t, w.refused(x))
}

// TestSuccessClears lets requests run well between crashes, shortly before one, and after the
// verdict.
func TestSuccessClears(t *testing.T) {
	w := newWorld(t)
	x, y := content(1), content(2)
	for range 10 {
		require.Empty(t, w.crash(x, y))
		w.now += 300 * ms
		require.Empty(t, w.success(x))
		w.success(y)
		w.now += 300 * ms
	}
	for range 10 {
		w.now += time.Second
		require.Empty(t, w.crash(x))
		cleared, _ := w.RecordSuccess(w.now-successValidity, []Fingerprint{x, y})
		require.Equal(t, []Fingerprint{x}, cleared, "it ran well just before")
	}
	w.now += time.Second
	for range 2 {
		w.crash(x)
		w.now += 300 * ms
	}
	require.Len(t, w.crash(x), 1)
	require.Empty(t, w.success(y))
	require.True(t, w.refused(x))
	w.now += 100 * ms
	changes := w.success(x)
	require.Len(t, changes, 1)
	require.Equal(t, EndedSound, changes[0].Ended)
	require.False(t, w.refused(x))
	require.Empty(t, w.Verdicts())
}

// TestRequestsThatHadNotBegunAreClearedByOnesThatHad reports a crash from two daemons.
func TestRequestsThatHadNotBegunAreClearedByOnesThatHad(t *testing.T) {
	for _, begunFirst := range []bool{true, false} {
		w := newWorld(t)
		waiting, begun := content(1), content(2)
		for i := range 4 {
			reports := []Crash{{Suspects: []Fingerprint{waiting}}, {Suspects: []Fingerprint{begun}, Begun: true}}
			if begunFirst {
				reports[0], reports[1] = reports[1], reports[0]
			}
			for _, c := range reports {
				c.Host, c.Incarnation, c.At = "h", int64(i), w.now
				w.RecordCrash(w.now, c)
				w.Evaluate(w.now)
			}
			w.now += 300 * ms
		}
		require.True(t, w.refused(begun))
		require.False(t, w.refused(waiting))
	}
}

// TestOneHostCrashesOnce reports each crash several times, in full and in part.
func TestOneHostCrashesOnce(t *testing.T) {
	w := newWorld(t)
	x, y := content(1), content(2)
	for range 5 {
		c := Crash{Host: "h", Incarnation: 1, At: w.now, Begun: true, Suspects: []Fingerprint{x}}
		w.RecordCrash(w.now, c)
		require.False(t, w.RecordCrash(w.now, c))
		c.Suspects = []Fingerprint{x, y}
		w.RecordCrash(w.now, c)
		w.Evaluate(w.now)
		w.now += 300 * ms
	}
	require.Empty(t, w.Verdicts())
	require.Len(t, w.crashes, 1)
	require.Equal(t, []Fingerprint{x, y}, w.crashes[0].Suspects)
}

// TestRequestThatLacksARivalIsTriedAtOnce lets the same crashes speak against two parts. A request
// with only one of them is let through, and decides.
func TestRequestThatLacksARivalIsTriedAtOnce(t *testing.T) {
	set := Defaults()
	turn := 2 * set.TrialStep
	for _, sound := range []bool{true, false} {
		w := newWorld(t)
		for i := range uint64(3) {
			w.crash(content(i), part(1), part(2))
			w.now += 300 * ms
		}
		require.Equal(t, set.TrialDelay+set.JointTrialDelay+turn-300*ms, w.Decide(w.now, []Fingerprint{part(1), part(2)}, true).RetryAfter)
		require.Equal(t, Decision{Refused: part(1), RetryAfter: set.TrialDelay}, w.Decide(w.now, []Fingerprint{part(1)}, false))
		require.Equal(t, Decision{Tried: []Fingerprint{part(1)}}, w.Decide(w.now, []Fingerprint{part(1)}, true))
		require.Equal(t, Decision{Refused: part(1), RetryAfter: set.NextTrialDelay + turn}, w.Decide(w.now, []Fingerprint{part(1)}, true))
		if sound {
			require.Len(t, w.success(part(1)), 1)
			require.False(t, w.refused(part(1)))
		} else {
			w.crash(content(9), part(1))
			require.True(t, w.refused(part(1)))
		}
		require.NotNil(t, w.verdicts[part(2)])
	}
}

// TestStrayCrashLeavesRivals lets a host crash for another reason while it begins to answer a
// request with one of two suspects. After a second one the other is no rival any more.
func TestStrayCrashLeavesRivals(t *testing.T) {
	w := newWorld(t)
	for _, suspects := range [][]Fingerprint{{part(1)}, {part(1), part(2)}, {part(1), part(2)}, {part(1), part(2)}} {
		w.crash(suspects...)
		w.now += 300 * ms
	}
	require.Equal(t, []Fingerprint{part(2)}, w.verdicts[part(1)].Rivals)
	w.crash(part(1))
	require.Empty(t, w.verdicts[part(1)].Rivals)
}

// TestBystanderIsFoundSound condemns a fingerprint that was on board by chance, then the one that
// crashes hosts. The former is let through as a trial, and its verdict ends.
func TestBystanderIsFoundSound(t *testing.T) {
	w := newWorld(t)
	x, bystander := part(9), part(1)
	for _, suspects := range [][]Fingerprint{{bystander}, {bystander, x}, {bystander, x}, {x}, {x}, {x}} {
		w.crash(suspects...)
		w.now += 300 * ms
	}
	require.NotNil(t, w.verdicts[x])
	require.NotEmpty(t, w.Decide(w.now, []Fingerprint{bystander}, true).Tried)
	changes := w.success(bystander)
	require.Len(t, changes, 1)
	require.Equal(t, EndedSound, changes[0].Ended)
	require.NotNil(t, w.verdicts[x])
}

// TestVerdictHidesNoOther condemns a first part by the crashes of two others that share it. The one
// that crashes hosts under other first parts as well must be condemned too.
func TestVerdictHidesNoOther(t *testing.T) {
	w := newWorld(t)
	first, x, y := part(1), part(8), part(9)
	for _, suspects := range [][]Fingerprint{{first, x}, {first, y}, {first, x}, {part(2), x}} {
		w.crash(suspects...)
		w.now += 300 * ms
	}
	require.NotNil(t, w.verdicts[x])
	require.True(t, w.refused(x, first))
	require.False(t, w.refused(y))
}

// TestExpiredVerdictReturnsAtOnce lets a verdict expire. The next crash brings it back for twice
// as long, until none has come for the time of the last one.
func TestExpiredVerdictReturnsAtOnce(t *testing.T) {
	w := newWorld(t)
	x := content(1)
	for range 3 {
		w.crash(x)
		w.now += 300 * ms
	}
	ttl := Defaults().VerdictTTL
	for level := range 9 {
		require.Equal(t, level, w.Verdicts()[0].Level)
		w.now += ttl - time.Second
		require.Empty(t, w.Tick(w.now))
		require.True(t, w.refused(x))
		w.now += time.Second
		changes := w.Tick(w.now)
		require.Len(t, changes, 1)
		require.Equal(t, EndedExpired, changes[0].Ended)
		require.False(t, w.refused(x))
		w.now += time.Minute
		require.Len(t, w.crash(x), 1)
		ttl = min(2*ttl, Defaults().MaxVerdictTTL)
	}
	w.now += ttl
	w.Tick(w.now)
	w.now += ttl
	w.Tick(w.now)
	require.True(t, w.Idle())
	require.Empty(t, w.crash(x))
}

func TestVerdictOfAnotherDaemon(t *testing.T) {
	w := newWorld(t)
	x, y := content(1), content(2)
	adopted := Verdict{Fingerprint: x, SoleSuspects: []Fingerprint{x}, Hosts: []string{"a", "b", "c"}, Level: 2}
	require.Len(t, w.Adopt(w.now, adopted), 1)
	require.Empty(t, w.Adopt(w.now, adopted))
	require.Equal(t, 4*Defaults().VerdictTTL, w.Decide(w.now, []Fingerprint{x}, true).RetryAfter)
	w.crash(y)
	require.True(t, w.refused(x), "evidence on others does not end it")
	require.Len(t, w.Adopt(w.now, Verdict{Fingerprint: y, Hosts: []string{"a", "b", "c"}}), 1, "this daemon may have missed the other crashes")
	require.True(t, w.refused(y))
	changes := w.Lift(w.now, x)
	require.Len(t, changes, 1)
	require.Equal(t, EndedLifted, changes[0].Ended)
	require.Empty(t, w.Adopt(w.now, adopted))

	w = newWorld(t)
	w.Adopt(w.now, adopted)
	require.Len(t, w.success(x), 1)
	require.Empty(t, w.Adopt(w.now, adopted), "it has run well here")
}

// TestDaemonThatKnowsSomeCrashesAdoptsVerdict starts a daemon between the crashes that led to a verdict.
func TestDaemonThatKnowsSomeCrashesAdoptsVerdict(t *testing.T) {
	x, rival := content(1), content(2)
	w := newWorld(t)
	w.crash(x)
	stored := Verdict{Fingerprint: x, Rivals: []Fingerprint{rival}, Hosts: []string{"a", "b", "h1"}}
	require.Len(t, w.Adopt(w.now, stored), 1)
	require.True(t, w.refused(x))
	w.now += 300 * ms
	w.crash(x)
	got := w.Verdicts()[0]
	require.Equal(t, stored.Hosts, got.Hosts, "the store knows of more")
	require.Equal(t, stored.Rivals, got.Rivals)
	w.now += 300 * ms
	w.success(x)
	require.Empty(t, w.Adopt(w.now, stored), "it has run well since")
}

// TestMemoryIsBounded reports crashes with fingerprints that never come again.
func TestMemoryIsBounded(t *testing.T) {
	w := newWorld(t)
	n := uint64(0)
	for range maxCrashes + maxCrashes/4 {
		var suspects []Fingerprint
		for range maxSuspects + 1 {
			n++
			suspects = append(suspects, content(n))
		}
		w.crash(suspects...)
		w.success(suspects[0])
		for i := range uint64(2) {
			w.Adopt(w.now, Verdict{Fingerprint: content(1<<40 + 2*n + i)})
		}
		w.now += time.Second
		w.Tick(w.now)
	}
	require.Len(t, w.crashes, maxCrashes)
	require.LessOrEqual(t, len(w.suspected), maxCrashes*maxSuspects)
	require.LessOrEqual(t, len(w.lastSuccess), maxCrashes+int(successRetention/time.Second)+1)
	require.LessOrEqual(t, len(w.verdicts), maxVerdicts)
}

func TestFingerprintText(t *testing.T) {
	for _, f := range []Fingerprint{{Content, 0xabc}, {ContentWithoutQuery, 1<<64 - 1}, {PromptPart, 0}} {
		text, err := f.MarshalText()
		require.NoError(t, err)
		var back Fingerprint
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, f, back)
	}
	for _, text := range []string{"", "content", "content-", "content-xyz", "content-11112222333344445", "other-1"} {
		var f Fingerprint
		require.Error(t, f.UnmarshalText([]byte(text)), text)
	}
}

// TestRequestThatCrashedHostsAloneIsNotTried condemns a request that was sent again and again, with
// a part that others share. Another request was on board of one more crash.
func TestRequestThatCrashedHostsAloneIsNotTried(t *testing.T) {
	w := newWorld(t)
	request := []Fingerprint{content(1), part(2)}
	for _, suspects := range [][]Fingerprint{request, append([]Fingerprint{content(7)}, request...), request} {
		w.crash(suspects...)
		w.now += 300 * ms
	}
	require.Less(t, w.Decide(w.now, request, true).RetryAfter, time.Minute, "the other one may be the cause")
	w.crash(request...)
	require.Equal(t, w.verdicts[content(1)].left(w.now), w.Decide(w.now, request, true).RetryAfter)
	require.Less(t, w.Decide(w.now, []Fingerprint{content(3), part(2)}, true).RetryAfter, time.Minute, "another request with the part")
}

// TestVerdictOnPartIsTried condemns a part of prompts that has no rival. Requests with it are let
// through after growing delays, of which each daemon makes those that are its turn.
func TestVerdictOnPartIsTried(t *testing.T) {
	set, x := Defaults(), part(7)
	turn := 2 * set.TrialStep
	w := newWorld(t)
	for i := range uint64(3) {
		w.crash(x, content(100+i))
		w.now += 300 * ms
	}
	w.now -= 300 * ms
	for i, delay := range []time.Duration{set.TrialDelay, set.NextTrialDelay, 10 * set.NextTrialDelay} {
		require.Equal(t, Decision{Refused: x, RetryAfter: delay + turn}, w.Decide(w.now, []Fingerprint{x}, true))
		w.now += delay + turn
		require.Equal(t, Decision{Refused: x, RetryAfter: set.TrialDelay}, w.Decide(w.now, []Fingerprint{x}, false))
		require.Equal(t, Decision{Tried: []Fingerprint{x}}, w.Decide(w.now, []Fingerprint{content(uint64(i)), x}, true))
		w.crash(x, content(uint64(i)))
	}
	require.Equal(t, 100*set.NextTrialDelay+turn, w.Decide(w.now, []Fingerprint{x}, true).RetryAfter)

	w.RecordTrial(Trial{Fingerprint: x, At: w.now, Void: true})
	require.Equal(t, 10*set.NextTrialDelay+turn, w.Decide(w.now, []Fingerprint{x}, true).RetryAfter)
	w.now += time.Second
	w.RecordTrial(Trial{Fingerprint: x, At: w.now})
	w.RecordTrial(Trial{Fingerprint: part(8), At: w.now})
	require.Greater(t, w.Decide(w.now, []Fingerprint{x}, true).RetryAfter, 100*set.NextTrialDelay, "another daemon has made one")
}

// BenchmarkDecide decides on a request with two shared parts beside as many verdicts as there may be.
func BenchmarkDecide(b *testing.B) {
	t := New(Defaults(), func(Fingerprint) int { return 0 })
	for i := range uint64(maxVerdicts) {
		t.Adopt(0, Verdict{Fingerprint: part(1000 + i)})
	}
	request := []Fingerprint{content(1), part(2), part(3)}
	for b.Loop() {
		t.Decide(time.Second, request, true)
	}
}

// BenchmarkEvaluate evaluates as many crashes and suspects as are remembered.
func BenchmarkEvaluate(b *testing.B) {
	t := New(Defaults(), func(Fingerprint) int { return 0 })
	for i := range maxCrashes {
		c := Crash{Host: fmt.Sprint(i), At: time.Duration(i) * time.Second, Begun: true}
		for j := range maxSuspects {
			c.Suspects = append(c.Suspects, content(uint64(i*maxSuspects+j)))
		}
		t.RecordCrash(c.At, c)
	}
	for b.Loop() {
		t.Evaluate(maxCrashes * time.Second)
	}
}
