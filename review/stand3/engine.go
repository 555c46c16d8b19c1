package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineService = "assistant"
	engineModel   = "m0"
	engineSlots   = 8
	engineQueue   = 2
	groupSize     = 2
	eventInterval = 42 * time.Millisecond // 7 steps of 5.95 ms
	loadTime      = 400 * time.Millisecond
	warmTime      = 200 * time.Millisecond
	openTime      = 50 * time.Millisecond
)

// engineSpec is the service of the engines in the configuration.
func (g *rig) engineSpec() map[string]any {
	return map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 384, "engine": map[string]any{
		"slots": engineSlots, "stride": 7, "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700,
		"report_lag_ms": 0, "formMs": openTime.Milliseconds(), "loadsPerS": 10, "loads_at_once": 10, "usual": map[string]any{"prompt": 700, "answer": 200},
		"models": []map[string]any{{"name": engineModel, "size": groupSize, "share": 1, "pace": 1, "loadS": g.loadTime.Seconds(), "warmS": warmTime.Seconds()}},
	}}
}

type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// engine is a model server. It joins groups as it is ordered to, and its head streams.
type engine struct {
	id, domain string
	rig        *rig
	events     int // of each stream

	mu       sync.Mutex
	listener net.Listener
	http     *http.Server
	born     int64
	member   *membership
	staged   []string
	seq      int
	writes   int
	running  int
	waiting  int
	slots    chan struct{} // holds one value for each request that runs
	still    chan struct{} // closed when the engine goes on; nil while it does
	aborted  chan struct{} // closed when the engine is ordered to break its requests off
	draining bool
}

func (g *rig) addEngine(id, domain string, events int) error {
	e := &engine{id: id, domain: domain, rig: g, staged: []string{}, events: events}
	g.engines = append(g.engines, e)
	return e.start()
}

// start starts the engine, or starts it again under its ID: it then knows nothing but the weights on its host.
func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.http, e.born = l, &http.Server{Handler: e}, max(time.Now().UnixMilli(), e.born+1)
	e.member, e.seq, e.writes, e.running, e.waiting = nil, 0, 0, 0, 0
	e.slots, e.aborted = make(chan struct{}, engineSlots), make(chan struct{})
	go func() { _ = e.http.Serve(l) }()
	e.register()
	return nil
}

func (e *engine) models() []map[string]any {
	if e.member == nil || e.member.State == "joining" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": engineModel, "version": 1, "adapters": []string{}}}
}

// later makes a change after some time, unless the engine has crashed by then. The caller holds mu.
func (e *engine) later(d time.Duration, change func()) {
	born := e.born
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			change()
			e.register()
		}
	})
}

// drain makes the engine report that it leaves. It goes on serving.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.register()
}

// closed makes a group that is closing ready once it has no requests. The caller holds mu.
func (e *engine) closed() {
	if e.member != nil && e.member.State == "closing" && e.running+e.waiting == 0 {
		e.member.State = "ready"
		e.register()
	}
}

