package group

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// domain is what the controller knows of one fabric domain.
type domain struct {
	name string
	// value and version are the newest known state of the object, acknowledged by the
	// platform; a nil value is an absent object.
	value   *object.Domain
	version object.Version
	// heldTerm is the term of the lease under which this daemon took the domain.
	heldTerm uint64
	heldAt   time.Duration
	pending  step.OpID     // write or read in flight
	tried    time.Duration // when a write last failed
	sought   bool
	away     time.Duration // since when another daemon is the owner
	seen     observed
	hosts    map[string]*hostState
	changes  map[string]*change // by group
	surplus  map[string]time.Duration
	pauses   mean // of hosts that came back as the same incarnation
	returns  mean // of hosts that came back as another
	restarts mean // of hosts that were told to end
	loads    map[string]*mean
	dark     bool
	storm    bool // half of the hosts went at once
	short    bool
}

// change is when a group was last changed, as far as this holder knows.
type change struct {
	generation uint64
	orderFrom  time.Duration // routing has stopped everywhere by then
	drainUntil time.Duration
	joined     time.Duration // when all members held the generation, zero before
	loading    bool          // weights were still missing at that time
	served     bool
	broken     bool // a log line has said that the group is out of service
	waiting    bool // one has said that it waits for a member
	draining   bool // one has said that it drains
}

func (c *Controller) names() []string {
	names := append(slices.Clone(c.Fleet.Domains()), c.Config.Names(object.KindDomain)...)
	slices.Sort(names)
	return slices.Compact(names)
}

func (c *Controller) domain(name string) *domain {
	d, ok := c.domains[name]
	if !ok {
		d = &domain{
			name:    name,
			hosts:   make(map[string]*hostState),
			changes: make(map[string]*change),
			surplus: make(map[string]time.Duration),
			loads:   make(map[string]*mean),
		}
		c.domains[name] = d
	}
	return d
}

// holds reports whether this run of the daemon has taken the domain and not lost it.
func (c *Controller) holds(d *domain) bool {
	return d.value != nil && d.value.Holder == c.Daemon && d.value.Run == c.Incarnation &&
		c.lease.held && d.heldTerm == c.lease.term
}

// adoptConfig takes up the object as the watch brought it, if that is newer.
func (c *Controller) adoptConfig(now time.Duration, d *domain) {
	o, ok := c.Config.Object(object.KindDomain, d.name)
	if !ok || o.Version <= d.version {
		return
	}
	v, _ := o.Value.(*object.Domain)
	c.adopt(now, d, o.Version, v)
}

func (c *Controller) adopt(now time.Duration, d *domain, version object.Version, value *object.Domain) {
	if version < d.version {
		return
	}
	old := d.value
	d.version, d.value = version, value
	if value == nil {
		return
	}
	for name, g := range value.Groups {
		if known, ok := d.changes[name]; ok && known.generation == g.Generation {
			continue
		}
		ch := &change{generation: g.Generation, orderFrom: now + routingStop, drainUntil: now + c.set.Drain}
		if since, broken := d.brokenSince(old, name); broken {
			// Every daemon has seen the member's last report age, and what was in flight
			// is lost. A daemon that still reaches the member sends with the old
			// generation, which the others refuse before running.
			ch.orderFrom = max(now, since+routingStop)
			ch.drainUntil = ch.orderFrom
		}
		d.changes[name] = ch
	}
	for name := range d.changes {
		if _, ok := value.Groups[name]; !ok {
			delete(d.changes, name)
		}
	}
}

// brokenSince returns since when a member of the group, as it stood, is down.
func (d *domain) brokenSince(old *object.Domain, name string) (since time.Duration, broken bool) {
	if old == nil {
		return 0, false
	}
	for _, member := range old.Groups[name].Members {
		s, ok := d.hosts[member]
		if !ok || !s.known || s.up {
			continue
		}
		if !broken || s.since < since {
			since, broken = s.since, true
		}
	}
	return since, broken
}

// write sends a new state of the domain, which takes effect only over the known one.
func (c *Controller) write(now time.Duration, d *domain, value *object.Domain, out *step.Out) {
	d.pending = c.await(operation{kind: opWrite, domain: d.name, sent: now, value: value})
	out.Add(step.PutObject{Op: d.pending, Name: d.name, IfVersion: d.version, Value: value})
}

func (c *Controller) onDomain(now time.Duration, op operation, r step.PlatformReply, out *step.Out) {
	d := c.domain(op.domain)
	d.pending = 0
	standing, _ := r.Object.Value.(*object.Domain)
	switch r.Status {
	case step.ReplyOK:
		if op.kind == opWrite {
			standing = op.value
		}
		c.taken(now, d, op, r.Object.Version, standing, out)
	case step.ReplyConflict:
		d.tried = now
		c.taken(now, d, operation{}, r.Object.Version, standing, out)
	case step.ReplyAbsent:
		if op.kind == opRead {
			d.version, d.value = 0, nil
		}
	case step.ReplyLost:
		// The write may have taken effect: what stands now decides, and until it is
		// read nothing is ordered or written.
		d.pending = c.await(operation{kind: opRead, domain: d.name, sent: op.sent, value: op.value})
		out.Add(step.GetObject{Op: d.pending, Kind: object.KindDomain, Name: d.name})
	case step.ReplyUnsent:
		d.tried = now
		if op.kind == opRead {
			d.pending = c.await(op)
			out.Add(step.GetObject{Op: d.pending, Kind: object.KindDomain, Name: d.name})
		}
	}
}

// taken adopts what stands. If that is this run's own takeover, the domain is held.
func (c *Controller) taken(now time.Duration, d *domain, op operation, version object.Version, standing *object.Domain, out *step.Out) {
	before := c.holds(d)
	c.adopt(now, d, version, standing)
	own := op.value != nil && standing != nil && op.value.Holder == c.Daemon && standing.Holder == c.Daemon &&
		standing.Run == c.Incarnation && standing.Fence == op.value.Fence
	switch {
	case own && !before && c.lease.held:
		d.heldTerm, d.heldAt = c.lease.term, now
		d.hosts = make(map[string]*hostState)
		out.Log(event.DomainTaken, event.F("domain", d.name), event.F("fence", standing.Fence))
	case before && !c.holds(d) && standing != nil && standing.Holder != "" && standing.Holder != c.Daemon:
		out.Log(event.DomainLost, event.F("domain", d.name), event.F("holder", standing.Holder))
	}
}
