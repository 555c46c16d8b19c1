// Package member keeps the membership of the cluster as one daemon sees it: which daemons are
// live, which revision of the configuration each has applied, and which of them is the owner
// of a duty. Other parts of the daemon use it to divide work among the daemons and to decide
// whether this daemon may serve.
//
// A peer becomes live when a link to it opens. It stops being live when the link closes or
// when no heartbeat has arrived within its timeout. A daemon that is not live may still be
// serving, unless it has announced that it stops or the configuration no longer lists it; such
// daemons are reported as unknown.
//
// After this daemon was paused, it starts no work until it has proof that it has missed no
// change of the configuration, and a daemon that is cut off from the platform and from most
// other daemons starts none either. See MayServe.
//
// Times are monotonic and count from the start of this daemon. Call Advance at the start of
// each step, so that unresponsive daemons are found before anything is decided that depends on
// them.
package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// heartbeatIntervalPerDaemon times the number of live daemons is the least interval
	// between the heartbeats of a daemon. It limits the heartbeat traffic of a large cluster.
	heartbeatIntervalPerDaemon = 15 * time.Millisecond
	// livenessCheckInterval is the interval between two checks for unresponsive daemons.
	livenessCheckInterval = 20 * time.Millisecond
	// minMissedHeartbeats is the least number of its own heartbeat intervals that a daemon may
	// be unresponsive before it is no longer live.
	minMissedHeartbeats = 3
	// lateFraction is the fraction of the timeout of a daemon after which its heartbeat is
	// late.
	lateFraction = 2.0 / 3
	// queryDelay is how long a peer must have been ahead before it is queried for what this
	// daemon lacks. The watch of the platform should bring the same within this time. While
	// the platform is unreachable, the peer is queried at once.
	queryDelay = 300 * time.Millisecond
	// queryInterval is the least interval between two queries for a delta, unless something
	// new has arrived since the last one.
	queryInterval = time.Second
)

// Settings are the timing of the membership.
type Settings struct {
	// HeartbeatInterval is the interval between this daemon's heartbeats. In a large cluster
	// it is longer; see Table.Interval.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long a daemon without a heartbeat counts as live. A peer whose
	// heartbeat interval has grown with the cluster has longer. A gap of this length between
	// two steps counts as a pause of this daemon.
	HeartbeatTimeout time.Duration
}

// Defaults returns the default timing.
func Defaults() Settings {
	return Settings{HeartbeatInterval: 500 * time.Millisecond, HeartbeatTimeout: 2 * time.Second}
}

// Table is the membership as one daemon sees it. Create it with New.
type Table struct {
	self  string
	set   Settings
	peers map[string]*peer
	// possiblyServing are the daemons that may be serving, live or not. listed are the daemons
	// that the configuration lists.
	possiblyServing map[string]bool
	listed          map[string]bool
	live            []string // sorted, including this daemon
	// candidates are the live daemons that are not leaving, which share the duties. They are
	// nil when they have to be computed again.
	candidates  []ownerCandidate
	nextCheckAt time.Duration // when to check for unresponsive daemons again
	now         time.Duration
	// changedAt is when membership last changed: a daemon became live or stopped being live,
	// was linked as a new run, or this daemon was paused.
	changedAt time.Duration
	// ownHeartbeat is the last heartbeat that was sent, with Applied and Newest as of the last
	// Tick.
	ownHeartbeat  step.Heartbeat
	sentAt        time.Duration // when it was sent
	heartbeatSent bool          // false if the next Tick must send a heartbeat
	// queriedAt is when a peer was last queried for a delta, zero if something new has arrived
	// since.
	queriedAt         time.Duration
	platformReachable bool
	proof             proofState
	// watermark is the highest value that lowestApplied has had.
	watermark object.Version
}

// peer is what is known about one run of another daemon.
type peer struct {
	incarnation string
	address     string
	dataCentre  string
	linked      bool           // a link to it is open
	lastSeenAt  time.Duration  // when its link opened or its last heartbeat arrived
	heartbeat   step.Heartbeat // the last one, empty if none has arrived
	aheadSince  time.Duration  // since when ahead has been set
	ahead       bool           // it has objects or a revision that this daemon lacks
}

// New returns the membership of a daemon that has no link yet.
func New(self string, set Settings) *Table {
	return &Table{
		self:            self,
		set:             set,
		peers:           make(map[string]*peer),
		possiblyServing: map[string]bool{self: true},
		live:            []string{self},
	}
}

// Interval returns the interval between this daemon's heartbeats.
func (t *Table) Interval() time.Duration {
	return max(t.set.HeartbeatInterval, time.Duration(len(t.live))*heartbeatIntervalPerDaemon)
}

