// Package peer connects the daemons of a cluster to one another and exchanges CBOR
// messages over WebSocket.
//
// Every daemon keeps one link to every other daemon. When a link opens, both sides state
// their cluster, daemon name and incarnation, and prove that they know the shared key.
// Each side sends keep-alive messages. A side that receives nothing for longer than the
// link timeout closes the link, and the dialling side opens a new connection.
//
// The keep-alive interval grows with the number of links, which bounds the traffic of a
// large cluster; docs/design/peers.md gives the figures at 9 and at 340 daemons. A message
// to a daemon without a link is dropped, so a sender that needs a reply must retry.
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
	// DefaultKeepAliveInterval is the time after which a side sends a keep-alive message on a
	// link over which it has sent nothing else.
	DefaultKeepAliveInterval = 500 * time.Millisecond
	// DefaultLinkTimeout is how long a side waits for the next message before it closes
	// the link.
	DefaultLinkTimeout = 2 * time.Second
	// MaxKeepAliveInterval bounds this daemon's keep-alive interval and the interval that a
	// peer may announce in its keep-alive messages; a longer one counts as this.
	MaxKeepAliveInterval = 10 * time.Second
	// keepAliveIntervalPerLink is the minimum keep-alive interval per open link: with n links
	// the interval is at least n times this. It bounds the keep-alive traffic of a daemon
	// with many links.
	keepAliveIntervalPerLink = 15 * time.Millisecond
	// minTimeoutIntervals is the minimum timeout of a link, in keep-alive intervals that the
	// peer announced. It extends the link timeout when these intervals are long.
	minTimeoutIntervals = 3
	// MaxMessageBytes bounds one encoded message. Send fails for a larger one, and a link
	// that receives one is closed.
	MaxMessageBytes = 16 << 20
	// Path is the HTTP path at which a daemon accepts links.
	Path = "/peer"

	// handshakeTimeout bounds the opening of one link, on each side.
	handshakeTimeout = 2 * time.Second
	// closeTimeout bounds the closing handshake of a connection, which is then cut.
	closeTimeout = 500 * time.Millisecond
	// simultaneousDialWindow is the longest time between the opening of two links of one
	// pair for which both daemons may have dialled at the same time.
	simultaneousDialWindow = 2 * handshakeTimeout
	// yieldDelay is how long a daemon waits before it dials a daemon with a lower name, so
	// that the other one can dial first.
	yieldDelay = time.Second
	// maxQueuedFrames and maxQueuedBytes bound the frames that wait to be written to one
	// link. A frame that would exceed either is dropped and the link closed; into an empty
	// queue a frame of any size is accepted.
	maxQueuedFrames = 1024
	maxQueuedBytes  = 4 << 20
	// initialBackoff bounds the delay after the first failed dial. The bound doubles with
	// each further failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Settings identify this daemon and configure its links.
type Settings struct {
	Cluster     string
	Daemon      string
	Incarnation string
	Address     string // advertised to other daemons, host:port
	DataCentre  string
	Key         []byte // shared by all daemons of the cluster
	// Seed seeds the jitter of the delays between dials.
	Seed uint64
	// Emit receives PeerUp, PeerDown and PeerMessage events. It may block the links, but it
	// never blocks the callers of Send.
	Emit func(step.Event)
	// OnRefused receives each refusal of a link, by either side, except that of a duplicate
	// link; it may be nil.
	OnRefused func(*RefusedError)
	// KeepAliveInterval and LinkTimeout replace DefaultKeepAliveInterval and
	// DefaultLinkTimeout unless zero.
	KeepAliveInterval time.Duration
	LinkTimeout       time.Duration
	// TLS is the client configuration for dialling other daemons; nil dials without TLS.
	TLS *tls.Config
}

// Address is the name of a daemon and the address at which it accepts links. The name is
// empty for a seed address, whose daemon is not known yet.
type Address struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Mesh holds the links of one daemon to the others. It is safe for concurrent use.
type Mesh struct {
	set    Settings
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// registryMu puts the changes of links and their PeerUp and PeerDown events in the same
	// order. It is locked before mu and, unlike mu, held while Emit runs.
	registryMu sync.Mutex

	mu             sync.Mutex
	links          map[string]*link              // open links by daemon name
	knownAddresses map[string]string             // by daemon name
	seedDials      map[string]context.CancelFunc // by address; each stops a maintainSeedLink
	peerDials      map[string]context.CancelFunc // by daemon name; each stops a maintainLink
	jitter         *rand.Rand
	closed         bool

	// linkCount is len(links). It is atomic because the links' writers, which compute the
	// keep-alive interval from it, must not wait for mu.
	linkCount atomic.Int64
}

// New returns a mesh without links.
func New(set Settings) *Mesh {
	set.KeepAliveInterval = cmp.Or(set.KeepAliveInterval, DefaultKeepAliveInterval)
	set.LinkTimeout = cmp.Or(set.LinkTimeout, DefaultLinkTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		set: set, ctx: ctx, cancel: cancel,
		links: make(map[string]*link), knownAddresses: make(map[string]string),
		seedDials: make(map[string]context.CancelFunc), peerDials: make(map[string]context.CancelFunc),
		jitter: rand.New(rand.NewPCG(set.Seed, set.Seed)),
	}
}

