package request

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// OnEnded takes the end of an attempt. An end that belongs to no running attempt is
// late and is dropped.
func (m *Manager) OnEnded(now step.Time, e step.AttemptEnded, out *step.Out) {
	c := m.calls[e.ID]
	if c == nil || c.phase != running || c.attempt != e.Attempt {
		out.Log(event.AnswerDropped, event.F("request", e.ID), event.F("attempt", e.Attempt), event.F("cause", "late"))
		return
	}
	m.note(c, e)
	m.leave(now, c, e.Ending, e.Incarnation)
	if e.Ending == step.EndedWhole {
		m.queue(c).Served(now.Mono - c.started)
	}
	m.conclude(now, c, e, out)
	m.pump(now, c.pool(), out)
}

func (m *Manager) note(c *call, e step.AttemptEnded) {
	c.delivered = max(c.delivered, e.Delivered)
	c.ran = c.ran || e.Ending != step.EndedUnsent && e.Ending != step.EndedRefused
	c.used.Tokens = max(c.used.Tokens, e.Tokens, int64(c.delivered))
	if c.used.FirstToken == 0 && e.FirstToken > 0 {
		c.used.FirstToken = e.FirstToken
	}
	c.used.WorstGap = max(c.used.WorstGap, e.WorstGap)
}

// conclude decides what an ended attempt means for its request.
func (m *Manager) conclude(now step.Time, c *call, e step.AttemptEnded, out *step.Out) {
	switch e.Ending {
	case step.EndedWhole:
		m.whole(now, c, e, out)
	case step.EndedUnsent, step.EndedRefused:
		// Proved not to have run: any work may go elsewhere.
		m.again(now, c, e, out)
	case step.EndedCancelled:
		m.end(now, c, step.Answer{
			Status: 499, Code: step.CodeCancelled, Outcome: object.Unknown,
			Message: "the caller closed the connection",
		}, out)
	default:
		if e.Ending == step.EndedBroken {
			m.Poison.Broken(now, c.req.Fingerprint, c.to.Host, c.incarnation)
		}
		if c.idempotent && now.Mono < c.deadline {
			m.again(now, c, e, out)
			return
		}
		m.end(now, c, failed(e), out)
	}
}

func (m *Manager) whole(now step.Time, c *call, e step.AttemptEnded, out *step.Out) {
	c.used.Whole = true
	c.used.Outcome = object.Completed
	if c.claim != "" {
		m.Claims.Finish(now, c.req.Customer, c.req.Key, object.Claim{
			Attempt: string(c.claim), Outcome: object.Completed, Status: e.Status, Body: e.Body,
		}, out)
	}
	out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt})
	m.forget(now, c, out)
}

// again sends the request to another target if the budget, the attempts and the
// deadline allow, and gives it up otherwise.
func (m *Manager) again(now step.Time, c *call, e step.AttemptEnded, out *step.Out) {
	answer := failed(e)
	if c.gone || now.Mono >= c.deadline {
		m.end(now, c, answer, out)
		return
	}
	c.tried = append(c.tried, c.target)
	if e.Ending == step.EndedBroken || e.Ending == step.EndedUnsent {
		c.doubts = append(c.doubts, doubt{target: c.target, since: now.Mono})
	}
	if left, condemned := m.Poison.Condemned(now, c.req.Fingerprint); condemned {
		m.quarantine(now, c, answer, left, out)
		return
	}
	if !m.budget.Allow(c.attempts) {
		m.end(now, c, answer, out)
		return
	}
	out.Log(event.RequestRetried, event.F("request", c.req.ID), event.F("attempt", c.attempt), event.F("target", c.target), event.F("ending", e.Ending))
	m.place(now, c, out)
}

// quarantine ends a request that has just been condemned.
func (m *Manager) quarantine(now step.Time, c *call, a step.Answer, left time.Duration, out *step.Out) {
	out.Log(event.RequestQuarantined, event.F("request", c.req.ID), event.F("customer", c.req.Customer))
	a.Code, a.Status, a.RetryAfter = step.CodeQuarantined, 422, left
	a.Message = "targets died running this request: change it before sending it again"
	m.end(now, c, a, out)
}

