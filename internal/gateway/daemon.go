// Package gateway runs the reducer of internal/core/gateway: it serves callers, sends
// their requests on, and carries out what the reducer decides. What is particular to a
// platform comes through the interfaces in seam.go.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbswitch/rhubarbswitch/internal/api/health"
	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	core "github.com/rhubarbswitch/rhubarbswitch/internal/core/gateway"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/logging"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

const (
	// tickEvery is the interval of the reducer's ticks.
	tickEvery = 50 * time.Millisecond
	// eventQueue is the number of events that may wait for the reducer.
	eventQueue = 4096
	// reportBound bounds a question for an engine's report, orderBound an order.
	reportBound = 250 * time.Millisecond
	orderBound  = time.Second
	// leaseBound bounds a call for the lease.
	leaseBound = 1500 * time.Millisecond
	// heapShare is the share of the memory setting that the collector keeps the heap
	// below; the rest is for stacks, buffers of the kernel and what grows in between.
	heapShare = 0.6
	// heapGrowth is how far, in percent, the heap may grow between collections.
	heapGrowth = 50
	// lastWrites bounds the end of answers that were decided before the daemon ended.
	lastWrites = 300 * time.Millisecond
	// headerBytes and headerTime bound a caller's header where no configuration is known
	// yet or allows more.
	headerBytes = 64 << 10
	headerTime  = 10 * time.Second
)

// Daemon is one gateway daemon.
type Daemon struct {
	set      *config.Gateway
	log      *slog.Logger
	platform Platform
	run      string
	clock    func() time.Duration

	state  *core.State
	events chan step.Event
	exit   chan struct{}
	calls  loop.Calls
	serial atomic.Uint64

	config   atomic.Pointer[site.Config]
	ready    atomic.Bool
	stopping atomic.Bool
	orders   atomic.Bool // this daemon orders the groups
	targets  *targets
	teller   *relay.Teller
	idle     idleConns
	work     sync.WaitGroup
}

// New returns a daemon. The clock counts also while the machine is suspended.
func New(set *config.Gateway, log *slog.Logger, p Platform, clock func() time.Duration) (*Daemon, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "mint the name of this run")
	}
	d := &Daemon{
		set: set, log: log, platform: p, run: id.String(), clock: clock,
		events: make(chan step.Event, eventQueue), exit: make(chan struct{}),
		targets: newTargets(clock), teller: relay.NewTeller(),
	}
	d.state = core.New(core.Settings{
		Daemon: set.Daemon, Run: d.run, DataCentre: set.DataCentre, Cores: set.Cores,
		Bounds: step.Bounds{
			RetryShare: set.RetryShare, RetrySlack: set.RetrySlack, RetryWindow: set.RetryWindow.D(), Stall: set.EngineStall.D(), Grace: set.Grace.D(),
		},
	})
	return d, nil
}

// Run serves until the reducer ends the daemon or the context does.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapShare * float64(d.set.MemoryMiB) * (1 << 20)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, err := net.Listen("tcp", d.set.Callers)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	d.record(event.DaemonStarted, event.F("daemon", d.set.Daemon), event.F("run", d.run), event.F("callers", d.set.Callers), event.F("platform", d.set.Platform))
	front := &http.Server{
		Handler: http.HandlerFunc(d.serveCaller), ReadHeaderTimeout: headerTime, MaxHeaderBytes: headerBytes,
		ConnState: d.idle.note, ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	side := chi.NewRouter()
	health.Register(side, d.readiness)
	side.Handle("/*", http.HandlerFunc(d.serveReadiness))
	servers := []*http.Server{front, {Addr: d.set.Readiness, Handler: side, ReadHeaderTimeout: headerTime}}
	if d.set.Metrics != "" {
		servers = append(servers, &http.Server{Addr: d.set.Metrics, Handler: side, ReadHeaderTimeout: headerTime})
	}
	if d.set.Links != "" {
		servers = append(servers, &http.Server{Addr: d.set.Links, Handler: d.links(), ReadHeaderTimeout: headerTime})
	}
	var g errgroup.Group
	g.Go(func() error { return served(front.Serve(callers)) })
	for _, s := range servers[1:] {
		g.Go(func() error { return served(s.ListenAndServe()) })
	}
	g.Go(func() error {
		d.platform.Follow(ctx, Watcher{Post: d.Post, Prompt: d.orders.Load})
		return nil
	})
	g.Go(func() error { d.idle.sweep(ctx, d.idleTime); return nil })
	d.loop(ctx)
	cancel()
	last, done := context.WithTimeout(context.Background(), lastWrites)
	defer done()
	_ = front.Shutdown(last) // answers that are being written are finished
	for _, s := range servers {
		_ = s.Close()
	}
	d.targets.close()
	d.teller.Close()
	return g.Wait()
}

