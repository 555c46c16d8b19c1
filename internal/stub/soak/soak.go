package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// Settings are the settings of a run.
type Settings struct {
	// Program is the path of the rhubarbswitchd binary.
	Program string
	// Former is the path of the binary of another build, usually an older one. All daemons run it at
	// first; they are replaced by Program one after the other, and some are rolled back meanwhile. If it
	// is empty, all daemons run Program.
	Former string
	Seed   uint64
	// Length is the time during which disturbances begin.
	Length time.Duration
	// Daemons is the number of daemons. Engines is the number of engine servers in each data
	// centre; three form a group. Ledgers is the number of servers of the plain service in
	// each data centre.
	Daemons, Engines, Ledgers int
	// Rate is the number of requests per second over all daemons, without probes.
	Rate float64
	// Kinds are the kinds of disturbances to draw from; empty means all.
	Kinds []Kind
	// Logs is the folder in which runs with findings leave a folder with their logs.
	Logs string
}

// Defaults returns the settings of a run of the default size, without Program.
func Defaults() Settings {
	return Settings{Seed: 1, Length: 25 * time.Second, Daemons: 4, Engines: 7, Ledgers: 2, Rate: 60, Logs: os.TempDir()}
}

const (
	// recoveryTimeout bounds the time from the end of the last disturbance and recoveryGrace
	// until all daemons serve again. A later recovery is a finding.
	recoveryTimeout = 15 * time.Second
	// startTimeout bounds the time from the start until all daemons serve. If it passes, the
	// run ends with a finding.
	startTimeout = 20 * time.Second
	// checkInterval is the interval at which the runs at servers are checked during the run.
	checkInterval = time.Second
	// probeInterval is the interval between two probes of the newest extra route.
	probeInterval = 100 * time.Millisecond
	// pollInterval is the interval between two checks of whether a daemon serves.
	pollInterval = 100 * time.Millisecond
	// maxParallelChecks is the number of daemons that waitForService checks in parallel.
	maxParallelChecks = 16
)

var zones = []string{"zone-a", "zone-b"}

// run is the state of one run.
type run struct {
	settings   Settings
	site       *site.Site
	dir        string // folder of the settings and logs of the daemons
	prefix     string // the daemons' loopback addresses without their last byte
	plan       *planWriter
	timeline   timeline
	checker    *checker
	daemons    []*daemon
	caller     *load.FrontedCaller
	background sync.WaitGroup
	startedAt  time.Time
	// replacementCount is the number of daemons replaced so far; valid after the load has ended.
	replacementCount int

	mu             sync.Mutex
	relays         map[string]*cutter.Cutter // by server: the relay whose address it registers
	formerRelays   []*cutter.Cutter          // relays of servers that have restarted, open until the end
	stayingServers []*site.Server            // servers that are not draining
	serverCount    int                       // servers added so far, for their names
	configVersion  int                       // last version written
	evacuated      bool                      // an evacuation is in force
	hidden         map[string]int            // by server: the disturbances that hide it
}

// Run executes one run and returns its report. If there are findings it keeps the whole logs, the plan, what
// callers and servers saw, and the findings with excerpts; see record.go.
func Run(ctx context.Context, set Settings) (Report, error) {
	if set.Daemons < 1 || set.Daemons > MaxDaemons {
		return Report{}, errors.Errorf("%d daemons: give 1 to %d", set.Daemons, MaxDaemons)
	}
	if err := Check(set.Kinds); err != nil {
		return Report{}, err
	}
	r := &run{settings: set, relays: make(map[string]*cutter.Cutter), hidden: make(map[string]int), caller: load.NewFrontedCaller(), startedAt: time.Now()}
	r.checker = newChecker(&r.timeline, r.startedAt)
	prefix, release, err := reserve()
	if err != nil {
		return Report{}, err
	}
	defer release()
	r.prefix = prefix
	if r.dir, err = os.MkdirTemp(set.Logs, fmt.Sprintf("soak-%d-", set.Seed)); err != nil {
		return Report{}, errors.Wrap(err, "create the log folder")
	}
	if r.plan, err = newPlanWriter(r.dir); err != nil {
		return Report{}, err
	}
	r.timeline.plan = r.plan
	defer r.close()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	faults := Draw(set.Seed, set.Length, set.Kinds)
	r.disturbAndCheck(ctx, faults)
	report := r.checker.report(set.Seed, faults)
	if err := r.plan.close(); err != nil {
		return report, errors.Wrap(err, "write the plan")
	}
	report.Replacements = r.replacementCount
	if len(report.Findings) > 0 {
		report.Logs = r.dir
		if err := r.keepRecords(report); err != nil {
			return report, err
		}
	} else if err := os.RemoveAll(r.dir); err != nil {
		return report, errors.Wrap(err, "remove logs")
	}
	return report, ctx.Err()
}

