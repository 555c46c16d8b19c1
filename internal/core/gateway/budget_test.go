package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
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

// TestNoRetrySlackBeforeTheDaemonsAreKnown guards against daemons that each use the whole slack as long as they have not
// read the list of daemons.
func TestNoRetrySlackBeforeTheDaemonsAreKnown(t *testing.T) {
	const daemons, requests = 7, 40
	retries := 0
	for range daemons {
		x := started(t)
		x.now = 20 * time.Second
		x.setHosts(plainHost("s1"), plainHost("s2"))
		for i := range requests {
			effects := x.reduce(step.Call{ID: step.RequestID(fmt.Sprint(i)), Host: "h", Path: "/read/1", Key: "key"})
			for effects = x.endAttempt(x.requireForward(effects), step.EndedRefused, 503); len(effects) == 1; retries++ {
				f, ok := effects[0].(step.Forward)
				if !ok {
					break
				}
				effects = x.endAttempt(f, step.EndedRefused, 503)
			}
		}
	}
	require.LessOrEqual(t, float64(retries), 0.2*daemons*requests+50)
}
