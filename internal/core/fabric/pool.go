// Package fabric forms, repairs and dissolves the groups of model engines that a gateway uses.
// A group is a set of hosts of one domain that together serve a model. It is formed in two
// steps: every member is ordered to join, and once all of them are ready the head (rank 0,
// which takes the group's requests) is ordered to open. One daemon at a time, the holder of
// the Lease, gives these orders through a Pool for each service.
//
// A formation goes through the stages forming, opening, serving and closing, and through
// headless if its head can't be reached any more. Then it is released: its members are free.
//
// The engines keep the state. Each registers its group, rank and phase, so a daemon that takes
// over control rebuilds the groups from the registered hosts. For a moment two daemons may
// give orders at the same time, and an order may be carried out long after it was sent. Three
// rules keep that safe:
//
//  1. Each order carries the number of orders that its engine is expected to have accepted so
//     far. Of several orders that expect the same number at most one takes effect, whenever
//     they arrive.
//  2. A head is opened only after every member was seen ready under the group's name, epoch and
//     member list. An epoch is never used for two lists.
//  3. Members go to another group only when their head can't serve any more: it was closed and
//     has left the group, by an order of this daemon that was answered; or its process has
//     restarted; or it has lacked a member for as long as an engine takes to notice that. A
//     member has left if it has answered an order to, or has restarted. Silence and missing
//     entries prove nothing: hosts that this daemon can't reach may still serve others.
//
// The package is pure: time, registered hosts, reports and answers come in, effects go out.
// Times are monotonic times since this daemon started.
package fabric

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quiet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// minMemberReportInterval is the shortest regular interval between two report requests to
	// a member of a group; memberReportInterval lengthens it for many members. It is short
	// because a lost member makes its whole group useless.
	minMemberReportInterval = 300 * time.Millisecond
	// spareReportInterval is the interval between two report requests to a host outside of
	// groups, unless memberReportInterval is longer.
	spareReportInterval = 2 * time.Second
	// maxPendingReports bounds the report requests without an answer, over all hosts. Further
	// requests wait: a small machine can't process more in addition to its callers' requests.
	maxPendingReports = 24
	// maxMemberReportsPerSecond bounds the rate of regular report requests to members of
	// groups, for the same reason. With more members each gets fewer requests.
	maxMemberReportsPerSecond = 150
	// minIntervalForSuspicions is the shortest memberReportInterval, computed for all hosts, at
	// which other daemons report suspicions to the lease holder. With a shorter one the lease
	// holder detects a loss about as soon by its own report requests.
	minIntervalForSuspicions = 600 * time.Millisecond
	// maxPendingOrders bounds the orders without an answer: each occupies a connection. No
	// order is sent above it.
	maxPendingOrders = 256
	// maxMissedReports is the number of consecutive misses after which a host is considered
	// unresponsive. A miss is a report request without an answer, an order that could not be
	// sent, or a report of another incarnation.
	maxMissedReports = 2
	// soundSilence is for how long a sound engine may answer nothing and go on. As long as its host accepts
	// connections, no group is broken up for less, nor its requests aborted.
	soundSilence = 2 * time.Second
	// sameBatchWindow is how far apart the report requests of one tick may be sent: a tick and
	// the time to carry out its effects.
	sameBatchWindow = 50 * time.Millisecond
	// noAnswerTimeout is how long no host at all may answer before this daemon's path to all of them
	// counts as cut. It also bounds how long a host without an entry may be silent.
	noAnswerTimeout = 1500 * time.Millisecond
	// partitionShare is the share of the hosts of a data centre, among those asked since a host
	// first missed a report, that must be silent for a network partition between here and there to
	// be assumed. Their groups are then kept, as the hosts are probably alive.
	partitionShare = 0.75
	// partitionMinHosts is the number of silent hosts of a data centre below which no partition is
	// assumed, whatever their share.
	partitionMinHosts = 4
	// ownCutShare is the same share of all hosts above which this daemon's own path is assumed to
	// be cut.
	ownCutShare = 0.5
	// ownCutTimeout is how long most hosts may be silent before another daemon had better order them.
	ownCutTimeout = 2 * time.Second
	// stallMargin is added to Settings.EngineStall as a safety margin: after both, the members
	// of a head that can't be reached and lacks a member may join another group.
	stallMargin = 700 * time.Millisecond
	// maxOrderDelay is how long after it was sent an unanswered order may still be carried
	// out. Published disturbances that delay orders last that long.
	maxOrderDelay = 12 * time.Second
	// closeTimeout is how long a head may finish its requests when its group is closed and all members are
	// alive. After that they are aborted. A member that drains stays for as long.
	closeTimeout = 10 * time.Second
	// orderRetryDelay is how long an accepted order to a head may have no visible effect
	// before it is sent again.
	orderRetryDelay = time.Second
	// loadTimeoutFactor times a model's expected load time, plus formationGrace, is the time
	// after which a formation is closed as failed, or a load onto a host outside of groups is
	// considered lost.
	loadTimeoutFactor = 3
	// formationGrace is the extra time that a formation gets for orders, and for entries in
	// the registry that lag behind.
	formationGrace = 3 * time.Second
	// reportLagMargin is added to Engine.ReportLag before a report is trusted to include an
	// earlier order.
	reportLagMargin = 100 * time.Millisecond
	// returnTimeout is how long the hosts of a group that nobody heard may take to answer, once the first of
	// them does, before the group is closed for those that don't.
	returnTimeout = 1500 * time.Millisecond
	// hiddenRetention is how long a group is remembered of which nothing is heard.
	hiddenRetention = 10 * time.Minute
	// leaveDelay is how long a free host may stay registered under a released formation before
	// it is ordered to leave it. Most hosts join another formation before that.
	leaveDelay = 2 * time.Second
	// loadWindow is the time over which loads that have begun count against
	// Engine.MaxLoadsPerSecond.
	loadWindow = 5 * time.Second
)