// start starts the site, its servers and the daemons.
func (r *run) start() error {
	var err error
	r.site, err = site.New(site.Timing{
		LoadTime: 400 * time.Millisecond, WarmLoadTime: 100 * time.Millisecond, OpenTime: 20 * time.Millisecond,
		EventInterval: 50 * time.Millisecond, StallTimeout: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	r.site.Publish = r.publish
	r.site.Unpublish = func(server string) {
		relay := r.relayOf(server)
		if err := relay.Refuse(); err != nil {
			r.checker.addFinding("soak", "the relay of %s can't refuse connections: %v", server, err)
		}
		r.onViews(r.daemons, func(d *daemon) error { return d.view.Remove(relay.Address()) })
	}
	r.configure()
	for _, zone := range zones {
		for range r.settings.Engines {
			if err := r.addServer(site.LLM, zone, zone+"-d0"); err != nil {
				return err
			}
		}
		for range r.settings.Ledgers {
			if err := r.addServer(site.Ledger, zone, ""); err != nil {
				return err
			}
		}
	}
	for i := range r.settings.Daemons {
		d, err := r.startDaemon(i)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return nil
}

func (r *run) addServer(service, zone, domain string) error {
	r.serverCount++
	v, err := r.site.Add(fmt.Sprintf("%s-%d", service, r.serverCount), service, zone, domain)
	r.stayingServers = append(r.stayingServers, v)
	return err
}

// publish opens a relay to a server and returns the relay's address. A restarted server gets a
// new relay.
func (r *run) publish(server, address string) (string, error) {
	relay, err := cutter.Open("127.0.0.1:0", address)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := r.relays[server]; before != nil {
		r.formerRelays = append(r.formerRelays, before)
	}
	r.relays[server] = relay
	if r.hidden[server] > 0 {
		relay.Apply(hidingCut)
	}
	return relay.Address(), nil
}

func (r *run) relayOf(server string) *cutter.Cutter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relays[server]
}

// disturbAndCheck waits until all daemons serve, then sends load while it applies the
// disturbances. It ends once all daemons serve again, or after recoveryTimeout.
func (r *run) disturbAndCheck(ctx context.Context, faults []Fault) {
	if !r.waitForService(ctx, startTimeout) {
		r.checker.addFinding("recover", "not all daemons serve %s after the start", startTimeout)
		return
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.startLoad(loadCtx)
	r.background.Go(func() { r.checkPeriodically(loadCtx) })
	start := time.Now()
	r.background.Go(func() { r.replaceDaemons(loadCtx, start) })
	for _, f := range faults {
		if !sleepContext(ctx, time.Until(start.Add(f.At))) {
			break
		}
		r.disturb(f)
	}
	// Load continues until the last disturbance has ended and the daemons have recovered.
	rest := recoveryGrace
	if r.settings.Former != "" {
		rest = max(rest, r.settings.Length+recoveryGrace-time.Since(start)) // until the last replacement
	}
	for _, f := range faults {
		rest = max(rest, f.At+f.Duration-time.Since(start))
	}
	sleepContext(ctx, rest)
	if !r.waitForService(ctx, recoveryTimeout) && ctx.Err() == nil {
		r.checker.addFinding("recover", "not all daemons serve %s after the last disturbance", recoveryTimeout)
	}
	stop()
	r.background.Wait()
	r.check()
}

// check checks what has reached the servers so far.
func (r *run) check() {
	r.checker.checkRuns(r.site.Runs(), r.site.Violations())
	r.checker.checkDoubleJoins(r.site.DoubleJoins())
	r.checker.checkLost(r.site.Runs(), r.site.Arrivals())
	r.checker.checkNotices(r.site.Arrivals())
	r.checker.checkLimits(r.site.Limits(), r.site.Arrivals())
	r.checker.checkServiceBudget(r.site.Arrivals())
	r.checker.checkLinksCuts()
	r.checker.checkCrashers(r.site.Crashes(), r.site.Arrivals())
}

func (r *run) disturb(f Fault) {
	for _, t := range slices.Concat(catalogues...) {
		if t.kind != f.Kind {
			continue
		}
		line := planLine{Phase: "begin", Kind: f.Kind, Scope: r.scopeOf(f), Duration: f.Duration, Pick: f.Pick}
		r.plan.add(line)
		if end := t.begin(r, f); end != nil {
			r.runAfter(f.Duration, func() {
				end()
				line.Phase = "end"
				r.plan.add(line)
			})
		}
	}
}

// runAfter calls a function after a delay. The run waits for it.
func (r *run) runAfter(d time.Duration, do func()) {
	r.background.Go(func() {
		time.Sleep(d)
		do()
	})
}

// checkPeriodically checks the runs at servers until the context ends.
func (r *run) checkPeriodically(ctx context.Context) {
	for sleepContext(ctx, checkInterval) {
		r.check()
	}
}

// waitForService waits until each daemon is ready and serves each kind of request. It returns
// false if that takes longer than the timeout.
func (r *run) waitForService(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelChecks)
	for _, d := range r.daemons {
		g.Go(func() error {
			for !r.isServing(ctx, d) {
				if !sleepContext(ctx, pollInterval) {
					return ctx.Err()
				}
			}
			return nil
		})
	}
	return g.Wait() == nil
}

// isServing reports whether a daemon is ready and serves each kind of request.
func (r *run) isServing(ctx context.Context, d *daemon) bool {
	if !d.isReady(ctx) {
		return false
	}
	for _, kind := range []callKind{chat, write, read} {
		if r.sendCall(ctx, d, kind, 0, 0).Answer.Status != http.StatusOK {
			return false
		}
	}
	return true
}

func (d *daemon) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readinessAddress+"/rhubarbswitch/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops everything that the run started.
func (r *run) close() {
	for _, d := range r.daemons {
		d.close()
	}
	if r.site != nil {
		r.site.Close()
	}
	for _, relay := range r.relays {
		relay.Close()
	}
	for _, relay := range r.formerRelays {
		relay.Close()
	}
	r.caller.Close()
	_ = r.plan.close() // after a run that has a report it is closed already
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
