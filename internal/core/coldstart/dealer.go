package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// maxHistory bounds the sets of daemons that are kept while a target's deal is
	// not settled. A target that is older than all of them falls back to no slots.
	maxHistory = 64
	// none stands for no set.
	none = -1
	// pauseBound is the time between two steps from which this daemon counts as
	// having been paused, and distrustFor how long after that the heartbeats that
	// waited in its sockets count for nothing.
	pauseBound  = 2 * time.Second
	distrustFor = 5 * time.Second
)

// Dealer deals the slots of cold targets over the daemons.
type Dealer struct {
	self, incarnation string
	// sets are the last sets of daemons, oldest first; first is the number of the oldest.
	sets  [][]string
	first int
	// known is the number of the last set that all of its daemons have applied.
	known int
	// required is the revision that a daemon must have applied to know the last set.
	required object.Version
	// applied is the revision of the configuration in force here.
	applied object.Version
	// marked tells that this daemon's own object is marked as leaving or another run's.
	marked bool
	// proven tells that the platform has been heard since this run started or was last
	// paused for long. Until then another run of the same name may have taken over.
	proven    bool
	confirmed time.Duration // when the call was sent that last proved the configuration
	heldUntil time.Duration // no slots are used before
	deafUntil time.Duration // heartbeats count for nothing before
	now       time.Duration
	sure      bool
	peers     map[string]*peer
	deals     map[string]*deal
}

type peer struct {
	heard    time.Duration
	linked   bool
	applied  object.Version
	platform bool
	held     bool // an earlier run may still go on, of which nothing is known
	loads    map[string]int
}

// deal is how far the deal of one target has been settled, and the share that
// follows from it for the last set.
type deal struct {
	set   int // number of the settled set
	last  int
	slots int
	share int
}

type scored struct {
	name  string
	score uint64
}

// NewDealer returns the dealer of one run of a daemon. It knows no daemons and has no slots.
func NewDealer(self, incarnation string) *Dealer {
	return &Dealer{self: self, incarnation: incarnation, known: none, peers: make(map[string]*peer), deals: make(map[string]*deal)}
}

// Replaces says that this daemon took the place of a run of the same name that may
// still go on. Its slots stay unused for HoldOff.
func (d *Dealer) Replaces() { d.heldUntil = d.now + HoldOff }

// Held reports whether the slots of an earlier run are still held back; the heartbeat
// says so.
func (d *Dealer) Held() bool { return d.now < d.heldUntil }

// Confirm says that a call to the platform, sent at sent, proved the applied
// configuration current.
func (d *Dealer) Confirm(sent time.Duration) {
	d.confirmed = max(d.confirmed, sent)
	d.proven = d.proven || d.now-sent < ConfirmFor
}

// SetDaemons takes up the daemon objects of the configuration in force.
func (d *Dealer) SetDaemons(applied object.Version, daemons []object.Object) {
	d.applied = applied
	d.marked = false
	names := make([]string, 0, len(daemons))
	var newest object.Version
	for _, o := range daemons {
		if o.Deleted() {
			continue
		}
		names = append(names, o.Name)
		newest = max(newest, o.Version)
		if v, ok := o.Value.(*object.Daemon); ok && o.Name == d.self {
			d.marked = v.Leaving || v.Incarnation != d.incarnation
		}
	}
	slices.Sort(names)
	if len(d.sets) > 0 && slices.Equal(names, d.sets[len(d.sets)-1]) {
		return
	}
	d.required = newest
	d.sets = append(d.sets, names)
	if len(d.sets) > maxHistory {
		d.sets = slices.Delete(d.sets, 0, 1)
		d.first++
	}
	d.acknowledge()
}

// Advance sets the time and decides whether this daemon is sure. Call it at the start
// of each step.
func (d *Dealer) Advance(now time.Duration) {
	if now-d.now >= pauseBound {
		d.deafUntil = now + distrustFor
	}
	if now-d.now >= ConfirmFor {
		d.proven = false
	}
	d.now = max(d.now, now)
	d.sure = d.decide()
}

// PeerDown says that the link to a daemon closed.
func (d *Dealer) PeerDown(daemon string) {
	if p, ok := d.peers[daemon]; ok {
		p.linked = false
	}
}