// Settings are limits that the platform guarantees for engines.
type Settings struct {
	// EngineStall is how long a head that has lost a member stays open, stalled, before it
	// becomes broken and stops taking requests.
	EngineStall time.Duration
}

// Pool orders the engines of one service while this daemon holds control. It is not safe for
// concurrent use.
type Pool struct {
	settings Settings
	// engine is the engines' published behaviour; nil until the configuration is known.
	engine *site.Engine
	// nextOp returns a new ID for an order.
	nextOp func() step.OpID

	// hosts are the registered hosts, and those that have gone but are still members of a
	// group, have a pending order or must not join yet; by ID. names are their IDs, sorted.
	hosts map[string]*host
	names []string
	// groups are the formations that have not been released.
	groups map[site.GroupID]*group
	// hidden holds the groups of which nothing is heard: they may serve others, and nothing can be ordered.
	hidden map[site.GroupID]hiddenGroup
	// released holds the formations that were released, and when. A host that is still
	// registered under one of them is free.
	released map[site.GroupID]time.Duration
	// pendingOrders are the orders without an answer.
	pendingOrders map[step.OpID]pendingOrder
	// loadStarts are the times at which this daemon began loads from the weight store, oldest
	// first.
	loadStarts []time.Duration
	// newestAnsweredSentAt is when the newest report request that has been answered was sent.
	newestAnsweredSentAt time.Duration
	// lastAnswerAt is when any host last answered a report request, or this daemon took
	// control.
	lastAnswerAt time.Duration
	// partitions are the data centres, or anywhere, to which the path is suspected to be cut, each with
	// the time from which answers speak against that.
	partitions map[string]time.Duration
	// totals are the counts over hosts and groups as of the last recount.
	totals totals
	demand demand
	tickAt time.Duration // of the last tick
	moves  moves

	// active is whether this daemon holds control.
	active bool
	// controlUntil is when control ends unless the lease is renewed.
	controlUntil time.Duration
	// lastEpoch is the epoch of the last formation, or the base of this daemon's term before
	// the first.
	lastEpoch uint64
	// initialDeployment is whether the deployment starts for the first time and no request has
	// come yet.
	initialDeployment bool
	// controlSince is when this daemon took control.
	controlSince time.Duration
	// lastNewHostAt is when an unknown host last registered.
	lastNewHostAt time.Duration
	// leaseOutdated is whether members of a headless group must not join another group, or loads wait, and the
	// lease does not yet name them.
	leaseOutdated bool
	// loadsBlockedUntil is when the loads that the previous lease holder may have begun stop
	// counting. Until then no load begins, except in an initial deployment.
	loadsBlockedUntil time.Duration
	// loadsWanted is whether loads wait, or have begun, since the lease was last written. Loads begin only
	// before loadsCoveredUntil: until then a daemon that takes over the lease in force leaves room for them.
	// loadsWrittenUntil is the same for the lease that was written last, accepted or not.
	loadsWanted                          bool
	loadsCoveredUntil, loadsWrittenUntil time.Duration
	// joinDelays are the times from which hosts that had no entry when this daemon took control may join a
	// group; see host.mayJoinAt.
	joinDelays map[string]time.Duration
	// predecessorUntil is when heads that an unknown holder may have taken members from must have stopped.
	predecessorUntil time.Duration
	// evacuated names the data centres that must get no work.
	evacuated map[string]bool
	// quiet has the hosts that asked for no requests; nil if none ever does.
	quiet *quiet.Periods
	// limits are those that hosts have named; nil if none ever does.
	limits *hostlimit.Limits
}