// peerTimeout returns how long a peer may be without a heartbeat before it is no longer live.
func (t *Table) peerTimeout(p *peer) time.Duration {
	if p.heartbeat.Incarnation == "" {
		return max(t.set.HeartbeatTimeout, minMissedHeartbeats*t.Interval())
	}
	return max(t.set.HeartbeatTimeout, minMissedHeartbeats*p.heartbeat.Every)
}

// lateAge returns the age from which a heartbeat is late and membership is not settled.
func (*Table) lateAge(timeout time.Duration) time.Duration {
	return time.Duration(float64(timeout) * lateFraction)
}

// settleDelay returns how long membership is not settled after a change. The daemons on the
// other side of a cut link see the change within this time too.
func (t *Table) settleDelay() time.Duration {
	return max(t.set.HeartbeatTimeout, minMissedHeartbeats*t.Interval()) + t.Interval()
}

// Advance sets the time and removes unresponsive daemons from the live ones.
func (t *Table) Advance(now time.Duration, out *step.Out) {
	gap := now - t.now
	t.now = max(t.now, now)
	if gap >= t.set.HeartbeatTimeout {
		t.onPause(gap, out)
	}
	if t.now < t.nextCheckAt {
		return
	}
	t.nextCheckAt = t.now + livenessCheckInterval
	var unresponsive []string
	for _, name := range t.live {
		if p, ok := t.peers[name]; ok && t.now-p.lastSeenAt > t.peerTimeout(p) {
			unresponsive = append(unresponsive, name)
		}
	}
	for _, name := range unresponsive {
		out.Log(event.PeerUnresponsive, event.F("peer", name), event.F("silence", t.now-t.peers[name].lastSeenAt))
		t.removeLive(name)
	}
}

// PeerUp records that a link to a daemon opened. The daemon is live until its heartbeats stop
// or the link closes.
func (t *Table) PeerUp(u step.PeerUp, out *step.Out) {
	if u.Daemon == t.self {
		return
	}
	p := t.peers[u.Daemon]
	if p == nil || p.incarnation != u.Incarnation {
		p = &peer{}
		t.peers[u.Daemon] = p
		t.changedAt = t.now
		t.candidates = nil
	}
	p.incarnation, p.address, p.dataCentre = u.Incarnation, u.Address, u.DataCentre
	p.linked = true
	p.lastSeenAt = t.now
	t.possiblyServing[u.Daemon] = true
	t.addLive(u.Daemon)
	// A new peer needs this daemon's heartbeat at once, to learn which revision it has
	// applied.
	t.heartbeatSent = false
	out.Log(event.PeerLinked, event.F("peer", u.Daemon), event.F("incarnation", u.Incarnation), event.F("address", u.Address))
}

// PeerDown records that the link to a daemon closed. The daemon is no longer live.
func (t *Table) PeerDown(d step.PeerDown, out *step.Out) {
	p := t.peers[d.Daemon]
	if p == nil || !p.linked {
		return
	}
	p.linked = false
	out.Log(event.PeerLost, event.F("peer", d.Daemon))
	t.removeLive(d.Daemon)
}

// Heartbeat records the heartbeat of a daemon. One of an earlier run is ignored.
func (t *Table) Heartbeat(from string, h step.Heartbeat) {
	p := t.peers[from]
	if p == nil {
		return
	}
	if p.incarnation != h.Incarnation {
		return // of another run
	}
	p.lastSeenAt = t.now
	if p.heartbeat.Leaving != h.Leaving {
		t.candidates = nil
	}
	p.heartbeat = h
	t.possiblyServing[from] = true
	if p.linked {
		t.addLive(from)
	}
}

// Goodbye records that a daemon stops. It gets no duties any more and is not unknown once it
// is no longer live.
func (t *Table) Goodbye(from string, g step.Goodbye) {
	p := t.peers[from]
	if p == nil || p.incarnation != g.Incarnation {
		return
	}
	p.heartbeat.Leaving = true
	t.candidates = nil
	delete(t.possiblyServing, from)
}

// SetPlatform sets whether this daemon reaches the platform. An answer to a call that was sent
// after the last pause proves that this daemon has missed no change.
func (t *Table) SetPlatform(s step.PlatformState) {
	t.platformReachable = s.Reachable
	if s.Reachable && s.Asked > t.proof.pausedAt {
		t.proof.needed = false
	}
}

