package group

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// domain is what the controller knows about one fabric domain.
type domain struct {
	name string
	// value and version are the newest known state of the domain object, as acknowledged by
	// the platform. A nil value means that the object does not exist.
	value   *object.Domain
	version object.Version
	// versionAt is when version became known to this daemon.
	versionAt time.Duration
	// heldTerm is the term of this daemon's lease in which it took the domain. The domain is
	// held only while that term lasts.
	heldTerm uint64
	// takenAt is when this daemon learned that it had taken the domain.
	takenAt  time.Duration
	pending  step.OpID     // write or read in flight, zero if none
	failedAt time.Duration // when a write last failed, zero if none has
	isOwner  bool          // at the last check, this daemon was the domain's owner
	// notOwnerSince is since when another daemon has been the owner of the held domain, zero
	// if this daemon is.
	notOwnerSince time.Duration
	// holderLease is what was seen of the lease of the holder, if that is another daemon.
	holderLease observedLease
	// hosts is by host name. It is emptied when the domain is taken, so that a new holder
	// starts without old observations.
	hosts map[string]*hostState
	// groupStates is by group name and has an entry for each group in value.
	groupStates map[string]*groupState
	// surplusSince is, by model, since when the model has had too many groups.
	surplusSince map[string]time.Duration
	// These are the mean absences of hosts: meanPause of those that came back as the same
	// incarnation, meanReturn of those that came back as a new one, and meanRestart of those
	// that were ordered to retire.
	meanPause   mean
	meanReturn  mean
	meanRestart mean
	// meanLoads is, by model, the mean time from the join of all members until the group
	// serves.
	meanLoads map[string]*mean
	// unreachable is set while no host of the domain answers.
	unreachable bool
	// massLoss is set while at least half of the hosts, and more than one, were lost within
	// massLossWindow.
	massLoss bool
	// lacksHosts is set once it has been logged that a model lacks groups and no domain has
	// room for one more.
	lacksHosts bool
}

// groupState is what this holder knows about a group at its present generation.
type groupState struct {
	generation uint64
	// earliestOrderAt is when routing to the old generation has stopped on every daemon.
	// Before it, no member that holds another group or generation is ordered to change.
	earliestOrderAt time.Duration
	// drainDeadline is when members are ordered to change even if requests are in flight.
	drainDeadline time.Duration
	// joinedAt is when all members were first seen at the generation, or when stragglers were
	// last excluded after that. It is zero while a member is missing and once the group
	// serves.
	joinedAt time.Duration
	// needsWeights is set if a member had not loaded its weights at joinedAt.
	needsWeights bool
	// served is set once the group has served at this generation.
	served bool
	// These are set once the event has been logged, and reset when the group serves: that it
	// is out of service, that it waits for a member, that it drains.
	brokenLogged   bool
	waitingLogged  bool
	drainingLogged bool
}

// domainNames returns the domains of the fleet and of the configuration, sorted.
func (c *Controller) domainNames() []string {
	names := append(slices.Clone(c.Fleet.Domains()), c.Config.Names(object.KindDomain)...)
	slices.Sort(names)
	return slices.Compact(names)
}

// domain returns what is known about a domain, with a new entry if it is unknown.
func (c *Controller) domain(name string) *domain {
	d, ok := c.domains[name]
	if !ok {
		d = &domain{
			name:         name,
			hosts:        make(map[string]*hostState),
			groupStates:  make(map[string]*groupState),
			surplusSince: make(map[string]time.Duration),
			meanLoads:    make(map[string]*mean),
		}
		c.domains[name] = d
	}
	return d
}

// holds reports whether this run of the daemon has taken the domain and its lease has not been
// lost since.
func (c *Controller) holds(d *domain) bool {
	return d.value != nil && d.value.Holder == c.Daemon && d.value.HolderIncarnation == c.Incarnation &&
		c.lease.held && d.heldTerm == c.lease.term
}

// adoptConfig adopts the domain object of the configuration in force if it is newer than the
// known one.
func (c *Controller) adoptConfig(now time.Duration, d *domain) {
	o, ok := c.Config.Object(object.KindDomain, d.name)
	if !ok || o.Version <= d.version {
		return
	}
	v, _ := o.Value.(*object.Domain)
	c.adopt(now, d, o.Version, v)
}

