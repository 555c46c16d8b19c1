package fleet

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// SetControlled sets whether this daemon controls a fabric domain. The daemon that controls a
// domain probes its hosts itself, since it sends orders over the connections of these probes.
func (v *View) SetControlled(domain string, controlled bool) {
	if v.controlledDomains[domain] == controlled {
		return
	}
	if controlled {
		v.controlledDomains[domain] = true
	} else {
		delete(v.controlledDomains, domain)
	}
	v.liveDaemons = nil
}

// HostReport applies the result of one of this daemon's probes.
func (v *View) HostReport(now step.Time, r step.HostReport) {
	h, ok := v.hosts[r.Host]
	if !ok {
		return
	}
	h.probePending = false
	report := fromStatus(v.self, r)
	if !h.ownReport.Seen || !h.ownReport.sameForRouting(&report) {
		h.reportChanged = true
	}
	h.ownReport, h.reportUnsent = report, true
	h.consecutiveFailures++
	if r.OK {
		h.consecutiveFailures = 0
		h.Conn, h.ConnStatus, h.ConnSent = r.Conn, r.Status, r.Sent
	}
	v.applyReport(now, h, report)
}

// Digest applies the results of a peer's probes.
func (v *View) Digest(now step.Time, from string, d step.Digest) {
	delay := v.transitDelay(now.Mono, from, d.Sent)
	for _, m := range d.Reports {
		if h, ok := v.hosts[m.Host]; ok {
			v.applyReport(now, h, fromPeer(now.Mono-delay, from, m))
		}
	}
}

// peerClock relates a peer's monotonic clock to this daemon's.
type peerClock struct {
	sentAt     time.Duration // time in the peer's last digest, on the peer's clock
	receivedAt time.Duration // when that digest was processed, on this daemon's clock
	minOffset  time.Duration // smallest receivedAt - sentAt so far, plus the allowed drift
}

// driftDivisor bounds the drift between two daemons' clocks: at most 1/driftDivisor of the elapsed
// time, which is 200 parts per million.
const driftDivisor = 5000

// transitDelay returns how much longer than the fastest one this digest of a peer was in transit.
// The delay is added to the age of its reports, so that a digest that waited while this daemon or
// the link was paused does not count as up to date.
func (v *View) transitDelay(now time.Duration, from string, sent time.Duration) time.Duration {
	offset := now - sent
	c, ok := v.peerClocks[from]
	if !ok || sent < c.sentAt {
		v.peerClocks[from] = peerClock{sent, now, offset} // first digest, or the peer has restarted
		return 0
	}
	least := min(offset, c.minOffset+(now-c.receivedAt)/driftDivisor)
	v.peerClocks[from] = peerClock{sent, now, least}
	return offset - least
}

func (v *View) applyReport(now step.Time, h *Host, r Report) {
	if !r.supersedes(&h.Report) {
		return
	}
	if r.OK && r.Incarnation != h.Report.Incarnation && h.Report.Incarnation != "" {
		h.previousIncarnation = h.Report.Incarnation
	}
	if !r.OK {
		r.Incarnation = h.Report.Incarnation // the last known one
	}
	h.Report = r
	for _, t := range h.targets {
		v.updateRoutable(now, t)
		if len(t.members) > 0 && t.members[0] == h && r.OK {
			t.ReportedInFlight, t.ReportedTokens, t.ReportedAt = r.InFlight, r.Tokens, r.Sent
		}
	}
}

// Tick sends the probes that are due, sends the results of finished probes to the peers and
// updates the limits.
func (v *View) Tick(now step.Time, out *step.Out) {
	v.assignProbes()
	sendDue := false
	for _, name := range v.hostNames {
		h := v.hosts[name]
		if v.probeDue(now.Mono, h) {
			h.probePending, h.lastProbeAt = true, now.Mono
			out.Add(step.Probe{Host: h.Name, Address: h.Address, Service: h.Service})
		}
		sendDue = sendDue || h.digestDue(now.Mono)
	}
	if sendDue && len(v.liveDaemons) > 1 {
		v.sendDigest(now, out)
	}
	v.updateLimits(now)
}

// sendDigest sends all unsent reports to the peers in one message. It is called when at least one
// report is due; the others go along.
func (v *View) sendDigest(now step.Time, out *step.Out) {
	digest := step.Digest{Sent: now.Mono}
	for _, name := range v.hostNames {
		h := v.hosts[name]
		if !h.reportUnsent {
			continue
		}
		h.reportUnsent, h.reportChanged, h.reportSentAt = false, false, now.Mono
		digest.Reports = append(digest.Reports, h.ownReport.memberReport(now.Mono, name))
	}
	out.Add(step.SendPeer{Message: digest})
}

// assignProbes determines which hosts this daemon probes. It does nothing unless the live daemons,
// the hosts or the controlled domains have changed.
func (v *View) assignProbes() {
	live := v.members.Live()
	if v.liveDaemons != nil && slices.Equal(live, v.liveDaemons) {
		return
	}
	v.liveDaemons = append(v.liveDaemons[:0:0], live...)
	for name, h := range v.hosts {
		owners := v.members.Owners(HostKey(name), probersPerHost)
		h.primaryProber = len(owners) > 0 && owners[0] == v.self
		h.secondaryProber = slices.Contains(owners, v.self)
		h.controlled = v.controlledDomains[h.Domain]
	}
}

// probeDue reports whether this daemon should probe the host now. If the primary prober's reports
// stop, the secondary probers probe the host from secondaryProbeAge on and all daemons from
// anyProbeAge on.
func (v *View) probeDue(now time.Duration, h *Host) bool {
	if h.Address == "" || (h.probePending && now-h.lastProbeAt < ReportMaxAge) {
		return false
	}
	if h.lastProbeAt > 0 && now-h.lastProbeAt < probeInterval {
		return false
	}
	age := now - h.Report.Sent
	if !h.Report.Seen {
		age = now
	}
	return h.primaryProber || h.controlled || (h.secondaryProber && age >= secondaryProbeAge) || age >= anyProbeAge
}

// digestDue reports whether this daemon's last report should be sent to the peers now: at once if
// it has changed, otherwise every reportRepeatInterval.
func (h *Host) digestDue(now time.Duration) bool {
	return h.reportUnsent && (h.reportChanged || now-h.reportSentAt >= reportRepeatInterval)
}

// updateLimits updates the limit of each routable target.
func (v *View) updateLimits(now step.Time) {
	for _, name := range v.targetNames {
		if t := v.targets[name]; t.routable {
			v.updateLimit(now, t)
		}
	}
}
