// Package gateway is the process around the reducer of internal/core/gateway. It accepts
// callers' requests, sends them to targets, relays the answers, and carries out every other
// effect that the reducer returns: report requests and orders to engines, reads and writes of
// the lease, and notifications to other daemons.
//
// The reducer runs in one goroutine (Daemon.runReducer) and gets its input only as events
// through Daemon.Post. Each caller's request has an exchange, which runs in the goroutine of
// its HTTP handler and starts the attempts that the reducer asks for, one at a time. All
// decisions are the reducer's; this package only performs I/O and measures time.
//
// Everything specific to the users' platform (headers, store, engine control) is behind the
// interfaces in platform.go.
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
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/logging"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
)

const (
	// tickInterval is the time between two ticks of the reducer.
	tickInterval = 50 * time.Millisecond
	// eventQueueSize is the number of events that may wait for the reducer. Post blocks while
	// the queue is full.
	eventQueueSize = 4096
	// reportTimeout bounds a report request to an engine. After it the reducer gets an event
	// without a report.
	reportTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order to an engine. After it the order counts as lost or as not
	// sent.
	orderTimeout = time.Second
	// storeCallTimeout bounds one read or write of the lease, or of a verdict, in the store.
	storeCallTimeout = 1500 * time.Millisecond
	// heapLimitShare is the fraction of the memory setting that is set as the soft memory
	// limit of the Go runtime. The rest is for stacks, kernel buffers and growth between
	// collections.
	heapLimitShare = 0.6
	// heapGrowthPercent is how far, in percent, the heap may grow between two garbage
	// collections (GOGC).
	heapGrowthPercent = 50
	// finalWriteTimeout bounds the writing of answers once the reducer has ended, within the last part of the
	// setting ShutdownTimeout. Connections that are still open after it are closed.
	finalWriteTimeout = 200 * time.Millisecond
	// maxHeaderBytes bounds the header of a caller's request and of a target's answer, and
	// headerTimeout the reading of a header on every listener. Both are fixed: the header limits
	// of the configuration are not applied.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
)

// Daemon is one gateway daemon.
type Daemon struct {
	settings    *config.Gateway
	log         *slog.Logger
	platform    Platform
	incarnation string // unique for each start of the daemon
	clock       func() time.Duration

	state             *core.State // used by runReducer's goroutine only
	events            chan step.Event
	reducerDone       chan struct{} // closed when runReducer returns
	calls             loop.Calls    // the effects for each request
	lastRequestNumber atomic.Uint64 // its base-36 form is the request's ID

	// config, ready and isLeaseHolder copy the reducer's state for other goroutines.
	config         atomic.Pointer[site.Config] // the configuration in force; nil before the first
	ready          atomic.Bool
	stopping       atomic.Bool
	isLeaseHolder  atomic.Bool // this daemon orders the groups of engines
	targets        *targets
	notifier       *relay.Notifier
	answers        *bufferBudget // memory of targets' answers that are held
	bodies         *bufferBudget // memory of requests' bodies
	discards       atomic.Int64  // refused bodies that are being discarded
	cuts           cutRecord     // of callers' connections and bodies
	pauses         pauses
	background     sync.WaitGroup
	callers, links listeningServer // links has no listener if the settings name no address
	// draining is cancelled once the connections are to be closed.
	draining      context.Context
	startDraining context.CancelFunc
}

