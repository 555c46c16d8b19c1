package gateway

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// cutKind says why a caller's connection or body was cut.
type cutKind int

// The kinds. The first five are closed at the bound on connections.
const (
	cutHead       cutKind = iota // no whole header has arrived
	cutBody                      // a whole body has not arrived
	cutRefused                   // its request had been refused
	cutIdle                      // it had no request
	cutNew                       // it was new, and all others were being answered
	cutHeadMemory                // headers held too much memory, and it had the largest one
	cutBodyRate                  // the body was below the minimal rate
	cutDiscard                   // the rest of a refused body was not read
	cutUnread                    // the caller did not read its answer
	cutKindCount
)

// cutNames are the names of the kinds in metrics and logs.
var cutNames = [cutKindCount]string{
	cutHead: "head", cutBody: "body", cutRefused: "refused", cutIdle: "idle", cutNew: "new", cutHeadMemory: "headMemory",
	cutBodyRate: "bodyRate", cutDiscard: "discard", cutUnread: "unread",
}

var cutCounters = func() (counters [cutKindCount]*metrics.Counter) {
	for kind, name := range cutNames {
		counters[kind] = metrics.NewCounter(`rhubarbswitch_caller_cuts_total{kind="` + name + `"}`)
	}
	return counters
}()

// cutRecord counts cuts until they are logged. The zero value is ready to use.
type cutRecord struct {
	pending [cutKindCount]atomic.Int64
	next    int // the kind that is logged next if it is pending; used by one goroutine
}

// add counts a cut.
func (r *cutRecord) add(kind cutKind) {
	cutCounters[kind].Inc()
	r.pending[kind].Add(1)
}

// take returns a kind that has cuts and their number, each kind in turn. It returns a number of 0 if none has.
func (r *cutRecord) take() (kind cutKind, count int64) {
	for range cutKindCount {
		kind = cutKind(r.next)
		r.next = (r.next + 1) % int(cutKindCount)
		if count = r.pending[kind].Swap(0); count > 0 {
			return kind, count
		}
	}
	return 0, 0
}

// logCuts logs the cuts of one kind. It is called once a second, which bounds the lines.
func (d *Daemon) logCuts() {
	if kind, count := d.cuts.take(); count > 0 {
		d.logEvent(event.CallersCut, event.F("kind", cutNames[kind]), event.F("count", count), event.F("connections", d.callers.conns.openCount.Load()), event.F("maxConnections", d.callers.conns.bounds.connections))
	}
}
