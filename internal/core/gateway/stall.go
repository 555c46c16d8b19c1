package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// onStalled handles an attempt that has sent nothing for its timeout. A stream waits on as
// long as its target serves other requests of this daemon. Otherwise the target becomes
// suspect, a suspicion is reported, and the request moves to another target if allowed.
func (s *State) onStalled(now time.Duration, e step.AnswerStalled, out *step.Out) {
	c := s.calls[e.ID]
	if c == nil || c.attempt != e.Attempt || c.moving || c.callerGone || c.awaitsProbe != nil {
		return
	}
	if c.route.Kind == site.Stream && e.TargetSilence < eventGapGrace {
		return // the target serves other requests: this one waits for its turn
	}
	s.targets.Suspect(now, c.host)
	s.reportSuspicion(now, c.host, out)
	s.paths.Doubt(c.service)
	s.probePaths(now, out)
	if e.Unresumable {
		return
	}
	if s.paths.Probing(now, c.service) && !s.paths.ReachedSince(c.service, now-recentAnswer) {
		// Another target may be out of reach as well; moveStalled follows.
		s.stalled[c.req.ID] = e
		return
	}
	s.moveIfAllowed(now, c, e, out)
}

// moveStalled moves the requests that wait for the path to a service's targets to be known.
func (s *State) moveStalled(now time.Duration, service string, out *step.Out) {
	for _, id := range slices.Sorted(maps.Keys(s.stalled)) {
		e := s.stalled[id]
		c := s.calls[id]
		if c != nil && c.service != service {
			continue
		}
		delete(s.stalled, id)
		if c != nil && c.attempt == e.Attempt && !c.moving && !c.callerGone && c.awaitsProbe == nil {
			s.moveIfAllowed(now, c, e, out)
		}
	}
}

// moveIfAllowed cancels a stalled attempt in favour of another target or daemon.
func (s *State) moveIfAllowed(now time.Duration, c *call, e step.AnswerStalled, out *step.Out) {
	if !s.mayMove(now, c) {
		return
	}
	c.moving = true
	out.Log(event.RequestMoved, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("host", c.host),
		event.F("service", c.service), event.F("begun", c.answerBegan), event.F("silentMillis", e.TargetSilence.Milliseconds()))
	out.Add(step.Cancel{ID: c.req.ID, Attempt: c.attempt})
}

// mayMove reports whether a running attempt may be cancelled in favour of another target. If
// so it spends the retry from the budget.
func (s *State) mayMove(now time.Duration, c *call) bool {
	if !c.route.MayRepeat() || c.attemptsSpent() || c.ranAttempts+1 >= c.maxRuns || len(c.tried) > 0 {
		return false
	}
	if s.wantsHandover(c) {
		return s.peers.Available(now, s.handoverRequest(c)) && s.budget.Allow(now, c.service, c.reachedAttempts())
	}
	if s.quarantineDecision(now, c, false).RetryAfter > 0 {
		return false
	}
	request := s.placement(now, c)
	request.AvoidHosts = append(slices.Clone(c.failedHosts), c.host)
	return s.targets.Peek(now, request).Target != nil && s.budget.Allow(now, c.service, c.reachedAttempts())
}
