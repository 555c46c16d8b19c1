package gateway

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/overload"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// budgetShare is the share of the common retry budget that daemons use. The rest is kept
	// because windows slide, and daemons come and go.
	budgetShare = 0.8
	// maxAttempts bounds the attempts of one request that may have reached a target, including
	// those that the target refused.
	maxAttempts = 4
	// maxUnsentAttempts bounds the attempts of one request that could not reach their target.
	// It is higher, since such an attempt costs only the time of a dial.
	maxUnsentAttempts = 12
	// firstByteTimeoutFactor times the time to the first event by the step model, plus firstByteGrace and
	// what the target's pool has lately needed beyond it, is how long a stream may take to its first bytes
	// before the attempt is considered stalled.
	firstByteTimeoutFactor = 3
	firstByteGrace         = 250 * time.Millisecond
	// eventGapTimeoutFactor times the estimated time between two events, plus eventGapGrace, is
	// how long a stream may pause before the attempt is considered stalled. A stream is not
	// moved while its target has sent anything within eventGapGrace, for any request of this
	// daemon.
	eventGapTimeoutFactor = 4
	eventGapGrace         = 150 * time.Millisecond
	// recentAnswer is how long after an answer of any target of a service a stall does not put this
	// daemon's path to them in doubt.
	recentAnswer = 100 * time.Millisecond
	// plainTimeoutShare is the share of the time left that a plain service may take to answer
	// a request that can be sent to another target. The rest is kept for that other attempt.
	plainTimeoutShare = 0.4
	// highestUrgency and lowestUrgency bound the urgency values that targets accept; 0 is most
	// urgent.
	highestUrgency, lowestUrgency = 0, 9
	// defaultRetryAfter is the delay after which a caller should retry a request that no
	// target ran, or that reached a daemon without a configuration.
	defaultRetryAfter = 500 * time.Millisecond
	// otherDaemonRetryAfter is the delay after which a caller should retry a request that only
	// this daemon can't take.
	otherDaemonRetryAfter = 10 * time.Millisecond
)

// call is a request in progress.
type call struct {
	req       step.Call
	route     *site.Route
	version   int64 // of the configuration by which it was admitted
	service   string
	team      string // empty if the caller's key belongs to none
	urgency   int    // 0 is most urgent
	arrivedAt time.Duration
	deadline  time.Duration // when the caller's or the route's timeout ends, whichever is earlier

	attempts         int // attempts started
	unsentAttempts   int // attempts that could not reach their target
	refusedWhenBegun int // attempts that targets refused after the stream had begun
	ranAttempts      int // attempts that may have run
	maxRuns          int // attempts that may run
	attemptState         // of the last attempt
	// other is the attempt that runs beside the last one, nil if there is none; see takeover.go.
	other            *attemptState
	triedDaemons     []string // that did not take the request
	failedDaemons    []string // that took the request and answered that it failed
	demanded         bool     // counted as this daemon's demand
	counted          bool     // for the retry budget of this daemon, or of the one that handed it over
	callerGone       bool     // the caller disconnected
	failedHosts      []string // hosts where an attempt failed
	refusals         []refusal
	events           int  // events delivered, over all attempts
	hasFailureAnswer bool // the last attempt ended with a complete 5xx answer
	// tried are the condemned fingerprints of a request that was let through to find out whether it
	// is sound; empty for any other.
	tried []quarantine.Fingerprint
	// awaitsProbe is the end of the last attempt if what follows depends on whether its host has
	// crashed.
	awaitsProbe *step.ForwardEnded
	// interrupted is set while a stream that has begun waits for a target.
	interrupted *interrupted
	prints      []quarantine.Fingerprint // see fingerprints
	ranking
}