// host is what the pool knows about one engine's host.
type host struct {
	// entry is the host's last entry in the registry; listed is whether it is still there.
	entry  site.Host
	listed bool
	// orderCount is the number of orders that the engine has accepted, valid if
	// orderCountKnown. A report determines it only if it was requested at recountFrom or
	// later: an earlier one may not include the last order yet.
	orderCount      uint64
	orderCountKnown bool
	recountFrom     time.Duration
	// group is the formation that the host belongs to after orderCount orders; zero for none.
	group site.GroupID

	// reportPending is whether a report request has no answer yet; reportSentAt is when the
	// last one was sent, and reportDueAt when the next is due.
	reportPending bool
	reportSentAt  time.Duration
	reportDueAt   time.Duration
	// lastAnswerAt is when this incarnation last answered a report request. Before its first
	// answer, it is when the host registered or this daemon took control, whichever is later.
	lastAnswerAt time.Duration
	// hasAnswered is whether this incarnation has ever answered.
	hasAnswered bool
	// missedReports is the number of consecutive misses; see maxMissedReports. firstMissAt is when
	// the first of them was sent. Misses of requests sent before countMissesFrom don't count, since
	// this daemon's path was suspected until then. silent is whether the last request was missed,
	// counted or not.
	missedReports   int
	firstMissAt     time.Duration
	countMissesFrom time.Duration
	silent          bool
	// acceptsConnections is whether the host accepted a connection while it left the last request unanswered. One that
	// has lost its power or its links does not.
	acceptsConnections bool
	// lastMissAt is when the last request that was missed was sent, answeredSentAt when the last one
	// that was answered, and answeredBefore when the answered one before that.
	lastMissAt, answeredSentAt, answeredBefore time.Duration
	// reportUrgent asks for a report before all others.
	reportUrgent bool
	// lastReport is the last report of this incarnation; valid if hasAnswered.
	lastReport site.Report

	// pendingOp is the order without an answer; zero if none. A host gets one order at a time.
	pendingOp step.OpID
	// stagingModel is the model whose weights the host was ordered to load outside of a group,
	// at stagingSince; empty if none.
	stagingModel string
	stagingSince time.Duration
	// lastModel is the model of the host's last group in this incarnation, as far as it is known. It is
	// still in memory, and the host rejoins a group of it without loading weights.
	lastModel string
	// reservedFor is the model for which the host's last group was closed. Until reservedUntil no group of
	// another model gets it: a group of reservedFor may need the hosts of several that close one by one.
	reservedFor   string
	reservedUntil time.Duration
	// mayJoinAt is when the host may join a group again. Until then the unreachable head of its
	// last group may still serve with it.
	mayJoinAt time.Duration
	// unresponsiveLogged is whether a log line already reports that the host is unresponsive.
	unresponsiveLogged bool
}

// hasWeights reports whether the host can join a group of a model without loading its weights from the
// store: they are on its disk, or were those of its last group.
func (h *host) hasWeights(model string) bool {
	return h.lastModel == model || h.entry.StagedWith(model)
}

// mayServe reports whether the host is not reserved for another model.
func (h *host) mayServe(now time.Duration, model string) bool {
	return h.reservedFor == "" || h.reservedFor == model || now >= h.reservedUntil
}

