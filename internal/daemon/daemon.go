// Package daemon runs one rhubarbswitch daemon. It connects the reducer, package core, to
// the outside: callers, operators, other daemons, targets and the platform.
//
// A single goroutine, the loop, passes events to the reducer one at a time and executes the
// effects that the reducer returns. Effects that wait for the network run in their own
// goroutines and post their result as a new event, so the loop does not wait for the network.
// Only the loop touches the reducer's state; others read it with query or Directory.
//
// A daemon starts not ready, becomes ready when the reducer says so, and ends when the
// reducer returns step.Exit after a Stop or when the context of Run ends.
package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbswitch/rhubarbswitch/internal/api/caller"
	"github.com/rhubarbswitch/rhubarbswitch/internal/api/operator"
	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/member"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
	"github.com/rhubarbswitch/rhubarbswitch/internal/netlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/peer"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/target"
	"github.com/rhubarbswitch/rhubarbswitch/internal/tlsreload"
)

// Release is the program's release.
const Release = "0.1.0"

const (
	// tickInterval is the time between two step.Tick events.
	tickInterval = 50 * time.Millisecond
	// maxQueuedEvents bounds the events that wait for the reducer. Post blocks while the
	// queue is full.
	maxQueuedEvents = 4096
	// renewalsPerLease is how many times a lease is renewed within its duration.
	renewalsPerLease = 3
	// shutdownTimeout bounds the shutdown after the loop has ended: the callers' last answers
	// and the last messages to peers. Connections still open after it are cut.
	shutdownTimeout = 3 * time.Second
)

// Daemon is one daemon. Its exported methods are safe for concurrent use; Run may be called
// once.
type Daemon struct {
	set         *config.Settings
	log         *slog.Logger
	incarnation string    // differs at each start of the process
	startedAt   time.Time // zero of the reducer's monotonic time

	state    *core.State            // used only by the loop
	events   chan step.Event        // waiting for the reducer
	queries  chan func(*core.State) // run by the loop between two events
	loopDone chan struct{}          // closed when the loop has ended

	calls     loop.Calls                     // effects for the callers' handlers, by request
	directory atomic.Pointer[core.Directory] // latest configuration in force
	ready     atomic.Bool
	traces    traces

	platform *platform.Client
	targets  *target.Client
	mesh     *peer.Mesh

	// background runs the goroutines of the effects that wait for the network.
	background sync.WaitGroup
	// wake fires at wakeAt, a monotonic time; wakeAt is zero if the timer is not set.
	wake   *time.Timer
	wakeAt time.Duration
	// configChanged is set if the current step changed the configuration in force.
	configChanged bool
}

// Option changes the reducer's settings. Measurements use it to compare alternatives that no
// settings file can select.
type Option func(*core.Settings)

// New returns a daemon that has not opened any listener or connection.
func New(set *config.Settings, log *slog.Logger, options ...Option) (*Daemon, error) {
	key, err := set.Peers.Key.Read()
	if err != nil {
		return nil, errors.Wrap(err, "peers.key")
	}
	dial, err := tlsreload.ClientConfig(set.Peers.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "peers.tls")
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate the incarnation ID")
	}
	d := &Daemon{
		set: set, log: log, incarnation: id.String(), startedAt: time.Now(),
		events:   make(chan step.Event, maxQueuedEvents),
		queries:  make(chan func(*core.State)),
		loopDone: make(chan struct{}),
	}
	reducer := coreSettings(set, d.incarnation)
	for _, o := range options {
		o(&reducer)
	}
	d.state = core.New(reducer)
	d.directory.Store(d.state.Directory())
	d.platform = platform.New(set.Platform.Address, platform.WithCallTimeout(set.Platform.CallTimeout.D()))
	d.targets = target.New(targetSettings(set))
	d.mesh = peer.New(peer.Settings{
		Cluster: set.Cluster, Daemon: set.Daemon, Incarnation: d.incarnation,
		Address: set.Peers.AdvertisedAddress(), DataCentre: set.DataCentre, Key: key,
		Seed: d.jitterSeed(), Emit: d.Post,
		OnRefused:         func(r *peer.RefusedError) { d.logEvent(event.PeerRefused, event.F("error", r)) },
		KeepAliveInterval: set.Peers.Heartbeat.D(), LinkTimeout: set.Peers.Silence.D(), TLS: dial,
	})
	return d, nil
}

// jitterSeed returns the seed of random delays. It differs between daemons and between
// starts of one daemon, so that they do not retry at the same time.
func (d *Daemon) jitterSeed() uint64 { return xxhash.Sum64String(d.set.Daemon + d.incarnation) }

