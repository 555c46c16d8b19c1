// Package cutter is a TCP relay that disturbs its connections on request: it resets them,
// stops them for a while, delays their bytes or discards them. Open connections and later ones
// are disturbed separately, and so are the two directions.
package cutter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

// Mode is the treatment of one direction of a connection.
type Mode string

// The modes.
const (
	Pass Mode = "pass"
	// Reset closes the connection with a TCP reset.
	Reset Mode = "reset"
	// Freeze stops relaying and keeps both sides open. The bytes are relayed after the next
	// Pass.
	Freeze Mode = "freeze"
	// Swallow reads and discards the bytes and keeps both sides open. The direction cannot
	// return to Pass, since its stream has a gap.
	Swallow Mode = "swallow"
)

// Direction is a direction through the relay.
type Direction string

// The directions. The empty one means both.
const (
	Both     Direction = ""
	ToTarget Direction = "toTarget"
	ToCaller Direction = "toCaller"
)

// Cut is a change of the treatment of connections. An empty mode changes nothing.
type Cut struct {
	Existing  Mode      `json:"existing,omitempty"` // mode of the connections that are open now
	New       Mode      `json:"new,omitempty"`      // mode of later connections
	Direction Direction `json:"direction,omitempty"`
	// DelayMillis delays each read of up to 32 KiB, on all connections. Each cut replaces it.
	DelayMillis int64 `json:"delayMillis,omitempty"`
}

// Stats are counts of connections.
type Stats struct {
	Accepted int64 `json:"accepted"`
	Open     int   `json:"open"`
	Failed   int64 `json:"failed"` // connections whose target could not be dialled
}

// Paths of the control interface: PathCut takes a Cut by POST, PathStats returns the Stats.
const (
	PathCut   = "/stub/cut"
	PathStats = "/stub/stats"
)

// Cutter relays the connections of one listener to one target.
type Cutter struct {
	target  string
	address net.Addr

	listenMu  sync.Mutex // guards the fields up to mu; see Listen
	listener  net.Listener
	listening Listening
	closed    bool
	reserved  int        // socket that keeps the address to the end, and never listens
	fillers   []net.Conn // that fill the queue while connections hang

	gateMu sync.Mutex
	gate   *gate // nil while connections are accepted

	mu       sync.Mutex
	links    map[*link]struct{}
	newModes map[Direction]Mode // modes of connections accepted from now on
	delay    time.Duration      // between each read and the write of its bytes
	stats    Stats
}

// Open listens on an IPv4 address and starts relaying to the target.
func Open(listen, target string) (*Cutter, error) {
	reserved, address, err := reserve(listen)
	if err != nil {
		return nil, errors.Wrap(err, "keep the address")
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		_ = unix.Close(reserved)
		return nil, errors.Wrap(err, "listen")
	}
	c := &Cutter{
		target: target, address: address, listener: listener, reserved: reserved, links: make(map[*link]struct{}),
		newModes: map[Direction]Mode{ToTarget: Pass, ToCaller: Pass},
	}
	go c.acceptAll(listener)
	return c, nil
}

// Address returns the address that callers dial.
func (c *Cutter) Address() string { return c.address.String() }

// Close stops relaying and resets all connections.
func (c *Cutter) Close() {
	c.listenMu.Lock()
	defer c.listenMu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	_ = c.listener.Close()
	c.Apply(Cut{Existing: Reset, New: Reset})
	c.closeFillers()
	c.openGate()
	_ = unix.Close(c.reserved)
}

// Refuse resets all connections and refuses new ones.
func (c *Cutter) Refuse() error {
	err := c.Listen(Refusing)
	c.Apply(Cut{Existing: Reset, New: Reset})
	return err
}

// Apply applies a cut.
func (c *Cutter) Apply(cut Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = time.Duration(cut.DelayMillis) * time.Millisecond
	for _, direction := range []Direction{ToTarget, ToCaller} {
		if cut.Direction != Both && cut.Direction != direction {
			continue
		}
		if cut.New != "" {
			c.newModes[direction] = cut.New
		}
		if cut.Existing != "" {
			for l := range c.links {
				l.setMode(direction, cut.Existing)
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

// Handler returns the handler of the control interface.
func (c *Cutter) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, c.Stats()) })
	r.Post(PathCut, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, c.Apply) })
	return r
}

func (c *Cutter) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if c.waitAtGate(conn) {
			continue
		}
		go c.relay(conn)
	}
}

// dialTimeout bounds the dial of the target; the caller's connection is reset after it.
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
	l := newLink(caller, target, c.newModes)
	c.links[l] = struct{}{}
	c.mu.Unlock()
	l.relay(c.waitDelay)
	c.mu.Lock()
	delete(c.links, l)
	c.mu.Unlock()
}

// waitDelay waits for the delay in force.
func (c *Cutter) waitDelay() {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
}
