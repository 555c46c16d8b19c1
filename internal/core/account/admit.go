package account

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Admit reserves one request and its estimated tokens for a customer. For a request whose
// decision is RenewalPending, the caller calls Admit again at each step until there is another
// decision.
func (m *Manager) Admit(now step.Time, customer string, c *object.Contract, tokens int64) Verdict {
	st := m.account(Name(customer, now.Unix))
	st.allowance = allowanceOf(c)
	cost := amount{requests: 1, tokens: tokens}
	available := st.available()
	if !available.covers(cost) && !st.exceedsLimit(available, cost) {
		// Requests wait only for limits that the contract sets; other usage is just counted.
		available = cost
	}
	outage := st.outage(now)
	if available.covers(cost) || (outage && c.OutageRule == object.OutageServe) {
		return m.reserve(now, st, cost)
	}
	if now.Mono < st.exhaustedUntil {
		return st.exhaustedVerdict(now)
	}
	st.nextWaiting = st.nextWaiting.plus(cost)
	if outage {
		return Verdict{
			Decision: Outage, RetryAfter: outageTimeout,
			Message: "the reserved allowance is spent and the platform does not answer: come back once it does",
		}
	}
	return Verdict{Decision: RenewalPending, RetryAfter: retryDelay, Message: "the reserved allowance is being renewed: come back"}
}

// outage reports whether the platform calls for this account have failed for outageTimeout.
func (st *accountState) outage(now step.Time) bool {
	return st.isFailing && now.Mono-st.failingSince >= outageTimeout
}

// exceedsLimit reports whether the available amount is too small in a figure that the contract
// limits.
func (st *accountState) exceedsLimit(available, cost amount) bool {
	return st.allowance.requests != unbounded && available.requests < cost.requests ||
		st.allowance.tokens != unbounded && available.tokens < cost.tokens
}

// reserve adds the cost to the reservations of the current slice.
func (m *Manager) reserve(now step.Time, st *accountState, cost amount) Verdict {
	st.reserved = st.reserved.plus(cost)
	st.demand.start(now.Mono)
	st.offered = st.offered.plus(cost)
	st.lastAdmittedAt = now.Mono
	return Verdict{Decision: Admitted, Ticket: Ticket{account: st.name, epoch: st.epoch}}
}

// exhaustedVerdict distinguishes an allowance that is used up until the end of the month from
// one whose rest is reserved by slices.
func (st *accountState) exhaustedVerdict(now step.Time) Verdict {
	if st.stored != nil && !st.allowance.covers(amountOf(st.stored.Settled).plus(amount{1, 1})) {
		return Verdict{
			Decision: Exhausted, RetryAfter: min(untilMonthEnd(now.Unix), maxRetryAfter),
			Message: fmt.Sprintf("the allowance of this month is used up: ask your operator for a larger one, or come back in %s",
				untilMonthEnd(now.Unix).Round(time.Second)),
		}
	}
	return Verdict{
		Decision: Exhausted, RetryAfter: exhaustedTTL,
		Message: "the rest of this month's allowance is reserved: come back, or ask your operator for a larger one",
	}
}

// Cancel removes a reservation as if the request had never been admitted.
func (m *Manager) Cancel(t Ticket, tokens int64) {
	st := m.accounts[t.account]
	if st != nil && st.epoch == t.epoch {
		st.reserved = st.reserved.minus(amount{requests: 1, tokens: tokens})
	}
}

// Settle replaces a reservation by the actual usage, which a later write settles in the account.
func (m *Manager) Settle(now step.Time, u Used) {
	st := m.accounts[u.Ticket.account]
	if st == nil || st.epoch != u.Ticket.epoch {
		return // the slice was lost, so the reservation is counted as uncertain
	}
	st.reserved = st.reserved.minus(amount{requests: 1, tokens: u.Reserved})
	if u.Outcome == object.NotRun {
		st.unsettled.NotRun++
		return
	}
	st.unsettled.Requests++
	st.unsettled.Tokens += u.Tokens
	if u.Outcome == object.Unknown {
		st.unsettled.Unknown++
	}
}
