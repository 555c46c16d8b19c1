// Command rhubarbswitchd is the daemon. It serves callers, routes their requests to targets,
// and takes part in the control of the groups of hosts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/daemon"
	"github.com/rhubarbswitch/rhubarbswitch/internal/logging"
)

type commands struct {
	Run           runCommand     `cmd:"" default:"withargs" help:"Run the daemon."`
	Gateway       gatewayCommand `cmd:"" help:"Run the daemon as a gateway on the users' platform."`
	CheckSettings checkCommand   `cmd:"" help:"Check a settings file and say what is wrong with it."`
	PrintDefaults defaultsCmd    `cmd:"" help:"Print every setting with its meaning and default."`
	Version       versionCmd     `cmd:"" help:"Print the release."`
}

type runCommand struct {
	Settings string `arg:"" help:"Settings file, JSON with comments." type:"existingfile"`
}

type checkCommand struct {
	Settings string `arg:"" help:"Settings file, JSON with comments." type:"existingfile"`
}

type defaultsCmd struct{}

type versionCmd struct{}

// Run runs the daemon until it receives SIGTERM or SIGINT. The first signal stops it
// gracefully. A second one, or the end of the shutdown timeout, ends the requests that are
// still in flight.
func (c *runCommand) Run() error {
	set, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := logging.New(os.Stderr, set.Log)
	if err != nil {
		return err
	}
	d, err := daemon.New(set, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.Stop()
		select {
		case <-signals:
		case <-time.After(set.ShutdownTimeout.D()):
		}
		cancel()
	}()
	return d.Run(ctx)
}

// Run checks the settings file and returns the first rule that it breaks.
func (c *checkCommand) Run() error {
	if _, err := config.Load(c.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// Run prints the settings with their comments and defaults.
func (defaultsCmd) Run() error {
	_, err := os.Stdout.Write(config.DefaultsDocument())
	return err
}

// Run prints the release.
func (versionCmd) Run() error {
	fmt.Println("rhubarbswitchd", daemon.Release)
	return nil
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("rhubarbswitchd"), kong.Description("Serves language models whose replicas span several hosts."))
	ctx.FatalIfErrorf(ctx.Run())
}
