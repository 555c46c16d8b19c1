package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

// Attempt is one sending of a caller's request to a target.
type Attempt struct {
	step.Dispatch
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	Key    string // the caller's idempotency key, or empty
}

// Answer is a complete answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// errStalled is the cancellation cause of a stream that delivered nothing for StallTimeout.
var errStalled = errors.New("the target sent nothing within the stall timeout")

// sendState records whether any byte of a request may have been sent: connected is set once
// the transport has a connection for the request.
type sendState struct{ connected atomic.Bool }

// newRequest builds the HTTP request of an attempt. It clears GetBody so that the transport
// never sends a request a second time, not even one with an Idempotency-Key.
func newRequest(ctx context.Context, a Attempt, s *sendState) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.To.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	for name, values := range a.Header {
		req.Header[name] = values
	}
	req.Header.Set(engineapi.HeaderAttempt, string(a.Attempt))
	req.Header.Set(engineapi.HeaderPriority, strconv.Itoa(a.Priority))
	if a.To.Group != "" {
		req.Header.Set(engineapi.HeaderGroup, a.To.Group)
		req.Header.Set(engineapi.HeaderGeneration, strconv.FormatUint(a.To.Generation, 10))
	}
	if a.Resume > 0 {
		req.Header.Set(engineapi.HeaderResumeFrom, strconv.Itoa(a.Resume))
	}
	if a.Key != "" {
		req.Header.Set(engineapi.HeaderIdempotencyKey, a.Key)
	}
	return req, nil
}

// endingOfError classifies an error of sending the request or reading the answer by what the
// error proves: EndedUnsent if there was no connection, so that no byte was sent, and otherwise
// EndedTimeout, EndedCancelled or EndedBroken. A stall counts as broken.
func endingOfError(ctx context.Context, s *sendState) step.Ending {
	switch {
	case !s.connected.Load():
		return step.EndedUnsent
	case errors.Is(context.Cause(ctx), errStalled):
		return step.EndedBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return step.EndedTimeout
	case ctx.Err() != nil:
		return step.EndedCancelled
	}
	return step.EndedBroken
}

// Call sends an attempt to a plain service and returns the answer once it is complete. The
// answer is empty unless the ending is EndedComplete.
func (c *Client) Call(ctx context.Context, a Attempt) (Answer, step.AttemptEnded) {
	end := step.AttemptEnded{ID: a.ID, Attempt: a.Dispatch.Attempt}
	s := &sendState{}
	req, err := newRequest(ctx, a, s)
	if err != nil {
		end.Ending = step.EndedUnsent
		return Answer{}, end
	}
	// A call that must not be repeated uses a new connection. A pooled connection may be dead,
	// and it would then be unknown whether the call ran.
	began := time.Now()
	resp, err := c.transportFor(a.To.Address, a.Fresh || !a.Idempotent).RoundTrip(req)
	if err != nil {
		end.Ending = endingOfError(ctx, s)
		return Answer{}, end
	}
	defer func() { _ = resp.Body.Close() }()
	end.FirstToken = time.Since(began)
	return c.readAnswer(ctx, a, resp, s, end)
}

func (c *Client) readAnswer(ctx context.Context, a Attempt, resp *http.Response, s *sendState, end step.AttemptEnded) (Answer, step.AttemptEnded) {
	end.Status = resp.StatusCode
	end.Incarnation = resp.Header.Get(engineapi.HeaderIncarnation)
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.set.MaxAnswerBytes+1))
	if err != nil {
		end.Ending = endingOfError(ctx, s)
		return Answer{}, end
	}
	end.Ending = endingOfAnswer(a, resp)
	if int64(len(body)) > c.set.MaxAnswerBytes {
		end.Ending = step.EndedBroken
	}
	if end.Ending != step.EndedComplete {
		return Answer{}, end
	}
	end.Body = body
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, end
}

// endingOfAnswer classifies an answer by its status and headers. EndedComplete holds only if
// the body is also read to its end without an error.
func endingOfAnswer(a Attempt, resp *http.Response) step.Ending {
	bounded := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.StatusCode == http.StatusNoContent
	switch {
	case resp.Header.Get(engineapi.HeaderAttempt) != string(a.Dispatch.Attempt):
		return step.EndedWrongAttempt
	case resp.Header.Get(engineapi.HeaderNotRun) == "true":
		return step.EndedRefused
	case !bounded:
		// The body has neither a length nor chunks, so it ends with the connection. Such an
		// end does not prove that the body is complete.
		return step.EndedBroken
	case resp.StatusCode >= http.StatusInternalServerError:
		return step.EndedError
	}
	return step.EndedComplete
}
