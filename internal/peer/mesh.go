// Package peer links the daemons of a cluster: CBOR messages over WebSocket.
//
// Both sides of a link prove that they know the shared key and name the cluster, the
// daemon and its incarnation. There is one link per pair of daemons. Each side sends
// signs of life; one that is silent for longer than a bound closes the link, and the
// dialling side opens a fresh connection.
//
// Every daemon links to every other. The interval between signs of life grows with the
// number of links, which bounds the traffic of a large cluster; docs/design/peers.md
// gives the figures at 9 and at 340 daemons. A message to a daemon without a link is
// dropped: whoever needs an answer asks again.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	// KeepAliveEvery is the longest time between two messages on a link, and
	// SilenceBound how long a link lasts without any.
	KeepAliveEvery = 500 * time.Millisecond
	SilenceBound   = 2 * time.Second
	// KeepAliveMost bounds the interval that the other side may announce.
	KeepAliveMost = 10 * time.Second
	// keepAliveShare is the least part of the interval for each link. It bounds the
	// traffic of a daemon with many.
	keepAliveShare = 15 * time.Millisecond
	// silentSigns is for how many of the announced intervals a link may at least be silent.
	silentSigns = 3
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 16 << 20
	// Path is where a daemon takes links.
	Path = "/peer"

	// handshakeBound is the longest that opening a link takes.
	handshakeBound = 2 * time.Second
	// closeBound is the longest that telling the other side of a close takes.
	closeBound = 500 * time.Millisecond
	// tieWindow is the age up to which two links of a pair may have been dialled
	// at the same time.
	tieWindow = 2 * handshakeBound
	// yieldTime is how long the daemon with the higher name leaves the dialling
	// to the other.
	yieldTime = time.Second
	// maxQueued and maxQueuedBytes bound what waits on a link.
	maxQueued      = 1024
	maxQueuedBytes = 4 << 20
	// backoffBase and backoffMost bound the pause between two dials, which doubles.
	backoffBase = 100 * time.Millisecond
	backoffMost = 5 * time.Second
)

// Settings say who this daemon is and with whom it links.
type Settings struct {
	Cluster     string
	Daemon      string
	Incarnation string
	Address     string // that other daemons dial, host:port
	DataCentre  string
	Key         []byte // shared by the cluster's daemons
	// Seed spreads the pauses between dials.
	Seed uint64
	// Emit takes PeerUp, PeerDown and PeerMessage events. It may block the links,
	// never the callers of Send.
	Emit func(step.Event)
	// Refused takes each refusal; it may be nil.
	Refused func(*Refused)
	// KeepAlive and Silence replace KeepAliveEvery and SilenceBound unless zero.
	KeepAlive time.Duration
	Silence   time.Duration
	// TLS dials the others by TLS unless nil.
	TLS *tls.Config
}

// Address names a daemon and where it takes links. An empty name is not known yet.
type Address struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Mesh is a daemon's links. Its methods may be called by several goroutines.
type Mesh struct {
	set    Settings
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// registry serialises link changes with the events that tell of them. It is
	// taken before mu and, unlike mu, held while Emit runs.
	registry sync.Mutex

	mu     sync.Mutex
	links  map[string]*link
	known  map[string]string             // addresses by name
	seeds  map[string]context.CancelFunc // by address
	dials  map[string]context.CancelFunc // by name
	jitter *rand.Rand
	closed bool

	// count is the number of links, for the writers, which must not wait for mu.
	count atomic.Int64
}

// New returns a mesh without links.
func New(set Settings) *Mesh {
	set.KeepAlive = cmp.Or(set.KeepAlive, KeepAliveEvery)
	set.Silence = cmp.Or(set.Silence, SilenceBound)
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		set: set, ctx: ctx, cancel: cancel,
		links: make(map[string]*link), known: make(map[string]string),
		seeds: make(map[string]context.CancelFunc), dials: make(map[string]context.CancelFunc),
		jitter: rand.New(rand.NewPCG(set.Seed, set.Seed)),
	}
}

// Run takes links on a listener until Stop is called. It closes the listener.
func (m *Mesh) Run(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(Path, m)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: handshakeBound}
	stop := context.AfterFunc(m.ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop writes what is queued as far as the context allows, closes every link and
// waits for the mesh's goroutines.
func (m *Mesh) Stop(ctx context.Context) {
	m.flush(ctx)
	m.mu.Lock()
	m.closed = true
	links := m.openLinks()
	m.mu.Unlock()
	m.cancel()
	for _, l := range links {
		l.close(websocket.StatusGoingAway, "daemon stops")
	}
	m.wg.Wait()
}

// flushPoll is the interval at which Stop looks whether the queues are empty.
const flushPoll = 5 * time.Millisecond

func (m *Mesh) flush(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		links := m.openLinks()
		m.mu.Unlock()
		if !slices.ContainsFunc(links, func(l *link) bool { return !l.empty() }) {
			return
		}
		sleep(ctx, flushPoll)
	}
}

