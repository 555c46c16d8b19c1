// Command rhubarbctl is the operators' tool of rhubarbswitch.
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
