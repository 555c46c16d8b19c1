// Package group controls the fabric domains that this daemon holds: it assigns their
// hosts to groups, repairs groups that lost a member, and orders the engines.
//
// One object a domain holds the whole assignment, so that a host cannot stand in two
// groups. Whoever holds the domain has written its name and a raised fencing number
// into that object, and keeps a lease, one object a daemon. The lease is checked
// before each order, but a pause may come between the check and the order. What then
// still arrives is stopped at the engine: by the fencing number where engines check
// it, and elsewhere by pinning. The only join that an incarnation may ever be sent
// is written into the object first, and goes out on a connection over which that
// incarnation was reported, so that no late order of any holder can tell it anything
// else.
//
// The package is pure: time and replies come in, effects go out. Times are monotonic
// times since this daemon started.
package group

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Settings are the controller's times and bounds.
type Settings struct {
	// Lease is how long this daemon may act after sending a renewal; Renew the
	// interval between renewals.
	Lease time.Duration
	Renew time.Duration
	// Patience is how long a lost member is waited for before a spare is weighed,
	// until the domain's own pauses are known.
	Patience time.Duration
	// Return is how long a lost host takes to come back, and Load how long a group
	// takes from its orders to serving, until either is known.
	Return time.Duration
	Load   time.Duration
	// Restart is how long an engine takes from a retire order to its next incarnation.
	Restart time.Duration
	// Drain bounds the wait for requests in flight before a planned change.
	Drain time.Duration
	// GiveUp is the absence after which a member without a replacement is given up
	// and its group dissolved.
	GiveUp time.Duration
	// LoadsPerDomain and LoadsInAll bound the hosts that load weights at a time. A
	// group of more hosts than that loads alone.
	LoadsPerDomain int
	LoadsInAll     int
}

// Defaults returns the settings for engines that load in about a minute.
func Defaults() Settings {
	return Settings{
		Lease:          10 * time.Second,
		Renew:          3 * time.Second,
		Patience:       5 * time.Second,
		Return:         time.Minute,
		Load:           time.Minute,
		Restart:        10 * time.Second,
		Drain:          30 * time.Second,
		GiveUp:         10 * time.Minute,
		LoadsPerDomain: 16,
		LoadsInAll:     128,
	}
}

const (
	// lookEvery is the interval between two looks for domains to seek.
	lookEvery = 500 * time.Millisecond
	// observeEvery is the interval between two looks at another holder's lease.
	observeEvery = time.Second
	// leaseMargin is added to another's lease for clocks that differ in rate.
	leaseMargin = time.Second
	// handOver is how long another daemon must have been a domain's owner before the
	// holder hands it back.
	handOver = 5 * time.Second
	// orderEvery is the interval after which an order without effect is sent again.
	orderEvery = 2 * time.Second
	// writeEvery is the pause after a write that did not take effect.
	writeEvery = time.Second
	// routingStop is the time within which every daemon has seen that a changed group
	// serves no more: its members' reports of the old generation have aged, or the
	// change of the object has come in. A daemon that missed both still sends with
	// the old generation, which the members refuse before running.
	routingStop = fleet.FreshFor + 500*time.Millisecond
	// surplusAfter is how long a model must have had too many groups before one goes.
	surplusAfter = 30 * time.Second
	// settleAfter is how long a new holder watches before it changes anything.
	settleAfter = 2 * time.Second
)

// Config is the part of the configuration that the controller reads.
type Config interface {
	fleet.Config
	Object(kind object.Kind, name string) (object.Object, bool)
}

// Members is the part of the membership that the controller reads.
type Members interface {
	// Owner returns the live daemon that does the duty named by key.
	Owner(key string) string
}

// Fleet is the part of the view of targets that the controller reads.
type Fleet interface {
	Host(name string) (*fleet.Host, bool)
	HostsOf(domain string) []string
	Domains() []string
	Target(name string) (*fleet.Target, bool)
	// Hold says whether this daemon controls a domain and so probes its hosts.
	Hold(domain string, held bool)
}

// Key is the rendezvous key of the duty to hold a domain.
func Key(domain string) string { return "domain/" + domain }

// Parts are what the controller works with.
type Parts struct {
	Daemon      string
	Incarnation string
	Config      Config
	Members     Members
	Fleet       Fleet
	// Next mints the ID of a call or an order.
	Next func() step.OpID
}

// Controller controls the fabric domains that this daemon holds.
type Controller struct {
	Parts
	set      Settings
	lease    lease
	domains  map[string]*domain
	ops      map[step.OpID]operation
	all      []string      // names of the domains, sorted
	lookAt   time.Duration // when to look for domains to seek
	stopping bool
}

// operation is a call or an order whose answer is awaited.
type operation struct {
	kind   opKind
	domain string
	host   string
	sent   time.Duration
	// value is what a write would make of the domain.
	value *object.Domain
}

type opKind uint8

const (
	opRenew opKind = iota + 1
	opReadLease
	opDropLease
	opObserve
	opBreak
	opWrite
	opRead
	opOrder
)

// New returns a controller that holds nothing.
func New(set Settings, parts Parts) *Controller {
	return &Controller{
		Parts:   parts,
		set:     set,
		domains: make(map[string]*domain),
		ops:     make(map[step.OpID]operation),
	}
}

// Tick does what is due: it renews the lease, seeks the domains whose owner this
// daemon is, and brings the held ones forward.
func (c *Controller) Tick(now step.Time, out *step.Out) {
	c.renew(now.Mono, out)
	look := now.Mono >= c.lookAt
	if look {
		c.lookAt = now.Mono + lookEvery
		c.all = c.names()
	}
	for _, name := range c.all {
		d := c.domain(name)
		c.adoptConfig(now.Mono, d)
		switch {
		case c.holds(d):
			c.control(now, d, out)
		case look:
			c.seek(now.Mono, d, out)
		}
		c.Fleet.Hold(name, c.holds(d))
	}
}

// Stop hands back what this daemon holds; Released tells when that is done.
func (c *Controller) Stop() { c.stopping = true }

// Released reports whether nothing is held and nothing is awaited.
func (c *Controller) Released() bool {
	for _, d := range c.domains {
		if c.holds(d) || d.pending != 0 {
			return false
		}
	}
	return !c.lease.held && c.lease.pending == 0
}

// OnReply takes up the answer to a call. It reports whether the call was the
// controller's.
func (c *Controller) OnReply(now step.Time, r step.PlatformReply, out *step.Out) bool {
	op, ok := c.ops[r.Op]
	if !ok {
		return false
	}
	delete(c.ops, r.Op)
	switch op.kind {
	case opRenew, opReadLease, opDropLease:
		c.onLease(now.Mono, op, r, out)
	case opObserve, opBreak:
		c.onObserved(now.Mono, op, r, out)
	case opWrite, opRead:
		c.onDomain(now.Mono, op, r, out)
	}
	return true
}

func (c *Controller) await(op operation) step.OpID {
	id := c.Next()
	c.ops[id] = op
	return id
}
