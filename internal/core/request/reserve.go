package request

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// allowancePatience is how long a request waits for its customer's allowance to be
// renewed.
const allowancePatience = 2 * time.Second

// reserve takes the request's part of its customer's allowance and places it, or lets
// it wait for the allowance, or refuses it.
func (m *Manager) reserve(now step.Time, c *call, out *step.Out) {
	ticket, refusal := m.Limits.Admit(now, c.req.Customer, c.contract, c.tokens)
	switch {
	case refusal.Later && now.Mono-c.arrived < allowancePatience && now.Mono < c.deadline:
		c.phase = reserving
		m.reserving = append(m.reserving, c.req.ID)
	case refusal.Message != "":
		delete(m.calls, c.req.ID)
		m.refuse(c, overLimit(refusal), out)
	default:
		c.reserved = true
		c.used = Used{Customer: c.req.Customer, Ticket: ticket, Reserved: c.tokens}
		m.budget.Started()
		m.place(now, c, out)
	}
}

func overLimit(r Refusal) step.Answer {
	if r.Outage {
		return step.Answer{Status: 503, Code: step.CodeNoPlatform, Message: r.Message, RetryAfter: r.RetryAfter}
	}
	return step.Answer{Status: 429, Code: step.CodeLimit, Message: r.Message, RetryAfter: r.RetryAfter}
}

// Reserve asks again for the requests that wait for their customer's allowance.
func (m *Manager) Reserve(now step.Time, out *step.Out) {
	ids := m.reserving
	m.reserving = nil
	for _, id := range ids {
		if c := m.calls[id]; c != nil && c.phase == reserving {
			m.reserve(now, c, out)
		}
	}
}
