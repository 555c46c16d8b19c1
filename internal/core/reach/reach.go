// Package reach decides whether this daemon's own path to the hosts of a service is cut. One host
// that can't be reached speaks against that host. Several at once, in different places, while none
// accepts a connection, speak against the path.
//
// Failed attempts start a round of probes, each of which opens a connection to a host. So the
// decision takes one round, however few requests a service gets. Answers over connections that
// were open before show nothing: they may live on while no new one can be opened.
//
// The package is pure: outcomes come in, hosts to probe go out. Times are monotonic times.
package reach

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// probesPerRound is the number of hosts that a round probes, in as many places as there are.
	probesPerRound = 4
	// cutHosts is the number of hosts of a service, or all of a smaller one, that must be
	// unreachable before its path counts as cut.
	cutHosts = 3
	// roundInterval is the least time between two rounds that failed attempts start.
	roundInterval = 500 * time.Millisecond
	// cutRoundInterval is the time between two rounds while the path is cut. It bounds how late
	// the end of the cut is noticed.
	cutRoundInterval = 250 * time.Millisecond
	// roundTimeout ends a round of which results are missing. A probe takes less.
	roundTimeout = 400 * time.Millisecond
)

// Host is one host of a service.
type Host struct {
	ID         string
	Address    string
	DataCentre string
	Domain     string // empty for a host of a plain service
}

// Probe is a host to which a connection is to be opened.
type Probe struct {
	Service string
	Host    Host
}

// Paths holds what this daemon knows of its path to the hosts of each service. It is not safe for
// concurrent use.
type Paths struct {
	self  uint64 // hash of this daemon's name
	paths map[string]*path
}

// path is the path to the hosts of one service.
type path struct {
	hosts []Host
	// unreached are the hosts that accepted no connection since any host last did.
	unreached map[string]bool
	cut       bool
	cutSince  time.Duration
	// reachedAt is when any host last accepted a connection or answered; zero if none has.
	reachedAt time.Duration
	// round are the hosts of the running round that have not answered yet, and roundAt is when the
	// last round began. roundFailed is whether the last round has ended without any connection.
	round map[string]bool
	// settled are the hosts of a round that another host has ended by accepting a connection; what
	// becomes of their probes says nothing of the path.
	settled     map[string]bool
	roundAt     time.Duration
	roundFailed bool
	rounds      uint64 // number of rounds so far
	// wanted is whether a failed attempt asks for a round, urgent whether that must not wait.
	wanted, urgent bool
}

// New returns the paths of one daemon.
func New(daemon string) *Paths {
	return &Paths{self: rendezvous.Hash(daemon), paths: make(map[string]*path)}
}

// SetHosts replaces the hosts, by service.
func (p *Paths) SetHosts(hosts map[string][]Host) {
	for service, list := range hosts {
		p.path(service).hosts = list
	}
	for service, path := range p.paths {
		if hosts[service] == nil {
			path.hosts = nil
		}
		for id := range path.unreached {
			if !slices.ContainsFunc(path.hosts, func(h Host) bool { return h.ID == id }) {
				delete(path.unreached, id)
			}
		}
	}
}

func (p *Paths) path(service string) *path {
	if p.paths[service] == nil {
		p.paths[service] = &path{unreached: make(map[string]bool)}
	}
	return p.paths[service]
}

// Cut reports whether the path to a service's hosts is cut.
func (p *Paths) Cut(service string) bool {
	path := p.paths[service]
	return path != nil && path.cut
}

// CutSince returns since when the path to a service's hosts is cut, valid if it is.
func (p *Paths) CutSince(service string) time.Duration { return p.path(service).cutSince }

// CutServices returns the number of services to whose hosts the path is cut.
func (p *Paths) CutServices() int {
	n := 0
	for _, path := range p.paths {
		if path.cut {
			n++
		}
	}
	return n
}

// OthersReachedSince reports whether a host of another service has accepted a connection or answered
// at a time or later.
func (p *Paths) OthersReachedSince(service string, at time.Duration) bool {
	for name := range p.paths {
		if name != service && p.ReachedSince(name, at) {
			return true
		}
	}
	return false
}

// OthersMayAnswer reports whether there is another service with hosts to which the path is not cut.
func (p *Paths) OthersMayAnswer(service string) bool {
	for name, path := range p.paths {
		if name != service && len(path.hosts) > 0 && !path.cut {
			return true
		}
	}
	return false
}

// OthersCut reports whether there are other services with hosts, and the paths to all of them are cut.
func (p *Paths) OthersCut(service string) bool {
	others := 0
	for name, path := range p.paths {
		if name == service || len(path.hosts) == 0 {
			continue
		}
		if !path.cut {
			return false
		}
		others++
	}
	return others > 0
}

// Hosts returns the number of a service's hosts.
func (p *Paths) Hosts(service string) int { return len(p.path(service).hosts) }