func coreSettings(set *config.Settings, incarnation string) core.Settings {
	s := core.Defaults(set.Daemon, incarnation, set.DataCentre)
	s.Registration = object.Daemon{
		Address: set.Peers.AdvertisedAddress(), API: set.Operators.AdvertisedAddress(),
		DataCentre: set.DataCentre, StartedUnix: time.Now().Unix(),
	}
	s.Groups.LeaseDuration = set.Lease.Duration.D()
	s.Groups.RenewInterval = s.Groups.LeaseDuration / renewalsPerLease
	s.Claims.Shards = uint64(set.Claims.Shards)
	s.Claims.Window = set.Claims.Window.D()
	s.Claims.Retention = set.Claims.Retention.D()
	s.Claims.MaxBodyBytes = set.Claims.MaxRecordedBytes
	s.Member = member.Settings{HeartbeatInterval: set.Peers.Heartbeat.D(), HeartbeatTimeout: set.Peers.Silence.D()}
	s.Poison.MinDeadHosts = set.Poison.Targets
	s.Poison.DeathTTL = set.Poison.Expiry.D()
	s.Retry.Share = set.Retry.BudgetShare
	s.Retry.MaxAttempts = set.Retry.MaxAttempts
	s.Admit.MaxLength = set.Queue.MaxRequests
	return s
}

func targetSettings(set *config.Settings) target.Settings {
	s := target.Defaults()
	s.DialTimeout = set.Targets.DialTimeout.D()
	s.ProbeTimeout = set.Targets.ProbeTimeout.D()
	s.StallTimeout = set.Targets.Silence.D()
	s.MaxIdleConnections = set.Targets.IdleConnections
	return s
}

// Run serves until the daemon has stopped gracefully or the context ends. The end of the
// context cuts off the requests in flight.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.logEvent(event.DaemonStarted, event.F("daemon", d.set.Daemon), event.F("incarnation", d.incarnation),
		event.F("callers", listeners.callers.Addr()), event.F("operators", listeners.operators.Addr()),
		event.F("peers", listeners.peers.Addr()), event.F("release", Release))

	servers, err := d.servers()
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(servers.callers, listeners.callers) })
	g.Go(func() error { return serve(servers.operators, listeners.operators) })
	g.Go(func() error { return d.mesh.Run(listeners.peers) })
	g.Go(func() error {
		follow := platform.FollowerSettings{
			WatchWait: d.set.Platform.WatchWait.D(), HostListInterval: d.set.Platform.HostListInterval.D(),
			Now: func() time.Duration { return d.now().Mono },
		}
		platform.NewFollower(d.platform, follow, d.jitterSeed(), d.Post).Run(ctx)
		return nil
	})
	for _, seed := range d.set.Peers.Seeds {
		d.mesh.Connect(seed)
	}
	d.loop(ctx)
	d.shutdown(servers)
	cancel()
	return g.Wait()
}

// Stop starts a graceful stop: Run returns once no request is in flight.
func (d *Daemon) Stop() { d.Post(step.Stop{}) }

type listeners struct{ callers, operators, peers net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = listenOn(d.set.Callers.Listen, d.set.Callers.TLS); err != nil {
		return l, errors.Wrap(err, "callers.listen")
	}
	l.callers = netlimit.LimitListener(l.callers, d.set.Callers.MaxConnections)
	if l.operators, err = listenOn(d.set.Operators.Listen, d.set.Operators.TLS); err != nil {
		return l, errors.Wrap(err, "operators.listen")
	}
	if l.peers, err = listenOn(d.set.Peers.Listen, d.set.Peers.TLS); err != nil {
		return l, errors.Wrap(err, "peers.listen")
	}
	return l, nil
}

func listenOn(address string, t config.TLS) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c, err := tlsreload.ServerConfig(t)
	if err != nil {
		return nil, err
	}
	if c == nil {
		return l, nil
	}
	return tls.NewListener(l, c), nil
}

type servers struct{ callers, operators *http.Server }

func (d *Daemon) servers() (servers, error) {
	keys, err := operator.LoadKeys(d.set.Operators)
	if err != nil {
		return servers{}, err
	}
	callers := d.set.Callers
	return servers{
		callers: &http.Server{
			Handler:           caller.New(d, d.targets, callers.MaxBodyBytes),
			ReadHeaderTimeout: callers.ReadHeaderTimeout.D(),
			ReadTimeout:       callers.ReadBodyTimeout.D(),
			IdleTimeout:       callers.IdleTimeout.D(),
			MaxHeaderBytes:    callers.MaxHeaderBytes,
		},
		operators: &http.Server{
			Handler: operator.New(operator.Options{
				Store: reportingStore{d.platform, d.Post}, Inspector: d, Keys: keys, Ready: d.readiness, Pprof: d.set.Pprof,
			}),
			ReadHeaderTimeout: callers.ReadHeaderTimeout.D(),
		},
	}, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (d *Daemon) readiness() error {
	if d.ready.Load() {
		return nil
	}
	return errors.New("not ready: no configuration is in force yet, or the daemon is stopping")
}

// shutdown closes all servers, links and connections after the loop has ended. It first
// waits for the callers' handlers that are still writing their answers.
func (d *Daemon) shutdown(s servers) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	d.mesh.Stop(ctx)
	_ = s.operators.Close()
	_ = s.callers.Close()
	d.targets.Close()
	d.platform.Close()
}
