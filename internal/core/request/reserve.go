package request

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// allowanceTimeout bounds how long a request waits for the renewal of its customer's allowance.
// After it the request is refused.
const allowanceTimeout = 2 * time.Second

// reserve reserves the request's cost in its customer's allowance and then starts or queues the
// request. If the allowance is being renewed the request waits, and if it is used up the request
// is refused.
func (m *Manager) reserve(now step.Time, c *call, out *step.Out) {
	ticket, refusal := m.Limits.Admit(now, c.req.Customer, c.contract, c.estimatedTokens)
	switch {
	case refusal.RenewalPending && now.Mono-c.arrivedAt < allowanceTimeout && now.Mono < c.deadline:
		c.phase = reserving
		m.reserving = append(m.reserving, c.req.ID)
	case refusal.Message != "":
		delete(m.calls, c.req.ID)
		m.refuse(c, limitAnswer(refusal), out)
	default:
		c.hasReservation = true
		c.used = Used{Customer: c.req.Customer, Ticket: ticket, Reserved: c.estimatedTokens}
		m.budget.RecordRequest()
		m.startOrQueue(now, c, out)
	}
}

func limitAnswer(r Refusal) step.Answer {
	if r.Outage {
		return step.Answer{Status: 503, Code: step.CodeNoPlatform, Message: r.Message, RetryAfter: r.RetryAfter}
	}
	return step.Answer{Status: 429, Code: step.CodeLimit, Message: r.Message, RetryAfter: r.RetryAfter}
}

// RetryReservations tries again to reserve the allowance of the requests that wait for it.
func (m *Manager) RetryReservations(now step.Time, out *step.Out) {
	ids := m.reserving
	m.reserving = nil
	for _, id := range ids {
		if c := m.calls[id]; c != nil && c.phase == reserving {
			m.reserve(now, c, out)
		}
	}
}
