package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

const (
	// defaultMaxBodyBytes bounds a request's body while the configuration sets no limit; a
	// larger body is answered with 413.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a request's body; the caller's own timeout replaces it
	// if that is shorter. A body that is late is answered with 408.
	bodyTimeout = 10 * time.Second
	// announcedIdleTime is how long callers are told to use an idle connection, so that none is closed as
	// a caller sends its next request.
	announcedIdleTime = 2 * time.Second
	// writeGrace is how long after a request's deadline its answer may still be written to the
	// caller, and the least time that any answer has.
	writeGrace = time.Second
	// exitRetryAfter is the delay after which a caller should retry a request that this daemon can't
	// take since it exits. Any other daemon takes it at once.
	exitRetryAfter = 10 * time.Millisecond
	// discardTimeout bounds the reading of a refused body; the connection is closed after it.
	discardTimeout = 500 * time.Millisecond
	// memoryRetryAfter is when a caller may send a request again that found no room.
	memoryRetryAfter = time.Second
)

// serveCaller handles one request of a caller, from its body to the end of its answer.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.serve(w, r, step.Call{})
}

// serve handles one request. origin says whether another daemon has handed it over.
func (d *Daemon) serve(w http.ResponseWriter, r *http.Request, origin step.Call) {
	callHeader := d.platform.ReadCall(r.Header)
	x := &exchange{
		daemon: d, w: w, r: r, control: http.NewResponseController(w), callerID: callHeader.ID, handedOver: origin.HandedOver,
		id: step.RequestID(strconv.FormatUint(d.lastRequestNumber.Add(1), 36)), ended: make(chan step.ForwardEnded, 1),
	}
	if closedAsIdle(r) || !connOf(r).beginBody() {
		panic(http.ErrAbortHandler) // its caller may have sent it elsewhere
	}
	x.setKeepAlive()
	x.bodyMemory = &buffer{budget: d.bodies}
	defer x.giveMemoryBack()
	if !x.readBody(callHeader.TimeLeft) {
		return
	}
	call := step.Call{
		ID: x.id, CallerID: callHeader.ID, Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery, Key: callHeader.Key,
		Model: callHeader.Model, PromptTokens: callHeader.PromptTokens, MaxTokens: callHeader.MaxTokens,
		SharedParts: callHeader.SharedParts, BodyHash: xxhash.Sum64(x.body),
		HandedOver: origin.HandedOver, MaxRuns: origin.MaxRuns, Counted: origin.Counted, Service: origin.Service, ConfigVersion: origin.ConfigVersion, LeavingHosts: origin.LeavingHosts, StaysHere: relay.ServesPath(r.URL.Path),
	}
	if callHeader.TimeLeft > 0 {
		call.Deadline = x.arrivedAt + callHeader.TimeLeft
	}
	x.serve(call)
}

// exchange is one caller's request together with its final answer. Attempts write a stream to
// the caller directly. Two may run at a time; only one of them delivers events.
type exchange struct {
	daemon    *Daemon
	w         http.ResponseWriter
	r         *http.Request
	control   *http.ResponseController
	id        step.RequestID // unique within the incarnation
	callerID  string         // the caller's own ID of the request
	arrivedAt time.Duration  // when the header had been read
	body      []byte
	// bodyMemory is the memory of body.
	bodyMemory *buffer
	bodyUnread bool // the request was refused before all of its body had been read

	// relayMu guards the fields up to reached, and the writing of events. The handler alone changes runs, sent and
	// reached.
	relayMu         sync.Mutex
	streamStarted   bool           // the header of a stream has been sent to the caller
	eventsDelivered int            // events of a stream written to the caller
	lastEventID     string         // of the last event written that has a number, for a resumed stream
	deliverer       step.AttemptID // the attempt that wrote the last event; empty before
	contested       bool           // a second attempt was started, and no event has been written since
	finished        bool           // the final answer is being sent
	answeringHost   string         // whose answer has been sent
	runs            int            // ended attempts that may have run
	sent            int            // attempts at hosts
	reached         int            // ended attempts that may have reached a host

	unresumable atomic.Bool // the last event written does not show which one is next
	// buffered is nil before a complete answer has arrived. Only streams that have begun have two attempts, and
	// those buffer none.
	buffered     *bufferedAnswer
	holdMu       sync.Mutex  // guards the change of buffered and closed
	closed       bool        // the handler is about to return
	resetOnClose *serverConn // of an HTTP/1.0 caller that is getting a stream; else nil

	handedOver bool // another daemon has handed the request over

	ended    chan step.ForwardEnded // the ends of the running attempts
	cancels  map[step.AttemptID]context.CancelFunc
	complete bool          // an attempt has ended with a complete answer since the last one was started
	deadline time.Duration // of the last attempt; zero before
}

