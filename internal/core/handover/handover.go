// Package handover decides which other daemon gets a request that this daemon can't send to any
// host, because its own path to them is cut. It answers the load of a daemon, or of most daemons of
// some data centres, that is cut off: requests must find a daemon that reaches hosts within a few
// tries, spread over all that do, and cost next to nothing when the hosts are gone for everybody.
//
// Nothing is agreed on or announced. A daemon that can't take a request says so at once, and why;
// it is then left alone for a while. The next tries go to another data centre, since whole data
// centres are cut off together, and to the lease holder, which leaves the lease when it reaches no
// hosts. Once a request has found nobody, none is handed over for a pause that doubles.
//
// The package is pure. Times are monotonic times.
package handover

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// MaxTries bounds the daemons that one request is handed to.
	MaxTries = 6
	// minPause and maxPause bound the pause after a request that nobody could take.
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
	// tookMaxAge is how long a daemon that has taken a request is preferred.
	tookMaxAge = 5 * time.Second
	// explorePeriod is the number of requests of which one goes to a daemon that is not known to take
	// any, so that the load does not stay with the first one found.
	explorePeriod = 8
)

// Refusal is why a daemon did not take a request.
type Refusal uint8

// The refusals.
const (
	// Unable: the daemon reaches no host either.
	Unable Refusal = iota
	// Unreachable: the daemon could not be reached, or has fallen silent.
	Unreachable
	// Busy: the daemon has as many requests of others as it may have.
	Busy
	// Leaving: the daemon is stopping.
	Leaving
	// Outdated: the daemon knows no configuration, or an older one.
	Outdated
)

// String returns the refusal's name in logs and metrics.
func (r Refusal) String() string {
	return [...]string{"unable", "unreachable", "busy", "leaving", "outdated"}[r]
}

// avoidFor is for how long a daemon is left alone after a refusal, the first time and at most; the
// time doubles with each refusal in a row.
func (r Refusal) avoidFor() (first, most time.Duration) {
	switch r {
	case Unable:
		return time.Second, 4 * time.Second
	case Unreachable:
		return time.Second, 8 * time.Second
	case Leaving:
		return 10 * time.Second, 10 * time.Second // it ends within its grace
	case Outdated:
		return 500 * time.Millisecond, 2 * time.Second
	}
	return 100 * time.Millisecond, 400 * time.Millisecond
}

// Daemon is another daemon that may take requests.
type Daemon struct {
	Name       string
	DataCentre string
	Address    string // of its links, host:port; empty if it takes no requests
}

// Request describes a request to be handed over.
type Request struct {
	Spread uint64   // evenly distributed over requests
	Tried  []string // daemons that it was handed to before
	Holder string   // of the lease; empty if unknown
}

// Peers holds what this daemon knows of the others. It is not safe for concurrent use.
type Peers struct {
	dataCentre  string // of this daemon
	peers       []*peer
	pause       time.Duration // length of the last pause; zero since a request was taken
	pausedUntil time.Duration
	trialUntil  time.Duration // until then the request that ended the last pause is under way
}

type peer struct {
	Daemon
	hash       uint64
	avoidUntil time.Duration
	refusals   int // in a row
	took       bool
	tookAt     time.Duration // valid if took
}

// New returns the peers of a daemon in a data centre.
func New(dataCentre string) *Peers { return &Peers{dataCentre: dataCentre} }

// Set replaces the other daemons. What is known of those that stay is kept.
func (p *Peers) Set(daemons []Daemon) {
	before := p.peers
	p.peers = nil
	for _, d := range daemons {
		if d.Address == "" {
			continue
		}
		next := &peer{Daemon: d, hash: rendezvous.Hash(d.Name)}
		if i := slices.IndexFunc(before, func(b *peer) bool { return b.Daemon == d }); i >= 0 {
			next = before[i]
		}
		p.peers = append(p.peers, next)
	}
}

// Available reports whether a request may be handed over now.
func (p *Peers) Available(now time.Duration, r Request) bool {
	_, ok := p.Choose(now, r)
	return ok
}

// Choose returns the daemon that gets a request. It returns false if there is none, or none is asked
// at the moment.
func (p *Peers) Choose(now time.Duration, r Request) (Daemon, bool) {
	if len(r.Tried) == 0 && now < max(p.pausedUntil, p.trialUntil) || len(r.Tried) >= MaxTries {
		return Daemon{}, false
	}
	free := func(d *peer) bool { return now >= d.avoidUntil && !slices.Contains(r.Tried, d.Name) }
	took := func(d *peer) bool { return free(d) && d.took && now-d.tookAt < tookMaxAge }
	near := func(d *peer) bool { return d.DataCentre == p.dataCentre }
	var orders []func(*peer) bool
	if r.Spread%explorePeriod != 0 {
		orders = append(orders, func(d *peer) bool { return took(d) && near(d) }, took)
	}
	switch len(r.Tried) {
	case 0:
		orders = append(orders, func(d *peer) bool { return free(d) && near(d) })
	case 1:
		orders = append(orders, func(d *peer) bool { return free(d) && !near(d) })
	default:
		orders = append(orders, func(d *peer) bool { return free(d) && d.Name == r.Holder })
	}
	orders = append(orders, took, free)
	for _, admits := range orders {
		if best := p.best(r.Spread, admits); best != nil {
			return best.Daemon, true
		}
	}
	return Daemon{}, false
}

// best returns the daemon that ranks first for a request among those admitted, or nil.
func (p *Peers) best(spread uint64, admits func(*peer) bool) *peer {
	var best *peer
	for _, d := range p.peers {
		if admits(d) && (best == nil || rendezvous.Mix(d.hash^spread) > rendezvous.Mix(best.hash^spread)) {
			best = d
		}
	}
	return best
}

// Sent records that a request was handed over. After a pause one request at a time is, until it has been
// taken.
func (p *Peers) Sent(now time.Duration) {
	if p.pause > 0 {
		p.trialUntil = now + minPause
	}
}

func (p *Peers) peer(name string) *peer {
	i := slices.IndexFunc(p.peers, func(d *peer) bool { return d.Name == name })
	if i < 0 {
		return &peer{} // no longer listed
	}
	return p.peers[i]
}

// Took records that a daemon has taken a request.
func (p *Peers) Took(now time.Duration, name string) {
	d := p.peer(name)
	d.took, d.tookAt, d.refusals, d.avoidUntil = true, now, 0, 0
	p.pause, p.pausedUntil, p.trialUntil = 0, 0, 0
}

// Refused records that a daemon has not taken a request.
func (p *Peers) Refused(now time.Duration, name string, why Refusal) {
	d := p.peer(name)
	first, most := why.avoidFor()
	d.avoidUntil = now + min(first<<min(d.refusals, 5), most)
	d.refusals++
	d.took = d.took && why == Busy
}

// FoundNobody records that no daemon could take a request.
func (p *Peers) FoundNobody(now time.Duration) {
	if now < p.pausedUntil {
		return
	}
	p.pause = min(max(2*p.pause, minPause), maxPause)
	p.pausedUntil = now + p.pause
}
