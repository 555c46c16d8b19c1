// Package health serves the HTTP endpoints for load balancers and monitoring: liveness
// (the process runs), readiness (it serves callers) and metrics.
package health

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Register adds /healthz, /readyz and /metrics to a router. ready returns nil while the
// daemon serves callers, and otherwise the reason why not, which /readyz answers with 503.
func Register(r chi.Router, ready func() error) {
	r.Get(operatorapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	r.Get(operatorapi.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	r.Get(operatorapi.PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