// attemptState is what is known of one attempt.
type attemptState struct {
	attempt      step.AttemptID // at host, or handed over to daemon
	host         string
	daemon       string
	address      string             // of the host
	incarnation  int64              // of the host
	sentAt       time.Duration      // when the attempt was started
	eventsBefore int                // events delivered by earlier attempts
	firstEventAt time.Duration      // when the attempt delivered its first event; zero before
	answerBegan  bool               // the attempt has begun to answer
	stall        step.AnswerStalled // the last one; valid once a takeover was started
	isTakeover   bool               // it was started to replace another one that was still running
	moving       bool               // it is being cancelled to move the request
	estimates
}

func (s *State) onCall(now time.Duration, r step.Call, out *step.Out) {
	s.requestSeen = true
	c := &call{req: r, arrivedAt: now}
	if refusal := s.admit(now, c); refusal != nil {
		s.refuse(c, *refusal, out)
		return
	}
	s.calls[r.ID] = c
	c.counted = r.Counted
	if r.HandedOver {
		s.takenOver++
		s.adoptLeaving(now, r.LeavingHosts, out)
	}
	s.sendToTarget(now, c, step.Answer{}, out)
}

// admit sets the request's route, team, urgency, deadline and service. It returns a refusal if
// the request may not run, else nil.
func (s *State) admit(now time.Duration, c *call) *step.Answer {
	if s.config == nil || !s.hostsKnown {
		return &step.Answer{
			Status: 503, Code: step.CodeNoPlatform, RetryAfter: defaultRetryAfter,
			Message: "this daemon knows no configuration yet: come back",
		}
	}
	if s.lifecycle.stopping && (c.req.HandedOver || s.lifecycle.ending) {
		a := stoppingAnswer
		return &a
	}
	if c.req.ConfigVersion > s.config.Version {
		a := outdatedAnswer
		return &a
	}
	c.version = s.config.Version
	c.route = s.config.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return &step.Answer{Status: 404, Code: step.CodeNotFound, Message: "no route leads there: check the host name and the path"}
	}
	c.urgency = c.route.Priority
	if team := s.config.Teams[c.req.Key]; team != nil {
		c.team = team.Name
		if team.HasPriority {
			c.urgency = team.Priority
		}
	} else if s.config.KeysRequired && !c.route.Public {
		return &step.Answer{Status: 401, Code: step.CodeUnauthorized, Message: "the key belongs to no team: ask your operator for a key"}
	}
	c.urgency = min(max(c.urgency, highestUrgency), lowestUrgency)
	c.deadline = now + c.route.Timeout
	if c.req.Deadline > 0 {
		c.deadline = min(c.deadline, c.req.Deadline)
	}
	if s.endsAfterExit(now, c) {
		a := stoppingAnswer
		return &a
	}
	c.service = c.route.PickService(rendezvous.Mix(rendezvous.Hash(string(c.req.ID))))
	c.maxRuns = c.route.MaxTargets
	if c.req.HandedOver {
		if c.route.LeadsTo(c.req.Service) {
			c.service = c.req.Service // its retries are budgeted there
		}
		c.maxRuns = min(c.maxRuns, c.req.MaxRuns)
		return s.admitHandedOver(c)
	}
	return nil
}

// sendToTarget sends the request to a target. If no target can take it, the request ends with
// the fallback answer or, if that is empty or no attempt may have run, with a refusal.
func (s *State) sendToTarget(now time.Duration, c *call, fallback step.Answer, out *step.Out) {
	if s.pathDoubtful(c) {
		if s.wantsHandover(c) && s.handOver(now, c, out) {
			return
		}
		if c.req.HandedOver || !s.usesOldConnections(now, c) {
			s.endCutOff(now, c, fallback, out)
			return
		}
	}
	first := !c.demanded
	if first {
		c.demanded = true
		s.limits.RecordDemand(now, c.service)
	}
	s.countForBudget(now, c)
	s.rankRequest(now, c, first)
	request := s.placement(now, c)
	decision := s.quarantineDecision(now, c, c.attempts == 0)
	if decision.RetryAfter > 0 {
		s.endQuarantined(now, c, decision, fallback, out)
		return
	}
	choice := s.targets.Choose(now, request)
	if p := s.pools[c.service]; p != nil && first && !c.req.HandedOver && !c.returned && choice.Reason != place.TooLate {
		p.RecordOffered(now, request.Model, choice.Target != nil, c.req.PromptTokens, c.req.MaxTokens)
	}
	if choice.Target == nil {
		if !s.waitForTarget(now, c, choice, fallback) {
			s.endWithoutTarget(now, c, choice, fallback, out)
		}
		return
	}
	s.forward(now, c, choice, request, decision.Tried, out)
}

