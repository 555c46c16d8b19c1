package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	stillFor       = 1200 * time.Millisecond
	stillEvery     = 1300 * time.Millisecond
	streamsPerSec  = 20
	streamDeadline = 8 * time.Second
	stillPlay      = 45 * time.Second
	maxCutStreams  = 3
)

// silentServers sends requests for streams, which may be resumed. The disruption, which is none for the rules: one
// sound server after another falls silent for a moment and goes on.
func silentServers(w *world, trouble bool) (string, error) {
	var err error
	w.site, err = site.New(site.Timing{LoadTime: 400 * time.Millisecond, WarmLoadTime: 100 * time.Millisecond, OpenTime: 20 * time.Millisecond, EventInterval: 200 * time.Millisecond, StallTimeout: 5 * time.Second})
	if err != nil {
		return "", err
	}
	if err := w.addEngines(); err != nil {
		return "", err
	}
	w.site.Store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "chat", "host": site.Host, "pathPrefix": "/chat/", "type": "stream", "timeoutMs": streamDeadline.Milliseconds(), "goalMs": 300, "priority": 1,
			"service": site.LLM, "maxAttempts": 2, "resumable": true, "sticky": true, "gapTargetMs": 300,
		}},
		"services": []map[string]any{{"name": site.LLM, "healthPath": "/healthz", "maxConns": 384, "engine": map[string]any{
			"slots": 8, "stride": 1, "step_ms": 200, "per_seq_ms": 0.1, "read_per_s": 50000, "report_lag_ms": 0, "formMs": 20,
			"loadsPerS": 50, "loads_at_once": 10, "usual": map[string]any{"prompt": 100, "answer": 12},
			"models": []map[string]any{{"name": site.Model, "size": site.GroupSize, "share": 1, "pace": 1, "loadS": 0.4, "warmS": 0.1}},
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": site.Team, "apiKeys": []string{site.Key}, "priority": 1}},
	})
	for range 3 {
		if _, err := w.addDaemon(w.site.Store.Address); err != nil {
			return "", err
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 110*time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { w.balance(ctx) })
	if !waitFor(15*time.Second, func() bool {
		d := w.pick()
		return d != nil && w.chat(ctx, d, newID("warm"), false).Status == http.StatusOK
	}) {
		return "", fmt.Errorf("the deployment does not serve")
	}
	sleep(ctx, 15*time.Second) // the daemons know each other, and have their retry budgets
	var mu sync.Mutex
	sent, cut := 0, 0
	sending, stopSending := context.WithTimeout(ctx, stillPlay)
	defer stopSending()
	var streams sync.WaitGroup
	streams.Go(func() {
		every(sending, time.Second/streamsPerSec, func(int) {
			streams.Go(func() {
				d := w.pick()
				if d == nil {
					return
				}
				id := newID("stream")
				a := w.stream(ctx, d, id)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.Status == http.StatusOK && !a.Complete && a.KeptConnection {
					cut++
					w.record.line("%s over a kept connection to %s: status %d, %d bytes, then %v", id, d.name, a.Status, len(a.Body), a.Err)
				}
			})
		})
	})
	for n := 0; trouble && sending.Err() == nil; n++ {
		v := w.site.Server(fmt.Sprintf("i-%d-%d", n%3, n/3%9))
		w.record.line("%s, %s, falls silent for %s", v.ID, place(v), stillFor)
		v.SetStill(true)
		sleep(ctx, stillFor)
		v.SetStill(false)
		sleep(ctx, stillEvery-stillFor)
	}
	streams.Wait()
	w.record.line("%d streams sent, %d cut over kept connections; %d are allowed", sent, cut, maxCutStreams)
	for _, broken := range append(w.site.Violations(), w.site.DoubleJoins()...) {
		w.record.line("seen by the servers: %s", broken)
	}
	if cut > maxCutStreams {
		return fmt.Sprintf("LOST: %d streams of sound servers were cut", cut), nil
	}
	return "", nil
}

// place says where a server stands.
func place(v *site.Server) string {
	if m := v.Member(); m != nil {
		return fmt.Sprintf("rank %d of %s, %s", m.Rank, m.Name, m.State)
	}
	return "in no group"
}

// stream sends one request for a stream that lasts for seconds.
func (w *world) stream(ctx context.Context, d *daemon, id string) load.FrontedAnswer {
	ctx, cancel := context.WithTimeout(ctx, streamDeadline+time.Second)
	defer cancel()
	h := header(id, streamDeadline)
	h["X-Model"], h["X-Token-Count"], h["X-Prefix-Hash"] = site.Model, "100,12", "f00d:40,"+strconv.Itoa(os.Getpid())+":50"
	return w.caller.Send(ctx, d.callers(), load.FrontedCall{Method: http.MethodPost, Host: site.Host, Path: "/chat/" + id, Body: "body of " + id, Header: h})
}
