// Package place decides which target takes a request that a gateway forwards, and whether any
// should. It estimates the load of a target from the requests that this daemon has in flight
// there, the load that targets report with their answers, and the published step times of
// engines. It is made for a fleet whose groups are lost and repaired all day: a request that
// no group can take in time is refused at once, with a time after which a retry can succeed.
//
// A target that does not answer becomes suspect. Unless there is no other, it gets no requests
// for a backoff that doubles each time. A target in a domain with unreached hosts, or with
// recent failures, gets fewer. A cold target gets only its published rate of requests, over
// all daemons, and a target that names a limit no more than that.
package place

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quiet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

const (
	// maxWaitingAtEngine bounds the requests that wait at an engine for a slot. Slots become
	// free about once per event interval, so these requests still begin within two intervals.
	maxWaitingAtEngine = 2
	// maxBegunAtEngine is how many more may wait there that go on with a stream that has begun. Their
	// callers can't be refused, and new requests would else take each place as soon as it is free.
	maxBegunAtEngine = 2
	// plainRequestsPerSlot bounds the requests for each slot of a plain service. A request
	// that would wait behind that many is better sent to another target.
	plainRequestsPerSlot = 4
	// plainRequestTime is the assumed time of one request at a plain service. It only ranks
	// targets.
	plainRequestTime = 30 * time.Millisecond
	// failureHalfLife is the time in which the weight of a failure halves.
	failureHalfLife = 5 * time.Second
	// failureCost is what one recent failure adds to a target's estimated time.
	failureCost = 200 * time.Millisecond
	// unreachedHostCost is what each host of a domain that could not be reached adds to the
	// estimated times of the others there. A domain that has lost its power or network takes
	// all of its heads with it, and each attempt there costs the time of a dial.
	unreachedHostCost = 100 * time.Millisecond
	// unreachedHostMaxAge is how long that cost lasts after the last host could not be
	// reached, unless a host of the domain answers before.
	unreachedHostMaxAge = 2 * time.Second
	// remoteDataCentreCost is what a target in another data centre adds: the round trip and the
	// transfer of the bytes.
	remoteDataCentreCost = time.Millisecond
	// reportHalfLife is the time in which the weight of a report in the mean load of a pool halves. A
	// burst fills engines within a second.
	reportHalfLife = 700 * time.Millisecond
	// loadHalfLife is the time in which the weight of a load report halves, about the time of
	// a request. With many daemons each gets a report from a target only every few seconds,
	// and otherwise all of them would follow the same old report.
	loadHalfLife = time.Second
	// fullMaxAge is how long a target that reported that it is full gets no requests, about
	// the time of a mean request.
	fullMaxAge = time.Second
	// suspectBackoff is how long a target that did not answer gets no requests the first time.
	suspectBackoff = 500 * time.Millisecond
	// maxSuspectBackoff bounds that time, which doubles with each suspicion in a row.
	maxSuspectBackoff = 4 * time.Second
)

// Reason is why no target was chosen.
type Reason uint8

// The reasons.
const (
	Chosen  Reason = iota
	NoHost         // no target serves the model or service now
	Full           // all targets that serve it have as many requests as they may get
	TooLate        // it can't be answered before its deadline
	Quiet          // all targets that serve it have asked for no requests for a time
	Limited        // all targets that serve it can take only so many a second, and have got them
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"chosen", "no host", "full", "too late", "quiet", "limited"}[r]
}

// Request describes a request for which a target is to be chosen.
type Request struct {
	Service      string
	Model        string // empty for a plain service
	PromptTokens int
	// Spread is a number that is evenly distributed over requests: it breaks ties.
	Spread uint64
	// TimeLeft is the time until the caller gives up.
	TimeLeft time.Duration
	// AvoidHosts are hosts where the request has already failed.
	AvoidHosts []string
	// HandedOver is set if another daemon has handed the request over. It leaves the places in which
	// requests wait to this daemon's own callers.
	HandedOver bool
	// MaxWaiting is how many requests may wait at an engine for one more to be sent there; 0 stands for
	// maxWaitingAtEngine, and a negative value for none.
	MaxWaiting int
	// Begun is set if the request goes on with a stream of which its caller has a part.
	Begun bool
}