// forward starts an attempt at the chosen target. tried are the condemned fingerprints for which the request
// is a trial.
func (s *State) forward(now time.Duration, c *call, choice place.Choice, request place.Request, tried []quarantine.Fingerprint, out *step.Out) {
	t := choice.Target
	c.beginAttempt(now)
	c.host, c.address, c.incarnation = t.Host.ID, t.Host.Address, t.Host.Incarnation
	c.modelTime, c.estimated = choice.ModelTime, choice.TimeToFirstEvent
	f := step.Forward{
		ID: c.req.ID, Attempt: c.attempt, Host: t.Host.ID, Address: t.Host.Address, Service: c.service,
		Team: c.team, Urgency: c.engineUrgency(request.Model != ""), Deadline: c.deadline, Late: c.rank == overload.Late, Estimated: choice.TimeToFirstEvent,
		Stream: c.route.Kind == site.Stream, MayRepeat: c.route.MayRepeat(),
	}
	if f.MayRepeat {
		f.FirstByteTimeout, f.EventGapTimeout = s.attemptTimeouts(now, c, choice)
	}
	s.targets.StartRequest(c.host, c.req.PromptTokens)
	out.Log(event.RequestSent, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("route", c.route.Name),
		event.F("version", s.config.Version), event.F("team", c.team), event.F("rank", c.rank.String()), event.F("host", c.host), event.F("inFlight", t.InFlight()),
		event.F("firstByMillis", choice.TimeToFirstEvent.Milliseconds()), event.F("leftMillis", request.TimeLeft.Milliseconds()))
	if len(tried) > 0 {
		out.Log(event.RequestTried, event.F("request", c.req.CallerID), event.F("host", c.host), event.F("fingerprints", names(tried)))
		c.tried = tried
		s.shareTrial(now, c, false, out)
	}
	out.Add(f)
}

// countForBudget counts a request for the retry budget of the daemon that sends it to hosts, once over
// all daemons.
func (s *State) countForBudget(now time.Duration, c *call) {
	if !c.counted {
		c.counted = true
		s.budget.RecordRequest(now, c.service)
	}
}

// beginAttempt numbers the next attempt and clears what is known of the last one.
func (c *call) beginAttempt(now time.Duration) {
	c.attempts++
	c.attemptState = attemptState{
		attempt: step.AttemptID(string(c.req.ID) + "." + strconv.Itoa(c.attempts)), sentAt: now, eventsBefore: c.events, isTakeover: c.other != nil,
	}
}

// placement describes the next attempt of a request to the table of targets.
func (s *State) placement(now time.Duration, c *call) place.Request {
	waiting := 0
	if engine, _ := s.engineOf(c); engine != nil {
		waiting = maxWaiting(engine, c.rank)
	}
	return place.Request{
		MaxWaiting: waiting,
		Service:    c.service, Model: s.model(c), PromptTokens: c.req.PromptTokens,
		Spread:   rendezvous.Mix(rendezvous.Hash(string(c.req.ID)) + uint64(c.attempts)),
		TimeLeft: c.deadline - now, AvoidHosts: c.avoidedHosts(now), HandedOver: c.req.HandedOver, Begun: c.streamBegan(),
	}
}

func (s *State) model(c *call) string {
	if engine, _ := s.engineOf(c); engine != nil {
		return c.req.Model
	}
	return ""
}