// pendingOrder is an order without an answer.
type pendingOrder struct {
	host   string
	order  step.GroupOrder
	sentAt time.Duration
	// mayJoinAt is the host's without this order.
	mayJoinAt time.Duration
}

// New returns a pool without hosts. It calls next for the ID of each order.
func New(set Settings, next func() step.OpID) *Pool {
	return &Pool{
		settings: set, nextOp: next,
		hosts:         make(map[string]*host),
		groups:        make(map[site.GroupID]*group),
		hidden:        make(map[site.GroupID]hiddenGroup),
		released:      make(map[site.GroupID]time.Duration),
		pendingOrders: make(map[step.OpID]pendingOrder),
		partitions:    make(map[string]time.Duration),
		joinDelays:    make(map[string]time.Duration),
	}
}

// SetEngine sets the engines' published behaviour.
func (p *Pool) SetEngine(e *site.Engine) {
	p.engine = e
	for _, g := range p.groups {
		if g.moveTo != nil {
			g.moveTo = e.Model(g.moveTo.Name) // nil if it has been removed
		}
	}
}

// SetEngineStall sets how long a head that has lost a member stays open before it becomes broken.
func (p *Pool) SetEngineStall(stall time.Duration) { p.settings.EngineStall = stall }

// SetEvacuated sets the data centres that must get no work.
func (p *Pool) SetEvacuated(dataCentres map[string]bool) { p.evacuated = dataCentres }

// SetQuiet sets the periods in which hosts must get no report requests or orders.
func (p *Pool) SetQuiet(periods *quiet.Periods) { p.quiet = periods }

// SetLimits sets the limits that hosts have named.
func (p *Pool) SetLimits(l *hostlimit.Limits) { p.limits = l }

// isQuiet reports whether a host must get no report requests or orders now.
func (p *Pool) isQuiet(now time.Duration, name string) bool {
	return p.quiet.Left(now, name, p.hosts[name].entry.Incarnation) > 0
}

// SetHosts replaces the registered hosts of the service.
func (p *Pool) SetHosts(now time.Duration, entries []*site.Host) {
	lapsed := make(map[string]bool)
	for name, h := range p.hosts {
		if h.lapsed(now) {
			lapsed[name] = true
		}
		h.listed = false
	}
	for _, e := range entries {
		h := p.hosts[e.ID]
		if h == nil {
			h = &host{mayJoinAt: p.joinDelays[e.ID]}
			if e.Member.Phase == site.Absent {
				h.mayJoinAt = max(h.mayJoinAt, p.predecessorUntil)
			}
			p.hosts[e.ID] = h
			p.lastNewHostAt = now
		}
		if lapsed[e.ID] {
			h.orderCountKnown, h.recountFrom = false, now // it gets no order before it has reported again
		}
		if h.entry.Incarnation != e.Incarnation {
			*h = host{lastAnswerAt: now, mayJoinAt: h.mayJoinAt} // another incarnation
		}
		if h.entry.Model != e.Model || h.entry.Member.Group != e.Member.Group {
			p.recordModel(h, e)
		}
		h.entry, h.listed = *e, true
		if h.stagingModel != "" && e.StagedWith(h.stagingModel) {
			h.stagingModel = ""
		}
	}
	p.names = slices.Sorted(maps.Keys(p.hosts))
}

// recordModel records by a changed entry which model a host holds in memory. A host that joins a group names no
// model, and loses the last one if the group is of another.
func (p *Pool) recordModel(h *host, e *site.Host) {
	if e.Model != "" {
		h.lastModel = e.Model
		return
	}
	if g := p.groups[e.Member.Group]; e.Member.Phase == site.Joining && (g == nil || g.model.Name != h.lastModel) {
		h.lastModel = ""
	}
}

// Tick requests reports, advances each group and forms new ones, while this daemon holds
// control.
func (p *Pool) Tick(now time.Duration, out *step.Out) {
	if !p.active || p.engine == nil {
		return
	}
	p.tickAt = now
	p.recount(now)
	p.updatePartitions(now)
	p.requestReports(now, out)
	p.closeServingReleased(now, out)
	p.adoptGroups(now, out)
	p.updateDemand(now, out)
	for _, id := range p.groupIDs() {
		p.advance(now, p.groups[id], out)
	}
	p.recount(now)
	p.rebalance(now, out)
	p.formGroups(now, out)
	p.removeGoneHosts(now)
	p.forgetHidden(now)
}

