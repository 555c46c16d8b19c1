package peer

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// startHeadProxy starts a proxy to a target that adds a line to the head of each answer to a handshake. It returns its
// address and counts its connections.
func startHeadProxy(t *testing.T, target, line string) (address string, conns *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns = new(atomic.Int64)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				return
			}
			go func() {
				_, _ = io.Copy(out, in)
				_ = out.Close()
			}()
			go func() {
				defer func() { _ = in.Close() }()
				buf := make([]byte, 4<<10)
				n, err := out.Read(buf) // the head of the answer is written at once
				if err != nil {
					return
				}
				if _, err := in.Write(bytes.Replace(buf[:n], []byte("\r\n\r\n"), []byte("\r\n"+line+"\r\n\r\n"), 1)); err != nil {
					return
				}
				_, _ = io.Copy(in, out)
			}()
		}
	}()
	return l.Addr().String(), conns
}

// TestInvalidAnswerToAHandshakeMakesNoLink guards against links to what may not be a daemon.
func TestInvalidAnswerToAHandshakeMakesNoLink(t *testing.T) {
	for line, linked := range map[string]bool{"X-Odd: value": true, "X Odd: value": false, "X-Odd : value": false} {
		t.Run(line, func(t *testing.T) {
			a, b := startNode(t, "a", nil), startNode(t, "b", nil)
			address, conns := startHeadProxy(t, a.set.Address, line)
			b.Connect(address)
			if linked {
				eventually(t, "a link", func() bool { return a.linkedPeers() == 1 && b.linkedPeers() == 1 })
				return
			}
			eventually(t, "a second try", func() bool { return conns.Load() > 1 })
			require.Zero(t, a.linkedPeers()+b.linkedPeers())
		})
	}
}
