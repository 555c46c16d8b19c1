// Package target is the daemon's client of targets, which are model engines and plain
// services. It sends attempts and classifies how they ended, probes hosts, and sends orders
// to engines.
//
// The ending of an attempt states only what is proved: whether the request was sent, whether
// it ran, and whether the answer is complete and belongs to this attempt. The transport never
// retries a request. An order is sent only over the connection on which the incarnation that
// it is meant for answered a probe, so it can't reach a later incarnation.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

// Settings are the timeouts and limits of a Client.
type Settings struct {
	// DialTimeout bounds the opening of a connection to a target.
	DialTimeout time.Duration
	// ProbeTimeout bounds the exchange of a probe, an order or a cancellation with a target.
	ProbeTimeout time.Duration
	// StallTimeout is the longest time that a stream may deliver nothing, counted from the
	// start of the attempt or from the latest line. The attempt then ends as broken, or as
	// unsent if there is no connection yet.
	StallTimeout time.Duration
	// MaxIdleConnections bounds the idle connections kept open to each target.
	MaxIdleConnections int
	// MaxAnswerBytes bounds an answer of a plain service, which is held in memory until it is
	// complete. A larger answer ends the attempt as broken.
	MaxAnswerBytes int64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		DialTimeout:        time.Second,
		ProbeTimeout:       time.Second,
		StallTimeout:       3 * time.Second,
		MaxIdleConnections: 16,
		MaxAnswerBytes:     16 << 20,
	}
}

const (
	// idleTimeout is how long a pooled connection may stay idle before it is closed, so that
	// no request uses a connection that a middlebox has meanwhile forgotten.
	idleTimeout = 20 * time.Second
	// keepAliveInterval is the interval of the kernel's TCP keep-alive probes on a connection
	// without traffic, pooled or in use.
	keepAliveInterval = time.Second
	// maxKeepAliveMisses is the number of consecutive unanswered keep-alive probes after which
	// the kernel closes the connection.
	maxKeepAliveMisses = 4
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	set    Settings
	dialer *net.Dialer
	// unpooled dials for every request. It serves calls that must not use a connection that
	// may be dead.
	unpooled *stricthttp.Transport

	mu         sync.Mutex
	pooled     map[string]*stricthttp.Transport // connection pools by target address
	controls   map[string]*control              // by host address
	lastConnID uint64                           // of the latest control connection
}

func New(set Settings) *Client {
	c := &Client{
		set: set,
		dialer: &net.Dialer{
			Timeout: set.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveMisses,
			},
		},
		pooled:   make(map[string]*stricthttp.Transport),
		controls: make(map[string]*control),
	}
	c.unpooled = c.newTransport()
	c.unpooled.DisableKeepAlives = true
	return c
}

func (c *Client) newTransport() *stricthttp.Transport {
	return stricthttp.NewTransport(&http.Transport{
		DialContext:         c.dialer.DialContext,
		MaxIdleConnsPerHost: c.set.MaxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	})
}

// transportFor returns the transport with the connection pool of an address, or the transport
// that always dials if unpooled is set.
func (c *Client) transportFor(address string, unpooled bool) *stricthttp.Transport {
	if unpooled {
		return c.unpooled
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pooled[address]
	if t == nil {
		t = c.newTransport()
		c.pooled[address] = t
	}
	return t
}

// ResetPool closes every idle connection to an address, so that new requests dial. Connections
// in use stay open.
func (c *Client) ResetPool(address string) {
	c.mu.Lock()
	t := c.pooled[address]
	delete(c.pooled, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// Cancel requests that an engine stop an attempt. It ignores failures, because closing the
// attempt's connection stops the attempt too.
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