// Unreached returns the number of a service's hosts that could not be reached since any of them
// last accepted a connection.
func (p *Paths) Unreached(service string) int { return len(p.path(service).unreached) }

// ReachedSince reports whether any host of a service has accepted a connection or answered at a time
// or later.
func (p *Paths) ReachedSince(service string, at time.Duration) bool {
	reachedAt := p.path(service).reachedAt
	return reachedAt > 0 && reachedAt >= at
}

// Doubt records that an attempt at a host stalled or broke.
func (p *Paths) Doubt(service string) { p.path(service).wanted = true }

// DoubtUrgently is Doubt for an attempt that broke: whether its host has crashed can't be told
// before the paths are known, also those to other services.
func (p *Paths) DoubtUrgently(service string) {
	p.path(service)
	for _, path := range p.paths {
		path.wanted, path.urgent = true, true
	}
}

// Probing reports whether a round is running whose result shows whether the path is cut.
func (p *Paths) Probing(now time.Duration, service string) bool {
	path := p.path(service)
	return !path.cut && len(path.round) > 0 && now-path.roundAt < roundTimeout
}

// Answered records an answer of a host. newConnection is whether the connection was opened for it.
// It reports whether that ends a cut.
func (p *Paths) Answered(now time.Duration, service string, newConnection bool) (restored bool) {
	p.path(service).reachedAt = now
	return newConnection && p.Reached(now, service)
}

// Reached records that a host of a service accepted a connection. It reports whether that ends a
// cut.
func (p *Paths) Reached(now time.Duration, service string) (restored bool) {
	path := p.path(service)
	path.reachedAt = now
	restored = path.cut
	clear(path.unreached)
	path.settled = path.round
	path.cut, path.round, path.roundFailed, path.wanted = false, nil, false, false
	return restored
}

// Failed records that no connection to a host could be opened. It reports whether the path counts
// as cut from now on.
func (p *Paths) Failed(now time.Duration, service, host string) (cut bool) {
	path := p.path(service)
	if path.settled[host] {
		delete(path.settled, host)
		return false
	}
	if slices.ContainsFunc(path.hosts, func(h Host) bool { return h.ID == host }) {
		path.unreached[host] = true
	}
	path.wanted = true
	if path.round[host] {
		delete(path.round, host)
		path.roundFailed = len(path.round) == 0
	}
	if path.cut || !path.roundFailed || len(path.unreached) < min(cutHosts, len(path.hosts)) || len(path.hosts) == 0 {
		return false
	}
	path.cut, path.cutSince = true, now
	for name, other := range p.paths {
		other.wanted = other.wanted || name != service // what cuts off one service may cut off others
	}
	return true
}

// Tick returns the hosts to probe now. Probes that connect are recorded by Reached, others by
// Failed.
func (p *Paths) Tick(now time.Duration) []Probe {
	var probes []Probe
	for _, service := range p.services() {
		path := p.paths[service]
		interval := roundInterval
		if path.cut {
			interval = cutRoundInterval
		}
		due := path.rounds == 0 || path.urgent || now-path.roundAt >= interval
		running := len(path.round) > 0 && now-path.roundAt < roundTimeout
		if !path.wanted && !path.cut || !due || running {
			continue
		}
		path.wanted, path.urgent, path.roundFailed = false, false, false
		path.roundAt = now
		path.rounds++
		path.round = make(map[string]bool)
		for _, h := range path.pick(p.self) {
			path.round[h.ID] = true
			probes = append(probes, Probe{Service: service, Host: h})
		}
	}
	return probes
}

func (p *Paths) services() []string {
	names := make([]string, 0, len(p.paths))
	for name := range p.paths {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pick returns the hosts of the next round: ones that are not known to be unreachable first, in
// as many data centres and domains as possible, and others in each round.
func (path *path) pick(self uint64) []Host {
	type ranked struct {
		host Host
		rank uint64
	}
	order := make([]ranked, len(path.hosts))
	for i, h := range path.hosts {
		order[i] = ranked{h, rendezvous.Mix(rendezvous.Hash(h.ID) ^ self + path.rounds)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if ua, ub := path.unreached[a.host.ID], path.unreached[b.host.ID]; ua != ub {
			if ub {
				return -1
			}
			return 1
		}
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	type place struct{ dataCentre, domain string }
	var picked []Host
	centres, places := make(map[string]bool), make(map[place]bool)
	take := func(admits func(Host) bool) {
		for _, r := range order {
			h := r.host
			if len(picked) < probesPerRound && !slices.Contains(picked, h) && admits(h) {
				picked = append(picked, h)
				centres[h.DataCentre], places[place{h.DataCentre, h.Domain}] = true, true
			}
		}
	}
	take(func(h Host) bool { return !centres[h.DataCentre] })
	take(func(h Host) bool { return !places[place{h.DataCentre, h.Domain}] })
	take(func(Host) bool { return true })
	return picked
}
