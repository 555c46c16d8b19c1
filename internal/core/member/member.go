// Package member keeps the live daemons: who is linked, heard and how far it is.
//
// Times are monotonic times since this daemon started. Call Advance at the start of
// each step, so that silence is seen before anything is decided on it.
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
	// heartbeatShare is the least part of the interval between heartbeats for each
	// live daemon. It bounds the traffic of a large cluster.
	heartbeatShare = 15 * time.Millisecond
	// lookEvery is the interval between two looks for silent daemons.
	lookEvery = 20 * time.Millisecond
	// silentBeats is for how many of its own intervals a daemon may at least be silent.
	silentBeats = 3
	// lateBound is the share of the silence bound after which a heartbeat is late.
	lateBound = 2.0 / 3
	// askAfter leaves the watch time to bring what a peer already has.
	askAfter = 300 * time.Millisecond
	// askEvery is the least time between two asks for a delta.
	askEvery = time.Second
)

// Settings are the membership's times.
type Settings struct {
	// Heartbeat is the interval between this daemon's heartbeats; in a large cluster
	// it is longer.
	Heartbeat time.Duration
	// Silence is how long a daemon counts as live without a heartbeat.
	Silence time.Duration
}

// Defaults returns the default times.
func Defaults() Settings {
	return Settings{Heartbeat: 500 * time.Millisecond, Silence: 2 * time.Second}
}

// Table is the membership as one daemon sees it. The zero value is not usable; see New.
type Table struct {
	self  string
	set   Settings
	peers map[string]*peer
	// known are the daemons that may be serving, live or not; listed are those that
	// the configuration lists.
	known  map[string]bool
	listed map[string]bool
	live   []string // sorted, with self
	// dutiful are the live daemons that are not leaving, which share the duties;
	// nil when they have to be gathered anew.
	dutiful  []dutiful
	lookAt   time.Duration // when silent daemons are looked for again
	now      time.Duration
	changed  time.Duration // when membership last changed
	own      step.Heartbeat
	sent     time.Duration // when the last heartbeat was sent
	sentAny  bool
	asked    time.Duration
	platform bool
	proof    proof
	// watermark is the highest lowest revision seen.
	watermark object.Version
}

type peer struct {
	incarnation string
	address     string
	dataCentre  string
	linked      bool
	heard       time.Duration
	beat        step.Heartbeat
	behind      time.Duration // since when the peer has been seen ahead of this daemon
	ahead       bool
}

// New returns the membership of a daemon that has met nobody.
func New(self string, set Settings) *Table {
	return &Table{
		self:  self,
		set:   set,
		peers: make(map[string]*peer),
		known: map[string]bool{self: true},
		live:  []string{self},
	}
}

// Interval returns the time between this daemon's heartbeats.
func (t *Table) Interval() time.Duration {
	return max(t.set.Heartbeat, time.Duration(len(t.live))*heartbeatShare)
}

// silentAfter returns how long a peer may be silent before it is no longer live.
func (t *Table) silentAfter(p *peer) time.Duration {
	if p.beat.Incarnation == "" {
		return max(t.set.Silence, silentBeats*t.Interval())
	}
	return max(t.set.Silence, silentBeats*p.beat.Every)
}

// lateAfter returns the age of a heartbeat from which membership is unsure.
func (*Table) lateAfter(silence time.Duration) time.Duration {
	return time.Duration(float64(silence) * lateBound)
}

// settle returns how long membership stays unsure after a change: long enough for the
// other side of a cut link to have seen the change too.
func (t *Table) settle() time.Duration {
	return max(t.set.Silence, silentBeats*t.Interval()) + t.Interval()
}

// Advance sets the time and lets silent daemons go.
func (t *Table) Advance(now time.Duration, out *step.Out) {
	gap := now - t.now
	t.now = max(t.now, now)
	if gap >= t.set.Silence {
		t.pause(gap, out)
	}
	if t.now < t.lookAt {
		return
	}
	t.lookAt = t.now + lookEvery
	var silent []string
	for _, name := range t.live {
		if p, ok := t.peers[name]; ok && t.now-p.heard > t.silentAfter(p) {
			silent = append(silent, name)
		}
	}
	for _, name := range silent {
		out.Log(event.PeerSilent, event.F("peer", name), event.F("silence", t.now-t.peers[name].heard))
		t.drop(name)
	}
}

// Up takes up a link to a daemon. It counts as live until its heartbeats cease.
func (t *Table) Up(u step.PeerUp, out *step.Out) {
	if u.Daemon == t.self {
		return
	}
	p := t.peers[u.Daemon]
	if p == nil || p.incarnation != u.Incarnation {
		p = &peer{}
		t.peers[u.Daemon] = p
		t.changed = t.now
		t.dutiful = nil
	}
	p.incarnation, p.address, p.dataCentre = u.Incarnation, u.Address, u.DataCentre
	p.linked = true
	p.heard = t.now
	t.known[u.Daemon] = true
	t.admit(u.Daemon)
	// A new peer needs to know at once how far this daemon is.
	t.sentAny = false
	out.Log(event.PeerLinked, event.F("peer", u.Daemon), event.F("incarnation", u.Incarnation), event.F("address", u.Address))
}

