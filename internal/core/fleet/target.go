package fleet

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/coldstart"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Target is a group, or a host of a plain service, to which requests can be sent.
type Target struct {
	// Name is the group's name, or the service's name and the host's, joined by a slash.
	Name string
	// Hash is a hash of the name alone. The choice of a target uses it to distribute requests.
	Hash       uint64
	To         step.Destination
	DataCentre string
	// Either Model or Service names what the target serves; the other is empty.
	Model   string
	Service string
	// InFlight is the number of this daemon's requests in flight at the target, Tokens the
	// estimate of the tokens that they need.
	InFlight int
	Tokens   int64
	// PeerInFlight and PeerTokens are the same for all other daemons, from their last heartbeats.
	PeerInFlight int
	PeerTokens   int64
	// ReportedInFlight and ReportedTokens are the target's own counts from its last report. They
	// lag behind.
	ReportedInFlight int
	ReportedTokens   int64
	// ReportedAt is when the probe of that report was sent.
	ReportedAt time.Duration
	// Limit is the number of requests that this daemon may now have in flight at the target.
	Limit int

	generation         uint64
	members            []*Host              // in rank order; one for a plain service
	configured         bool                 // in the configuration, with known addresses
	outOfService       bool                 // operators took its data centre or a member out of service
	routable           bool                 // in pool; valid only up to routableUntil
	routableUntil      time.Duration        // when the oldest member's report becomes stale
	pool               *pool                // of its model or service
	peerLoads          map[string]step.Load // by daemon, what PeerInFlight sums up
	warmth             coldstart.Warmth
	warmingUp          bool          // the limit is below the warm limit: cold or in a ramp
	limitSetAt         time.Duration // when a warm target's limit was last updated
	returnedAt         time.Duration // when operators last returned the target to service
	rampDuration       time.Duration // time in which its limit rises from then on; 0 if never out
	servingIncarnation string        // for a plain service, the incarnation that last answered
}

// Free returns the number of further requests that this daemon may send to the target now.
func (t *Target) Free() int { return max(0, t.Limit-t.InFlight) }

// Incarnation returns the incarnation of the host that accepts the target's requests, as last
// reported.
func (t *Target) Incarnation() string {
	if len(t.members) == 0 {
		return ""
	}
	return t.members[0].Report.Incarnation
}

// pool holds the routable targets of one model or service, sorted by name.
type pool struct {
	targets []*Target
	// earliestExpiry is a lower bound of the targets' routableUntil: before it none is stale.
	earliestExpiry time.Duration
}

func (p *pool) search(name string) (int, bool) {
	low, high := 0, len(p.targets)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if p.targets[mid].Name < name {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, low < len(p.targets) && p.targets[low].Name == name
}

func (p *pool) add(t *Target) {
	at, found := p.search(t.Name)
	if found {
		return
	}
	p.targets = append(p.targets, nil)
	copy(p.targets[at+1:], p.targets[at:])
	p.targets[at] = t
}

func (p *pool) remove(t *Target) {
	at, found := p.search(t.Name)
	if !found {
		return
	}
	copy(p.targets[at:], p.targets[at+1:])
	p.targets[len(p.targets)-1] = nil
	p.targets = p.targets[:len(p.targets)-1]
}

// removeStale removes the targets whose reports are stale at now.
func (p *pool) removeStale(now time.Duration) {
	if now <= p.earliestExpiry {
		return
	}
	kept := p.targets[:0]
	p.earliestExpiry = noExpiry
	for _, t := range p.targets {
		if t.routableUntil < now {
			t.routable = false
			continue
		}
		kept = append(kept, t)
		p.earliestExpiry = min(p.earliestExpiry, t.routableUntil)
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

// noExpiry is later than any time: the expiry of an empty pool.
const noExpiry = time.Duration(1<<63 - 1)
