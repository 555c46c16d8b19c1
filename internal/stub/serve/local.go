package serve

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Local is a stand-in served within the process, on a free loopback port.
type Local struct {
	Address string
	server  *http.Server
}

// Open starts serving.
func Open(handler http.Handler, hooks Hooks) (*Local, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := newServer(handler, hooks)
	go func() { _ = server.Serve(listener) }() // always ends with ErrServerClosed
	return &Local{Address: listener.Addr().String(), server: server}, nil
}

// Close stops serving and closes every connection.
func (l *Local) Close() { _ = l.server.Close() }