// attemptTimeouts returns how long an attempt may take to the first bytes of its answer, and
// between two events of a stream, before another target is tried.
func (s *State) attemptTimeouts(now time.Duration, c *call, choice place.Choice) (firstByte, eventGap time.Duration) {
	if c.route.Kind != site.Stream {
		return time.Duration(plainTimeoutShare * float64(c.deadline-now)), 0
	}
	return firstByteTimeoutFactor*choice.ModelTime + firstByteGrace + choice.StallAllowance, eventGapTimeoutFactor*choice.Target.EventInterval(now) + eventGapGrace
}

// endWithoutTarget ends a request that no target can take.
func (s *State) endWithoutTarget(now time.Duration, c *call, choice place.Choice, fallback step.Answer, out *step.Out) {
	if c.hasFailureAnswer {
		s.deliverFailure(now, c, out)
		return
	}
	if fallback.Status == 0 || c.ranAttempts == 0 {
		fallback = step.Answer{Status: 503, Code: step.CodeOverloaded, RetryAfter: choice.RetryAfter, Message: "no target has room for this now: come back"}
		switch choice.Reason {
		case place.NoHost:
			fallback.Code, fallback.Message = step.CodeNoTarget, "nothing serves this now: come back"
		case place.TooLate:
			fallback.Code, fallback.Message = step.CodeDeadline, "this can't be answered in the time left: give more time"
		case place.Quiet:
			fallback.Message = "all targets asked for a pause: come back after it"
		case place.Limited:
			fallback.Message = "the targets take only so many requests a second, and have got them: come back"
		}
	}
	s.end(now, c, fallback, choice.Reason.String(), out)
}

func (s *State) refuse(c *call, a step.Answer, out *step.Out) {
	a.ID, a.Outcome = c.req.ID, object.NotRun
	out.Add(a)
	out.Log(event.RequestAnswered, event.F("request", c.req.CallerID), event.F("path", c.req.Path), event.F("code", a.Code), event.F("status", a.Status))
}

// deliverFailure ends a request with the failure answer of its last target.
func (s *State) deliverFailure(now time.Duration, c *call, out *step.Out) {
	out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt})
	s.finish(now, c, "target failed", out)
}

// end answers a request with an error from this daemon.
func (s *State) end(now time.Duration, c *call, a step.Answer, reason string, out *step.Out) {
	a.ID, a.Outcome = c.req.ID, object.Unknown
	if c.ranAttempts == 0 {
		a.Outcome = object.NotRun
	}
	out.Add(a)
	s.finish(now, c, fmt.Sprintf("%d %s: %s", a.Status, a.Code, reason), out)
}

func (s *State) finish(now time.Duration, c *call, outcome string, out *step.Out) {
	delete(s.calls, c.req.ID)
	delete(s.stalled, c.req.ID)
	if c.req.HandedOver {
		s.takenOver--
	}
	if c.interrupted != nil {
		s.endInterruption(c)
	}
	if c.other != nil {
		s.recordAbandoned(now, c, c.other)
		c.other = nil
	}
	if len(c.tried) > 0 && c.reachedAttempts() == 0 {
		s.shareTrial(now, c, true, out)
	}
	if c.req.HandedOver || c.daemon != "" {
		out.Log(event.RequestAnswered, event.F("request", c.req.CallerID), event.F("outcome", outcome), event.F("host", c.host), event.F("daemon", c.daemon),
			event.F("handedOver", c.req.HandedOver), event.F("attempts", c.attempts), event.F("events", c.events), event.F("millis", (now-c.arrivedAt).Milliseconds()))
		return
	}
	out.Log(event.RequestAnswered, event.F("request", c.req.CallerID), event.F("outcome", outcome), event.F("host", c.host),
		event.F("attempts", c.attempts), event.F("events", c.events), event.F("millis", (now-c.arrivedAt).Milliseconds()))
}

