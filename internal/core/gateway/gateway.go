// Package gateway is the reducer of a daemon that fronts a deployment it does not own. It
// forwards callers' requests unchanged to registered hosts, by the routes of a configuration,
// and forms the groups of engines that serve models while this daemon holds the lease. Events
// come in and effects go out. The package has no clock, randomness, goroutine or I/O.
//
// A request that must not run twice is sent again only if its last attempt surely did not run.
// Other requests are retried, or moved from a stalled target. Retries stay within the budget
// that all daemons share; an attempt that reached no target does not count.
package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fabric"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/handover"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/overload"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quiet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/reach"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/retry"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// Settings describe the daemon to the reducer.
type Settings struct {
	Daemon      string               // this daemon's name
	Incarnation string               // identifies this run of the process
	DataCentre  string               // the data centre in which it runs
	Cores       float64              // processor cores that this daemon may use
	Limits      step.GatewaySettings // replaced by each step.GatewaySettings event
}

// learnTime bounds the time until the other daemons know of one that has started.
const learnTime = 2 * time.Second

// missingHostGrace is how long after the store has come back a host that is missing from it
// still counts. Its entry may have expired while the store was down.
const missingHostGrace = 2 * time.Second

// State is the state of one daemon. It is not safe for concurrent use.
type State struct {
	settings Settings
	lastOp   step.OpID // the last operation ID given out

	config     *site.Config          // the configuration in force; nil if none is known
	hosts      map[string]*site.Host // the registered hosts, and the missing ones, by ID
	hostsKnown bool                  // a complete list of hosts has come
	// missing are hosts that the store did not list when it came back, each with the time
	// until which it still counts.
	missing map[string]time.Duration
	// suspicionSentAt is when this daemon last reported a suspicion about an engine, by host.
	suspicionSentAt map[string]time.Duration
	// daemonAddresses are the addresses at which other daemons take calls, by name.
	daemonAddresses map[string]string
	daemonHashes    []uint64        // of their names
	evacuated       map[string]bool // data centres that must get no work
	storeReachable  bool            // as last reported
	// hadOutage is whether the store was ever unreachable after it had been reached;
	// storeBackAt is when it last became reachable.
	hadOutage   bool
	storeBackAt time.Duration
	// era is the store's era, valid if eraKnown. storeRestored is whether the store has come
	// back from an older copy since this daemon started; see entries.
	era                     uint64
	eraKnown, storeRestored bool
	entries                 entryHistory
	// evacuatedInStore is evacuated as the store has it. retainedEvacuations are further data
	// centres whose evacuation the store may have lost, each with the time until which it counts.
	evacuatedInStore    map[string]bool
	retainedEvacuations map[string]time.Duration
	// daemonNames are the daemons ever listed, since the store may lose entries of some that
	// still run.
	daemonNames map[string]bool
	quiet       quiet.Periods // hosts that asked for no requests
	limits      *hostlimit.Limits
	// invalidLimits are the incarnations of hosts that named a limit that can't be read, by host.
	invalidLimits map[string]int64
	interrupted   int          // streams that wait for a target
	paths         *reach.Paths // to the hosts of each service
	peers         *handover.Peers
	// handedVersion is the newest version of the configuration of the daemons that took requests.
	handedVersion int64
	// stalled are the last stalls of attempts that wait for the path to their targets to be known.
	stalled   map[step.RequestID]step.AnswerStalled
	takenOver int // requests in progress that other daemons have handed over

	crashes  crashWatch // requests that crash hosts
	verdicts verdictStore

	targets  *place.Table         // the targets and their load
	overload *overload.Controller // which requests yield
	// nextWrongEstimateLog is when the next wrong estimate may be logged.
	nextWrongEstimateLog time.Duration
	budget               *retry.Windows           // this daemon's part of the retry budgets of services
	budgetDaemons        int                      // daemons over which the retry budgets are divided
	calls                map[step.RequestID]*call // requests in progress
	lease                *fabric.Lease            // this daemon's part in the election of the lease holder
	pools                map[string]*fabric.Pool  // by service, for services with engines
	holdsControl         bool                     // whether the pools have control
	// lastPassAt is when the pools last had a tick.
	lastPassAt  time.Duration
	requestSeen bool // a request has come
	// initialDeployment is whether this daemon took control of a deployment that starts for the
	// first time.
	initialDeployment bool
	lifecycle         lifecycle
}