// Choice is the target of a request, or the reason why there is none.
type Choice struct {
	Target *Target
	Reason Reason
	// TimeToFirstEvent is the estimated time to the first event or the answer.
	TimeToFirstEvent time.Duration
	// ModelTime is the part of it that follows from the published step times.
	ModelTime time.Duration
	// StallAllowance is what to add to a timeout that was derived from ModelTime.
	StallAllowance time.Duration
	// RetryAfter is the time after which a retry can succeed, for NoHost, Full, Quiet and Limited.
	RetryAfter time.Duration
	probe      bool // see mayProbe
}

// poolKey names a pool: the targets that serve a model of a service. The model of a plain
// service is empty.
type poolKey struct{ service, model string }

// Table holds all targets and what this daemon knows about their load. It is not safe for
// concurrent use.
type Table struct {
	self              string                // this daemon
	dataCentre        string                // the data centre of this daemon
	targets           map[string]*Target    // by host ID
	pools             map[poolKey][]*Target // targets that may get requests
	daemons           []string              // known daemons, whether live or not
	unreachedByDomain map[string]*unreachedHosts
	coldRates         map[string]float64 // requests per second that a cold target can take, by service
	evacuated         map[string]bool    // data centres that get no requests
	quiet             *quiet.Periods     // hosts that asked for no requests; nil if none ever does
	// limits are those that hosts have named, as of limitsGeneration linked to the targets; nil if
	// none ever does.
	limits           *hostlimit.Limits
	limitsGeneration uint64
	learned          map[poolKey]*learned
}

// New returns an empty table of one daemon.
func New(self, dataCentre string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre, targets: make(map[string]*Target), pools: make(map[poolKey][]*Target),
		unreachedByDomain: make(map[string]*unreachedHosts), learned: make(map[poolKey]*learned),
	}
}

// unreachedHosts are the hosts of one domain that could not be reached since any host there
// last answered.
type unreachedHosts struct {
	ids   map[string]bool
	until time.Duration // the record expires
}

// recordUnreached records that a host could not be reached.
func (tbl *Table) recordUnreached(now time.Duration, h *site.Host) {
	if h.Domain == "" {
		return
	}
	d := tbl.unreachedByDomain[h.Domain]
	if d == nil || now >= d.until {
		d = &unreachedHosts{ids: make(map[string]bool)}
		tbl.unreachedByDomain[h.Domain] = d
	}
	d.ids[h.ID], d.until = true, now+unreachedHostMaxAge
}

// unreachedInDomain is the number of a domain's hosts that could not be reached since any host
// there last answered.
func (tbl *Table) unreachedInDomain(now time.Duration, domain string) int {
	if d := tbl.unreachedByDomain[domain]; d != nil && now < d.until {
		return len(d.ids)
	}
	return 0
}

// SetQuiet sets the periods in which hosts must get no requests.
func (tbl *Table) SetQuiet(periods *quiet.Periods) { tbl.quiet = periods }

// SetLimits sets the limits that hosts have named.
func (tbl *Table) SetLimits(l *hostlimit.Limits) { tbl.limits = l }

// linkLimits links targets to the limits that their hosts have named.
func (tbl *Table) linkLimits() {
	if tbl.limits == nil || tbl.limitsGeneration == tbl.limits.Generation() {
		return
	}
	tbl.limitsGeneration = tbl.limits.Generation()
	for id, t := range tbl.targets {
		t.limit = tbl.limits.Host(id, t.Host.Incarnation)
	}
}

// SetDaemons sets the daemons among which the rates of cold targets are divided.
func (tbl *Table) SetDaemons(names []string) { tbl.daemons = names }

// Daemons returns the number of known daemons; at least one, for this daemon.
func (tbl *Table) Daemons() int { return max(1, len(tbl.daemons)) }

