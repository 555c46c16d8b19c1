package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// refusalPause is how long a stream that has begun is not offered again to a host that refused it, about
// the time in which a place becomes free there.
const refusalPause = 500 * time.Millisecond

// refusal is a host that refused a stream that has begun, and until when it is not asked again.
type refusal struct {
	host  string
	until time.Duration
}

// avoidedHosts returns the hosts that must not get the request now.
func (c *call) avoidedHosts(now time.Duration) []string {
	c.refusals = slices.DeleteFunc(c.refusals, func(r refusal) bool { return now >= r.until })
	if len(c.refusals) == 0 {
		return c.failedHosts
	}
	hosts := slices.Clone(c.failedHosts)
	for _, r := range c.refusals {
		hosts = append(hosts, r.host)
	}
	return hosts
}

// interrupted is a stream that has begun and that no target can go on with at the moment.
type interrupted struct {
	since    time.Duration
	choice   place.Choice // why there is no target
	fallback step.Answer
}

// waitForTarget lets a stream that has begun wait until a target has room, or its deadline passes. It can't be
// refused any more, and its caller would only ask for the rest again. It returns false for any other request, and
// for one that no target can complete in time.
func (s *State) waitForTarget(now time.Duration, c *call, choice place.Choice, fallback step.Answer) bool {
	if c.events == 0 || c.callerGone || !c.route.MayRepeat() || now >= c.deadline || choice.Reason == place.TooLate {
		return false
	}
	c.interrupted = &interrupted{since: now, choice: choice, fallback: fallback}
	s.interrupted++
	return true
}

// resumeInterrupted sends streams that wait to targets that have room, and ends those whose deadline has
// passed. A host where a stream failed may take it again once it has changed: it has
// restarted, or has another group or phase.
func (s *State) resumeInterrupted(now time.Duration, out *step.Out) {
	if s.interrupted == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		i := c.interrupted
		if i == nil {
			continue
		}
		c.failedHosts = slices.DeleteFunc(c.failedHosts, func(host string) bool { return s.targets.ChangedSince(host, i.since) })
		hasTarget := s.targets.Peek(now, s.placement(now, c)).Target != nil
		if s.wantsHandover(c) {
			hasTarget = s.peers.Available(now, s.handoverRequest(c)) || s.usesOldConnections(now, c)
		}
		switch {
		case c.callerGone:
			s.endInterruption(c)
			s.endGone(now, c, out)
		case hasTarget && s.budget.Allow(now, c.service, c.countedAttempts()):
			s.endInterruption(c)
			s.sendToTarget(now, c, i.fallback, out)
		case now >= c.deadline:
			s.endInterruption(c)
			s.endWithoutTarget(now, c, i.choice, i.fallback, out)
		}
	}
}

func (s *State) endInterruption(c *call) {
	c.interrupted = nil
	s.interrupted--
}
