package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// unreadyDelay is how long after this daemon has become unready a load balancer may still
	// send new callers. A stopping daemon admits requests until then.
	unreadyDelay = 2500 * time.Millisecond
	// shutdownReserve is the last part of the shutdown timeout, kept to end the requests in
	// flight.
	shutdownReserve = 500 * time.Millisecond
)

// lifecycle is the state of the daemon between its start and its exit.
type lifecycle struct {
	reportedReady bool // the readiness last reported
	stopping      bool
	stoppingSince time.Duration // valid if stopping
	exited        bool
}

func (s *State) stop(now time.Duration, out *step.Out) {
	if s.lifecycle.stopping {
		return
	}
	s.lifecycle.stopping, s.lifecycle.stoppingSince = true, now
	s.lease.Release()
	out.Log(event.DaemonDraining, event.F("requests", len(s.calls)))
	s.controlTick(now, out)
}

// advance reports a change of readiness, and lets a stopping daemon exit. Such a daemon serves
// open connections until no request is in flight, unreadyDelay is over and the lease is
// released, or until its shutdown timeout is nearly over.
func (l *lifecycle) advance(s *State, now time.Duration, out *step.Out) {
	ready := s.config != nil && s.hostsKnown && !l.stopping
	if ready != l.reportedReady {
		l.reportedReady = ready
		out.Add(step.SetReady{Ready: ready})
	}
	if !l.stopping || l.exited {
		return
	}
	idle := len(s.calls) == 0 && now-l.stoppingSince >= unreadyDelay && s.lease.Released()
	if idle || now-l.stoppingSince >= s.settings.Limits.ShutdownTimeout-shutdownReserve {
		l.exited = true
		out.Log(event.DaemonStopped, event.F("requests", len(s.calls)))
		out.Add(step.Exit{})
	}
}
