package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// noticeFor is how long a balancer may still send new callers after readiness went.
	noticeFor = 2500 * time.Millisecond
	// lastly is the part of the grace that is kept to end what is still in flight.
	lastly = 500 * time.Millisecond
)

// life is where the daemon stands between its start and its end.
type life struct {
	ready    bool // as last told
	stopping bool
	since    time.Duration // it is stopping
	exited   bool
}

func (s *State) stop(now time.Duration, out *step.Out) {
	if s.life.stopping {
		return
	}
	s.life.stopping, s.life.since = true, now
	s.lease.Release()
	out.Log(event.DaemonDraining, event.F("requests", len(s.calls)))
	s.controlTick(now, out)
}

// advance tells readiness, and ends a stopping daemon: its callers' open connections are
// served until nothing has come for a while, or its grace is nearly over.
func (l *life) advance(s *State, now time.Duration, out *step.Out) {
	ready := s.config != nil && s.listed && !l.stopping
	if ready != l.ready {
		l.ready = ready
		out.Add(step.SetReady{Ready: ready})
	}
	if !l.stopping || l.exited {
		return
	}
	idle := len(s.calls) == 0 && now-l.since >= noticeFor && s.lease.Released()
	if idle || now-l.since >= s.set.Bounds.Grace-lastly {
		l.exited = true
		out.Log(event.DaemonStopped, event.F("requests", len(s.calls)))
		out.Add(step.Exit{})
	}
}