// Run accepts links on a listener until Stop is called. It closes the listener.
func (m *Mesh) Run(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(Path, m)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout}
	stop := context.AfterFunc(m.ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop waits until the queued messages are written or the context ends, closes every link
// and waits for the mesh's goroutines.
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

// flushPollInterval is the interval at which Stop checks whether the queues are empty.
const flushPollInterval = 5 * time.Millisecond

func (m *Mesh) flush(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		links := m.openLinks()
		m.mu.Unlock()
		if !slices.ContainsFunc(links, func(l *link) bool { return !l.empty() }) {
			return
		}
		sleep(ctx, flushPollInterval)
	}
}

// openLinks returns the links, sorted by daemon name. The caller holds mu.
func (m *Mesh) openLinks() []*link {
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	slices.SortFunc(links, func(a, b *link) int { return strings.Compare(a.peer.Daemon, b.peer.Daemon) })
	return links
}

// Send queues a message to one daemon, or to every linked daemon if to is empty. It never
// blocks. A message to a daemon without a link is dropped. Send returns an error only if the
// message can't be encoded or is larger than MaxMessageBytes.
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
	droppedMessages.Inc()
	return nil
}

// ServeHTTP accepts a link from another daemon and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !m.startHandler() {
		http.Error(w, "daemon stops", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	conn.SetReadLimit(maxHelloBytes)
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	h, err := m.acceptHandshake(ctx, conn)
	if err != nil {
		m.reportRefusal(toRefusedError(r.RemoteAddr, err))
		closeRefused(conn, err)
		return
	}
	m.serveLink(h, conn, false)
}

// startHandler adds a handler to the goroutines that Stop waits for. It reports false if
// the mesh is stopping.
func (m *Mesh) startHandler() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Add(1)
	return true
}

func (m *Mesh) reportRefusal(err error) {
	r, ok := errors.Into[*RefusedError](err)
	if !ok || m.set.OnRefused == nil || websocket.StatusCode(r.Code) == codeDuplicateLink {
		return
	}
	m.set.OnRefused(r)
}

// serveLink registers a link, which has completed its handshake, and reads from and writes
// to it until it ends.
func (m *Mesh) serveLink(h hello, conn *websocket.Conn, dialled bool) {
	conn.SetReadLimit(MaxMessageBytes)
	l := newLink(h, conn, dialled)
	if !m.register(l) {
		closeWithTimeout(conn, codeDuplicateLink, "the pair has a link")
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.write(m.keepAliveInterval, m.set.LinkTimeout) })
	l.read(m.set.LinkTimeout, func(msg step.Message) {
		m.set.Emit(step.PeerMessage{From: h.Daemon, Message: msg})
	}, m.addReportedPeers)
	m.unregister(l)
	wg.Wait()
	l.closing.Wait()
}

// register makes l the link to its daemon and emits PeerUp. It reports false, and changes
// nothing, if the mesh is stopping or an existing link to the daemon is kept instead.
func (m *Mesh) register(l *link) bool {
	m.registryMu.Lock()
	defer m.registryMu.Unlock()
	name := l.peer.Daemon
	m.mu.Lock()
	old := m.links[name]
	if m.closed || (old != nil && !m.shouldReplace(l, old)) {
		m.mu.Unlock()
		return false
	}
	m.links[name] = l
	m.linkCount.Store(int64(len(m.links)))
	m.knownAddresses[name] = l.peer.Address
	addresses := m.addresses()
	m.mu.Unlock()
	if old != nil {
		old.close(codeDuplicateLink, "a newer link of the pair")
	}
	if f, err := encodeFrame(msgAddresses, addresses); err == nil {
		l.push(f)
	}
	m.set.Emit(step.PeerUp{
		Daemon: name, Incarnation: l.peer.Incarnation, Address: l.peer.Address, DataCentre: l.peer.DataCentre,
	})
	return true
}

// shouldReplace reports whether a new link replaces the existing one to the same daemon. If
// both daemons dialled at the same time and the older link is still open, both keep the link
// that the daemon with the lower name dialled. Otherwise the newer link replaces the older
// one: a daemon does not dial while it has a link, so the dialling side has lost the older one.
func (m *Mesh) shouldReplace(l, old *link) bool {
	sameIncarnation := l.peer.Incarnation == old.peer.Incarnation
	if sameIncarnation && l.dialled != old.dialled && l.openedAt.Sub(old.openedAt) < simultaneousDialWindow && isOpen(old) {
		return l.dialled == (m.set.Daemon < l.peer.Daemon)
	}
	return true
}

func isOpen(l *link) bool {
	select {
	case <-l.closed:
		return false
	default:
		return true
	}
}

func (m *Mesh) unregister(l *link) {
	l.close(0, "")
	m.registryMu.Lock()
	defer m.registryMu.Unlock()
	name := l.peer.Daemon
	m.mu.Lock()
	registered := m.links[name] == l
	if registered {
		delete(m.links, name)
		m.linkCount.Store(int64(len(m.links)))
	}
	m.mu.Unlock()
	if registered {
		m.set.Emit(step.PeerDown{Daemon: name})
	}
}

// keepAliveInterval returns the configured keep-alive interval, or a longer one if this
// daemon has many links.
func (m *Mesh) keepAliveInterval() time.Duration {
	return min(max(m.set.KeepAliveInterval, time.Duration(m.linkCount.Load())*keepAliveIntervalPerLink), MaxKeepAliveInterval)
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
