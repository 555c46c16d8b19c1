// Package ctl implements the operators' tool rhubarbctl: its commands, their output and
// their exit codes.
//
// Every change is conditional on the version of the object that the command has read, so
// that two operators do not overwrite each other's changes. Results go to standard output
// as a table, JSON or CSV; progress, notes and errors go to standard error.
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

// commands defines the command line.
type commands struct {
	Globals

	Apply      applyCommand       `cmd:"" help:"Write the objects in files or folders."`
	Get        getCommand         `cmd:"" help:"Show objects."`
	Describe   describeCommand    `cmd:"" help:"Show one object with what depends on it."`
	Delete     deleteCommand      `cmd:"" help:"Delete one object."`
	Validate   validateCommand    `cmd:"" help:"Check files without writing anything; needs no daemon."`
	Customer   customerCommands   `cmd:"" help:"Create customers and replace their keys."`
	Datacentre dataCentreCommands `cmd:"" help:"Take a data centre out of service or bring it back."`
	Host       hostCommands       `cmd:"" help:"Take a host out of service or bring it back."`
	Status     statusCommand      `cmd:"" help:"Show daemons, groups, services and leases."`
	Trace      traceCommand       `cmd:"" help:"Follow one request over all daemons."`
	Report     reportCommands     `cmd:"" help:"Report what customers used."`
	Version    versionCommand     `cmd:"" help:"Show the release of this tool."`
	Completion completionCommand  `cmd:"" help:"Print a completion script for a shell."`
}

// Streams are the tool's standard streams.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Env is the environment in which a command runs.
type Env struct {
	Streams
	// Context ends when the tool receives a signal to stop.
	Context context.Context
	// Backend reads and writes objects, through a daemon or in the platform.
	Backend backend.Backend
	// Output is the format of results on standard output.
	Output render.Format
	model  *kong.Application // definition of the command line, for completion
}

// Notef writes one line for the operator to standard error.
func (e *Env) Notef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format+"\n", args...)
}

// Print writes a value to standard output, as JSON or as the table that table returns.
func (e *Env) Print(value any, table func() *render.Table) error {
	switch e.Output {
	case render.FormatJSON:
		return render.JSON(e.Out, value)
	case render.FormatCSV:
		return table().WriteCSV(e.Out)
	}
	return table().WriteText(e.Out)
}

// exitRequest is the panic value with which kong's exit hook ends a command line, for
// example after --help. Its value is the exit code.
type exitRequest int

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) (code int) {
	defer func() {
		if r := recover(); r != nil {
			request, ok := r.(exitRequest)
			if !ok {
				panic(r)
			}
			code = int(request)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("rhubarbctl"), kong.Description(description), kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(exitRequest(code)) }), kong.UsageOnError(),
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

// fail prints the error, if there is one, and returns its exit code.
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
