package fabric

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// maxLimitedReportInterval bounds the interval of report requests to a host that names a limit: its
// group depends on them.
const maxLimitedReportInterval = 5 * time.Second

// limitedReportInterval is the least interval between two report requests to a host that names a limit;
// zero for any other.
func (p *Pool) limitedReportInterval(name string) time.Duration {
	if p.limits == nil {
		return 0
	}
	limit := p.limits.Host(name, p.hosts[name].entry.Incarnation).Limit()
	if limit <= 0 {
		return 0
	}
	return min(time.Duration(float64(time.Second)/(limit*hostlimit.ReportShare)), maxLimitedReportInterval)
}

// memberReportInterval is the interval between two report requests to each of so many members.
func memberReportInterval(members int) time.Duration {
	return max(minMemberReportInterval, time.Duration(members)*time.Second/maxMemberReportsPerSecond)
}

// WantsSuspicions reports whether suspicions of other daemons would shorten the detection of a
// loss for the daemon that orders these hosts.
func (p *Pool) WantsSuspicions() bool {
	return memberReportInterval(len(p.names)) >= minIntervalForSuspicions
}

// Suspect requests reports from all members of a host's group at once: one of them may be
// lost.
func (p *Pool) Suspect(host string) {
	g := p.totals.groupOf[host]
	if g == nil {
		return
	}
	for _, m := range g.members {
		if h := p.hosts[m.id]; h != nil {
			h.reportUrgent = true
		}
	}
}

// requestReports requests the reports that are due, longest overdue first. A host gets a
// request before its regular interval is over if it has had none yet, has missed some, is
// suspected or has an unknown order count. The number of pending requests is bounded: a daemon
// that sends more than it can process mistakes its own slowness for unresponsive hosts.
func (p *Pool) requestReports(now time.Duration, out *step.Out) {
	grouped := p.totals.groupOf
	interval := memberReportInterval(len(grouped))
	pendingReports := 0
	var due []string
	for _, name := range p.names {
		h := p.hosts[name]
		if h.reportPending {
			pendingReports++
			continue
		}
		if !h.listed && grouped[name] == nil || p.isQuiet(now, name) {
			continue
		}
		switch {
		case h.reportUrgent:
			h.reportDueAt = 0
		case h.reportSentAt == 0, h.missedReports > 0 && h.missedReports < 2*maxMissedReports, !h.orderCountKnown && now >= h.recountFrom:
			h.reportDueAt = min(h.reportDueAt, now)
		case grouped[name] != nil:
			h.reportDueAt = h.reportSentAt + interval
		default:
			h.reportDueAt = h.reportSentAt + max(spareReportInterval, interval)
		}
		if h.reportSentAt > 0 {
			h.reportDueAt = max(h.reportDueAt, h.reportSentAt+p.limitedReportInterval(name))
		}
		if h.reportDueAt <= now {
			due = append(due, name)
		}
	}
	slices.SortStableFunc(due, func(a, b string) int { return cmp.Compare(p.hosts[a].reportDueAt, p.hosts[b].reportDueAt) })
	for _, name := range due[:min(len(due), max(0, maxPendingReports-pendingReports))] {
		h := p.hosts[name]
		h.reportPending, h.reportSentAt, h.reportDueAt, h.reportUrgent = true, now, now+interval, false
		out.Add(step.RequestReport{Host: name, Address: h.entry.Address})
	}
}

// OnReport handles the answer to RequestReport.
func (p *Pool) OnReport(now time.Duration, r step.ReportAnswered, out *step.Out) {
	h := p.hosts[r.Host]
	if h == nil || !h.reportPending {
		return
	}
	h.reportPending = false
	if !r.OK && p.isQuiet(now, r.Host) {
		return // it answered, though not with a report
	}
	if r.OK {
		p.lastAnswerAt, p.newestAnsweredSentAt = now, max(p.newestAnsweredSentAt, r.Sent)
	} else if p.newestAnsweredSentAt < r.Sent-sameBatchWindow {
		// No request sent later, or together with this one, was answered: this daemon may have been
		// paused, or its path to all hosts may be cut. The entry of a host that is lost lapses.
		h.reportUrgent = now-p.lastAnswerAt <= noAnswerTimeout
		h.forgetMisses(now)
		return
	}
	if !r.OK || r.Report.Incarnation != h.entry.Incarnation {
		h.countMiss(r.Sent)
		h.acceptsConnections = r.Accepts
		if h.unresponsive() && !h.unresponsiveLogged {
			h.unresponsiveLogged = true
			out.Log(event.HostUnresponsive, event.F("host", r.Host), event.F("listed", h.listed), event.F("accepts", r.Accepts), event.F("heardMillis", (now-h.lastAnswerAt).Milliseconds()))
		}
		return
	}
	h.missedReports, h.lastAnswerAt, h.hasAnswered, h.unresponsiveLogged = 0, now, true, false
	h.answeredBefore, h.answeredSentAt, h.silent = h.answeredSentAt, r.Sent, false
	h.lastReport = r.Report
	if !h.orderCountKnown && r.Sent >= h.recountFrom {
		h.orderCount, h.orderCountKnown, h.group = r.Report.OrderCount, true, r.Report.Member.Group
		if h.orderCount == 0 && h.mayJoinAt == p.predecessorUntil {
			h.mayJoinAt = p.joinDelays[r.Host] // it was in no group
		}
	}
}

// countMiss counts a request, sent at a time, that the host did not answer.
func (h *host) countMiss(sent time.Duration) {
	h.silent, h.lastMissAt = true, max(h.lastMissAt, sent)
	if sent < h.countMissesFrom {
		return
	}
	if h.missedReports == 0 {
		h.firstMissAt = sent
	}
	h.missedReports++
}

// forgetMisses lets only misses of requests sent from now on count.
func (h *host) forgetMisses(now time.Duration) { h.missedReports, h.countMissesFrom = 0, now }

// unresponsive reports whether the host has missed so many reports that it may be lost. It may
// still be alive and serve others.
func (h *host) unresponsive() bool { return h.missedReports >= maxMissedReports }

// lapsed reports whether the host has no entry in the registry and does not answer either.
func (h *host) lapsed(now time.Duration) bool {
	return !h.listed && now-h.lastAnswerAt > noAnswerTimeout
}
