package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// A stalled stream may be at a target that is sound and goes on a moment later. So it is not cancelled for another
// attempt that may be refused: it runs on beside the takeover, a second attempt at another target or daemon, until
// one of the two delivers an event. Then the other one is cancelled. A takeover that is refused, fails or stalls
// itself ends alone.

// startTakeover starts a second attempt of a stream that has stalled. mayMove has allowed it.
func (s *State) startTakeover(now time.Duration, c *call, e step.AnswerStalled, out *step.Out) {
	request := s.moveRequest(now, c)
	running := c.attemptState
	running.stall = e
	c.other = &running
	switch {
	case s.wantsHandover(c):
		if !s.handOver(now, c, out) {
			c.restoreOther()
		}
	default:
		s.forward(now, c, s.targets.Choose(now, request), request, nil, out)
	}
}

// callOf returns the request of a running attempt, with that attempt as its last one, or nil.
func (s *State) callOf(id step.RequestID, attempt step.AttemptID) *call {
	c := s.calls[id]
	switch {
	case c == nil:
		return nil
	case c.attempt == attempt:
		return c
	case c.other != nil && c.other.attempt == attempt:
		c.attemptState, *c.other = *c.other, c.attemptState
		return c
	}
	return nil
}

// onResumed handles an attempt that goes on after a takeover was started.
func (s *State) onResumed(now time.Duration, e step.StreamResumed, out *step.Out) {
	if c := s.callOf(e.ID, e.Attempt); c != nil {
		s.abandonOther(now, c, out)
	}
}

// abandonOther cancels the attempt that runs beside the last one, which goes on.
func (s *State) abandonOther(now time.Duration, c *call, out *step.Out) {
	other := c.other
	if other == nil {
		return
	}
	c.other = nil
	c.logTakeoverEnded(&c.attemptState, other.attempt, "goes on", out)
	out.Add(step.Cancel{ID: c.req.ID, Attempt: other.attempt})
	s.recordAbandoned(now, c, other)
	if !other.isTakeover && other.host != "" {
		c.failedHosts = append(c.failedHosts, other.host)
	}
}

// abandonTakeover cancels a takeover that has stalled. The attempt that it was to replace runs on.
func (s *State) abandonTakeover(now time.Duration, c *call, out *step.Out) {
	takeover := c.attemptState
	c.logTakeoverEnded(c.other, takeover.attempt, "stalled", out)
	out.Add(step.Cancel{ID: c.req.ID, Attempt: takeover.attempt})
	c.restoreOther()
	s.recordAbandoned(now, c, &takeover)
	if takeover.host != "" {
		c.failedHosts = append(c.failedHosts, takeover.host)
	}
}

// continueWithOther goes on with the other attempt after the last one has ended without a complete answer. If that was a
// takeover that did not run, the next target is asked at once.
func (s *State) continueWithOther(now time.Duration, c *call, e step.ForwardEnded, out *step.Out) {
	c.logTakeoverEnded(c.other, "", e.Ending.String(), out)
	c.avoidHost(e.Ending)
	notRun := c.isTakeover && (e.Ending == step.EndedRefused || e.Ending == step.EndedUnsent)
	c.restoreOther()
	if notRun && !c.callerGone {
		s.moveIfAllowed(now, c, c.stall, out)
	}
}

// logTakeoverEnded logs which of two attempts goes on alone, and which one is cancelled for it, if any.
func (c *call) logTakeoverEnded(goesOn *attemptState, cancelled step.AttemptID, reason string, out *step.Out) {
	out.Log(event.TakeoverEnded, event.F("request", c.req.CallerID), event.F("attempt", goesOn.attempt), event.F("host", goesOn.host), event.F("daemon", goesOn.daemon),
		event.F("taken", goesOn.isTakeover), event.F("cancelled", cancelled), event.F("reason", reason))
}

// restoreOther makes the other attempt the last one.
func (c *call) restoreOther() {
	c.attemptState, c.other = *c.other, nil
	c.isTakeover = false
}

// avoidHost keeps the request from the host of its last attempt, which has ended. One that refused a stream that
// has begun may have room later.
func (c *call) avoidHost(ending step.Ending) {
	if c.host != "" && !(ending == step.EndedRefused && c.events > 0) {
		c.failedHosts = append(c.failedHosts, c.host)
	}
}

// recordAbandoned records the end of an attempt that is cancelled, and whose end no longer matters. It may have run.
func (s *State) recordAbandoned(now time.Duration, c *call, a *attemptState) {
	if a.daemon != "" {
		c.ranAttempts = max(c.ranAttempts+1, c.maxRuns-1) // it was allowed all but the one that runs beside it
		return
	}
	c.ranAttempts++
	s.targets.EndRequest(now, a.host, place.Outcome{PromptTokens: c.req.PromptTokens, AnswerBegan: a.answerBegan})
}

// cancelAttempts cancels all running attempts.
func (c *call) cancelAttempts(out *step.Out) {
	out.Add(step.Cancel{ID: c.req.ID, Attempt: c.attempt})
	if c.other != nil {
		out.Add(step.Cancel{ID: c.req.ID, Attempt: c.other.attempt})
	}
}

// runningBeside is the number of attempts that run beside the last one.
func (c *call) runningBeside() int {
	if c.other != nil {
		return 1
	}
	return 0
}

// streamBegan reports whether the caller has an event of the stream. events counts those of a running attempt only
// once it has ended.
func (c *call) streamBegan() bool { return c.events > 0 || c.firstEventAt > 0 || c.other.hasBegun() }

// hasBegun reports whether there is such an attempt and it has delivered an event.
func (a *attemptState) hasBegun() bool { return a != nil && a.firstEventAt > 0 }
