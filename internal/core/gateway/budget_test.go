package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestRetriesOfAllDaemonsKeepToTheBudget lets several daemons, all of whose targets fail, get
// requests in turn and in bursts, start again, read their settings again and learn of each
// other late. In any window the requests that reached a target again are no more than the
// share of the requests and the slack that all daemons have together. The requests are those
// of the window, of the one before it or of the one half a window before it, whichever are most.
func TestRetriesOfAllDaemonsKeepToTheBudget(t *testing.T) {
	const share, slack, window = 0.2, 40, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(rt, "daemons")
		bounds := step.Bounds{RetryShare: share, RetrySlack: slack, RetryWindow: window, Stall: 5 * time.Second, Grace: 8 * time.Second}
		now, calls := time.Duration(0), 0
		daemons, began := make([]*table, count), make([]time.Duration, count)
		know := func(i, n int) { // the entries of daemons stay, so that a later read has no fewer
			daemons[i].daemons(n)
		}
		start := func(i int) {
			daemons[i], began[i] = started(t), now
			daemons[i].s.set.Bounds = bounds
			daemons[i].do(bounds)
			know(i, i+1)
		}
		for i := range daemons {
			start(i)
		}
		for i := range daemons {
			know(i, count)
		}
		var asked, again []time.Duration
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			i := rapid.IntRange(0, count-1).Draw(rt, "daemon")
			x := daemons[i]
			x.now = now - began[i] // a process counts from its start
			switch rapid.IntRange(0, 11).Draw(rt, "what") {
			case 0:
				start(i)
				know(i, count)
			case 1:
				x.do(bounds)
			case 2:
				now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause")) * time.Millisecond
			default:
				for range rapid.IntRange(1, 12).Draw(rt, "requests") {
					calls++
					asked = append(asked, now)
					effects := x.do(step.Call{ID: step.RequestID(fmt.Sprint(calls)), Host: "h", Path: "/read/1", Key: "key"})
					for sent := 0; len(effects) == 1; sent++ {
						f, ok := effects[0].(step.Forward)
						if !ok {
							break
						}
						if sent > 0 {
							again = append(again, now)
						}
						effects = x.ended(f, step.EndedRefused, 503)
					}
				}
			}
		}
		for _, from := range again {
			retries := within(again, from, window)
			requests := max(within(asked, from-window, window), within(asked, from-window/2, window), within(asked, from, window))
			require.LessOrEqual(rt, float64(retries), share*float64(requests)+slack, "from %v", from)
		}
	})
}

func within(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}