// New returns the state of a daemon that has received no event yet.
func New(set Settings) *State {
	s := &State{
		settings:        set,
		hosts:           make(map[string]*site.Host),
		missing:         make(map[string]time.Duration),
		suspicionSentAt: make(map[string]time.Duration),
		evacuated:       make(map[string]bool),
		entries:         newEntryHistory(),
		daemonNames:     make(map[string]bool),
		targets:         place.New(set.Daemon, set.DataCentre),
		overload:        overload.New(),
		calls:           make(map[step.RequestID]*call),
		pools:           make(map[string]*fabric.Pool),
		limits:          hostlimit.New(set.Daemon),
		invalidLimits:   make(map[string]int64),
		budget:          retry.NewWindows(0),
		paths:           reach.New(set.Daemon),
		stalled:         make(map[step.RequestID]step.AnswerStalled),
		peers:           handover.New(set.DataCentre),
	}
	s.crashes, s.verdicts = newCrashWatch(s.rankFor), newVerdictStore()
	s.retainedEvacuations = make(map[string]time.Duration)
	s.targets.SetQuiet(&s.quiet)
	s.targets.SetLimits(s.limits)
	s.lease = fabric.NewLease(set.Daemon, set.Incarnation, set.Cores, s.nextOp)
	s.setBudget(0)
	return s
}

