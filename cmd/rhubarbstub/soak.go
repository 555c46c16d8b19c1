package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/soak"
)

type soakCommand struct {
	First   uint64        `help:"First seed; 0 takes a fresh one." default:"0"`
	Seeds   int           `help:"Number of seeds." default:"10"`
	For     time.Duration `help:"Time in which disturbances begin, in each run." default:"25s"`
	Daemons int           `help:"Daemons of a run." default:"4"`
	Engines int           `help:"Servers with engines in each of two data centres; three make a group." default:"7"`
	Ledgers int           `help:"Plain servers in each data centre." default:"2"`
	Rate    float64       `help:"Requests per second." default:"60"`
	Former  string        `help:"rhubarbswitchd of another build, usually an older one: all daemons run it at first, and are replaced one after the other." type:"existingfile"`
	Faults  []soak.Kind   `help:"Disturbances to draw from: ${soakKinds}. All if none is named."`
	Jobs    int           `help:"Runs side by side." default:"2"`
	Report  string        `help:"File to which the reports are written, one JSON object a line." type:"path"`
	Logs    string        `help:"Folder for the logs of runs with findings." type:"existingdir" default:"${soakLogs}"`
}

// soakHelp returns the values that the help texts of soakCommand refer to.
func soakHelp() map[string]string {
	var names []string
	for _, k := range soak.Kinds() {
		names = append(names, string(k))
	}
	return map[string]string{"soakKinds": strings.Join(names, ", "), "soakLogs": os.TempDir()}
}

// Run executes one run for each seed, at most Jobs at a time, and prints the findings. It
// returns an error if there are any.
func (c *soakCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the folder of this program")
	}
	set := soak.Settings{
		Program: filepath.Join(filepath.Dir(self), "rhubarbswitchd"), Former: c.Former, Length: c.For, Daemons: c.Daemons,
		Engines: c.Engines, Ledgers: c.Ledgers, Rate: c.Rate, Kinds: c.Faults, Logs: c.Logs,
	}
	first := c.First
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	total := totals{report: c.Report}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, c.Jobs))
	for i := range c.Seeds {
		g.Go(func() error {
			run := set
			run.Seed = first + uint64(i)
			report, err := soak.Run(ctx, run)
			if err != nil {
				return errors.Wrapf(err, "seed %d", run.Seed)
			}
			return total.add(report)
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d seeds from %d: %d disturbances, %d calls, %d runs, %d findings\n", c.Seeds, first, total.faults, total.calls, total.runs, total.findings)
	if total.findings > 0 {
		return errors.Errorf("%d findings: run their seeds again with --first SEED --seeds 1, and read the logs", total.findings)
	}
	return nil
}

// totals sums up the reports of all runs and appends each to a file.
type totals struct {
	report string // path of the file; empty writes none

	mu                            sync.Mutex
	faults, calls, runs, findings int
}

func (t *totals) add(r soak.Report) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range r.Faults {
		t.faults += n
	}
	for _, n := range r.Calls {
		t.calls += n
	}
	t.runs += r.Runs
	t.findings += len(r.Findings)
	for _, f := range r.Findings {
		fmt.Printf("seed %d, %s: %s: %s (logs: %s)\n", r.Seed, f.At, f.Promise, f.Detail, r.Logs)
	}
	if len(r.Findings) > 0 {
		excerpts, err := soak.Excerpts(r)
		if err != nil {
			return err
		}
		fmt.Print(excerpts)
	}
	if t.report == "" {
		return nil
	}
	line, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	file, err := os.OpenFile(t.report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the report")
	}
	if _, err := file.Write(append(line, '\n')); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the report")
	}
	return file.Close()
}
