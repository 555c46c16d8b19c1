// Package world builds the state of one daemon in a system of a given size and generates
// the events that such a daemon receives, for the capacity measurement. It runs no process
// and no network: the events go straight to the reducer of internal/core. Daemon 0 is the
// measured one; every other daemon is its peer.
package world

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

const (
	// Members is the number of hosts in one group.
	Members = 8
	// hostsPerDomain is the number of hosts in a fabric domain: two groups and two spares.
	hostsPerDomain = 2*Members + 2
	// dataCentres is the number of data centres, among which the domains are dealt in turn.
	dataCentres = 5
	// customers is the number of customers with a contract.
	customers = 30
	// Model is the name of the only model, which all groups serve.
	Model = "writer"
)

// Size is the size of the system. It needs at least two daemons and one domain's hosts.
type Size struct {
	Daemons int
	Hosts   int
}

// Groups returns the number of groups that the hosts form, two in each fabric domain.
func (s Size) Groups() int { return s.domains() * 2 }

// domains returns the number of fabric domains that the hosts fill.
func (s Size) domains() int { return s.Hosts / hostsPerDomain }

// World is the state of daemon 0 and the source of its events.
type World struct {
	Size   Size
	State  *core.State
	now    time.Duration  // monotonic time of the next event
	newest object.Version // newest revision of the configuration
}

// New builds the state of a daemon that has the configuration in force, is linked to every
// other daemon, and has up-to-date reports of all hosts, ready in their groups.
func New(s Size) *World {
	w := &World{Size: s, State: core.New(core.Defaults(DaemonName(0), "run-0", "dc0"))}
	w.Reduce(step.PlatformState{Reachable: true})
	w.Reduce(w.fullConfig())
	w.Reduce(w.hostList())
	for i := 1; i < s.Daemons; i++ {
		w.Reduce(step.PeerUp{Daemon: DaemonName(i), Incarnation: incarnation(i), Address: "10.0.0.1:7003", DataCentre: "dc0"})
		w.Reduce(w.HeartbeatFrom(i))
	}
	w.ReportAllHosts()
	w.Reduce(step.Tick{})
	return w
}

// Reduce applies an event to the state at the current time and returns its effects.
func (w *World) Reduce(e step.Event) []step.Effect {
	return w.State.Reduce(step.Time{Mono: w.now, Unix: 1_800_000_000_000 + w.now.Milliseconds()}, e)
}

// Advance moves the current time forward.
func (w *World) Advance(d time.Duration) { w.now += d }

// ReportAllHosts delivers an up-to-date report of every host, as peers that probe the hosts
// send it.
func (w *World) ReportAllHosts() {
	for i := range w.Size.Hosts {
		w.Reduce(w.DigestFrom(i, 1))
	}
}

// HeartbeatInterval returns the time between two heartbeats of one daemon. It grows with the
// number of daemons.
func (w *World) HeartbeatInterval() time.Duration { return w.State.HeartbeatInterval() }

// DaemonName is the name of a daemon.
func DaemonName(i int) string { return fmt.Sprintf("daemon-%03d", i) }

// incarnation returns the incarnation of a daemon or a host.
func incarnation(i int) string { return fmt.Sprintf("01a23db8-0c37-7b86-97ca-%012d", i) }

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func groupName(i int) string { return fmt.Sprintf("%s-%03d", Model, i) }

// fullConfig returns the whole configuration as one batch.
func (w *World) fullConfig() step.ConfigBatch {
	b := step.ConfigBatch{Full: true}
	add := func(kind object.Kind, name string, v object.Value) {
		w.newest++
		b.Objects = append(b.Objects, object.Object{Kind: kind, Name: name, Version: w.newest, Value: v})
	}
	for i := range dataCentres {
		add(object.KindDataCentre, fmt.Sprintf("dc%d", i), &object.DataCentre{})
	}
	for i := range customers {
		add(object.KindContract, customerName(i), &object.Contract{Models: []string{"*"}, Services: []string{"*"}, Priority: i % 10})
	}
	add(object.KindModel, Model, &object.Model{Members: Members, Groups: w.Size.Groups(), Weights: "w", ColdLimit: 4, WarmLimit: 64})
	for i := range w.Size.domains() {
		add(object.KindDomain, domainName(i), w.domain(i))
	}
	for i := range w.Size.Daemons {
		add(object.KindDaemon, DaemonName(i), &object.Daemon{Address: "10.0.0.1:7003", API: "10.0.0.1:7002", DataCentre: "dc0", Incarnation: incarnation(i)})
	}
	b.Revision = w.newest
	return b
}

func customerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i) }

// domain returns the object of a fabric domain. Its lease holder is a peer, never daemon 0,
// so that the measured daemon orders no groups.
func (w *World) domain(i int) *object.Domain {
	d := &object.Domain{Holder: DaemonName(1 + i%(w.Size.Daemons-1)), Fence: 1, Groups: make(map[string]object.Group)}
	for g := range 2 {
		group := object.Group{Model: Model, Generation: 1, DataCentre: fmt.Sprintf("dc%d", i%dataCentres)}
		for m := range Members {
			group.Members = append(group.Members, hostName(i*hostsPerDomain+g*Members+m))
		}
		d.Groups[groupName(2*i+g)] = group
	}
	return d
}

