// Package ctl is the operators' tool rhubarbctl: its commands, their output and
// their exit codes.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/render"
)

const description = `Operate rhubarbswitch: write contracts and configuration, take data
centres and hosts out of service and bring them back, and see what goes on.

It works through any daemon given with --daemon and, if none answers, on the
platform given with --platform.`

// commands is the whole command line.
type commands struct {
	Globals

	Apply      applyCommand      `cmd:"" help:"Write the objects in files or folders."`
	Get        getCommand        `cmd:"" help:"Show objects."`
	Describe   describeCommand   `cmd:"" help:"Show one object with what depends on it."`
	Delete     deleteCommand     `cmd:"" help:"Delete one object."`
	Validate   validateCommand   `cmd:"" help:"Check files without writing anything; needs no daemon."`
	Customer   customerCommands  `cmd:"" help:"Create customers and replace their keys."`
	Datacentre outInDataCentre   `cmd:"" help:"Take a data centre out of service or bring it back."`
	Host       outInHost         `cmd:"" help:"Take a host out of service or bring it back."`
	Status     statusCommand     `cmd:"" help:"Show daemons, groups, services and leases."`
	Trace      traceCommand      `cmd:"" help:"Follow one request over all daemons."`
	Report     reportCommands    `cmd:"" help:"Report what customers used."`
	Version    versionCommand    `cmd:"" help:"Show the release of this tool."`
	Completion completionCommand `cmd:"" help:"Print a completion script for a shell."`
}

// Streams are the tool's standard streams.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Env is what every command works with.
type Env struct {
	Streams
	Context context.Context
	Backend backend.Backend
	Output  render.Format
	model   *kong.Application
}

// Notef writes one line for the operator's eye to standard error.
func (e *Env) Notef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format+"\n", args...)
}

// Print writes a value as JSON, or as what table makes of it.
func (e *Env) Print(value any, table func() *render.Table) error {
	switch e.Output {
	case render.FormatJSON:
		return render.JSON(e.Out, value)
	case render.FormatCSV:
		return table().WriteCSV(e.Out)
	}
	return table().WriteText(e.Out)
}

// exited carries the code with which kong wants to end the program.
type exited int

// Run carries out one command line and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) (code int) {
	defer func() {
		if r := recover(); r != nil {
			asked, ok := r.(exited)
			if !ok {
				panic(r)
			}
			code = int(asked)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("rhubarbctl"), kong.Description(description), kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(exited(code)) }), kong.UsageOnError(),
	)
	if err != nil {
		return fail(streams.Err, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "rhubarbctl: %v; see rhubarbctl --help\n", err)
		return int(ExitUsage)
	}
	env := &Env{Streams: streams, Context: ctx, Output: render.Format(c.Output), model: parser.Model}
	env.Backend, err = c.backend(env)
	if err == nil {
		err = parsed.Run(env)
	}
	return fail(streams.Err, err)
}

func fail(w io.Writer, err error) int {
	code := exitCodeOf(err)
	if code != ExitDone {
		_, _ = fmt.Fprintf(w, "rhubarbctl: %s\n", strings.TrimSpace(err.Error()))
	}
	return int(code)
}

// Main runs the tool on the process's own arguments and streams.
func Main(ctx context.Context) int {
	return Run(ctx, os.Args[1:], Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
