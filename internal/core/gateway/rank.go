package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/overload"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// objectiveMargin is taken off a request's objective for the way to its caller and back.
	objectiveMargin = 10 * time.Millisecond
	// waitingShare is the share of an engine's slots that may wait there when a new request is sent. Up to
	// it the order of the engine's queue decides; beyond it the queue may refuse urgent requests too.
	waitingShare = 0.5
	// lateWaitingShare is the same for late requests. With the share of the others, they held the places of
	// urgent ones: at twice the capacity, 1.18 instead of 1.42 times as many began in time as without ranks.
	lateWaitingShare = 0.125
	// An estimate is logged if the first event came later by wrongEstimateFactor and by at least
	// wrongEstimateTime; at most one in wrongEstimateInterval.
	wrongEstimateFactor   = 3
	wrongEstimateTime     = 300 * time.Millisecond
	wrongEstimateInterval = time.Second
)

// ranking is what decides on a request of an engine while there is too little room.
type ranking struct {
	rank overload.Rank
	// objectiveAt is when its first event is late; zero if its route declares no objective.
	objectiveAt time.Duration
	returned    bool // its caller has come back after a refusal
}

// estimates are the estimates for an attempt; waited is set if its head had no free slot, or waiting requests.
type estimates struct {
	modelTime, estimated time.Duration
	waited               bool
}

// engineOf returns the engine and the model of a request; nil for a plain service.
func (s *State) engineOf(c *call) (*site.Engine, *site.Model) {
	service := s.config.Services[c.service]
	if service == nil || service.Engine == nil {
		return nil, nil
	}
	return service.Engine, service.Engine.Model(c.req.Model)
}

func poolOf(c *call) overload.Pool { return overload.Pool{Service: c.service, Model: c.req.Model} }

// rankRequest ranks a request that is about to be sent to an engine. One that is sent again keeps its
// rank unless its objective has passed.
func (s *State) rankRequest(now time.Duration, c *call, first bool) {
	engine, model := s.engineOf(c)
	if model == nil {
		return
	}
	switch {
	case c.events > 0:
		c.rank = overload.InTime // its caller has a part of the answer, and can't be refused any more
		return
	case !first:
		if c.objectiveAt > 0 && now >= c.objectiveAt {
			c.rank = overload.Late
		}
		return
	}
	stated := time.Duration(0)
	if c.req.Deadline > 0 {
		stated = c.req.Deadline - c.arrivedAt
	}
	elapsed := s.overload.Elapsed(now, c.route.Name, c.route.Timeout, stated)
	c.returned = elapsed > 0
	if c.route.Goal > 0 {
		c.objectiveAt = max(1, c.arrivedAt+c.route.Goal-elapsed-objectiveMargin)
	}
	tokens := float64(c.req.MaxTokens)
	if tokens == 0 {
		tokens = engine.MeanAnswerTokens
	}
	c.rank = s.overload.Rank(now, overload.Request{
		Pool: poolOf(c), Priority: c.urgency, ObjectiveLeft: c.objectiveAt - now, HasObjective: c.objectiveAt > 0,
		Work:   engine.PromptTime(model, c.req.PromptTokens) + engine.AnswerTime(model, tokens, engine.Slots),
		Spread: rendezvous.Mix(rendezvous.Hash("rank " + string(c.req.ID))),
	})
}

// maxWaiting is how many requests may wait at an engine for one more of a rank to be sent there.
func maxWaiting(engine *site.Engine, rank overload.Rank) int {
	share := waitingShare
	if rank == overload.Late {
		share = lateWaitingShare
	}
	return max(1, int(share*float64(engine.Slots)))
}

// engineUrgency is the urgency under which a request is sent. The lowest one is left to those that are late.
func (c *call) engineUrgency(isEngine bool) int {
	switch {
	case !isEngine:
		return c.urgency
	case c.rank == overload.Late:
		return lowestUrgency
	}
	return min(c.urgency, lowestUrgency-1)
}

// recordFirstEvent learns from the first event of a stream.
func (s *State) recordFirstEvent(now time.Duration, c *call, out *step.Out) {
	if _, model := s.engineOf(c); model == nil || c.daemon != "" || c.eventsBefore > 0 {
		return
	}
	measured := now - c.sentAt
	s.targets.RecordFirstEvent(now, place.Sample{Service: c.service, Model: c.req.Model, Host: c.host, Estimated: c.modelTime, Measured: measured, Waited: c.waited})
	if measured > wrongEstimateFactor*c.estimated && measured > c.estimated+wrongEstimateTime && now >= s.nextWrongEstimateLog {
		s.nextWrongEstimateLog = now + wrongEstimateInterval
		out.Log(event.EstimateWrong, event.F("request", c.req.CallerID), event.F("host", c.host), event.F("estimatedMillis", c.estimated.Milliseconds()),
			event.F("measuredMillis", measured.Milliseconds()), event.F("waited", c.waited))
	}
	if c.rank != overload.InTime || c.attempts > 1 || c.objectiveAt == 0 {
		return
	}
	if s.overload.FirstEvent(now, poolOf(c), now <= c.objectiveAt, c.waited) {
		out.Log(event.PressureChanged, event.F("service", c.service), event.F("model", c.req.Model), event.F("pressure", s.overload.Pressure(now, poolOf(c))))
	}
}

// Pressure returns the greatest share of the requests for any model that has to yield.
func (s *State) Pressure(now time.Duration) float64 { return s.overload.MaxPressure(now) }
