package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/retry"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// waitingTime is for how long these tests let a stream wait; its deadline is later.
const waitingTime = 1500 * time.Millisecond

// interruptedStream returns a harness in which a stream broke after some events, and the effects of
// that. No head is left.
func interruptedStream(t *testing.T, events int) (*harness, step.RequestID, []step.Effect) {
	x := startedWithSlack(t)
	id, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	if events > 0 {
		x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt})
		x.reduce(step.StreamStarted{ID: id, Attempt: f.Attempt})
	}
	x.now += 300 * time.Millisecond
	x.setHosts(plainHost("a"))
	return x, id, x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedBroken, Delivered: events}})
}

// TestBegunStreamWaitsForATarget lets a head open while an interrupted stream waits.
func TestBegunStreamWaitsForATarget(t *testing.T) {
	x, id, effects := interruptedStream(t, 2)
	require.Empty(t, effects)
	x.now += waitingTime / 2
	require.NotContains(t, x.reduce(step.Tick{}), step.Cancel{ID: id})
	x.setHosts(openHead("h3"))
	f := x.requireForward(x.reduce(step.Tick{}))
	require.Equal(t, "h3", f.Host)
	require.Zero(t, x.s.interrupted)
	effects = x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedComplete, Status: 200, Delivered: 9}})
	require.Equal(t, []step.Effect{step.Deliver{ID: id, Attempt: f.Attempt}}, effects)
}

func TestBegunStreamEndsWithoutATarget(t *testing.T) {
	x, id, effects := interruptedStream(t, 2)
	require.Empty(t, effects)
	x.now = x.s.calls[id].deadline - 1
	require.Empty(t, answersOf(x.reduce(step.Tick{})))
	x.now++
	answers := answersOf(x.reduce(step.Tick{}))
	require.Len(t, answers, 1)
	require.Equal(t, 502, answers[0].Status)
	require.Equal(t, step.CodeStreamBroken, answers[0].Code)
	require.Zero(t, x.s.interrupted)
	require.Empty(t, x.s.calls)
}

func TestCallerLeavesWhileStreamWaits(t *testing.T) {
	x, id, _ := interruptedStream(t, 2)
	x.reduce(step.CallerGone{ID: id})
	x.setHosts(openHead("h3"))
	answers := answersOf(x.reduce(step.Tick{}))
	require.Len(t, answers, 1)
	require.Equal(t, 499, answers[0].Status)
	require.Empty(t, x.s.calls)
}

func TestRequestThatHasNotBegunDoesNotWait(t *testing.T) {
	x, _, effects := interruptedStream(t, 0)
	require.Equal(t, 502, x.requireAnswer(effects).Status)
	require.Empty(t, x.s.calls)
}

// TestResumedStreamsKeepToTheBudget lets more streams wait than may be sent again.
func TestResumedStreamsKeepToTheBudget(t *testing.T) {
	x, _, _ := interruptedStream(t, 2)
	x.s.budget.Set(x.now, retry.WindowSettings{Length: time.Minute, MaxAttempts: 1})
	x.setHosts(openHead("h3"))
	require.Empty(t, answersOf(x.reduce(step.Tick{})))
	require.Equal(t, 1, x.s.interrupted)
}

func answersOf(effects []step.Effect) (answers []step.Answer) {
	for _, e := range effects {
		if a, ok := e.(step.Answer); ok {
			answers = append(answers, a)
		}
	}
	return answers
}

// TestBegunStreamGoesBackToAHeadThatOpensAgain guards against a stream that waits for a target while it
// avoids the only ones there are.
func TestBegunStreamGoesBackToAHeadThatOpensAgain(t *testing.T) {
	x, id, effects := interruptedStream(t, 2)
	require.Empty(t, effects)
	failed := x.s.calls[id].host
	x.now += waitingTime / 4
	closed := openHead(failed)
	closed.Member.Phase = site.Closing
	x.setHosts(closed)
	require.Empty(t, x.reduce(step.Tick{}))
	x.now += waitingTime / 4
	x.setHosts(openHead(failed))
	require.Equal(t, failed, x.requireForward(x.reduce(step.Tick{})).Host)
	require.Zero(t, x.s.interrupted)
}

// TestBegunStreamAvoidsAHeadThatHasNotChanged guards against a stream that goes back to where it has just
// failed.
func TestBegunStreamAvoidsAHeadThatHasNotChanged(t *testing.T) {
	x := startedWithSlack(t)
	x.setHosts(openHead("h1"))
	id, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt})
	x.reduce(step.StreamStarted{ID: id, Attempt: f.Attempt})
	require.Empty(t, answersOf(x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedBroken, Delivered: 2}})))
	for range 2 {
		x.now += waitingTime / 4
		x.setHosts(openHead("h1"))
		for _, e := range x.reduce(step.Tick{}) {
			_, sent := e.(step.Forward)
			require.False(t, sent)
		}
	}
	require.Equal(t, 1, x.s.interrupted)
}
