package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	longStream  = 150 // events
	slowLoad    = 3 * time.Second
	drainAfter  = 300 * time.Millisecond // after the SIGTERM
	newcomerFor = 500 * time.Millisecond // the new engine runs before the old one drains
)

// release stops a daemon with SIGTERM while it relays streams, and replaces one engine of a group, as the other
// daemon's callers fill the engines.
func release(g *rig, trouble bool) (int, error) {
	g.loadTime = slowLoad
	chat := route("chat", "/chat/", "stream", engineService)
	chat["resumable"], chat["gapTargetMs"] = true, 300
	g.configure(1, []string{engineService}, chat)
	for i := range 8 {
		if err := g.addEngine(fmt.Sprintf("e-%d", i), fmt.Sprintf("domain-%d", i/4), longStream); err != nil {
			return couldnt, err
		}
	}
	for range 2 {
		if err := g.addDaemon(); err != nil {
			return couldnt, err
		}
	}
	time.Sleep(16 * time.Second) // from then on a daemon has its part of the retries
	heads, member := g.groups()
	if len(heads) < 2 {
		return couldnt, errors.Errorf("%d groups have formed", len(heads))
	}
	old := member[heads[0].id]
	stopping, other := g.daemons[0], g.daemons[1]
	var clients sync.WaitGroup
	own := make([]answer, ownStreams)
	for i := range own {
		clients.Go(func() { own[i] = g.stream(stopping, fmt.Sprintf("a%d", 100+i)) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range otherStreams {
		clients.Go(func() { g.stream(other, fmt.Sprintf("b%d", 100+i)) })
		time.Sleep(10 * time.Millisecond)
	}
	if trouble && !g.stopOnly {
		if err := g.addEngine("e-8", old.domain, longStream); err != nil {
			return couldnt, err
		}
		g.rec.add("engine e-8 is started")
	}
	time.Sleep(newcomerFor - drainAfter)
	if trouble {
		g.rec.add("SIGTERM to %s", stopping.name)
		stopping.process.Signal(syscall.SIGTERM)
	}
	time.Sleep(drainAfter)
	for _, h := range heads {
		running, waiting := h.load()
		g.rec.add("engine %s has %d requests running and %d waiting", h.id, running, waiting)
	}
	if trouble && !g.stopOnly {
		g.rec.add("engine %s, a member of the group of %s, reports draining", old.id, heads[0].id)
		old.drain()
	}
	clients.Wait()
	return g.judgeStreams(own, longStream), nil
}

// groups returns the heads of the open groups, and the second member of each by the ID of its head.
func (g *rig) groups() (heads []*engine, second map[string]*engine) {
	second = map[string]*engine{}
	for _, e := range g.engines {
		if !e.isHead() {
			continue
		}
		heads = append(heads, e)
		for _, m := range g.engines {
			if m != e && m.groupName() == e.groupName() {
				second[e.id] = m
			}
		}
	}
	return heads, second
}

func (e *engine) groupName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member == nil {
		return ""
	}
	return e.member.Name
}

// judgeStreams reports whether each stream that an engine has run has a complete answer.
func (g *rig) judgeStreams(answers []answer, wanted int) int {
	code := held
	for _, a := range answers {
		switch events := strings.Count(a.body, "\n\n"); {
		case len(g.runsOf(a.id)) == 0:
			g.rec.add("%s was not run", a.id)
		case a.status == 200 && a.complete && events == wanted:
		case a.status >= 400 && a.complete:
			g.rec.add("%s was answered %d", a.id, a.status)
		default:
			g.rec.add("%s, which an engine ran, lost its connection after %d of %d events", a.id, events, wanted)
			code = broken
		}
	}
	return code
}
