package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// resumeWait is how long a stream that has begun waits for a target that can go on with it. Callers
// give up on a stream after a pause of two seconds.
const resumeWait = 1500 * time.Millisecond

// interrupted is a stream that has begun and that no target can go on with at the moment.
type interrupted struct {
	since    time.Duration
	until    time.Duration
	choice   place.Choice // why there is no target
	fallback step.Answer
}

// waitForTarget lets a stream that has begun wait until a target has room. It can't be refused any
// more, and its caller would only ask for the rest again. It returns false for any other request.
func (s *State) waitForTarget(now time.Duration, c *call, choice place.Choice, fallback step.Answer) bool {
	if c.events == 0 || c.callerGone || !c.route.MayRepeat() {
		return false
	}
	until := min(now+resumeWait, c.deadline)
	if now >= until {
		return false
	}
	c.interrupted = &interrupted{since: now, until: until, choice: choice, fallback: fallback}
	s.interrupted++
	return true
}

// resumeInterrupted sends streams that wait to targets that have room, and ends those that have
// waited for too long. A host where a stream failed may take it again once it has changed: it has
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
		case hasTarget && s.budget.Allow(now, c.service, c.reachedAttempts()):
			s.endInterruption(c)
			s.sendToTarget(now, c, i.fallback, out)
		case now >= i.until:
			s.endInterruption(c)
			s.endWithoutTarget(now, c, i.choice, i.fallback, out)
		}
	}
}

func (s *State) endInterruption(c *call) {
	c.interrupted = nil
	s.interrupted--
}
