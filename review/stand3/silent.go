package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	streamEvents = 100 // of 42 ms
	ownStreams   = 16  // at the daemon that stops
	otherStreams = 40  // at the other one; they fill the engines
	silence      = time.Second
)

// silentHead stops a daemon with SIGTERM while it relays streams, as the other daemon's callers fill all engines.
// During the stop one engine that leads a group falls silent for a second.
func silentHead(g *rig, trouble bool) (int, error) {
	chat := route("chat", "/chat/", "stream", engineService)
	chat["resumable"], chat["gapTargetMs"] = true, 300
	g.configure(1, []string{engineService}, chat)
	for i := range 10 {
		if err := g.addEngine(fmt.Sprintf("e-%d", i), fmt.Sprintf("domain-%d", i/5), streamEvents); err != nil {
			return couldnt, err
		}
	}
	for range 2 {
		if err := g.addDaemon(); err != nil {
			return couldnt, err
		}
	}
	time.Sleep(13 * time.Second) // from then on a daemon has its part of the retries
	var heads []*engine
	for _, e := range g.engines {
		if e.isHead() {
			heads = append(heads, e)
		}
	}
	if len(heads) < 2 {
		return couldnt, errors.Errorf("%d groups have formed", len(heads))
	}
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
	time.Sleep(300 * time.Millisecond)
	if trouble {
		g.rec.add("SIGTERM to %s", stopping.name)
		stopping.process.Signal(syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	for _, h := range heads {
		running, waiting := h.load()
		g.rec.add("engine %s has %d requests running and %d waiting", h.id, running, waiting)
	}
	if trouble && !g.stopOnly {
		g.rec.add("engine %s falls silent", heads[0].id)
		heads[0].setStill(true)
		time.Sleep(silence)
		heads[0].setStill(false)
		g.rec.add("engine %s goes on", heads[0].id)
	}
	clients.Wait()
	return g.judgeStreams(own, streamEvents), nil
}

// stream sends a request for a stream.
func (g *rig) stream(d *daemon, id string) answer {
	header := fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 700,700\r\nX-Prefix-Hash: 1:40,%s:660\r\n", engineModel, id)
	return g.send(d, "POST", "/chat/1", id, header, "a prompt")
}
