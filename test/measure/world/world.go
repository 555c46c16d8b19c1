// Package world builds the state of one daemon in a system of a given size, from
// events such as a running system would bring.
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
	// hostsPerDomain is the size of a fabric domain: two groups and two spares.
	hostsPerDomain = 2*Members + 2
	dataCentres    = 5
	customers      = 30
	// Model is the one model that the groups serve.
	Model = "writer"
)

// Size says how large the system is.
type Size struct {
	Daemons int
	Hosts   int
}

// Groups returns the number of groups that the hosts form.
func (s Size) Groups() int { return s.domains() * 2 }

func (s Size) domains() int { return s.Hosts / hostsPerDomain }

// World is the state of daemon 0 and what its events are made from.
type World struct {
	Size  Size
	State *core.State
	now   time.Duration
	rev   object.Version
}

// New builds the state: configuration in force, every daemon linked, every host
// reported ready.
func New(s Size) *World {
	w := &World{Size: s, State: core.New(core.Defaults(DaemonName(0), "run-0", "dc0"))}
	w.Reduce(step.PlatformState{Reachable: true})
	w.Reduce(w.config())
	w.Reduce(w.hostList())
	for i := 1; i < s.Daemons; i++ {
		w.Reduce(step.PeerUp{Daemon: DaemonName(i), Incarnation: run(i), Address: "10.0.0.1:7003", DataCentre: "dc0"})
		w.Reduce(w.Heartbeat(i))
	}
	w.Refresh()
	w.Reduce(step.Tick{})
	return w
}

// Reduce hands an event to the state at the present time.
func (w *World) Reduce(e step.Event) []step.Effect {
	return w.State.Reduce(step.Time{Mono: w.now, Unix: 1_800_000_000_000 + w.now.Milliseconds()}, e)
}

// Pass lets time pass.
func (w *World) Pass(d time.Duration) { w.now += d }

// Refresh brings a fresh report of every host, as its prober's peers hear it.
func (w *World) Refresh() {
	for i := range w.Size.Hosts {
		w.Reduce(w.Digest(i, 1))
	}
}

// HeartbeatInterval is the time between two heartbeats of one daemon.
func (w *World) HeartbeatInterval() time.Duration { return w.State.HeartbeatInterval() }

// DaemonName is the name of a daemon.
func DaemonName(i int) string { return fmt.Sprintf("daemon-%03d", i) }

func run(i int) string { return fmt.Sprintf("01a23db8-0c37-7b86-97ca-%012d", i) }

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func groupName(i int) string { return fmt.Sprintf("%s-%03d", Model, i) }

func (w *World) config() step.ConfigBatch {
	b := step.ConfigBatch{Full: true}
	add := func(kind object.Kind, name string, v object.Value) {
		w.rev++
		b.Objects = append(b.Objects, object.Object{Kind: kind, Name: name, Version: w.rev, Value: v})
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
		add(object.KindDaemon, DaemonName(i), &object.Daemon{Address: "10.0.0.1:7003", API: "10.0.0.1:7002", DataCentre: "dc0", Incarnation: run(i)})
	}
	b.Revision = w.rev
	return b
}

func customerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i) }

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

// group returns the group of a host, empty for a spare.
func (w *World) group(host int) (string, bool) {
	domain, at := host/hostsPerDomain, host%hostsPerDomain
	if domain >= w.Size.domains() || at >= 2*Members {
		return "", false
	}
	return groupName(2*domain + at/Members), true
}

// Heartbeat is a heartbeat of daemon i with a few requests in flight.
func (w *World) Heartbeat(i int) step.PeerMessage {
	return step.PeerMessage{From: DaemonName(i), Message: w.Beat(i)}
}

// Beat is the message of Heartbeat.
func (w *World) Beat(i int) step.Heartbeat {
	beat := step.Heartbeat{Incarnation: run(i), Applied: w.rev, Newest: w.rev, Platform: true}
	if every := w.HeartbeatInterval(); every > time.Second {
		beat.Every = every
	}
	for n := range 3 {
		beat.Loads = append(beat.Loads, step.Load{Target: groupName((i*7 + n) % w.Size.Groups()), InFlight: 2, Tokens: 600})
	}
	return beat
}

// Digest is what a peer passes on of some hosts, starting with one.
func (w *World) Digest(host, hosts int) step.PeerMessage {
	return step.PeerMessage{From: DaemonName(1 + host%(w.Size.Daemons-1)), Message: w.Reports(host, hosts)}
}

// Reports is the message of Digest.
func (w *World) Reports(host, hosts int) step.Digest {
	d := step.Digest{Sent: w.now}
	for n := range hosts {
		i := (host + n) % w.Size.Hosts
		r := step.MemberReport{Host: hostName(i), OK: true, Age: 40 * time.Millisecond, Incarnation: run(i), InFlight: 12, Tokens: 3000, Answered: 100_000}
		if g, ok := w.group(i); ok {
			r.Group, r.Generation, r.Ready = g, 1, true
		}
		d.Reports = append(d.Reports, r)
	}
	return d
}

// Probe is the answer to a probe of our own.
func (w *World) Probe(host int) step.HostReport {
	s := engineapi.Status{Host: hostName(host), Incarnation: run(host), Ready: true, Answered: 100_000}
	if g, ok := w.group(host); ok {
		s.Group, s.Generation = g, 1
	}
	return step.HostReport{Host: s.Host, OK: true, Status: s, Conn: 1, Sent: w.now}
}

// Request is a completion request; n tells requests apart.
func (w *World) Request(n int) step.Request {
	return step.Request{
		ID: step.RequestID(fmt.Sprintf("r%d", n)), Customer: customerName(n % customers), Model: Model,
		Method: "POST", Path: "/v1/chat/completions",
		Fingerprint: uint64(n), Prefix: uint64(n % 64), PromptTokens: 400, MaxTokens: 250, Stream: true,
	}
}

// Ended is the whole answer to a request's first attempt.
func Ended(r step.Request) step.AttemptEnded {
	return step.AttemptEnded{
		ID: r.ID, Attempt: step.AttemptID(string(r.ID) + ".1"), Ending: step.EndedWhole, Status: 200,
		Delivered: 250, Tokens: 650, FirstToken: 100 * time.Millisecond, WorstGap: 20 * time.Millisecond,
	}
}

// Change is one change of configuration.
func (w *World) Change() step.ConfigBatch {
	w.rev++
	return step.ConfigBatch{Revision: w.rev, Objects: []object.Object{{
		Kind: object.KindContract, Name: customerName(int(w.rev) % customers), Version: w.rev,
		Value: &object.Contract{Models: []string{"*"}, Priority: 5},
	}}}
}

// Repair is one change of a domain, such as a member replaced by a spare.
func (w *World) Repair(n int) step.ConfigBatch {
	i := n % w.Size.domains()
	w.rev++
	return step.ConfigBatch{Revision: w.rev, Objects: []object.Object{{
		Kind: object.KindDomain, Name: domainName(i), Version: w.rev, Value: w.domain(i),
	}}}
}
