package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

const (
	// maxAnswerBytes bounds an answer that is buffered until it is complete; a larger one
	// counts as broken.
	maxAnswerBytes = 16 << 20
	// A refusal's body is read so that its connection can be reused, if it has no more than
	// maxRefusalBytes and arrives within refusalTimeout.
	maxRefusalBytes = 4 << 10
	refusalTimeout  = 20 * time.Millisecond
	// stallReportInterval is the time between two reports to the reducer of the same attempt
	// that still receives nothing.
	stallReportInterval = 100 * time.Millisecond
)

// runAttempt sends the request to a target and relays a stream's events as they arrive. Any
// other answer is buffered for the reducer to decide on.
func (x *exchange) runAttempt(ctx context.Context, f step.Forward) step.ForwardEnded {
	a := &attempt{exchange: x, forward: f}
	a.resumeAfter, a.eventsBefore = x.position()
	a.resumes = a.resumeAfter != ""
	if f.Daemon == "" {
		a.targetActiveAt = x.daemon.targets.activeAt(f.Host)
	} else {
		a.targetActiveAt = new(atomic.Int64) // what the daemon sends for other requests says nothing of this one
	}
	a.result.ID, a.result.Attempt = f.ID, f.Attempt
	ctx, cancel := context.WithTimeout(ctx, f.Deadline-x.daemon.clock())
	defer cancel()
	a.ctx, a.cancel = ctx, cancel
	a.result.Ending = a.run()
	if f.Daemon == "" {
		countAttemptEnd(a.result.Ending)
	} else {
		countHandover(a.result)
	}
	_, a.result.Delivered = x.position()
	a.result.Unresumable = x.unresumable.Load()
	a.stopStallTimer()
	return a.result
}

// attempt is one sending of a request to one target.
type attempt struct {
	exchange       *exchange
	forward        step.Forward
	ctx            context.Context
	cancel         context.CancelFunc // of ctx
	result         step.ForwardEnded
	targetActiveAt *atomic.Int64 // when the target last sent something; shared by its attempts
	// stallTimer fires when the target has sent nothing for too long. ended keeps a timer that
	// is firing at that moment from being set again.
	stallTimer atomic.Pointer[time.Timer]
	ended      atomic.Bool
	maybeSent  atomic.Bool // a connection was available, so the target may have received bytes
	newConn    atomic.Bool // that connection was opened for this attempt
	conn       atomic.Pointer[net.Conn]
	// resumeAfter and eventsBefore are the last event that the caller had as the attempt began, and the number
	// of its events. The attempt resumes a stream if there was one.
	resumeAfter  string
	eventsBefore int
	resumes      bool
	started      bool // an event of this attempt's stream has been delivered
	beganAt      time.Duration
}

// run sends the request and processes the answer. It returns how the attempt ended.
func (a *attempt) run() step.Ending {
	a.startStallTimer(a.forward.FirstByteTimeout)
	a.beganAt = a.exchange.daemon.clock()
	resp, err := a.exchange.daemon.targets.transport(a.forward, a.exchange.callerID).RoundTrip(a.request())
	if err != nil {
		return a.classifyError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	now := a.exchange.daemon.clock()
	if a.forward.Daemon == "" {
		answerBeginSeconds.Update((now - a.beganAt).Seconds())
	}
	a.targetActiveAt.Store(int64(now))
	if t := a.stallTimer.Load(); t != nil {
		t.Stop()
	}
	a.result.Status = resp.StatusCode
	if a.forward.Daemon != "" {
		return a.receiveHandover(resp)
	}
	header := a.exchange.daemon.platform.FromTarget(resp.StatusCode, resp.Header, a.exchange.callerID)
	if !header.Notice.Empty() {
		a.exchange.daemon.Post(step.HostNotice{Host: a.forward.Host, Notice: header.Notice})
	}
	switch {
	case !header.MatchesRequest:
		a.closeConnection()
		return step.EndedWrongAttempt
	case header.Contradictory:
		a.closeConnection()
		return step.EndedBroken
	case header.NotRun:
		a.result.Load = header.Load
		if resp.StatusCode != http.StatusMisdirectedRequest {
			a.result.Limit = &header.Limit
		}
		timer := time.AfterFunc(refusalTimeout, a.cancel)
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBytes) // an error leaves the connection unused
		return step.EndedRefused
	}
	a.exchange.daemon.Post(step.AnswerBegan{ID: a.forward.ID, Attempt: a.forward.Attempt, Load: header.Load, Limit: header.Limit, NewConnection: a.newConn.Load()})
	return a.receiveAnswer(resp)
}

// closeConnection closes the connection of an attempt whose answer may still come, so that the next request
// on it can't get that answer. One without a body has already gone back to the pool.
func (a *attempt) closeConnection() {
	if conn := a.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}

// receiveAnswer relays a target's stream, or buffers its answer.
func (a *attempt) receiveAnswer(resp *http.Response) step.Ending {
	if resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get("Content-Encoding") != "" {
		return step.EndedBroken // callers request no encoding: the body is not the target's own
	}
	if a.forward.Stream && resp.StatusCode == http.StatusOK && isEventStream(resp.Header) {
		return a.relayStream(resp)
	}
	if a.exchange.hasStarted() {
		return step.EndedBroken // the caller has part of a stream: no other kind of answer can follow
	}
	return a.bufferAnswer(resp)
}

