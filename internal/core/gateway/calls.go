package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// budgetPart is the part of the shared retry budget that is used: windows slide, and
	// daemons come and go.
	budgetPart = 0.8
	// maxSends bounds how often one request reaches a target, those included that refused it,
	// and maxUnsent how often one could not be reached: that costs only the time of a dial.
	maxSends  = 4
	maxUnsent = 12
	// patienceFactor is how many times its estimate a first event may take, and
	// patienceLeast is added to it, before the target is doubted.
	patienceFactor = 3
	patienceLeast  = 250 * time.Millisecond
	// pauseFactor is how many passes a stream may pause, and pauseLeast is added to them.
	pauseFactor = 4
	pauseLeast  = 150 * time.Millisecond
	// plainPatience is how long a plain service may take to answer a request that can be
	// sent elsewhere: the part of the time left that is not kept for the other try.
	plainPatience = 0.4
	// mostUrgent and leastUrgent bound the urgency that targets understand.
	mostUrgent, leastUrgent = 0, 9
	// startAgain is when a daemon that knows no configuration yet is worth another try.
	startAgain = 500 * time.Millisecond
	// elsewhere is when a request that only this daemon can't take is worth another try.
	elsewhere = 10 * time.Millisecond
)

// call is one request on its way.
type call struct {
	req      step.Call
	route    *site.Route
	service  string
	team     string
	urgency  int
	arrived  time.Duration
	deadline time.Duration

	sends   int // attempts begun
	unsent  int // of these, that reached nobody
	ran     int // attempts that may have run
	attempt step.AttemptID
	host    string
	began   bool // the running attempt has begun to answer
	moving  bool // it is being cancelled to go on elsewhere
	gone    bool // the caller left
	failed  []string
	events  int  // delivered over all attempts
	answer  bool // a whole answer of a target, a failure, is at hand
}

func (s *State) onCall(now time.Duration, r step.Call, out *step.Out) {
	s.called = true
	c := &call{req: r, arrived: now}
	if refusal := s.admit(now, c); refusal != nil {
		s.refuse(c, *refusal, out)
		return
	}
	s.calls[r.ID] = c
	s.budget.Started(now)
	s.place(now, c, step.Answer{}, out)
}

// admit finds the request's route and team. It returns the refusal, or nil.
func (s *State) admit(now time.Duration, c *call) *step.Answer {
	if s.config == nil || !s.listed {
		return &step.Answer{
			Status: 503, Code: step.CodeNoPlatform, RetryAfter: startAgain,
			Message: "this daemon knows no configuration yet: come back",
		}
	}
	if s.life.stopping && now-s.life.since > noticeFor {
		return &step.Answer{
			Status: 503, Code: step.CodeShuttingDown, RetryAfter: elsewhere,
			Message: "this daemon is stopping: send the request again, over another connection",
		}
	}
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
	} else if s.config.Keyed && !c.route.Public {
		return &step.Answer{Status: 401, Code: step.CodeUnauthorized, Message: "the key belongs to no team: ask your operator for a key"}
	}
	c.urgency = min(max(c.urgency, mostUrgent), leastUrgent)
	c.deadline = now + c.route.Timeout
	if c.req.Deadline > 0 {
		c.deadline = min(c.deadline, c.req.Deadline)
	}
	c.service = c.route.Pick(rendezvous.Mix(rendezvous.Hash(string(c.req.ID))))
	return nil
}

// place sends the request to a target. If none takes it, it ends with the answer given,
// or, where that is empty, with a refusal.
func (s *State) place(now time.Duration, c *call, otherwise step.Answer, out *step.Out) {
	ask := place.Ask{
		Service: c.service, Model: s.model(c), Prompt: c.req.PromptTokens,
		Spread: rendezvous.Mix(rendezvous.Hash(string(c.req.ID)) + uint64(c.sends)),
		Left:   c.deadline - now, Avoid: c.failed,
	}
	choice := s.book.Choose(now, ask)
	if choice.Target == nil {
		s.unplaced(now, c, choice, otherwise, out)
		return
	}
	t := choice.Target
	c.sends++
	c.attempt = step.AttemptID(string(c.req.ID) + "." + strconv.Itoa(c.sends))
	c.host, c.began, c.moving = t.Host.ID, false, false
	f := step.Forward{
		ID: c.req.ID, Attempt: c.attempt, Host: t.Host.ID, Address: t.Host.Address, Service: c.service,
		Team: c.team, Urgency: c.urgency, Deadline: c.deadline,
		Stream: c.route.Kind == site.Stream, MayRepeat: c.route.MayRepeat(),
	}
	if f.MayRepeat {
		f.FirstPatience, f.PausePatience = s.patience(now, c, choice)
	}
	s.book.Begin(c.host, c.req.PromptTokens)
	out.Log(event.RequestSent, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("route", c.route.Name),
		event.F("version", s.config.Version), event.F("team", c.team), event.F("host", c.host), event.F("inFlight", t.InFlight()),
		event.F("firstByMillis", choice.FirstBy.Milliseconds()), event.F("leftMillis", ask.Left.Milliseconds()))
	out.Add(f)
}

