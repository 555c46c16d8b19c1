package gateway

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/handover"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// doubtfulAttempts is after how many hosts that could not be reached a request is handed over,
	// although the path is not known to be cut.
	doubtfulAttempts = 2
	// oldConnectionsMaxAge is how long after the last answer the connections that were open before a
	// cut are taken to live.
	oldConnectionsMaxAge = 2 * time.Second
	// minTakenOver and takenOverPerOwn bound the requests of other daemons that this one has in
	// progress: the larger of minTakenOver and takenOverPerOwn times the requests of its own callers.
	// Beyond that they would delay those.
	minTakenOver    = 64
	takenOverPerOwn = 8
)

// pathDoubtful reports whether a request had better not be sent to a host by this daemon.
func (s *State) pathDoubtful(c *call) bool {
	return s.paths.Cut(c.service) || c.unsentAttempts >= doubtfulAttempts && s.paths.Unreached(c.service) >= doubtfulAttempts
}

// wantsHandover reports whether a request had better go to another daemon than to a host.
func (s *State) wantsHandover(c *call) bool {
	return !c.req.HandedOver && !c.req.StaysHere && s.pathDoubtful(c)
}

func (s *State) handoverRequest(c *call) handover.Request {
	return handover.Request{
		Spread: rendezvous.Mix(rendezvous.Hash(string(c.req.ID)) ^ rendezvous.Hash(s.settings.Daemon)),
		Tried:  slices.Concat(c.triedDaemons, c.failedDaemons), Holder: s.lease.Current().Holder,
	}
}

// handOver hands a request over to another daemon. It returns false if there is none to take it. That
// daemon makes all attempts that are left, and moves the request from a target that stalls: nobody else
// knows how many have run.
func (s *State) handOver(now time.Duration, c *call, out *step.Out) bool {
	d, ok := s.peers.Choose(now, s.handoverRequest(c))
	if !ok {
		if len(c.triedDaemons) > 0 {
			s.peers.FoundNobody(now)
		}
		return false
	}
	s.peers.Sent(now)
	c.beginAttempt(now)
	c.daemon = d.Name
	f := step.Forward{
		ID: c.req.ID, Attempt: c.attempt, Daemon: d.Name, Address: d.Address, Service: c.service, MaxRuns: c.maxRuns - c.ranAttempts - c.runningBeside(), Counted: c.counted, ConfigVersion: max(c.version, s.handedVersion), LeavingHosts: s.leavingHosts(c.service),
		Deadline: c.deadline, Stream: c.route.Kind == site.Stream, MayRepeat: c.route.MayRepeat(),
	}
	out.Log(event.RequestHandedOver, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("route", c.route.Name),
		event.F("daemon", d.Name), event.F("cut", s.paths.Cut(c.service)), event.F("tried", len(c.triedDaemons)), event.F("leftMillis", (c.deadline-now).Milliseconds()))
	out.Add(f)
	return true
}

// admitHandedOver decides whether this daemon takes a request that another one hands over. It says at
// once if it does not.
func (s *State) admitHandedOver(c *call) *step.Answer {
	if s.paths.Cut(c.service) {
		a := cutOffAnswer
		return &a
	}
	own := len(s.calls) - s.takenOver
	if s.takenOver >= max(minTakenOver, takenOverPerOwn*own) {
		return &step.Answer{Status: 503, Code: step.CodeDaemonBusy, RetryAfter: defaultRetryAfter, Message: "this daemon has as many requests of other daemons as it may have"}
	}
	return nil
}

// cutOffAnswer refuses a request that was handed over to a daemon that reaches no target either.
var cutOffAnswer = step.Answer{Status: 503, Code: step.CodeCutOff, RetryAfter: defaultRetryAfter, Message: "this daemon reaches no target either"}

// outdatedAnswer refuses a request that was admitted by a newer configuration than this daemon has: it might
// run where that does not allow it.
var outdatedAnswer = step.Answer{Status: 503, Code: step.CodeOutdated, RetryAfter: otherDaemonRetryAfter, Message: "this daemon has an older configuration"}