// bufferedAnswer is a target's complete answer that has not been sent to the caller yet. The
// reducer decides whether it is.
type bufferedAnswer struct {
	host   string // empty if another daemon gave it
	status int
	header http.Header
	body   []byte
	held   *buffer // the memory of body
}

// hold keeps an answer in place of an earlier one; nil keeps none. Once the exchange has ended it keeps none.
func (x *exchange) hold(a *bufferedAnswer) {
	x.holdMu.Lock()
	defer x.holdMu.Unlock()
	if x.buffered != nil {
		x.buffered.held.release()
	}
	x.buffered = a
	if x.closed && a != nil {
		a.held.release()
		x.buffered = nil
	}
}

// position returns the last event with a number that the caller has, and how many events it has.
func (x *exchange) position() (lastEventID string, events int) {
	x.relayMu.Lock()
	defer x.relayMu.Unlock()
	return x.lastEventID, x.eventsDelivered
}

func (x *exchange) hasStarted() bool {
	x.relayMu.Lock()
	defer x.relayMu.Unlock()
	return x.streamStarted
}

// mayDeliver reports whether an attempt may go on with the stream: it wrote the last event, or the caller has got none
// since it began. relayMu is held.
func (x *exchange) mayDeliver(a *attempt) bool {
	return !x.finished && (x.deliverer == a.forward.Attempt || x.eventsDelivered == a.eventsBefore)
}

// giveMemoryBack ends the exchange. An attempt may still be about to end.
func (x *exchange) giveMemoryBack() {
	x.holdMu.Lock()
	x.closed = true
	x.holdMu.Unlock()
	x.hold(nil)
	x.bodyMemory.release()
}

// readBody reads the request's body. If that fails, it sends an error answer and returns
// false. timeLeft is the caller's own timeout; 0 if it sent none.
func (x *exchange) readBody(timeLeft time.Duration) bool {
	x.arrivedAt = x.daemon.clock()
	limit, wait := int64(defaultMaxBodyBytes), bodyTimeout
	if c := x.daemon.config.Load(); c != nil && c.Limits.MaxBodyBytes > 0 {
		limit = c.Limits.MaxBodyBytes
	}
	if timeLeft > 0 {
		wait = min(wait, timeLeft)
	}
	if x.r.ContentLength != 0 {
		// Without a deadline, a caller that stops sending would occupy memory forever.
		_ = x.control.SetReadDeadline(time.Now().Add(wait))
	}
	var err error
	switch {
	case x.r.ContentLength > limit:
		err = &http.MaxBytesError{Limit: limit}
	case x.daemon.answers.nearlyFull():
		err = errAnswersFull
	default:
		x.body, err = x.bodyMemory.readWhole(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	}
	arrived := connOf(x.r).endBody()
	if closedAsIdle(x.r) {
		panic(http.ErrAbortHandler) // at the bound on connections; its caller gets no answer, so it must not run
	}
	if err == nil && !arrived {
		err = os.ErrDeadlineExceeded // cut as the last bytes arrived
	}
	if err == nil {
		if x.r.ContentLength != 0 {
			_ = x.control.SetReadDeadline(time.Time{})
		}
		return true
	}
	x.body = nil
	x.bodyMemory.release()
	a := step.Answer{Status: http.StatusRequestTimeout, Code: step.CodeBadRequest, Message: "the body did not arrive whole in time: send it again"}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		a.Status, a.Code, a.Message = http.StatusRequestEntityTooLarge, step.CodeTooLarge, "the body is larger than the configuration allows: shorten it"
	case errors.Is(err, errBuffersFull), errors.Is(err, errAnswersFull):
		a = x.refuseForMemory(err)
	}
	x.bodyUnread = true
	x.sendError(a)
	connOf(x.r).refused()
	x.discardBody()
	return false
}

// discardBody reads the rest of a body after its refusal: a connection that is closed with unread bytes is
// reset, and the caller may lose the answer. Only some connections do so at a time.
func (x *exchange) discardBody() {
	d := x.daemon
	defer d.discards.Add(-1)
	if d.discards.Add(1) > maxDiscards(d.callers.conns.bounds.connections) {
		d.cuts.add(cutDiscard)
		_ = x.control.SetReadDeadline(time.Now()) // net/http would read on
		return
	}
	_ = x.control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, x.r.Body) // an error means that the caller has left, or sends too long
}

