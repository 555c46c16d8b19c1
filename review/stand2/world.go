package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/program"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	callersPort, readinessPort, linksPort = 7100, 7101, 7102
	grace                                 = 8 * time.Second
	// stability is the pages' stabilityMs for small deployments.
	stability = 3 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// world is a small deployment: the platform's store, servers and daemons as processes.
type world struct {
	dir, program string
	prefix       string // of the daemons' loopback addresses
	site         *site.Site
	daemons      []*daemon
	caller       *load.FrontedCaller
	record       *record
}

// record is the file of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// daemon is one gateway daemon as a process.
type daemon struct {
	name, ip, settings string
	log                *os.File

	mu        sync.Mutex
	process   *program.Process
	startedAt time.Time
	// disturbedAt is when the last signal was sent to the process, or it was last started.
	disturbedAt time.Time
	ready       bool
}

func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", d.ip, callersPort) }

// daemonSettings are the settings that deploy/settings.tmpl gives for a small deployment.
func (w *world) daemonSettings(d *daemon, zone, store string) map[string]any {
	return map[string]any{
		"daemon": d.name, "dataCentre": zone, "callers": d.callers(), "readiness": fmt.Sprintf("%s:%d", d.ip, readinessPort),
		"links": fmt.Sprintf("%s:%d", d.ip, linksPort), "platform": store, "cores": 0.4, "memoryMiB": 284,
		"changeWithin": "2000ms", "grace": grace.String(), "retryShare": 0.2, "retrySlack": 132, "retryWindow": "10s", "engineStall": w.site.Timing.StallTimeout.String(),
	}
}

// addDaemon writes the settings of a daemon and starts it.
func (w *world) addDaemon(store string) (*daemon, error) {
	i := len(w.daemons)
	d := &daemon{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s%d", w.prefix, i+1)}
	set, err := json.Marshal(w.daemonSettings(d, zones[i%len(zones)], store))
	if err != nil {
		return nil, err
	}
	d.settings = filepath.Join(w.dir, d.name+".json")
	if err := os.WriteFile(d.settings, set, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(w.dir, d.name+".log")); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, w.start(d)
}

func (w *world) start(d *daemon) error {
	p, err := program.Start(d.log, d.log, w.program, "gateway", d.settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process, d.startedAt, d.disturbedAt = p, time.Now(), time.Now()
	return nil
}

// restart stops a daemon as the platform does, SIGTERM and after the grace SIGKILL, and starts it again.
func (w *world) restart(d *daemon) error {
	d.mu.Lock()
	p := d.process
	d.disturbedAt = time.Now()
	d.mu.Unlock()
	w.record.line("SIGTERM to %s", d.name)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
	case <-time.After(grace):
		w.record.line("SIGKILL to %s", d.name)
		p.Kill()
	}
	w.record.line("%s has ended and starts again", d.name)
	return w.start(d)
}

// inTouch reports whether a daemon was undisturbed for the whole stability time before now.
func (d *daemon) inTouch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.disturbedAt) > stability
}

// balance asks each daemon once a second whether it is ready, as the platform does, until the context ends.
func (w *world) balance(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	misses := make(map[string]int)
	for ctx.Err() == nil {
		for _, d := range w.daemons {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/rhubarbswitch/readyz", d.ip, readinessPort))
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			misses[d.name]++
			if ok {
				misses[d.name] = 0
			}
			d.mu.Lock()
			d.ready = ok || d.ready && misses[d.name] < 2
			d.mu.Unlock()
		}
		sleep(ctx, time.Second)
	}
}

// pick returns a daemon in rotation, or nil.
func (w *world) pick() *daemon {
	var ready []*daemon
	for _, d := range w.daemons {
		d.mu.Lock()
		if d.ready {
			ready = append(ready, d)
		}
		d.mu.Unlock()
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[rand.IntN(len(ready))]
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// waitFor polls a condition.
func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// close ends all that the case has started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.mu.Lock()
		p := d.process
		d.mu.Unlock()
		if p != nil {
			p.Kill()
		}
		_ = d.log.Close()
	}
	w.caller.Close()
	if w.site != nil {
		w.site.Close()
	}
}

func header(id string, deadline time.Duration) map[string]string {
	return map[string]string{"X-Request-Id": id, "X-Credential": site.Key, "X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)}
}
