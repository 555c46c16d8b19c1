package serve

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Local is a stub that serves within this process on a free loopback port.
type Local struct {
	Address string
	server  *http.Server
}

// Open starts serving in the background.
func Open(handler http.Handler, hooks Hooks) (*Local, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := newServer(handler, hooks)
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed after Close
	return &Local{Address: listener.Addr().String(), server: server}, nil
}

// Close stops serving and closes all connections.
func (l *Local) Close() { _ = l.server.Close() }
