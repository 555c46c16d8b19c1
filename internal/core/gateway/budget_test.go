package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// TestRetriesOfAllDaemonsStayWithinBudget lets several daemons, all of whose targets fail, get
// requests in turn and in bursts, restart, read their settings again and learn of each other
// late. In any window, the retries that reached a target must not exceed the common share of
// the requests plus the common slack. The requests are those of the window, of the one before
// it or of the one half a window before it, whichever are most.
func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	const share, slack, window = 0.2, 40, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(rt, "daemons")
		settings := step.GatewaySettings{RetryShare: share, RetrySlack: slack, RetryWindow: window, EngineStall: 5 * time.Second, ShutdownTimeout: 8 * time.Second}
		now, calls := time.Duration(0), 0
		daemons, startedAt := make([]*harness, count), make([]time.Duration, count)
		setKnownDaemons := func(i, n int) { // daemons' entries remain, so that a later read has no fewer
			daemons[i].setDaemons(n)
		}
		start := func(i int) {
			daemons[i], startedAt[i] = started(t), now
			daemons[i].s.settings.Limits = settings
			daemons[i].reduce(settings)
			setKnownDaemons(i, i+1)
		}
		for i := range daemons {
			start(i)
		}
		for i := range daemons {
			setKnownDaemons(i, count)
		}
		var requestTimes, retryTimes []time.Duration
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			i := rapid.IntRange(0, count-1).Draw(rt, "daemon")
			x := daemons[i]
			x.now = now - startedAt[i] // a process's monotonic time begins at its start
			switch rapid.IntRange(0, 11).Draw(rt, "what") {
			case 0:
				start(i)
				setKnownDaemons(i, count)
			case 1:
				x.reduce(settings)
			case 2:
				now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause")) * time.Millisecond
			default:
				for range rapid.IntRange(1, 12).Draw(rt, "requests") {
					calls++
					requestTimes = append(requestTimes, now)
					effects := x.reduce(step.Call{ID: step.RequestID(fmt.Sprint(calls)), Host: "h", Path: "/read/1", Key: "key"})
					for sent := 0; len(effects) == 1; sent++ {
						f, ok := effects[0].(step.Forward)
						if !ok {
							break
						}
						if sent > 0 {
							retryTimes = append(retryTimes, now)
						}
						effects = x.endAttempt(f, step.EndedRefused, 503)
					}
				}
			}
		}
		for _, from := range retryTimes {
			retries := countWithin(retryTimes, from, window)
			requests := max(countWithin(requestTimes, from-window, window), countWithin(requestTimes, from-window/2, window), countWithin(requestTimes, from, window))
			require.LessOrEqual(rt, float64(retries), share*float64(requests)+slack, "from %v", from)
		}
	})
}

func countWithin(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// TestRequestsOfOneServiceAllowNoRetriesAtAnother guards against retries at a small service that the requests of a large one pay for.
func TestRequestsOfOneServiceAllowNoRetriesAtAnother(t *testing.T) {
	x := startedWithSlack(t)
	x.setHosts(openHead("e1"), plainHost("s1"), plainHost("s2"))
	retries := 0
	const chats, reads = 2000, 100
	for i := range chats {
		x.now += 10 * time.Second / chats
		effects := x.reduce(step.Call{ID: step.RequestID(fmt.Sprint("chat", i)), Host: "h", Path: "/chat/1", Key: "key", Model: "m", PromptTokens: 500})
		x.endAttempt(x.requireForward(effects), step.EndedComplete, 200)
		if i%(chats/reads) > 0 {
			continue
		}
		effects = x.reduce(step.Call{ID: step.RequestID(fmt.Sprint("read", i)), Host: "h", Path: "/read/1", Key: "key"})
		for effects = x.endAttempt(x.requireForward(effects), step.EndedRefused, 503); len(effects) == 1; retries++ {
			f, ok := effects[0].(step.Forward)
			if !ok {
				break
			}
			effects = x.endAttempt(f, step.EndedRefused, 503)
		}
	}
	require.LessOrEqual(t, float64(retries), 0.2*reads+50)
	require.Positive(t, retries)
}

// withRetries gives a daemon among three that is cut off a number of retries that requests do not add to.
func withRetries(t *testing.T, n float64) *harness {
	x := cutOff(t)
	x.now = 10*time.Second + learnTime
	limits := x.s.settings.Limits
	limits.RetryShare, limits.RetrySlack = 0, 3*(n+0.1)/budgetShare
	x.reduce(limits)
	return x
}

// TestRetryAfterRefusalsAtAnotherDaemonIsBudgeted guards against arrivals that no daemon counts: another daemon's hosts
// have refused the request before it comes back.
func TestRetryAfterRefusalsAtAnotherDaemonIsBudgeted(t *testing.T) {
	for _, code := range []step.Code{step.CodeTargetFailed, step.CodeCutOff, step.CodeShuttingDown} {
		for reached, sentAgain := range []bool{true, false} {
			x := withRetries(t, 1)
			_, effects := x.call("/read/1", "key")
			effects = x.endAttempt(x.requireForward(effects), step.EndedError, 500)
			last, _ := x.failUntilHandedOver(effects, step.EndedUnsent)
			f := last.(step.Forward)
			effects = x.reduce(step.ForwardEnded{
				AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: step.EndedRefused},
				Handover:     &step.HandoverResult{Sent: 1, Reached: reached, Answer: &step.Answer{Status: 503, Code: code, Outcome: object.NotRun}},
			})
			_, again := effects[0].(step.Forward)
			require.Equal(t, sentAgain, again, "%s after %d arrivals", code, reached)
		}
	}
}

