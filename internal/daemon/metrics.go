package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// stepSeconds is the time that the reducer takes for one event.
var stepSeconds = metrics.NewSummary("rhubarbswitch_reducer_step_seconds")

var (
	attempts = metrics.NewCounter("rhubarbswitch_attempts_total")
	cancels  = metrics.NewCounter("rhubarbswitch_cancels_total")
	ready    = metrics.NewGauge("rhubarbswitch_ready", nil)
	revision = metrics.NewGauge("rhubarbswitch_config_revision", nil)
)

// codeOK labels whole answers of targets.
const codeOK step.Code = "ok"

// count counts an effect. Labels are codes, of which there are few.
func count(effect step.Effect) {
	switch e := effect.(type) {
	case step.Dispatch:
		attempts.Inc()
	case step.Cancel:
		cancels.Inc()
	case step.Answer:
		countAnswer(e.Code)
	case step.Deliver:
		countAnswer(codeOK)
	case step.SetReady:
		ready.Set(0)
		if e.Ready {
			ready.Set(1)
		}
	case step.SetConfig:
		revision.Set(float64(e.Revision))
	}
}

func countAnswer(code step.Code) {
	if code == "" {
		code = codeOK // a recorded answer, repeated
	}
	metrics.GetOrCreateCounter(`rhubarbswitch_answers_total{code="` + string(code) + `"}`).Inc()
}

// countEvent counts a log event; the catalogue bounds the label.
func countEvent(id event.ID) {
	metrics.GetOrCreateCounter(`rhubarbswitch_log_events_total{event="` + id.String() + `"}`).Inc()
}