// Update replaces the configuration and the hosts, which are sorted by ID. Hosts of evacuated
// data centres and of groups with a draining member get no requests.
func (tbl *Table) Update(now time.Duration, c *site.Config, hosts []*site.Host, evacuated map[string]bool) {
	leaving := make(map[site.GroupID]bool)
	for _, h := range hosts {
		if h.Draining && h.Member.Phase != site.Absent {
			leaving[h.Member.Group] = true
		}
	}
	tbl.limitsGeneration = 0 // links are made anew
	before := tbl.targets
	tbl.targets = make(map[string]*Target, len(hosts))
	tbl.pools = make(map[poolKey][]*Target)
	tbl.coldRates = make(map[string]float64)
	for name, s := range c.Services {
		tbl.coldRates[name] = s.ColdRequestsPerSecond
	}
	defer func() { tbl.evacuated = evacuated }()
	for _, h := range hosts {
		t := before[h.ID]
		if t == nil || t.Host.Incarnation != h.Incarnation {
			t = &Target{hash: rendezvous.Hash(h.ID), changedAt: now, coldUntil: now + h.ColdLeft}
		} else if t.Host.ColdLeft != h.ColdLeft {
			t.coldUntil = now + h.ColdLeft
		}
		if t.Host.Member != h.Member {
			t.clearSuspicion() // another group or phase: earlier faults no longer matter
			t.changedAt = now
		}
		t.Host = *h
		tbl.targets[h.ID] = t
		if s := c.Services[h.Service]; s != nil && tbl.evacuated[h.DataCentre] && !evacuated[h.DataCentre] {
			// Hosts without work may have cooled down, and their entries say so only later.
			t.coldUntil = max(t.coldUntil, now+s.ColdDuration)
		}
		if model, ok := serves(c.Services[h.Service], t); ok && !h.Draining && !evacuated[h.DataCentre] && !leaving[h.Member.Group] {
			key := poolKey{h.Service, model}
			tbl.pools[key] = append(tbl.pools[key], t)
		}
	}
}

// serves returns the model that a host serves now. It reports false if the host serves
// nothing.
func serves(s *site.Service, t *Target) (model string, ok bool) {
	t.engine, t.model = nil, nil
	if s == nil {
		return "", false
	}
	if s.Engine == nil {
		return "", true
	}
	m := s.Engine.Model(t.Host.Model)
	if m == nil || t.Host.Member.Rank != 0 || t.Host.Member.Phase != site.Open {
		return "", false
	}
	t.engine, t.model = s.Engine, m
	return m.Name, true
}

// Target returns a host's target, or nil.
func (tbl *Table) Target(host string) *Target { return tbl.targets[host] }

// ChangedSince reports whether a host's incarnation, group or phase has changed after a moment, so that
// earlier faults no longer matter.
func (tbl *Table) ChangedSince(host string, at time.Duration) bool {
	t := tbl.targets[host]
	return t != nil && t.changedAt > at
}

// Choose picks the target of a request that is about to be sent.
func (tbl *Table) Choose(now time.Duration, a Request) Choice {
	c := tbl.Peek(now, a)
	if t := c.Target; t != nil {
		if c.probe {
			tbl.learnedOf(poolKey{a.Service, a.Model}).probeAt = now + fullMaxAge
		}
		if rate, limited := tbl.ownRate(now, t, a.Service); limited {
			t.spacer.take(now, rate)
		}
		if t.limit != nil {
			t.limit.RecordSent(now)
		}
	}
	return c
}

// engineRequestShare is the share of an engine's limit that requests get; report requests get the rest.
const engineRequestShare = 1 - hostlimit.ReportShare

// ownRate returns the rate of requests per second that this daemon may send to a target, if that is
// limited: the least of what a cold target and one that names a limit can take.
func (tbl *Table) ownRate(now time.Duration, t *Target, service string) (perSecond float64, limited bool) {
	if now < t.coldUntil {
		perSecond, limited = ownColdRate(tbl.daemons, tbl.self, t.hash, tbl.coldRates[service]), true
	}
	if t.limit == nil {
		return perSecond, limited
	}
	part, named := tbl.limits.Part(now, t.limit, service)
	if !named {
		return perSecond, limited
	}
	if t.engine != nil {
		part *= engineRequestShare
	}
	if limited {
		part = min(part, perSecond)
	}
	return part, true
}

