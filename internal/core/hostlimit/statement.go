// Package hostlimit divides the rates of requests that hosts in need can take among daemons.
//
// A host names a limit in its answers, for as long as it needs one. Each daemon knows what it hears
// itself and what others tell it. A limit is divided among a bounded number of daemons by
// rendezvous, by the demand that they tell each other: a part of it equally, so that each can begin
// to send at once. The package has no clock, randomness or I/O.
package hostlimit

import (
	"math"
	"time"
)

// minChange is the least relative change of a limit that is reported as one. A smaller one applies as
// well, but is not worth a message to all daemons.
const minChange = 0.1

// Statement is what a host stated about its limit in one answer.
type Statement struct {
	Host        string
	Incarnation int64
	// InReport is set for the answer to a report request. A host may name its limit only in answers to
	// other requests; then a report without one says nothing.
	InReport bool
	// PerSecond is the number of requests a second that the host takes from all daemons together;
	// zero if it names no limit.
	PerSecond float64
	// AsOf is when the request was sent that the host answered. Answers may overtake each other:
	// the statement of the request that was sent last is the newest.
	AsOf time.Duration
}

// Change is how a statement changed what is known of a host.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Began
	Altered // the host names another limit
	Ended
)

// String returns the change as it appears in logs.
func (c Change) String() string { return [...]string{"unchanged", "began", "altered", "ended"}[c] }

// Host is what is known of one incarnation of a host that names a limit, or did so a moment ago.
type Host struct {
	id          string
	incarnation int64
	limit       float64 // requests per second; the last one if it has ended
	reported    float64 // the limit that Record last reported as a change
	asOf        time.Duration
	inReports   bool          // it names its limit in reports as well
	ended       bool          // it names none any more
	endedAt     time.Duration // when this daemon learnt of that, if ended

	sentAt time.Duration // when this daemon last sent it a request
	part   part
	// first are the daemons that may get a part, in the order in which they are responsible for the
	// host, and rank is this daemon's place among all; both for rankedFor of the daemons' versions.
	first     []string
	rank      int
	rankedFor uint64
}

// Limit returns the limit in force in requests per second, or zero.
func (h *Host) Limit() float64 {
	if h == nil || h.ended {
		return 0
	}
	return h.limit
}

// Limits are the limits of all hosts. It is not safe for concurrent use.
type Limits struct {
	self       string
	hosts      map[string]*Host
	candidates []candidate // the known daemons
	// generation rises when hosts, their limits or the daemons change.
	generation     uint64
	daemonsVersion uint64                // rises when candidates change
	demand         map[string]*rateMeter // of this daemon, by service
	peers          map[string]peerDemand // by daemon
	// told is the demand that this daemon last told the others, at toldAt; zero if it has not.
	told   map[string]float64
	toldAt time.Duration
	// news are statements that this daemon has heard itself and not told yet, by host. urgent is set if
	// one of them changed something.
	news   map[string]Statement
	urgent bool
}

// New returns the Limits of a daemon, without any.
func New(self string) *Limits {
	return &Limits{
		self: self, generation: 1, hosts: make(map[string]*Host), demand: make(map[string]*rateMeter),
		peers: make(map[string]peerDemand), news: make(map[string]Statement),
	}
}

// Generation rises when hosts, their limits or the daemons change.
func (l *Limits) Generation() uint64 { return l.generation }

// Host returns what is known of an incarnation of a host, or nil if it has no limit.
func (l *Limits) Host(id string, incarnation int64) *Host {
	if h := l.hosts[id]; h != nil && h.incarnation == incarnation {
		return h
	}
	return nil
}

// InForce returns the number of hosts that name a limit.
func (l *Limits) InForce() int {
	n := 0
	for _, h := range l.hosts {
		if h.Limit() > 0 {
			n++
		}
	}
	return n
}

// Record records a statement and returns what it changed, and the limit that was in force before. own
// is set if this daemon heard it from the host; it is told to the others.
func (l *Limits) Record(now time.Duration, s Statement, own bool) (change Change, before float64) {
	change, before, isNew := l.record(now, s)
	if change != Unchanged {
		l.generation++
	}
	if own && isNew {
		l.news[s.Host] = s
		l.urgent = l.urgent || change != Unchanged
	}
	return change, before
}

// record also reports whether the statement is newer than what was known.
func (l *Limits) record(now time.Duration, s Statement) (change Change, before float64, isNew bool) {
	h := l.hosts[s.Host]
	if h != nil && h.incarnation < s.Incarnation {
		delete(l.hosts, s.Host)
		l.generation++
		h = nil
	}
	switch {
	case h == nil && s.PerSecond > 0 && len(l.hosts) < maxHosts:
		l.hosts[s.Host] = &Host{id: s.Host, incarnation: s.Incarnation, limit: s.PerSecond, reported: s.PerSecond, asOf: s.AsOf, inReports: s.InReport}
		return Began, 0, true
	case h == nil, h.incarnation > s.Incarnation:
		return Unchanged, 0, false
	}
	before = h.Limit()
	h.inReports = h.inReports || s.InReport && s.PerSecond > 0
	if s.AsOf <= h.asOf || s.InReport && !h.inReports {
		return Unchanged, before, false
	}
	h.asOf = s.AsOf
	switch {
	case s.PerSecond <= 0 && before > 0:
		h.ended, h.endedAt = true, now
		return Ended, before, true
	case s.PerSecond <= 0:
		return Unchanged, 0, true
	case before > 0 && math.Abs(s.PerSecond-h.reported) < minChange*h.reported:
		h.limit = s.PerSecond
		return Unchanged, before, true
	case before > 0:
		before, h.limit, h.reported = h.reported, s.PerSecond, s.PerSecond
		return Altered, before, true
	}
	h.limit, h.reported, h.ended = s.PerSecond, s.PerSecond, false
	return Began, 0, true
}
