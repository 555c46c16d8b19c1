package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

// handoverHandler serves callers' requests that other daemons hand over. They are admitted like those of
// this daemon's own callers, with their keys. All other requests go to next.
func (d *Daemon) handoverHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o, err := relay.ReadHandover(r.Header)
		if err != nil {
			next.ServeHTTP(w, r)
			return
		}
		takenOver.Inc()
		d.serve(w, r, step.Call{HandedOver: true, MaxRuns: o.MaxRuns, Counted: o.Counted, Service: o.Service, ConfigVersion: o.ConfigVersion, LeavingHosts: o.LeavingHosts})
	})
}

// markTargetsAnswer adds to an answer for another daemon whose it is, and how many attempts have run.
func (x *exchange) markTargetsAnswer(runs int) {
	if !x.handedOver {
		return
	}
	a := relay.HandoverAnswer{Host: x.answeringHost, Runs: runs, Sent: x.sent, Reached: x.reached + runs - x.runs}
	if c := x.daemon.config.Load(); c != nil {
		a.ConfigVersion = c.Version
	}
	a.Set(x.w.Header())
}

// receiveHandover processes the answer of the daemon that the request was handed over to. Its own refusal
// shows that the request has not run there; no other answer of its own does.
func (a *attempt) receiveHandover(resp *http.Response) step.Ending {
	answer, ok := relay.ReadHandoverAnswer(resp.StatusCode, resp.Header)
	header := a.exchange.daemon.platform.FromTarget(resp.StatusCode, resp.Header, a.exchange.callerID)
	switch {
	case ok && !header.MatchesRequest:
		a.closeConnection()
		return step.EndedWrongAttempt
	case !ok && (resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusMethodNotAllowed): // the router of a release that takes no requests
		answer.Own = step.Answer{Status: http.StatusServiceUnavailable, Code: step.CodeNoPlatform}
		answer.Own.Outcome = object.NotRun
	case !ok:
		return step.EndedBroken
	}
	a.result.Handover = &step.HandoverResult{Runs: answer.Runs, Sent: answer.Sent, Reached: answer.Reached}
	if answer.Host == "" {
		a.result.Handover.Answer = &answer.Own
		timer := time.AfterFunc(refusalTimeout, a.cancel)
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBytes) // an error leaves the connection unused
		switch {
		case answer.Own.Outcome == object.NotRun:
			return step.EndedRefused
		case resp.StatusCode == http.StatusGatewayTimeout:
			return step.EndedTimeout
		}
		return step.EndedBroken
	}
	if header.Notice.Leaving {
		// Its pause concerns the daemon that has asked the host; that it leaves concerns all.
		a.exchange.daemon.Post(step.HostNotice{Host: answer.Host, Notice: site.Notice{Leaving: true}})
	}
	a.exchange.daemon.Post(step.AnswerBegan{ID: a.forward.ID, Attempt: a.forward.Attempt, ConfigVersion: answer.ConfigVersion})
	return a.receiveAnswer(resp)
}

// countHandover counts the end of an attempt that was handed over.
func countHandover(e step.ForwardEnded) {
	result := e.Ending.String()
	if e.Handover != nil && e.Handover.Answer != nil {
		result = string(e.Handover.Answer.Code)
	}
	metrics.GetOrCreateCounter(`rhubarbswitch_handovers_total{result="` + result + `"}`).Inc()
}
