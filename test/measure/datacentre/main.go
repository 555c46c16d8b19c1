// Command datacentre measures service while a data centre leaves and returns, second
// by second: with the limits that keep cold targets from falling over, and with the
// first simple policy, which sends a returned target its full load at once. While the
// data centre is out its engines restart, so that they return cold.
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
	daemons   = 7
	hosts     = 12
	perDomain = 4
	groups    = 6
	coldLimit = 4
	warmLimit = 48
	warmAfter = 40
	deadline  = 4 * time.Second
	// warmUpRate, in requests a second, for warmUp answers more than warmAfter requests
	// at each group without more than coldLimit in flight.
	warmUpRate = 12
	warmUp     = 35 * time.Second
	// leaving are the engines of the data centre that leaves.
	leavingFrom, leavingTo = perDomain, 2 * perDomain
)

// The course of a run, from its start.
const (
	outAt     = 10 * time.Second
	restartAt = 14 * time.Second
	inAt      = 26 * time.Second
	length    = 50 * time.Second
)

type command struct {
	Rate float64 `help:"Requests a second." default:"90"`
	Seed uint64  `help:"Seed of the arrivals." default:"1"`
	Plot string  `help:"File for the plot, SVG or PNG; empty for none." default:""`
}

// policy is a way to treat targets that return.
type policy struct {
	name  string
	model object.Model
	ramp  int // seconds
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
		report, toppled, err := c.measure(p, ours)
		if err != nil {
			return errors.Wrap(err, p.name)
		}
		print(p.name, report, toppled)
		lines = append(lines, p.name, points(report))
	}
	if c.Plot == "" {
		return nil
	}
	return draw(c.Plot, lines)
}

// measure warms the engines up under the cold limits of a model and then runs a policy.
func (c *command) measure(p policy, warming object.Model) (load.Report, int64, error) {
	l, err := lab.New(3 * time.Millisecond)
	if err != nil {
		return load.Report{}, 0, err
	}
	defer l.Close()
	if err := start(l, p.ramp, warming); err != nil {
		return load.Report{}, 0, err
	}
	o := load.Options{
		Addresses: l.Callers, CallerKey: lab.Key, Kind: load.Streams, Model: lab.Model,
		Rate: c.Rate, Deadline: deadline, MaxTokens: 50, Prompts: 100000, MaxInFlight: 4096, Seed: c.Seed,
	}
	o.Rate, o.Duration = warmUpRate, warmUp
	if _, _, err := load.Run(context.Background(), o); err != nil {
		return load.Report{}, 0, err
	}
	if err := l.Put(object.KindModel, lab.Model, &p.model); err != nil {
		return load.Report{}, 0, err
	}
	o.Rate, o.Duration = c.Rate, length
	before := toppled(l)
	failed := make(chan error, 1)
	go func() { failed <- leaveAndReturn(l, p) }()
	report, _, err := load.Run(context.Background(), o)
	if err != nil {
		return load.Report{}, 0, err
	}
	if err := <-failed; err != nil {
		return load.Report{}, 0, err
	}
	return report, toppled(l) - before, nil
}

func start(l *lab.Lab, ramp int, m object.Model) error {
	for n := range hosts / perDomain {
		if err := l.Put(object.KindDataCentre, fmt.Sprintf("dc%d", n+1), &object.DataCentre{RampSeconds: ramp}); err != nil {
			return err
		}
	}
	o := engine.Options{
		TokenGap: 10 * time.Millisecond, FirstToken: 20 * time.Millisecond, MissPenalty: 20 * time.Millisecond,
		Load: 2 * time.Second, Restart: time.Second, Poll: 100 * time.Millisecond, Prefixes: 64,
		Warmth: warmth.Limits{Cold: coldLimit, WarmAfter: warmAfter},
	}
	if err := l.AddEngines(hosts, perDomain, true, m, o); err != nil {
		return err
	}
	if err := l.AddDaemons(daemons); err != nil {
		return err
	}
	return l.AwaitGroups(groups)
}

// leaveAndReturn takes the data centre out, restarts its engines and brings it back.
func leaveAndReturn(l *lab.Lab, p policy) error {
	time.Sleep(outAt)
	if err := l.Put(object.KindDataCentre, "dc2", &object.DataCentre{Out: true, RampSeconds: p.ramp}); err != nil {
		return err
	}
	time.Sleep(restartAt - outAt)
	for _, e := range l.Engines[leavingFrom:leavingTo] {
		e.SetFaults(engine.Faults{Crash: true})
	}
	time.Sleep(inAt - restartAt)
	return l.Put(object.KindDataCentre, "dc2", &object.DataCentre{RampSeconds: p.ramp})
}

func toppled(l *lab.Lab) int64 {
	n := int64(0)
	for _, e := range l.Engines {
		n += e.Stats().Toppled
	}
	return n
}

func print(name string, r load.Report, toppled int64) {
	worst := 1.0
	for _, s := range r.Seconds {
		worst = min(worst, share(s))
	}
	fmt.Printf("%s: %d sent, %d whole within %s (%.2f %%), worst second %.0f %%, engines toppled %d, first token p50 %d ms, p95 %d ms\n",
		name, r.Sent, r.InDeadline, deadline, 100*float64(r.InDeadline)/float64(r.Sent), 100*worst, toppled,
		r.FirstToken.P50/1000, r.FirstToken.P95/1000)
}

func share(s load.Second) float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.InDeadline) / float64(s.Sent)
}

func points(r load.Report) plotter.XYs {
	var xy plotter.XYs
	for i, s := range r.Seconds {
		xy = append(xy, plotter.XY{X: float64(i), Y: 100 * share(s)})
	}
	return xy
}

func draw(file string, lines []any) error {
	p := plot.New()
	p.Title.Text = "A data centre leaves at 10 s and returns at 26 s"
	p.X.Label.Text = "second in which requests were sent"
	p.Y.Label.Text = "whole within the deadline, %"
	p.Y.Min, p.Y.Max = 0, 105
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw")
	}
	if err := p.Save(18*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return errors.Wrap(err, "save the plot")
	}
	return nil
}