// Peek returns the target at which the request is expected to begin first, without counting the
// request. A suspect target is returned only if there is no other, and none is full.
func (tbl *Table) Peek(now time.Duration, a Request) Choice {
	pool := tbl.pools[poolKey{a.Service, a.Model}]
	if len(pool) == 0 {
		return refuse(false, false, 0, 0, a) // nothing is kept for models that only a caller names
	}
	var best, suspect, fullest *Target // fullest is the full one of which nothing was heard for longest
	var bestCost, suspectCost, shortestQuiet, shortestWait time.Duration
	full, limited, meanLoad := false, false, meanOthersLoad(pool)
	tbl.linkLimits()
	for _, t := range pool {
		t.meanOthersLoad = meanLoad
		if slices.Contains(a.AvoidHosts, t.Host.ID) {
			continue
		}
		if left := tbl.quiet.Left(now, t.Host.ID, t.Host.Incarnation); left > 0 {
			if shortestQuiet == 0 || left < shortestQuiet {
				shortestQuiet = left
			}
			continue
		}
		if rate, isLimited := tbl.ownRate(now, t, a.Service); isLimited && (rate <= 0 || now < t.spacer.nextAt) {
			full, limited = full || now < t.coldUntil, limited || now >= t.coldUntil
			if wait := t.spacer.nextAt - now; rate > 0 && (shortestWait == 0 || wait < shortestWait) {
				shortestWait = wait
			}
			continue
		}
		if t.estimatedLoad(now) >= t.capacityFor(a) {
			full = true
			if t.engine != nil && now >= t.suspectUntil && (fullest == nil || t.loadReceivedAt < fullest.loadReceivedAt) {
				fullest = t
			}
			continue
		}
		cost := tbl.cost(now, t, a)
		if now < t.suspectUntil {
			if suspect == nil || cost < suspectCost {
				suspect, suspectCost = t, cost
			}
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && rendezvous.Mix(t.hash^a.Spread) < rendezvous.Mix(best.hash^a.Spread) {
			best, bestCost = t, cost
		}
	}
	if best == nil && !full && !limited {
		best = suspect
	}
	probe := best == nil && fullest != nil && tbl.mayProbe(now, fullest, a)
	if probe {
		best = fullest
	}
	if best == nil {
		return refuse(full, limited, shortestQuiet, shortestWait, a)
	}
	l := tbl.learnedOf(poolKey{a.Service, a.Model})
	first, correction := best.ModelTime(now, a.PromptTokens), l.correctionNow(now)
	if first+correction > a.TimeLeft && !probe {
		if probe = tbl.mayProbe(now, best, a); !probe {
			return Choice{Reason: TooLate}
		}
	}
	return Choice{Target: best, ModelTime: first, TimeToFirstEvent: first + correction + l.recentWait(now), StallAllowance: l.stallAllowance(now), probe: probe}
}

// mayProbe reports whether a request may find out whether an engine, of which nothing was heard for
// fullMaxAge, has room by now although the estimate says otherwise. Without that a pool whose requests are all
// refused would get no newer reports. One request of a pool may do so in fullMaxAge.
func (tbl *Table) mayProbe(now time.Duration, t *Target, a Request) bool {
	return t.engine != nil && now >= tbl.learnedOf(poolKey{a.Service, a.Model}).probeAt && now-t.loadReceivedAt > fullMaxAge && t.idleTime(a.PromptTokens) <= a.TimeLeft
}

// cost is the estimated time by which Choose ranks a target.
func (tbl *Table) cost(now time.Duration, t *Target, a Request) time.Duration {
	cost := time.Duration(t.slowFactor(now)*float64(t.ModelTime(now, a.PromptTokens))) + t.coldConnectionCost(now) + time.Duration(t.recentFailureWeight(now)*float64(failureCost))
	if t.Host.DataCentre != tbl.dataCentre {
		cost += remoteDataCentreCost
	}
	return cost + time.Duration(tbl.unreachedInDomain(now, t.Host.Domain))*unreachedHostCost
}

// refuse returns the refusal of a request. shortestQuiet is the least time for which a target
// asked for no requests; zero if none did. shortestWait is the time until this daemon may send the next
// request to a target with a limit; zero if it may send none.
func refuse(full, limited bool, shortestQuiet, shortestWait time.Duration, a Request) Choice {
	switch {
	case full:
		return Choice{Reason: Full, RetryAfter: RetryAfter(a)}
	case limited:
		return Choice{Reason: Limited, RetryAfter: max(shortestWait, RetryAfter(a))}
	case shortestQuiet > 0:
		return Choice{Reason: Quiet, RetryAfter: shortestQuiet}
	}
	return Choice{Reason: NoHost, RetryAfter: RetryAfter(a)}
}

const (
	// minRetryAfterShare and maxRetryAfterShare are the shares of its remaining time after
	// which a refused caller should retry. That is late, since lost groups need seconds to be
	// repaired and an answer has the same value at any time before the deadline, but within
	// the third of its time that a caller is willing to wait.
	minRetryAfterShare = 0.2
	maxRetryAfterShare = 0.32
	// maxRetryAfter bounds that delay for callers with much time.
	maxRetryAfter = 3 * time.Second
)

// RetryAfter is the time after which the caller of a request that no target can take should retry. It
// spreads the retries of callers that are refused at the same moment.
func RetryAfter(a Request) time.Duration {
	part := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*float64(a.Spread%1024)/1024
	return min(time.Duration(part*float64(a.TimeLeft)), maxRetryAfter)
}

// StartRequest records a request that is being sent to a host.
func (tbl *Table) StartRequest(host string, prompt int) {
	if t := tbl.targets[host]; t != nil {
		t.inFlight++
		t.promptTokensAhead += prompt
		t.idleConnection = false
	}
}

// AnswerBegan records that a request has begun to be answered, and the load that the host
// reported.
func (tbl *Table) AnswerBegan(now time.Duration, host string, prompt int, load site.Load) {
	if t := tbl.targets[host]; t != nil {
		t.promptTokensAhead = max(0, t.promptTokensAhead-prompt)
		t.clearSuspicion()
		t.recordLoad(now, load)
		delete(tbl.unreachedByDomain, t.Host.Domain)
	}
}

func (t *Target) recordLoad(now time.Duration, load site.Load) {
	if load.Slots > 0 {
		t.othersLoad, t.loadReceivedAt, t.loadReported = max(0, load.Running+load.Waiting-t.inFlight), now, true
	}
}

// Outcome is how a request at a host ended.
type Outcome struct {
	PromptTokens int
	AnswerBegan  bool // AnswerBegan was called for the request
	// Failed is whether the host answered with a failure or broke off.
	Failed bool
	// Unreached is whether the host could not be reached.
	Unreached bool
	// Refused is whether the host refused to run the request. If it has free slots, it serves
	// something else by now.
	Refused bool
	Load    site.Load
}

// EndRequest records the end of a request at a host.
func (tbl *Table) EndRequest(now time.Duration, host string, o Outcome) {
	t := tbl.targets[host]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if !o.AnswerBegan {
		t.promptTokensAhead = max(0, t.promptTokensAhead-o.PromptTokens)
	}
	t.recordLoad(now, o.Load)
	t.idleConnection, t.idleSince = o.AnswerBegan && !o.Failed, now
	switch {
	case o.Unreached:
		tbl.recordUnreached(now, &t.Host)
	case o.Refused:
		delete(tbl.unreachedByDomain, t.Host.Domain)
	}
	if o.Failed {
		t.recordFailure(now)
	}
	if o.Unreached || o.Refused && t.estimatedLoad(now) < t.Host.Slots {
		t.suspect(now)
	}
}

// ForgetFailures forgets that hosts of a service could not be reached or failed: this daemon's path to
// all of them was cut.
func (tbl *Table) ForgetFailures(service string) {
	for _, t := range tbl.targets {
		if t.Host.Service == service {
			t.clearSuspicion()
			t.failureWeight = 0
			delete(tbl.unreachedByDomain, t.Host.Domain)
		}
	}
}

// Suspect marks a host that does not answer as suspect, unless it is already: it gets no
// requests for a while.
func (tbl *Table) Suspect(now time.Duration, host string) {
	if t := tbl.targets[host]; t != nil && now >= t.suspectUntil {
		t.suspect(now)
	}
}
