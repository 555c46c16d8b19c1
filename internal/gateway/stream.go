package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

const (
	// maxEventBytes bounds one event of a stream; a stream with a larger one counts as broken.
	maxEventBytes = 1 << 20
	// eventStreamType is the content type of a stream of server-sent events, and
	// lastEventHeader the header that names the last event that a caller has received.
	eventStreamType = "text/event-stream"
	lastEventHeader = "Last-Event-Id"
)

// errSuperseded ends an attempt whose stream another attempt has gone on with.
var errSuperseded = errors.New("another attempt goes on with the stream: attempt cancelled")

var errEventOrder = errors.New("target sent something else than the next event of the stream: answer treated as broken")

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
			switch {
			case errors.Is(err, errEventOrder):
				return step.EndedBroken
			case errors.Is(err, errSuperseded):
				return step.EndedCancelled
			}
			a.exchange.daemon.Post(step.CallerGone{ID: a.forward.ID})
			return step.EndedCancelled
		}
		pending, lineBegan = pending[:0], 0
	}
}

// endStream ends a stream whose last event is complete. A stream without any event is complete
// only if its framing says so: a target that has crashed ends its connection too. One that was to go on and
// brought no further event is not: nothing shows that the caller has the last one.
func (a *attempt) endStream(resp *http.Response) step.Ending {
	x := a.exchange
	x.relayMu.Lock()
	defer x.relayMu.Unlock()
	switch {
	case !x.mayDeliver(a):
		return step.EndedCancelled
	case !a.started && (!stricthttp.IsFramed(resp) || a.resumes):
		return step.EndedBroken
	case !x.streamStarted:
		x.hold(&bufferedAnswer{host: a.forward.Host, status: resp.StatusCode, header: resp.Header, held: &buffer{budget: x.daemon.answers}})
	}
	return step.EndedComplete
}

// isEventStream reports whether an answer is a stream of events.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	return len(contentType) >= len(eventStreamType) && strings.EqualFold(contentType[:len(eventStreamType)], eventStreamType)
}

// endsWithEvent reports whether a whole stream has events, and the last one is complete.
func endsWithEvent(stream []byte) bool {
	read, complete := 0, 0
	for line := range bytes.Lines(stream) {
		read += len(line)
		if line[len(line)-1] == '\n' && len(bytes.TrimRight(line, "\r\n")) == 0 {
			complete = read
		}
	}
	return complete > 0 && len(bytes.TrimSpace(stream[complete:])) == 0
}

// deliverEvent writes one complete event to the caller, unless the caller already has it. It fails with
// errEventOrder if the event is not the next one of the stream, and with errSuperseded if another attempt
// delivers it.
func (a *attempt) deliverEvent(resp *http.Response, event []byte) error {
	x := a.exchange
	isFirst := !a.started
	contested, err := a.writeEvent(resp, event)
	switch {
	case isFirst && a.started:
		x.daemon.Post(step.StreamStarted{ID: a.forward.ID, Attempt: a.forward.Attempt})
	case contested:
		x.daemon.Post(step.StreamResumed{ID: a.forward.ID, Attempt: a.forward.Attempt})
	}
	return err
}

// writeEvent is deliverEvent without the message to the reducer. It reports whether another attempt was running that
// the reducer has not cancelled yet.
func (a *attempt) writeEvent(resp *http.Response, event []byte) (contested bool, err error) {
	x := a.exchange
	x.relayMu.Lock()
	defer x.relayMu.Unlock()
	if !x.mayDeliver(a) {
		return false, errSuperseded
	}
	next, err := a.isNext(event)
	if err != nil || !next {
		return false, err
	}
	x.deliverer, x.answeringHost = a.forward.Attempt, a.forward.Host
	contested, x.contested = x.contested, false
	if !isComment(event) {
		number, numbered := eventNumber(event)
		last, err := strconv.ParseInt(x.lastEventID, 10, 64)
		x.unresumable.Store(!numbered || err == nil && number != last+1)
		if numbered {
			x.lastEventID = strconv.FormatInt(number, 10)
		}
	}
	if !x.streamStarted {
		x.hold(nil) // a failure can no longer be the answer
		copyHeader(x.w.Header(), resp.Header)
		x.markTargetsAnswer(x.runs + 1)
		x.setKeepAlive()
		x.resetUnlessComplete()
		x.w.WriteHeader(resp.StatusCode)
		x.streamStarted = true
	}
	if _, err := x.w.Write(event); err != nil {
		return contested, err
	}
	x.eventsDelivered++
	if !a.started {
		a.started = true
		if a.forward.Estimated > 0 && !a.resumes {
			estimateRatio.Update(float64(x.daemon.clock()-a.beganAt) / float64(a.forward.Estimated))
		}
	}
	return contested, x.control.Flush()
}

// isNext reports whether an event is to be passed on to the caller, who has the events up to lastEventID. It
// fails if the event is not of this stream or not the next one: a target may send an error where the events
// of a stream are due. A stream has no order before the first event with a number. A target's numbers only have
// to rise, so a gap between two of them is no missing piece; in an attempt that goes on with a stream it may be.
func (a *attempt) isNext(event []byte) (bool, error) {
	last, err := strconv.ParseInt(a.exchange.lastEventID, 10, 64)
	ordered := err == nil
	number, numbered := eventNumber(event)
	switch {
	case hasHead(event):
		return false, errEventOrder
	case isComment(event):
		return !a.resumes, nil
	case !ordered:
		return true, nil
	case !numbered || a.resumes && isError(event):
		return false, errEventOrder
	case number <= last && a.resumes && !a.started:
		return false, nil
	case number <= last || a.resumes && number != last+1:
		return false, errEventOrder
	}
	return true, nil
}

// hasHead reports whether an event has the first line of an HTTP answer.
func hasHead(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return true
		}
	}
	return false
}

// isComment reports whether an event consists of comments alone, which callers ignore.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// isError reports whether an event says that the stream failed.
func isError(event []byte) bool { return field(event, "event") == "error" }

// eventNumber returns an event's id as a number. ok is false if it has none.
func eventNumber(event []byte) (number int64, ok bool) {
	number, err := strconv.ParseInt(field(event, "id"), 10, 64)
	return number, err == nil
}

// field returns the value of an event's field, or "" if it has none.
func field(event []byte, name string) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
