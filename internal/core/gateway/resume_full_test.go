package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/retry"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// callerAt sends a request for a stream and returns its attempt, or nil if it was refused.
func (x *harness) callerAt(n int) *step.Forward {
	id := step.RequestID(fmt.Sprintf("n%d", n))
	effects := x.reduce(step.Call{ID: id, CallerID: "caller-" + string(id), Host: "H:80", Path: "/chat/1", Key: "key", Model: "m", PromptTokens: 500, BodyHash: uint64(n)})
	for _, e := range effects {
		if f, ok := e.(step.Forward); ok {
			x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt})
			return &f
		}
	}
	return nil
}

// fullHead returns a harness in which a begun stream has lost its head while new requests keep the other
// one full, and the function that lets one of these end and another come at once.
func fullHead(t *testing.T) (*harness, step.RequestID, func() bool) {
	x := startedWithSlack(t)
	x.setHosts(openHead("h1"))
	id, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt})
	x.reduce(step.StreamStarted{ID: id, Attempt: f.Attempt})
	x.setHosts(openHead("h2"))
	var open []*step.Forward
	n := 0
	admit := func() bool {
		n++
		forward := x.callerAt(n)
		if forward != nil {
			open = append(open, forward)
		}
		return forward != nil
	}
	for admit() {
	}
	x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedBroken, Delivered: 2}})
	return x, id, func() bool {
		x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: open[0].ID, Attempt: open[0].Attempt, Ending: step.EndedComplete, Status: 200, Delivered: 9}})
		open = open[1:]
		return admit()
	}
}

// TestBegunStreamComesBeforeNewRequests guards against a begun stream that is cut while new requests, which
// could be refused, take every place that becomes free.
func TestBegunStreamComesBeforeNewRequests(t *testing.T) {
	x, id, next := fullHead(t)
	admitted := 0
	for at := time.Duration(0); at <= waitingTime; at += 50 * time.Millisecond {
		x.now += 50 * time.Millisecond
		if next() {
			admitted++
		}
		x.reduce(step.Tick{})
	}
	require.Contains(t, x.s.calls, id, "the stream was cut")
	require.Equal(t, "h2", x.s.calls[id].host)
	require.Equal(t, 2, x.s.calls[id].attempts)
	require.Zero(t, x.s.interrupted)
	require.Positive(t, admitted, "new requests are still admitted")
}

// TestBegunStreamAtAFullHeadKeepsToTheBudget guards against a precedence that goes past the retry budget.
func TestBegunStreamAtAFullHeadKeepsToTheBudget(t *testing.T) {
	x := startedWithSlack(t)
	x.s.budget.Set(x.now, retry.WindowSettings{Length: time.Minute, MaxAttempts: 1})
	x.setHosts(openHead("h1"))
	id, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt})
	x.reduce(step.StreamStarted{ID: id, Attempt: f.Attempt})
	x.setHosts(openHead("h2"))
	for n := 1; x.callerAt(n) != nil; n++ {
	}
	effects = x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedBroken, Delivered: 2}})
	for _, e := range append(effects, x.reduce(step.Tick{})...) {
		_, sent := e.(step.Forward)
		require.False(t, sent)
	}
}
