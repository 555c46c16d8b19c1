package core

import (
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// lifecycle tracks the daemon from its start through readiness to its exit.
type lifecycle struct {
	platformReachable bool          // from the last PlatformState event
	ready             bool          // value of the last SetReady effect
	stopping          bool          // step.Stop has been received
	closeAt           time.Duration // time from which a stopping daemon refuses new requests
	closed            bool          // closeAt has passed and new requests are refused
	// exitDeadline is when a stopping daemon exits even if its claims and usage are not all
	// written, or its groups and registration not all returned. It is set when the last request
	// in flight ends; zero before.
	exitDeadline time.Duration
	exited       bool // step.Exit has been emitted
	isolated     bool // membership was cut off at the last step; new requests are refused
}

// exitTimeout bounds how long a stopping daemon with no request in flight waits until the
// platform has confirmed the last writes of its claims and usage and the return of its groups
// and registration. Then it exits without the confirmation.
const exitTimeout = 5 * time.Second

// stop begins a graceful stop. The daemon turns its readiness off at once, still serves
// requests for StopGrace because the load balancer needs time to notice, then refuses new
// requests and finishes those in flight.
func (s *State) stop(now step.Time, out *step.Out) {
	if s.lifecycle.stopping {
		return
	}
	s.lifecycle.stopping = true
	s.lifecycle.closeAt = now.Mono + s.settings.StopGrace
	out.Log(event.DaemonDraining, event.F("requests", s.requests.Len()))
}

// advance runs at the end of each step: it updates readiness and carries a stopping daemon
// through its shutdown to Exit.
func (l *lifecycle) advance(s *State, now step.Time, out *step.Out) {
	l.updateIsolation(s, out)
	ready := s.config.Applied() > 0 && !l.stopping && !l.isolated
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
		s.claims.SkipOutcomeDelay()
		s.groups.Stop()
	}
	if s.requests.Len() == 0 {
		s.limits.accounts.Close()
	}
	if s.requests.Len() > 0 {
		return
	}
	if l.exitDeadline == 0 {
		l.exitDeadline = now.Mono + exitTimeout
	}
	returned := s.limits.handOff(s, now, out) && s.claims.Pending() == 0 && s.groups.Released() && s.deregister(now, out)
	if now.Mono < l.exitDeadline && !returned {
		return
	}
	l.exited = true
	out.Add(step.SendPeer{Message: step.Goodbye{Incarnation: s.settings.Incarnation}})
	out.Log(event.DaemonStopped)
	out.Add(step.Exit{})
}

// updateIsolation makes the daemon refuse new requests while it is cut off: neither the platform
// nor enough peers can inform it of a configuration change.
func (l *lifecycle) updateIsolation(s *State, out *step.Out) {
	cutOff := s.members.CutOff()
	if cutOff == l.isolated {
		return
	}
	l.isolated = cutOff
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
