package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

const (
	// maxAnswerBytes bounds an answer that is buffered until it is complete; a larger one
	// counts as broken.
	maxAnswerBytes = 16 << 20
	// maxEventBytes bounds one event of a stream; a stream with a larger one counts as broken.
	maxEventBytes = 1 << 20
	// A refusal's body is read so that its connection can be reused, if it has no more than
	// maxRefusalBytes and arrives within refusalTimeout.
	maxRefusalBytes = 4 << 10
	refusalTimeout  = 20 * time.Millisecond
	// stallReportInterval is the time between two reports to the reducer of the same attempt
	// that still receives nothing.
	stallReportInterval = 100 * time.Millisecond
	// eventStreamType is the content type of a stream of server-sent events, and
	// lastEventHeader the header that names the last event that a caller has received.
	eventStreamType = "text/event-stream"
	lastEventHeader = "Last-Event-Id"
)

var errEventOrder = errors.New("target skipped an event of the stream: answer treated as broken")

// runAttempt sends the request to a target and relays a stream's events as they arrive. Any
// other answer is buffered for the reducer to decide on.
func (x *exchange) runAttempt(ctx context.Context, f step.Forward) step.ForwardEnded {
	a := &attempt{exchange: x, forward: f}
	if f.Daemon == "" {
		a.targetActiveAt = x.daemon.targets.activeAt(f.Host)
	} else {
		a.targetActiveAt = new(atomic.Int64) // what the daemon sends for other requests says nothing of this one
	}
	a.result.ID, a.result.Attempt, a.result.Delivered = f.ID, f.Attempt, x.eventsDelivered
	ctx, cancel := context.WithTimeout(ctx, f.Deadline-x.daemon.clock())
	defer cancel()
	a.ctx, a.cancel = ctx, cancel
	a.result.Ending = a.run()
	if f.Daemon == "" {
		countAttemptEnd(a.result.Ending)
	} else {
		countHandover(a.result)
	}
	a.result.Delivered = x.eventsDelivered
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
	started    bool        // an event of this attempt's stream has been delivered
}

// run sends the request and processes the answer. It returns how the attempt ended.
func (a *attempt) run() step.Ending {
	a.startStallTimer(a.forward.FirstByteTimeout)
	began := a.exchange.daemon.clock()
	resp, err := a.exchange.daemon.targets.transport(a.forward).RoundTrip(a.request())
	if err != nil {
		return a.classifyError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	now := a.exchange.daemon.clock()
	if a.forward.Daemon == "" {
		answerBeginSeconds.Update((now - began).Seconds())
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
		return step.EndedWrongAttempt
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
	a.exchange.answeringHost = a.forward.Host
	return a.receiveAnswer(resp)
}

// receiveAnswer relays a target's stream, or buffers its answer.
func (a *attempt) receiveAnswer(resp *http.Response) step.Ending {
	if a.forward.Stream && resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		return a.relayStream(resp)
	}
	if a.exchange.streamStarted {
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
		relay.Handover{MaxRuns: a.forward.MaxRuns, Counted: a.forward.Counted, ConfigVersion: a.forward.ConfigVersion}.Set(h)
	} else {
		a.exchange.daemon.platform.ToTarget(h, AttemptHeader{Host: a.forward.Host, Team: a.forward.Team, Urgency: a.forward.Urgency, TimeLeft: timeLeft, LastEventID: a.exchange.lastEventID})
	}
	if a.exchange.lastEventID != "" {
		h.Set(lastEventHeader, a.exchange.lastEventID)
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
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		a.newConn.Store(!i.Reused)
		a.maybeSent.Store(true)
	}}
	return out.WithContext(httptrace.WithClientTrace(a.ctx, trace))
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
	a.exchange.daemon.Post(step.AnswerStalled{ID: a.forward.ID, Attempt: a.forward.Attempt, TargetSilence: targetIdleTime})
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
	if len(body) > maxAnswerBytes || resp.StatusCode < 300 && resp.Header.Get("Content-Encoding") != "" {
		held.release()
		return step.EndedBroken // callers request no encoding: the body is not the target's own
	}
	a.exchange.hold(&bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body, held: held})
	if resp.StatusCode >= http.StatusInternalServerError {
		return step.EndedError
	}
	return step.EndedComplete
}

// relayStream relays events to the caller. It holds each event back until it is complete,
// because a target may stop in the middle of one.
func (a *attempt) relayStream(resp *http.Response) step.Ending {
	a.startStallTimer(a.forward.EventGapTimeout)
	in := bufio.NewReader(resp.Body)
	held := &buffer{budget: a.exchange.daemon.answers}
	defer held.release()
	var pending []byte
	lineBegan := 0 // index in pending
	for {
		piece, err := in.ReadSlice('\n')
		pending = append(pending, piece...)
		if len(pending) > maxEventBytes {
			return step.EndedBroken
		}
		if err := held.grow(len(pending)); err != nil {
			return a.classifyError(err)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the line is longer than the reader's buffer
		case err == io.EOF && len(bytes.TrimSpace(pending)) == 0:
			return a.endStream(resp)
		case err != nil:
			return a.classifyError(err)
		}
		line := pending[lineBegan:]
		lineBegan = len(pending)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		a.targetActiveAt.Store(int64(a.exchange.daemon.clock()))
		a.startStallTimer(a.forward.EventGapTimeout)
		if err := a.deliverEvent(resp, pending); err != nil {
			if errors.Is(err, errEventOrder) {
				return step.EndedBroken
			}
			a.exchange.daemon.Post(step.CallerGone{ID: a.forward.ID})
			return step.EndedCancelled
		}
		pending, lineBegan = pending[:0], 0
	}
}

// endStream ends a stream whose last event is complete. A stream without any event is complete
// only if its framing says so: a target that has crashed ends its connection too.
func (a *attempt) endStream(resp *http.Response) step.Ending {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	switch {
	case !a.started && !framed:
		return step.EndedBroken
	case !a.exchange.streamStarted:
		a.exchange.hold(&bufferedAnswer{status: resp.StatusCode, header: resp.Header, held: &buffer{budget: a.exchange.daemon.answers}})
	}
	return step.EndedComplete
}

// deliverEvent writes one complete event to the caller. It skips an event that the caller
// already has and fails with errEventOrder if one is missing before it.
func (a *attempt) deliverEvent(resp *http.Response, event []byte) error {
	x := a.exchange
	if id := eventID(event); id != "" {
		number, err := strconv.ParseInt(id, 10, 64)
		lastNumber, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
		if err == nil && errLast == nil && number != lastNumber+1 {
			if number <= lastNumber {
				return nil
			}
			return errEventOrder
		}
		x.lastEventID = id
	}
	if !x.streamStarted {
		copyHeader(x.w.Header(), resp.Header)
		x.markTargetsAnswer(x.runs + 1)
		x.w.WriteHeader(resp.StatusCode)
		x.streamStarted = true
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	x.eventsDelivered++
	if !a.started {
		a.started = true
		x.daemon.Post(step.StreamStarted{ID: a.forward.ID, Attempt: a.forward.Attempt})
	}
	return x.control.Flush()
}

// eventID returns the value of an event's id field, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
