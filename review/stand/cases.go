package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"dar-a", "dar-b", "dar-c"}

// ratePerZone is the traffic per second of each zone in sites/bucha-mtandao.toml.
var ratePerZone = []float64{57.9, 49.1, 60.4}

const (
	service      = "oda-api"
	otherService = "oda-archive"
	coldPerS     = 3.0
	coldDuration = 3 * time.Second
	workTime     = 15 * time.Millisecond
)

// coldBound is the number of requests a cold server may get in one second, and crashAt the number at
// which it crashes: five times what it tolerates.
const (
	coldBound = coldPerS*coldOverage + coldSlack
	crashAt   = 5 * coldPerS
)

// startAll starts servers in each zone, those of another service first, a configuration with one route,
// and a daemon in each zone. It returns the servers by zone.
func startAll(w *world, others, serversPerZone int) (all [][]*server, err error) {
	for _, zone := range zones {
		var here []*server
		for i := range others + serversPerZone {
			name := service
			if i < others {
				name = otherService
			}
			s, err := w.addServer(fmt.Sprintf("i-%s-%d", zone, i), name, zone, workTime)
			if err != nil {
				return nil, err
			}
			here = append(here, s)
		}
		all = append(all, here)
	}
	w.configure(3, coldPerS, []string{service, otherService}, route{prefix: "/orders/", kind: "non_idempotent", service: service, timeout: 2 * time.Second, attempts: 1})
	for _, zone := range zones {
		if _, err := w.startDaemon("edge-"+zone+"-1", zone); err != nil {
			return nil, err
		}
	}
	for _, d := range w.daemons {
		if err := d.waitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second) // traffic starts later than the machines do
	return all, nil
}

// judgeCold checks FAILBACK.
func judgeCold(w *world, all [][]*server) int {
	code := held
	for _, here := range all {
		for _, s := range here {
			most, from := s.worstSecond()
			if most == 0 {
				continue
			}
			w.say("cold server %s got %d requests within one second from %.3f; the bound is %.1f", s.id, most, from.Sub(w.began).Seconds(), coldBound)
			if float64(most) > coldBound {
				code = broken
			}
		}
	}
	return code
}

// evacuation: a zone returns from an evacuation, and its servers have become cold shortly before.
func evacuation(w *world) (int, error) {
	all, err := startAll(w, 2, 1)
	if err != nil {
		return cantRun, err
	}
	c := newClient(w)
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	for i, d := range w.daemons {
		c.load(ctx, d, ratePerZone[i], "POST", "/orders/2f", 2*time.Second, nil)
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.store.Put("evacuations", zones[0], map[string]any{})
		w.say("evacuation of %s acknowledged", zones[0])
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		for _, s := range all[0] {
			s.crashAt = crashAt
			s.becomeCold(coldDuration)
			time.Sleep(10 * time.Millisecond)
		}
		w.store.Remove("evacuations", zones[0])
		w.say("the evacuation is taken back: acknowledged")
	}
	time.Sleep(6 * time.Second)
	stopLoad()
	c.pending.Wait()
	w.say("answers: %v", c.counts())
	return judgeCold(w, all), nil
}

// reborn: one of nine servers that is partitioned from the store crashes and starts again under its id.
func reborn(w *world) (int, error) {
	const downtime = 100 * time.Millisecond
	all, err := startAll(w, 0, 3)
	if err != nil {
		return cantRun, err
	}
	c := newClient(w)
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	for i, d := range w.daemons {
		c.load(ctx, d, ratePerZone[i], "POST", "/orders/2f", 2*time.Second, nil)
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		cutAt := time.Now()
		for _, s := range all[1][:1] {
			s.mu.Lock()
			s.listed, s.crashAt = false, crashAt
			s.mu.Unlock()
			w.say("server %s is partitioned from the store", s.id)
			time.AfterFunc(3*heartbeat, func() {
				w.store.Remove("servers", s.id)
				w.say("the entry of %s is removed after three intervals of silence", s.id)
			})
		}
		time.Sleep(200 * time.Millisecond)
		for _, s := range all[1][:1] {
			for len(s.free) > 0 { // a daemon that loses a request there avoids the server for seconds
				time.Sleep(time.Millisecond)
			}
			s.crash()
		}
		time.Sleep(downtime)
		for _, s := range all[1][:1] {
			if err := s.start(coldDuration); err != nil {
				return cantRun, err
			}
		}
		time.Sleep(time.Until(cutAt.Add(5 * time.Second)))
	}
	time.Sleep(3 * time.Second)
	stopLoad()
	c.pending.Wait()
	w.say("answers: %v", c.counts())
	return judgeCold(w, all), nil
}

