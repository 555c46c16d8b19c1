// Package soak runs the gateway daemons as processes in front of package site, a stub of the
// users' platform. It disturbs daemons, links, servers and the store from outside, and checks
// from what callers and servers see that the daemons keep their promises. Only a run without
// findings is a pass.
//
// A seed determines the disturbances and their times. The processes run in real time, so that
// two runs with one seed do not interleave in the same way.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the name of a kind of disturbance.
type Kind string

// The kinds of disturbances. Relays disturb the links of callers, the store and servers in
// four ways: reset connections, delayed bytes, bytes that are withheld until the end (silent),
// and bytes that are lost in one direction (one-way).
const (
	DaemonKill  Kind = "daemon-kill"
	DaemonHerd  Kind = "daemon-herd" // kills all daemons at once
	DaemonStop  Kind = "daemon-stop" // stops a daemon with SIGTERM
	DaemonPause Kind = "daemon-pause"
	DaemonHup   Kind = "daemon-hup"

	CallersReset  Kind = "callers-reset"
	CallersDelay  Kind = "callers-delay"
	CallersSilent Kind = "callers-silent"
	CallersOneWay Kind = "callers-one-way"
	StoreReset    Kind = "store-reset"
	StoreDelay    Kind = "store-delay"
	StoreSilent   Kind = "store-silent"
	StoreOneWay   Kind = "store-one-way"
	ServerReset   Kind = "server-reset"
	ServerDelay   Kind = "server-delay"
	ServerSilent  Kind = "server-silent"
	ServerOneWay  Kind = "server-one-way"

	ServerCrash    Kind = "server-crash"
	ServerDrain    Kind = "server-drain" // a server drains, and another replaces it
	ServerErrors   Kind = "server-errors"
	ServerHang     Kind = "server-hang"
	ServerUnlisted Kind = "server-unlisted" // the entry of a live server expires
	ServerLeaving  Kind = "server-leaving"  // a server says in its answers that it leaves
	ServerQuiet    Kind = "server-quiet"    // a server turns requests away and asks for a pause
	OrdersLate     Kind = "orders-late"

	StoreDown    Kind = "store-down"
	StoreAway    Kind = "store-away" // no daemon gets an answer
	StoreSlow    Kind = "store-slow"
	StoreLost    Kind = "store-lost" // some writes are not answered, but carried out at once or late
	StoreHistory Kind = "store-history"
	StoreRestore Kind = "store-restore" // the store comes back from an older copy

	ConfigChange Kind = "config-change"
	ConfigStorm  Kind = "config-storm"
	Evacuation   Kind = "evacuation"
)

// Fault is one disturbance of a run.
type Fault struct {
	Kind Kind
	// At is its start, since the time from which disturbances are possible.
	At       time.Duration
	Duration time.Duration
	// Pick is a random number that selects the affected daemon or server and the details.
	Pick uint64
}

const (
	// Disturbances begin in bursts of minBurst to maxBurst, in which they overlap. In the
	// calmPeriod after each burst the checker can check promises with a time bound.
	minBurst   = 3 * time.Second
	maxBurst   = 7 * time.Second
	calmPeriod = 7 * time.Second
	// maxPerBurst bounds the draws of a burst, each of which is one disturbance or a series.
	// maxPerSeries bounds the disturbances of a series, which are of one kind.
	maxPerBurst  = 7
	maxPerSeries = 4
	// seriesShare is the share of draws that give a series. maxSeriesDelay bounds the delay
	// between the starts of two disturbances of a series.
	seriesShare    = 0.3
	maxSeriesDelay = 1500 * time.Millisecond
	// minDuration is the shortest duration of a disturbance, and the shortest delay in a
	// series.
	minDuration = 50 * time.Millisecond
	// seriesStream times the number of a series is the random stream of its draws. The streams
	// below are used for requests.
	seriesStream = 16
	// crashSeries and crashBurstSeries are the numbers of the series with requests that crash servers.
	crashSeries, crashBurstSeries = 2, 4
	// plannedSeries is the number of the series with PlannedSeries.
	plannedSeries = 7
	// controlSeries is the number of the series that disturbs the ordering of groups.
	controlSeries = 8
	// plannedInterval is the mean time between actions of operators, which also occur in calm
	// periods.
	plannedInterval = 4 * time.Second
)

