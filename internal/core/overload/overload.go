// Package overload decides which requests yield when a model's groups have too little room to begin all
// requests within their objective. It answers load of one to three times the capacity of a model, in
// bursts of seconds, at many daemons that each see a few requests a second.
//
// A request is in time or late. A late one is sent with the lowest priority: engines start it only when
// none that is in time waits, and daemons refuse it sooner. Each daemon learns from the first events of
// its own requests how much of the load must yield (the pressure). All daemons meet the same queues at
// the engines, so their pressures agree without messages.
//
// The package is pure: times are monotonic times since the daemon started.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pressureRise is what one late first event adds to a pool's pressure, and pressureFall what one in
	// time takes off. Between them they keep about one in ten of the requests in time late: fewer would
	// mean that capacity is left unused.
	pressureRise = 0.06
	pressureFall = 0.007
	// maxPressure leaves every kind and size of request a quarter of what it would get without pressure.
	maxPressure = 0.75
	// pressureFallPerSecond takes pressure off a pool that has no samples for sampleTimeout.
	pressureFallPerSecond = 0.03
	sampleTimeout         = time.Second
	// offeredHalfLife is the time in which the weight of a request in the offered load halves.
	offeredHalfLife = 2 * time.Second
	// minWorkFactor and maxWorkFactor bound by how much more or less often a request yields for its
	// work, so that large requests are served more than half as often as others.
	minWorkFactor, maxWorkFactor = 0.7, 1.4
	// workWeight is the weight of a request in the mean work of a pool.
	workWeight = 1.0 / 32
	// maxWorkSample is how many times the mean work one request may count as: callers announce any length of
	// an answer.
	maxWorkSample = 8
	// The time that callers of a route have at their first attempt is taken from the times that its last
	// fullTimeWindow requests stated, without those older than fullTimeMaxAge: it is the longest but for
	// fullTimeOutliers of them. At most half of the requests come back, but single callers state any time.
	fullTimeWindow   = 64
	fullTimeMaxAge   = 30 * time.Second
	fullTimeOutliers = 0.1
	// fullTimeSamples is the number of requests of a route from which on the times that they stated replace
	// the route's timeout. So many count at any age.
	fullTimeSamples = 8
	// returnedShare is the share of the full time at or below which a caller has come back.
	// Callers of one route don't all give the same time at first, but those that are refused wait for a
	// fifth of it at least (place.RetryAfter).
	returnedShare = 0.8
)

// Pool names the targets that serve a model of a service.
type Pool struct{ Service, Model string }

// Rank is how a request is treated while there is too little room.
type Rank uint8

// The ranks.
const (
	InTime Rank = iota // it can still begin within its objective
	Late               // it can't, or it yields to requests that cost callers more
)

// String returns the rank's name in logs and metrics.
func (r Rank) String() string { return [...]string{"in time", "late"}[r] }

// Request describes a request that is about to be sent for the first time.
type Request struct {
	Pool Pool
	// Priority is the rank of its team or route; 0 is the most urgent.
	Priority int
	// ObjectiveLeft is the time left until its first event is late. HasObjective is whether it has one.
	ObjectiveLeft time.Duration
	HasObjective  bool
	// Work is the time that it needs at an engine. Only its ratio to that of other requests counts.
	Work time.Duration
	// Spread is evenly distributed over requests.
	Spread uint64
}

// Controller is the state of one daemon. It is not safe for concurrent use.
type Controller struct {
	pools  map[Pool]*pool
	stated map[string]*statedTimes // by route
}

// New returns a controller that has seen no request.
func New() *Controller {
	return &Controller{pools: make(map[Pool]*pool), stated: make(map[string]*statedTimes)}
}

type pool struct {
	pressure  float64 // as of sampledAt
	sampledAt time.Duration
	kinds     []kind // by priority, the least urgent first
	meanWork  float64
	workKnown bool
	noticed   bool // the pressure was reported
}

// kind is the offered load of one priority.
type kind struct {
	priority int
	weight   float64 // of the requests, as of at
	at       time.Duration
}

func (k *kind) weightAt(now time.Duration) float64 {
	return k.weight * math.Exp2(-float64(now-k.at)/float64(offeredHalfLife))
}

// statedTimes are the times left that the last requests of a route stated.
type statedTimes struct {
	times [fullTimeWindow]statedTime // a ring
	n     int                        // requests so far
}

type statedTime struct{ left, at time.Duration }

func (s *statedTimes) add(t statedTime) {
	s.times[s.n%fullTimeWindow] = t
	s.n++
}

