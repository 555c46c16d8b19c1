package peer

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
)

// Connect dials an address from the settings while no known daemon has it.
func (m *Mesh) Connect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.seeds[address] != nil || address == m.set.Address {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.seeds[address] = cancel
	m.wg.Go(func() { m.keepSeed(ctx, address) })
}

// SetPeers replaces the daemons known by name and dials them. Links that stand are
// not closed for a name that is no longer listed.
func (m *Mesh) SetPeers(peers []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = make(map[string]string, len(peers))
	for _, p := range peers {
		m.addKnown(p)
	}
	for name, l := range m.links {
		m.known[name] = l.peer.Address
	}
	m.dialKnown()
}

// learn takes up addresses from a peer, so that a daemon that starts in an outage of
// the platform finds the others.
func (m *Mesh) learn(peers []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range peers {
		if _, ok := m.known[p.Name]; !ok {
			m.addKnown(p)
		}
	}
	m.dialKnown()
}

func (m *Mesh) addKnown(p Address) {
	if p.Name != "" && p.Name != m.set.Daemon && p.Address != "" {
		m.known[p.Name] = p.Address
	}
}

// addresses returns the known daemons by name. The caller holds mu.
func (m *Mesh) addresses() []Address {
	list := make([]Address, 0, len(m.known))
	for name, address := range m.known {
		list = append(list, Address{Name: name, Address: address})
	}
	slices.SortFunc(list, func(a, b Address) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// dialKnown starts and stops dialling as the known daemons changed. The caller holds mu.
func (m *Mesh) dialKnown() {
	if m.closed {
		return
	}
	for name, cancel := range m.dials {
		if _, ok := m.known[name]; !ok {
			cancel()
			delete(m.dials, name)
		}
	}
	for name := range m.known {
		if m.dials[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		m.dials[name] = cancel
		m.wg.Go(func() { m.keepLink(ctx, name) })
	}
}

// keepLink keeps a link to a known daemon.
func (m *Mesh) keepLink(ctx context.Context, name string) {
	failures := 0
	for ctx.Err() == nil {
		if l := m.linkTo(name); l != nil {
			await(ctx, l.done)
			failures = 0
			sleep(ctx, m.backoff(1))
			continue
		}
		if name < m.set.Daemon && failures == 0 {
			sleep(ctx, yieldTime)
			failures++
			continue
		}
		m.mu.Lock()
		address, ok := m.known[name]
		m.mu.Unlock()
		if ok && m.dial(ctx, Address{Name: name, Address: address}) == nil {
			failures = 0
		}
		failures++
		sleep(ctx, m.backoff(failures))
	}
}

// keepSeed dials an address of the settings while this daemon may need it.
func (m *Mesh) keepSeed(ctx context.Context, address string) {
	failures := 0
	for ctx.Err() == nil {
		if !m.needsSeed(address) {
			sleep(ctx, backoffMost)
			continue
		}
		err := m.dial(ctx, Address{Address: address})
		if r, ok := errors.Into[*Refused](err); ok && websocket.StatusCode(r.Code) == codeSelf {
			return
		}
		if err == nil {
			failures = 0
		}
		failures++
		sleep(ctx, m.backoff(failures))
	}
}

// needsSeed reports whether a seed is worth dialling: nobody is linked, or nobody
// known has this address.
func (m *Mesh) needsSeed(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) == 0 {
		return true
	}
	for _, known := range m.known {
		if known == address {
			return false
		}
	}
	return true
}

// dial opens a link and serves it until it ends. An error means that none was opened.
func (m *Mesh) dial(ctx context.Context, to Address) error {
	conn, h, err := m.open(ctx, to)
	if err != nil {
		m.refused(err)
		return err
	}
	m.serve(h, conn, true)
	return nil
}

func (m *Mesh) open(ctx context.Context, to Address) (*websocket.Conn, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeBound)
	defer cancel()
	// A transport of its own: no connection is ever shared with an earlier link.
	transport := &http.Transport{TLSClientConfig: m.set.TLS}
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
	h, err := m.greet(ctx, conn)
	if err != nil {
		err = asRefused(to.Address, err)
		closeRefused(conn, err)
		return nil, hello{}, err
	}
	return conn, h, nil
}

// backoff returns a pause that doubles with each failure in a row, spread over its upper half.
func (m *Mesh) backoff(failures int) time.Duration {
	d := min(backoffBase<<min(failures-1, 10), backoffMost)
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.jitter.Int64N(int64(d/2)))
}

func await(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}