// hostList returns the platform's list of all hosts.
func (w *World) hostList() step.HostList {
	var l step.HostList
	for i := range w.Size.Hosts {
		domain := i / hostsPerDomain
		l.Hosts = append(l.Hosts, platformapi.Host{
			Name: hostName(i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Domain: domainName(domain), DataCentre: fmt.Sprintf("dc%d", domain%dataCentres), Accelerators: 4,
		})
	}
	return l
}

// group returns the name of a host's group, or false for a spare.
func (w *World) group(host int) (string, bool) {
	domain, at := host/hostsPerDomain, host%hostsPerDomain
	if domain >= w.Size.domains() || at >= 2*Members {
		return "", false
	}
	return groupName(2*domain + at/Members), true
}

// HeartbeatFrom returns a heartbeat of daemon i as the peer message that daemon 0 receives.
func (w *World) HeartbeatFrom(i int) step.PeerMessage {
	return step.PeerMessage{From: DaemonName(i), Message: w.Heartbeat(i)}
}

// Heartbeat returns the heartbeat that daemon i sends, with two requests in flight at each
// of three groups.
func (w *World) Heartbeat(i int) step.Heartbeat {
	beat := step.Heartbeat{Incarnation: incarnation(i), Applied: w.newest, Newest: w.newest, Platform: true}
	if every := w.HeartbeatInterval(); every > time.Second {
		beat.Every = every
	}
	for n := range 3 {
		beat.Loads = append(beat.Loads, step.Load{Target: groupName((i*7 + n) % w.Size.Groups()), InFlight: 2, Tokens: 600})
	}
	return beat
}

// DigestFrom returns a digest of the given number of hosts, starting with one host, as the
// peer message that daemon 0 receives.
func (w *World) DigestFrom(host, hosts int) step.PeerMessage {
	return step.PeerMessage{From: DaemonName(1 + host%(w.Size.Daemons-1)), Message: w.Digest(host, hosts)}
}

// Digest returns the digest with reports of the given number of hosts, starting with one
// host.
func (w *World) Digest(host, hosts int) step.Digest {
	d := step.Digest{Sent: w.now}
	for n := range hosts {
		i := (host + n) % w.Size.Hosts
		r := step.MemberReport{Host: hostName(i), OK: true, Age: 40 * time.Millisecond, Incarnation: incarnation(i), InFlight: 12, Tokens: 3000, Answered: 100_000}
		if g, ok := w.group(i); ok {
			r.Group, r.Generation, r.Ready = g, 1, true
		}
		d.Reports = append(d.Reports, r)
	}
	return d
}

// Probe returns the report of a host that daemon 0 requested itself.
func (w *World) Probe(host int) step.HostReport {
	s := engineapi.Status{Host: hostName(host), Incarnation: incarnation(host), Ready: true, CompleteAnswers: 100_000}
	if g, ok := w.group(host); ok {
		s.Group, s.Generation = g, 1
	}
	return step.HostReport{Host: s.Host, OK: true, Status: s, Conn: 1, Sent: w.now}
}

// Request returns completion request number n. The number sets its ID, customer,
// fingerprint and prefix.
func (w *World) Request(n int) step.Request {
	return step.Request{
		ID: step.RequestID(fmt.Sprintf("r%d", n)), Customer: customerName(n % customers), Model: Model,
		Method: "POST", Path: "/v1/chat/completions",
		Fingerprint: uint64(n), Prefix: uint64(n % 64), PromptTokens: 400, MaxTokens: 250, Stream: true,
	}
}

// AttemptCompleted returns the end of a request's first attempt with a complete answer.
func AttemptCompleted(r step.Request) step.AttemptEnded {
	return step.AttemptEnded{
		ID: r.ID, Attempt: step.AttemptID(string(r.ID) + ".1"), Ending: step.EndedComplete, Status: 200,
		Delivered: 250, Tokens: 650, FirstToken: 100 * time.Millisecond, WorstGap: 20 * time.Millisecond,
	}
}

// ContractChange returns a configuration batch that changes one customer's contract.
func (w *World) ContractChange() step.ConfigBatch {
	w.newest++
	return step.ConfigBatch{Revision: w.newest, Objects: []object.Object{{
		Kind: object.KindContract, Name: customerName(int(w.newest) % customers), Version: w.newest,
		Value: &object.Contract{Models: []string{"*"}, Priority: 5},
	}}}
}

// DomainChange returns a configuration batch with a new version of one fabric domain, such
// as a repair writes. The members stay the same.
func (w *World) DomainChange(n int) step.ConfigBatch {
	i := n % w.Size.domains()
	w.newest++
	return step.ConfigBatch{Revision: w.newest, Objects: []object.Object{{
		Kind: object.KindDomain, Name: domainName(i), Version: w.newest, Value: w.domain(i),
	}}}
}
