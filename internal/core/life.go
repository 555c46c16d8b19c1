package core

import (
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// life is where the daemon stands between its start and its end.
type life struct {
	platform bool // the watch is heard
	ready    bool // as last told by SetReady
	stopping bool
	closeAt  time.Duration // when a stopping daemon takes nothing new any more
	closed   bool
	// doneBy is when a stopping daemon with nothing in flight ends, even if the
	// platform has not taken everything back; zero while requests are in flight.
	doneBy time.Duration
	exited bool
	cutOff bool // as last told to the requests
}

// farewell is how long a daemon with nothing in flight waits for the platform to
// take back what it holds.
const farewell = 5 * time.Second

// stop begins a graceful stop. Readiness goes first; what the balancer still sends
// until it has noticed is served, then nothing new is taken, and what is in flight
// finishes whole.
func (s *State) stop(now step.Time, out *step.Out) {
	if s.life.stopping {
		return
	}
	s.life.stopping = true
	s.life.closeAt = now.Mono + s.set.StopGrace
	out.Log(event.DaemonDraining, event.F("requests", s.requests.Len()))
}

// advance tells readiness and ends the daemon once nothing is left to do.
func (l *life) advance(s *State, now step.Time, out *step.Out) {
	l.isolate(s, out)
	ready := s.config.Applied() > 0 && !l.stopping && !l.cutOff
	if ready != l.ready {
		l.ready = ready
		out.Add(step.SetReady{Ready: ready})
	}
	if !l.stopping || l.exited || now.Mono < l.closeAt {
		return
	}
	if !l.closed {
		l.closed = true
		s.requests.Close(step.CodeShuttingDown)
		s.claims.Hurry()
		s.groups.Stop()
	}
	if s.requests.Len() == 0 {
		s.limits.accounts.Close()
	}
	if s.requests.Len() > 0 {
		return
	}
	if l.doneBy == 0 {
		l.doneBy = now.Mono + farewell
	}
	returned := s.limits.leave(s, now, out) && s.claims.Pending() == 0 && s.groups.Released() && s.delist(now, out)
	if now.Mono < l.doneBy && !returned {
		return
	}
	l.exited = true
	out.Add(step.SendPeer{Message: step.Goodbye{Incarnation: s.set.Incarnation}})
	out.Log(event.DaemonStopped)
	out.Add(step.Exit{})
}

// isolate stops taking new work while nobody can tell this daemon of a change.
func (l *life) isolate(s *State, out *step.Out) {
	cutOff := s.members.CutOff()
	if cutOff == l.cutOff {
		return
	}
	l.cutOff = cutOff
	if cutOff {
		out.Log(event.DaemonIsolated, event.F("unheard", strings.Join(s.members.Unknown(), ",")))
	} else {
		out.Log(event.DaemonRejoined)
	}
	if l.closed {
		return
	}
	code := step.Code("")
	if cutOff {
		code = step.CodeIsolated
	}
	s.requests.Close(code)
}
