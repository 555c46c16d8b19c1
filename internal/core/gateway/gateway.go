// Package gateway is the reducer of a daemon that fronts a deployment it does not own:
// it passes on callers' requests as they came, by the routes of a configuration, to
// registered hosts, and forms the groups of engines that serve models. Events in, effects
// out; it has no clock, randomness, goroutine or I/O of its own.
package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fabric"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/place"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/retry"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// Settings are what the reducer needs to know of its daemon.
type Settings struct {
	Daemon     string
	Run        string // of this process
	DataCentre string
	Cores      float64 // of the processor that this daemon may use
	Bounds     step.Bounds
}

// returnFor is how long after the return of the store a host that is missing from it
// still counts, since it may have lapsed while the store was away.
const returnFor = 2 * time.Second

// State is everything that one daemon knows. It is not safe for concurrent use.
type State struct {
	set Settings
	ops step.OpID

	config *site.Config
	hosts  map[string]*site.Host
	listed bool // the hosts are known
	// missing are hosts that the store did not list on its return, with the time until
	// which they count.
	missing map[string]time.Duration
	// told is when this daemon last told of an engine that brought nothing.
	told map[string]time.Duration
	// daemonAt is where other daemons take calls, by name.
	daemonAt  map[string]string
	out       map[string]bool // data centres that get no work
	reachable bool
	// outage tells that the store was away once, backAt when it last came back.
	outage bool
	backAt time.Duration

	book    *place.Book
	budget  *retry.Window
	daemons int // that the budget is dealt over
	calls   map[step.RequestID]*call
	lease   *fabric.Lease
	pools   map[string]*fabric.Pool
	control bool // as the pools were last told
	// passedAt is when the groups were last looked at.
	passedAt time.Duration
	called   bool // a request has come
	life     life
}

// New returns the state of a daemon that has heard nothing yet.
func New(set Settings) *State {
	s := &State{
		set:     set,
		hosts:   make(map[string]*site.Host),
		missing: make(map[string]time.Duration),
		told:    make(map[string]time.Duration),
		out:     make(map[string]bool),
		book:    place.New(set.Daemon, set.DataCentre),
		calls:   make(map[step.RequestID]*call),
		pools:   make(map[string]*fabric.Pool),
		budget:  retry.NewWindow(0),
	}
	s.lease = fabric.NewLease(set.Daemon, set.Run, set.Cores, s.nextOp)
	s.dealBudget(0, 1)
	return s
}