func (p *Pool) groupIDs() []site.GroupID {
	return slices.SortedFunc(maps.Keys(p.groups), func(a, b site.GroupID) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch) - int(b.Epoch)
		}
		return len(a.Name) - len(b.Name)
	})
}

// sendOrder sends an order that expects the host's known order count. It returns false if
// another order to the host is pending, the count is not known, or too many orders are
// pending.
func (p *Pool) sendOrder(now time.Duration, name string, o step.GroupOrder, out *step.Out) bool {
	h := p.hosts[name]
	if h == nil || h.pendingOp != 0 || !h.orderCountKnown || p.isQuiet(now, name) || len(p.pendingOrders) >= maxPendingOrders {
		return false
	}
	o.ExpectedOrders = h.orderCount
	op := p.nextOp()
	h.pendingOp = op
	p.pendingOrders[op] = pendingOrder{host: name, order: o, sentAt: now, mayJoinAt: h.mayJoinAt}
	out.Add(step.SendGroupOrder{Op: op, Host: name, Address: h.entry.Address, Order: o, Until: p.controlUntil})
	return true
}

// OnOrderAnswered handles the answer to an order. It returns false if the order is not one of
// this pool's.
func (p *Pool) OnOrderAnswered(now time.Duration, a step.GroupOrderAnswered, out *step.Out) bool {
	op, ok := p.pendingOrders[a.Op]
	if !ok {
		return false
	}
	delete(p.pendingOrders, a.Op)
	out.Log(event.OrderAnswered, event.F("host", op.host), event.F("order", string(op.order.Kind)),
		event.F("group", op.order.Group.Name), event.F("epoch", op.order.Group.Epoch), event.F("model", op.order.Model),
		event.F("expects", op.order.ExpectedOrders), event.F("outcome", a.Outcome))
	h := p.hosts[op.host]
	if h == nil || h.pendingOp != a.Op {
		return true
	}
	h.pendingOp = 0
	if op.order.Kind == step.OrderJoin && op.order.Model != h.lastModel && !a.Outcome.Ineffective() {
		h.lastModel = ""
	}
	switch {
	case a.Outcome == step.OrderAccepted:
		h.orderCount++
		if op.order.Kind == step.OrderJoin {
			h.group = op.order.Group
		}
	case a.Outcome == step.OrderDone && op.order.Kind == step.OrderLeave && h.group == op.order.Group:
		// The host was a member at the count that the order expected, so it has left now.
		h.orderCount++
		h.group = site.GroupID{}
	case a.Outcome == step.OrderNotSent:
		h.countMiss(op.sentAt)
	case a.Outcome == step.OrderExpired:
	default:
		// Only a report that is late enough shows whether the engine counted the order.
		h.orderCountKnown = false
		h.recountFrom = now + p.engine.ReportLag + reportLagMargin
	}
	if op.order.Kind == step.OrderStage {
		if a.Outcome.Ineffective() {
			h.stagingModel = ""
		}
		return true
	}
	g := p.groups[op.order.Group]
	switch {
	case op.order.Kind == step.OrderLeave && a.Outcome.Ineffective():
		h.mayJoinAt = op.mayJoinAt
	case op.order.Kind == step.OrderLeave && a.Outcome == step.OrderDone && g != nil && g.rank(op.host) > 0:
		h.mayJoinAt = max(op.mayJoinAt, now+p.joinDelay(g))
	}
	if g != nil {
		g.onOrderAnswer(now, op, a.Outcome)
	}
	return true
}

// removeGoneHosts removes the hosts that are not registered, belong to no group, have no
// pending order and have no join delay.
func (p *Pool) removeGoneHosts(now time.Duration) {
	grouped := p.totals.groupOf
	changed := false
	for name, h := range p.hosts {
		if !h.listed && grouped[name] == nil && h.pendingOp == 0 && now >= h.mayJoinAt {
			delete(p.hosts, name)
			changed = true
		}
	}
	if changed {
		p.names = slices.Sorted(maps.Keys(p.hosts))
	}
}