func (s *State) nextOp() step.OpID {
	s.lastOp++
	return s.lastOp
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *site.Config { return s.config }

// ModelStats returns the statistics of the models of all services with engines, in the order of the
// services' names. It is empty while this daemon does not hold the lease.
func (s *State) ModelStats() []fabric.ModelStats {
	var stats []fabric.ModelStats
	if s.holdsControl {
		for _, name := range slices.Sorted(maps.Keys(s.pools)) {
			stats = append(stats, s.pools[name].ModelStats()...)
		}
	}
	return stats
}

// HoldsControl reports whether this daemon holds the lease and orders the groups.
func (s *State) HoldsControl() bool { return s.holdsControl }

// Reduce handles one event and returns the effects to carry out, in order.
func (s *State) Reduce(now step.Time, ev step.Event) []step.Effect {
	out := &step.Out{}
	switch e := ev.(type) {
	case step.Tick:
		s.tick(now.Mono, out)
	case step.Call:
		s.onCall(now.Mono, e, out)
	case step.AnswerBegan:
		s.onBegan(now.Mono, e, out)
	case step.StreamStarted:
		s.onStreamStarted(now.Mono, e, out)
	case step.StreamResumed:
		s.onResumed(now.Mono, e, out)
	case step.AnswerStalled:
		s.onStalled(now.Mono, e, out)
	case step.ForwardEnded:
		s.onEnded(now.Mono, e, out)
	case step.CallerGone:
		s.onGone(e.ID, out)
	case step.GatewaySettings:
		s.settings.Limits = e
		s.setBudget(now.Mono)
		for _, p := range s.pools {
			p.SetEngineStall(e.EngineStall)
		}
	case step.SiteConfig:
		s.onConfig(now.Mono, e, out)
	case step.SiteHosts:
		s.onHosts(now.Mono, e, out)
	case step.SiteEvacuated:
		s.onEvacuated(now.Mono, e, out)
	case step.SiteDaemons:
		s.onDaemons(now.Mono, e)
	case step.PlatformState:
		s.onPlatform(now.Mono, e, out)
	case step.StoreEra:
		s.onStoreEra(now.Mono, e, out)
	case step.HostNotice:
		s.onNotice(now.Mono, e, out)
	case step.HostSuspected:
		s.onSuspected(e)
	case step.HostProbed:
		s.onHostProbed(now.Mono, e, out)
	case step.EvidenceReceived:
		s.onEvidence(now.Mono, e.Evidence, out)
	case step.LimitsReceived:
		s.onLimits(now.Mono, e.Message, out)
	case step.SiteVerdicts:
		s.onVerdicts(now.Mono, e, out)
	case step.VerdictAnswered:
		s.onVerdictAnswered(e)
	case step.ReportAnswered:
		s.recordReportedLimit(now.Mono, e, out)
		for _, p := range s.pools {
			p.OnReport(now.Mono, e, out)
		}
	case step.GroupOrderAnswered:
		s.onOrder(now.Mono, e, out)
	case step.LeaseAnswered:
		s.onLease(now.Mono, e, out)
	case step.Stop:
		s.stop(now.Mono, cmp.Or(e.Since, now.Mono), out)
	case step.ConnectionsClosed:
		s.lifecycle.connectionsClosed = true
	}
	s.lifecycle.advance(s, now.Mono, out)
	return out.Effects
}

func (s *State) tick(now time.Duration, out *step.Out) {
	for id, until := range s.missing {
		if now >= until {
			delete(s.missing, id)
			s.removeHost(now, id, true)
			out.Log(event.HostDeregistered, event.F("host", id), event.F("reason", "not back after the return of the store"))
			s.updateParts(now)
		}
	}
	s.entries.prune(now, s.hosts)
	s.expireRetainedEvacuations(now, out)
	s.pathTick(now, out)
	s.crashTick(now, out)
	s.verdictTick(now, out)
	s.limitTick(now, out)
	s.controlTick(now, out)
	s.resumeInterrupted(now, out)
}

// onDaemons adds daemons to those among which shared limits are divided. None is ever removed:
// one that is missing may still run, and without its part the parts would add up to more than
// the limit.
func (s *State) onDaemons(now time.Duration, e step.SiteDaemons) {
	s.daemonAddresses = make(map[string]string, len(e.Daemons))
	s.daemonHashes = s.daemonHashes[:0]
	var others []handover.Daemon
	for _, d := range e.Daemons {
		s.daemonHashes = append(s.daemonHashes, rendezvous.Hash(d.Daemon))
		s.daemonNames[d.Daemon] = true
		s.daemonAddresses[d.Daemon] = d.Address
		if d.Daemon != s.settings.Daemon {
			others = append(others, handover.Daemon{Name: d.Daemon, DataCentre: d.DataCentre, Address: d.Address})
		}
	}
	s.peers.Set(others)
	names := slices.Sorted(maps.Keys(s.daemonNames))
	s.targets.SetDaemons(names)
	s.limits.SetDaemons(names)
	s.setBudget(now)
}

func (s *State) onConfig(now time.Duration, e step.SiteConfig, out *step.Out) {
	if s.config != nil && e.Config.Version < s.config.Version {
		out.Log(event.ConfigOlder, event.F("version", e.Config.Version), event.F("inForce", s.config.Version))
		return
	}
	if s.config == nil || e.Config.Version != s.config.Version {
		out.Log(event.ConfigApplied, event.F("version", e.Config.Version), event.F("revision", e.Revision), event.F("routes", len(e.Config.Routes)))
	}
	s.config = e.Config
	for name, service := range s.config.Services {
		if service.Engine == nil {
			continue
		}
		if s.pools[name] == nil {
			s.pools[name] = fabric.New(fabric.Settings{EngineStall: s.settings.Limits.EngineStall}, s.nextOp)
			s.pools[name].SetQuiet(&s.quiet)
			s.pools[name].SetLimits(s.limits)
		}
		s.pools[name].SetEngine(service.Engine)
	}
	s.updateParts(now)
}

func (s *State) onHosts(now time.Duration, e step.SiteHosts, out *step.Out) {
	present := make(map[string]bool, len(e.Hosts))
	for i := range e.Hosts {
		h := e.Hosts[i]
		if s.storeRestored && s.entries.outdated(s.hosts[h.ID], &h) {
			out.Log(event.HostEntryOutdated, event.F("host", h.ID), event.F("born", h.Incarnation), event.F("writes", h.Writes))
			present[h.ID] = s.hosts[h.ID] != nil
			continue
		}
		present[h.ID] = true
		delete(s.missing, h.ID)
		s.logHostChange(s.hosts[h.ID], &h, out)
		h.Draining = h.Draining || s.entries.isLeaving(&h)
		s.hosts[h.ID] = &h
	}
	gone := e.Gone
	if e.Full {
		for id := range s.hosts {
			if !present[id] {
				gone = append(gone, id)
			}
		}
		slices.Sort(gone)
	}
	for _, id := range gone {
		if _, known := s.hosts[id]; !known {
			continue
		}
		if s.hadOutage && now < s.storeBackAt+missingHostGrace {
			s.missing[id] = s.storeBackAt + missingHostGrace
			continue
		}
		s.removeHost(now, id, false)
		out.Log(event.HostDeregistered, event.F("host", id), event.F("reason", "its entry is gone"))
	}
	s.hostsKnown = s.hostsKnown || e.Full
	s.updateParts(now)
	s.confirmCrashes(now, out)
	s.controlTick(now, out)
}

func (s *State) logHostChange(old, h *site.Host, out *step.Out) {
	switch {
	case old == nil:
		out.Log(event.HostRegistered, event.F("host", h.ID), event.F("service", h.Service), event.F("address", h.Address), event.F("domain", h.Domain), event.F("born", h.Incarnation))
	case old.Incarnation != h.Incarnation:
		out.Log(event.HostRestarted, event.F("host", h.ID), event.F("born", h.Incarnation))
	case h.Draining && !old.Draining:
		out.Log(event.HostDraining, event.F("host", h.ID))
	}
}

// removeHost forgets a host whose entry is gone, except for what would show an older entry of
// it as outdated. lost is set if the store may only have lost the entry.
func (s *State) removeHost(now time.Duration, id string, lost bool) {
	s.entries.recordGone(now, s.hosts[id], lost)
	delete(s.hosts, id)
	delete(s.missing, id)
	delete(s.suspicionSentAt, id)
	delete(s.invalidLimits, id)
}

func (s *State) onPlatform(now time.Duration, e step.PlatformState, out *step.Out) {
	if e.Reachable == s.storeReachable {
		return
	}
	s.storeReachable = e.Reachable
	if e.Reachable {
		s.storeBackAt = now
		out.Log(event.PlatformReachable)
		return
	}
	s.hadOutage = true
	out.Log(event.PlatformUnreachable)
}

// updateParts passes the hosts and the configuration to the table of targets and to the pools.
func (s *State) updateParts(now time.Duration) {
	if s.config == nil {
		return
	}
	hosts := make([]*site.Host, 0, len(s.hosts))
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		hosts = append(hosts, s.hosts[id])
	}
	s.targets.Update(now, s.config, hosts, s.evacuated)
	s.updatePaths(hosts)
	for name, p := range s.pools {
		p.SetEvacuated(s.evacuated)
		p.SetHosts(now, slices.DeleteFunc(slices.Clone(hosts), func(h *site.Host) bool { return h.Service != name }))
	}
}

// setBudget sets this daemon's part of the slack that all daemons share. It has none before it knows of the others.
func (s *State) setBudget(now time.Duration) {
	names := slices.Sorted(maps.Keys(s.daemonNames))
	s.budgetDaemons = len(names)
	slack := func(service string) float64 {
		if len(names) == 0 {
			return 0
		}
		return retry.Part(s.settings.Limits.RetrySlack*budgetShare, names, s.settings.Daemon, service)
	}
	s.budget.SetEach(now, retry.WindowSettings{
		Share: s.settings.Limits.RetryShare * budgetShare, Length: s.settings.Limits.RetryWindow, LearnTime: learnTime, MaxAttempts: maxAttempts,
	}, slack)
}
