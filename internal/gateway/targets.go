package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

const (
	// dialTimeout bounds the opening of a connection to a target. It covers many round trips
	// within a region. A lost SYN packet is sent again only much later, and another target can
	// answer sooner.
	dialTimeout = 150 * time.Millisecond
	// idleConnTimeout closes an idle pooled connection before the target usually does.
	idleConnTimeout = 4 * time.Second
	// maxIdleConnsPerTarget is the number of idle connections kept to one target.
	maxIdleConnsPerTarget = 16
	// keepAliveInterval is the time between the kernel's TCP keep-alive probes on a connection
	// without traffic, pooled or in use. maxKeepAliveMisses unanswered probes close it.
	keepAliveInterval  = time.Second
	maxKeepAliveMisses = 2
)

// targets holds the HTTP transports to the targets, and the time at which each target last
// sent something.
type targets struct {
	clock  func() time.Duration
	pooled *stricthttp.Transport
	// unpooled opens a connection for each request, so that a request that must not run twice
	// never uses a pooled connection that may be dead.
	unpooled *stricthttp.Transport
	// daemons has the connections to other daemons, for requests that are handed over.
	daemons *stricthttp.Transport

	mu           sync.Mutex
	lastActiveAt map[string]*atomic.Int64 // nanoseconds of clock, by host
}

func newTargets(clock func() time.Duration) *targets {
	t := &targets{clock: clock, pooled: newTransport(), unpooled: newTransport(), daemons: newTransport(), lastActiveAt: make(map[string]*atomic.Int64)}
	t.unpooled.DisableKeepAlives = true
	t.daemons.IdleConnTimeout = announcedIdleTime
	return t
}

func newTransport() *stricthttp.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveMisses},
	}
	return stricthttp.NewTransport(&http.Transport{
		DialContext: ResetOnClose(dialer), MaxIdleConnsPerHost: maxIdleConnsPerTarget, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// ResetOnClose returns the dialer's DialContext for connections that are reset when they are closed,
// so that what was written and not yet delivered is dropped. It could else reach its target after a
// cut has healed, long after it was given up.
func ResetOnClose(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "have the connection reset when it is closed")
		}
		return conn, nil
	}
}

// transport returns the transport for an attempt: a pooled one if the request may run again, and has an ID
// by which its answer can be told from an earlier one on the same connection.
func (t *targets) transport(f step.Forward, callerID string) *stricthttp.Transport {
	switch {
	case !f.MayRepeat || callerID == "":
		return t.unpooled
	case f.Daemon != "":
		return t.daemons
	}
	return t.pooled
}

// activeAt returns the variable that holds when a host last sent something, in nanoseconds of
// the clock. All attempts at the host share it.
func (t *targets) activeAt(host string) *atomic.Int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.lastActiveAt[host]
	if a == nil {
		a = &atomic.Int64{}
		t.lastActiveAt[host] = a
	}
	return a
}

func (t *targets) close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
	t.daemons.CloseIdleConnections()
}
