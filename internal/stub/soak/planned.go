package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// PlannedSeries stops several daemons in turn or at once, so that their stops overlap, with SIGHUP and
// changes of the configuration beside them. Callers use open connections until each process has ended.
const PlannedSeries Kind = "planned-series"

const (
	// Two stops of a series begin at once with the probability stopsAtOnceShare, or else at most
	// maxStopDelay apart. A daemon starts again at most maxStopRestart after its end.
	stopsAtOnceShare = 0.4
	maxPlannedSeries = 12 * time.Second
	maxStopDelay     = 3 * time.Second
	maxStopRestart   = time.Second
	// besideShare is the probability that SIGHUP, or a change of the configuration, comes at most
	// maxBesideDelay after a stop.
	besideShare    = 0.5
	maxBesideDelay = 2 * time.Second
	// Before a daemon stops, callers open stopConnections connections to it. From then on they send a
	// request each stopCallInterval until the process has ended.
	stopConnections  = 16
	stopCallInterval = 40 * time.Millisecond
	// Unless kinds are given, one seed in plannedSeriesSeeds has these series: they excuse daemons from
	// promises with a time bound most of the time.
	plannedSeriesSeeds = 5
)

// plannedCatalogue has series of planned work that overlap. They are drawn like unplanned disturbances, in
// bursts with calm periods between them.
var plannedCatalogue = []kindSpec{
	{PlannedSeries, false, maxPlannedSeries, func(r *run, f Fault) func() {
		draw := rand.New(rand.NewPCG(f.Pick, 2))
		order := draw.Perm(len(r.daemons))
		at := time.Duration(0)
		for i, index := range order[:1+draw.IntN(len(order))] {
			if i > 0 && draw.Float64() >= stopsAtOnceShare {
				at += time.Duration(draw.Int64N(int64(maxStopDelay)))
			}
			if at > f.Duration {
				break
			}
			d, restartDelay, seed := r.daemons[index], time.Duration(draw.Int64N(int64(maxStopRestart))), draw.Uint64()
			r.runAfter(at, func() { r.stopWhileCalled(d, restartDelay, seed) })
			if draw.Float64() < besideShare {
				other := r.daemons[draw.IntN(len(r.daemons))]
				r.runAfter(at+time.Duration(draw.Int64N(int64(maxBesideDelay))), func() { r.hangUp(other) })
			}
			if draw.Float64() < besideShare {
				r.runAfter(at+time.Duration(draw.Int64N(int64(maxBesideDelay))), r.configure)
			}
		}
		return nil
	}},
}

func (r *run) hangUp(d *daemon) {
	r.plan.add(planLine{Phase: "signal", Kind: DaemonHup, Scope: d.name})
	p, _ := d.current()
	p.Signal(syscall.SIGHUP)
}

// stopWhileCalled stops a daemon gracefully while callers send requests to it, the first of them on
// connections that they had opened before.
func (r *run) stopWhileCalled(d *daemon, restartDelay time.Duration, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 0))
	p, _ := d.current()
	send := func() {
		kind := []callKind{chat, write, read}[draw.IntN(3)]
		r.background.Go(func() { r.sendCall(context.Background(), d, kind, 0, 0) })
	}
	for range stopConnections {
		send()
	}
	time.Sleep(stopCallInterval)
	d.endProcess(syscall.SIGTERM, restartDelay)
	ticks := time.NewTicker(stopCallInterval)
	defer ticks.Stop()
	for {
		select {
		case <-p.Ended():
			return
		case <-ticks.C:
			send()
		}
	}
}