// New returns a daemon that serves once Run is called. The clock is monotonic and must also
// advance while the machine is suspended.
func New(set *config.Gateway, log *slog.Logger, p Platform, clock func() time.Duration) (*Daemon, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate the incarnation ID")
	}
	d := &Daemon{
		settings: set, log: log, platform: p, incarnation: id.String(), clock: clock,
		events: make(chan step.Event, eventQueueSize), reducerDone: make(chan struct{}),
		targets: newTargets(clock), notifier: relay.NewNotifier(clock), answers: newAnswerBudget(set.MemoryMiB), bodies: newBodyBudget(set.MemoryMiB),
	}
	d.callers.conns.keep = keepTimes{unused: firstRequestTime, idle: keptIdleTime}
	connections := maxConnections(set.MaxConnections, set.MemoryMiB)
	d.callers.conns.bounds = connBounds{
		connections: connections, headBytes: shareOf(set.MemoryMiB, headShare), minBodyRate: int64(set.MinBodyRate),
		crowded: func() bool { return d.bodies.halfUsed() || d.answers.nearlyFull() }, recordCut: d.cuts.add,
	}
	d.bodies.spare = d.callers.conns.halfOpen
	connectionsLimit.Set(float64(connections))
	d.links.conns.keep = keepTimes{unused: firstRequestTime} // other daemons repeat their messages
	d.draining, d.startDraining = context.WithCancel(context.Background())
	d.state = core.New(core.Settings{
		Daemon: set.Daemon, Incarnation: d.incarnation, DataCentre: set.DataCentre, Cores: set.Cores,
		Limits: step.GatewaySettings{
			RetryShare: set.RetryShare, RetrySlack: set.RetrySlack, RetryWindow: set.RetryWindow.D(), EngineStall: set.EngineStall.D(), ShutdownTimeout: set.ShutdownTimeout.D(),
		},
	})
	return d, nil
}

// Run serves until the reducer ends the daemon or the context is cancelled.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(heapGrowthPercent)
	debug.SetMemoryLimit(int64(heapLimitShare * float64(d.settings.MemoryMiB) * (1 << 20)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errorLog := slog.NewLogLogger(d.log.Handler(), slog.LevelDebug)
	if err := d.callers.listen(d.settings.Callers, http.HandlerFunc(d.serveCaller), errorLog); err != nil {
		return errors.Wrap(err, "callers")
	}
	d.logEvent(event.DaemonStarted, event.F("daemon", d.settings.Daemon), event.F("run", d.incarnation), event.F("callers", d.settings.Callers), event.F("platform", d.settings.Platform))
	healthRouter := chi.NewRouter()
	health.Register(healthRouter, d.readiness)
	healthRouter.Handle("/*", http.HandlerFunc(d.serveReadiness))
	healthServers := []*http.Server{{Addr: d.settings.Readiness, Handler: healthRouter, ReadHeaderTimeout: headerTimeout}}
	if d.settings.Metrics != "" {
		healthServers = append(healthServers, &http.Server{Addr: d.settings.Metrics, Handler: healthRouter, ReadHeaderTimeout: headerTimeout})
	}
	var g errgroup.Group
	g.Go(d.callers.serve)
	if d.settings.Links != "" {
		if err := d.links.listen(d.settings.Links, d.peerHandler(), errorLog); err != nil {
			d.log.Error("cannot listen for other daemons", "error", err)
			g.Go(func() error { return errors.Wrap(err, "links") })
		} else {
			g.Go(d.links.serve)
		}
	}
	for _, s := range healthServers {
		g.Go(func() error { return ignoreServerClosed(s.ListenAndServe()) })
	}
	g.Go(func() error {
		d.platform.Follow(ctx, Subscriber{Post: d.Post, NeedsPromptHosts: d.isLeaseHolder.Load})
		return nil
	})
	g.Go(func() error { d.callers.conns.closeExpired(ctx, d.idleTimeout, d.logCuts); return nil })
	d.runReducer(ctx)
	cancel()
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancelFinal()
	d.closeConnections(finalCtx)
	d.callers.close()
	d.links.close()
	for _, s := range healthServers {
		_ = s.Close()
	}
	d.targets.close()
	d.notifier.Close()
	return g.Wait()
}

// closeConnections closes the connections of callers and of other daemons once the requests that have been
// read are answered, or leaves those that are not when the context ends.
func (d *Daemon) closeConnections(ctx context.Context) {
	d.startDraining()
	var drained sync.WaitGroup
	for _, s := range []*listeningServer{&d.callers, &d.links} {
		drained.Go(func() { s.drain(ctx) })
	}
	drained.Wait()
}

// peerHandler serves the requests of other daemons: queries for changes in the store,
// notifications of suspected engines, evidence on crashes, limits of hosts, and callers' requests that
// they hand over, whatever the path.
func (d *Daemon) peerHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Handle(relay.PathPrefix+"*", d.untilDraining(d.platform.ChangesHandler()))
	mux.Handle(relay.SuspectPath, relay.SuspectHandler(func(host string) { d.Post(step.HostSuspected{Host: host}) }))
	mux.Handle(relay.EvidencePath, relay.EvidenceHandler(d.clock, func(e quarantine.Evidence) { d.Post(step.EvidenceReceived{Evidence: e}) }))
	mux.Handle(relay.LimitsPath, relay.LimitsHandler(d.clock, func(m hostlimit.Message) { d.Post(step.LimitsReceived{Message: m}) }))
	return d.handoverHandler(mux)
}

