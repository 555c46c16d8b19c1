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
	// maxSets limits the sets of daemons that are kept while the deal of a target is not
	// settled. A target whose settled set is no longer kept gets no slots until its deal is
	// settled again.
	maxSets = 64
	// noSet is the number of no set.
	noSet = -1
	// pauseThreshold is the time between two steps from which this daemon counts as having
	// been paused. For pauseRecoveryDelay after a pause there is no agreement in an outage,
	// since the heartbeats that arrive then may have waited in the sockets during the pause.
	pauseThreshold     = 2 * time.Second
	pauseRecoveryDelay = 5 * time.Second
)

// Dealer deals the slots of cold targets over the daemons.
type Dealer struct {
	self, incarnation string
	// sets are the last sets of daemons, oldest first. Each is sorted. Sets are numbered in
	// the order of their arrival, and firstSet is the number of the oldest that is kept.
	sets     [][]string
	firstSet int
	// acknowledgedSet is the number of the last set that all of its other daemons have
	// applied.
	acknowledgedSet int
	// requiredRevision is the revision that a daemon must have applied to know the last set.
	requiredRevision object.Version
	// applied is the revision of the configuration in force at this daemon.
	applied object.Version
	// ownObjectInvalid is set while this daemon's object is marked as leaving or belongs to
	// another run.
	ownObjectInvalid bool
	// runConfirmed is set once a recent call to the platform has been answered since this run
	// started, or since it was last paused for ConfirmationMaxAge. Before that, another run of
	// the same name may have replaced this one.
	runConfirmed bool
	// confirmedAt is when the platform call was sent that last proved the configuration
	// current.
	confirmedAt      time.Duration
	holdOffUntil     time.Duration // no slots are used before
	noAgreementUntil time.Duration // no agreement in an outage before
	now              time.Duration
	valid            bool // as of the last Advance; see Valid
	peers            map[string]*peer
	targets          map[string]*targetState // by target name
}

// peer is what another daemon has reported.
type peer struct {
	lastHeartbeatAt   time.Duration
	linked            bool           // no loss of the link since the last heartbeat
	applied           object.Version // revision of the configuration in force there
	platformReachable bool           // it reaches the platform
	// holdingOff is set while an earlier run of the same name may still be running. Nothing is
	// known about that run.
	holdingOff bool
	loads      map[string]int // requests in flight by target
}

// targetState is the state of the deal of one target. The deal is settled for a set once all
// daemons of the set have acknowledged it and their loads fit their shares.
type targetState struct {
	settledSet  int // number of the last set for which the deal was settled
	computedSet int // number of the last set when share was computed
	slots       int // slots of the target when share was computed
	share       int // slots of this daemon
}

// scoredDaemon is a daemon with its rendezvous score for a target.
type scoredDaemon struct {
	name  string
	score uint64
}

// NewDealer returns the dealer of one run of a daemon. It has no set of daemons yet and
// therefore deals no slots.
func NewDealer(self, incarnation string) *Dealer {
	return &Dealer{self: self, incarnation: incarnation, acknowledgedSet: noSet, peers: make(map[string]*peer), targets: make(map[string]*targetState)}
}

// StartHoldOff records that this run replaces a run of the same name that may still be
// running. This run uses no slots for HoldOffDelay.
func (d *Dealer) StartHoldOff() { d.holdOffUntil = d.now + HoldOffDelay }

// HoldingOff reports whether this run uses no slots because an earlier run may still be
// running. The heartbeat reports it to the other daemons.
func (d *Dealer) HoldingOff() bool { return d.now < d.holdOffUntil }

// Confirm records that a call to the platform, sent at sent, proved the applied configuration
// current.
func (d *Dealer) Confirm(sent time.Duration) {
	d.confirmedAt = max(d.confirmedAt, sent)
	d.runConfirmed = d.runConfirmed || d.now-sent < ConfirmationMaxAge
}

// SetDaemons sets the daemon objects of the configuration in force. If their names differ from
// the last set, a new set starts.
func (d *Dealer) SetDaemons(applied object.Version, daemons []object.Object) {
	d.applied = applied
	d.ownObjectInvalid = false
	names := make([]string, 0, len(daemons))
	var newest object.Version
	for _, o := range daemons {
		if o.Deleted() {
			continue
		}
		names = append(names, o.Name)
		newest = max(newest, o.Version)
		if v, ok := o.Value.(*object.Daemon); ok && o.Name == d.self {
			d.ownObjectInvalid = v.Leaving || v.Incarnation != d.incarnation
		}
	}
	slices.Sort(names)
	if len(d.sets) > 0 && slices.Equal(names, d.sets[len(d.sets)-1]) {
		return
	}
	d.requiredRevision = newest
	d.sets = append(d.sets, names)
	if len(d.sets) > maxSets {
		d.sets = slices.Delete(d.sets, 0, 1)
		d.firstSet++
	}
	d.acknowledge()
}

// Advance sets the time and checks whether the deal of this daemon is valid. Call it at the
// start of each step.
func (d *Dealer) Advance(now time.Duration) {
	if now-d.now >= pauseThreshold {
		d.noAgreementUntil = now + pauseRecoveryDelay
	}
	if now-d.now >= ConfirmationMaxAge {
		d.runConfirmed = false
	}
	d.now = max(d.now, now)
	d.valid = d.checkValid()
}

// PeerDown records that the link to a daemon closed.
func (d *Dealer) PeerDown(daemon string) {
	if p, ok := d.peers[daemon]; ok {
		p.linked = false
	}
}

