package site

import (
	"net/http"
	"slices"
	"time"
)

// Crasher says which requests crash the servers that begin to answer them. A server is back
// after Downtime, as a new incarnation under the same ID. The zero value crashes none.
type Crasher struct {
	Crashes  func(r *http.Request, body string) bool
	Downtime time.Duration
	// EntryTTL is how long the store keeps the entry of a crashed server.
	EntryTTL time.Duration
}

// Crash is one crash of a server under a request.
type Crash struct {
	Request, Server string
	At              time.Time
}

// SetCrasher replaces the requests that crash servers.
func (s *Site) SetCrasher(c Crasher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crasher = c
}

// Crashes returns all crashes under requests so far, in order.
func (s *Site) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// crasherOf returns the crasher if it crashes servers that begin to answer a request, else nil.
func (s *Site) crasherOf(r *http.Request, body string) *Crasher {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.crasher; c.Crashes != nil && c.Crashes(r, body) {
		return &c
	}
	return nil
}

// crashUnder ends this incarnation of the server under a request that it begins to answer, and
// aborts the answer. An engine has sent the header by then, a plain service nothing.
func (v *Server) crashUnder(c *Crasher, w http.ResponseWriter, request string, born int64) {
	if v.Domain != "" {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // a caller that has left makes no difference
		time.Sleep(v.site.Timing.EventInterval)
	}
	if v.endIncarnation(born, c.EntryTTL) {
		v.site.mu.Lock()
		v.site.crashes = append(v.site.crashes, Crash{Request: request, Server: v.ID, At: time.Now()})
		v.site.mu.Unlock()
		time.AfterFunc(c.Downtime, v.restart)
	}
	panic(http.ErrAbortHandler)
}

// restart starts the server again, unless it was draining or the site has been closed.
func (v *Server) restart() {
	v.mu.Lock()
	leaves := v.state == "draining"
	v.mu.Unlock()
	select {
	case <-v.site.done:
		return
	default:
	}
	if leaves {
		return
	}
	if err := v.Start(); err != nil {
		v.site.addViolation("%s can't start again: %v", v.ID, err)
	}
}
