package main

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"sync/atomic"
	"time"
)

type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// every calls a function at an interval, with the number of the call, until the context ends.
func every(ctx context.Context, interval time.Duration, call func(n int)) {
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			call(n)
		}
	}
}

// senders knows to which daemon each request was sent, and the arrivals of these requests at servers.
type senders struct {
	mu   sync.Mutex
	to   map[string]*daemon
	seen []arrival
}

// arrival is the arrival of a request at a server, with the state of the daemon that sent it there.
type arrival struct {
	request, server, daemon string
	at                      time.Time
	inTouch                 bool
	sinceStart              time.Duration
}

func newSenders() *senders { return &senders{to: make(map[string]*daemon)} }

func (s *senders) set(id string, d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to[id] = d
}

func (s *senders) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// watchArrivals records the arrivals of the requests at servers as they come.
func (w *world) watchArrivals(ctx context.Context, s *senders) {
	for seen := 0; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		all := w.site.Arrivals()
		for _, a := range all[seen:] {
			s.mu.Lock()
			if d := s.to[a.Request]; d != nil {
				d.mu.Lock()
				since := a.At.Sub(d.startedAt)
				d.mu.Unlock()
				s.seen = append(s.seen, arrival{request: a.Request, server: a.Server, daemon: d.name, at: a.At, inTouch: d.inTouch(), sinceStart: since})
				w.record.line("%s reaches %s from %s", a.Request, a.Server, d.name)
			}
			s.mu.Unlock()
		}
		seen = len(all)
	}
}

var lastID atomic.Uint64

func newID(kind string) string { return fmt.Sprintf("%s-%d", kind, lastID.Add(1)) }

var codeField = regexp.MustCompile(`"code":"([a-z_]+)"`)

// errorCode returns the code of a daemon's own answer, or nothing.
func errorCode(body string) string {
	if m := codeField.FindStringSubmatch(body); m != nil {
		return m[1]
	}
	return ""
}
