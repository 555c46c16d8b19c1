package fleet

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Hold says whether this daemon controls a fabric domain. Who controls a domain
// probes its hosts itself, since orders go over the connections of these probes.
func (v *View) Hold(domain string, held bool) {
	if v.held[domain] == held {
		return
	}
	if held {
		v.held[domain] = true
	} else {
		delete(v.held, domain)
	}
	v.live = nil
}

// HostReport takes up the answer to a probe of this daemon.
func (v *View) HostReport(now step.Time, r step.HostReport) {
	h, ok := v.hosts[r.Host]
	if !ok {
		return
	}
	h.probed = false
	report := fromStatus(v.self, r)
	if !h.own.Seen || !h.own.same(&report) {
		h.changed = true
	}
	h.own, h.unpassed = report, true
	h.failures++
	if r.OK {
		h.failures = 0
		h.Conn, h.ConnStatus, h.ConnSent = r.Conn, r.Status, r.Sent
	}
	v.take(now, h, report)
}

// Digest takes up what a peer's probes saw.
func (v *View) Digest(now step.Time, from string, d step.Digest) {
	late := v.late(now.Mono, from, d.Sent)
	for _, m := range d.Reports {
		if h, ok := v.hosts[m.Host]; ok {
			v.take(now, h, fromPeer(now.Mono-late, from, m))
		}
	}
}

// clock is how a peer's monotonic clock stands to this daemon's.
type clock struct {
	sent   time.Duration // the peer's time on its last digest
	at     time.Duration // when that was taken up
	offset time.Duration // the least difference seen between the two
}

// driftPart is the part of the time that has passed by which two clocks may have
// drifted apart: 200 parts in a million.
const driftPart = 5000

// late returns how much longer than the fastest a peer's digest was on its way. One
// that waited while this daemon or the link stood still must not pass for fresh.
func (v *View) late(now time.Duration, from string, sent time.Duration) time.Duration {
	offset := now - sent
	c, ok := v.clocks[from]
	if !ok || sent < c.sent {
		v.clocks[from] = clock{sent, now, offset} // another run of the peer
		return 0
	}
	least := min(offset, c.offset+(now-c.at)/driftPart)
	v.clocks[from] = clock{sent, now, least}
	return offset - least
}

func (v *View) take(now step.Time, h *Host, r Report) {
	if !r.supersedes(&h.Report) {
		return
	}
	if r.OK && r.Incarnation != h.Report.Incarnation && h.Report.Incarnation != "" {
		h.previous = h.Report.Incarnation
	}
	if !r.OK {
		r.Incarnation = h.Report.Incarnation // the last that was known
	}
	h.Report = r
	for _, t := range h.targets {
		v.judge(now, t)
		if len(t.members) > 0 && t.members[0] == h && r.OK {
			t.Reported, t.ReportedTokens, t.ReportedAt = r.InFlight, r.Tokens, r.Sent
		}
	}
}

// Tick sends the probes that are due and passes on what the last ones saw.
func (v *View) Tick(now step.Time, out *step.Out) {
	v.deal()
	pass := false
	for _, name := range v.hostNames {
		h := v.hosts[name]
		if v.probeDue(now.Mono, h) {
			h.probed, h.probeAt = true, now.Mono
			out.Add(step.Probe{Host: h.Name, Address: h.Address, Service: h.Service})
		}
		pass = pass || h.passDue(now.Mono)
	}
	if pass && len(v.live) > 1 {
		v.pass(now, out)
	}
	v.share(now)
}

// pass tells the peers everything that is not passed on yet: where one report is due,
// the others share its message.
func (v *View) pass(now step.Time, out *step.Out) {
	digest := step.Digest{Sent: now.Mono}
	for _, name := range v.hostNames {
		h := v.hosts[name]
		if !h.unpassed {
			continue
		}
		h.unpassed, h.changed, h.passedAt = false, false, now.Mono
		digest.Reports = append(digest.Reports, h.own.message(now.Mono, name))
	}
	out.Add(step.SendPeer{Message: digest})
}

// deal decides which hosts this daemon probes, whenever the membership has changed.
func (v *View) deal() {
	live := v.members.Live()
	if v.live != nil && slices.Equal(live, v.live) {
		return
	}
	v.live = append(v.live[:0:0], live...)
	for name, h := range v.hosts {
		owners := v.members.Owners(HostKey(name), secondProbers)
		h.owned = len(owners) > 0 && owners[0] == v.self
		h.second = slices.Contains(owners, v.self)
		h.held = v.held[h.Domain]
	}
}

// probeDue reports whether this daemon should probe the host now. One whose prober
// has gone silent is probed by the next daemons, and at last by all.
func (v *View) probeDue(now time.Duration, h *Host) bool {
	if h.Address == "" || (h.probed && now-h.probeAt < FreshFor) {
		return false
	}
	if h.probeAt > 0 && now-h.probeAt < ProbeEvery {
		return false
	}
	age := now - h.Report.Sent
	if !h.Report.Seen {
		age = now
	}
	return h.owned || h.held || (h.second && age >= secondAfter) || age >= anyAfter
}

// passDue reports whether the last own report should go to the peers: at once if
// it is news, else now and then while it is this daemon's to tell.
func (h *Host) passDue(now time.Duration) bool {
	return h.unpassed && (h.changed || now-h.passedAt >= refreshEvery)
}

// share sets each target's limit anew.
func (v *View) share(now step.Time) {
	for _, name := range v.names {
		if t := v.targets[name]; t.routable {
			v.limit(now, t)
		}
	}
}