// handover: a route moves to another service. The store turns one daemon away, which so does not learn
// of it. Another daemon has the new version in force, and then loses its links to all servers.
func handover(w *world) (int, error) {
	const before, after = "oda-api", "oda-api-2"
	names := []string{"edge-dar-a-1", "edge-dar-a-2", "edge-dar-b-1"}
	for _, name := range []string{before, after} {
		for i, zone := range zones {
			s, err := w.addServer(fmt.Sprintf("i-%s-%d", name, i), name, zone, 15*time.Millisecond)
			if err != nil {
				return cantRun, err
			}
			if err := w.addProxies(s.address, names[0]); err != nil {
				return cantRun, err
			}
			s.mu.Lock()
			s.register()
			s.mu.Unlock()
		}
	}
	r := route{prefix: "/orders/", kind: "non_idempotent", service: before, timeout: 2 * time.Second, attempts: 1}
	w.configure(3, 0, []string{before, after}, r)
	for i, zone := range []string{"dar-a", "dar-a", "dar-b"} {
		if _, err := w.startDaemon(names[i], zone); err != nil {
			return cantRun, err
		}
	}
	for _, d := range w.daemons {
		if err := d.waitReady(); err != nil {
			return cantRun, err
		}
	}
	time.Sleep(4 * time.Second)
	c := newClient(w)
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	for _, d := range w.daemons {
		c.load(ctx, d, 20, "POST", "/orders/2f", 2*time.Second, nil)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.daemons[1].storeTurnsAway.Store(true)
		w.say("the store turns %s away", names[1])
		time.Sleep(500 * time.Millisecond)
	}
	r.service = after
	w.configure(8, 0, []string{before, after}, r)
	ackedAt := time.Now()
	time.Sleep(3500 * time.Millisecond)
	if w.trouble {
		if err := w.cutServers(names[0], true); err != nil {
			return cantRun, err
		}
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		if err := w.cutServers(names[0], false); err != nil {
			return cantRun, err
		}
		w.daemons[1].storeTurnsAway.Store(false)
		w.say("the store serves %s again", names[1])
	}
	time.Sleep(4 * time.Second)
	stopLoad()
	c.pending.Wait()
	w.say("answers: %v", c.counts())

	// A machine regresses: a request to it, sent more than rollbackSlackMs after a server saw the effect
	// of the new version by a request to it, is handled as only the older version allows.
	serviceOf, runAt := make(map[string]string), make(map[string]time.Time)
	w.mu.Lock()
	for _, r := range w.runs {
		serviceOf[r.request], runAt[r.request] = r.service, r.at
	}
	w.mu.Unlock()
	code := held
	for _, d := range w.daemons {
		var seen time.Time
		for _, r := range c.results {
			if r.daemon == d.name && serviceOf[r.id] == after && (seen.IsZero() || runAt[r.id].Before(seen)) {
				seen = runAt[r.id]
			}
		}
		regressed, late := 0, 0
		for _, r := range c.results {
			if r.daemon != d.name || serviceOf[r.id] != before {
				continue
			}
			if !seen.IsZero() && r.sentAt.After(seen.Add(rollbackSlack)) {
				regressed++
				w.note("regressed: %s, sent to %s at %.3f, run by %s", r.id, d.name, r.sentAt.Sub(w.began).Seconds(), serviceOf[r.id])
			}
			if r.sentAt.After(ackedAt.Add(configApply)) {
				late++
			}
		}
		w.say("%s: the new version's effect was first seen at %.3f; %d requests sent over %s later ran by the old service; %d were sent over %s after the acknowledgement",
			d.name, seen.Sub(w.began).Seconds(), regressed, rollbackSlack, late, configApply)
		if d == w.daemons[0] && regressed > 0 {
			code = broken
		}
	}
	return code, nil
}

