package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// waitTimeout bounds the wait for each expected condition; the test then fails.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a mesh that records the events and refusals that it emits.
type node struct {
	*Mesh
	mu       sync.Mutex
	up       map[string]bool // linked peers by name
	messages []step.PeerMessage
	refusal  []*RefusedError
}

func startNode(t *testing.T, name string, change func(*Settings)) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := &node{up: make(map[string]bool)}
	set := Settings{
		Cluster: "walvis", Daemon: name, Incarnation: name + "-1", Address: listener.Addr().String(),
		DataCentre: "dc1", Key: []byte("shared"), Seed: 1, Emit: n.recordEvent,
		OnRefused: func(r *RefusedError) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.refusal = append(n.refusal, r)
		},
		KeepAliveInterval: 200 * time.Millisecond, LinkTimeout: 600 * time.Millisecond,
	}
	if change != nil {
		change(&set)
	}
	n.Mesh = New(set)
	served := make(chan error, 1)
	go func() { served <- n.Run(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.Stop(ctx)
		require.NoError(t, <-served)
	})
	return n
}

func (n *node) recordEvent(e step.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch e := e.(type) {
	case step.PeerUp:
		n.up[e.Daemon] = true
	case step.PeerDown:
		delete(n.up, e.Daemon)
	case step.PeerMessage:
		n.messages = append(n.messages, e)
	}
}

func (n *node) linkedPeers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.up)
}

func (n *node) receivedMessages() []step.PeerMessage {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]step.PeerMessage(nil), n.messages...)
}

func (n *node) refusals() []*RefusedError {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*RefusedError(nil), n.refusal...)
}

func (n *node) address() Address { return Address{Name: n.set.Daemon, Address: n.set.Address} }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, waitTimeout, 5*time.Millisecond, what)
}

func TestFullMeshFromOneSeed(t *testing.T) {
	nodes := make([]*node, 5)
	for i := range nodes {
		nodes[i] = startNode(t, fmt.Sprintf("d%d", i), nil)
	}
	for _, n := range nodes[1:] {
		n.Connect(nodes[0].set.Address)
	}
	for _, n := range nodes {
		eventually(t, "all linked", func() bool { return n.linkedPeers() == len(nodes)-1 })
	}
	require.NoError(t, nodes[1].Send("", step.Heartbeat{Incarnation: "x", Applied: 7}))
	require.NoError(t, nodes[1].Send("d2", step.ConfigAsk{Applied: 3}))
	eventually(t, "both messages", func() bool { return len(nodes[2].receivedMessages()) == 2 })
	eventually(t, "broadcast", func() bool { return len(nodes[4].receivedMessages()) == 1 })
	require.Equal(t, step.PeerMessage{From: "d1", Message: step.Heartbeat{Incarnation: "x", Applied: 7}}, nodes[4].receivedMessages()[0])
}

func TestOneLinkWhenBothDial(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { a.Connect(b.set.Address) })
		wg.Go(func() { b.Connect(a.set.Address) })
		wg.Go(func() { a.SetPeers([]Address{b.address()}) })
		wg.Go(func() { b.SetPeers([]Address{a.address()}) })
	}
	wg.Wait()
	eventually(t, "linked", func() bool { return a.linkedPeers() == 1 && b.linkedPeers() == 1 })
	// Both sides settle on the same link, so that messages arrive in both directions.
	eventually(t, "delivery", func() bool {
		require.NoError(t, a.Send("b", step.Goodbye{Incarnation: "a"}))
		require.NoError(t, b.Send("a", step.Goodbye{Incarnation: "b"}))
		return len(a.receivedMessages()) > 0 && len(b.receivedMessages()) > 0
	})
}

func TestSimultaneousDialsKeepLinkOfLowerName(t *testing.T) {
	for _, test := range []struct {
		self, peer string
		dialled    bool
		want       bool
	}{
		{"a", "b", true, true},
		{"a", "b", false, false},
		{"b", "a", true, false},
		{"b", "a", false, true},
	} {
		m := New(Settings{Daemon: test.self})
		h := hello{Daemon: test.peer, Incarnation: "1"}
		old, new := newLink(h, nil, !test.dialled), newLink(h, nil, test.dialled)
		require.Equal(t, test.want, m.shouldReplace(new, old), test)
		new.peer.Incarnation = "2"
		require.True(t, m.shouldReplace(new, old), "a link of a new incarnation always replaces the old one")
	}
}

func TestHandshakeRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Settings)
		code   int
		remedy string
	}{
		"key":     {func(s *Settings) { s.Key = []byte("other") }, int(codeKeyMismatch), "shared key"},
		"cluster": {func(s *Settings) { s.Cluster = "bucha" }, int(codeClusterMismatch), "cluster name"},
		"name":    {func(s *Settings) { s.Daemon = "a" }, int(codeSameName), "name of its own"},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startNode(t, "a", nil), startNode(t, "b", test.change)
			b.Connect(a.set.Address)
			for _, n := range []*node{a, b} {
				eventually(t, "refused on both sides", func() bool { return len(n.refusals()) > 0 })
				require.Equal(t, test.code, n.refusals()[0].Code)
				require.Contains(t, n.refusals()[0].Error(), test.remedy)
			}
			require.Zero(t, a.linkedPeers()+b.linkedPeers())
		})
	}
}

func TestStalledLinkIsReplaced(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	proxy := startStallProxy(t, b.set.Address)
	a.SetPeers([]Address{{Name: "b", Address: proxy.address()}})
	eventually(t, "linked", func() bool { return a.linkedPeers() == 1 && b.linkedPeers() == 1 })
	first := a.linkTo("b")
	stalledAt := time.Now()
	proxy.stall()
	eventually(t, "replaced", func() bool {
		l := a.linkTo("b")
		return l != nil && l != first
	})
	t.Logf("replaced after %v with a link timeout of %v", time.Since(stalledAt), a.set.LinkTimeout)
	require.NoError(t, a.Send("b", step.ConfigAsk{Applied: 9}))
	eventually(t, "delivered over the new connection", func() bool { return len(b.receivedMessages()) == 1 })
}

func TestQueueOverflowClosesLink(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetPeers([]Address{b.address()})
	eventually(t, "linked", func() bool { return a.linkedPeers() == 1 })
	l := newLink(hello{Daemon: "b"}, a.linkTo("b").conn, true)
	for range maxQueuedFrames {
		l.push(frame{typ: msgSuspect, data: []byte{1}})
	}
	l.push(frame{typ: msgHeartbeat, data: []byte{1}})
	l.push(frame{typ: msgHeartbeat, data: []byte{2}})
	require.True(t, isOpen(l), "a heartbeat replaces a queued one and does not overflow the queue")
	l.push(frame{typ: msgSuspect, data: []byte{1}})
	require.False(t, isOpen(l))
	l.closing.Wait()
	frames := l.takeQueued()
	require.Len(t, frames, maxQueuedFrames+1)
	require.Equal(t, []byte{2}, frames[maxQueuedFrames].data)
}

func TestUnknownMessageTypesAreSkipped(t *testing.T) {
	m, err := decodeMessage(messageTypeCount+5, []byte{0xf6})
	require.NoError(t, err)
	require.Nil(t, m)
}