func (s *State) model(c *call) string {
	if service := s.config.Services[c.service]; service != nil && service.Engine != nil {
		return c.req.Model
	}
	return ""
}

// patience is how long an attempt may bring nothing before another target is tried.
func (s *State) patience(now time.Duration, c *call, choice place.Choice) (first, pause time.Duration) {
	if c.route.Kind != site.Stream {
		return time.Duration(plainPatience * float64(c.deadline-now)), 0
	}
	return patienceFactor*choice.FirstBy + patienceLeast, pauseFactor*choice.Target.Pass(now) + pauseLeast
}

// unplaced ends a request that no target takes.
func (s *State) unplaced(now time.Duration, c *call, choice place.Choice, otherwise step.Answer, out *step.Out) {
	if c.answer {
		out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt}) // the failure of its last target
		s.forget(now, c, "target failed", out)
		return
	}
	if otherwise.Status == 0 || c.ran == 0 {
		otherwise = step.Answer{Status: 503, Code: step.CodeOverloaded, RetryAfter: choice.RetryAfter, Message: "no target has room for this now: come back"}
		switch choice.Reason {
		case place.NoHost:
			otherwise.Code, otherwise.Message = step.CodeNoTarget, "nothing serves this now: come back"
		case place.TooLate:
			otherwise.Code, otherwise.Message = step.CodeDeadline, "this can't be answered in the time left: give more time"
		}
	}
	s.end(now, c, otherwise, choice.Reason.String(), out)
}

func (s *State) refuse(c *call, a step.Answer, out *step.Out) {
	a.ID, a.Outcome = c.req.ID, object.NotRun
	out.Add(a)
	out.Log(event.RequestAnswered, event.F("request", c.req.CallerID), event.F("path", c.req.Path), event.F("code", a.Code), event.F("status", a.Status))
}

// end answers a request with an error of the daemon's own.
func (s *State) end(now time.Duration, c *call, a step.Answer, why string, out *step.Out) {
	a.ID, a.Outcome = c.req.ID, object.Unknown
	if c.ran == 0 {
		a.Outcome = object.NotRun
	}
	out.Add(a)
	s.forget(now, c, fmt.Sprintf("%d %s: %s", a.Status, a.Code, why), out)
}

func (s *State) forget(now time.Duration, c *call, outcome string, out *step.Out) {
	delete(s.calls, c.req.ID)
	out.Log(event.RequestAnswered, event.F("request", c.req.CallerID), event.F("outcome", outcome), event.F("host", c.host),
		event.F("attempts", c.sends), event.F("events", c.events), event.F("millis", (now-c.arrived).Milliseconds()))
}

func (s *State) onBegan(now time.Duration, e step.AnswerBegan) {
	c := s.calls[e.ID]
	if c == nil || c.attempt != e.Attempt || c.began {
		return
	}
	c.began = true
	s.book.Began(now, c.host, c.req.PromptTokens, e.Load)
}

// onQuiet looks at an attempt that brings nothing. If nothing at all comes from its
// target, that is doubted, and the request goes on elsewhere if it may.
func (s *State) onQuiet(now time.Duration, e step.AnswerQuiet, out *step.Out) {
	c := s.calls[e.ID]
	if c == nil || c.attempt != e.Attempt || c.moving || c.gone {
		return
	}
	if c.route.Kind == site.Stream && e.TargetSilent < pauseLeast {
		return // it serves others: this one waits its turn
	}
	s.book.Doubt(now, c.host)
	s.suspect(now, c.host, out)
	if !s.mayMove(now, c) {
		return
	}
	c.moving = true
	out.Log(event.RequestMoved, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("host", c.host),
		event.F("begun", c.began), event.F("silentMillis", e.TargetSilent.Milliseconds()))
	out.Add(step.Cancel{ID: c.req.ID, Attempt: c.attempt})
}

