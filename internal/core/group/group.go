// Package group controls fabric domains. It assigns the hosts of a domain to groups, replaces
// group members that are lost, and sends the engines the orders that follow from the
// assignment.
//
// Each domain is controlled by one daemon at a time, its holder. A daemon becomes the holder
// by writing its name and a higher fencing token into the domain object. It may act only
// while it also holds a valid lease; each daemon has one lease object, which covers all
// domains that it holds. The membership proposes which daemon takes which domain.
//
// The package keeps these invariants:
//
//   - A domain has one object with its whole assignment, and the object is changed only by
//     conditional update. A host therefore belongs to at most one group.
//   - The holder sends only orders that follow from an acknowledged state of that object, and
//     checks its lease before each order.
//   - The holder may be paused between that check and the order, so an order can arrive late.
//     Engines that check fencing tokens refuse it. For an engine that does not check them,
//     the domain object pins the only join that its present incarnation may ever be sent,
//     before that join is sent. The order goes over the connection on which this incarnation
//     was reported, so a late order of any holder cannot make the incarnation join anything
//     else.
//
// The package is pure: time and replies come in as arguments, effects go out. Times are
// monotonic and count from the start of this daemon.
package group

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Settings are the timing and the limits of a controller.
type Settings struct {
	// LeaseDuration is how long this daemon may act after it sent a renewal that took effect.
	// RenewInterval is the interval between renewals.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	// ReplaceDelay is how long a member may be unresponsive before its replacement by a spare
	// is considered. It applies until the domain has measured how long its own hosts pause.
	ReplaceDelay time.Duration
	// ExpectedReturn is how long a lost host takes to come back. ExpectedLoad is how long a
	// group takes from its join orders until it serves. The estimates use the measured means
	// of the domain instead once there are any.
	ExpectedReturn time.Duration
	ExpectedLoad   time.Duration
	// ExpectedRestart is how long an engine takes from a retire order until its next
	// incarnation answers. The estimate of a replacement uses the measured mean of the domain
	// instead once there is one.
	ExpectedRestart time.Duration
	// DrainTimeout is the longest wait for requests in flight before members are ordered to
	// change; after it they are ordered to change anyway.
	DrainTimeout time.Duration
	// AbsenceTimeout is how long a member that cannot be replaced may be absent before its
	// group is dissolved.
	AbsenceTimeout time.Duration
	// MaxLoadsPerDomain and MaxLoadsTotal limit how many hosts load weights at the same time,
	// in one domain and in all domains. A group with more hosts than the limit loads while no
	// other group does.
	MaxLoadsPerDomain int
	MaxLoadsTotal     int
}

// Defaults returns settings for engines that load their weights in about a minute.
func Defaults() Settings {
	return Settings{
		LeaseDuration:     10 * time.Second,
		RenewInterval:     3 * time.Second,
		ReplaceDelay:      5 * time.Second,
		ExpectedReturn:    time.Minute,
		ExpectedLoad:      time.Minute,
		ExpectedRestart:   10 * time.Second,
		DrainTimeout:      30 * time.Second,
		AbsenceTimeout:    10 * time.Minute,
		MaxLoadsPerDomain: 16,
		MaxLoadsTotal:     128,
	}
}

const (
	// takeoverCheckInterval is the interval between two checks for domains that this daemon
	// should take over.
	takeoverCheckInterval = 500 * time.Millisecond
	// leaseReadInterval is the interval between two reads of another holder's lease.
	leaseReadInterval = time.Second
	// leaseMargin is added to a lease duration before the lease counts as expired, since the
	// clocks of two daemons may differ in rate. A tenth of the duration is added as well.
	leaseMargin = time.Second
	// handOverDelay is how long another daemon must have been the owner of a domain before the
	// holder releases the domain.
	handOverDelay = 5 * time.Second
	// orderRetryInterval is the interval after which an order that has had no effect is sent
	// again.
	orderRetryInterval = 2 * time.Second
	// writeRetryDelay is the delay after a write that did not take effect.
	writeRetryDelay = time.Second
	// routingStopDelay is the time after a change of a group within which every daemon stops
	// routing to its old generation: either the reports of its members have become stale, or
	// the new domain object has arrived. A daemon that missed both still sends requests with
	// the old generation, which the members refuse before running them.
	routingStopDelay = fleet.ReportMaxAge + 500*time.Millisecond
	// surplusDelay is how long a model must have had too many groups before one is dissolved.
	surplusDelay = 30 * time.Second
	// settleDelay is how long a new holder observes the domain before it writes or orders
	// anything.
	settleDelay = 2 * time.Second
)

