package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/gateway"
	"github.com/rhubarbswitch/rhubarbswitch/internal/logging"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
	"github.com/rhubarbswitch/rhubarbswitch/platform"
)

type gatewayCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file, JSON with comments; by default the one that RHUBARBSWITCH_NODE_FILE names." type:"existingfile"`
}

// settingsEnv is the environment variable with the path of the settings file. It is used if
// there is no argument.
const settingsEnv = "RHUBARBSWITCH_NODE_FILE"

// Run runs the gateway until SIGTERM or SIGINT stops it. The stop is graceful, and takes at
// most the grace of the settings. SIGHUP makes the gateway read its settings again; if they
// are invalid, the previous ones stay in force.
func (c *gatewayCommand) Run() error {
	if c.Settings == "" {
		c.Settings = os.Getenv(settingsEnv)
	}
	if c.Settings == "" {
		return errors.New("name a settings file, as an argument or in RHUBARBSWITCH_NODE_FILE")
	}
	set, err := config.LoadGateway(c.Settings)
	if err != nil {
		return err
	}
	out := logging.NewNonBlockingWriter(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, set.Log)
	if err != nil {
		return err
	}
	startedAt := bootTime()
	clock := func() time.Duration { return bootTime() - startedAt }
	adapter := platform.New(platform.Settings{
		Store: set.Platform, MaxPropagation: set.MaxPropagation.D(), Clock: clock, Log: log,
		Self: relay.Daemon{Name: set.Daemon, DataCentre: set.DataCentre, Address: set.Links, Cores: set.Cores},
	})
	d, err := gateway.New(set, log, adapter, clock)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				d.Stop()
				continue
			}
			if set, err := config.LoadGateway(c.Settings); err != nil {
				log.Error("settings not reloaded, the previous ones stay in force", "error", err)
			} else {
				d.Reload(set)
			}
		}
	}()
	return d.Run(context.Background())
}

// bootTime returns the time since boot. Unlike Go's monotonic clock it includes the time
// during which the machine is suspended, since leases and deadlines expire during it too.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error()) // every supported kernel has this clock
	}
	return time.Duration(t.Nano())
}
