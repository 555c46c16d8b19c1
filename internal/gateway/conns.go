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
	// firstRequestTime is how long a new connection may take to bring its first request.
	firstRequestTime = time.Second
)

// The states of a connection.
const (
	connNew    int32 = iota // no byte has been read
	connIdle                // no byte of a next request has been read
	connBusy                // a request is being read or answered
	connClosed              // closed while it was new or idle
)

// serverConn is an accepted connection that is closed as idle only if none of its next request has been
// read. A request that is read at that moment is not served.
type serverConn struct {
	*net.TCPConn
	state     atomic.Int32
	idleSince time.Time // guarded by serverConns.mu
}

// Read reads from the connection. It fails if the connection has been closed as idle meanwhile.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.begin() {
		return 0, net.ErrClosed
	}
	return n, err
}

// begin marks the connection as busy. It returns false if the connection has been closed as idle.
func (c *serverConn) begin() bool {
	return c.state.CompareAndSwap(connIdle, connBusy) || c.state.CompareAndSwap(connNew, connBusy) || c.state.Load() == connBusy
}

// closeIfIdle closes the connection if it has been idle for longer than a time. A new one stays open for as
// long as its first request may take to arrive.
func (c *serverConn) closeIfIdle(after time.Duration) {
	age := time.Since(c.idleSince)
	if age >= after && c.state.CompareAndSwap(connIdle, connClosed) || age >= firstRequestTime && c.state.CompareAndSwap(connNew, connClosed) {
		_ = c.Close() // it is of no more use
	}
}

// awaited reports whether the connection must stay open: a request is being read or answered, or one may be
// on its way, as long as the connection has been idle for less than keptIdle.
func (c *serverConn) awaited(keptIdle time.Duration) bool {
	switch c.state.Load() {
	case connBusy:
		return true
	case connNew:
		return time.Since(c.idleSince) < firstRequestTime
	case connIdle:
		return time.Since(c.idleSince) < keptIdle
	}
	return false
}

// serverConns are the open connections of one HTTP server. The zero value is ready to use.
//
// http.Server.Shutdown and IdleTimeout are not used: they close a connection whose next request has been
// read and not yet parsed, and that request still runs.
type serverConns struct {
	// keptIdle is how long a stop leaves idle connections open.
	keptIdle time.Duration

	mu   sync.Mutex
	open map[*serverConn]bool
}

type connListener struct{ net.Listener }

func (l connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{TCPConn: conn.(*net.TCPConn)}, nil
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
		s.open[c], c.idleSince = true, time.Now()
	case http.StateActive:
		c.begin() // a request that had been read before
	case http.StateIdle:
		c.idleSince = time.Now()
		c.state.CompareAndSwap(connBusy, connIdle)
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
	}
}

type serverConnKey struct{}

// connContext is the ConnContext hook of the server.
func (s *serverConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, serverConnKey{}, conn)
}

// closedAsIdle reports whether the connection of a request was closed before the request was served. Such a
// request must not run.
func closedAsIdle(r *http.Request) bool {
	c, ok := r.Context().Value(serverConnKey{}).(*serverConn)
	return ok && c.state.Load() == connClosed
}

// closeExpired closes connections that have been idle for longer than a limit, until the context ends.
// limit returns the current one, which may change while a connection is idle; 0 closes none.
func (s *serverConns) closeExpired(ctx context.Context, limit func() time.Duration) {
	ticks := time.NewTicker(idleSweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if after := limit(); after > 0 {
			s.closeIdle(after)
		}
	}
}

// closeIdle closes the connections that have been idle for longer than a time.
func (s *serverConns) closeIdle(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle(after)
	}
}

// awaited returns the number of connections that must stay open.
func (s *serverConns) awaited() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.awaited(s.keptIdle) {
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
			s.closeIdle(0)
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
