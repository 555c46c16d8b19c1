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

// Attempt is one sending of a request to a target.
type Attempt struct {
	step.Dispatch
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	Key    string // idempotency key, or empty
}

// Answer is a whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// errSilent is the cause of a stream cancelled for silence.
var errSilent = errors.New("the connection went silent: it is closed and a new one is dialled")

// sent tells whether any byte may have gone out.
type sent struct{ conn atomic.Bool }

// newRequest builds the HTTP request of an attempt. The body has no GetBody: the
// transport must never send a request again of its own accord, not even one that
// carries an Idempotency-Key.
func newRequest(ctx context.Context, a Attempt, s *sent) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { s.conn.Store(true) }}
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
		req.Header.Set(engineapi.HeaderResume, strconv.Itoa(a.Resume))
	}
	if a.Key != "" {
		req.Header.Set(engineapi.HeaderKey, a.Key)
	}
	return req, nil
}

// ending judges an error of sending or reading by what is proved.
func ending(ctx context.Context, s *sent) step.Ending {
	switch {
	case !s.conn.Load():
		return step.EndedUnsent
	case errors.Is(context.Cause(ctx), errSilent):
		return step.EndedBroken
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return step.EndedTimeout
	case ctx.Err() != nil:
		return step.EndedCancelled
	}
	return step.EndedBroken
}

// Call sends an attempt to a plain service and holds the answer until it is whole.
func (c *Client) Call(ctx context.Context, a Attempt) (Answer, step.AttemptEnded) {
	end := step.AttemptEnded{ID: a.ID, Attempt: a.Dispatch.Attempt}
	s := &sent{}
	req, err := newRequest(ctx, a, s)
	if err != nil {
		end.Ending = step.EndedUnsent
		return Answer{}, end
	}
	// A call that may not be repeated goes over a connection dialled for it: a pooled
	// one may be dead, and then nobody could say whether the call ran.
	began := time.Now()
	resp, err := c.transportFor(a.To.Address, a.Fresh || !a.Idempotent).RoundTrip(req)
	if err != nil {
		end.Ending = ending(ctx, s)
		return Answer{}, end
	}
	defer func() { _ = resp.Body.Close() }()
	end.FirstToken = time.Since(began)
	return c.readAnswer(ctx, a, resp, s, end)
}

func (c *Client) readAnswer(ctx context.Context, a Attempt, resp *http.Response, s *sent, end step.AttemptEnded) (Answer, step.AttemptEnded) {
	end.Status = resp.StatusCode
	end.Incarnation = resp.Header.Get(engineapi.HeaderIncarnation)
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.set.MaxAnswerBytes+1))
	if err != nil {
		end.Ending = ending(ctx, s)
		return Answer{}, end
	}
	end.Ending = judge(a, resp)
	if int64(len(body)) > c.set.MaxAnswerBytes {
		end.Ending = step.EndedBroken
	}
	if end.Ending != step.EndedWhole {
		return Answer{}, end
	}
	end.Body = body
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, end
}

// judge says what an answer proves that was read to its end.
func judge(a Attempt, resp *http.Response) step.Ending {
	bounded := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.StatusCode == http.StatusNoContent
	switch {
	case resp.Header.Get(engineapi.HeaderAttempt) != string(a.Dispatch.Attempt):
		return step.EndedCrossed
	case resp.Header.Get(engineapi.HeaderNotRun) == "true":
		return step.EndedRefused
	case !bounded:
		// Its end is the connection's end, which proves nothing.
		return step.EndedBroken
	case resp.StatusCode >= http.StatusInternalServerError:
		return step.EndedError
	}
	return step.EndedWhole
}
