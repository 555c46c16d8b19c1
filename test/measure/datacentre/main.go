// Command datacentre measures, second by second, the share of requests that complete in time
// while a data centre is taken out and put back. It compares two policies: the cold limits
// and ramp that protect cold targets from overload, and the first, simple policy, which sends
// a returned target its full load at once. While the data centre is out its engines restart,
// so that they return cold.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
	"github.com/rhubarbswitch/rhubarbswitch/test/measure/lab"
)

const (
	daemons        = 7
	hosts          = 12
	hostsPerDomain = 4 // hosts in a fabric domain; each domain is a data centre
	groups         = 6 // each with two members
	// coldLimit is the number of requests in flight above which a cold engine crashes.
	coldLimit = 4
	// warmLimit is the number of requests in flight that a warm group may get.
	warmLimit = 48
	// warmAfter is the number of answers after which an engine is warm.
	warmAfter = 40
	// deadline is the callers' timeout.
	deadline = 4 * time.Second
	// At warmUpRate requests per second for warmUpDuration, each group answers more than
	// warmAfter requests and never has more than coldLimit in flight.
	warmUpRate     = 12
	warmUpDuration = 35 * time.Second
	// Engines from firstLeaving up to, but not including, endLeaving are in the data centre
	// that is taken out.
	firstLeaving, endLeaving = hostsPerDomain, 2 * hostsPerDomain
)

// The times of the events of a run, from its start.
const (
	outAt     = 10 * time.Second // the data centre is taken out
	restartAt = 14 * time.Second // its engines crash and restart
	inAt      = 26 * time.Second // the data centre is put back
	runLength = 50 * time.Second // end of the run
)

// command holds the flags.
type command struct {
	Rate float64 `help:"Requests a second." default:"90"`
	Seed uint64  `help:"Seed of the arrivals." default:"1"`
	Plot string  `help:"File for the plot, SVG or PNG; empty for none." default:""`
}

// policy is a way to treat targets that return.
type policy struct {
	name        string
	model       object.Model // its limits are part of the policy
	rampSeconds int          // seconds over which a returned data centre gets its full load
}

func main() {
	var c command
	ctx := kong.Parse(&c)
	ctx.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	base := object.Model{Members: 2, Groups: groups, Weights: "w", WarmLimit: warmLimit}
	ours, simple := base, base
	ours.ColdLimit, ours.WarmAfter = coldLimit, warmAfter
	simple.ColdLimit = warmLimit
	var lines []any
	for _, p := range []policy{{"full load at once", simple, 1}, {"cold limits and ramp", ours, 10}} {
		report, crashes, err := c.measure(p, ours)
		if err != nil {
			return errors.Wrap(err, p.name)
		}
		printReport(p.name, report, crashes)
		lines = append(lines, p.name, points(report))
	}
	if c.Plot == "" {
		return nil
	}
	return draw(c.Plot, lines)
}

// measure warms the engines up under the limits of the model warming and then measures a run
// under the policy. It returns the callers' report and how often engines crashed by overload.
func (c *command) measure(p policy, warming object.Model) (load.Report, int64, error) {
	l, err := lab.New(3 * time.Millisecond)
	if err != nil {
		return load.Report{}, 0, err
	}
	defer l.Close()
	if err := start(l, p.rampSeconds, warming); err != nil {
		return load.Report{}, 0, err
	}
	o := load.Options{
		Addresses: l.Callers, CallerKey: lab.CallerKey, Kind: load.Streams, Model: lab.Model,
		Rate: c.Rate, Deadline: deadline, MaxTokens: 50, Prompts: 100000, MaxInFlight: 4096, Seed: c.Seed,
	}
	o.Rate, o.Duration = warmUpRate, warmUpDuration
	if _, _, err := load.Run(context.Background(), o); err != nil {
		return load.Report{}, 0, err
	}
	if err := l.Put(object.KindModel, lab.Model, &p.model); err != nil {
		return load.Report{}, 0, err
	}
	o.Rate, o.Duration = c.Rate, runLength
	before := overloadCrashes(l)
	failed := make(chan error, 1)
	go func() { failed <- leaveAndReturn(l, p) }()
	report, _, err := load.Run(context.Background(), o)
	if err != nil {
		return load.Report{}, 0, err
	}
	if err := <-failed; err != nil {
		return load.Report{}, 0, err
	}
	return report, overloadCrashes(l) - before, nil
}