// openLinks returns the links by name. The caller holds mu.
func (m *Mesh) openLinks() []*link {
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int { return strings.Compare(a.peer.Daemon, b.peer.Daemon) })
	return links
}

// Send queues a message to one daemon, or to every linked one if to is empty. It
// never blocks. A message to a daemon without a link is dropped. The error is that of
// a message that can't be encoded or is too large.
func (m *Mesh) Send(to string, msg step.Message) error {
	f, err := encodeMessage(msg)
	if err != nil {
		return err
	}
	for _, l := range m.recipients(to) {
		l.push(f)
	}
	return nil
}

func (m *Mesh) recipients(to string) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if to == "" {
		return m.openLinks()
	}
	if l := m.links[to]; l != nil {
		return []*link{l}
	}
	dropped.Inc()
	return nil
}

// ServeHTTP takes a link from another daemon.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.enter() {
		http.Error(w, "daemon stops", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(maxHelloBytes)
	ctx, cancel := context.WithTimeout(m.ctx, handshakeBound)
	defer cancel()
	h, err := m.receive(ctx, conn)
	if err != nil {
		m.refused(asRefused(r.RemoteAddr, err))
		closeRefused(conn, err)
		return
	}
	m.serve(h, conn, false)
}

// enter counts a goroutine that Stop waits for, unless the mesh is stopping.
func (m *Mesh) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Add(1)
	return true
}

func (m *Mesh) refused(err error) {
	r, ok := errors.Into[*Refused](err)
	if !ok || m.set.Refused == nil || websocket.StatusCode(r.Code) == codeDuplicate {
		return
	}
	m.set.Refused(r)
}

// serve runs a link until it ends.
func (m *Mesh) serve(h hello, conn *websocket.Conn, dialled bool) {
	conn.SetReadLimit(MaxMessageBytes)
	l := newLink(h, conn, dialled)
	if !m.register(l) {
		closeBounded(conn, codeDuplicate, "the pair has a link")
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.write(m.keepAliveEvery, m.set.Silence) })
	l.read(m.set.Silence, func(msg step.Message) {
		m.set.Emit(step.PeerMessage{From: h.Daemon, Message: msg})
	}, m.learn)
	m.unregister(l)
	wg.Wait()
	l.closing.Wait()
}

// register makes a link the one of its pair, unless the one that stands wins.
func (m *Mesh) register(l *link) bool {
	m.registry.Lock()
	defer m.registry.Unlock()
	name := l.peer.Daemon
	m.mu.Lock()
	old := m.links[name]
	if m.closed || (old != nil && !m.replaces(l, old)) {
		m.mu.Unlock()
		return false
	}
	m.links[name] = l
	m.count.Store(int64(len(m.links)))
	m.known[name] = l.peer.Address
	addresses := m.addresses()
	m.mu.Unlock()
	if old != nil {
		old.close(codeDuplicate, "a newer link of the pair")
	}
	if f, err := encodeFrame(numAddresses, addresses); err == nil {
		l.push(f)
	}
	m.set.Emit(step.PeerUp{
		Daemon: name, Incarnation: l.peer.Incarnation, Address: l.peer.Address, DataCentre: l.peer.DataCentre,
	})
	return true
}

// replaces reports whether a new link takes the place of the one that stands. Of two
// dialled at the same time both sides keep the one that the lower name dialled.
// Otherwise the newer wins: nobody dials who has a link.
func (m *Mesh) replaces(l, old *link) bool {
	sameRun := l.peer.Incarnation == old.peer.Incarnation
	if sameRun && l.dialled != old.dialled && l.since.Sub(old.since) < tieWindow && isOpen(old) {
		return l.dialled == (m.set.Daemon < l.peer.Daemon)
	}
	return true
}

func isOpen(l *link) bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

func (m *Mesh) unregister(l *link) {
	l.close(0, "")
	m.registry.Lock()
	defer m.registry.Unlock()
	name := l.peer.Daemon
	m.mu.Lock()
	stands := m.links[name] == l
	if stands {
		delete(m.links, name)
		m.count.Store(int64(len(m.links)))
	}
	m.mu.Unlock()
	if stands {
		m.set.Emit(step.PeerDown{Daemon: name})
	}
}

// keepAliveEvery returns the longest time between two messages on a link.
func (m *Mesh) keepAliveEvery() time.Duration {
	return min(max(m.set.KeepAlive, time.Duration(m.count.Load())*keepAliveShare), KeepAliveMost)
}

func (m *Mesh) linkTo(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
