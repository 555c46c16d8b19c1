package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleSweepInterval is the time between two checks for connections that have been idle for too long.
	idleSweepInterval = time.Second
	// drainPollInterval is the time between two checks whether all connections are idle.
	drainPollInterval = 5 * time.Millisecond
	// keptIdleTime is how long a connection stays open after an answer that did not announce its end: callers
	// may use it for announcedIdleTime, and their next request takes idleTimeReserve to arrive.
	keptIdleTime    = announcedIdleTime + idleTimeReserve
	idleTimeReserve = 200 * time.Millisecond
	// firstRequestTime is how long a stop waits for the first request of a new connection, and for the rest of a
	// header.
	firstRequestTime = time.Second
)

// The states of a connection.
const (
	connNew       int32 = iota // no byte has been read
	connIdle                   // no byte of a next request has been read
	connReading                // a part of the header of a request has been read
	connBusy                   // the header of a request has been read, or was refused by net/http
	connBody                   // the body of a request is being received
	connAnswering              // a request with all of its body is being answered
	connRefused                // a request was refused, and the rest of its body may still arrive
	connClosed                 // closed before all of a request had been read, or after its refusal
)

// serverConn is an accepted connection that is closed only if none of a next request has been read, if the
// rest of its header does not arrive, or, at the bound on connections, before all of its body has been read. A
// request that is read at that moment is not served.
type serverConn struct {
	*net.TCPConn
	owner *serverConns // nil before its state is tracked
	state atomic.Int32
	since atomic.Int64 // when it entered that state, in nanoseconds of Unix time

	lastRead      atomic.Int64 // when bytes were last read, in nanoseconds of Unix time
	received      atomic.Int64 // bytes read so far
	headBytes     atomic.Int64 // bytes read as the header of the current request
	writeDeadline atomic.Int64 // in nanoseconds of Unix time; 0 for none

	framing requestFraming
	parsed  atomic.Int64 // requests whose header net/http has parsed or refused

	// samples are the values of received at the last two sweeps. They are guarded by serverConns.mu.
	samples [2]int64

	bodyMu  sync.Mutex // guards bodyCut, and the end of a body against a cut
	bodyCut bool       // the body was too slow
}

// Read reads from the connection. It fails if the connection has been closed meanwhile.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.begin(connReading) {
		return 0, net.ErrClosed
	}
	c.lastRead.Store(time.Now().UnixNano())
	c.received.Add(int64(n))
	c.framing.read(p[:n])
	if c.owner != nil && c.state.Load() == connReading {
		c.owner.countHead(c, int64(n))
	}
	return n, err
}

// begin marks that the next request is being read or answered. It returns false if the connection has been
// closed before.
func (c *serverConn) begin(next int32) bool {
	for {
		state := c.state.Load()
		if state >= next {
			return state != connClosed
		}
		if c.enter(state, next) {
			return true
		}
	}
}

func (c *serverConn) enter(from, to int32) bool {
	if !c.state.CompareAndSwap(from, to) {
		return false
	}
	c.since.Store(time.Now().UnixNano())
	return true
}

// keepTimes are for how long connections without a request stay open.
type keepTimes struct {
	unused time.Duration // until the first byte, and from there to the end of a header
	idle   time.Duration // since the last answer
}

// expired reports whether the connection may be closed.
func (c *serverConn) expired(state int32, keep keepTimes) bool {
	age := time.Since(time.Unix(0, c.since.Load()))
	switch state {
	case connNew, connReading:
		return age >= keep.unused
	case connIdle:
		return age >= keep.idle
	}
	return state == connClosed
}

// closeIfExpired closes the connection if it has been without a request for too long.
func (c *serverConn) closeIfExpired(keep keepTimes) {
	state := c.state.Load()
	if state < connBusy && c.expired(state, keep) && c.enter(state, connClosed) {
		_ = c.Close() // it is of no more use
	}
}

// serverConns are the open connections of one HTTP server. The zero value is ready to use.
//
// http.Server.Shutdown and IdleTimeout are not used: they close a connection whose next request has been
// read and not yet parsed, and that request still runs.
type serverConns struct {
	// keep is how long a stop leaves connections without a request open.
	keep keepTimes
	// bounds limit what callers hold. They are set before the first connection.
	bounds connBounds

	headBytes atomic.Int64 // of all requests whose headers are being read or kept
	openCount atomic.Int64 // the length of open

	mu   sync.Mutex
	open map[*serverConn]bool
}