// start starts one engine domain in each data centre and the daemons, and waits until all
// groups serve.
func start(l *lab.Lab, ramp int, m object.Model) error {
	for n := range hosts / hostsPerDomain {
		if err := l.Put(object.KindDataCentre, fmt.Sprintf("dc%d", n+1), &object.DataCentre{RampSeconds: ramp}); err != nil {
			return err
		}
	}
	o := engine.Options{
		TokenGap: 10 * time.Millisecond, FirstToken: 20 * time.Millisecond, MissPenalty: 20 * time.Millisecond,
		LoadTime: 2 * time.Second, RestartDelay: time.Second, PollInterval: 100 * time.Millisecond, PrefixCacheSize: 64,
		Warmth: warmth.Limits{ColdLimit: coldLimit, WarmAfter: warmAfter},
	}
	if err := l.AddEngines(hosts, hostsPerDomain, true, m, o); err != nil {
		return err
	}
	if err := l.AddDaemons(daemons); err != nil {
		return err
	}
	return l.AwaitGroups(groups)
}

// leaveAndReturn takes the data centre out, restarts its engines and puts it back, at the
// times of a run.
func leaveAndReturn(l *lab.Lab, p policy) error {
	time.Sleep(outAt)
	if err := l.Put(object.KindDataCentre, "dc2", &object.DataCentre{Out: true, RampSeconds: p.rampSeconds}); err != nil {
		return err
	}
	time.Sleep(restartAt - outAt)
	for _, e := range l.Engines[firstLeaving:endLeaving] {
		e.SetFaults(engine.Faults{Crash: true})
	}
	time.Sleep(inAt - restartAt)
	return l.Put(object.KindDataCentre, "dc2", &object.DataCentre{RampSeconds: p.rampSeconds})
}

// overloadCrashes counts how often engines crashed because they got more requests than a cold
// engine can run.
func overloadCrashes(l *lab.Lab) int64 {
	n := int64(0)
	for _, e := range l.Engines {
		n += e.Stats().OverloadCrashes
	}
	return n
}

// printReport prints the result of a policy on one line.
func printReport(name string, r load.Report, crashes int64) {
	worst := 1.0
	for _, s := range r.Seconds {
		worst = min(worst, share(s))
	}
	fmt.Printf("%s: %d sent, %d complete within %s (%.2f %%), worst second %.0f %%, engine crashes by overload %d, first token p50 %d ms, p95 %d ms\n",
		name, r.Sent, r.InDeadline, deadline, 100*float64(r.InDeadline)/float64(r.Sent), 100*worst, crashes,
		r.FirstToken.P50/1000, r.FirstToken.P95/1000)
}

// share returns the share of the requests sent in one second that completed in time, or 1 if
// none was sent.
func share(s load.Second) float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.InDeadline) / float64(s.Sent)
}

// points returns the percentage of requests that completed in time, for each second.
func points(r load.Report) plotter.XYs {
	var xy plotter.XYs
	for i, s := range r.Seconds {
		xy = append(xy, plotter.XY{X: float64(i), Y: 100 * share(s)})
	}
	return xy
}

// draw writes the plot. The extension of the file's name sets the format.
func draw(file string, lines []any) error {
	p := plot.New()
	p.Title.Text = "A data centre leaves at 10 s and returns at 26 s"
	p.X.Label.Text = "second in which requests were sent"
	p.Y.Label.Text = "complete within the deadline, %"
	p.Y.Min, p.Y.Max = 0, 105
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw")
	}
	if err := p.Save(18*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return errors.Wrap(err, "save the plot")
	}
	return nil
}