// stop: a daemon gets SIGTERM while it delivers answers that take some seconds to read.
func stop(w *world) (int, error) {
	const (
		answerBytes = 12 << 20
		bytesPerS   = 1.9e6
		clients     = 1
	)
	s, err := w.addServer("i-oda-0", service, zones[0], 100*time.Millisecond)
	if err != nil {
		return cantRun, err
	}
	s.answerBytes = answerBytes
	w.configure(3, 0, []string{service}, route{prefix: "/orders/", kind: "non_idempotent", service: service, timeout: 8 * time.Second, attempts: 1})
	d, err := w.startDaemon("edge-dar-a-1", zones[0])
	if err != nil {
		return cantRun, err
	}
	if err := d.waitReady(); err != nil {
		return cantRun, err
	}
	time.Sleep(3 * time.Second)
	var all sync.WaitGroup
	outcomes := make([]string, clients)
	for i := range clients {
		all.Go(func() { outcomes[i] = readSlowly(w, d, answerBytes, bytesPerS) })
	}
	time.Sleep(500 * time.Millisecond)
	var stoppedAt time.Time
	if w.trouble {
		stoppedAt = time.Now()
		d.signal(syscall.SIGTERM)
		go func() {
			<-d.waited
			w.say("%s ended %s after SIGTERM", d.name, time.Since(stoppedAt))
		}()
		time.AfterFunc(8*time.Second, func() { _ = d.command.Process.Kill() })
	}
	all.Wait()
	code := held
	for i, o := range outcomes {
		w.say("client %d: %s", i, o)
		if !strings.HasPrefix(o, "whole") {
			code = broken
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.runs) != clients {
		return cantRun, fmt.Errorf("%d requests ran, not %d", len(w.runs), clients)
	}
	return code, nil
}

// deadly: a request that crashes each server that begins to run it comes again and again. The daemons are
// stopped and started in turn meanwhile, twice.
func deadly(w *world) (int, error) {
	const (
		path     = "/orders/deadly"
		interval = 3600 * time.Millisecond // between two of them
		downtime = 2 * time.Second
		restart  = 300 * time.Millisecond // from the end of a process to its next start
	)
	all, err := startAll(w, 0, 3)
	if err != nil {
		return cantRun, err
	}
	for _, here := range all {
		for _, s := range here {
			s.deadly, s.downtime = path, downtime
		}
	}
	sound := newClient(w)
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	for _, d := range w.daemons {
		sound.load(ctx, d, 5, "POST", "/orders/2f", 2*time.Second, nil)
	}
	time.Sleep(2 * time.Second)
	c := newClient(w)
	inTouch := make(map[string]bool) // of the machine to which a request was sent
	next := 0
	send := func(n int) {
		for range n {
			d := w.daemons[next%len(w.daemons)]
			next++
			touched := time.Since(d.startedAt) > stability
			r := c.send(d, "POST", path, 2*time.Second, []byte("the same body"))
			inTouch[r.id] = touched
			w.say("%s, sent to %s, in touch %v: status %d", r.id, d.name, touched, r.status)
			time.Sleep(interval)
		}
	}
	roll := func() error {
		if !w.trouble {
			return nil
		}
		for _, d := range w.daemons {
			d.signal(syscall.SIGTERM)
			<-d.waited
			time.Sleep(restart)
			if err := d.start(); err != nil {
				return err
			}
			if err := d.waitReady(); err != nil {
				return err
			}
		}
		time.Sleep(stability + 500*time.Millisecond) // all are in touch again
		return nil
	}
	send(2)
	if err := roll(); err != nil {
		return cantRun, err
	}
	send(2)
	if err := roll(); err != nil {
		return cantRun, err
	}
	send(5)
	stopLoad()
	sound.pending.Wait()
	w.say("answers to sound requests: %v", sound.counts())
	w.mu.Lock()
	defer w.mu.Unlock()
	crashes, later := 0, 0
	var third time.Time
	for _, r := range w.runs {
		if _, isDeadly := inTouch[r.request]; !isDeadly {
			continue
		}
		crashes++
		switch {
		case crashes == 3:
			third = r.at
		case crashes > 3 && r.at.Sub(third) > stability && inTouch[r.request]:
			later++
		}
	}
	fmt.Printf("%d servers crashed; %d requests reached servers later than %s after the third, from machines in touch\n", crashes, later, stability)
	if later > 3 {
		return broken, nil
	}
	return held, nil
}

// memory: callers send bodies as large as the configuration allows, and then 1.7 times as many come.
// The platform kills a process that exceeds its memory, and does not start it again here.
func memory(w *world) (int, error) {
	const (
		usual = 44 // callers at a time
		burst = 31 // more of them
		// spacing keeps uploads below the 1,000 Mbit/s of the sheet's links.
		spacing = 40 * time.Millisecond
	)
	s, err := w.addServer("i-oda-0", service, zones[0], 3*time.Second)
	if err != nil {
		return cantRun, err
	}
	s.mu.Lock()
	s.slots = 100
	s.free = make(chan struct{}, s.slots)
	s.register()
	s.mu.Unlock()
	w.configure(3, 0, []string{service}, route{prefix: "/orders/", kind: "non_idempotent", service: service, timeout: 8 * time.Second, attempts: 1})
	d, err := w.startDaemon("edge-dar-a-1", zones[0])
	if err != nil {
		return cantRun, err
	}
	if err := d.waitReady(); err != nil {
		return cantRun, err
	}
	time.Sleep(3 * time.Second)
	payload := make([]byte, 4<<20)
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	var mu sync.Mutex
	var clients []*client
	var all sync.WaitGroup
	come := func(n int, until context.Context) {
		for range n {
			if !sleepContext(until, spacing) {
				return
			}
			c := newClient(w) // one connection each, which is kept
			mu.Lock()
			clients = append(clients, c)
			mu.Unlock()
			all.Go(func() {
				for until.Err() == nil && c.send(d, "POST", "/orders/2f", 8*time.Second, payload).status != 0 {
				}
			})
		}
	}
	come(usual, ctx)
	if w.trouble {
		all.Go(func() {
			if !sleepContext(ctx, 6*time.Second) {
				return
			}
			w.say("%d more callers come for 3 s", burst)
			over, end := context.WithTimeout(ctx, 3*time.Second)
			defer end()
			come(burst, over)
			<-over.Done()
		})
	}
	peak := 0
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		now, err := residentMiB(d.command.Process.Pid)
		if err != nil {
			break
		}
		peak = max(peak, now)
		if now > memoryMiB {
			w.say("%s has %d MiB: the platform kills it", d.name, now)
			_ = d.command.Process.Kill()
			break
		}
	}
	stopLoad()
	all.Wait()
	reached := make(map[string]bool)
	w.mu.Lock()
	for _, r := range w.runs {
		reached[r.request] = true
	}
	w.mu.Unlock()
	lost := 0
	for _, c := range clients {
		for i, r := range c.results {
			if i > 0 && r.status == 0 && reached[r.id] {
				lost++
			}
		}
	}
	w.say("peak of resident memory %d MiB of %d; %d requests from kept connections ran at a server and their connections ended without an answer", peak, memoryMiB, lost)
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}

// residentMiB returns the memory of a process.
func residentMiB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("no memory of process %d", pid)
}