func (s *State) nextOp() step.OpID {
	s.ops++
	return s.ops
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *site.Config { return s.config }

// Orders reports whether this daemon orders the groups.
func (s *State) Orders() bool { return s.control }

// Reduce takes one event and returns what is to be done about it, in order.
func (s *State) Reduce(now step.Time, ev step.Event) []step.Effect {
	out := &step.Out{}
	switch e := ev.(type) {
	case step.Tick:
		s.tick(now.Mono, out)
	case step.Call:
		s.onCall(now.Mono, e, out)
	case step.AnswerBegan:
		s.onBegan(now.Mono, e)
	case step.AnswerQuiet:
		s.onQuiet(now.Mono, e, out)
	case step.ForwardEnded:
		s.onEnded(now.Mono, e, out)
	case step.CallerGone:
		s.onGone(e.ID, out)
	case step.Bounds:
		s.set.Bounds = e
		s.daemons = 0
		s.dealBudget(now.Mono, s.book.Daemons())
		for _, p := range s.pools {
			p.SetStall(e.Stall)
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
	case step.HostSuspected:
		s.onSuspected(e)
	case step.ReportRead:
		for _, p := range s.pools {
			p.OnReport(now.Mono, e, out)
		}
	case step.GroupOrderAnswered:
		s.onOrder(now.Mono, e, out)
	case step.LeaseAnswered:
		s.onLease(now.Mono, e, out)
	case step.Stop:
		s.stop(now.Mono, out)
	}
	s.life.advance(s, now.Mono, out)
	return out.Effects
}

func (s *State) tick(now time.Duration, out *step.Out) {
	for id, until := range s.missing {
		if now >= until {
			delete(s.missing, id)
			delete(s.hosts, id)
			out.Log(event.HostGone, event.F("host", id), event.F("reason", "not back after the return of the store"))
			s.update(now)
		}
	}
	s.controlTick(now, out)
}

func (s *State) onDaemons(now time.Duration, e step.SiteDaemons) {
	names := make([]string, 0, len(e.Daemons))
	s.daemonAt = make(map[string]string, len(e.Daemons))
	for _, d := range e.Daemons {
		names = append(names, d.Daemon)
		s.daemonAt[d.Daemon] = d.Address
	}
	s.book.SetDaemons(names)
	s.dealBudget(now, s.book.Daemons())
}

func (s *State) onConfig(now time.Duration, e step.SiteConfig, out *step.Out) {
	if s.config != nil && e.Config.Version < s.config.Version {
		out.Log(event.ConfigRefused, event.F("version", e.Config.Version), event.F("inForce", s.config.Version))
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
			s.pools[name] = fabric.New(fabric.Settings{Stall: s.set.Bounds.Stall}, s.nextOp)
		}
		s.pools[name].SetEngine(service.Engine)
	}
	s.update(now)
}

func (s *State) onHosts(now time.Duration, e step.SiteHosts, out *step.Out) {
	present := make(map[string]bool, len(e.Hosts))
	for i := range e.Hosts {
		h := e.Hosts[i]
		present[h.ID] = true
		delete(s.missing, h.ID)
		s.noteHost(s.hosts[h.ID], &h, out)
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
		if s.outage && now < s.backAt+returnFor {
			s.missing[id] = s.backAt + returnFor
			continue
		}
		delete(s.hosts, id)
		delete(s.missing, id)
		delete(s.told, id)
		out.Log(event.HostGone, event.F("host", id), event.F("reason", "its entry is gone"))
	}
	s.listed = s.listed || e.Full
	s.update(now)
	s.controlTick(now, out)
}

func (s *State) noteHost(old, h *site.Host, out *step.Out) {
	switch {
	case old == nil:
		out.Log(event.HostListed, event.F("host", h.ID), event.F("service", h.Service), event.F("address", h.Address), event.F("domain", h.Domain), event.F("born", h.Born))
	case old.Born != h.Born:
		out.Log(event.HostRestarted, event.F("host", h.ID), event.F("born", h.Born))
	case h.Draining && !old.Draining:
		out.Log(event.HostDraining, event.F("host", h.ID))
	}
}

func (s *State) onEvacuated(now time.Duration, e step.SiteEvacuated, out *step.Out) {
	next := make(map[string]bool, len(e.DataCentres))
	for _, name := range e.DataCentres {
		next[name] = true
	}
	if maps.Equal(next, s.out) {
		return
	}
	out.Log(event.DataCentresOut, event.F("dataCentres", e.DataCentres))
	s.out = next
	s.update(now)
}

func (s *State) onPlatform(now time.Duration, e step.PlatformState, out *step.Out) {
	if e.Reachable == s.reachable {
		return
	}
	s.reachable = e.Reachable
	if e.Reachable {
		s.backAt = now
		out.Log(event.PlatformBack)
		return
	}
	s.outage = true
	out.Log(event.PlatformLost)
}

// update hands the hosts and the configuration to the parts that follow them.
func (s *State) update(now time.Duration) {
	if s.config == nil {
		return
	}
	hosts := make([]*site.Host, 0, len(s.hosts))
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		hosts = append(hosts, s.hosts[id])
	}
	s.book.Update(now, s.config, hosts, s.out)
	for name, p := range s.pools {
		p.SetEvacuated(s.out)
		p.SetHosts(now, slices.DeleteFunc(slices.Clone(hosts), func(h *site.Host) bool { return h.Service != name }))
	}
}

// dealBudget gives this daemon its part of the slack that all daemons share.
func (s *State) dealBudget(now time.Duration, daemons int) {
	if daemons == s.daemons {
		return
	}
	s.daemons = daemons
	s.budget.Set(now, retry.WindowSettings{
		Share: s.set.Bounds.RetryShare * budgetPart, Slack: s.set.Bounds.RetrySlack * budgetPart / float64(daemons),
		Length: s.set.Bounds.RetryWindow, Attempts: maxSends,
	})
}
