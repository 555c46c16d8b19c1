package request

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/admit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/claim"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/route"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// comeBack is what a caller is told to wait where no better estimate is at hand.
const comeBack = time.Second

// firstShare is the share of the time left that one attempt at a plain service may
// take if the call may be repeated: the rest is kept for another target, in case
// the connection has gone silent.
const firstShare = 0.5

// place gives the request a target now, or queues it, or refuses it.
func (m *Manager) place(now step.Time, c *call, out *step.Out) {
	if m.Poison.Undecided(now, c.req.Fingerprint) {
		c.phase = parked
		m.parked = append(m.parked, c.req.ID)
		return
	}
	q := m.queue(c)
	if q.Len() == 0 && m.tryStart(now, c, out) {
		return
	}
	c.phase = waiting
	places := route.Places(m.candidates(now, c))
	retryAfter, ok := q.Push(now, m.item(c), places)
	if ok {
		m.pump(now, c.pool(), out)
		return
	}
	m.giveUp(now, c, step.Answer{
		Status: 503, Code: step.CodeOverloaded, RetryAfter: retryAfter,
		Message: fmt.Sprintf("too much work waits for a place before the deadline: come back in %s", retryAfter.Round(time.Second)),
	}, out)
}

func (c *call) pool() pool { return pool{c.req.Model, c.req.Service} }

func (m *Manager) queue(c *call) *admit.Queue {
	p := c.pool()
	q := m.pools[p]
	if q == nil {
		q = admit.NewQueue(m.Admit)
		m.pools[p] = q
		m.order = append(m.order, p)
	}
	return q
}

func (m *Manager) item(c *call) admit.Item {
	return admit.Item{
		ID: c.req.ID, Customer: c.req.Customer,
		Priority: c.contract.Priority, Weight: c.contract.Weight,
		Queued: c.arrived, Deadline: c.deadline,
		Cost: float64(max(c.tokens, 1)),
	}
}

func (m *Manager) candidates(now step.Time, c *call) []*fleet.Target {
	return m.Fleet.Candidates(now, c.req.Model, c.req.Service)
}

// tryStart sends the request to a free target; it reports false if there is none.
func (m *Manager) tryStart(now step.Time, c *call, out *step.Out) bool {
	if m.held {
		return false
	}
	q := route.Query{
		Prefix: c.req.Prefix, Seed: c.req.Fingerprint + uint64(c.arrived),
		DataCentre: m.DataCentre, Tried: c.tried,
	}
	c.suspect = m.Poison.Suspected(c.req.Fingerprint)
	if c.choosy() {
		q.Avoid = func(t *fleet.Target) bool {
			return c.suspect && m.suspects[t.Name] > 0 || c.doubted(t)
		}
	}
	t := route.Pick(m.candidates(now, c), q)
	if t == nil {
		return false
	}
	m.Fleet.Begin(now, t.Name, c.tokens)
	if c.suspect {
		m.suspects[t.Name]++
	}
	c.attempts++
	c.attempt = step.AttemptID(fmt.Sprintf("%s.%d", c.req.ID, c.attempts))
	c.target, c.to, c.incarnation = t.Name, t.To, t.Incarnation()
	c.started = now.Mono
	if c.mustClaim() && c.claim == "" {
		c.phase = claiming
		m.Claims.Take(now, c.req.Customer, c.req.Key, c.req.ID, c.attempt, out)
		return true
	}
	m.dispatch(now, c, out)
	return true
}

// choosy reports whether the request may not go to every free target.
func (c *call) choosy() bool { return c.suspect || len(c.doubts) > 0 }

func (c *call) mustClaim() bool { return c.req.Key != "" && !c.idempotent }

func (m *Manager) dispatch(now step.Time, c *call, out *step.Out) {
	c.phase = running
	out.Add(step.Dispatch{
		ID: c.req.ID, Attempt: c.attempt, To: c.to,
		Priority: c.contract.Priority, Resume: c.delivered,
		Deadline: c.attemptDeadline(now), Fresh: c.attempts > 1, Idempotent: c.idempotent,
	})
}

func (c *call) attemptDeadline(now step.Time) time.Duration {
	if c.req.Service == "" || !c.idempotent || c.attempts > 1 {
		return c.deadline
	}
	return now.Mono + time.Duration(firstShare*float64(c.deadline-now.Mono))
}

// leave frees the place at the target.
func (m *Manager) leave(now step.Time, c *call, ending step.Ending, incarnation string) {
	m.Fleet.End(now, c.target, c.tokens, ending, incarnation)
	if !c.suspect {
		return
	}
	m.suspects[c.target]--
	if m.suspects[c.target] == 0 {
		delete(m.suspects, c.target)
	}
}