// Heartbeat takes up a peer's heartbeat.
func (d *Dealer) Heartbeat(from string, h step.Heartbeat) {
	p, ok := d.peers[from]
	if !ok {
		p = &peer{}
		d.peers[from] = p
	}
	p.heard, p.linked = d.now, true
	p.applied, p.platform, p.held = h.Applied, h.Platform, h.Held
	p.loads = make(map[string]int, len(h.Loads))
	for _, load := range h.Loads {
		p.loads[load.Target] = load.InFlight
	}
	d.acknowledge()
}

// Acknowledged reports whether all daemons of some set that holds this one have known it.
func (d *Dealer) Acknowledged() bool { return d.known != none }

// Daemons returns the daemons that slots are dealt over, sorted. The slice must not
// be changed.
func (d *Dealer) Daemons() []string { return d.current() }

// Sure reports whether, as of the last Advance, the deal that this daemon knows
// still binds the others.
func (d *Dealer) Sure() bool { return d.sure }

func (d *Dealer) decide() bool {
	if d.marked || d.Held() || !slices.Contains(d.current(), d.self) {
		return false
	}
	if !d.proven {
		return false
	}
	return d.now-d.confirmed <= ConfirmFor || d.outageAgreed()
}

// outageAgreed reports whether every other daemon of the set has lately said that it
// does not hear the platform and knows no later revision. Whoever could have changed
// the set by now is among them or still waits for this daemon's word.
func (d *Dealer) outageAgreed() bool {
	if d.now < d.deafUntil || len(d.current()) < 2 {
		return false // nobody would tell
	}
	for _, name := range d.current() {
		if name == d.self {
			continue
		}
		p, ok := d.peers[name]
		if !ok || !p.linked || p.platform || p.applied > d.applied || d.now-p.heard > hearFor {
			return false
		}
	}
	return true
}

func (d *Dealer) current() []string {
	if len(d.sets) == 0 {
		return nil
	}
	return d.sets[len(d.sets)-1]
}

func (d *Dealer) last() int { return d.first + len(d.sets) - 1 }

// acknowledge notes whether every other daemon of the last set has applied it.
func (d *Dealer) acknowledge() {
	set := d.current()
	if d.known == d.last() || !slices.Contains(set, d.self) {
		return
	}
	for _, name := range set {
		if name == d.self {
			continue
		}
		if p, ok := d.peers[name]; !ok || p.held || p.applied < d.required {
			return
		}
	}
	d.known = d.last()
}

// Share returns how many of a target's slots this daemon may use now.
func (d *Dealer) Share(target string, slots int) int {
	if !d.sure {
		return 0
	}
	t, ok := d.deals[target]
	if !ok {
		t = &deal{set: none, last: none}
		d.deals[target] = t
	}
	settled := false
	if t.set < d.known && d.known >= d.first && d.fits(target, slots) {
		t.set, settled = d.known, true
	}
	if settled || t.last != d.last() || t.slots != slots {
		t.last, t.slots = d.last(), slots
		t.share = d.kept(t.set, target, slots)
	}
	return t.share
}

// fits reports whether the load of every other daemon is within its share of the
// last set that all know.
func (d *Dealer) fits(target string, slots int) bool {
	set := d.sets[d.known-d.first]
	for _, name := range set {
		if name == d.self {
			continue
		}
		p := d.peers[name]
		if p.held {
			return false
		}
		if load := p.loads[target]; load > 0 && load > Part(set, name, target, 0, slots) {
			return false
		}
	}
	return true
}

// kept returns the least share that this daemon has had in the settled set and every
// later one: nobody else can have been given it.
func (d *Dealer) kept(settled int, target string, slots int) int {
	if settled < d.first {
		return 0
	}
	least := slots
	for _, set := range d.sets[settled-d.first:] {
		least = min(least, Part(set, d.self, target, 0, slots))
	}
	return least
}

// Forget drops what is kept of a target that is gone.
func (d *Dealer) Forget(target string) { delete(d.deals, target) }

// Part returns a daemon's part of a target's slots: the daemons stand in the order
// of their rendezvous scores, and the slots are dealt round. A daemon that joins
// never raises another's share. Round changes the order.
func Part(set []string, daemon, target string, round uint64, slots int) int {
	duty := rendezvous.Hash(target)
	own := scored{daemon, rendezvous.Score(rendezvous.Hash(daemon), duty, round)}
	found, position := false, 0
	for _, name := range set {
		if name == daemon {
			found = true
		} else if before(scored{name, rendezvous.Score(rendezvous.Hash(name), duty, round)}, own) < 0 {
			position++
		}
	}
	if !found || position >= slots {
		return 0
	}
	return (slots - position + len(set) - 1) / len(set)
}

func before(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}
