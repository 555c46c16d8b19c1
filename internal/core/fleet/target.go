package fleet

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/coldstart"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Target is one place that takes requests: a group or a host of a plain service.
type Target struct {
	// Name is the group's name, or the service's name and the host's, joined by a slash.
	Name string
	// Hash spreads choices over targets; it depends on the name alone.
	Hash       uint64
	To         step.Destination
	DataCentre string
	// Model or Service names what the target serves; the other is empty.
	Model   string
	Service string
	// InFlight and Tokens are this daemon's requests in flight there and the
	// tokens that they are estimated to need.
	InFlight int
	Tokens   int64
	// PeerInFlight and PeerTokens are the other daemons', from their last heartbeats.
	PeerInFlight int
	PeerTokens   int64
	// Reported and ReportedTokens are the target's own word, which lags.
	Reported       int
	ReportedTokens int64
	// ReportedAt is when the probe was sent that Reported stems from.
	ReportedAt time.Duration
	// Limit is the number of requests that this daemon may have in flight there now.
	Limit int

	generation uint64
	members    []*Host // in rank order; one for a plain service
	wanted     bool    // in the configuration
	out        bool    // taken out by operators or leaving
	routable   bool
	freshUntil time.Duration
	pool       *pool
	peers      map[string]step.Load // by daemon, what PeerInFlight sums up
	warmth     coldstart.Warmth
	rising     bool          // not warm yet
	limitAt    time.Duration // when a warm target's limit was last set
	returnedAt time.Duration // when the target was taken back in
	ramp       time.Duration // over which its load returns; 0 if never out
	serving    string        // incarnation of a plain service's last answer
}

// Free is the number of further requests that this daemon may send there now.
func (t *Target) Free() int { return max(0, t.Limit-t.InFlight) }

// Incarnation is the process run that takes the target's requests, as last reported.
func (t *Target) Incarnation() string {
	if len(t.members) == 0 {
		return ""
	}
	return t.members[0].Report.Incarnation
}

// pool holds the routable targets of one model or service, sorted by name.
type pool struct {
	targets []*Target
	// expiry is no later than the first time at which one of the targets is stale.
	expiry time.Duration
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

// expire takes out the targets that are stale at now.
func (p *pool) expire(now time.Duration) {
	if now <= p.expiry {
		return
	}
	kept := p.targets[:0]
	p.expiry = maxTime
	for _, t := range p.targets {
		if t.freshUntil < now {
			t.routable = false
			continue
		}
		kept = append(kept, t)
		p.expiry = min(p.expiry, t.freshUntil)
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

const maxTime = time.Duration(1<<63 - 1)