// links answers other daemons.
func (d *Daemon) links() http.Handler {
	mux := chi.NewRouter()
	mux.Handle(relay.Path, d.platform.Changes())
	mux.Handle(relay.SuspectPath, relay.Suspects(func(host string) { d.Post(step.HostSuspected{Host: host}) }))
	return mux
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop asks for a graceful stop.
func (d *Daemon) Stop() {
	d.stopping.Store(true)
	d.Post(step.Stop{})
}

// Reload takes up settings that were read again. Addresses and names need a restart.
func (d *Daemon) Reload(set *config.Gateway) {
	d.record(event.SettingsRead, event.F("retryShare", set.RetryShare), event.F("retrySlack", set.RetrySlack), event.F("retryWindow", set.RetryWindow),
		event.F("engineStall", set.EngineStall), event.F("grace", set.Grace))
	d.Post(step.Bounds{
		RetryShare: set.RetryShare, RetrySlack: set.RetrySlack, RetryWindow: set.RetryWindow.D(), Stall: set.EngineStall.D(), Grace: set.Grace.D(),
	})
}

// Post hands an event to the reducer. After the daemon has ended it does nothing.
func (d *Daemon) Post(e step.Event) {
	select {
	case d.events <- e:
	case <-d.exit:
	}
}

func (d *Daemon) loop(ctx context.Context) {
	defer close(d.exit)
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	for {
		var e step.Event
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			e = step.Tick{}
		case e = <-d.events:
		}
		for _, effect := range d.state.Reduce(d.now(), e) {
			if d.carry(ctx, effect) {
				return
			}
		}
		d.orders.Store(d.state.Orders())
		if _, ok := e.(step.SiteConfig); ok {
			d.config.Store(d.state.Config())
		}
	}
}

func (d *Daemon) now() step.Time {
	return step.Time{Mono: d.clock(), Unix: time.Now().UnixMilli()}
}

// carry carries out one effect. It reports whether the daemon is done.
func (d *Daemon) carry(ctx context.Context, effect step.Effect) bool {
	switch e := effect.(type) {
	case step.Forward:
		loop.Attempts.Inc()
		d.calls.Send(e.ID, e)
	case step.Cancel:
		d.calls.Send(e.ID, e)
	case step.Deliver:
		loop.CountAnswer(loop.CodeOK)
		d.calls.Send(e.ID, e)
	case step.Answer:
		loop.CountAnswer(string(e.Code))
		d.calls.Send(e.ID, e)
	case step.AskReport:
		d.work.Go(func() { d.Post(d.ask(ctx, e)) })
	case step.SendGroupOrder:
		d.work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, orderBound)
			defer cancel()
			d.Post(step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: d.platform.Order(ctx, e)})
		})
	case step.ReadLease:
		d.work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, leaseBound)
			defer cancel()
			a := d.platform.ReadLease(ctx, e)
			d.log.Debug("lease read", "status", a.Status, "revision", a.Revision, "holder", a.Lease.Holder)
			d.Post(a)
		})
	case step.WriteLease:
		d.work.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, leaseBound)
			defer cancel()
			a := d.platform.WriteLease(ctx, e)
			d.log.Debug("lease written", "if", e.Revision, "status", a.Status, "revision", a.Revision, "holder", a.Lease.Holder)
			d.Post(a)
		})
	case step.TellSuspect:
		d.work.Go(func() {
			if err := d.teller.Tell(ctx, e.Address, e.Host); err != nil {
				d.log.Debug("suspicion not told", "host", e.Host, "daemon", e.Daemon, "error", err)
			}
		})
	case step.SetReady:
		d.ready.Store(e.Ready)
		loop.CountReady(e.Ready)
		if e.Ready {
			d.record(event.DaemonReady)
		}
	case step.Log:
		d.record(e.ID, e.Fields...)
	case step.Exit:
		return true
	}
	return false
}

func (d *Daemon) ask(ctx context.Context, e step.AskReport) step.ReportRead {
	ctx, cancel := context.WithTimeout(ctx, reportBound)
	defer cancel()
	r := step.ReportRead{Host: e.Host, Sent: d.clock()}
	report, err := d.platform.Report(ctx, e.Address)
	if err != nil {
		d.log.Debug("no report", "host", e.Host, "error", err)
		return r
	}
	r.OK, r.Report = true, report
	return r
}

func (d *Daemon) record(id event.ID, fields ...event.Field) {
	loop.CountEvent(id)
	logging.Event(d.log, id, fields...)
}

func (d *Daemon) readiness() error {
	if d.ready.Load() {
		return nil
	}
	return errors.New("not ready: no configuration or no hosts are known yet, or the daemon is stopping")
}

// serveReadiness answers a balancer, whatever path it asks.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.readiness() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *Daemon) idleTime() time.Duration {
	if c := d.config.Load(); c != nil {
		return c.Limits.IdleTime
	}
	return 0
}
