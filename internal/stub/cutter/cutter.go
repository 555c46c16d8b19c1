// Package cutter relays TCP connections and can be told to reset, freeze, delay
// or silently swallow them, those open now apart from those that come later.
package cutter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

// Mode is what happens to a connection.
type Mode string

// The modes.
const (
	Pass Mode = "pass"
	// Reset closes the connection with a reset.
	Reset Mode = "reset"
	// Freeze stops relaying and keeps both sides open; the bytes wait.
	Freeze Mode = "freeze"
	// Swallow reads and discards for good, keeping both sides open.
	Swallow Mode = "swallow"
)

// Direction is a way through the relay.
type Direction string

// The directions. The empty one means both.
const (
	Both     Direction = ""
	ToTarget Direction = "toTarget"
	ToCaller Direction = "toCaller"
)

// Cut says what happens to connections from now on. An empty mode leaves what stands.
type Cut struct {
	Existing  Mode      `json:"existing,omitempty"` // connections open now
	New       Mode      `json:"new,omitempty"`      // connections that come later
	Direction Direction `json:"direction,omitempty"`
	// DelayMillis holds back each piece, on all connections.
	DelayMillis int64 `json:"delayMillis,omitempty"`
}

// Stats counts connections.
type Stats struct {
	Accepted int64 `json:"accepted"`
	Open     int   `json:"open"`
	Failed   int64 `json:"failed"` // the target could not be dialled
}

// PathCut takes a Cut by POST; PathStats gives Stats.
const (
	PathCut   = "/stub/cut"
	PathStats = "/stub/stats"
)

// Cutter relays from a listener to one target.
type Cutter struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	links    map[*link]struct{}
	incoming map[Direction]Mode
	delay    time.Duration
	stats    Stats
}

// Open starts relaying.
func Open(listen, target string) (*Cutter, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	c := &Cutter{
		target: target, listener: listener, links: make(map[*link]struct{}),
		incoming: map[Direction]Mode{ToTarget: Pass, ToCaller: Pass},
	}
	go c.acceptAll()
	return c, nil
}

// Address is the one that callers dial.
func (c *Cutter) Address() string { return c.listener.Addr().String() }

// Close stops relaying and resets what is open.
func (c *Cutter) Close() {
	_ = c.listener.Close()
	c.Apply(Cut{Existing: Reset, New: Reset})
}

// Apply puts a cut in force.
func (c *Cutter) Apply(cut Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = time.Duration(cut.DelayMillis) * time.Millisecond
	for _, direction := range []Direction{ToTarget, ToCaller} {
		if cut.Direction != Both && cut.Direction != direction {
			continue
		}
		if cut.New != "" {
			c.incoming[direction] = cut.New
		}
		if cut.Existing != "" {
			for l := range c.links {
				l.set(direction, cut.Existing)
			}
		}
	}
}

// Stats returns the counts so far.
func (c *Cutter) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Open = len(c.links)
	return stats
}

// Handler serves the control interface.
func (c *Cutter) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, c.Stats()) })
	r.Post(PathCut, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, c.Apply) })
	return r
}

func (c *Cutter) acceptAll() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.relay(conn)
	}
}

const dialTimeout = 2 * time.Second

func (c *Cutter) relay(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", c.target)
	c.mu.Lock()
	c.stats.Accepted++
	if err != nil {
		c.stats.Failed++
		c.mu.Unlock()
		reset(caller)
		return
	}
	l := newLink(caller, target, c.incoming)
	c.links[l] = struct{}{}
	c.mu.Unlock()
	l.run(c.pause)
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
}

// pause waits for as long as each piece is to be held back.
func (c *Cutter) pause() {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
}
