package caller

import (
	"context"
	"net/http"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// work is what a kind of request does with the reducer's decisions.
type work interface {
	// attempt runs one attempt to its end.
	attempt(ctx context.Context, d step.Dispatch) step.AttemptEnded
	// deliver ends the answer of a whole attempt.
	deliver()
	// fail gives the final error.
	fail(a step.Answer)
}

// exchange leads one request to its final answer. It returns after the last
// attempt has ended, since attempts write to the caller.
func (h *Handler) exchange(r *http.Request, req step.Request, w work) {
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
				go func() { ended <- w.attempt(ctx, e) }()
			case step.Cancel:
				h.targets.Cancel(context.WithoutCancel(r.Context()), e.To.Address, e.Attempt)
				cancel()
			case step.Deliver:
				w.deliver()
				return
			case step.Answer:
				w.fail(e)
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
