// Package serve runs the HTTP handlers of stubs, either as a separate process or within a test.
// A process prints the address that it listens on as the first line of its standard output,
// and ends on SIGINT or SIGTERM.
package serve

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// headerTimeout bounds the time in which a client sends its request header; the server closes
// the connection after it.
const headerTimeout = 10 * time.Second

// Hooks are called with the connections of a server; see http.Server. Both may be nil.
type Hooks struct {
	ConnContext func(context.Context, net.Conn) context.Context
	ConnState   func(net.Conn, http.ConnState)
}

// Run serves until SIGINT or SIGTERM. An address that ends in ":0" means any free port.
func Run(out io.Writer, address string, handler http.Handler, hooks Hooks) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Listener(ctx, out, listener, handler, hooks)
}

// Listener prints the listener's address and serves on it until the context ends.
func Listener(ctx context.Context, out io.Writer, listener net.Listener, handler http.Handler, hooks Hooks) error {
	if _, err := fmt.Fprintln(out, listener.Addr()); err != nil {
		return errors.Wrap(err, "print the address")
	}
	server := newServer(handler, hooks)
	unhook := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer unhook()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func newServer(handler http.Handler, hooks Hooks) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout,
		ConnContext: hooks.ConnContext, ConnState: hooks.ConnState,
	}
}
