package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is one server of a plain service.
type server struct {
	world             *world
	id, service, zone string
	slots             int
	workTime          time.Duration
	answerBytes       int

	mu        sync.Mutex
	address   string
	listener  net.Listener
	http      *http.Server
	conns     map[net.Conn]bool
	born      int64
	coldUntil time.Time
	coldFor   time.Duration // as its entry says
	writes    int
	listed    bool // false: it can't reach the store
	up        bool
	free      chan struct{}
	arrivals  []arrival
	crashAt   int // arrivals in one second at which it crashes while it is cold; 0: never
	// deadly is the path of requests that crash a server that begins to run one. It is back after downtime.
	deadly   string
	downtime time.Duration
}

// arrival is a request that reached a server and was not answered with 421.
type arrival struct {
	id   string
	at   time.Time
	cold bool
}

func (w *world) addServer(id, service, zone string, work time.Duration) (*server, error) {
	s := &server{world: w, id: id, service: service, zone: zone, slots: 6, workTime: work, answerBytes: 800, listed: true, conns: make(map[net.Conn]bool)}
	s.free = make(chan struct{}, s.slots)
	if err := s.start(0); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts a new incarnation at the address of the last one, and registers it if it reaches the store.
func (s *server) start(coldFor time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = serverHost + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.listener, s.born, s.writes, s.up = l.Addr().String(), l, time.Now().UnixMilli(), 0, true
	s.coldFor, s.coldUntil = coldFor, time.Now().Add(coldFor)
	s.http = &http.Server{Handler: s, ConnState: s.track}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	s.world.note("server %s of %s started at %s, born %d, cold for %s", s.id, s.service, s.address, s.born, coldFor)
	s.register()
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// register writes the entry, if the server reaches the store. The caller holds mu.
func (s *server) register() {
	if !s.listed || !s.up {
		return
	}
	s.writes++
	s.world.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldLeftMs": max(0, s.coldFor.Milliseconds()), "born": s.born, "seq": s.writes,
	})
}

// becomeCold makes the server cold without a restart; its entry says so at once.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldFor, s.coldUntil = d, time.Now().Add(d)
	s.register()
	s.world.say("server %s is cold for %s: its entry is acknowledged", s.id, d)
}

// crash ends the process of the server.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	_ = s.listener.Close()
	s.world.mu.Lock()
	var open []net.Conn
	for c := range s.conns {
		open = append(open, c)
	}
	s.world.mu.Unlock()
	for _, c := range open {
		reset(c)
	}
	_ = s.http.Close()
	s.world.say("server %s crashes", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		s.mu.Lock()
		left := time.Until(s.coldUntil)
		s.mu.Unlock()
		h.Set("X-Cold-Ms", strconv.FormatInt(max(0, left.Milliseconds()), 10))
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("X-Not-Run", "1")
		h.Set("At-Server", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	cold := now.Before(s.coldUntil)
	s.arrivals = append(s.arrivals, arrival{id: id, at: now, cold: cold})
	inSecond := 0
	for i := len(s.arrivals) - 1; i >= 0 && now.Sub(s.arrivals[i].at) < time.Second; i-- {
		if s.arrivals[i].cold {
			inSecond++
		}
	}
	crash := cold && s.crashAt > 0 && inSecond >= s.crashAt
	s.mu.Unlock()
	s.world.note("server %s gets %s from %s cold=%v", s.id, id, r.RemoteAddr, cold)
	if crash {
		go s.crash()
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.deadly != "" && r.URL.Path == s.deadly {
		s.world.mu.Lock()
		s.world.runs = append(s.world.runs, run{request: id, server: s.id, service: s.service, at: time.Now()})
		s.world.mu.Unlock()
		s.world.say("server %s begins to run %s, which crashes it", s.id, id)
		go func() {
			s.crash()
			time.Sleep(s.downtime)
			if err := s.start(0); err != nil {
				s.world.say("server %s can't start again: %v", s.id, err)
			}
		}()
		<-r.Context().Done()
		return
	}
	select {
	case s.free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.free }()
	s.world.mu.Lock()
	s.world.runs = append(s.world.runs, run{request: id, server: s.id, service: s.service, at: time.Now()})
	s.world.mu.Unlock()
	s.world.note("server %s of %s runs %s %s for %s", s.id, s.service, r.Method, id, r.Header.Get("X-Tenant"))
	if !sleepContext(r.Context(), s.workTime) {
		return
	}
	h.Set("X-Server-Stamp", s.id+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(s.free), s.slots))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(s.answerBytes))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body(id, s.answerBytes))
}

// body is the answer to a request: its ID again and again.
func body(id string, n int) []byte {
	b := make([]byte, 0, n+len(id)+1)
	for len(b) < n {
		b = append(append(b, id...), ' ')
	}
	return b[:n]
}

// worstSecond returns the most requests that arrived within one second while the server was cold.
func (s *server) worstSecond() (most int, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, a := range s.arrivals {
		if !a.cold {
			continue
		}
		n := 0
		for _, b := range s.arrivals[i:] {
			if b.at.Sub(a.at) >= time.Second {
				break
			}
			if b.cold {
				n++
			}
		}
		if n > most {
			most, from = n, a.at
		}
	}
	return most, from
}