// untilDraining ends requests that may wait for long once the connections are to be closed.
func (d *Daemon) untilDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(d.draining, cancel)()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// ignoreServerClosed drops the error with which a server returns once it or its listener is closed.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop starts a graceful stop: answers to later requests close their connections, and the
// reducer ends the daemon. The shutdown timeout counts from the earliest time at which the signal may have been sent.
func (d *Daemon) Stop() {
	since := d.pauses.sentBy(d.clock())
	d.stopping.Store(true)
	d.Post(step.Stop{Since: since})
}

// Reload applies settings that were read again: the retry budget, the engine stall and the
// shutdown timeout. Addresses and names change only with a restart.
func (d *Daemon) Reload(set *config.Gateway) {
	d.logEvent(event.SettingsRead, event.F("retryShare", set.RetryShare), event.F("retrySlack", set.RetrySlack), event.F("retryWindow", set.RetryWindow),
		event.F("engineStall", set.EngineStall), event.F("grace", set.ShutdownTimeout))
	d.Post(step.GatewaySettings{
		RetryShare: set.RetryShare, RetrySlack: set.RetrySlack, RetryWindow: set.RetryWindow.D(), EngineStall: set.EngineStall.D(), ShutdownTimeout: set.ShutdownTimeout.D(),
	})
}

// Post sends an event to the reducer. It drops the event once the reducer has ended.
func (d *Daemon) Post(e step.Event) {
	select {
	case d.events <- e:
	case <-d.reducerDone:
	}
}

// runReducer feeds events and ticks to the reducer and executes the returned effects, until
// the reducer returns Exit or the context is cancelled.
func (d *Daemon) runReducer(ctx context.Context) {
	defer close(d.reducerDone)
	d.pauses.active(d.clock())
	ticks := time.NewTicker(tickInterval)
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
		now := d.now()
		d.pauses.active(now.Mono)
		for _, effect := range d.state.Reduce(now, e) {
			if d.execute(ctx, effect) {
				return
			}
		}
		d.isLeaseHolder.Store(d.state.HoldsControl())
		switch e.(type) {
		case step.Tick: // counting takes too long for each event
			condemnedFingerprints.Set(float64(d.state.CondemnedFingerprints()))
			provisionalFingerprints.Set(float64(d.state.ProvisionalFingerprints()))
			limitedHosts.Set(float64(d.state.LimitedHosts()))
			cutServices.Set(float64(d.state.CutServices()))
			callerConnections.Set(float64(d.callers.conns.openCount.Load()))
			setModelStats(d.state.ModelStats())
			pressure.Set(d.state.Pressure(d.clock()))
		case step.SiteConfig:
			d.config.Store(d.state.Config())
		}
	}
}

func (d *Daemon) now() step.Time {
	return step.Time{Mono: d.clock(), Unix: time.Now().UnixMilli()}
}

