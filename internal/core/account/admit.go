package account

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Admit reserves one request and its estimated tokens for a customer. A request
// told to come Later asks again with each step until it is decided.
func (m *Manager) Admit(now step.Time, customer string, c *object.Contract, tokens int64) Verdict {
	b := m.book(Name(customer, now.Unix))
	b.allowance = allowanceOf(c)
	cost := amount{requests: 1, tokens: tokens}
	available := b.available()
	if !available.covers(cost) && !b.limits(available, cost) {
		// What the contract does not bound is counted but never held up.
		available = cost
	}
	outage := b.outage(now)
	if available.covers(cost) || (outage && c.OutageRule == object.OutageServe) {
		return m.reserve(now, b, cost)
	}
	if now.Mono < b.fullUntil {
		return b.exhausted(now)
	}
	b.need = b.need.plus(cost)
	if outage {
		return Verdict{
			Decision: Outage, RetryAfter: outageAfter,
			Message: "the reserved allowance is spent and the platform does not answer: come back once it does",
		}
	}
	return Verdict{Decision: Later, RetryAfter: retryPause, Message: "the reserved allowance is being renewed: come back"}
}

// outage reports whether the platform has not answered for this account for a while.
func (b *book) outage(now step.Time) bool {
	return b.isFailing && now.Mono-b.failing >= outageAfter
}

// limits reports whether a bounded part of the allowance is what falls short.
func (b *book) limits(available, cost amount) bool {
	return b.allowance.requests != unbounded && available.requests < cost.requests ||
		b.allowance.tokens != unbounded && available.tokens < cost.tokens
}

func (m *Manager) reserve(now step.Time, b *book, cost amount) Verdict {
	b.held = b.held.plus(cost)
	b.demand.start(now.Mono)
	b.offered = b.offered.plus(cost)
	b.used = now.Mono
	return Verdict{Decision: Admitted, Ticket: Ticket{account: b.name, epoch: b.epoch}}
}

func (b *book) exhausted(now step.Time) Verdict {
	if b.base != nil && !b.allowance.covers(amountOf(b.base.Settled).plus(amount{1, 1})) {
		return Verdict{
			Decision: Exhausted, RetryAfter: min(monthEnd(now.Unix), monthCap),
			Message: fmt.Sprintf("the allowance of this month is used up: ask your operator for a larger one, or come back in %s",
				monthEnd(now.Unix).Round(time.Second)),
		}
	}
	return Verdict{
		Decision: Exhausted, RetryAfter: fullFor,
		Message: "the rest of this month's allowance is reserved: come back, or ask your operator for a larger one",
	}
}

// Cancel gives a reservation back as if the request had never been admitted.
func (m *Manager) Cancel(t Ticket, tokens int64) {
	b := m.books[t.account]
	if b != nil && b.epoch == t.epoch {
		b.held = b.held.minus(amount{requests: 1, tokens: tokens})
	}
}

// Settle replaces a reservation by what was used.
func (m *Manager) Settle(now step.Time, u Used) {
	b := m.books[u.Ticket.account]
	if b == nil || b.epoch != u.Ticket.epoch {
		return // counted as uncertain
	}
	b.held = b.held.minus(amount{requests: 1, tokens: u.Reserved})
	if u.Outcome == object.NotRun {
		b.unsettled.NotRun++
		return
	}
	b.unsettled.Requests++
	b.unsettled.Tokens += u.Tokens
	if u.Outcome == object.Unknown {
		b.unsettled.Unknown++
	}
}
