package request

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// OnEnded handles the end of an attempt. An event that matches no running attempt is late and is
// dropped.
func (m *Manager) OnEnded(now step.Time, e step.AttemptEnded, out *step.Out) {
	c := m.calls[e.ID]
	if c == nil || c.phase != running || c.attempt != e.Attempt {
		out.Log(event.AnswerDropped, event.F("request", e.ID), event.F("attempt", e.Attempt), event.F("cause", "late"))
		return
	}
	m.recordAttempt(c, e)
	m.releaseTarget(now, c, e.Ending, e.Incarnation)
	if e.Ending == step.EndedComplete {
		m.queue(c).RecordRunTime(now.Mono - c.startedAt)
	}
	m.handleEnding(now, c, e, out)
	m.startQueued(now, c.pool(), out)
}

// recordAttempt adds the figures of an ended attempt to those of its request.
func (m *Manager) recordAttempt(c *call, e step.AttemptEnded) {
	c.deliveredTokens = max(c.deliveredTokens, e.Delivered)
	c.mayHaveRun = c.mayHaveRun || e.Ending != step.EndedUnsent && e.Ending != step.EndedRefused
	c.used.Tokens = max(c.used.Tokens, e.Tokens, int64(c.deliveredTokens))
	if c.used.FirstToken == 0 && e.FirstToken > 0 {
		c.used.FirstToken = e.FirstToken
	}
	c.used.WorstGap = max(c.used.WorstGap, e.WorstGap)
}

// handleEnding delivers the answer, retries the request or ends it, depending on how the attempt
// ended.
func (m *Manager) handleEnding(now step.Time, c *call, e step.AttemptEnded, out *step.Out) {
	switch e.Ending {
	case step.EndedComplete:
		m.complete(now, c, e, out)
	case step.EndedUnsent, step.EndedRefused:
		// The attempt provably did not run, so even a call that must not run twice may be sent
		// to another target.
		m.retryOrEnd(now, c, e, out)
	case step.EndedCancelled:
		m.end(now, c, step.Answer{
			Status: 499, Code: step.CodeCancelled, Outcome: object.Unknown,
			Message: "the caller closed the connection",
		}, out)
	default:
		if e.Ending == step.EndedBroken {
			m.Poison.AttemptBroken(now, c.req.Fingerprint, c.destination.Host, c.incarnation)
		}
		if c.idempotent && now.Mono < c.deadline {
			m.retryOrEnd(now, c, e, out)
			return
		}
		m.end(now, c, failureAnswer(e), out)
	}
}

// complete delivers a complete answer to the caller and records it under the key.
func (m *Manager) complete(now step.Time, c *call, e step.AttemptEnded, out *step.Out) {
	c.used.Complete = true
	c.used.Outcome = object.Completed
	if c.claimedBy != "" {
		m.Claims.Finish(now, c.req.Customer, c.req.Key, object.Claim{
			Attempt: string(c.claimedBy), Outcome: object.Completed, Status: e.Status, Body: e.Body,
		}, out)
	}
	out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt})
	m.forget(now, c, out)
}

// retryOrEnd sends the request to another target if the retry budget, the number of attempts and
// the deadline allow it. Otherwise it ends the request.
func (m *Manager) retryOrEnd(now step.Time, c *call, e step.AttemptEnded, out *step.Out) {
	answer := failureAnswer(e)
	if c.callerGone || now.Mono >= c.deadline {
		m.end(now, c, answer, out)
		return
	}
	c.triedTargets = append(c.triedTargets, c.target)
	if e.Ending == step.EndedBroken || e.Ending == step.EndedUnsent {
		c.failures = append(c.failures, targetFailure{target: c.target, failedAt: now.Mono})
	}
	if left, condemned := m.Poison.Condemned(now, c.req.Fingerprint); condemned {
		m.endQuarantined(now, c, answer, left, out)
		return
	}
	if !m.budget.Allow(c.attempts) {
		m.end(now, c, answer, out)
		return
	}
	out.Log(event.RequestRetried, event.F("request", c.req.ID), event.F("attempt", c.attempt), event.F("target", c.target), event.F("ending", e.Ending))
	m.startOrQueue(now, c, out)
}

// endQuarantined ends a request whose fingerprint is condemned.
func (m *Manager) endQuarantined(now step.Time, c *call, a step.Answer, left time.Duration, out *step.Out) {
	out.Log(event.RequestQuarantined, event.F("request", c.req.ID), event.F("customer", c.req.Customer))
	a.Code, a.Status, a.RetryAfter = step.CodeQuarantined, 422, left
	a.Message = "targets died running this request: change it before sending it again"
	m.end(now, c, a, out)
}

