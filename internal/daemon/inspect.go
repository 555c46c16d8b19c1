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

// Status returns this daemon's view of the whole system.
func (d *Daemon) Status(ctx context.Context) (operatorapi.Status, error) {
	var s operatorapi.Status
	err := d.query(ctx, func(state *core.State) { s = state.Status(d.now()) })
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

// Trace returns the numbered events of a request that this daemon still holds in memory.
func (d *Daemon) Trace(_ context.Context, id step.RequestID) (operatorapi.Trace, error) {
	return operatorapi.Trace{Request: string(id), Events: d.traces.forRequest(string(id))}, nil
}

// maxTracedEvents bounds the traced events that a daemon holds, over all requests. A new
// event then overwrites the oldest.
const maxTracedEvents = 8192

// traces holds the latest numbered events that have a request field, including those below the
// log level.
type traces struct {
	mu     sync.Mutex
	events []tracedEvent // a ring buffer once it is full
	next   int           // index of the oldest event, which is overwritten next
}

type tracedEvent struct {
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
	if len(t.events) < maxTracedEvents {
		t.events = append(t.events, tracedEvent{request, e})
		return
	}
	t.events[t.next] = tracedEvent{request, e}
	t.next = (t.next + 1) % maxTracedEvents
}

func (t *traces) forRequest(request string) []operatorapi.TraceEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := []operatorapi.TraceEvent{}
	for i := range t.events {
		if e := t.events[(t.next+i)%len(t.events)]; e.request == request {
			events = append(events, e.event)
		}
	}
	return events
}