// SetListed sets the daemons that the configuration in force lists. A daemon that is listed,
// not live and has not announced that it stops is unknown, since it may be serving without a
// link to this one.
func (t *Table) SetListed(names []string) {
	t.listed = make(map[string]bool, len(names))
	t.possiblyServing = map[string]bool{t.self: true}
	for _, name := range names {
		t.listed[name] = true
		if t.isLive(name) || !t.isLeaving(name) {
			t.possiblyServing[name] = true
		}
	}
	for _, name := range t.live {
		if !t.isLeaving(name) {
			t.possiblyServing[name] = true
		}
	}
}

// Tick sends this daemon's heartbeat when it is due, queries a peer that is ahead, and asks
// for proof after a pause. It fills in Platform and Every of the heartbeat.
func (t *Table) Tick(own step.Heartbeat, out *step.Out) {
	own.Platform = t.platformReachable
	interval := t.Interval()
	if interval > t.set.HeartbeatInterval {
		own.Every = interval
	}
	due := !t.heartbeatSent || t.now-t.sentAt >= interval || own.Newest > t.ownHeartbeat.Newest ||
		own.Platform != t.ownHeartbeat.Platform || own.Leaving != t.ownHeartbeat.Leaving
	if own.Applied > t.ownHeartbeat.Applied || own.Newest > t.ownHeartbeat.Newest {
		t.queriedAt = 0 // something new has arrived
	}
	t.ownHeartbeat.Applied, t.ownHeartbeat.Newest = own.Applied, own.Newest
	if due {
		if own.Leaving != t.ownHeartbeat.Leaving {
			t.candidates = nil
		}
		t.ownHeartbeat = own
		t.sentAt, t.heartbeatSent = t.now, true
		out.Add(step.SendPeer{Message: own})
	}
	t.watermark = max(t.watermark, t.lowestApplied())
	t.queryDelta(out)
	t.queryProof(out)
}

// linkedPeers returns the daemons with an open link, in the order of their rendezvous scores
// for this daemon.
func (t *Table) linkedPeers() []string {
	var names []string
	for name, p := range t.peers {
		if p.linked {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b, t.self), score(a, t.self)), cmp.Compare(a, b))
	})
	return names
}

// queryDelta queries one live peer for the changes that this daemon lacks, if a peer has been
// ahead for queryDelay or the platform is unreachable.
func (t *Table) queryDelta(out *step.Out) {
	best := ""
	for _, name := range t.live {
		p := t.peers[name]
		if p == nil {
			continue
		}
		if !t.isAhead(p) {
			p.ahead = false
			continue
		}
		if !p.ahead {
			p.ahead, p.aheadSince = true, t.now
		}
		if t.now-p.aheadSince < queryDelay && t.platformReachable {
			continue
		}
		if best == "" || t.betterSource(name, best) {
			best = name
		}
	}
	if best == "" || (t.queriedAt > 0 && t.now-t.queriedAt < queryInterval) {
		return
	}
	t.queriedAt = t.now
	out.Add(step.SendPeer{To: best, Message: step.ConfigAsk{Applied: t.ownHeartbeat.Applied}})
}

// isAhead reports whether a peer has an object or a revision that this daemon can use.
func (t *Table) isAhead(p *peer) bool {
	return p.heartbeat.Newest > t.ownHeartbeat.Applied && (p.heartbeat.Applied > t.ownHeartbeat.Applied || p.heartbeat.Newest > t.ownHeartbeat.Newest)
}

// betterSource reports whether a is a better peer to query than b: a knows newer objects, or
// has applied a later revision, or, among equals, has the higher rendezvous score for this
// daemon, which spreads the queries over the peers.
func (t *Table) betterSource(a, b string) bool {
	x, y := t.peers[a].heartbeat, t.peers[b].heartbeat
	if x.Newest != y.Newest {
		return x.Newest > y.Newest
	}
	if x.Applied != y.Applied {
		return x.Applied > y.Applied
	}
	return score(a, t.self) > score(b, t.self)
}

// addLive adds a daemon to the live ones.
func (t *Table) addLive(name string) {
	at, found := slices.BinarySearchFunc(t.live, name, strings.Compare)
	if found {
		return
	}
	t.live = slices.Insert(t.live, at, name)
	t.changedAt = t.now
	t.candidates = nil
}

// removeLive removes a daemon from the live ones.
func (t *Table) removeLive(name string) {
	at, found := slices.BinarySearchFunc(t.live, name, strings.Compare)
	if !found {
		return
	}
	t.live = slices.Delete(t.live, at, at+1)
	t.changedAt = t.now
	t.candidates = nil
	t.peers[name].ahead = false
}

// isLeaving reports whether a daemon has announced that it stops.
func (t *Table) isLeaving(name string) bool {
	if name == t.self {
		return t.ownHeartbeat.Leaving
	}
	p := t.peers[name]
	return p != nil && p.heartbeat.Leaving
}
