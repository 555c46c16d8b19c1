package caller

import (
	"context"
	"net/http"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// responder carries out the reducer's decisions for one request. There is one
// implementation for completions and one for service calls.
type responder interface {
	// runAttempt sends one attempt to its target and returns when the attempt has ended.
	runAttempt(ctx context.Context, d step.Dispatch) step.AttemptEnded
	// deliver writes the answer of a complete attempt, or the end of it if it was streamed.
	deliver()
	// fail writes the final error to the caller.
	fail(a step.Answer)
}

// exchange submits one request to the reducer and carries out its decisions until the
// caller has the final answer. It returns only after the last attempt has ended, since
// attempts write to the caller.
func (h *Handler) exchange(r *http.Request, req step.Request, resp responder) {
	effects := h.loop.Submit(req)
	defer h.loop.Release(req.ID)
	ended := make(chan step.AttemptEnded, 1)
	gone := r.Context().Done()
	cancel := context.CancelFunc(func() {})
	defer func() { cancel() }()
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case step.Dispatch:
				var ctx context.Context
				ctx, cancel = h.attemptContext(r, e)
				go func() { ended <- resp.runAttempt(ctx, e) }()
			case step.Cancel:
				h.targets.Cancel(context.WithoutCancel(r.Context()), e.To.Address, e.Attempt)
				cancel()
			case step.Deliver:
				resp.deliver()
				return
			case step.Answer:
				resp.fail(e)
				return
			}
		case end := <-ended:
			cancel()
			h.loop.Post(end)
		case <-gone:
			gone = nil
			h.loop.Post(step.CallerGone{ID: req.ID})
		}
	}
}
