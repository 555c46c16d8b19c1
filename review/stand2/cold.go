package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	coldStart     = 5 * time.Second
	coldPerSecond = 3.0
	coldOverage   = 1.5
	coldSlack     = 5.0
	coldDeadline  = 2500 * time.Millisecond
	coldWork      = 20 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	cutFor        = 6 * time.Second
	rebornAfter   = 300 * time.Millisecond
	plainPerSec   = 90
)

// plainServer is a server of a plain service that is cold for coldStart after it starts during traffic. While cold it
// bears coldPerSecond requests a second, and ends at more than four times that.
type plainServer struct {
	w                 *world
	id, zone, address string

	mu        sync.Mutex
	cut       bool // partitioned from the store
	lastWrite time.Time
	born      int64
	coldUntil time.Time
	coldLeft  time.Duration // as registered
	http      *http.Server
	runs      int         // of this incarnation, under way
	arrivals  []time.Time // of requests while cold, of this incarnation
	// mostInSecond is the most requests in one second while cold, over all incarnations. crashes are the ends under
	// too many requests, and lost the runs that they broke off.
	mostInSecond, crashes, lost int
	cutCrash                    bool // it has crashed behind the partition; later ends are under requests
}

func (v *plainServer) start(cold bool) error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.address, v.born, v.arrivals, v.runs = l.Addr().String(), time.Now().UnixMilli(), nil, 0
	if cold {
		v.coldUntil = time.Now().Add(coldStart)
	}
	v.http = &http.Server{Handler: v.handler(v.born)}
	go func(s *http.Server) { _ = s.Serve(l) }(v.http)
	v.register()
	return nil
}

// register writes the server's entry, as each heartbeat does. The caller holds mu.
func (v *plainServer) register() {
	if v.cut || v.http == nil {
		return
	}
	v.lastWrite = time.Now()
	switch left := time.Until(v.coldUntil); {
	case left <= 0:
		v.coldLeft = 0
	case v.coldLeft == 0:
		v.coldLeft = left // it has not registered since it became cold
	}
	v.w.site.Store.Put("servers", v.id, map[string]any{
		"service": site.Ledger, "address": v.address, "zone": v.zone, "version": "v1", "slots": 16, "state": "ready",
		"coldLeftMs": v.coldLeft.Milliseconds(), "born": v.born, "seq": 0,
	})
}

// beat keeps the server's entry, and removes it after three heartbeats of silence, until the context ends.
func (v *plainServer) beat(ctx context.Context) {
	every(ctx, 50*time.Millisecond, func(int) {
		v.mu.Lock()
		defer v.mu.Unlock()
		switch {
		case time.Since(v.lastWrite) > 3*heartbeat:
			v.w.site.Store.Remove("servers", v.id)
			v.lastWrite = time.Now()
			v.w.record.line("the store removes the entry of %s after three heartbeats of silence", v.id)
		case time.Since(v.lastWrite) > heartbeat:
			v.register()
		}
	})
}

// crash ends the process of the server; it starts again under its id.
func (v *plainServer) crash(why string) {
	v.mu.Lock()
	s := v.http
	v.http = nil
	v.lost += v.runs
	if v.cutCrash {
		v.crashes++
	}
	v.cutCrash = true
	v.w.record.line("%s ends: %s; %d requests are broken off", v.id, why, v.runs)
	v.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Close()
	time.AfterFunc(rebornAfter, func() {
		if err := v.start(true); err != nil {
			v.w.record.line("%s can't start: %v", v.id, err)
			return
		}
		v.w.record.line("%s has started again, cold for %s", v.id, coldStart)
	})
}

func (v *plainServer) handler(born int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, h := r.Header.Get("X-Request-Id"), w.Header()
		h.Set("X-Request-Id", id)
		v.mu.Lock()
		cold := time.Until(v.coldUntil)
		v.mu.Unlock()
		if r.URL.Path == "/healthz" {
			h.Set("X-Instance-Id", v.id)
			h.Set("X-Cold-Ms", strconv.FormatInt(max(0, cold.Milliseconds()), 10))
			return
		}
		if r.Header.Get("X-Expect-Instance") != v.id {
			h.Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !v.begin(born, id, cold > 0) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(coldWork)
		if !v.end(born) {
			panic(http.ErrAbortHandler)
		}
		h.Set("X-Server-Load", "1,0,16")
		h.Set("X-Server-Stamp", v.id+"."+id)
		_, _ = io.WriteString(w, "done "+id)
	})
}

