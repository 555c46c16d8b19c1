package core

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/account"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/limit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/request"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// firstAccountOp is the start of a separate number range for the platform calls of accounts.
// These calls are due at certain times and are not caused by single events. A separate range
// keeps them from shifting the numbers of the calls that events cause.
const firstAccountOp step.OpID = 1 << 40

// handoffInterval is the minimum time between two attempts to hand unsettled usage to a peer.
const handoffInterval = time.Second

// limits enforces the customers' contracts: rates and concurrency over all daemons, and the
// monthly allowance. It implements request.Limits.
type limits struct {
	rates           *limit.Manager
	accounts        *account.Manager
	lastHandoffAt   time.Duration // time of the last attempt to hand usage to a peer
	handoffAttempts int           // attempts so far; selects the next peer
}

func newLimits(s *State) *limits {
	ops := firstAccountOp
	next := func() step.OpID { ops++; return ops }
	return &limits{
		rates:    limit.New(cluster{s}),
		accounts: account.New(account.Defaults(s.settings.Daemon, s.settings.Incarnation), cluster{s}, next),
	}
}

// cluster adapts the membership to the interfaces of packages limit and account.
type cluster struct{ s *State }

func (c cluster) Live() int               { return len(c.s.members.Live()) }
func (c cluster) Interval() time.Duration { return c.s.members.Interval() }

// Alive reports whether an incarnation may still run: it is the one of the last heartbeat, or
// the daemon's object in the platform still names it.
func (c cluster) Alive(daemon, incarnation string) bool {
	if daemon == c.s.settings.Daemon {
		return incarnation == c.s.settings.Incarnation
	}
	if beat, known := c.s.members.Peer(daemon); known && beat.Incarnation == incarnation {
		return true
	}
	o, ok := c.s.config.Object(object.KindDaemon, daemon)
	d, _ := o.Value.(*object.Daemon)
	return ok && d != nil && d.Incarnation == incarnation
}

// Admit reserves one request: first from the monthly allowance, then from the rate limits. If a
// rate limit refuses it, the allowance is released again.
func (l *limits) Admit(now step.Time, customer string, c *object.Contract, tokens int64) (account.Ticket, request.Refusal) {
	v := l.accounts.Admit(now, customer, c, tokens)
	if v.Decision != account.Admitted {
		return v.Ticket, request.Refusal{
			Message: v.Message, RetryAfter: v.RetryAfter,
			RenewalPending: v.Decision == account.RenewalPending, Outage: v.Decision == account.Outage,
		}
	}
	rateRefusal := l.rates.Admit(now, customer, c, tokens)
	if rateRefusal.Message != "" {
		l.accounts.Cancel(v.Ticket, tokens)
	}
	return v.Ticket, request.Refusal{Message: rateRefusal.Message, RetryAfter: rateRefusal.RetryAfter}
}

// Settle replaces a reservation by the actual usage.
func (l *limits) Settle(now step.Time, u request.Used) {
	l.rates.Done(u.Customer, u.Reserved, u.Tokens)
	outcome := u.Outcome
	if u.Attempt == object.NotRun {
		// Another attempt may have run the request; the account charges it for that one.
		outcome = object.NotRun
	}
	l.accounts.Settle(now, account.Used{Ticket: u.Ticket, Reserved: u.Reserved, Tokens: u.Tokens, Outcome: outcome})
}

// tick recomputes this daemon's share of the rate limits and renews the slices of the accounts.
func (l *limits) tick(now step.Time, out *step.Out) {
	l.rates.Tick(now)
	l.accounts.Tick(now, out)
}

// handOff is called by a stopping daemon. While the platform is unreachable it hands unsettled
// usage to a live peer, to each peer in turn. It reports whether no unsettled usage is left.
func (l *limits) handOff(s *State, now step.Time, out *step.Out) bool {
	if l.accounts.Pending() == 0 {
		return true
	}
	live := s.members.Live()
	if s.lifecycle.platformReachable || len(live) < 2 || now.Mono-l.lastHandoffAt < handoffInterval {
		return false
	}
	l.lastHandoffAt = now.Mono
	l.handoffAttempts++
	to := live[l.handoffAttempts%len(live)]
	if to == s.settings.Daemon {
		l.handoffAttempts++
		to = live[l.handoffAttempts%len(live)]
	}
	l.accounts.Handoff(to, out)
	return false
}
