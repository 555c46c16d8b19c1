package gateway

import (
	"time"

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