// Down takes up the end of a link.
func (t *Table) Down(d step.PeerDown, out *step.Out) {
	p := t.peers[d.Daemon]
	if p == nil || !p.linked {
		return
	}
	p.linked = false
	out.Log(event.PeerLost, event.F("peer", d.Daemon))
	t.drop(d.Daemon)
}

// Heartbeat takes up a daemon's heartbeat.
func (t *Table) Heartbeat(from string, h step.Heartbeat) {
	p := t.peers[from]
	if p == nil {
		return
	}
	if p.incarnation != h.Incarnation {
		return // of an earlier run
	}
	p.heard = t.now
	if p.beat.Leaving != h.Leaving {
		t.dutiful = nil
	}
	p.beat = h
	t.known[from] = true
	if p.linked {
		t.admit(from)
	}
}

// Goodbye takes up a daemon's word that it stops.
func (t *Table) Goodbye(from string, g step.Goodbye) {
	p := t.peers[from]
	if p == nil || p.incarnation != g.Incarnation {
		return
	}
	p.beat.Leaving = true
	t.dutiful = nil
	delete(t.known, from)
}

// SetPlatform says whether this daemon hears the platform.
func (t *Table) SetPlatform(s step.PlatformState) {
	t.platform = s.Reachable
	if s.Reachable && s.Asked > t.proof.paused {
		t.proof.wanted = false
	}
}

// SetListed takes up the daemons that the configuration in force lists. One that is
// listed but not live is unknown: it may be serving unseen.
func (t *Table) SetListed(names []string) {
	t.listed = make(map[string]bool, len(names))
	t.known = map[string]bool{t.self: true}
	for _, name := range names {
		t.listed[name] = true
		if t.isLive(name) || !t.leaving(name) {
			t.known[name] = true
		}
	}
	for _, name := range t.live {
		if !t.leaving(name) {
			t.known[name] = true
		}
	}
}

// Tick sends this daemon's heartbeat when it is due and asks a peer that is ahead.
// The heartbeat's Platform and Every are filled in here.
func (t *Table) Tick(own step.Heartbeat, out *step.Out) {
	own.Platform = t.platform
	interval := t.Interval()
	if interval > t.set.Heartbeat {
		own.Every = interval
	}
	due := !t.sentAny || t.now-t.sent >= interval || own.Newest > t.own.Newest ||
		own.Platform != t.own.Platform || own.Leaving != t.own.Leaving
	if own.Applied > t.own.Applied || own.Newest > t.own.Newest {
		t.asked = 0 // an answer came
	}
	t.own.Applied, t.own.Newest = own.Applied, own.Newest
	if due {
		if own.Leaving != t.own.Leaving {
			t.dutiful = nil
		}
		t.own = own
		t.sent, t.sentAny = t.now, true
		out.Add(step.SendPeer{Message: own})
	}
	t.watermark = max(t.watermark, t.lowest())
	t.ask(out)
	t.seekProof(out)
}

// linked returns the daemons with an open link, those first that the rendezvous hash
// assigns to this daemon.
func (t *Table) linked() []string {
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

// ask asks one peer for what this daemon lacks.
func (t *Table) ask(out *step.Out) {
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
			p.ahead, p.behind = true, t.now
		}
		if t.now-p.behind < askAfter && t.platform {
			continue
		}
		if best == "" || t.better(name, best) {
			best = name
		}
	}
	if best == "" || (t.asked > 0 && t.now-t.asked < askEvery) {
		return
	}
	t.asked = t.now
	out.Add(step.SendPeer{To: best, Message: step.ConfigAsk{Applied: t.own.Applied}})
}

// isAhead reports whether a peer has an object or a revision of use to this daemon.
func (t *Table) isAhead(p *peer) bool {
	return p.beat.Newest > t.own.Applied && (p.beat.Applied > t.own.Applied || p.beat.Newest > t.own.Newest)
}

// better reports whether a is a better peer to ask than b: one that knows newer
// objects, is further on or, among equals, the one that the rendezvous hash assigns, which spreads the asks.
func (t *Table) better(a, b string) bool {
	x, y := t.peers[a].beat, t.peers[b].beat
	if x.Newest != y.Newest {
		return x.Newest > y.Newest
	}
	if x.Applied != y.Applied {
		return x.Applied > y.Applied
	}
	return score(a, t.self) > score(b, t.self)
}

func (t *Table) admit(name string) {
	at, found := slices.BinarySearchFunc(t.live, name, strings.Compare)
	if found {
		return
	}
	t.live = slices.Insert(t.live, at, name)
	t.changed = t.now
	t.dutiful = nil
}

func (t *Table) drop(name string) {
	at, found := slices.BinarySearchFunc(t.live, name, strings.Compare)
	if !found {
		return
	}
	t.live = slices.Delete(t.live, at, at+1)
	t.changed = t.now
	t.dutiful = nil
	t.peers[name].ahead = false
}

func (t *Table) leaving(name string) bool {
	if name == t.self {
		return t.own.Leaving
	}
	p := t.peers[name]
	return p != nil && p.beat.Leaving
}
