package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// onStalled handles an attempt that has sent nothing for its timeout. A stream waits on as
// long as its target serves other requests of this daemon. Otherwise the target becomes
// suspect, a suspicion is reported, and another target or daemon is to take the request over if that
// is allowed.
func (s *State) onStalled(now time.Duration, e step.AnswerStalled, out *step.Out) {
	c := s.calls[e.ID]
	if c == nil || c.attempt != e.Attempt || c.callerGone || c.awaitsProbe != nil {
		return // of two attempts only the takeover counts: it is the last one
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
		s.abandonTakeover(now, c, "stalled", out)
		return
	}
	if s.paths.Probing(now, c.service) && !s.paths.ReachedSince(c.service, now-recentAnswer) {
		// Another target may be out of reach as well; moveStalled follows.
		s.stalled[c.req.ID] = e
		return
	}
	s.startTakeover(now, c, e, out)
}

// moveStalled has the requests taken over that wait for the path to a service's targets to be known.
func (s *State) moveStalled(now time.Duration, service string, out *step.Out) {
	for _, id := range slices.Sorted(maps.Keys(s.stalled)) {
		e := s.stalled[id]
		c := s.calls[id]
		if c != nil && c.service != service {
			continue
		}
		delete(s.stalled, id)
		if c != nil && c.attempt == e.Attempt && c.other == nil && !c.callerGone && c.awaitsProbe == nil {
			s.startTakeover(now, c, e, out)
		}
	}
}
