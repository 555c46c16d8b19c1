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

// settingsVariable names the settings file where no argument does.
const settingsVariable = "RHUBARBSWITCH_NODE_FILE"

// Run runs the daemon until it is told to stop, or its grace is over.
func (c *gatewayCommand) Run() error {
	if c.Settings == "" {
		c.Settings = os.Getenv(settingsVariable)
	}
	if c.Settings == "" {
		return errors.New("name a settings file, as an argument or in RHUBARBSWITCH_NODE_FILE")
	}
	set, err := config.LoadGateway(c.Settings)
	if err != nil {
		return err
	}
	out := logging.NewBounded(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, set.Log)
	if err != nil {
		return err
	}
	began := bootTime()
	clock := func() time.Duration { return bootTime() - began }
	adapter := platform.New(platform.Settings{
		Store: set.Platform, Within: set.MaxPropagation.D(), Clock: clock, Log: log,
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
				log.Error("the settings are kept as they were", "error", err)
			} else {
				d.Reload(set)
			}
		}
	}()
	return d.Run(context.Background())
}

// bootTime is a monotonic clock that counts also while the machine is suspended: leases
// and deadlines run out meanwhile.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error()) // the clock is part of every supported kernel
	}
	return time.Duration(t.Nano())
}