// adopt stores a state of the domain object and starts a new groupState for each group whose
// generation has changed.
func (c *Controller) adopt(now time.Duration, d *domain, version object.Version, value *object.Domain) {
	if version < d.version {
		return
	}
	old := d.value
	if version > d.version {
		d.versionAt = now
	}
	d.version, d.value = version, value
	if value == nil {
		return
	}
	for name, g := range value.Groups {
		if known, ok := d.groupStates[name]; ok && known.generation == g.Generation {
			continue
		}
		st := &groupState{generation: g.Generation, earliestOrderAt: now + routingStopDelay, drainDeadline: now + c.set.DrainTimeout}
		if since, down := d.memberDownSince(old, name); down {
			// A member of the old generation has been down since then. Every daemon has seen
			// its last report become stale by since+routingStopDelay, and its requests in
			// flight are lost, so there is nothing to drain. A daemon that still reaches the
			// member sends requests with the old generation, which the other members refuse
			// before running them.
			st.earliestOrderAt = max(now, since+routingStopDelay)
			st.drainDeadline = st.earliestOrderAt
		}
		d.groupStates[name] = st
	}
	for name := range d.groupStates {
		if _, ok := value.Groups[name]; !ok {
			delete(d.groupStates, name)
		}
	}
}

// memberDownSince returns the earliest time since which a member of the group, as assigned in
// the old state, has been down. It returns false if none is down.
func (d *domain) memberDownSince(old *object.Domain, name string) (since time.Duration, found bool) {
	if old == nil {
		return 0, false
	}
	for _, member := range old.Groups[name].Members {
		s, ok := d.hosts[member]
		if !ok || !s.observed || s.up {
			continue
		}
		if !found || s.stateSince < since {
			since, found = s.stateSince, true
		}
	}
	return since, found
}

// write sends a new state of the domain. It takes effect only if the known version is still
// the stored one.
func (c *Controller) write(now time.Duration, d *domain, value *object.Domain, out *step.Out) {
	d.pending = c.await(operation{kind: opWriteDomain, domain: d.name, sentAt: now, value: value})
	out.Add(step.PutObject{Op: d.pending, Name: d.name, IfVersion: d.version, Value: value})
}

// onDomain handles the reply to a write or read of a domain object.
func (c *Controller) onDomain(now time.Duration, op operation, r step.PlatformReply, out *step.Out) {
	d := c.domain(op.domain)
	d.pending = 0
	stored, _ := r.Object.Value.(*object.Domain)
	switch r.Status {
	case step.ReplyOK:
		if op.kind == opWriteDomain {
			stored = op.value
		}
		c.adoptReply(now, d, op, r.Object.Version, stored, out)
	case step.ReplyConflict:
		d.failedAt = now
		if r.Object.Deleted() {
			d.version, d.value = r.Object.Version, nil
			return
		}
		c.adoptReply(now, d, operation{}, r.Object.Version, stored, out)
	case step.ReplyAbsent:
		if op.kind == opReadDomain {
			d.version, d.value = 0, nil
		}
	case step.ReplyLost:
		// The write may have taken effect. The object is read back, and nothing is ordered or
		// written until the read is answered.
		d.pending = c.await(operation{kind: opReadDomain, domain: d.name, sentAt: op.sentAt, value: op.value})
		out.Add(step.GetObject{Op: d.pending, Kind: object.KindDomain, Name: d.name})
	case step.ReplyUnsent:
		d.failedAt = now
		if op.kind == opReadDomain {
			d.pending = c.await(op)
			out.Add(step.GetObject{Op: d.pending, Kind: object.KindDomain, Name: d.name})
		}
	}
}

// adoptReply adopts the state that a reply shows. If it is the takeover that this run wrote,
// the domain is held from now on.
func (c *Controller) adoptReply(now time.Duration, d *domain, op operation, version object.Version, stored *object.Domain, out *step.Out) {
	before := c.holds(d)
	c.adopt(now, d, version, stored)
	own := op.value != nil && stored != nil && op.value.Holder == c.Daemon && stored.Holder == c.Daemon &&
		stored.HolderIncarnation == c.Incarnation && stored.Fence == op.value.Fence
	switch {
	case own && !before && c.lease.held:
		d.heldTerm, d.takenAt = c.lease.term, now
		d.hosts = make(map[string]*hostState)
		out.Log(event.DomainAcquired, event.F("domain", d.name), event.F("fence", stored.Fence))
	case before && !c.holds(d) && stored != nil && stored.Holder != "" && stored.Holder != c.Daemon:
		out.Log(event.DomainLost, event.F("domain", d.name), event.F("holder", stored.Holder))
	}
}
