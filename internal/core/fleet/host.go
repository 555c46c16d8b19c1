package fleet

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

// Host is this daemon's view of one host.
type Host struct {
	Name         string
	Address      string
	Domain       string // fabric domain; empty for a host of a plain service
	DataCentre   string
	Accelerators int
	// Listed is set while the host is in the platform's list.
	Listed bool
	// Leaving is the leaving mark of the platform's list; see applyLeavingMark.
	Leaving bool
	// Service is set if the host runs a plain service. Of the engine's requests such a host
	// answers only the probe.
	Service bool
	// Report is the newest report of any prober.
	Report Report
	// Conn is the connection of this daemon's last answered probe, ConnStatus the status in the
	// answer and ConnSent when that probe was sent.
	Conn       uint64
	ConnStatus engineapi.Status
	ConnSent   time.Duration

	previousIncarnation string        // the last one before Report.Incarnation
	targets             []*Target     // targets of which the host is a member
	probePending        bool          // the last probe of this daemon is not answered yet
	lastProbeAt         time.Duration // when this daemon last sent a probe
	consecutiveFailures int           // failed probes of this daemon since the last success
	primaryProber       bool          // this daemon is the host's prober by rendezvous
	secondaryProber     bool          // this daemon is among the first probersPerHost
	controlled          bool          // this daemon controls the host's fabric domain
	reportUnsent        bool          // ownReport has not been sent to the peers yet
	reportChanged       bool          // ownReport differs for routing from what they were sent
	reportSentAt        time.Duration // when a report was last sent to the peers
	ownReport           Report        // result of this daemon's last probe
	// leavingIncarnation is the incarnation at the time when the leaving mark appeared.
	leavingIncarnation string
}

// Report is the result of one probe of a host.
type Report struct {
	Seen bool // false before the first report
	OK   bool // the host answered
	// Sent is when the probe was sent, on this daemon's clock.
	Sent        time.Duration
	Prober      string // daemon that sent the probe
	Incarnation string // if not OK, the last known one
	Group       string
	Generation  uint64
	Ready       bool
	InFlight    int   // requests at the host
	Tokens      int64 // queued tokens at the host
	Answered    int64 // requests answered completely since the incarnation started
}

// UpToDate reports whether the report is no older than ReportMaxAge.
func (r *Report) UpToDate(now time.Duration) bool { return r.Seen && now-r.Sent <= ReportMaxAge }

// sameForRouting reports whether two reports agree in everything that decides about routing.
func (r *Report) sameForRouting(other *Report) bool {
	return r.OK == other.OK && r.Incarnation == other.Incarnation && r.Group == other.Group &&
		r.Generation == other.Generation && r.Ready == other.Ready
}

// supersedes reports whether r replaces old. A failed probe does not replace another prober's
// recent success, since either prober may be cut off from the host.
func (r *Report) supersedes(old *Report) bool {
	if !old.Seen {
		return true
	}
	if r.Sent < old.Sent {
		return false
	}
	if !r.OK && old.OK && r.Prober != old.Prober {
		return r.Sent-old.Sent >= failureOverrideAge
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
		Answered:    r.Status.CompleteAnswers,
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

func (r *Report) memberReport(now time.Duration, host string) step.MemberReport {
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