// refuseForMemory returns the answer to a request that finds no room. Another daemon may have some.
func (x *exchange) refuseForMemory(reason error) step.Answer {
	refusedForMemory.Inc()
	x.daemon.logEvent(event.RefusedForMemory, event.F("request", x.callerID), event.F("reason", reason), event.F("length", x.r.ContentLength), event.F("handedOver", x.handedOver))
	a := step.Answer{Status: http.StatusServiceUnavailable, Code: step.CodeOverloaded, Outcome: object.NotRun, RetryAfter: memoryRetryAfter, Message: "other requests take the memory that there is: come back"}
	if x.handedOver {
		a.Code = step.CodeDaemonBusy
	}
	return a
}

// serve posts the request to the reducer and executes the effects for it. It returns once all
// attempts have ended, because attempts write to the caller.
func (x *exchange) serve(call step.Call) {
	effects := x.daemon.calls.Add(x.id)
	defer x.daemon.calls.Remove(x.id)
	defer x.countRequest()
	x.daemon.Post(call)
	gone := x.r.Context().Done()
	ctx, stop := context.WithCancel(context.WithoutCancel(x.r.Context()))
	defer x.awaitAttempts()
	defer stop()
	for {
		var effect step.Effect
		select {
		case effect = <-effects:
		case end := <-x.ended:
			x.recordEnd(end)
			x.daemon.Post(end)
			continue
		case <-gone:
			gone = nil
			x.daemon.Post(step.CallerGone{ID: x.id})
			continue
		case <-x.daemon.reducerDone:
			stop()
			x.finishWithoutReducer(effects)
			return
		}
		switch e := effect.(type) {
		case step.Forward:
			x.start(ctx, e)
		case step.Cancel:
			if cancel, running := x.cancels[e.Attempt]; running {
				cancel()
			}
		case step.Deliver, step.Answer:
			x.finish(effect)
			return
		}
	}
}

// start starts an attempt.
func (x *exchange) start(ctx context.Context, f step.Forward) {
	attemptCtx, cancel := context.WithCancel(ctx)
	x.relayMu.Lock()
	x.contested = len(x.cancels) > 0
	x.sent++
	x.complete = false
	x.relayMu.Unlock()
	if x.cancels == nil {
		x.cancels = make(map[step.AttemptID]context.CancelFunc, 1)
	}
	x.cancels[f.Attempt] = cancel
	x.deadline = f.Deadline
	x.setWriteDeadline()
	go func() {
		defer cancel()
		x.ended <- x.runAttempt(attemptCtx, f)
	}()
}

// awaitAttempts waits for the attempts that still run, which have been cancelled.
func (x *exchange) awaitAttempts() {
	for len(x.cancels) > 0 {
		x.recordEnd(<-x.ended)
	}
}

// recordEnd records the end of an attempt.
func (x *exchange) recordEnd(end step.ForwardEnded) {
	x.relayMu.Lock()
	defer x.relayMu.Unlock()
	delete(x.cancels, end.Attempt)
	x.complete = x.complete || end.Ending == step.EndedComplete
	if end.Ending != step.EndedUnsent && end.Ending != step.EndedRefused {
		x.runs++
	}
	if end.Ending != step.EndedUnsent {
		x.reached++
	}
}

// finish sends the final answer.
func (x *exchange) finish(effect step.Effect) {
	x.relayMu.Lock()
	x.finished = true
	x.relayMu.Unlock()
	if answer, ok := effect.(step.Answer); ok {
		x.countAnswer(string(answer.Code))
		x.sendError(answer)
		return
	}
	x.countAnswer(loop.CodeOK)
	x.finishAnswer()
}

// finishWithoutReducer sends a final answer after the reducer has ended: the one that it has decided on, what the
// last attempt has brought, or else what is certain. The attempts are being cancelled.
func (x *exchange) finishWithoutReducer(effects <-chan step.Effect) {
	x.awaitAttempts()
	for pending := true; pending; {
		select {
		case effect := <-effects:
			switch effect.(type) {
			case step.Deliver, step.Answer:
				x.finish(effect)
				return
			}
		default:
			pending = false
		}
	}
	switch {
	case x.complete && (x.streamStarted || x.buffered != nil && x.buffered.status < http.StatusBadRequest):
		x.finish(step.Deliver{})
	case x.runs > 0:
		x.finish(step.Answer{Status: http.StatusGatewayTimeout, Code: step.CodeShuttingDown, Outcome: object.Unknown, Message: "this daemon is stopping, and the request may have run"})
	default:
		x.finish(step.Answer{
			Status: http.StatusServiceUnavailable, Code: step.CodeShuttingDown, Outcome: object.NotRun, RetryAfter: exitRetryAfter,
			Message: "this daemon is stopping: send the request again, over another connection",
		})
	}
}