// register writes the entry. The caller holds mu.
func (e *engine) register() {
	e.writes++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.rig.store.Put("servers", e.id, map[string]any{
		"service": engineService, "address": e.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": engineSlots, "state": state,
		"coldLeftMs": 0, "born": e.born, "seq": e.writes, "domain": e.domain, "staged": e.staged, "group": e.member, "models": e.models(), "stage": "mixed",
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.wait(r)
	switch r.URL.Path {
	case "/rhubarbswitch/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "mixed", "models": e.models(), "domain": e.domain, "staged": e.staged, "group": e.member, "busy": false,
			"seq": e.seq, "queued": 0, "running": e.running, "kvUsed": 0, "kvTotal": 1590000, "handles": 0, "born": e.born, "pace": 1.0,
		})
	case "/rhubarbswitch/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Group, Model, Mode string
		Epoch                  uint64
		Members                []string
		ExpectRev              *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	in := e.member != nil && e.member.Name == o.Group && e.member.Epoch == o.Epoch
	status := http.StatusConflict
	switch {
	case r.Header.Get("X-Expect-Instance") != e.id:
		status = http.StatusMisdirectedRequest
	case o.ExpectRev != nil && *o.ExpectRev != e.seq:
	case o.Op == "stage" && len(e.staged) > 0:
		status = http.StatusOK
	case o.Op == "stage":
		status = http.StatusAccepted
		e.later(e.rig.loadTime, func() { e.staged = []string{o.Model} })
	case o.Op == "join":
		status = http.StatusAccepted
		m := &membership{Name: o.Group, Epoch: o.Epoch, State: "joining"}
		for i, id := range o.Members {
			if id == e.id {
				m.Rank = i
			}
		}
		e.member = m
		took := e.rig.loadTime
		if len(e.staged) > 0 {
			took = warmTime
		}
		e.later(took, func() { m.State, e.staged = "ready", []string{o.Model} })
	case o.Op == "open" && in && e.member.Rank == 0 && e.member.State == "ready":
		status = http.StatusAccepted
		m := e.member
		e.later(openTime, func() { m.State = "open" })
	case o.Op == "close" && in && (e.member.State == "open" || e.member.State == "closing"):
		status = http.StatusAccepted
		e.member.State = "closing"
		if o.Mode == "abort" {
			close(e.aborted)
			e.aborted, e.member.State = make(chan struct{}), "ready"
		} else {
			e.closed()
		}
	case o.Op == "leave" && !in:
		status = http.StatusOK
	case o.Op == "leave":
		status, e.member = http.StatusOK, nil
		e.seq++
	}
	if status == http.StatusAccepted {
		e.seq++
		e.register()
	}
	e.rig.rec.add("order to %s: %s %s%s, answered %d", e.id, o.Op, o.Group, strings.TrimRight(" "+o.Mode, " "), status)
	w.WriteHeader(status)
}

// wait returns once the engine is not silent.
func (e *engine) wait(r *http.Request) {
	e.mu.Lock()
	still := e.still
	e.mu.Unlock()
	if still != nil {
		select {
		case <-still:
		case <-r.Context().Done():
		}
	}
}

// setStill makes the engine fall silent, or go on.
func (e *engine) setStill(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if on {
		e.still = make(chan struct{})
	} else {
		close(e.still)
		e.still = nil
	}
}

func (e *engine) isHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member != nil && e.member.Rank == 0 && e.member.State == "open"
}

func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// admit takes a place for a request, or returns the status with which it is turned away, and the load.
func (e *engine) admit(r *http.Request) (status int, load string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load = fmt.Sprintf("%d,%d,%d", e.running, e.waiting, engineSlots)
	open := e.member != nil && e.member.Rank == 0 && e.member.State == "open"
	switch {
	case !open || r.Header.Get("X-Expect-Instance") != e.id:
		return http.StatusMisdirectedRequest, load
	case e.running+e.waiting >= engineSlots+engineQueue:
		return http.StatusServiceUnavailable, load
	}
	e.waiting++
	return 0, load
}

func (e *engine) leaveQueue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.closed()
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get("X-Request-Id"), w.Header()
	h.Set("X-Request-Id", id)
	status, load := e.admit(r)
	h.Set("X-Server-Load", load)
	if status != 0 {
		h.Set("X-Not-Run", "1")
		e.rig.rec.add("engine %s turns %s away with %d, its load is %s", e.id, id, status, load)
		w.WriteHeader(status)
		return
	}
	e.mu.Lock()
	aborted := e.aborted
	e.mu.Unlock()
	select {
	case e.slots <- struct{}{}:
	case <-aborted:
		e.leaveQueue()
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		e.leaveQueue()
		return
	}
	e.mu.Lock()
	e.waiting--
	e.running++
	slots, born := e.slots, e.born
	e.mu.Unlock()
	defer func() {
		<-slots
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			e.running--
			e.closed()
		}
	}()
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	e.rig.mu.Lock()
	e.rig.runs = append(e.rig.runs, run{server: e.id, service: engineService, id: id, method: r.Method, target: r.RequestURI, host: r.Host})
	e.rig.mu.Unlock()
	e.rig.rec.add("engine %s runs %s from event %d on", e.id, id, next)
	h.Set("X-Server-Stamp", e.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for ; next <= e.events; next++ {
		select {
		case <-r.Context().Done():
			e.rig.rec.add("engine %s: the connection of %s was closed before event %d", e.id, id, next)
			return
		case <-aborted:
			e.rig.rec.add("engine %s breaks %s off before event %d, as ordered", e.id, id, next)
			panic(http.ErrAbortHandler)
		case <-time.After(eventInterval):
		}
		e.wait(r)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", next, id, next); err != nil || out.Flush() != nil {
			return
		}
	}
	e.rig.rec.add("engine %s ends %s", e.id, id)
}