// mayMove reports whether a running attempt may be given up for another target.
func (s *State) mayMove(now time.Duration, c *call) bool {
	if !c.route.MayRepeat() || c.spent() || c.ran+1 >= c.route.MaxTargets {
		return false
	}
	ask := place.Ask{Service: c.service, Model: s.model(c), Prompt: c.req.PromptTokens, Left: c.deadline - now, Avoid: append(c.failed, c.host)}
	return s.book.Choose(now, ask).Target != nil && s.budget.Allow(now, c.reached())
}

// reached is the number of attempts that may have reached a target, and spent reports
// whether there may be no more.
func (c *call) reached() int { return c.sends - c.unsent }

func (c *call) spent() bool { return c.reached() >= maxSends || c.unsent >= maxUnsent }

func (s *State) onEnded(now time.Duration, e step.ForwardEnded, out *step.Out) {
	c := s.calls[e.ID]
	if c == nil || c.attempt != e.Attempt {
		return
	}
	c.events = max(c.events, e.Delivered)
	ran := e.Ending != step.EndedUnsent && e.Ending != step.EndedRefused
	s.book.End(now, c.host, place.Outcome{
		Prompt: c.req.PromptTokens, Begun: c.began, Load: e.Load,
		Failed:   e.Ending == step.EndedError || e.Ending == step.EndedBroken || e.Ending == step.EndedCrossed,
		Silent:   e.Ending == step.EndedUnsent,
		Declined: e.Ending == step.EndedRefused,
	})
	if e.Ending == step.EndedUnsent {
		c.unsent++
		s.suspect(now, c.host, out)
	}
	if ran {
		c.ran++
	}
	switch {
	case e.Ending == step.EndedWhole:
		out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt})
		s.forget(now, c, "whole "+strconv.Itoa(e.Status), out)
	case c.gone:
		s.end(now, c, step.Answer{Status: 499, Code: step.CodeCancelled, Message: "the caller left"}, "the caller left", out)
	default:
		s.again(now, c, e, out)
	}
}

// again sends a request on after an attempt that failed, or ends it.
func (s *State) again(now time.Duration, c *call, e step.ForwardEnded, out *step.Out) {
	answer := failure(c, e)
	c.answer = e.Ending == step.EndedError
	moving := c.moving
	c.failed = append(c.failed, c.host)
	notRun := e.Ending == step.EndedUnsent || e.Ending == step.EndedRefused
	may := notRun || c.route.MayRepeat() && c.ran < c.route.MaxTargets
	// A move has paid for its next send when it was decided, and what never left has not
	// reached anybody.
	free := moving || e.Ending == step.EndedUnsent
	if !may || now >= c.deadline || c.spent() || !free && !s.budget.Allow(now, c.reached()) {
		if c.answer {
			out.Add(step.Deliver{ID: c.req.ID, Attempt: c.attempt})
			s.forget(now, c, "target failed", out)
			return
		}
		s.end(now, c, answer, e.Ending.String(), out)
		return
	}
	out.Log(event.RequestRetried, event.F("request", c.req.CallerID), event.F("attempt", c.attempt), event.F("host", c.host),
		event.F("ending", e.Ending), event.F("status", e.Status), event.F("events", c.events))
	s.place(now, c, answer, out)
}

// failure is the answer to a request whose last attempt failed without a whole answer.
func failure(c *call, e step.ForwardEnded) step.Answer {
	a := step.Answer{Status: 502, Code: step.CodeTargetFailed, Message: "the target broke off, and the request may have run"}
	switch {
	case e.Ending == step.EndedTimeout:
		a.Status, a.Code, a.Message = 504, step.CodeDeadline, "the time was over before the answer was there"
	case c.ran == 0:
		a.Status, a.RetryAfter, a.Message = 503, startAgain, "no target ran the request: come back"
	}
	if c.events > 0 {
		a.Code = step.CodeStreamBroken
	}
	return a
}

// onGone stops the work for a caller that left, streams among it. Other work that must not
// run twice goes on: its target may have done half of it.
func (s *State) onGone(id step.RequestID, out *step.Out) {
	c := s.calls[id]
	if c == nil || c.gone {
		return
	}
	c.gone = true
	if c.route.MayRepeat() || c.route.Kind == site.Stream {
		out.Add(step.Cancel{ID: id, Attempt: c.attempt})
	}
}