// pump gives free places to waiting requests, in the queue's order. A request that
// may not go to every target holds up none behind it.
func (m *Manager) pump(now step.Time, p pool, out *step.Out) {
	q := m.pools[p]
	var passed []admit.Item
	for {
		it, ok := q.Pop(now)
		if !ok {
			break
		}
		c := m.calls[it.ID]
		if c == nil || c.phase != waiting || m.tryStart(now, c, out) {
			continue
		}
		passed = append(passed, it)
		if !c.choosy() {
			break
		}
	}
	for _, it := range slices.Backward(passed) {
		q.Return(it)
	}
}

// unpark places the requests whose case is decided.
func (m *Manager) unpark(now step.Time, out *step.Out) {
	ids := m.parked
	m.parked = nil
	for _, id := range ids {
		c := m.calls[id]
		if c == nil || c.phase != parked {
			continue
		}
		if now.Mono >= c.deadline {
			m.giveUp(now, c, m.noPlace(now, c), out)
			continue
		}
		if m.Poison.Undecided(now, c.req.Fingerprint) {
			m.parked = append(m.parked, id)
			continue
		}
		if left, condemned := m.Poison.Condemned(now, c.req.Fingerprint); condemned {
			m.quarantine(now, c, step.Answer{Outcome: object.Unknown}, left, out)
			continue
		}
		m.place(now, c, out)
	}
}

// Tick gives up what can't be whole in time any more and hands out places that
// became free without an answer, such as those of a target that warmed up.
func (m *Manager) Tick(now step.Time, out *step.Out) {
	m.Reserve(now, out)
	m.unpark(now, out)
	for _, p := range m.order {
		for _, it := range m.pools[p].Expired(now) {
			if c := m.calls[it.ID]; c != nil {
				m.giveUp(now, c, m.noPlace(now, c), out)
			}
		}
		m.pump(now, p, out)
	}
}

func (m *Manager) noPlace(now step.Time, c *call) step.Answer {
	if m.held {
		return step.Answer{Status: 503, Code: step.CodeIsolated, RetryAfter: comeBack, Message: closedMessage(step.CodeIsolated)}
	}
	if len(m.candidates(now, c)) == 0 {
		return step.Answer{
			Status: 503, Code: step.CodeNoTarget, RetryAfter: comeBack,
			Message: "no target serves this now: come back when a group is formed again",
		}
	}
	return step.Answer{
		Status: 503, Code: step.CodeOverloaded, RetryAfter: comeBack,
		Message: "no place was free before the deadline: come back, or give more time",
	}
}

// OnClaims takes the verdicts on claims.
func (m *Manager) OnClaims(now step.Time, out *step.Out) {
	results := m.Claims.Results
	m.Claims.Results = nil
	for _, r := range results {
		c := m.calls[r.ID]
		if c == nil || c.phase != claiming || c.attempt != r.Attempt {
			// The request was given up meanwhile; its release is queued behind the claim.
			continue
		}
		m.onClaim(now, c, r, out)
	}
}

func (m *Manager) onClaim(now step.Time, c *call, r claim.Result, out *step.Out) {
	switch r.Verdict {
	case claim.Granted:
		c.claim = c.attempt
		if now.Mono >= c.deadline || m.held {
			m.leave(now, c, step.EndedUnsent, "")
			m.giveUp(now, c, m.noPlace(now, c), out)
			return
		}
		m.dispatch(now, c, out)
	case claim.Held:
		m.leave(now, c, step.EndedUnsent, "")
		m.end(now, c, held(r.Claim), out)
	case claim.Unreachable:
		m.leave(now, c, step.EndedUnsent, "")
		out.Log(event.ClaimUnreachable, event.F("request", c.req.ID))
		m.end(now, c, step.Answer{
			Status: 503, Code: step.CodeNoPlatform, RetryAfter: comeBack,
			Outcome: object.Unknown, Attempt: object.NotRun,
			Message: "the key can't be claimed since the platform does not answer, so this attempt was not run: ask again with the same key",
		}, out)
	}
	m.pump(now, c.pool(), out)
}

// held answers a repeated key by what its claim says.
func held(c object.Claim) step.Answer {
	a := step.Answer{Status: 409, Outcome: c.Outcome, Attempt: object.NotRun}
	switch {
	case c.Outcome == "":
		a.Outcome = object.Unknown
		a.Code = step.CodeKeyRunning
		a.RetryAfter = comeBack
		a.Message = "a call with this key is running or its daemon was lost: ask again with the same key to learn its outcome"
	case c.Outcome == object.Completed && len(c.Body) > 0:
		a.Status = c.Status
		a.Body = c.Body
	case c.Outcome == object.Completed:
		a.Code = step.CodeKeyDone
		a.Message = fmt.Sprintf("a call with this key ran whole and was answered with status %d; the answer was too large to keep: look it up at the service", c.Status)
	default:
		a.Code = step.CodeTargetFailed
		a.Message = "a call with this key may have run: find out at the service before you mint a new key"
	}
	return a
}