// execute carries out one effect and reports whether the daemon must end. Calls to engines,
// the store and other daemons run in background goroutines, which post the results.
func (d *Daemon) execute(ctx context.Context, effect step.Effect) bool {
	switch e := effect.(type) {
	case step.Forward:
		if e.Daemon == "" {
			loop.Attempts.Inc()
			countRanked(e.Late)
		}
		d.calls.Send(e.ID, e)
	case step.Cancel:
		d.calls.Send(e.ID, e)
	case step.Deliver:
		d.calls.Send(e.ID, e)
	case step.Answer:
		d.calls.Send(e.ID, e)
	case step.RequestReport:
		d.background.Go(func() { d.Post(d.requestReport(ctx, e)) })
	case step.SendGroupOrder:
		d.background.Go(func() { d.Post(d.sendOrder(ctx, e)) })
	case step.ReadLease:
		d.callStore(ctx, func(ctx context.Context) step.Event {
			a := d.platform.ReadLease(ctx, e)
			d.log.Debug("lease read", "status", a.Status, "revision", a.Revision, "holder", a.Lease.Holder)
			return a
		})
	case step.WriteLease:
		d.callStore(ctx, func(ctx context.Context) step.Event {
			a := d.platform.WriteLease(ctx, e)
			d.log.Debug("lease written", "if", e.Revision, "status", a.Status, "revision", a.Revision, "holder", a.Lease.Holder)
			return a
		})
	case step.StoreVerdict:
		d.callStore(ctx, func(ctx context.Context) step.Event { return d.platform.StoreVerdict(ctx, e) })
	case step.RemoveVerdict:
		d.callStore(ctx, func(ctx context.Context) step.Event { return d.platform.RemoveVerdict(ctx, e) })
	case step.NotifySuspect:
		d.background.Go(func() {
			if err := d.notifier.NotifySuspect(ctx, e.Address, e.Host); err != nil {
				d.log.Debug("lease holder not notified of a suspected engine", "host", e.Host, "daemon", e.Daemon, "error", err)
			}
		})
	case step.ProbeHost:
		d.background.Go(func() { d.Post(d.probeHost(ctx, e)) })
	case step.ShareEvidence:
		d.background.Go(func() { d.shareEvidence(ctx, e) })
	case step.ShareLimits:
		d.background.Go(func() { d.shareLimits(ctx, e) })
	case step.SetReady:
		d.ready.Store(e.Ready)
		loop.SetReady(e.Ready)
		if e.Ready {
			d.logEvent(event.DaemonReady)
		}
	case step.Log:
		d.logEvent(e.ID, e.Fields...)
	case step.CloseConnections:
		d.background.Go(func() {
			d.closeConnections(ctx)
			d.Post(step.ConnectionsClosed{})
		})
	case step.Exit:
		return true
	}
	return false
}

// sendOrder sends an order, unless its lease has expired since it was decided: this process may have stood still.
func (d *Daemon) sendOrder(ctx context.Context, e step.SendGroupOrder) step.GroupOrderAnswered {
	a := step.GroupOrderAnswered{Op: e.Op, Host: e.Host, Outcome: step.OrderExpired}
	if e.Expired(d.clock()) {
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a.Outcome = d.platform.Order(ctx, e)
	return a
}

// callStore makes a call to the store in the background and posts its answer.
func (d *Daemon) callStore(ctx context.Context, call func(context.Context) step.Event) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		d.Post(call(ctx))
	})
}

// requestReport requests an engine's report. On failure the event has OK unset.
func (d *Daemon) requestReport(ctx context.Context, e step.RequestReport) step.ReportAnswered {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r := step.ReportAnswered{Host: e.Host, Sent: d.clock()}
	accepts := make(chan bool, 1)
	connect := time.AfterFunc(reportTimeout/2, func() { accepts <- connect(ctx, e.Address) == nil })
	report, stated, err := d.platform.Report(ctx, e.Address)
	if !stated.Notice.Empty() {
		d.Post(step.HostNotice{Host: e.Host, Notice: stated.Notice})
	}
	r.Limit = stated.Limit
	if err != nil {
		d.log.Debug("report request failed", "host", e.Host, "error", err)
		if !connect.Stop() {
			r.Accepts = <-accepts
		}
		return r
	}
	connect.Stop()
	r.OK, r.Report = true, report
	return r
}

func (d *Daemon) logEvent(id event.ID, fields ...event.Field) {
	loop.CountEvent(id)
	logging.Event(d.log, id, fields...)
}

func (d *Daemon) readiness() error {
	if d.ready.Load() {
		return nil
	}
	return errors.New("not ready: no configuration or no hosts are known yet, or the daemon is stopping")
}

// serveReadiness answers a load balancer's health check with 200 or 503, on any path.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.readiness() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// idleTimeout returns how long a caller's connection may be idle; 0 until a configuration is
// known, which closes none.
func (d *Daemon) idleTimeout() time.Duration {
	if c := d.config.Load(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}
