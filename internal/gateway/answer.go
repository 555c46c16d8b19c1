package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

// setKeepAlive tells the caller how long its connection may be used after the answer: for the announced time, or
// not at all if the daemon is stopping. A request that was read behind this one is answered first.
func (x *exchange) setKeepAlive() {
	h := x.w.Header()
	h.Del("Keep-Alive")
	limit := x.daemon.idleTimeout()
	switch {
	case x.bodyUnread || x.daemon.stopping.Load() && !connOf(x.r).hasNext():
		h.Set("Connection", "close")
	case x.daemon.stopping.Load():
		h.Del("Connection")
	case limit == 0 || limit >= keptIdleTime:
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(announcedIdleTime.Seconds())))
	}
}

// setWriteDeadline bounds the writing of what follows. The deadline of an earlier write may have passed.
func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(max(0, x.deadline-x.daemon.clock()) + writeGrace))
}

// abortReason is why a connection is closed without a complete answer to a request.
type abortReason string

const (
	abortStreamBroken abortReason = "the stream can't go on"
	abortWriteFailed  abortReason = "the answer could not be written"
)

// abort closes the connection of a request that gets no complete answer, so that the caller can't mistake
// what it has for one.
func (x *exchange) abort(reason abortReason) {
	if x.r.Context().Err() != nil {
		x.daemon.log.Debug("the caller left before its answer was complete", "request", x.callerID, "reason", string(reason))
	} else {
		x.recordAborted(reason)
	}
	panic(http.ErrAbortHandler)
}

// resetUnlessComplete makes any end of the connection of an HTTP/1.0 caller a reset until the stream is complete, also
// an end of this process: the end of the connection is the only end of a body that such a caller knows.
func (x *exchange) resetUnlessComplete() {
	if c := connOf(x.r); c != nil && !x.r.ProtoAtLeast(1, 1) {
		x.resetOnClose = c
		_ = c.SetLinger(0) // fails only on a closed connection
	}
}

// recordAborted logs and counts a request without a complete answer.
func (x *exchange) recordAborted(reason abortReason, fields ...event.Field) {
	countAborted(reason)
	x.daemon.logEvent(event.RequestAborted, append([]event.Field{
		event.F("request", x.callerID), event.F("reason", string(reason)), event.F("events", x.eventsDelivered), event.F("runs", x.runs),
		event.F("stopping", x.daemon.stopping.Load()), event.F("millis", (x.daemon.clock() - x.arrivedAt).Milliseconds()),
	}, fields...)...)
}

// countRequest and countAnswer count a request in the metrics of the daemon that its caller is connected to.
func (x *exchange) countRequest() {
	if !x.handedOver {
		requestSeconds.Update((x.daemon.clock() - x.arrivedAt).Seconds())
	}
}

func (x *exchange) countAnswer(code string) {
	if !x.handedOver {
		loop.CountAnswer(code)
	}
}

// finishAnswer sends the buffered answer. For a stream nothing is left to do: its events have
// been sent.
func (x *exchange) finishAnswer() {
	if x.streamStarted {
		if x.resetOnClose != nil {
			_ = x.resetOnClose.SetLinger(-1) // the default; fails only on a closed connection
		}
		return
	}
	answer := x.buffered
	if answer == nil {
		x.daemon.log.Error("the answer to deliver is missing", "request", x.callerID)
		x.sendError(step.Answer{Status: http.StatusBadGateway, Code: step.CodeTargetFailed, Outcome: object.Unknown, Message: "the answer was lost, and the request may have run"})
		return
	}
	x.answeringHost = answer.host
	copyHeader(x.w.Header(), answer.header)
	x.markTargetsAnswer(x.runs)
	body := answer.body
	if answer.status == http.StatusNoContent || answer.status == http.StatusNotModified || x.r.Method == http.MethodHead {
		body = nil
	} else {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.writeAnswer(answer.status, body)
	x.hold(nil)
}

// writeAnswer writes a complete answer whose headers are set, and returns once it has left this process.
func (x *exchange) writeAnswer(status int, body []byte) {
	x.setKeepAlive()
	x.setWriteDeadline()
	x.w.WriteHeader(status)
	var err error
	if len(body) > 0 {
		_, err = x.w.Write(body)
	}
	if err == nil {
		err = x.control.Flush()
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed): // ended here, not by the caller
		x.recordAborted(abortWriteFailed, event.F("error", err))
	default:
		x.daemon.log.Debug("the caller left before its answer was written", "request", x.callerID, "error", err)
	}
}

// sendError sends an error answer of the daemon itself. If a stream has started, it aborts the
// connection instead, so that the caller can't mistake the stream for a complete one.
func (x *exchange) sendError(a step.Answer) {
	x.hold(nil)
	if x.streamStarted {
		x.abort(abortStreamBroken)
	}
	h := x.w.Header()
	x.daemon.platform.ToCaller(h, x.callerID, a.RetryAfter)
	if x.handedOver {
		relay.HandoverAnswer{Runs: x.runs, Sent: x.sent, Reached: x.reached, Own: a}.Set(h)
	}
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": a.Code, "message": a.Message, "outcome": a.Outcome, "retry_after_ms": a.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		x.daemon.log.Error("cannot encode an error answer", "request", x.callerID, "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeAnswer(a.Status, body)
}
