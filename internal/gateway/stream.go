package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	// maxEventBytes bounds one event of a stream; a stream with a larger one counts as broken.
	maxEventBytes = 1 << 20
	// eventStreamType is the content type of a stream of server-sent events, and
	// lastEventHeader the header that names the last event that a caller has received.
	eventStreamType = "text/event-stream"
	lastEventHeader = "Last-Event-Id"
)

var errEventOrder = errors.New("target skipped an event of the stream: answer treated as broken")

// relayStream relays events to the caller. It holds each event back until it is complete,
// because a target may stop in the middle of one.
func (a *attempt) relayStream(resp *http.Response) step.Ending {
	a.startStallTimer(a.forward.EventGapTimeout)
	a.resumes = a.exchange.lastEventID != ""
	in := bufio.NewReader(resp.Body)
	held := &buffer{budget: a.exchange.daemon.buffers}
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
// only if its framing says so: a target that has crashed ends its connection too. One that was to go on and
// brought no further event is not: nothing shows that the caller has the last one.
func (a *attempt) endStream(resp *http.Response) step.Ending {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	switch {
	case !a.started && (!framed || a.resumes):
		return step.EndedBroken
	case !a.exchange.streamStarted:
		a.exchange.hold(&bufferedAnswer{status: resp.StatusCode, header: resp.Header, held: &buffer{budget: a.exchange.daemon.buffers}})
	}
	return step.EndedComplete
}

// deliverEvent writes one complete event to the caller. It skips an event that the caller
// already has and fails with errEventOrder if one is missing before it.
func (a *attempt) deliverEvent(resp *http.Response, event []byte) error {
	x := a.exchange
	if a.resumes && isComment(event) {
		return nil
	}
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

// isComment reports whether an event consists of comments alone, which callers ignore.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
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
