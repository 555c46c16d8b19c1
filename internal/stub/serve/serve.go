// Package serve runs a stand-in's handler as a process: it prints the address it
// listens on as the first line of standard output and ends on SIGINT or SIGTERM.
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

const headerTimeout = 10 * time.Second

// Run serves until a signal comes. The address may end in ":0" for any free port.
func Run(out io.Writer, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Listener(ctx, out, listener, handler)
}

// Listener serves on an open listener until the context ends.
func Listener(ctx context.Context, out io.Writer, listener net.Listener, handler http.Handler) error {
	if _, err := fmt.Fprintln(out, listener.Addr()); err != nil {
		return errors.Wrap(err, "print the address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	unhook := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer unhook()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
