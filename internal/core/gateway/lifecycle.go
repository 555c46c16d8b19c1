package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// unreadyDelay is how long after this daemon has become unready a load balancer may still
	// send new callers. A stopping daemon admits all requests until then.
	unreadyDelay = 2500 * time.Millisecond
	// finalAnswerReserve is the last part of the shutdown timeout. At its start the requests in flight
	// get their final answers.
	finalAnswerReserve = 600 * time.Millisecond
	// exitReserve is the last part of that, kept for the process to exit.
	exitReserve = 400 * time.Millisecond
)

// lifecycle is the state of the daemon between its start and its exit.
type lifecycle struct {
	reportedReady     bool // the readiness last reported
	stopping          bool
	stoppingSince     time.Duration // valid if stopping
	timeout           time.Duration // the shutdown timeout when the stop began; valid if stopping
	closing           bool          // connections are closed at the first moment without a request
	connectionsClosed bool
	ending            bool // the requests in flight are being ended, and no more are admitted
	exited            bool
}

func (s *State) stop(now, since time.Duration, out *step.Out) {
	if s.lifecycle.stopping {
		return
	}
	s.lifecycle.stopping, s.lifecycle.stoppingSince = true, since
	s.lifecycle.timeout = s.settings.Limits.ShutdownTimeout
	s.lease.Release()
	out.Log(event.DaemonDraining, event.F("requests", len(s.calls)))
	s.controlTick(now, out)
}

// advance reports a change of readiness, and lets a stopping daemon exit. Such a daemon serves
// open connections until no request is in flight, unreadyDelay is over and the lease is released, or until its
// shutdown timeout is nearly over. It exits once its connections are closed.
func (l *lifecycle) advance(s *State, now time.Duration, out *step.Out) {
	ready := s.config != nil && s.hostsKnown && !l.stopping
	if ready != l.reportedReady {
		l.reportedReady = ready
		out.Add(step.SetReady{Ready: ready})
	}
	if !l.stopping || l.exited {
		return
	}
	elapsed := now - l.stoppingSince
	idle := len(s.calls) == 0 && elapsed >= unreadyDelay && s.lease.Released()
	ending := elapsed >= l.timeout-finalAnswerReserve
	if !l.closing && (idle || ending) {
		l.closing = true
		out.Add(step.CloseConnections{})
	}
	if ending && !l.ending {
		l.ending = true
		s.endCalls(now, out)
	}
	if l.closing && l.connectionsClosed && len(s.calls) == 0 || elapsed >= l.timeout-exitReserve {
		l.exited = true
		out.Log(event.DaemonStopped, event.F("requests", len(s.calls)))
		out.Add(step.Exit{})
	}
}

// endCalls ends the requests in flight. Those with an attempt are answered once it has ended.
func (s *State) endCalls(now time.Duration, out *step.Out) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		switch {
		case c.interrupted != nil:
			s.endInterruption(c)
			s.endStopping(now, c, out)
		case c.awaitsProbe != nil:
			s.endStopping(now, c, out)
		default:
			c.cancelAttempts(out)
		}
	}
}

// endStopping answers a request that this daemon can't serve any more, since it exits.
func (s *State) endStopping(now time.Duration, c *call, out *step.Out) {
	a := step.Answer{Status: 504, Code: step.CodeShuttingDown, Message: "this daemon is stopping, and the request may have run"}
	if c.ranAttempts == 0 {
		a = stoppingAnswer
	}
	s.end(now, c, a, "the daemon exits", out)
}

// endsAfterExit reports whether a request may not end before a stopping daemon exits. That is so for a stream
// that begins late: it can't be refused once it has begun.
func (s *State) endsAfterExit(now time.Duration, c *call) bool {
	l := &s.lifecycle
	if !l.stopping || now-l.stoppingSince <= unreadyDelay {
		return false
	}
	return c.route.Kind == site.Stream || c.deadline > l.stoppingSince+l.timeout-finalAnswerReserve
}

// stoppingAnswer refuses a request that has not run.
var stoppingAnswer = step.Answer{
	Status: 503, Code: step.CodeShuttingDown, RetryAfter: otherDaemonRetryAfter,
	Message: "this daemon is stopping: send the request again, over another connection",
}
