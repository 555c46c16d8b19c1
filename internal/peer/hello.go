package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// protocol is the version of the messages between daemons that this release
	// speaks; oldestProtocol the oldest that it still understands.
	protocol       = 1
	oldestProtocol = 1
	// nonceBytes is the length of the challenge.
	nonceBytes = 32
	// maxHelloBytes bounds a message of the handshake.
	maxHelloBytes = 4 << 10
)

// The close codes of a refused link.
const (
	codeCluster   websocket.StatusCode = 4001
	codeProtocol  websocket.StatusCode = 4002
	codeKey       websocket.StatusCode = 4003
	codeSelf      websocket.StatusCode = 4004
	codeDuplicate websocket.StatusCode = 4005
	codeSlow      websocket.StatusCode = 4006
)

// Refused says why two daemons do not link. Error names the remedy.
type Refused struct {
	// Peer is the other daemon's name or address.
	Peer   string
	Code   int // WebSocket close code
	Reason string
}

// Error names the peer and the remedy.
func (r *Refused) Error() string {
	return fmt.Sprintf("link with %s refused (%d): %s", r.Peer, r.Code, r.Reason)
}

// hello introduces a daemon.
type hello struct {
	Protocol    int    `cbor:"1,keyasint"`
	Oldest      int    `cbor:"2,keyasint"`
	Cluster     string `cbor:"3,keyasint"`
	Daemon      string `cbor:"4,keyasint"`
	Incarnation string `cbor:"5,keyasint"`
	Address     string `cbor:"6,keyasint"`
	DataCentre  string `cbor:"7,keyasint"`
	Nonce       []byte `cbor:"8,keyasint"`
}

// welcome is the listener's answer to a hello.
type welcome struct {
	Hello []byte `cbor:"1,keyasint"` // encoded
	Proof []byte `cbor:"2,keyasint"`
}

// The roles in a proof, so that one side's can't be sent back as the other's.
const (
	roleDialler  = "dialler"
	roleListener = "listener"
)

func (m *Mesh) newHello() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "draw a nonce")
	}
	return cbor.Marshal(hello{
		Protocol: protocol, Oldest: oldestProtocol,
		Cluster: m.set.Cluster, Daemon: m.set.Daemon, Incarnation: m.set.Incarnation,
		Address: m.set.Address, DataCentre: m.set.DataCentre, Nonce: nonce,
	})
}

// proof shows that a side knows the key, for this pair of hellos only.
func proof(key []byte, role string, dialler, listener []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), dialler, listener} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// checkHello refuses a daemon of another cluster or release, or this one itself.
func (m *Mesh) checkHello(h hello) error {
	switch {
	case h.Cluster != m.set.Cluster:
		return refuse(h.Daemon, codeCluster, "set the same cluster name on both: %q here, %q there", m.set.Cluster, h.Cluster)
	case h.Protocol < oldestProtocol || h.Oldest > protocol:
		return refuse(h.Daemon, codeProtocol, "run releases that speak a common protocol: %d to %d here, %d to %d there",
			oldestProtocol, protocol, h.Oldest, h.Protocol)
	case h.Daemon == m.set.Daemon:
		return refuse(h.Daemon, codeSelf, "give each daemon a name of its own, and list no daemon as its own peer")
	case h.Daemon == "" || h.Incarnation == "" || len(h.Nonce) != nonceBytes:
		return refuse(h.Daemon, codeProtocol, "run releases that speak a common protocol: the introduction lacks fields")
	}
	return nil
}

func refuse(peer string, code websocket.StatusCode, format string, args ...any) error {
	return &Refused{Peer: peer, Code: int(code), Reason: fmt.Sprintf(format, args...)}
}

func errKey(peer string) error {
	return refuse(peer, codeKey, "set the same shared key on both daemons")
}

// greet runs the dialler's side of the handshake.
func (m *Mesh) greet(ctx context.Context, conn *websocket.Conn) (hello, error) {
	own, err := m.newHello()
	if err != nil {
		return hello{}, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, own); err != nil {
		return hello{}, err
	}
	var w welcome
	if err := readCBOR(ctx, conn, &w); err != nil {
		return hello{}, err
	}
	var h hello
	if err := cbor.Unmarshal(w.Hello, &h); err != nil {
		return hello{}, errors.Wrap(err, "decode introduction")
	}
	if err := m.checkHello(h); err != nil {
		return h, err
	}
	if !hmac.Equal(w.Proof, proof(m.set.Key, roleListener, own, w.Hello)) {
		return h, errKey(h.Daemon)
	}
	if err := conn.Write(ctx, websocket.MessageBinary, proof(m.set.Key, roleDialler, own, w.Hello)); err != nil {
		return h, err
	}
	// The listener's first message tells that it took the proof.
	var e envelope
	return h, readCBOR(ctx, conn, &e)
}

// receive runs the listener's side of the handshake.
func (m *Mesh) receive(ctx context.Context, conn *websocket.Conn) (hello, error) {
	_, theirs, err := conn.Read(ctx)
	if err != nil {
		return hello{}, err
	}
	var h hello
	if err := cbor.Unmarshal(theirs, &h); err != nil {
		return hello{}, errors.Wrap(err, "decode introduction")
	}
	if err := m.checkHello(h); err != nil {
		return h, err
	}
	own, err := m.newHello()
	if err != nil {
		return h, err
	}
	answer, err := cbor.Marshal(welcome{Hello: own, Proof: proof(m.set.Key, roleListener, theirs, own)})
	if err != nil {
		return h, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, answer); err != nil {
		return h, err
	}
	_, shown, err := conn.Read(ctx)
	if err != nil {
		return h, err
	}
	if !hmac.Equal(shown, proof(m.set.Key, roleDialler, theirs, own)) {
		return h, errKey(h.Daemon)
	}
	return h, conn.Write(ctx, websocket.MessageBinary, keepAlive(m.set.KeepAlive).bytes)
}

func readCBOR(ctx context.Context, conn *websocket.Conn, into any) error {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(b, into); err != nil {
		return errors.Wrap(err, "decode handshake")
	}
	return nil
}

// closeRefused closes a connection with the code and reason of its refusal.
func closeRefused(conn *websocket.Conn, err error) {
	if r, ok := errors.Into[*Refused](err); ok {
		closeBounded(conn, websocket.StatusCode(r.Code), r.Reason)
		return
	}
	_ = conn.CloseNow()
}

// closeBounded closes a connection that nobody reads from.
func closeBounded(conn *websocket.Conn, code websocket.StatusCode, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), closeBound)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			if _, _, err := conn.Read(ctx); err != nil {
				return
			}
		}
	})
	_ = conn.Close(code, shorten(reason))
	wg.Wait()
}

// maxReasonBytes bounds the reason in a close frame.
const maxReasonBytes = 120

func shorten(reason string) string { return reason[:min(len(reason), maxReasonBytes)] }

// asRefused turns the other side's close code into the typed error.
func asRefused(peer string, err error) error {
	c, ok := errors.Into[websocket.CloseError](err)
	if !ok || c.Code < codeCluster || c.Code > codeDuplicate {
		return err
	}
	return &Refused{Peer: peer, Code: int(c.Code), Reason: c.Reason}
}