// usesOldConnections reports whether a request may still be sent to a host although no new connection
// can be opened: hosts have answered lately over those that were open before.
func (s *State) usesOldConnections(now time.Duration, c *call) bool {
	if !s.paths.Cut(c.service) {
		return true // a doubt only
	}
	return c.route.MayRepeat() && c.unsentAttempts == len(c.triedDaemons) && s.paths.ReachedSince(c.service, now-oldConnectionsMaxAge)
}

// endCutOff ends a request that this daemon can't send to any host and that no other one takes. A
// stream that has begun waits. Of a request that was handed over this daemon says at once that it can't.
func (s *State) endCutOff(now time.Duration, c *call, fallback step.Answer, out *step.Out) {
	if c.req.HandedOver && c.ranAttempts == 0 {
		s.end(now, c, cutOffAnswer, "cut off", out)
		return
	}
	choice := place.Choice{Reason: place.NoHost, RetryAfter: place.RetryAfter(s.placement(now, c))}
	if !s.waitForTarget(now, c, choice, fallback) {
		s.endWithoutTarget(now, c, choice, fallback, out)
	}
}

// refusedBy records that the daemon that a request was handed over to has not taken it.
func (s *State) refusedBy(now time.Duration, c *call, why handover.Refusal, out *step.Out) {
	s.peers.Refused(now, c.daemon, why)
	out.Log(event.HandoverRefused, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("daemon", c.daemon), event.F("reason", why))
}

// refusalOf translates the code with which a daemon refuses a request that was handed over. ok is false
// if the refusal holds for any daemon: it decides as this one would.
func refusalOf(code step.Code) (why handover.Refusal, ok bool) {
	switch code {
	case step.CodeCutOff:
		return handover.Unable, true
	case step.CodeDaemonBusy:
		return handover.Busy, true
	case step.CodeShuttingDown:
		return handover.Leaving, true
	case step.CodeOutdated, step.CodeNoPlatform, step.CodeNotFound, step.CodeUnauthorized, step.CodeTooLarge, step.CodeBadRequest:
		return handover.Outdated, true // this daemon has admitted the request
	}
	return 0, false
}

// onHandoverEnded handles the end of an attempt that was handed over. A lost answer is no proof that
// nothing ran, a refusal is.
func (s *State) onHandoverEnded(now time.Duration, c *call, e step.ForwardEnded, out *step.Out) {
	c.counted = c.counted || e.Ending != step.EndedUnsent && (e.Handover == nil || e.Handover.Sent > 0)
	switch e.Ending {
	case step.EndedUnsent:
		c.unsentAttempts++
		c.triedDaemons = append(c.triedDaemons, c.daemon)
		s.refusedBy(now, c, handover.Unreachable, out)
	case step.EndedRefused:
		c.unsentAttempts++
		c.triedDaemons = append(c.triedDaemons, c.daemon)
		answer := *e.Handover.Answer
		why, elsewhere := refusalOf(answer.Code)
		if elsewhere {
			s.refusedBy(now, c, why, out)
			break
		}
		s.peers.Took(now, c.daemon)
		if c.ranAttempts == 0 && c.events == 0 && !c.callerGone && c.other == nil {
			s.end(now, c, answer, "refused by "+c.daemon, out)
			return
		}
	default:
		runs := c.maxRuns - c.ranAttempts - c.runningBeside() // all that it was allowed, unless it has said how many
		tookIt := e.Handover != nil && e.Handover.Answer != nil
		if tookIt {
			runs = e.Handover.Runs
		}
		c.ranAttempts += max(1, runs)
		switch {
		case tookIt:
			s.peers.Took(now, c.daemon)
			c.failedDaemons = append(c.failedDaemons, c.daemon) // it has made the attempts that it could
		case !c.answerBegan && e.Ending == step.EndedBroken:
			s.refusedBy(now, c, handover.Unreachable, out)
		}
	}
	if e.Ending == step.EndedError && !c.withheld(e) && c.other == nil { // the other daemon has made the retries
		s.deliverFailure(now, c, out)
		return
	}
	s.conclude(now, c, e, out)
}
