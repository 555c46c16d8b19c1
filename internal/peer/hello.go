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
	// protocolVersion is the version of the peer protocol that this release speaks, and
	// oldestProtocolVersion the oldest version that it still understands.
	protocolVersion       = 1
	oldestProtocolVersion = 1
	// nonceBytes is the length of the random nonce in a hello.
	nonceBytes = 32
	// maxHelloBytes bounds each message of the handshake; a longer one ends the handshake.
	maxHelloBytes = 4 << 10
)

// The WebSocket close codes of a refused link. codeDuplicateLink also closes a link that a
// newer one replaces, and codeQueueOverflow one whose write queue is full.
const (
	codeClusterMismatch  websocket.StatusCode = 4001
	codeProtocolMismatch websocket.StatusCode = 4002
	codeKeyMismatch      websocket.StatusCode = 4003
	codeSameName         websocket.StatusCode = 4004
	codeDuplicateLink    websocket.StatusCode = 4005
	codeQueueOverflow    websocket.StatusCode = 4006
)

// RefusedError reports that this daemon or its peer refused a link.
type RefusedError struct {
	// Peer is the other daemon's name, or its address if this daemon received the refusal.
	Peer string
	Code int // WebSocket close code
	// Reason states the remedy.
	Reason string
}

// Error names the peer and the remedy.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("link with %s refused (%d): %s", r.Peer, r.Code, r.Reason)
}

// hello is the first message of each side in the handshake.
type hello struct {
	Protocol       int    `cbor:"1,keyasint"` // newest version that the sender speaks
	OldestProtocol int    `cbor:"2,keyasint"` // oldest version that the sender understands
	Cluster        string `cbor:"3,keyasint"`
	Daemon         string `cbor:"4,keyasint"` // the sender's name
	Incarnation    string `cbor:"5,keyasint"` // differs at each start of the sender
	Address        string `cbor:"6,keyasint"` // at which the sender accepts links
	DataCentre     string `cbor:"7,keyasint"`
	Nonce          []byte `cbor:"8,keyasint"` // random, nonceBytes long
}

// welcome is the listener's reply to the dialler's hello: its own hello and its proof.
type welcome struct {
	Hello []byte `cbor:"1,keyasint"` // an encoded hello
	Proof []byte `cbor:"2,keyasint"`
}

// The role of the prover is part of its proof, so that a proof can't be reflected to the
// side that sent it.
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
		Protocol: protocolVersion, OldestProtocol: oldestProtocolVersion,
		Cluster: m.set.Cluster, Daemon: m.set.Daemon, Incarnation: m.set.Incarnation,
		Address: m.set.Address, DataCentre: m.set.DataCentre, Nonce: nonce,
	})
}

// proof returns the HMAC with which a side proves that it knows the key. It is valid only
// for this pair of hellos, whose nonces make it impossible to replay.
func proof(key []byte, role string, dialler, listener []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), dialler, listener} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// checkHello returns a RefusedError if the peer belongs to another cluster, speaks no common
// protocol version, or has this daemon's own name.
func (m *Mesh) checkHello(h hello) error {
	switch {
	case h.Cluster != m.set.Cluster:
		return newRefusal(h.Daemon, codeClusterMismatch, "set the same cluster name on both: %q here, %q there", m.set.Cluster, h.Cluster)
	case h.Protocol < oldestProtocolVersion || h.OldestProtocol > protocolVersion:
		return newRefusal(h.Daemon, codeProtocolMismatch, "run releases that speak a common protocol: %d to %d here, %d to %d there",
			oldestProtocolVersion, protocolVersion, h.OldestProtocol, h.Protocol)
	case h.Daemon == m.set.Daemon:
		return newRefusal(h.Daemon, codeSameName, "give each daemon a name of its own, and list no daemon as its own peer")
	case h.Daemon == "" || h.Incarnation == "" || len(h.Nonce) != nonceBytes:
		return newRefusal(h.Daemon, codeProtocolMismatch, "run releases that speak a common protocol: the introduction lacks fields")
	}
	return nil
}

func newRefusal(peer string, code websocket.StatusCode, format string, args ...any) error {
	return &RefusedError{Peer: peer, Code: int(code), Reason: fmt.Sprintf(format, args...)}
}

func errKeyMismatch(peer string) error {
	return newRefusal(peer, codeKeyMismatch, "set the same shared key on both daemons")
}

// dialHandshake runs the dialler's side of the handshake.
func (m *Mesh) dialHandshake(ctx context.Context, conn *websocket.Conn) (hello, error) {
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
		return h, errKeyMismatch(h.Daemon)
	}
	if err := conn.Write(ctx, websocket.MessageBinary, proof(m.set.Key, roleDialler, own, w.Hello)); err != nil {
		return h, err
	}
	// The listener sends its first message only after it has accepted the proof.
	var e envelope
	return h, readCBOR(ctx, conn, &e)
}

// acceptHandshake runs the listener's side of the handshake.
func (m *Mesh) acceptHandshake(ctx context.Context, conn *websocket.Conn) (hello, error) {
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
	reply, err := cbor.Marshal(welcome{Hello: own, Proof: proof(m.set.Key, roleListener, theirs, own)})
	if err != nil {
		return h, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, reply); err != nil {
		return h, err
	}
	_, theirProof, err := conn.Read(ctx)
	if err != nil {
		return h, err
	}
	if !hmac.Equal(theirProof, proof(m.set.Key, roleDialler, theirs, own)) {
		return h, errKeyMismatch(h.Daemon)
	}
	return h, conn.Write(ctx, websocket.MessageBinary, keepAliveFrame(m.set.KeepAliveInterval).data)
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
	if r, ok := errors.Into[*RefusedError](err); ok {
		closeWithTimeout(conn, websocket.StatusCode(r.Code), r.Reason)
		return
	}
	_ = conn.CloseNow()
}

// closeWithTimeout closes a connection that no other goroutine reads from. It reads and
// discards messages until the closing handshake ends or closeTimeout has passed.
func closeWithTimeout(conn *websocket.Conn, code websocket.StatusCode, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			if _, _, err := conn.Read(ctx); err != nil {
				return
			}
		}
	})
	_ = conn.Close(code, truncateReason(reason))
	wg.Wait()
}

// maxReasonBytes bounds the reason in a close frame; the rest is cut off. WebSocket allows
// 123 bytes.
const maxReasonBytes = 120

func truncateReason(reason string) string { return reason[:min(len(reason), maxReasonBytes)] }

// toRefusedError turns a close frame of the peer with a refusal code into a RefusedError. It
// returns other errors unchanged.
func toRefusedError(peer string, err error) error {
	c, ok := errors.Into[websocket.CloseError](err)
	if !ok || c.Code < codeClusterMismatch || c.Code > codeDuplicateLink {
		return err
	}
	return &RefusedError{Peer: peer, Code: int(c.Code), Reason: c.Reason}
}
