package fleet

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

// Host is what this daemon knows of one host.
type Host struct {
	Name         string
	Address      string
	Domain       string // fabric domain; empty for a host of a plain service
	DataCentre   string
	Accelerators int
	// Listed tells that the host stands in the platform's list. Leaving is the
	// list's mark; it stays until the host has gone from the list and is silent.
	Listed  bool
	Leaving bool
	// Service tells that the host runs a plain service, which answers beats only.
	Service bool
	// Report is the newest report of any prober.
	Report Report
	// Conn is the connection of this daemon's last answered probe, ConnStatus what
	// was answered there and ConnSent when the probe was sent.
	Conn       uint64
	ConnStatus engineapi.Status
	ConnSent   time.Duration

	previous string // incarnation before the known one
	targets  []*Target
	probed   bool
	probeAt  time.Duration // when the last probe was sent
	failures int           // own probes failed in a row
	owned    bool          // this daemon is its prober by rendezvous
	second   bool          // this daemon is among the next probers
	held     bool          // this daemon controls the host's domain
	unpassed bool          // the last own report is not passed on yet
	changed  bool          // and it is news
	passedAt time.Duration // when an own report was last passed on
	own      Report
	// leavingAs is the incarnation that stood when the leaving mark was first seen.
	leavingAs string
}

// Report is what a prober saw of a host.
type Report struct {
	Seen bool // false before the first report
	OK   bool
	// Sent is when the probe was sent, on this daemon's clock.
	Sent        time.Duration
	Prober      string
	Incarnation string
	Group       string
	Generation  uint64
	Ready       bool
	InFlight    int
	Tokens      int64
	Answered    int64
}

// Fresh reports whether the report proves anything at now.
func (r *Report) Fresh(now time.Duration) bool { return r.Seen && now-r.Sent <= FreshFor }

// same reports whether two reports tell routing the same.
func (r *Report) same(other *Report) bool {
	return r.OK == other.OK && r.Incarnation == other.Incarnation && r.Group == other.Group &&
		r.Generation == other.Generation && r.Ready == other.Ready
}

// supersedes reports whether the report takes the place of old. A failure seen by
// one prober does not undo what another saw a moment ago: one of them may be cut off.
func (r *Report) supersedes(old *Report) bool {
	if !old.Seen {
		return true
	}
	if r.Sent < old.Sent {
		return false
	}
	if !r.OK && old.OK && r.Prober != old.Prober {
		return r.Sent-old.Sent >= standFor
	}
	return true
}

func fromStatus(prober string, r step.HostReport) Report {
	return Report{
		Seen:        true,
		OK:          r.OK,
		Sent:        r.Sent,
		Prober:      prober,
		Incarnation: r.Status.Incarnation,
		Group:       r.Status.Group,
		Generation:  r.Status.Generation,
		Ready:       r.Status.Ready,
		InFlight:    r.Status.InFlight,
		Tokens:      r.Status.QueuedTokens,
		Answered:    r.Status.Answered,
	}
}

func fromPeer(now time.Duration, prober string, r step.MemberReport) Report {
	return Report{
		Seen:        true,
		OK:          r.OK,
		Sent:        now - max(0, r.Age),
		Prober:      prober,
		Incarnation: r.Incarnation,
		Group:       r.Group,
		Generation:  r.Generation,
		Ready:       r.Ready,
		InFlight:    r.InFlight,
		Tokens:      r.Tokens,
		Answered:    r.Answered,
	}
}

func (r *Report) message(now time.Duration, host string) step.MemberReport {
	return step.MemberReport{
		Host:        host,
		OK:          r.OK,
		Age:         now - r.Sent,
		Incarnation: r.Incarnation,
		Group:       r.Group,
		Generation:  r.Generation,
		Ready:       r.Ready,
		InFlight:    r.InFlight,
		Tokens:      r.Tokens,
		Answered:    r.Answered,
	}
}
