package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// onNotice applies what a host states about its availability in an answer. One that leaves is
// treated as draining, whatever its entry says, until it restarts. One that asks for quiet gets
// no request, report request or order of this daemon for as long.
func (s *State) onNotice(now time.Duration, e step.HostNotice, out *step.Out) {
	h := s.hosts[e.Host]
	if h == nil {
		return // gone: it gets nothing
	}
	if n := e.Notice; n.InvalidQuiet != "" {
		out.Log(event.HostQuietInvalid, event.F("host", e.Host), event.F("value", n.InvalidQuiet))
	} else if n.Quiet > 0 {
		s.quiet.Record(now, e.Host, h.Incarnation, n.Quiet)
		out.Log(event.HostQuiet, event.F("host", e.Host), event.F("millis", n.Quiet.Milliseconds()))
	}
	if !e.Notice.Leaving || !s.entries.recordLeaving(h) {
		return
	}
	out.Log(event.HostLeaving, event.F("host", e.Host), event.F("born", h.Incarnation))
	if !h.Draining {
		h.Draining = true
		s.updateParts(now)
	}
}

// maxLeavingHosts bounds the hosts that a request that is handed over names.
const maxLeavingHosts = 16

// leavingHosts returns the registered hosts of a service that have stated that they leave.
func (s *State) leavingHosts(service string) []step.LeavingHost {
	var leaving []step.LeavingHost
	for id, incarnation := range s.entries.leaving {
		if h := s.hosts[id]; h != nil && h.Service == service && h.Incarnation == incarnation {
			leaving = append(leaving, step.LeavingHost{Host: id, Incarnation: incarnation})
		}
	}
	slices.SortFunc(leaving, func(a, b step.LeavingHost) int { return strings.Compare(a.Host, b.Host) })
	return leaving[:min(len(leaving), maxLeavingHosts)]
}

// adoptLeaving treats hosts as leaving that have told another daemon that they are.
func (s *State) adoptLeaving(now time.Duration, leaving []step.LeavingHost, out *step.Out) {
	for _, l := range leaving[:min(len(leaving), maxLeavingHosts)] {
		if h := s.hosts[l.Host]; h != nil && h.Incarnation == l.Incarnation {
			s.onNotice(now, step.HostNotice{Host: l.Host, Notice: site.Notice{Leaving: true}}, out)
		}
	}
}
