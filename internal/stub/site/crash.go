package site

import (
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

// Crasher is a kind of request that crashes the servers that begin to answer it. A server is back
// after Downtime, as a new incarnation under the same ID.
type Crasher struct {
	Name     string
	Crashes  func(r *http.Request, body string) bool
	Downtime time.Duration
	// EntryTTL is how long the store keeps the entry of a crashed server.
	EntryTTL time.Duration
	// Silent is set if an engine crashes before it has sent the header of its answer.
	Silent bool
}

// Crash is one crash of a server under a request.
type Crash struct {
	Crasher, Request, Server string
	At                       time.Time
}

// AddCrasher adds a kind of request that crashes servers, until remove is called.
func (s *Site) AddCrasher(c Crasher) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashers = append(s.crashers, &c)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.crashers = slices.DeleteFunc(s.crashers, func(other *Crasher) bool { return other == &c })
	}
}

// Crashes returns all crashes under requests so far, in order.
func (s *Site) Crashes() []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// crasherOf returns the crasher to which a request belongs, or nil.
func (s *Site) crasherOf(r *http.Request, body string) *Crasher {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.crashers {
		if c.Crashes(r, body) {
			return c
		}
	}
	return nil
}

// crashUnder ends this incarnation of the server under a request that it begins to answer, and
// aborts the answer. A plain service has sent nothing by then.
func (v *Server) crashUnder(c *Crasher, w http.ResponseWriter, r *http.Request, born int64) {
	if v.Domain != "" && !c.Silent {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // a caller that has left makes no difference
		time.Sleep(v.site.Timing.EventInterval)
	}
	ended := v.endIncarnation(born, c.EntryTTL, func() {
		v.site.mu.Lock()
		v.site.crashes = append(v.site.crashes, Crash{Crasher: c.Name, Request: r.Header.Get("X-Request-Id"), Server: v.ID, At: time.Now()})
		v.site.mu.Unlock()
		if v.site.Unpublish != nil {
			v.site.Unpublish(v.ID)
		}
	})
	if ended {
		time.AfterFunc(c.Downtime, v.restart)
	}
	serve.Abort(r)
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
