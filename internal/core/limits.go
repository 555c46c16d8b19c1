package core

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/account"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/limit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/request"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// firstAccountOp begins the numbers of calls for accounts, which have a range of
// their own: they come with the clock and not with events.
const firstAccountOp step.OpID = 1 << 40

// handoffEvery is the time between two tries to hand usage to a peer.
const handoffEvery = time.Second

// limits holds requests to their contracts: rates and concurrency over all daemons,
// and the allowance of the month.
type limits struct {
	rates    *limit.Manager
	accounts *account.Manager
	handed   time.Duration // last try to hand usage to a peer
	tries    int
}

func newLimits(s *State) *limits {
	ops := firstAccountOp
	next := func() step.OpID { ops++; return ops }
	return &limits{
		rates:    limit.New(cluster{s}),
		accounts: account.New(account.Defaults(s.set.Daemon, s.set.Incarnation), cluster{s}, next),
	}
}

// cluster shows the membership as limits and accounts need it.
type cluster struct{ s *State }

func (c cluster) Live() int               { return len(c.s.members.Live()) }
func (c cluster) Interval() time.Duration { return c.s.members.Interval() }

// Alive reports whether an incarnation may still run: it is heard, or it still stands
// in the platform as a daemon.
func (c cluster) Alive(daemon, incarnation string) bool {
	if daemon == c.s.set.Daemon {
		return incarnation == c.s.set.Incarnation
	}
	if beat, heard := c.s.members.Peer(daemon); heard && beat.Incarnation == incarnation {
		return true
	}
	o, ok := c.s.config.Object(object.KindDaemon, daemon)
	d, _ := o.Value.(*object.Daemon)
	return ok && d != nil && d.Incarnation == incarnation
}

// Admit reserves one request; the rates are asked once the allowance covers it.
func (l *limits) Admit(now step.Time, customer string, c *object.Contract, tokens int64) (account.Ticket, request.Refusal) {
	v := l.accounts.Admit(now, customer, c, tokens)
	if v.Decision != account.Admitted {
		return v.Ticket, request.Refusal{
			Message: v.Message, RetryAfter: v.RetryAfter,
			Later: v.Decision == account.Later, Outage: v.Decision == account.Outage,
		}
	}
	over := l.rates.Admit(now, customer, c, tokens)
	if over.Message != "" {
		l.accounts.Cancel(v.Ticket, tokens)
	}
	return v.Ticket, request.Refusal{Message: over.Message, RetryAfter: over.RetryAfter}
}

// Settle replaces a reservation by what was used.
func (l *limits) Settle(now step.Time, u request.Used) {
	l.rates.Done(u.Customer, u.Reserved, u.Tokens)
	outcome := u.Outcome
	if u.Attempt == object.NotRun {
		outcome = object.NotRun // charged where it ran, if it did
	}
	l.accounts.Settle(now, account.Used{Ticket: u.Ticket, Reserved: u.Reserved, Tokens: u.Tokens, Outcome: outcome})
}

// tick deals shares anew and renews slices.
func (l *limits) tick(now step.Time, out *step.Out) {
	l.rates.Tick(now)
	l.accounts.Tick(now, out)
}

// leave hands what is unsettled to a live peer while the platform does not answer; the
// peers are tried in turn. It reports whether nothing is left.
func (l *limits) leave(s *State, now step.Time, out *step.Out) bool {
	if l.accounts.Pending() == 0 {
		return true
	}
	live := s.members.Live()
	if s.life.platform || len(live) < 2 || now.Mono-l.handed < handoffEvery {
		return false
	}
	l.handed = now.Mono
	l.tries++
	to := live[l.tries%len(live)]
	if to == s.set.Daemon {
		l.tries++
		to = live[l.tries%len(live)]
	}
	l.accounts.Handoff(to, out)
	return false
}
