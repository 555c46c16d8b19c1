package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	i := e.process.Of(r)
	var order engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(e.currentFaults().OrderDelayMillis) * time.Millisecond)
	if i.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if !e.fits(i.State, order) {
		e.count(func(s *Stats) { s.OrdersRefused++ })
		serve.Reply(w, http.StatusConflict, engineapi.OrderReply{Status: e.report(i)})
		return
	}
	e.carryOut(i, order)
	serve.Reply(w, http.StatusOK, engineapi.OrderReply{Taken: true, Status: e.report(i)})
}

// fits checks the order's fencing number and records it.
func (e *Engine) fits(s *state, o engineapi.Order) bool {
	e.mu.Lock()
	kept := e.keptFence
	e.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retiring {
		panic(http.ErrAbortHandler)
	}
	highest := s.fence
	if e.options.KeepsFence {
		highest = max(highest, kept)
	}
	stale := o.Fence < highest
	if stale && e.options.ChecksFencing {
		return false
	}
	s.fence = max(highest, o.Fence)
	e.count(func(stats *Stats) {
		stats.OrdersTaken++
		if stale {
			stats.StaleOrdersTaken++
		}
		e.keptFence = max(e.keptFence, s.fence)
	})
	return true
}

func (e *Engine) carryOut(i *lifecycle.Incarnation[*state], o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderJoin:
		e.join(i, o)
	case engineapi.OrderIdle:
		i.State.leave()
	case engineapi.OrderRetire:
		e.retire(i)
	}
}

func (e *Engine) join(i *lifecycle.Incarnation[*state], o engineapi.Order) {
	ctx, cancel := context.WithCancel(i.Context())
	next := &assignment{order: o, ctx: ctx, cancel: cancel}
	previous, taken := i.State.take(next)
	if !taken {
		cancel()
		return
	}
	if previous != nil {
		previous.cancel()
		if previous.order.Group != o.Group {
			e.count(func(s *Stats) { s.JoinedWhileInGroup++ })
		}
	}
	go e.load(i.State, next)
	go e.followMembers(i.State, next)
}

// take replaces the assignment unless it is the one already held.
func (s *state) take(next *assignment) (previous *assignment, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held.isFor(next.order) {
		return nil, false
	}
	previous = s.held
	s.held = next
	s.whole, s.wholeAt, s.brokenAt = false, time.Time{}, time.Time{}
	return previous, true
}

func (s *state) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		s.held.cancel()
	}
	s.held, s.weights = nil, ""
	s.whole, s.wholeAt, s.brokenAt = false, time.Time{}, time.Time{}
}

// load loads the weights of the assignment unless they are there.
func (e *Engine) load(s *state, a *assignment) {
	if s.isLoaded() {
		return
	}
	e.count(func(stats *Stats) { stats.Loads++ })
	if !sleep(a.ctx, e.options.Load) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == a {
		s.weights = weightsOf(a.order)
	}
}

// retire ends the incarnation once the answer to the order has left.
func (e *Engine) retire(i *lifecycle.Incarnation[*state]) {
	i.State.leave()
	i.State.mu.Lock()
	i.State.retiring = true
	i.State.mu.Unlock()
	e.count(func(s *Stats) { s.Retired++ })
	time.AfterFunc(retireGrace, func() { e.end(i) })
}

// sleep waits and reports whether the context lasted.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