func (s *State) onBegan(now time.Duration, e step.AnswerBegan, out *step.Out) {
	c := s.callOf(e.ID, e.Attempt)
	if c == nil || c.answerBegan {
		return
	}
	c.answerBegan = true
	if c.daemon != "" {
		s.peers.Took(now, c.daemon)
		s.handedVersion = max(s.handedVersion, e.ConfigVersion)
		return
	}
	s.recordLimit(now, c, e.Limit, out)
	c.waited = e.Load.Slots > 0 && (e.Load.Waiting > 0 || e.Load.Running >= e.Load.Slots)
	s.targets.AnswerBegan(now, c.host, c.req.PromptTokens, e.Load)
	s.recordAnswer(now, c.service, e.NewConnection, out)
}

// reachedAttempts is the number of attempts that may have reached a target.
func (c *call) reachedAttempts() int { return c.attempts - c.unsentAttempts }

// countedAttempts is the number of attempts that count against maxAttempts. Refusals of a stream that has
// begun don't: its caller can't be told to come back, and the retry budget bounds them.
func (c *call) countedAttempts() int { return c.reachedAttempts() - c.refusedWhenBegun }

// attemptsSpent reports whether the request has used up its attempts.
func (c *call) attemptsSpent() bool {
	return c.countedAttempts() >= maxAttempts || c.unsentAttempts >= maxUnsentAttempts
}

func (s *State) onEnded(now time.Duration, e step.ForwardEnded, out *step.Out) {
	c := s.callOf(e.ID, e.Attempt)
	if c == nil {
		return
	}
	c.events = max(c.events, e.Delivered)
	if c.daemon != "" {
		s.onHandoverEnded(now, c, e, out)
		return
	}
	if e.Limit != nil {
		s.recordLimit(now, c, *e.Limit, out)
	}
	mayHaveRun := e.Ending != step.EndedUnsent && e.Ending != step.EndedRefused
	s.targets.EndRequest(now, c.host, place.Outcome{
		PromptTokens: c.req.PromptTokens, AnswerBegan: c.answerBegan, Load: e.Load,
		Failed:    e.Ending == step.EndedError || e.Ending == step.EndedBroken || e.Ending == step.EndedWrongAttempt,
		Unreached: e.Ending == step.EndedUnsent,
		Refused:   e.Ending == step.EndedRefused,
	})
	if e.Ending == step.EndedUnsent {
		c.unsentAttempts++
		s.reportSuspicion(now, c.host, out)
		s.recordUnreached(now, c.service, c.host, out)
	}
	if mayHaveRun {
		c.ranAttempts++
	}
	if e.Ending == step.EndedRefused && c.events > 0 {
		c.refusedWhenBegun++
		c.refusals = append(c.refusals, refusal{c.host, now + refusalPause})
	}
	if e.Ending == step.EndedBroken {
		out.Log(event.AttemptBroken, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("host", c.host), event.F("fingerprints", names(c.fingerprints())),
			event.F("begun", c.answerBegan), event.F("attemptEvents", c.events-c.eventsBefore), event.F("millis", (now-c.sentAt).Milliseconds()))
		s.paths.DoubtUrgently(c.service)
		s.probePaths(now, out)
		if s.probeAfterBreak(now, c, out) && c.route.MayRepeat() && !c.moving && c.other == nil && !s.lifecycle.ending {
			c.awaitsProbe = &e
			return
		}
	}
	s.conclude(now, c, e, out)
}

// conclude goes on with a request after the end of its attempt: it is answered, or sent again.
func (s *State) conclude(now time.Duration, c *call, e step.ForwardEnded, out *step.Out) {
	complete := e.Ending == step.EndedComplete && !c.withheld(e)
	if complete {
		// A failure answer shows nothing: a host may fail before it runs the request.
		s.recordSuccess(now, cmp.Or(c.firstEventAt, now), c, out)
	}
	if !complete && c.other != nil {
		s.continueWithOther(now, c, e, out)
		return
	}
	switch {
	case complete:
		out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt})
		s.finish(now, c, "whole "+strconv.Itoa(e.Status), out)
	case c.callerGone:
		s.endGone(now, c, out)
	case s.lifecycle.ending && e.Ending == step.EndedError && !c.withheld(e):
		s.deliverFailure(now, c, out)
	case s.lifecycle.ending:
		s.endStopping(now, c, out)
	default:
		s.retryOrEnd(now, c, e, out)
	}
}