// request builds the HTTP request of the attempt. It keeps the path byte for byte. It sets no
// GetBody, so that the transport can't send the request a second time on its own.
func (a *attempt) request() *http.Request {
	in := a.exchange.r
	path, query, hasQuery := strings.Cut(in.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path, query, hasQuery = in.URL.EscapedPath(), in.URL.RawQuery, in.URL.RawQuery != "" || in.URL.ForceQuery
	}
	h := forwardable(in.Header)
	timeLeft := a.forward.Deadline - a.exchange.daemon.clock()
	if a.forward.Daemon != "" {
		a.exchange.daemon.platform.ToDaemon(h, timeLeft)
		relay.Handover{MaxRuns: a.forward.MaxRuns, Counted: a.forward.Counted, Service: a.forward.Service, ConfigVersion: a.forward.ConfigVersion, LeavingHosts: a.forward.LeavingHosts}.Set(h)
	} else {
		a.exchange.daemon.platform.ToTarget(h, AttemptHeader{Host: a.forward.Host, Team: a.forward.Team, Urgency: a.forward.Urgency, TimeLeft: timeLeft, LastEventID: a.resumeAfter})
	}
	if a.resumes {
		h.Set(lastEventHeader, a.resumeAfter)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // suppresses the default of net/http
	}
	h.Del("Content-Length")
	out := &http.Request{
		Method: in.Method, Host: in.Host, Header: h,
		URL:   &url.URL{Scheme: "http", Host: a.forward.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(a.exchange.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(a.exchange.body)), int64(len(a.exchange.body))
	} else {
		preventReplay(out)
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		a.conn.Store(&i.Conn)
		a.newConn.Store(!i.Reused)
		a.maybeSent.Store(true)
	}}
	return out.WithContext(httptrace.WithClientTrace(a.ctx, trace))
}

// preventReplay has the transport send a request without a body only once. It would else send one with a safe method,
// or with a key of idempotency, again when a connection that was open before ends without an answer.
func preventReplay(r *http.Request) {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// A body of unknown length can't be sent again. Nothing of it appears on the wire.
		r.Body, r.TransferEncoding = io.NopCloser(strings.NewReader("")), []string{"identity"}
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[strings.ToLower(name)] = values // names are compared without regard to case, except by the transport
		}
	}
}

// startStallTimer starts the stall timer, or restarts it. A timeout of zero leaves it as it
// is.
func (a *attempt) startStallTimer(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	if t := a.stallTimer.Load(); t != nil {
		t.Reset(timeout)
		return
	}
	a.stallTimer.Store(time.AfterFunc(timeout, a.reportStall))
}

// stopStallTimer stops the stall timer permanently.
func (a *attempt) stopStallTimer() {
	a.ended.Store(true)
	if t := a.stallTimer.Load(); t != nil {
		t.Stop()
	}
}

// reportStall reports to the reducer that the attempt has received nothing for its timeout,
// and does so again every stallReportInterval until the attempt ends or receives something.
// The event includes how long ago any request of this daemon last received something from the
// target.
func (a *attempt) reportStall() {
	if a.ended.Load() {
		return
	}
	targetIdleTime := a.exchange.daemon.clock() - time.Duration(a.targetActiveAt.Load())
	a.exchange.daemon.Post(step.AnswerStalled{ID: a.forward.ID, Attempt: a.forward.Attempt, TargetSilence: targetIdleTime, Unresumable: a.exchange.unresumable.Load()})
	if t := a.stallTimer.Load(); t != nil {
		t.Reset(stallReportInterval)
	}
}

// classifyError returns the ending for an error of sending or reading. It claims only what is
// certain: without a connection the target can't have received the request.
func (a *attempt) classifyError(err error) step.Ending {
	a.exchange.daemon.log.Debug("attempt failed", "request", a.exchange.callerID, "attempt", a.forward.Attempt, "host", a.forward.Host, "error", err)
	switch {
	case !a.maybeSent.Load():
		return step.EndedUnsent
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return step.EndedTimeout
	case a.ctx.Err() != nil:
		return step.EndedCancelled
	}
	return step.EndedBroken
}

// bufferAnswer reads the complete answer and buffers it for the reducer to decide on.
func (a *attempt) bufferAnswer(resp *http.Response) step.Ending {
	held := &buffer{budget: a.exchange.daemon.answers}
	length := resp.ContentLength
	switch {
	case resp.Body == http.NoBody:
		length = 0 // its Content-Length may be that of another method's answer
	case length > maxAnswerBytes:
		return step.EndedBroken
	}
	body, err := held.readWhole(io.LimitReader(resp.Body, maxAnswerBytes+1), length)
	if err != nil {
		held.release()
		return a.classifyError(err)
	}
	if len(body) > maxAnswerBytes || !stricthttp.IsFramed(resp) && isEventStream(resp.Header) && !endsWithEvent(body) {
		held.release()
		return step.EndedBroken
	}
	a.exchange.hold(&bufferedAnswer{host: a.forward.Host, status: resp.StatusCode, header: resp.Header, body: body, held: held})
	if resp.StatusCode >= http.StatusInternalServerError {
		return step.EndedError
	}
	return step.EndedComplete
}
