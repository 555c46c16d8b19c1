package peer

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

// Connect starts dialling a seed address from the settings. It keeps dialling while there is
// no link at all, or no known daemon has the address.
func (m *Mesh) Connect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.seedDials[address] != nil || address == m.set.Address {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.seedDials[address] = cancel
	m.wg.Go(func() { m.maintainSeedLink(ctx, address) })
}

// SetPeers replaces the known daemons and dials those without a link. It does not close the
// open link to a daemon that is no longer listed.
func (m *Mesh) SetPeers(peers []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownAddresses = make(map[string]string, len(peers))
	for _, p := range peers {
		m.addKnown(p)
	}
	for name, l := range m.links {
		m.knownAddresses[name] = l.peer.Address
	}
	m.dialKnown()
}

// addReportedPeers adds and dials daemons that a peer reported, so that a daemon that starts
// during an outage of the platform finds the others. Addresses already known stay unchanged.
func (m *Mesh) addReportedPeers(peers []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range peers {
		if _, ok := m.knownAddresses[p.Name]; !ok {
			m.addKnown(p)
		}
	}
	m.dialKnown()
}

func (m *Mesh) addKnown(p Address) {
	if p.Name != "" && p.Name != m.set.Daemon && p.Address != "" {
		m.knownAddresses[p.Name] = p.Address
	}
}

// addresses returns the known daemons, sorted by name. The caller holds mu.
func (m *Mesh) addresses() []Address {
	list := make([]Address, 0, len(m.knownAddresses))
	for name, address := range m.knownAddresses {
		list = append(list, Address{Name: name, Address: address})
	}
	slices.SortFunc(list, func(a, b Address) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// dialKnown starts dialling each known daemon and stops dialling daemons that are no longer
// known. The caller holds mu.
func (m *Mesh) dialKnown() {
	if m.closed {
		return
	}
	for name, cancel := range m.peerDials {
		if _, ok := m.knownAddresses[name]; !ok {
			cancel()
			delete(m.peerDials, name)
		}
	}
	for name := range m.knownAddresses {
		if m.peerDials[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		m.peerDials[name] = cancel
		m.wg.Go(func() { m.maintainLink(ctx, name) })
	}
}

// maintainLink dials a known daemon whenever there is no link to it, until the context ends.
func (m *Mesh) maintainLink(ctx context.Context, name string) {
	failures := 0
	for ctx.Err() == nil {
		if l := m.linkTo(name); l != nil {
			waitFor(ctx, l.closed)
			failures = 0
			sleep(ctx, m.backoff(1))
			continue
		}
		if name < m.set.Daemon && failures == 0 {
			sleep(ctx, yieldDelay)
			failures++
			continue
		}
		m.mu.Lock()
		address, ok := m.knownAddresses[name]
		m.mu.Unlock()
		if ok && m.dial(ctx, Address{Name: name, Address: address}) == nil {
			failures = 0
		}
		failures++
		sleep(ctx, m.backoff(failures))
	}
}

// maintainSeedLink dials a seed address whenever shouldDialSeed allows it. It ends with the
// context, or when the daemon at the address has this daemon's name: then it is, as a rule, this
// daemon itself.
func (m *Mesh) maintainSeedLink(ctx context.Context, address string) {
	failures := 0
	for ctx.Err() == nil {
		if !m.shouldDialSeed(address) {
			sleep(ctx, maxBackoff)
			continue
		}
		err := m.dial(ctx, Address{Address: address})
		if r, ok := errors.Into[*RefusedError](err); ok && websocket.StatusCode(r.Code) == codeSameName {
			return
		}
		if err == nil {
			failures = 0
		}
		failures++
		sleep(ctx, m.backoff(failures))
	}
}

// shouldDialSeed reports whether there are no links, or no known daemon has this address.
func (m *Mesh) shouldDialSeed(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) == 0 {
		return true
	}
	for _, known := range m.knownAddresses {
		if known == address {
			return false
		}
	}
	return true
}

// dial opens a link and serves it until it ends. An error means that the handshake did not
// complete. There is none if an existing link to the daemon is kept instead.
func (m *Mesh) dial(ctx context.Context, to Address) error {
	conn, h, err := m.open(ctx, to)
	if err != nil {
		m.reportRefusal(err)
		return err
	}
	m.serveLink(h, conn, true)
	return nil
}

func (m *Mesh) open(ctx context.Context, to Address) (*websocket.Conn, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	// Each link has its own transport, so that it never reuses a connection of an earlier one.
	transport := stricthttp.NewTransport(&http.Transport{TLSClientConfig: m.set.TLS})
	defer transport.CloseIdleConnections()
	scheme := "ws://"
	if m.set.TLS != nil {
		scheme = "wss://"
	}
	conn, resp, err := websocket.Dial(ctx, scheme+to.Address+Path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, hello{}, err
	}
	conn.SetReadLimit(maxHelloBytes)
	h, err := m.dialHandshake(ctx, conn)
	if err != nil {
		err = toRefusedError(to.Address, err)
		closeRefused(conn, err)
		return nil, hello{}, err
	}
	return conn, h, nil
}

// backoff returns the delay after a number of consecutive failures. The delay doubles with
// each failure and is drawn at random from its upper half.
func (m *Mesh) backoff(failures int) time.Duration {
	d := min(initialBackoff<<min(failures-1, 10), maxBackoff)
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.jitter.Int64N(int64(d/2)))
}

func waitFor(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}
