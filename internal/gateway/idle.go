package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSweepInterval is the time between two checks for callers' connections that have been
// idle for too long.
const idleSweepInterval = time.Second

// idleConns closes callers' connections that have been idle for longer than the configuration
// allows. http.Server.IdleTimeout can't be used: the limit may change while a connection is
// idle.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// trackState is the ConnState hook of the callers' server.
func (i *idleConns) trackState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.idleSince == nil {
		i.idleSince = make(map[net.Conn]time.Time)
	}
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeIdle closes idle connections until the context ends. timeout returns the current limit;
// 0 closes none.
func (i *idleConns) closeIdle(ctx context.Context, timeout func() time.Duration) {
	ticks := time.NewTicker(idleSweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		limit := timeout()
		if limit <= 0 {
			continue
		}
		i.mu.Lock()
		for c, since := range i.idleSince {
			if time.Since(since) > limit {
				_ = c.Close()
				delete(i.idleSince, c)
			}
		}
		i.mu.Unlock()
	}
}
