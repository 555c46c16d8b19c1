package fleet

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// View is one daemon's view of hosts and targets. It is not safe for concurrent use.
type View struct {
	self    string
	config  Config
	members Members
	dealer  Dealer

	hosts             map[string]*Host
	hostNames         []string // sorted
	domains           map[string][]string
	targets           map[string]*Target
	targetNames       []string // of the targets, sorted
	models            map[string]*pool
	services          map[string]*pool
	controlledDomains map[string]bool      // domains that this daemon controls
	peerClocks        map[string]peerClock // by peer
	liveDaemons       []string             // as of the last tick; nil if the probes must be reassigned
}

// New returns a view without hosts and targets.
func New(self string, config Config, members Members) *View {
	return &View{
		self:              self,
		config:            config,
		members:           members,
		hosts:             make(map[string]*Host),
		domains:           make(map[string][]string),
		targets:           make(map[string]*Target),
		models:            make(map[string]*pool),
		services:          make(map[string]*pool),
		controlledDomains: make(map[string]bool),
		peerClocks:        make(map[string]peerClock),
	}
}

// Candidates returns the routable targets of a model, or of a plain service if model is empty,
// sorted by name, whether or not they have free slots. The slice belongs to the view: the caller
// must not change it or keep it beyond the step.
func (v *View) Candidates(now step.Time, model, service string) []*Target {
	p := v.models[model]
	if model == "" {
		p = v.services[service]
	}
	if p == nil {
		return nil
	}
	p.removeStale(now.Mono)
	return p.targets
}

// Target returns a target by name, routable or not.
func (v *View) Target(name string) (*Target, bool) {
	t, ok := v.targets[name]
	return t, ok
}

// Routable reports whether requests may be sent to the target at now.
func (v *View) Routable(now step.Time, name string) bool {
	t, ok := v.targets[name]
	return ok && t.routable && t.routableUntil >= now.Mono
}

// Host returns a host by name.
func (v *View) Host(name string) (*Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// HostsOf returns the names of a fabric domain's hosts, sorted. The slice must not be changed.
func (v *View) HostsOf(domain string) []string { return v.domains[domain] }

// Domains returns the names of the fabric domains that have hosts, sorted.
func (v *View) Domains() []string { return sortedKeys(v.domains) }

// Begin counts a request sent to a target and the estimate of the tokens that it needs.
func (v *View) Begin(now step.Time, name string, tokens int64) {
	t, ok := v.targets[name]
	if !ok {
		return
	}
	t.InFlight++
	t.Tokens += tokens
}

// End reverses Begin and updates the target by how the attempt ended. Incarnation is the one that
// answered; empty if none did.
func (v *View) End(now step.Time, name string, tokens int64, ending step.Ending, incarnation string) {
	t, ok := v.targets[name]
	if !ok {
		return
	}
	t.InFlight = max(0, t.InFlight-1)
	t.Tokens = max(0, t.Tokens-tokens)
	v.applyEnding(now, t, ending, incarnation)
	if !t.configured && t.InFlight == 0 {
		v.removeTarget(t)
	}
}

// applyEnding counts complete answers and detects an answer from an unknown incarnation.
func (v *View) applyEnding(now step.Time, t *Target, ending step.Ending, incarnation string) {
	if len(t.members) == 0 {
		return
	}
	if incarnation != "" {
		v.applyIncarnation(now, t, incarnation)
	}
	if ending == step.EndedComplete && t.routable {
		t.warmth.CountAnswer()
		if t.warmingUp {
			v.updateLimit(now, t)
		}
	}
}

// applyIncarnation applies the incarnation that answered. An unknown one means that the target
// has restarted and no report has shown it yet. A group then stops being routable until its
// members' reports show that it serves; a plain service becomes cold.
func (v *View) applyIncarnation(now step.Time, t *Target, incarnation string) {
	h := t.members[0]
	switch {
	case !h.Service && incarnation != h.Report.Incarnation && incarnation != h.previousIncarnation:
		h.Report.OK = false
		for _, t := range h.targets {
			v.updateRoutable(now, t)
		}
	case h.Service && incarnation != t.servingIncarnation:
		if t.servingIncarnation != "" && incarnation != h.previousIncarnation {
			t.warmth.Reset(t.incarnationsHash(), h.Report.Answered)
			v.updateLimit(now, t)
			h.previousIncarnation = t.servingIncarnation
		}
		t.servingIncarnation = incarnation
	}
}

// Loads returns this daemon's requests in flight by target, sorted, for its heartbeat.
func (v *View) Loads() []step.Load {
	var loads []step.Load
	for _, name := range v.targetNames {
		if t := v.targets[name]; t.InFlight > 0 {
			loads = append(loads, step.Load{Target: name, InFlight: t.InFlight, Tokens: t.Tokens})
		}
	}
	return loads
}

// Heartbeat replaces a peer's loads by those in its heartbeat.
func (v *View) Heartbeat(now step.Time, from string, h step.Heartbeat) {
	v.clearLoads(from)
	for _, load := range h.Loads {
		t, ok := v.targets[load.Target]
		if !ok {
			continue
		}
		if t.peerLoads == nil {
			t.peerLoads = make(map[string]step.Load)
		}
		t.peerLoads[from] = load
		t.PeerInFlight += load.InFlight
		t.PeerTokens += load.Tokens
	}
}

// PeerDown drops a daemon's loads and clock offset.
func (v *View) PeerDown(daemon string) {
	delete(v.peerClocks, daemon)
	v.clearLoads(daemon)
}

func (v *View) clearLoads(daemon string) {
	for _, t := range v.targets {
		load, ok := t.peerLoads[daemon]
		if !ok {
			continue
		}
		delete(t.peerLoads, daemon)
		t.PeerInFlight -= load.InFlight
		t.PeerTokens -= load.Tokens
	}
}

// updateRoutable determines whether a target is routable at now.
func (v *View) updateRoutable(now step.Time, t *Target) {
	until, ok := t.reportsValidUntil(now.Mono)
	if !ok {
		if t.routable {
			t.routable = false
			t.pool.remove(t)
		}
		return
	}
	newlyRoutable := !t.routable
	t.routableUntil = until
	t.pool.earliestExpiry = min(t.pool.earliestExpiry, until)
	if newlyRoutable {
		t.routable = true
		t.pool.add(t)
	}
	v.updateWarmth(now, t, newlyRoutable)
}

// reportsValidUntil returns the time up to which the known reports show that every member serves
// this generation. It returns false if they do not show it at now.
func (t *Target) reportsValidUntil(now time.Duration) (time.Duration, bool) {
	if !t.configured || t.outOfService {
		return 0, false
	}
	until := noExpiry
	for _, h := range t.members {
		r := &h.Report
		if h.Leaving || !r.OK || !r.UpToDate(now) {
			return 0, false
		}
		if !h.Service && (!r.Ready || r.Group != t.Name || r.Generation != t.generation) {
			return 0, false
		}
		until = min(until, r.Sent+ReportMaxAge)
	}
	return until, len(t.members) > 0
}

func (v *View) removeTarget(t *Target) {
	if t.routable {
		t.routable = false
		t.pool.remove(t)
	}
	delete(v.targets, t.Name)
	if v.dealer != nil {
		v.dealer.Forget(t.Name)
	}
	if at, found := slices.BinarySearch(v.targetNames, t.Name); found {
		v.targetNames = slices.Delete(v.targetNames, at, at+1)
	}
}
