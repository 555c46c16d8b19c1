package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
)

// stepSeconds measures the time that the reducer takes for one event, without the execution
// of the effects.
var stepSeconds = metrics.NewSummary("rhubarbswitch_reducer_step_seconds")

var (
	cancelCount    = metrics.NewCounter("rhubarbswitch_cancels_total")
	configRevision = metrics.NewGauge("rhubarbswitch_config_revision", nil)
)

// countEffect updates the metrics for an effect. Answers are labelled with their code, which
// has few values.
func countEffect(effect step.Effect) {
	switch e := effect.(type) {
	case step.Dispatch:
		loop.Attempts.Inc()
	case step.Cancel:
		cancelCount.Inc()
	case step.Answer:
		loop.CountAnswer(string(e.Code))
	case step.Deliver:
		loop.CountAnswer(loop.CodeOK)
	case step.SetReady:
		loop.SetReady(e.Ready)
	case step.SetConfig:
		configRevision.Set(float64(e.Revision))
	}
}