// failureAnswer is the answer to a request whose last attempt ended without a complete answer.
func failureAnswer(e step.AttemptEnded) step.Answer {
	a := step.Answer{Status: 502, Code: step.CodeTargetFailed, Outcome: object.Unknown, RetryAfter: defaultRetryAfter}
	switch e.Ending {
	case step.EndedUnsent:
		a.Status, a.Outcome = 503, object.NotRun
		a.Message = "no target could be connected to: come back"
	case step.EndedRefused:
		a.Status, a.Outcome = 503, object.NotRun
		a.Message = "every target tried refused the request before running it: come back"
	case step.EndedTimeout:
		a.Status, a.Code, a.RetryAfter = 504, step.CodeDeadline, 0
		a.Message = "the deadline passed before the whole answer was there: give more time"
	case step.EndedError:
		a.Message = fmt.Sprintf("the target answered with status %d and may have run the request: find out at the service before sending it again", e.Status)
	default:
		a.Message = "the answer broke off and the request may have run: find out at the service before sending it again"
	}
	if e.Delivered > 0 {
		a.Code = step.CodeStreamBroken
		a.Outcome = object.Unknown
	}
	return a
}

// endNotRun ends a request that has no attempt in flight. end corrects the outcome if an earlier
// attempt may have run.
func (m *Manager) endNotRun(now step.Time, c *call, a step.Answer, out *step.Out) {
	a.Outcome = object.NotRun
	m.end(now, c, a, out)
}

// end sends the final answer of the request.
func (m *Manager) end(now step.Time, c *call, a step.Answer, out *step.Out) {
	a.ID = c.req.ID
	if c.mayHaveRun && a.Outcome == object.NotRun {
		// The last attempt did not run, but an earlier one may have.
		a.Outcome = object.Unknown
	}
	m.closeClaim(now, c, &a, out)
	c.used.Outcome, c.used.Attempt = a.Outcome, a.Attempt
	out.Add(a)
	m.forget(now, c, out)
}

// closeClaim releases the key of a call that provably did not run, and records the outcome of
// one that may have run. That this attempt did not run does not prove that the call never
// runs: an earlier submission with the same key may have run elsewhere, and one that waits at
// another daemon may run once the key is released. So the answer's outcome is unknown, its
// attempt is reported as not run, and the caller may repeat the key.
func (m *Manager) closeClaim(now step.Time, c *call, a *step.Answer, out *step.Out) {
	if !c.needsClaim() {
		return
	}
	switch {
	case c.claimedBy == "" && c.phase == claiming && a.Attempt == "":
		// The claim may already be stored or still be in flight.
		m.Claims.Release(now, c.req.Customer, c.req.Key, c.attempt, out)
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	case c.claimedBy == "" && a.Attempt == "":
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	case c.claimedBy != "" && a.Outcome == object.NotRun:
		m.Claims.Release(now, c.req.Customer, c.req.Key, c.claimedBy, out)
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
		if a.Code != step.CodeKeyExpired {
			a.Message += "; this attempt was not run, and repeating it with the same key is safe"
		}
	case c.claimedBy != "":
		m.Claims.Finish(now, c.req.Customer, c.req.Key, object.Claim{
			Attempt: string(c.claimedBy), Outcome: a.Outcome, Status: a.Status,
		}, out)
	}
}

// refuse answers a request that was not admitted.
func (m *Manager) refuse(c *call, a step.Answer, out *step.Out) {
	a.ID = c.req.ID
	a.Outcome = object.NotRun
	if c.req.Key != "" && !c.idempotent {
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	}
	out.Add(a)
	out.Log(event.RequestAnswered, event.F("request", c.req.ID), event.F("customer", c.req.Customer),
		event.F("outcome", a.Outcome), event.F("code", a.Code))
}

// forget drops an answered request, settles its reservation and logs the answer.
func (m *Manager) forget(now step.Time, c *call, out *step.Out) {
	delete(m.calls, c.req.ID)
	if c.phase == queued {
		m.queue(c).Remove(c.req.Customer, c.req.ID)
	}
	if c.hasReservation {
		m.Limits.Settle(now, c.used)
	}
	out.Log(event.RequestAnswered, event.F("request", c.req.ID), event.F("customer", c.req.Customer),
		event.F("outcome", c.used.Outcome), event.F("target", c.target), event.F("attempts", c.attempts),
		event.F("millis", (now.Mono-c.arrivedAt).Milliseconds()), event.F("whole", c.used.Complete),
		event.F("firstTokenMillis", c.used.FirstToken.Milliseconds()), event.F("worstGapMillis", c.used.WorstGap.Milliseconds()))
}

// OnCallerGone handles a caller that closed its connection. It cancels a running attempt of an
// idempotent call, and ends a request that has no attempt in flight.
func (m *Manager) OnCallerGone(now step.Time, id step.RequestID, out *step.Out) {
	c := m.calls[id]
	if c == nil {
		return
	}
	c.callerGone = true
	answer := step.Answer{Status: 499, Code: step.CodeCancelled, Message: "the caller closed the connection"}
	switch c.phase {
	case running:
		if c.idempotent {
			out.Add(step.Cancel{ID: id, Attempt: c.attempt, To: c.destination})
		}
		// A call that must not run twice continues, so that its outcome can be recorded.
	case claiming:
		m.releaseTarget(now, c, step.EndedUnsent, "")
		m.endNotRun(now, c, answer, out)
		m.startQueued(now, c.pool(), out)
	case queued, parked, reserving:
		m.endNotRun(now, c, answer, out)
	}
}