// begin records a request that begins to run. It returns false if the server has ended.
func (v *plainServer) begin(born int64, id string, cold bool) bool {
	v.mu.Lock()
	if v.born != born || v.http == nil {
		v.mu.Unlock()
		return false
	}
	v.runs++
	inSecond := 0
	if cold {
		now := time.Now()
		v.arrivals = append(v.arrivals, now)
		for _, at := range v.arrivals {
			if now.Sub(at) < time.Second {
				inSecond++
			}
		}
		v.mostInSecond = max(v.mostInSecond, inSecond)
	}
	v.mu.Unlock()
	if cold {
		v.w.record.line("%s runs at %s, which is cold; %d in this second", id, v.id, inSecond)
	}
	if float64(inSecond) > 4*coldPerSecond {
		go v.crash(fmt.Sprintf("cold, and %d requests in a second", inSecond))
	}
	return true
}

func (v *plainServer) end(born int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.born != born || v.http == nil {
		return false
	}
	v.runs--
	return true
}

// coldServer lets one of three servers of a plain service crash and start again under its id behind a partition from
// the store, which is the disruption.
func coldServer(w *world, trouble bool) (string, error) {
	var err error
	if w.site, err = site.New(site.Timing{StallTimeout: 5 * time.Second}); err != nil {
		return "", err
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": site.Host, "pathPrefix": prefix, "type": kind, "timeoutMs": 2500, "goalMs": 150, "priority": 1, "service": site.Ledger, "maxAttempts": 2,
		}
	}
	w.site.Store.Put("config", "main", map[string]any{
		"version": 1, "routes": []map[string]any{route("write", "/write/", "non_idempotent"), route("read", "/read/", "idempotent")},
		"services": []map[string]any{{"name": site.Ledger, "healthPath": "/healthz", "maxConns": 110, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerSecond}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": site.Team, "apiKeys": []string{site.Key}, "priority": 1}},
	})
	ctx, stop := context.WithTimeout(context.Background(), 60*time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var servers []*plainServer
	for z, zone := range zones {
		v := &plainServer{w: w, id: fmt.Sprintf("i-%d", z), zone: zone, address: "127.0.0.1:0"}
		if err := v.start(false); err != nil {
			return "", err
		}
		servers = append(servers, v)
		wg.Go(func() { v.beat(ctx) })
	}
	for range 3 {
		if _, err := w.addDaemon(w.site.Store.Address); err != nil {
			return "", err
		}
	}
	wg.Go(func() { w.balance(ctx) })
	send := func(d *daemon, id, path string) load.FrontedAnswer {
		ctx, cancel := context.WithTimeout(context.Background(), coldDeadline+time.Second)
		defer cancel()
		return w.caller.Send(ctx, d.callers(), load.FrontedCall{Method: http.MethodPost, Host: site.Host, Path: path + id, Body: "body of " + id, Header: header(id, coldDeadline)})
	}
	if !waitFor(15*time.Second, func() bool {
		d := w.pick()
		return d != nil && send(d, newID("warm"), "/write/").Status == http.StatusOK
	}) {
		return "", fmt.Errorf("the deployment does not serve")
	}
	var served, failed counter
	wg.Go(func() {
		every(ctx, time.Second/plainPerSec, func(n int) {
			wg.Go(func() {
				if d := w.pick(); d != nil {
					path := []string{"/write/", "/read/"}[n%4/3]
					if a := send(d, newID("entry"), path); a.Status == http.StatusOK {
						served.add()
					} else {
						failed.add()
						w.record.line("%s at %s: status %d %s", path, d.name, a.Status, errorCode(a.Body))
					}
				}
			})
		})
	})
	sleep(ctx, 15*time.Second) // the daemons know each other
	v := servers[0]
	if trouble {
		v.mu.Lock()
		v.cut = true
		v.mu.Unlock()
		w.record.line("%s is partitioned from the store for %s", v.id, cutFor)
		v.crash("it crashes behind the partition")
		sleep(ctx, cutFor)
		v.mu.Lock()
		v.cut = false
		v.register()
		v.mu.Unlock()
		w.record.line("the partition has healed")
	} else {
		sleep(ctx, cutFor)
	}
	sleep(ctx, 8*time.Second)
	stop()
	wg.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	bound := coldPerSecond*coldOverage + coldSlack
	w.record.line("%d requests served, %d not; at most %d requests in one second at %s while it was cold, %.0f are allowed; it ended %d times under them, with %d requests under way", served.n, failed.n, v.mostInSecond, v.id, bound, v.crashes, v.lost)
	if float64(v.mostInSecond) > bound {
		return fmt.Sprintf("FAILBACK: %d requests in one second at a cold server; %.0f are allowed", v.mostInSecond, bound), nil
	}
	return "", nil
}
