package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// onStalled handles an attempt that has sent nothing for its timeout. A stream waits on as
// long as its target serves other requests of this daemon. Otherwise the target becomes
// suspect, a suspicion is reported, and the request moves to another target or daemon if allowed.
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
	if c.other != nil {
		if c.isTakeover {
			s.abandonTakeover(now, c, out)
		}
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
		if c != nil && c.attempt == e.Attempt && c.other == nil && !c.moving && !c.callerGone && c.awaitsProbe == nil {
			s.moveIfAllowed(now, c, e, out)
		}
	}
}

// moveIfAllowed has another target or daemon go on with a request whose attempt has stalled, if it may be sent once
// more. A stream that has begun runs on until another one has taken it. Any other request leaves its target at
// once: if no other one has room, its caller had better be told to come back than wait for a target that may be gone.
func (s *State) moveIfAllowed(now time.Duration, c *call, e step.AnswerStalled, out *step.Out) {
	if !s.mayMove(now, c) {
		return
	}
	out.Log(event.RequestMoved, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("host", c.host),
		event.F("service", c.service), event.F("begun", c.answerBegan), event.F("silentMillis", e.TargetSilence.Milliseconds()))
	if c.streamBegan() {
		s.startTakeover(now, c, e, out)
		return
	}
	c.moving = true
	out.Add(step.Cancel{ID: c.req.ID, Attempt: c.attempt})
}

// mayMove reports whether a request may be sent once more while an attempt is running. If so it spends the retry from
// the budget.
func (s *State) mayMove(now time.Duration, c *call) bool {
	if !c.route.MayRepeat() || c.attemptsSpent() || c.ranAttempts+1 >= c.maxRuns || len(c.tried) > 0 || s.lifecycle.ending {
		return false
	}
	if s.wantsHandover(c) {
		return s.peers.Available(now, s.handoverRequest(c)) && s.budget.Allow(now, c.service, c.countedAttempts())
	}
	if s.quarantineDecision(now, c, false).RetryAfter > 0 {
		return false
	}
	return s.targets.Peek(now, s.moveRequest(now, c)).Target != nil && s.budget.Allow(now, c.service, c.countedAttempts())
}

// moveRequest describes to the table of targets an attempt that is to replace a running one.
func (s *State) moveRequest(now time.Duration, c *call) place.Request {
	request := s.placement(now, c)
	request.AvoidHosts = append(slices.Clone(request.AvoidHosts), c.host)
	return request
}
