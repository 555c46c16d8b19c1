package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// answer ends an attempt with a complete answer that states a limit.
func (x *crashHarness) answer(f step.Forward, l site.LimitStatement) {
	x.reduce(step.AnswerBegan{ID: f.ID, Attempt: f.Attempt, Limit: l})
	x.endAttempt(f, step.EndedComplete, 200)
}

// TestRefusedAtOnceWhenAllHostsHaveTheirLimit lets the only host name a limit. What it can't take is refused
// at once, and the rest of it goes on.
func TestRefusedAtOnceWhenAllHostsHaveTheirLimit(t *testing.T) {
	x := newCrashHarness(t)
	x.setHosts(plainHost("a"))
	x.answer(x.requireForward(x.send("/read/1", 1)), site.LimitStatement{PerSecond: 2})
	x.requireForward(x.send("/read/1", 2))
	a := x.requireAnswer(x.send("/read/1", 3))
	require.Equal(t, 503, a.Status)
	require.Equal(t, step.CodeOverloaded, a.Code)
	require.GreaterOrEqual(t, a.RetryAfter, 400*time.Millisecond)
	x.now += 1500 * time.Millisecond // a third of the limit is this daemon's
	x.requireForward(x.send("/read/1", 4))
	x.requireAnswer(x.send("/read/1", 5))
	require.Equal(t, 1, x.s.LimitedHosts())
}

// TestRefusalsStateLimits lets a host refuse a request and name a limit, and another server answer at its
// address with 421.
func TestRefusalsStateLimits(t *testing.T) {
	for _, stated := range []*site.LimitStatement{{PerSecond: 2}, nil} {
		x := newCrashHarness(t)
		x.setHosts(plainHost("a"))
		f := x.requireForward(x.send("/once/1", 1))
		x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: step.EndedRefused, Status: 503}, Limit: stated})
		require.Equal(t, stated != nil, x.s.LimitedHosts() == 1)
	}
}

// TestLimitsAreToldToOtherDaemons hears a limit from a host and its end from another daemon.
func TestLimitsAreToldToOtherDaemons(t *testing.T) {
	x := newCrashHarness(t)
	f := x.requireForward(x.send("/once/1", 1))
	x.answer(f, site.LimitStatement{PerSecond: 4})
	var told []step.ShareLimits
	for _, e := range x.reduce(step.Tick{}) {
		if s, ok := e.(step.ShareLimits); ok {
			told = append(told, s)
		}
	}
	require.Len(t, told, 1)
	require.Equal(t, []string{"d1:1", "d2:1"}, told[0].Addresses)
	require.Equal(t, []hostlimit.Statement{{Host: f.Host, Incarnation: 1, PerSecond: 4, AsOf: x.now}}, told[0].Message.Statements)
	x.setHosts(plainHost("other"))
	x.setHosts(plainHost(f.Host))
	require.Equal(t, 1, x.s.LimitedHosts(), "its entry was gone for a while")
	ended := hostlimit.Statement{Host: f.Host, Incarnation: 1, AsOf: x.now + 1}
	x.reduce(step.LimitsReceived{Message: hostlimit.Message{Daemon: "d1", Statements: []hostlimit.Statement{ended, {Host: "later", Incarnation: 1, PerSecond: 1, AsOf: 1}}}})
	require.Equal(t, 1, x.s.LimitedHosts(), "the entry of a host may come after its limit")
	x.now += 2 * time.Minute
	x.reduce(step.Tick{})
	require.Zero(t, x.s.LimitedHosts(), "no news of it")
}

// TestInvalidLimitsAreLoggedOnce lets a host name a limit that can't be read with each answer.
func TestInvalidLimitsAreLoggedOnce(t *testing.T) {
	x := newCrashHarness(t)
	x.setHosts(plainHost("a"))
	lines := 0
	for i := range uint64(5) {
		f := x.requireForward(x.send("/once/1", i))
		for _, e := range x.s.Reduce(step.Time{Mono: x.now}, step.AnswerBegan{ID: f.ID, Attempt: f.Attempt, Limit: site.LimitStatement{Invalid: "soon"}}) {
			if l, ok := e.(step.Log); ok && l.ID == event.HostLimitInvalid {
				lines++
			}
		}
		x.endAttempt(f, step.EndedComplete, 200)
	}
	require.Equal(t, 1, lines)
	require.Zero(t, x.s.LimitedHosts())
}
