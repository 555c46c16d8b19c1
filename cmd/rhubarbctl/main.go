// Command rhubarbctl is the command-line tool with which operators run rhubarbswitch. Package
// ctl implements it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx)
	stop()
	os.Exit(code)
}
