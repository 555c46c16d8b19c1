// Package hostlimit divides the rates of requests that hosts in need can take among daemons.
//
// A host names a limit in its answers, for as long as it needs one. Each daemon knows what it hears
// itself and what others tell it. A limit is divided among a bounded number of daemons by
// rendezvous, by the demand that they tell each other: a part of it equally, so that each can begin
// to send at once. The package has no clock, randomness or I/O.
package hostlimit

import "time"

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
	asOf        time.Duration
	inReports   bool          // it names its limit in reports as well
	ended       bool          // it names none any more
	endedAt     time.Duration // when this daemon learnt of that, if ended
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
	hosts map[string]*Host
}

// New returns Limits without any.
func New() *Limits { return &Limits{hosts: make(map[string]*Host)} }

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

// Record records a statement and returns what it changed, and the limit that was in force before.
func (l *Limits) Record(now time.Duration, s Statement) (change Change, before float64) {
	h := l.hosts[s.Host]
	if h != nil && h.incarnation != s.Incarnation {
		if h.incarnation > s.Incarnation {
			return Unchanged, 0 // of an earlier run of the host
		}
		delete(l.hosts, s.Host)
		h = nil
	}
	if h == nil {
		if s.PerSecond <= 0 {
			return Unchanged, 0
		}
		l.hosts[s.Host] = &Host{id: s.Host, incarnation: s.Incarnation, limit: s.PerSecond, asOf: s.AsOf, inReports: s.InReport}
		return Began, 0
	}
	h.inReports = h.inReports || s.InReport && s.PerSecond > 0
	if s.AsOf <= h.asOf || s.InReport && !h.inReports {
		return Unchanged, h.Limit()
	}
	before, h.asOf = h.Limit(), s.AsOf
	switch {
	case s.PerSecond <= 0 && before > 0:
		h.ended, h.endedAt = true, now
		return Ended, before
	case s.PerSecond <= 0 || s.PerSecond == before:
		return Unchanged, before
	}
	h.limit, h.ended = s.PerSecond, false
	if before > 0 {
		return Altered, before
	}
	return Began, 0
}
