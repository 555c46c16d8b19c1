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
	minPollTimeout = 300 * time.Millisecond
	// headerLoaded tells other members that the weights are loaded.
	headerLoaded = "X-Stub-Loaded"
)

// followMembers looks at the group's other members until the engine leaves it.
func (e *Engine) followMembers(s *state, a *assignment) {
	for {
		whole := e.allMembers(a)
		s.setWhole(a, whole && s.isLoaded(), time.Now())
		if !sleep(a.ctx, e.options.Poll) {
			return
		}
	}
}

// allMembers reports whether each other member is loaded and holds this group at
// this generation.
func (e *Engine) allMembers(a *assignment) bool {
	var wait sync.WaitGroup
	seen := make([]bool, len(a.order.Members))
	for rank, address := range a.order.Members {
		if rank == a.order.Rank {
			seen[rank] = true
			continue
		}
		wait.Go(func() { seen[rank] = e.sees(a, address) })
	}
	wait.Wait()
	for _, ok := range seen {
		if !ok {
			return false
		}
	}
	return true
}

func (e *Engine) sees(a *assignment, address string) bool {
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
