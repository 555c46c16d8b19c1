package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Status returns the daemon's view of the whole system.
func (d *Daemon) Status(ctx context.Context) (operatorapi.Status, error) {
	var s operatorapi.Status
	err := d.ask(ctx, func(state *core.State) { s = state.Status(d.now()) })
	if err != nil {
		return s, err
	}
	s.Cluster = d.set.Cluster
	s.Release = Release
	if reason := d.readiness(); reason != nil {
		s.Reason = reason.Error()
	}
	return s, nil
}

// Trace returns what this daemon remembers of a request.
func (d *Daemon) Trace(_ context.Context, id step.RequestID) (operatorapi.Trace, error) {
	return operatorapi.Trace{Request: string(id), Events: d.traces.of(string(id))}, nil
}

// tracedEvents is the number of requests' events that a daemon remembers.
const tracedEvents = 8192

// traces remembers the last events that name a request.
type traces struct {
	mu   sync.Mutex
	ring []traced
	next int
}

type traced struct {
	request string
	event   operatorapi.TraceEvent
}

func (t *traces) add(daemon string, id event.ID, fields []event.Field) {
	request := ""
	for _, f := range fields {
		if f.Key == "request" {
			request = f.Value
		}
	}
	if request == "" {
		return
	}
	definition, _ := event.Lookup(id)
	e := operatorapi.TraceEvent{
		UnixMillis: time.Now().UnixMilli(), Daemon: daemon, Event: id.String(), Message: definition.Message,
	}
	for _, f := range fields {
		e.Fields = append(e.Fields, operatorapi.TraceField(f))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < tracedEvents {
		t.ring = append(t.ring, traced{request, e})
		return
	}
	t.ring[t.next] = traced{request, e}
	t.next = (t.next + 1) % tracedEvents
}

func (t *traces) of(request string) []operatorapi.TraceEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := []operatorapi.TraceEvent{}
	for i := range t.ring {
		if e := t.ring[(t.next+i)%len(t.ring)]; e.request == request {
			events = append(events, e.event)
		}
	}
	return events
}