// failed is the answer of a request whose last attempt ended without a whole answer.
func failed(e step.AttemptEnded) step.Answer {
	a := step.Answer{Status: 502, Code: step.CodeTargetFailed, Outcome: object.Unknown, RetryAfter: comeBack}
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

// giveUp ends a request of which no attempt is in flight.
func (m *Manager) giveUp(now step.Time, c *call, a step.Answer, out *step.Out) {
	a.Outcome = object.NotRun
	m.end(now, c, a, out)
}

// end gives the request its final answer.
func (m *Manager) end(now step.Time, c *call, a step.Answer, out *step.Out) {
	a.ID = c.req.ID
	if c.ran && a.Outcome == object.NotRun {
		// The last attempt did not run, but an earlier one may have.
		a.Outcome = object.Unknown
	}
	m.closeClaim(now, c, &a, out)
	c.used.Outcome, c.used.Attempt = a.Outcome, a.Attempt
	out.Add(a)
	m.forget(now, c, out)
}

// closeClaim releases the key of a call that surely did not run and records the
// outcome of one that may have. That this attempt did not run says nothing of the
// request: an earlier one with the same key may have run elsewhere, and one that waits
// at another daemon may run once the key is released. So the outcome is unknown, and
// the caller may repeat the key.
func (m *Manager) closeClaim(now step.Time, c *call, a *step.Answer, out *step.Out) {
	if !c.mustClaim() {
		return
	}
	switch {
	case c.claim == "" && c.phase == claiming && a.Attempt == "":
		// The claim may stand or be on its way.
		m.Claims.Release(now, c.req.Customer, c.req.Key, c.attempt, out)
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	case c.claim == "" && a.Attempt == "":
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	case c.claim != "" && a.Outcome == object.NotRun:
		m.Claims.Release(now, c.req.Customer, c.req.Key, c.claim, out)
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
		if a.Code != step.CodeKeyExpired {
			a.Message += "; this attempt was not run, and repeating it with the same key is safe"
		}
	case c.claim != "":
		m.Claims.Finish(now, c.req.Customer, c.req.Key, object.Claim{
			Attempt: string(c.claim), Outcome: a.Outcome, Status: a.Status,
		}, out)
	}
}

// refuse answers a request that was never taken in.
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

func (m *Manager) forget(now step.Time, c *call, out *step.Out) {
	delete(m.calls, c.req.ID)
	if c.phase == waiting {
		m.queue(c).Remove(c.req.Customer, c.req.ID)
	}
	if c.reserved {
		m.Limits.Settle(now, c.used)
	}
	out.Log(event.RequestAnswered, event.F("request", c.req.ID), event.F("customer", c.req.Customer),
		event.F("outcome", c.used.Outcome), event.F("target", c.target), event.F("attempts", c.attempts),
		event.F("millis", (now.Mono-c.arrived).Milliseconds()), event.F("whole", c.used.Whole),
		event.F("firstTokenMillis", c.used.FirstToken.Milliseconds()), event.F("worstGapMillis", c.used.WorstGap.Milliseconds()))
}

// OnGone takes the news that a caller left.
func (m *Manager) OnGone(now step.Time, id step.RequestID, out *step.Out) {
	c := m.calls[id]
	if c == nil {
		return
	}
	c.gone = true
	answer := step.Answer{Status: 499, Code: step.CodeCancelled, Message: "the caller closed the connection"}
	switch c.phase {
	case running:
		if c.idempotent {
			out.Add(step.Cancel{ID: id, Attempt: c.attempt, To: c.to})
		}
		// A call that may not be repeated goes on, so that its outcome can be recorded.
	case claiming:
		m.leave(now, c, step.EndedUnsent, "")
		m.giveUp(now, c, answer, out)
		m.pump(now, c.pool(), out)
	case waiting, parked, reserving:
		m.giveUp(now, c, answer, out)
	}
}