// Config is the part of the configuration that the controller reads.
type Config interface {
	fleet.Config
	Object(kind object.Kind, name string) (object.Object, bool)
}

// Members is the part of the membership that the controller reads.
type Members interface {
	// Owner returns the live daemon that is responsible for the duty named by key.
	Owner(key string) string
}

// Fleet is the part of the fleet view that the controller uses.
type Fleet interface {
	Host(name string) (*fleet.Host, bool)
	HostsOf(domain string) []string
	Domains() []string
	Target(name string) (*fleet.Target, bool)
	// SetControlled sets whether this daemon holds a domain; the holder probes its hosts.
	SetControlled(domain string, held bool)
}

// Key returns the rendezvous key of the duty to hold a domain.
func Key(domain string) string { return "domain/" + domain }

// Parts are the dependencies of a controller.
type Parts struct {
	Daemon      string
	Incarnation string
	Config      Config
	Members     Members
	Fleet       Fleet
	// Next returns a new ID for a platform call or an order.
	Next func() step.OpID
}

// Controller controls the fabric domains that this daemon holds.
type Controller struct {
	Parts
	set                 Settings
	lease               lease
	domains             map[string]*domain
	ops                 map[step.OpID]operation
	knownDomains        []string      // all known domains, sorted; updated at each check for takeovers
	nextTakeoverCheckAt time.Duration // when to check again for domains to take over
	stopping            bool
}

// operation is a platform call or an order that has not been answered yet.
type operation struct {
	kind   opKind
	domain string
	host   string
	sentAt time.Duration
	// value is the new state of the domain that a write sends.
	value *object.Domain
}

// opKind says which call or order an operation is.
type opKind uint8

const (
	opRenewLease        opKind = iota + 1 // write of this daemon's lease
	opReadLease                           // read of this daemon's lease after a renewal without an answer
	opDeleteLease                         // deletion of this daemon's lease
	opReadHolderLease                     // read of another holder's lease
	opDeleteHolderLease                   // deletion of another holder's expired lease
	opWriteDomain                         // write of a domain object
	opReadDomain                          // read of a domain object after a write without an answer
	opOrder                               // order to an engine
)

// New returns a controller that holds no domain.
func New(set Settings, parts Parts) *Controller {
	return &Controller{
		Parts:   parts,
		set:     set,
		domains: make(map[string]*domain),
		ops:     make(map[step.OpID]operation),
	}
}

// Tick renews the lease, takes over domains that this daemon should hold, and controls the
// domains that it holds.
func (c *Controller) Tick(now step.Time, out *step.Out) {
	c.renew(now.Mono, out)
	takeoverCheckDue := now.Mono >= c.nextTakeoverCheckAt
	if takeoverCheckDue {
		c.nextTakeoverCheckAt = now.Mono + takeoverCheckInterval
		c.knownDomains = c.domainNames()
	}
	for _, name := range c.knownDomains {
		d := c.domain(name)
		c.adoptConfig(now.Mono, d)
		switch {
		case c.holds(d):
			c.control(now, d, out)
		case takeoverCheckDue:
			c.tryTakeOver(now.Mono, d, out)
		}
		c.Fleet.SetControlled(name, c.holds(d))
	}
}

// Stop makes the controller release all domains and its lease. Released reports when that is
// done.
func (c *Controller) Stop() { c.stopping = true }

// Released reports whether this daemon holds no domain and no lease, and no call about them is
// unanswered.
func (c *Controller) Released() bool {
	for _, d := range c.domains {
		if c.holds(d) || d.pending != 0 {
			return false
		}
	}
	return !c.lease.held && c.lease.pending == 0
}

// OnReply handles the reply to a platform call. It returns false if the call was not made by
// this controller.
func (c *Controller) OnReply(now step.Time, r step.PlatformReply, out *step.Out) bool {
	op, ok := c.ops[r.Op]
	if !ok {
		return false
	}
	delete(c.ops, r.Op)
	switch op.kind {
	case opRenewLease, opReadLease, opDeleteLease:
		c.onLease(now.Mono, op, r, out)
	case opReadHolderLease, opDeleteHolderLease:
		c.onHolderLease(now.Mono, op, r, out)
	case opWriteDomain, opReadDomain:
		c.onDomain(now.Mono, op, r, out)
	}
	return true
}

// await registers an operation and returns its ID.
func (c *Controller) await(op operation) step.OpID {
	id := c.Next()
	c.ops[id] = op
	return id
}
