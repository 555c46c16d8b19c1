package loop

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// Attempts counts the attempts of requests at targets.
var Attempts = metrics.NewCounter("rhubarbswitch_attempts_total")

// CodeOK is the code of complete answers of targets.
const CodeOK = "ok"

// CountAnswer counts an answer to a caller by its code. The number of codes is small, so the
// label is safe.
func CountAnswer(code string) {
	if code == "" {
		code = CodeOK // the recorded answer to an earlier request, sent again
	}
	metrics.GetOrCreateCounter(`rhubarbswitch_answers_total{code="` + code + `"}`).Inc()
}

var readyGauge = metrics.NewGauge("rhubarbswitch_ready", nil)

// SetReady sets the gauge that shows whether the daemon serves callers.
func SetReady(ready bool) {
	readyGauge.Set(0)
	if ready {
		readyGauge.Set(1)
	}
}

// CountEvent counts a log event by its ID. The event catalogue bounds the number of labels.
func CountEvent(id event.ID) {
	metrics.GetOrCreateCounter(`rhubarbswitch_log_events_total{event="` + id.String() + `"}`).Inc()
}
