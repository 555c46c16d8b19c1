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

// defaultRetryAfter is the delay before a retry that an answer names if there is no estimate.
const defaultRetryAfter = time.Second

// firstAttemptShare is the fraction of the time before the deadline that the first attempt of an
// idempotent call to a service may take. The rest stays available for another target in case the
// connection is silently dead.
const firstAttemptShare = 0.5

// startOrQueue starts an attempt if a target is free and nothing is queued. Otherwise it
// queues the request, or ends it if the queue is full or can't serve it before its deadline. A
// request that may have killed several targets is parked instead.
func (m *Manager) startOrQueue(now step.Time, c *call, out *step.Out) {
	if m.Poison.AwaitsProof(now, c.req.Fingerprint) {
		c.phase = parked
		m.parked = append(m.parked, c.req.ID)
		return
	}
	q := m.queue(c)
	if q.Len() == 0 && m.tryStart(now, c, out) {
		return
	}
	c.phase = queued
	slots := route.TotalSlots(m.candidates(now, c))
	retryAfter, ok := q.Push(now, m.item(c), slots)
	if ok {
		m.startQueued(now, c.pool(), out)
		return
	}
	m.endNotRun(now, c, step.Answer{
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
		m.poolOrder = append(m.poolOrder, p)
	}
	return q
}

func (m *Manager) item(c *call) admit.Item {
	return admit.Item{
		ID: c.req.ID, Customer: c.req.Customer,
		Priority: c.contract.Priority, Weight: c.contract.Weight,
		ArrivedAt: c.arrivedAt, Deadline: c.deadline,
		Cost: float64(max(c.estimatedTokens, 1)),
	}
}

func (m *Manager) candidates(now step.Time, c *call) []*fleet.Target {
	return m.Fleet.Candidates(now, c.req.Model, c.req.Service)
}

// tryStart takes a slot at a free target and sends the request, after claiming its key if that
// is needed. It reports false if no target is free for this request or the manager is paused.
func (m *Manager) tryStart(now step.Time, c *call, out *step.Out) bool {
	if m.paused {
		return false
	}
	q := route.Query{
		Prefix: c.req.Prefix, Seed: c.req.Fingerprint + uint64(c.arrivedAt),
		DataCentre: m.DataCentre, Tried: c.triedTargets,
	}
	c.isSuspect = m.Poison.Suspected(c.req.Fingerprint)
	if c.excludesTargets() {
		q.Exclude = func(t *fleet.Target) bool {
			return c.isSuspect && m.suspectsInFlight[t.Name] > 0 || c.mayBeDead(t)
		}
	}
	t := route.Pick(m.candidates(now, c), q)
	if t == nil {
		return false
	}
	m.Fleet.Begin(now, t.Name, c.estimatedTokens)
	if c.isSuspect {
		m.suspectsInFlight[t.Name]++
	}
	c.attempts++
	c.attempt = step.AttemptID(fmt.Sprintf("%s.%d", c.req.ID, c.attempts))
	c.target, c.destination, c.incarnation = t.Name, t.To, t.Incarnation()
	c.startedAt = now.Mono
	if c.needsClaim() && c.claimedBy == "" {
		c.phase = claiming
		m.Claims.Acquire(now, c.req.Customer, c.req.Key, c.req.ID, c.attempt, out)
		return true
	}
	m.dispatch(now, c, out)
	return true
}

// excludesTargets reports whether a target may be excluded for the request although it is free.
func (c *call) excludesTargets() bool { return c.isSuspect || len(c.failures) > 0 }

// needsClaim reports whether the key must be claimed before the request is sent.
func (c *call) needsClaim() bool { return c.req.Key != "" && !c.idempotent }

func (m *Manager) dispatch(now step.Time, c *call, out *step.Out) {
	c.phase = running
	out.Add(step.Dispatch{
		ID: c.req.ID, Attempt: c.attempt, To: c.destination,
		Priority: c.contract.Priority, Resume: c.deliveredTokens,
		Deadline: c.attemptDeadline(now), Fresh: c.attempts > 1, Idempotent: c.idempotent,
	})
}

// attemptDeadline is the request's deadline, or an earlier time for the first attempt of an
// idempotent call to a service; see firstAttemptShare.
func (c *call) attemptDeadline(now step.Time) time.Duration {
	if c.req.Service == "" || !c.idempotent || c.attempts > 1 {
		return c.deadline
	}
	return now.Mono + time.Duration(firstAttemptShare*float64(c.deadline-now.Mono))
}

// releaseTarget frees the slot at the target.
func (m *Manager) releaseTarget(now step.Time, c *call, ending step.Ending, incarnation string) {
	m.Fleet.End(now, c.target, c.estimatedTokens, ending, incarnation)
	if !c.isSuspect {
		return
	}
	m.suspectsInFlight[c.target]--
	if m.suspectsInFlight[c.target] == 0 {
		delete(m.suspectsInFlight, c.target)
	}
}

// startQueued starts queued requests while slots are free, in the queue's order. A request that
// excludes some targets and finds no other free one does not block the requests behind it.
func (m *Manager) startQueued(now step.Time, p pool, out *step.Out) {
	q := m.pools[p]
	var skipped []admit.Item
	for {
		it, ok := q.Pop(now)
		if !ok {
			break
		}
		c := m.calls[it.ID]
		if c == nil || c.phase != queued || m.tryStart(now, c, out) {
			continue
		}
		skipped = append(skipped, it)
		if !c.excludesTargets() {
			break
		}
	}
	for _, it := range slices.Backward(skipped) {
		q.PutBack(it)
	}
}

// resumeParked starts, queues or refuses the parked requests that need not wait for a proof any
// longer, and ends those whose deadline has passed.
func (m *Manager) resumeParked(now step.Time, out *step.Out) {
	ids := m.parked
	m.parked = nil
	for _, id := range ids {
		c := m.calls[id]
		if c == nil || c.phase != parked {
			continue
		}
		if now.Mono >= c.deadline {
			m.endNotRun(now, c, m.noSlotAnswer(now, c), out)
			continue
		}
		if m.Poison.AwaitsProof(now, c.req.Fingerprint) {
			m.parked = append(m.parked, id)
			continue
		}
		if left, condemned := m.Poison.Condemned(now, c.req.Fingerprint); condemned {
			m.endQuarantined(now, c, step.Answer{Outcome: object.Unknown}, left, out)
			continue
		}
		m.startOrQueue(now, c, out)
	}
}

// Tick retries the waiting reservations, resumes parked requests, and ends the queued requests
// that can't complete before their deadline. It also starts queued requests on slots that became
// free without an answer, such as those of a target that warmed up.
func (m *Manager) Tick(now step.Time, out *step.Out) {
	m.RetryReservations(now, out)
	m.resumeParked(now, out)
	for _, p := range m.poolOrder {
		for _, it := range m.pools[p].Expired(now) {
			if c := m.calls[it.ID]; c != nil {
				m.endNotRun(now, c, m.noSlotAnswer(now, c), out)
			}
		}
		m.startQueued(now, p, out)
	}
}

// noSlotAnswer is the answer to a request that got no slot before its deadline.
func (m *Manager) noSlotAnswer(now step.Time, c *call) step.Answer {
	if m.paused {
		return step.Answer{Status: 503, Code: step.CodeIsolated, RetryAfter: defaultRetryAfter, Message: closedMessage(step.CodeIsolated)}
	}
	if len(m.candidates(now, c)) == 0 {
		return step.Answer{
			Status: 503, Code: step.CodeNoTarget, RetryAfter: defaultRetryAfter,
			Message: "no target serves this now: come back when a group is formed again",
		}
	}
	return step.Answer{
		Status: 503, Code: step.CodeOverloaded, RetryAfter: defaultRetryAfter,
		Message: "no place was free before the deadline: come back, or give more time",
	}
}

// OnClaims handles the results that the claim manager has collected.
func (m *Manager) OnClaims(now step.Time, out *step.Out) {
	results := m.Claims.Results
	m.Claims.Results = nil
	for _, r := range results {
		c := m.calls[r.ID]
		if c == nil || c.phase != claiming || c.attempt != r.Attempt {
			// The request has ended meanwhile; the release of its key is queued behind the
			// claim.
			continue
		}
		m.onClaimResult(now, c, r, out)
	}
}

func (m *Manager) onClaimResult(now step.Time, c *call, r claim.Result, out *step.Out) {
	switch r.Verdict {
	case claim.Granted:
		c.claimedBy = c.attempt
		if now.Mono >= c.deadline || m.paused {
			m.releaseTarget(now, c, step.EndedUnsent, "")
			m.endNotRun(now, c, m.noSlotAnswer(now, c), out)
			return
		}
		// Check the key's age again now that the claim is stored. If the key expired while the
		// claim was being written, the record of an earlier call may already have been deleted.
		if err := m.Claims.Settings().CheckKey(now, c.req.Key); err != nil {
			m.releaseTarget(now, c, step.EndedUnsent, "")
			m.endNotRun(now, c, step.Answer{Status: keyErrorStatus(err.Code), Code: err.Code, Message: err.Remedy}, out)
			return
		}
		m.dispatch(now, c, out)
	case claim.HeldByOther:
		m.releaseTarget(now, c, step.EndedUnsent, "")
		m.end(now, c, duplicateKeyAnswer(r.Claim), out)
	case claim.Unavailable:
		m.releaseTarget(now, c, step.EndedUnsent, "")
		out.Log(event.ClaimUnreachable, event.F("request", c.req.ID))
		m.end(now, c, step.Answer{
			Status: 503, Code: step.CodeNoPlatform, RetryAfter: defaultRetryAfter,
			Outcome: object.Unknown, Attempt: object.NotRun,
			Message: "the key can't be claimed since the platform does not answer, so this attempt was not run: ask again with the same key",
		}, out)
	}
	m.startQueued(now, c.pool(), out)
}

// duplicateKeyAnswer is the answer to a request whose key is claimed by another attempt. It
// reports what the stored claim records about that attempt.
func duplicateKeyAnswer(c object.Claim) step.Answer {
	a := step.Answer{Status: 409, Outcome: c.Outcome, Attempt: object.NotRun}
	switch {
	case c.Outcome == "":
		a.Outcome = object.Unknown
		a.Code = step.CodeKeyRunning
		a.RetryAfter = defaultRetryAfter
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