// full returns the time that callers have at their first attempt, or false if too few requests have come.
func (s *statedTimes) full(now time.Duration) (time.Duration, bool) {
	if s.n < fullTimeSamples {
		return 0, false
	}
	var recent [fullTimeWindow]time.Duration
	n := 0
	for ; n < min(s.n, fullTimeWindow); n++ {
		t := s.times[(s.n-1-n)%fullTimeWindow]
		if n >= fullTimeSamples && now-t.at > fullTimeMaxAge {
			break
		}
		recent[n] = t.left
	}
	slices.Sort(recent[:n])
	return recent[n-1-int(fullTimeOutliers*float64(n))], true
}

// Elapsed returns how long ago the first attempt of a request's caller was, judged by the time left that
// it states. It returns zero for a first attempt, and if no time is stated. timeout is the route's.
func (c *Controller) Elapsed(now time.Duration, route string, timeout, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	stated = min(stated, timeout)
	times := c.stated[route]
	if times == nil {
		times = &statedTimes{}
		c.stated[route] = times
	}
	full, known := times.full(now)
	times.add(statedTime{stated, now})
	if !known {
		full = timeout // after a restart, most of the first requests may be of callers that have come back
	}
	if float64(stated) > returnedShare*float64(full) {
		return 0
	}
	return full - stated
}

func (c *Controller) pool(name Pool) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{}
		c.pools[name] = p
	}
	return p
}

// Pressure is the share of a pool's requests that has to yield.
func (c *Controller) Pressure(now time.Duration, name Pool) float64 {
	if p := c.pools[name]; p != nil {
		return p.pressureAt(now)
	}
	return 0
}

// MaxPressure returns the greatest pressure of any pool.
func (c *Controller) MaxPressure(now time.Duration) float64 {
	most := 0.0
	for _, p := range c.pools {
		most = max(most, p.pressureAt(now))
	}
	return most
}

func (p *pool) pressureAt(now time.Duration) float64 {
	idle := max(0, now-p.sampledAt-sampleTimeout)
	return max(0, p.pressure-pressureFallPerSecond*idle.Seconds())
}

// Rank ranks a request and counts it as offered.
func (c *Controller) Rank(now time.Duration, r Request) Rank {
	p := c.pool(r.Pool)
	work := p.workFactor(r.Work)
	if r.HasObjective && r.ObjectiveLeft <= 0 {
		return Late
	}
	p.count(now, r.Priority)
	share := min(p.yieldShare(now, r.Priority)*work, maxPressure)
	if share > 0 && float64(r.Spread>>11)/(1<<53) < share {
		return Late
	}
	return InTime
}

// workFactor is by how much more or less often a request yields for its work.
func (p *pool) workFactor(work time.Duration) float64 {
	if work <= 0 {
		return 1
	}
	if !p.workKnown {
		p.meanWork, p.workKnown = float64(work), true
	}
	p.meanWork += workWeight * (min(float64(work), maxWorkSample*p.meanWork) - p.meanWork)
	return min(max(float64(work)/p.meanWork, minWorkFactor), maxWorkFactor)
}

func (p *pool) count(now time.Duration, priority int) {
	i, known := slices.BinarySearchFunc(p.kinds, priority, func(k kind, priority int) int { return cmp.Compare(priority, k.priority) })
	if !known {
		p.kinds = slices.Insert(p.kinds, i, kind{priority: priority})
	}
	k := &p.kinds[i]
	k.weight, k.at = k.weightAt(now)+1, now
}

// yieldShare is the share of the requests of a priority that yields. The pressure is spent on the least
// urgent requests first.
func (p *pool) yieldShare(now time.Duration, priority int) float64 {
	pressure := p.pressureAt(now)
	if pressure <= 0 {
		return 0
	}
	sum := 0.0
	for i := range p.kinds {
		sum += p.kinds[i].weightAt(now)
	}
	left := pressure * sum
	for i := range p.kinds {
		weight := p.kinds[i].weightAt(now)
		share := min(left/max(weight, math.SmallestNonzeroFloat64), maxPressure)
		if p.kinds[i].priority == priority {
			return share
		}
		left = max(0, left-share*weight)
	}
	return 0
}

// FirstEvent learns from the first event of a request that was sent as in time, at its first attempt.
// inTime is whether it came within the objective, and waited whether the head had no free slot or waiting
// requests: else the request is late for another reason, which no yielding mends. It reports whether the
// pool comes under pressure, or is no longer.
func (c *Controller) FirstEvent(now time.Duration, name Pool, inTime, waited bool) (changed bool) {
	p := c.pool(name)
	pressure := p.pressureAt(now)
	switch {
	case inTime:
		pressure = max(0, pressure-pressureFall)
	case waited:
		pressure = min(maxPressure, pressure+pressureRise)
	default:
		return false // no sample: the pressure keeps falling with time
	}
	p.pressure, p.sampledAt = pressure, now
	// A little pressure comes and goes with single late requests.
	before := p.noticed
	p.noticed = pressure >= 3*pressureRise || before && pressure > 0
	return before != p.noticed
}
