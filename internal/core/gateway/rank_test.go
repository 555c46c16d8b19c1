package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestBegunStreamKeepsItsUrgency guards against a stream that breaks after its objective, as most do, and then
// waits behind all new requests at the next head: its caller has a part of the answer and can't be refused.
func TestBegunStreamKeepsItsUrgency(t *testing.T) {
	x := startedWithSlack(t)
	x.s.config.Match("h", "/chat/1").Goal = 500 * time.Millisecond
	id, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt})
	x.reduce(step.StreamStarted{ID: id, Attempt: f.Attempt})
	x.now += 2 * time.Second
	x.setHosts(plainHost("a"))
	x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: id, Attempt: f.Attempt, Ending: step.EndedBroken, Delivered: 3}})
	x.setHosts(openHead("h3"))
	again := x.requireForward(x.reduce(step.Tick{}))
	require.Equal(t, f.Urgency, again.Urgency)
	require.False(t, again.Late)
}

// TestRequestsWithoutAGoalGetTheSamePlaces guards against routes without a goal that are refused wherever
// requests of other routes wait.
func TestRequestsWithoutAGoalGetTheSamePlaces(t *testing.T) {
	for _, goal := range []time.Duration{0, time.Second} {
		x := startedWithSlack(t)
		x.setHosts(openHead("h1"))
		x.s.config.Match("h", "/chat/1").Goal = goal
		id, effects := x.call("/chat/1", "key")
		f := x.requireForward(effects)
		x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt, Load: site.Load{Running: 26, Waiting: 5, Slots: 26}})
		_, effects = x.call("/chat/1", "key")
		x.requireForward(effects)
	}
}

// TestLateRequestsLeavePlacesFree guards against late requests that fill the places in which urgent ones would wait.
func TestLateRequestsLeavePlacesFree(t *testing.T) {
	for _, late := range []bool{false, true} {
		x := startedWithSlack(t)
		x.setHosts(openHead("h1"))
		x.s.config.Match("h", "/chat/1").Goal = time.Second
		id, effects := x.call("/chat/1", "key")
		f := x.requireForward(effects)
		x.reduce(step.AnswerBegan{ID: id, Attempt: f.Attempt, Load: site.Load{Running: 26, Waiting: 5, Slots: 26}})
		if late {
			x.s.config.Match("h", "/chat/1").Goal = time.Millisecond
		}
		_, effects = x.call("/chat/1", "key")
		if late {
			require.Equal(t, 503, x.requireAnswer(effects).Status)
			continue
		}
		require.False(t, x.requireForward(effects).Late)
	}
}

// TestLittleTimeIsNoDemand guards against callers who state less time than any answer needs: their refusals
// counted as work that found no room, and took hosts from other models.
func TestLittleTimeIsNoDemand(t *testing.T) {
	x := startedWithSlack(t)
	x.setHosts(openHead("h1"))
	c := &call{req: step.Call{ID: "q", Model: "m", PromptTokens: 500}, arrivedAt: x.now, deadline: x.now + time.Millisecond, service: "llm", route: x.s.config.Match("h", "/chat/1")}
	out := &step.Out{}
	for range 20 {
		c.demanded = false
		x.s.sendToTarget(x.now, c, step.Answer{}, out)
	}
	require.InDelta(t, 1, x.s.pools["llm"].AdmittedShare(x.now, "m"), 0)
}
