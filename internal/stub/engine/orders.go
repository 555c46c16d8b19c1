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

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	if !e.acceptFence(i.State, order) {
		e.count(func(s *Stats) { s.OrdersRefused++ })
		serve.Reply(w, http.StatusConflict, engineapi.OrderReply{Status: e.report(i)})
		return
	}
	e.carryOut(i, order)
	serve.Reply(w, http.StatusOK, engineapi.OrderReply{Accepted: true, Status: e.report(i)})
}

// acceptFence checks the order's fencing token and records it. It returns false for an older
// token if the engine checks fencing, and aborts the connection if the engine is retiring.
func (e *Engine) acceptFence(s *state, o engineapi.Order) bool {
	e.mu.Lock()
	persisted := e.persistedFence
	e.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retiring {
		panic(http.ErrAbortHandler)
	}
	highest := s.fence
	if e.options.PersistsFence {
		highest = max(highest, persisted)
	}
	stale := o.FencingToken < highest
	if stale && e.options.ChecksFencing {
		return false
	}
	s.fence = max(highest, o.FencingToken)
	e.count(func(stats *Stats) {
		stats.OrdersAccepted++
		if stale {
			stats.StaleOrdersAccepted++
		}
		e.persistedFence = max(e.persistedFence, s.fence)
	})
	return true
}

func (e *Engine) carryOut(i *lifecycle.Incarnation[*state], o engineapi.Order) {
	switch o.Kind {
	case engineapi.OrderJoin:
		e.join(i, o)
	case engineapi.OrderIdle:
		i.State.unassign()
	case engineapi.OrderRetire:
		e.retire(i)
	}
}

func (e *Engine) join(i *lifecycle.Incarnation[*state], o engineapi.Order) {
	ctx, cancel := context.WithCancel(i.Context())
	next := &assignment{order: o, ctx: ctx, cancel: cancel}
	previous, changed := i.State.assign(next)
	if !changed {
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
	go e.pollMembers(i.State, next)
}

// assign replaces the assignment. It returns false if the order is for the current one.
func (s *state) assign(next *assignment) (previous *assignment, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment.isFor(next.order) {
		return nil, false
	}
	previous = s.assignment
	s.assignment = next
	s.complete, s.completeAt, s.brokenAt = false, time.Time{}, time.Time{}
	return previous, true
}

func (s *state) unassign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment != nil {
		s.assignment.cancel()
	}
	s.assignment, s.weights = nil, ""
	s.complete, s.completeAt, s.brokenAt = false, time.Time{}, time.Time{}
}

// load loads the weights of the assignment, unless they are loaded.
func (e *Engine) load(s *state, a *assignment) {
	if s.isLoaded() {
		return
	}
	e.count(func(stats *Stats) { stats.Loads++ })
	if !sleep(a.ctx, e.options.LoadTime) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment == a {
		s.weights = weightsOf(a.order)
	}
}

// retire ends the incarnation after closeDelay, so that the order is answered first.
func (e *Engine) retire(i *lifecycle.Incarnation[*state]) {
	i.State.unassign()
	i.State.mu.Lock()
	i.State.retiring = true
	i.State.mu.Unlock()
	e.count(func(s *Stats) { s.Retired++ })
	time.AfterFunc(closeDelay, func() { e.endIncarnation(i) })
}

// sleep waits for a duration. It returns false if the context ends first.
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