// catalogues are the series of kinds of disturbances, in the order in which they were added.
var catalogues = [][]kindSpec{catalogue, laterCatalogue, crashCatalogue, answerCatalogue, crashBurstCatalogue, limitCatalogue, linksCatalogue, plannedCatalogue, controlCatalogue}

// Kinds returns all kinds of disturbances.
func Kinds() []Kind {
	var kinds []Kind
	for _, t := range slices.Concat(catalogues...) {
		kinds = append(kinds, t.kind)
	}
	return kinds
}

// Check returns an error for a kind that does not exist.
func Check(kinds []Kind) error {
	for _, k := range kinds {
		if !slices.Contains(Kinds(), k) {
			return errors.Errorf("unknown kind of disturbance %q: see --help for the kinds", k)
		}
	}
	return nil
}

// Draw returns the disturbances that a seed determines for a run of a length, sorted by start.
// It draws from the given kinds, or from all if none is given. The kinds of each series of the
// catalogue are drawn by themselves, so that a seed keeps the disturbances that it had before a
// series was added. Unless kinds are given, requests crash servers only with odd seeds: they
// disturb the servers most of the time, which excuses daemons from other promises. In the same way
// only some seeds have series of planned work, or disturb the ordering of groups.
func Draw(seed uint64, length time.Duration, kinds []Kind) []Fault {
	var faults []Fault
	for series, specs := range catalogues {
		if (series == crashSeries || series == crashBurstSeries) && len(kinds) == 0 && seed%2 == 0 {
			continue
		}
		if series == plannedSeries && len(kinds) == 0 && seed%plannedSeriesSeeds != plannedSeriesSeeds-1 {
			continue
		}
		if series == controlSeries && len(kinds) == 0 && seed%controlSeeds != 0 {
			continue
		}
		faults = append(faults, drawSeries(rand.New(rand.NewPCG(seed, uint64(series)*seriesStream)), specs, length, kinds)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// drawSeries draws the disturbances of one series.
func drawSeries(draw *rand.Rand, specs []kindSpec, length time.Duration, kinds []Kind) []Fault {
	d := &planner{rand: draw, length: length}
	for _, t := range specs {
		switch {
		case len(kinds) > 0 && !slices.Contains(kinds, t.kind):
		case t.planned:
			d.plannedKinds = append(d.plannedKinds, t)
		default:
			d.unplannedKinds = append(d.unplannedKinds, t)
		}
	}
	for at := time.Duration(0); len(d.unplannedKinds) > 0 && at < length; {
		burst := d.between(minBurst, maxBurst)
		for range 1 + d.rand.IntN(maxPerBurst) {
			d.add(d.unplannedKinds, at+d.between(0, burst))
		}
		at += burst + calmPeriod
	}
	for at := time.Duration(0); len(d.plannedKinds) > 0 && at < length; at += d.between(0, 2*plannedInterval) {
		d.add(d.plannedKinds, at)
	}
	return d.faults
}

// planner draws the disturbances of a run.
type planner struct {
	rand                         *rand.Rand
	length                       time.Duration // time in which disturbances begin
	plannedKinds, unplannedKinds []kindSpec
	faults                       []Fault
}

func (d *planner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.rand.Int64N(int64(most-least)))
}

// add draws one disturbance that begins at a time, or a series that begins then.
func (d *planner) add(kinds []kindSpec, at time.Duration) {
	t := kinds[d.rand.IntN(len(kinds))]
	n := 1
	if d.rand.Float64() < seriesShare {
		n = 2 + d.rand.IntN(maxPerSeries-1)
	}
	for ; n > 0 && at < d.length; n-- {
		f := Fault{Kind: t.kind, At: at, Pick: d.rand.Uint64(), Duration: d.between(max(minDuration, minDurations[t.kind]), t.maxDuration)}
		d.faults = append(d.faults, f)
		at += d.between(minDuration, maxSeriesDelay)
	}
}
