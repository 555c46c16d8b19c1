package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

const (
	// minPollTimeout is the lower bound of the timeout of a member poll, which is otherwise
	// three poll intervals.
	minPollTimeout = 300 * time.Millisecond
	// headerLoaded reports to the other members of the group that the weights are loaded.
	headerLoaded = "X-Stub-Loaded"
)

// pollMembers polls the other members of the group until the engine leaves it.
func (e *Engine) pollMembers(s *state, a *assignment) {
	for {
		complete := e.isComplete(a)
		s.setComplete(a, complete && s.isLoaded(), time.Now())
		if !sleep(a.ctx, e.options.PollInterval) {
			return
		}
	}
}

// isComplete polls all other members at once and reports whether each one is loaded and in
// this group at this generation.
func (e *Engine) isComplete(a *assignment) bool {
	var wait sync.WaitGroup
	loaded := make([]bool, len(a.order.Members))
	for rank, address := range a.order.Members {
		if rank == a.order.Rank {
			loaded[rank] = true
			continue
		}
		wait.Go(func() { loaded[rank] = e.isMemberLoaded(a, address) })
	}
	wait.Wait()
	for _, ok := range loaded {
		if !ok {
			return false
		}
	}
	return true
}

func (e *Engine) isMemberLoaded(a *assignment, address string) bool {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engineapi.PathStatus, nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status engineapi.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return false
	}
	return status.Group == a.order.Group && status.Generation == a.order.Generation &&
		response.Header.Get(headerLoaded) == "true"
}