// TestRequestCountsOnceOverDaemons guards against a request that each daemon counts that tries to send it.
func TestRequestCountsOnceOverDaemons(t *testing.T) {
	for sent, counted := range []bool{false, true} {
		x := withRetries(t, 1)
		_, effects := x.call("/read/1", "key")
		x.failUntilHandedOver(effects, step.EndedUnsent)
		_, effects = x.call("/read/1", "key")
		f := x.requireForward(effects)
		require.NotEmpty(t, f.Daemon)
		require.False(t, f.Counted)
		f = x.requireForward(x.reduce(step.ForwardEnded{
			AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: step.EndedRefused},
			Handover:     &step.HandoverResult{Sent: sent, Answer: &step.Answer{Status: 503, Code: step.CodeCutOff, Outcome: object.NotRun}},
		}))
		require.NotEmpty(t, f.Daemon)
		require.Equal(t, counted, f.Counted, "%d attempts at the other daemon's hosts", sent)
	}
}

// TestHandedOverRequestKeepsItsService guards against retries that are budgeted at another service than the first attempt.
func TestHandedOverRequestKeepsItsService(t *testing.T) {
	x := startedWithSlack(t)
	small := plainHost("s")
	small.Service = "small"
	x.reduce(step.SiteConfig{Revision: 2, Config: budgetConfig(t)})
	x.setHosts(plainHost("a"), small)
	for i := range 40 {
		service := []string{"plain", "small"}[i%2]
		f := x.requireForward(x.reduce(step.Call{ID: step.RequestID(fmt.Sprint(i)), Host: "h", Path: "/split/1", HandedOver: true, MaxRuns: 1, Service: service}))
		require.Equal(t, service, f.Service)
		x.endAttempt(f, step.EndedComplete, 200)
	}
}

// retryAll lets all retries of a daemon be made that it allows, and returns their number.
func (x *harness) retryAll(requests int) int {
	retries := 0
	for i := range requests {
		effects := x.reduce(step.Call{ID: step.RequestID(fmt.Sprint(x.now, i)), Host: "h", Path: "/read/1", Key: "key"})
		for effects = x.endAttempt(x.requireForward(effects), step.EndedRefused, 503); len(effects) == 1; retries++ {
			f, ok := effects[0].(step.Forward)
			if !ok {
				break
			}
			effects = x.endAttempt(f, step.EndedRefused, 503)
		}
	}
	return retries
}

// TestSlackStaysWithinBoundWhenDaemonsJoin guards against slack that a daemon has used before it learns of others, and
// that those use again within the same window.
func TestSlackStaysWithinBoundWhenDaemonsJoin(t *testing.T) {
	const slack = 50.0
	limits := newHarness(t).s.settings.Limits
	limits.RetryShare, limits.RetrySlack = 0, slack
	old := started(t)
	old.reduce(limits)
	old.setDaemons(1)
	old.now = time.Minute // the others start now
	old.now += 1900 * time.Millisecond
	retries := old.retryAll(200)
	for range 7 {
		x := started(t)
		x.reduce(limits)
		x.setDaemons(8)
		x.now = 10 * time.Second
		retries += x.retryAll(200)
		x.now += learnTime
		require.Positive(t, x.retryAll(200), "the old part is more than a window ago")
	}
	require.LessOrEqual(t, float64(retries), slack, "within 8.1 s")
	require.Positive(t, retries)
}

// TestNoSlackBeforeTheOtherDaemonsAreKnown guards against daemons each of which takes all of the slack.
func TestNoSlackBeforeTheOtherDaemonsAreKnown(t *testing.T) {
	x := newHarness(t)
	x.configure(1)
	x.setHosts(plainHost("a"), plainHost("b"))
	limits := x.s.settings.Limits
	limits.RetryShare = 0
	x.reduce(limits)
	x.now = time.Minute
	require.Zero(t, x.retryAll(20))
	x.setDaemons(2)
	require.Equal(t, 20, x.retryAll(200), "its part of the slack")
}

// TestSmallServiceUnderManyDaemonsHasRetries guards against parts of the slack that add up to more than the bound, and
// against parts that are too small for any retry.
func TestSmallServiceUnderManyDaemonsHasRetries(t *testing.T) {
	const daemons, slack = 195, 130.0
	for _, requests := range []int{1, 2, 5, 20} {
		retries := 0
		for i := range daemons {
			x := newHarness(t)
			limits := x.s.settings.Limits
			limits.RetrySlack = slack
			x.s = New(Settings{Daemon: fmt.Sprint("d", i), Incarnation: "r0", DataCentre: "dc", Cores: 1, Limits: limits})
			x.configure(1)
			x.setDaemons(daemons)
			x.setHosts(plainHost("a"), plainHost("b"))
			x.now = 10*time.Second + learnTime
			retries += x.retryAll(requests)
		}
		require.LessOrEqual(t, float64(retries), 0.2*float64(requests)*daemons+slack, "%d requests at each daemon", requests)
		require.GreaterOrEqual(t, retries, 104, "%d requests at each daemon: the slack without its margin", requests)
	}
}
