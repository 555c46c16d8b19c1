package serve

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// Local is a stub that serves within this process on a free loopback port.
type Local struct {
	Address string
	server  *http.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Open starts serving in the background.
func Open(handler http.Handler, hooks Hooks) (*Local, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &Local{Address: listener.Addr().String(), conns: make(map[net.Conn]struct{})}
	l.server = newServer(handler, Hooks{
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if hooks.ConnContext != nil {
				ctx = hooks.ConnContext(ctx, conn)
			}
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			l.track(conn, state)
			if hooks.ConnState != nil {
				hooks.ConnState(conn, state)
			}
		},
	})
	go func() { _ = l.server.Serve(listener) }() // returns ErrServerClosed after Close
	return l, nil
}

func (l *Local) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
	}
}

// Close stops serving and resets all connections.
func (l *Local) Close() {
	l.mu.Lock()
	for conn := range l.conns {
		ResetOnClose(conn)
	}
	l.mu.Unlock()
	_ = l.server.Close()
}

// Abort ends the handler of a request to a Local, and resets the request's connection.
func Abort(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		ResetOnClose(conn)
	}
	panic(http.ErrAbortHandler)
}

// ResetOnClose has a TCP connection reset when it is closed.
func ResetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