type connListener struct{ net.Listener }

func (l connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{TCPConn: conn.(*net.TCPConn)}
	c.since.Store(time.Now().UnixNano())
	return c, nil
}

// trackState is the ConnState hook of the server.
func (s *serverConns) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*serverConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.open == nil {
			s.open = make(map[*serverConn]bool)
		}
		s.open[c] = true
		c.owner = s
		s.openCount.Store(int64(len(s.open)))
		s.makeRoom(c)
	case http.StateActive:
		c.parsed.Add(1)
		c.begin(connBusy)
	case http.StateIdle:
		s.releaseHead(c)
		if !c.enter(connAnswering, connIdle) {
			c.enter(connBusy, connIdle) // the handler does not receive bodies as an exchange does
		}
	case http.StateClosed, http.StateHijacked:
		s.releaseHead(c)
		delete(s.open, c)
		s.openCount.Store(int64(len(s.open)))
	}
}

type serverConnKey struct{}

// connContext is the ConnContext hook of the server.
func (s *serverConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, serverConnKey{}, conn)
}

// connOf returns the connection of a request, or nil if it is not tracked.
func connOf(r *http.Request) *serverConn {
	c, _ := r.Context().Value(serverConnKey{}).(*serverConn)
	return c
}

// hasNext reports whether a part of the request behind the current one has been read.
func (c *serverConn) hasNext() bool { return c != nil && c.framing.begun.Load() > c.parsed.Load() }

// closedAsIdle reports whether the connection of a request was closed before the request was served. Such a
// request must not run.
func closedAsIdle(r *http.Request) bool {
	c := connOf(r)
	return c != nil && c.state.Load() == connClosed
}

// closeExpired closes connections that have been idle for longer than a limit, and ends bodies that are too slow,
// until the context ends. limit returns the current one, which may change while a connection is idle; 0 closes none. swept is
// called after each check.
func (s *serverConns) closeExpired(ctx context.Context, limit func() time.Duration, swept func()) {
	ticks := time.NewTicker(idleSweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if after := limit(); after > 0 {
			s.closeExpiredNow(keepTimes{unused: headerTimeout, idle: after})
		}
		s.cutSlowBodies()
		swept()
	}
}

// closeExpiredNow closes the connections that have been without a request for too long.
func (s *serverConns) closeExpiredNow(keep keepTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfExpired(keep)
	}
}

// awaited returns the number of connections that a stop must leave open: a request is being read or answered,
// or may be on its way.
func (s *serverConns) awaited() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if !c.expired(c.state.Load(), s.keep) {
			n++
		}
	}
	return n
}

// drain waits until a moment at which no connection must stay open, and then closes the listener and all
// connections. Requests that arrive before that moment are still read and answered. It returns early if
// the context ends.
func (s *serverConns) drain(ctx context.Context, l net.Listener) {
	ticks := time.NewTicker(drainPollInterval)
	defer ticks.Stop()
	for closed := false; s.awaited() > 0 || !closed; {
		if !closed && s.awaited() == 0 {
			closed = true
			_ = l.Close() // what has not been accepted is reset, unread
			s.closeExpiredNow(s.keep)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// listeningServer is an HTTP server together with its connections. The zero value listens nowhere.
type listeningServer struct {
	listener net.Listener
	http     http.Server
	conns    serverConns
}

func (s *listeningServer) listen(address string, handler http.Handler, errorLog *log.Logger) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = connListener{l}
	s.http.Handler, s.http.ReadHeaderTimeout, s.http.MaxHeaderBytes, s.http.ErrorLog = handler, headerTimeout, maxHeaderBytes, errorLog
	s.http.ConnState, s.http.ConnContext = s.conns.trackState, s.conns.connContext
	return nil
}

// serve serves requests until the listener is closed.
func (s *listeningServer) serve() error { return ignoreServerClosed(s.http.Serve(s.listener)) }

// drain closes the listener and the connections once the requests that have been read are answered.
func (s *listeningServer) drain(ctx context.Context) {
	if s.listener != nil {
		s.conns.drain(ctx, s.listener)
	}
}

// close closes the listener and the connections at once.
func (s *listeningServer) close() { _ = s.http.Close() }
