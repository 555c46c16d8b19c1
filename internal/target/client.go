// Package target is the client of model engines and plain services: it sends
// attempts and judges their answers, probes hosts, and carries orders over the
// connection on which an incarnation was last seen.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

// Settings bound the client.
type Settings struct {
	DialTimeout time.Duration
	// ProbeTimeout bounds a probe or an order.
	ProbeTimeout time.Duration
	// Silence is how long a stream may bring nothing.
	Silence time.Duration
	// IdleConnections are kept open to each target.
	IdleConnections int
	// MaxAnswerBytes bounds an answer that is held until it is whole.
	MaxAnswerBytes int64
}

// Defaults returns the settings used where none are given.
func Defaults() Settings {
	return Settings{
		DialTimeout:     time.Second,
		ProbeTimeout:    time.Second,
		Silence:         3 * time.Second,
		IdleConnections: 16,
		MaxAnswerBytes:  16 << 20,
	}
}

const (
	// idleTimeout bounds how long a pooled connection may rest: a middle box that has
	// forgotten it is not met later.
	idleTimeout = 20 * time.Second
	// keepAlive is how often the kernel probes a connection that carries nothing.
	keepAlive = time.Second
	// keepAliveMisses closes a connection after so many unanswered probes.
	keepAliveMisses = 4
)

// Client speaks to targets. It is safe for concurrent use.
type Client struct {
	set    Settings
	dialer *net.Dialer
	// fresh dials for every request, for calls that must not meet a stale connection.
	fresh *http.Transport

	mu       sync.Mutex
	pooled   map[string]*http.Transport
	controls map[string]*control
	conns    uint64
}

// New returns a client.
func New(set Settings) *Client {
	c := &Client{
		set: set,
		dialer: &net.Dialer{
			Timeout: set.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveMisses,
			},
		},
		pooled:   make(map[string]*http.Transport),
		controls: make(map[string]*control),
	}
	c.fresh = c.transport()
	c.fresh.DisableKeepAlives = true
	return c
}

func (c *Client) transport() *http.Transport {
	return &http.Transport{
		DialContext:         c.dialer.DialContext,
		MaxIdleConnsPerHost: c.set.IdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// transportFor returns the pool of an address, or the one that always dials.
func (c *Client) transportFor(address string, fresh bool) *http.Transport {
	if fresh {
		return c.fresh
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pooled[address]
	if t == nil {
		t = c.transport()
		c.pooled[address] = t
	}
	return t
}

// Drop closes every idle connection to an address and makes new requests dial.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	t := c.pooled[address]
	delete(c.pooled, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// Cancel tells an engine to stop an attempt. It is best effort: closing the
// attempt's connection says the same.
func (c *Client) Cancel(ctx context.Context, address string, attempt step.AttemptID) {
	ctx, stop := context.WithTimeout(ctx, c.set.ProbeTimeout)
	defer stop()
	url := "http://" + address + engineapi.PathAttempts + string(attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	resp, err := c.transportFor(address, false).RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Close closes every idle and control connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pooled {
		t.CloseIdleConnections()
	}
	for _, k := range c.controls {
		k.close()
	}
}
