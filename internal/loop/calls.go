// Package loop has what the goroutines that run the reducers share: the dispatch of effects to
// the handlers of requests, and the metrics of requests and log events.
package loop

import (
	"sync"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// maxPendingEffects is the number of effects that may wait for a request's handler. Send
// blocks while that many wait.
const maxPendingEffects = 8

// Calls sends the effects for each request to the handler that serves it. The zero value is
// ready to use. It is safe for concurrent use.
type Calls struct {
	mu          sync.Mutex
	effectsByID map[step.RequestID]chan step.Effect
}

// Add registers a request and returns the channel of its effects.
func (c *Calls) Add(id step.RequestID) <-chan step.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.effectsByID == nil {
		c.effectsByID = make(map[step.RequestID]chan step.Effect)
	}
	ch := make(chan step.Effect, maxPendingEffects)
	c.effectsByID[id] = ch
	return ch
}

// Remove unregisters a request, whose handler reads no more effects.
func (c *Calls) Remove(id step.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.effectsByID, id)
}

// Send sends an effect to a request's handler. It drops the effect if the request is not
// registered.
func (c *Calls) Send(id step.RequestID, e step.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.effectsByID[id]; ok {
		ch <- e
	}
}