// Heartbeat records the heartbeat of a peer.
func (d *Dealer) Heartbeat(from string, h step.Heartbeat) {
	p, ok := d.peers[from]
	if !ok {
		p = &peer{}
		d.peers[from] = p
	}
	p.lastHeartbeatAt, p.linked = d.now, true
	p.applied, p.platformReachable, p.holdingOff = h.Applied, h.Platform, h.Held
	p.loads = make(map[string]int, len(h.Loads))
	for _, load := range h.Loads {
		p.loads[load.Target] = load.InFlight
	}
	d.acknowledge()
}

// Acknowledged reports whether all other daemons of some set that contains this daemon have
// acknowledged that set.
func (d *Dealer) Acknowledged() bool { return d.acknowledgedSet != noSet }

// Daemons returns the daemons that the slots are dealt over, sorted. The slice must not be
// changed.
func (d *Dealer) Daemons() []string { return d.currentSet() }

// Valid reports whether, as of the last Advance, the other daemons still respect the deal that
// this daemon knows. While it is false, this daemon uses no slots.
func (d *Dealer) Valid() bool { return d.valid }

// checkValid computes Valid by rule 1 of the package.
func (d *Dealer) checkValid() bool {
	if d.ownObjectInvalid || d.HoldingOff() || !slices.Contains(d.currentSet(), d.self) {
		return false
	}
	if !d.runConfirmed {
		return false
	}
	return d.now-d.confirmedAt <= ConfirmationMaxAge || d.outageAgreed()
}

// outageAgreed reports whether every other daemon of the set has recently reported that it
// does not reach the platform and has applied no later revision. Any daemon that could have
// changed the set by now is one of them, or still waits for an acknowledgement by this daemon.
func (d *Dealer) outageAgreed() bool {
	if d.now < d.noAgreementUntil || len(d.currentSet()) < 2 {
		return false // heartbeats may be old, or no other daemon could report a change
	}
	for _, name := range d.currentSet() {
		if name == d.self {
			continue
		}
		p, ok := d.peers[name]
		if !ok || !p.linked || p.platformReachable || p.applied > d.applied || d.now-p.lastHeartbeatAt > heartbeatMaxAge {
			return false
		}
	}
	return true
}

// currentSet returns the last set of daemons, nil if there is none.
func (d *Dealer) currentSet() []string {
	if len(d.sets) == 0 {
		return nil
	}
	return d.sets[len(d.sets)-1]
}

// lastSet returns the number of the last set.
func (d *Dealer) lastSet() int { return d.firstSet + len(d.sets) - 1 }

// acknowledge records the last set as acknowledged if every other daemon of it has applied it.
func (d *Dealer) acknowledge() {
	set := d.currentSet()
	if d.acknowledgedSet == d.lastSet() || !slices.Contains(set, d.self) {
		return
	}
	for _, name := range set {
		if name == d.self {
			continue
		}
		if p, ok := d.peers[name]; !ok || p.holdingOff || p.applied < d.requiredRevision {
			return
		}
	}
	d.acknowledgedSet = d.lastSet()
}

// Share returns how many of a target's slots this daemon may use now.
func (d *Dealer) Share(target string, slots int) int {
	if !d.valid {
		return 0
	}
	st, ok := d.targets[target]
	if !ok {
		st = &targetState{settledSet: noSet, computedSet: noSet}
		d.targets[target] = st
	}
	settled := false
	if st.settledSet < d.acknowledgedSet && d.acknowledgedSet >= d.firstSet && d.loadsFit(target, slots) {
		st.settledSet, settled = d.acknowledgedSet, true
	}
	if settled || st.computedSet != d.lastSet() || st.slots != slots {
		st.computedSet, st.slots = d.lastSet(), slots
		st.share = d.leastShare(st.settledSet, target, slots)
	}
	return st.share
}

// loadsFit reports whether the load of every other daemon is within its share in the last
// acknowledged set.
func (d *Dealer) loadsFit(target string, slots int) bool {
	set := d.sets[d.acknowledgedSet-d.firstSet]
	for _, name := range set {
		if name == d.self {
			continue
		}
		p := d.peers[name]
		if p.holdingOff {
			return false
		}
		if load := p.loads[target]; load > 0 && load > ShareOf(set, name, target, 0, slots) {
			return false
		}
	}
	return true
}

// leastShare returns the smallest share that this daemon has had in the settled set and every
// later one. No other daemon can have been given these slots.
func (d *Dealer) leastShare(settled int, target string, slots int) int {
	if settled < d.firstSet {
		return 0
	}
	share := slots
	for _, set := range d.sets[settled-d.firstSet:] {
		share = min(share, ShareOf(set, d.self, target, 0, slots))
	}
	return share
}

// Forget removes the state of a target that no longer exists.
func (d *Dealer) Forget(target string) { delete(d.targets, target) }

// ShareOf returns the number of slots that one daemon of a set gets of a target's slots. The
// slots are dealt one by one to the daemons in the order of their rendezvous scores, starting
// again at the first when all have one more. A daemon that joins the set never raises the
// share of another one. Another round gives another order.
func ShareOf(set []string, daemon, target string, round uint64, slots int) int {
	duty := rendezvous.Hash(target)
	own := scoredDaemon{daemon, rendezvous.Score(rendezvous.Hash(daemon), duty, round)}
	found, position := false, 0
	for _, name := range set {
		if name == daemon {
			found = true
		} else if compareScores(scoredDaemon{name, rendezvous.Score(rendezvous.Hash(name), duty, round)}, own) < 0 {
			position++
		}
	}
	if !found || position >= slots {
		return 0
	}
	return (slots - position + len(set) - 1) / len(set)
}

// compareScores orders daemons by score, the highest first, and by name among equals.
func compareScores(a, b scoredDaemon) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}
