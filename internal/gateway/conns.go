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
)

// The states of a connection.
const (
	connIdle   int32 = iota // no byte of a next request has been read
	connBusy                // a request is being read or answered
	connClosed              // closed while it was idle
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
	return c.state.CompareAndSwap(connIdle, connBusy) || c.state.Load() == connBusy
}

// closeIfIdle closes the connection unless a request is being read or answered on it.
func (c *serverConn) closeIfIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		_ = c.Close() // it is of no more use
	}
}

// serverConns are the open connections of one HTTP server. The zero value is ready to use.
//
// http.Server.Shutdown and IdleTimeout are not used: they close a connection whose next request has been
// read and not yet parsed, and that request still runs.
type serverConns struct {
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

// closeIdle closes the connections that have been idle for longer than a time, and returns how many are busy.
func (s *serverConns) closeIdle(after time.Duration) (busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.state.Load() == connIdle && time.Since(c.idleSince) >= after {
			c.closeIfIdle()
		}
		if c.state.Load() == connBusy {
			busy++
		}
	}
	return busy
}

// busy returns the number of connections on which a request is being read or answered.
func (s *serverConns) busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.state.Load() == connBusy {
			n++
		}
	}
	return n
}

// drain waits until a moment at which no connection is busy, and then closes the listener and all
// connections. Requests that arrive before that moment are still read and answered. It returns early if
// the context ends.
func (s *serverConns) drain(ctx context.Context, l net.Listener) {
	ticks := time.NewTicker(drainPollInterval)
	defer ticks.Stop()
	for s.busy() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
	_ = l.Close() // what has not been accepted is reset, unread
	for s.closeIdle(0) > 0 {
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
