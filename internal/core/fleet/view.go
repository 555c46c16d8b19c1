package fleet

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// View is what one daemon knows of the targets. It is not safe for concurrent use.
type View struct {
	self    string
	config  Config
	members Members
	dealer  Dealer

	hosts     map[string]*Host
	hostNames []string // sorted
	domains   map[string][]string
	targets   map[string]*Target
	names     []string // of the targets, sorted
	models    map[string]*pool
	services  map[string]*pool
	held      map[string]bool  // domains that this daemon controls
	clocks    map[string]clock // by peer
	live      []string         // as of the last tick
}

// New returns a view that knows no target.
func New(self string, config Config, members Members) *View {
	return &View{
		self:     self,
		config:   config,
		members:  members,
		hosts:    make(map[string]*Host),
		domains:  make(map[string][]string),
		targets:  make(map[string]*Target),
		models:   make(map[string]*pool),
		services: make(map[string]*pool),
		held:     make(map[string]bool),
		clocks:   make(map[string]clock),
	}
}

// Candidates returns the targets of a model, or of a plain service if model is
// empty, that may be routed to now, with free slots or not, sorted by name. The
// slice is the view's own: it must not be changed or kept beyond the step.
func (v *View) Candidates(now step.Time, model, service string) []*Target {
	p := v.models[model]
	if model == "" {
		p = v.services[service]
	}
	if p == nil {
		return nil
	}
	p.expire(now.Mono)
	return p.targets
}

// Target returns a target by name, routable or not.
func (v *View) Target(name string) (*Target, bool) {
	t, ok := v.targets[name]
	return t, ok
}

// Routable reports whether the target may be routed to at now.
func (v *View) Routable(now step.Time, name string) bool {
	t, ok := v.targets[name]
	return ok && t.routable && t.freshUntil >= now.Mono
}

// Host returns what is known of a host.
func (v *View) Host(name string) (*Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// HostsOf returns the names of a fabric domain's hosts, sorted. The slice must not
// be changed.
func (v *View) HostsOf(domain string) []string { return v.domains[domain] }

// Domains returns the names of the fabric domains that have hosts, sorted.
func (v *View) Domains() []string { return sortedKeys(v.domains) }

// Begin counts a request sent to a target, with the tokens that it is estimated to need.
func (v *View) Begin(now step.Time, name string, tokens int64) {
	t, ok := v.targets[name]
	if !ok {
		return
	}
	t.InFlight++
	t.Tokens += tokens
}

// End takes back what Begin counted and learns from how the attempt ended.
// Incarnation is the one that answered, empty if none did.
func (v *View) End(now step.Time, name string, tokens int64, ending step.Ending, incarnation string) {
	t, ok := v.targets[name]
	if !ok {
		return
	}
	t.InFlight = max(0, t.InFlight-1)
	t.Tokens = max(0, t.Tokens-tokens)
	v.learn(now, t, ending, incarnation)
	if !t.wanted && t.InFlight == 0 {
		v.forget(t)
	}
}

// learn counts whole answers and looks whether another run than the known one answered.
func (v *View) learn(now step.Time, t *Target, ending step.Ending, incarnation string) {
	if len(t.members) == 0 {
		return
	}
	if incarnation != "" {
		v.answeredBy(now, t, incarnation)
	}
	if ending == step.EndedWhole && t.routable {
		t.warmth.Answered()
		if t.rising {
			v.limit(now, t)
		}
	}
}

// answeredBy takes up the incarnation that answered. A new one means that the target
// was started anew without notice: a group is out of routing until its members'
// reports say otherwise, a plain service is cold.
func (v *View) answeredBy(now step.Time, t *Target, incarnation string) {
	h := t.members[0]
	switch {
	case !h.Service && incarnation != h.Report.Incarnation && incarnation != h.previous:
		h.Report.OK = false
		for _, t := range h.targets {
			v.judge(now, t)
		}
	case h.Service && incarnation != t.serving:
		if t.serving != "" && incarnation != h.previous {
			t.warmth.Reset(t.identity(), h.Report.Answered)
			v.limit(now, t)
			h.previous = t.serving
		}
		t.serving = incarnation
	}
}

// Loads returns this daemon's requests in flight by target, sorted, for its heartbeat.
func (v *View) Loads() []step.Load {
	var loads []step.Load
	for _, name := range v.names {
		if t := v.targets[name]; t.InFlight > 0 {
			loads = append(loads, step.Load{Target: name, InFlight: t.InFlight, Tokens: t.Tokens})
		}
	}
	return loads
}

// Heartbeat takes up a peer's loads in place of those that it told before.
func (v *View) Heartbeat(now step.Time, from string, h step.Heartbeat) {
	v.clearLoads(from)
	for _, load := range h.Loads {
		t, ok := v.targets[load.Target]
		if !ok {
			continue
		}
		if t.peers == nil {
			t.peers = make(map[string]step.Load)
		}
		t.peers[from] = load
		t.PeerInFlight += load.InFlight
		t.PeerTokens += load.Tokens
	}
}

// PeerDown forgets what a daemon told and how its clock stood.
func (v *View) PeerDown(daemon string) {
	delete(v.clocks, daemon)
	v.clearLoads(daemon)
}

func (v *View) clearLoads(daemon string) {
	for _, t := range v.targets {
		load, ok := t.peers[daemon]
		if !ok {
			continue
		}
		delete(t.peers, daemon)
		t.PeerInFlight -= load.InFlight
		t.PeerTokens -= load.Tokens
	}
}

// judge decides anew whether a target is routable at now.
func (v *View) judge(now step.Time, t *Target) {
	until, ok := t.provenUntil(now.Mono)
	if !ok {
		if t.routable {
			t.routable = false
			t.pool.remove(t)
		}
		return
	}
	returned := !t.routable
	t.freshUntil = until
	t.pool.expiry = min(t.pool.expiry, until)
	if returned {
		t.routable = true
		t.pool.add(t)
	}
	v.warm(now, t, returned)
}

// provenUntil returns until when the reports at hand prove that every member
// serves this generation, if they do at now.
func (t *Target) provenUntil(now time.Duration) (time.Duration, bool) {
	if !t.wanted || t.out {
		return 0, false
	}
	until := maxTime
	for _, h := range t.members {
		r := &h.Report
		if h.Leaving || !r.OK || !r.Fresh(now) {
			return 0, false
		}
		if !h.Service && (!r.Ready || r.Group != t.Name || r.Generation != t.generation) {
			return 0, false
		}
		until = min(until, r.Sent+FreshFor)
	}
	return until, len(t.members) > 0
}

func (v *View) forget(t *Target) {
	if t.routable {
		t.routable = false
		t.pool.remove(t)
	}
	delete(v.targets, t.Name)
	if v.dealer != nil {
		v.dealer.Forget(t.Name)
	}
	if at, found := slices.BinarySearch(v.names, t.Name); found {
		v.names = slices.Delete(v.names, at, at+1)
	}
}