// endGone ends a request whose caller has left.
func (s *State) endGone(now time.Duration, c *call, out *step.Out) {
	s.end(now, c, step.Answer{Status: 499, Code: step.CodeCancelled, Message: "the caller left"}, "the caller left", out)
}

// retryOrEnd sends a request to another target after a failed attempt, or ends it.
func (s *State) retryOrEnd(now time.Duration, c *call, e step.ForwardEnded, out *step.Out) {
	answer := failureAnswer(c, e)
	c.hasFailureAnswer = e.Ending == step.EndedError && !c.withheld(e)
	moving := c.moving
	c.avoidHost(e.Ending)
	notRun := e.Ending == step.EndedUnsent || e.Ending == step.EndedRefused
	mayRetry := notRun || c.route.MayRepeat() && c.ranAttempts < c.maxRuns && len(c.tried) == 0
	// A move has spent its retry when it was decided, and an unsent attempt has reached no
	// target. One that another daemon did not run may have reached targets there that refused it.
	reachedElsewhere := e.Handover != nil && e.Handover.Reached > 0
	exempt := moving || e.Ending == step.EndedUnsent || notRun && c.daemon != "" && !reachedElsewhere
	mayRetry = mayRetry && !e.Unresumable && now < c.deadline && !c.attemptsSpent()
	elsewhere := s.pathDoubtful(c)
	if decision := s.quarantineDecision(now, c, false); decision.RetryAfter > 0 {
		s.endQuarantined(now, c, decision, answer, out)
		return
	}
	if mayRetry && !elsewhere {
		if choice := s.targets.Peek(now, s.placement(now, c)); choice.Target == nil {
			if !s.waitForTarget(now, c, choice, answer) {
				s.endWithoutTarget(now, c, choice, answer, out) // no retry is spent
			}
			return
		}
	}
	allowed := mayRetry && (exempt || s.budget.Allow(now, c.service, c.countedAttempts()))
	if mayRetry && !allowed {
		out.Log(event.RetryBudgetSpent, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("service", c.service), event.F("ending", e.Ending))
	}
	if !allowed {
		if mayRetry && s.waitForTarget(now, c, place.Choice{}, answer) {
			return // until the budget allows it
		}
		if c.hasFailureAnswer {
			s.deliverFailure(now, c, out)
			return
		}
		s.end(now, c, answer, c.endingReason(e), out)
		return
	}
	out.Log(event.RequestRetried, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("host", c.host), event.F("daemon", c.daemon),
		event.F("ending", e.Ending), event.F("status", e.Status), event.F("events", c.events), event.F("service", c.service), event.F("budgeted", !exempt))
	s.sendToTarget(now, c, answer, out)
}

// failureAnswer is the answer to a request whose last attempt failed without a complete
// answer.
func failureAnswer(c *call, e step.ForwardEnded) step.Answer {
	a := step.Answer{Status: 502, Code: step.CodeTargetFailed, Message: "the target broke off, and the request may have run"}
	switch {
	case e.Ending == step.EndedTimeout:
		a.Status, a.Code, a.Message = 504, step.CodeDeadline, "the time was over before the answer was there"
	case c.ranAttempts == 0:
		a.Status, a.RetryAfter, a.Message = 503, defaultRetryAfter, "no target ran the request: come back"
	}
	if c.events > 0 {
		a.Code = step.CodeStreamBroken
	}
	return a
}

// onGone cancels the work for a caller that disconnected, streams included. Other work that
// must not run twice continues: its target may have done half of it.
func (s *State) onGone(id step.RequestID, out *step.Out) {
	c := s.calls[id]
	if c == nil || c.callerGone {
		return
	}
	c.callerGone = true
	if c.route.MayRepeat() || c.route.Kind == site.Stream {
		c.cancelAttempts(out)
	}
}
