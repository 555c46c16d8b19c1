package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// limitSource is where a statement about a host's limit comes from, as it appears in logs.
type limitSource string

const (
	limitFromAnswer limitSource = "answer"
	limitFromReport limitSource = "report"
	limitFromDaemon limitSource = "daemon"
)

// recordLimit applies what a host stated about its limit in the answer to the last attempt of a request.
func (s *State) recordLimit(now time.Duration, c *call, l site.LimitStatement, out *step.Out) {
	if l.Invalid != "" {
		s.logInvalidLimit(c.host, c.incarnation, l.Invalid, out)
		return
	}
	s.applyLimit(now, hostlimit.Statement{Host: c.host, Incarnation: c.incarnation, PerSecond: l.PerSecond, AsOf: c.sentAt}, limitFromAnswer, out)
}

// recordReportedLimit applies what an engine stated with its report, or instead of one.
func (s *State) recordReportedLimit(now time.Duration, e step.ReportAnswered, out *step.Out) {
	h := s.hosts[e.Host]
	if h == nil || !e.OK && e.Limit.PerSecond == 0 {
		return
	}
	if e.Limit.Invalid != "" {
		s.logInvalidLimit(e.Host, h.Incarnation, e.Limit.Invalid, out)
		return
	}
	s.applyLimit(now, hostlimit.Statement{Host: e.Host, Incarnation: h.Incarnation, InReport: true, PerSecond: e.Limit.PerSecond, AsOf: e.Sent}, limitFromReport, out)
}

func (s *State) applyLimit(now time.Duration, l hostlimit.Statement, from limitSource, out *step.Out) {
	change, before := s.limits.Record(now, l, from != limitFromDaemon)
	if change == hostlimit.Unchanged {
		return
	}
	fields := []event.Field{event.F("host", l.Host), event.F("perSecond", l.PerSecond), event.F("before", before), event.F("source", from), event.F("ageMillis", (now - l.AsOf).Milliseconds())}
	if change == hostlimit.Ended {
		out.Log(event.HostLimitEnded, fields...)
	} else {
		out.Log(event.HostLimited, fields...)
	}
}

// logInvalidLimit logs a limit that can't be read, once for each run of a host.
func (s *State) logInvalidLimit(host string, incarnation int64, value string, out *step.Out) {
	if logged, ok := s.invalidLimits[host]; ok && logged == incarnation || s.hosts[host] == nil {
		return
	}
	s.invalidLimits[host] = incarnation
	out.Log(event.HostLimitInvalid, event.F("host", host), event.F("value", value))
}

// onLimits applies what another daemon has told.
func (s *State) onLimits(now time.Duration, m hostlimit.Message, out *step.Out) {
	for _, l := range m.Statements {
		s.applyLimit(now, l, limitFromDaemon, out) // the host's entry may come later
	}
	s.limits.RecordMessage(now, m)
}

// limitTick tells the other daemons what is due.
func (s *State) limitTick(now time.Duration, out *step.Out) {
	m, due := s.limits.Tick(now)
	if !due {
		return
	}
	if addresses := s.otherDaemons(); len(addresses) > 0 {
		out.Add(step.ShareLimits{Addresses: addresses, Message: m})
	}
}

// LimitedHosts returns the number of hosts that name a limit.
func (s *State) LimitedHosts() int { return s.limits.InForce() }
