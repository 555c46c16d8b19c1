package gateway

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fabric"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

var (
	// requestSeconds is the time from the end of a request's header to the end of its answer.
	requestSeconds = metrics.NewHistogram("rhubarbswitch_request_seconds")
	// answerBeginSeconds is the time from the start of an attempt to the header of its answer.
	answerBeginSeconds = metrics.NewHistogram("rhubarbswitch_answer_begin_seconds")
	// condemnedFingerprints is the number of fingerprints whose requests are refused.
	condemnedFingerprints = metrics.NewGauge("rhubarbswitch_condemned_fingerprints", nil)
	// provisionalFingerprints is the number of fingerprints whose requests are sent to one host at
	// a time.
	provisionalFingerprints = metrics.NewGauge("rhubarbswitch_provisional_fingerprints", nil)
	// limitedHosts is the number of hosts that name a limit for the requests that they take.
	limitedHosts = metrics.NewGauge("rhubarbswitch_limited_hosts", nil)
	// cutServices is the number of services whose hosts are out of this daemon's reach.
	cutServices = metrics.NewGauge("rhubarbswitch_cut_services", nil)
	// pressure is the greatest share of the requests for any model that has to yield.
	pressure = metrics.NewGauge("rhubarbswitch_overload_pressure", nil)
	// attemptsInTime and attemptsLate count the attempts at hosts by the rank of their requests.
	attemptsInTime = metrics.NewCounter(`rhubarbswitch_ranked_attempts_total{rank="in time"}`)
	attemptsLate   = metrics.NewCounter(`rhubarbswitch_ranked_attempts_total{rank="late"}`)
	// estimateRatio is the measured time to the first event of a stream over the estimated one.
	estimateRatio = metrics.NewHistogram("rhubarbswitch_first_event_estimate_ratio")
	// takenOver counts requests that other daemons have handed over to this one.
	takenOver = metrics.NewCounter("rhubarbswitch_taken_over_total")
	// refusedForMemory counts requests that were refused since bodies or answers of others hold the memory.
	refusedForMemory = metrics.NewCounter("rhubarbswitch_refused_for_memory_total")
	// callerConnections is the number of callers' connections, and connectionsLimit the bound on it.
	callerConnections = metrics.NewGauge("rhubarbswitch_caller_connections", nil)
	connectionsLimit  = metrics.NewGauge("rhubarbswitch_caller_connections_limit", nil)
)

// maxModelGauges bounds the models that have gauges.
const maxModelGauges = 16

// modelGauges are the gauges of one model, by its position in the configuration.
type modelGauges struct{ offered, need, hosts, groups *metrics.Gauge }

var modelGaugesByPosition []modelGauges

// setModelStats sets the gauges of models. Only the lease holder knows the values; they are zero at any
// other daemon. It is called by one goroutine.
func setModelStats(stats []fabric.ModelStats) {
	stats = stats[:min(len(stats), maxModelGauges)]
	for i := len(modelGaugesByPosition); i < len(stats); i++ {
		label := `{model="` + strconv.Itoa(i) + `"}`
		modelGaugesByPosition = append(modelGaugesByPosition, modelGauges{
			offered: metrics.GetOrCreateGauge("rhubarbswitch_model_offered_requests"+label, nil), need: metrics.GetOrCreateGauge("rhubarbswitch_model_needed_hosts"+label, nil),
			hosts: metrics.GetOrCreateGauge("rhubarbswitch_model_hosts"+label, nil), groups: metrics.GetOrCreateGauge("rhubarbswitch_model_groups"+label, nil),
		})
	}
	for i, g := range modelGaugesByPosition {
		var s fabric.ModelStats
		if i < len(stats) {
			s = stats[i]
		}
		g.offered.Set(s.Offered)
		g.need.Set(s.Need)
		g.hosts.Set(float64(s.Hosts))
		g.groups.Set(float64(s.Groups))
	}
}

func countRanked(late bool) {
	if late {
		attemptsLate.Inc()
	} else {
		attemptsInTime.Inc()
	}
}

// countAttemptEnd counts the end of an attempt by how it ended.
func countAttemptEnd(e step.Ending) {
	metrics.GetOrCreateCounter(`rhubarbswitch_attempts_ended_total{ending="` + e.String() + `"}`).Inc()
}

// countAborted counts a request whose connection was closed without a complete answer.
func countAborted(reason abortReason) {
	metrics.GetOrCreateCounter(`rhubarbswitch_aborted_requests_total{reason="` + string(reason) + `"}`).Inc()
}
