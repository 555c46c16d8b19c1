package cutter

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

const (
	testTimeout = 10 * time.Second
	// noAnswerTimeout is how long a test waits for an answer that must not arrive.
	noAnswerTimeout = 50 * time.Millisecond
)

// echoServer starts a server that sends back what it reads.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func open(t *testing.T) *Cutter {
	t.Helper()
	c, err := Open("127.0.0.1:0", echoServer(t))
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func dial(t *testing.T, c *Cutter) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func exchange(conn net.Conn, wait time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestRelaysUntilClosed(t *testing.T) {
	c := open(t)
	conn := dial(t, c)
	require.NoError(t, exchange(conn, testTimeout))
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.Stats().Open == 0 }, testTimeout, time.Millisecond)
}

// TestResetIsPassedOn lets the target reset a connection after its first byte. The caller must not
// read an end of stream.
func TestResetIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
		}
	}()
	c, err := Open("127.0.0.1:0", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	conn := dial(t, c)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestSwallowAffectsOnlyOpenConnections(t *testing.T) {
	c := open(t)
	old := dial(t, c)
	require.NoError(t, exchange(old, testTimeout))
	c.Apply(Cut{Existing: Swallow})
	require.True(t, isTimeout(exchange(old, noAnswerTimeout)))
	require.NoError(t, exchange(dial(t, c), testTimeout))
	c.Apply(Cut{Existing: Pass})
	require.True(t, isTimeout(exchange(old, noAnswerTimeout)), "what was swallowed stays lost")
}

func TestFreezeKeepsBytes(t *testing.T) {
	c := open(t)
	conn := dial(t, c)
	require.NoError(t, exchange(conn, testTimeout))
	c.Apply(Cut{Existing: Freeze})
	require.True(t, isTimeout(exchange(conn, noAnswerTimeout)))
	c.Apply(Cut{Existing: Pass})
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	require.NoError(t, err)
}

func TestReset(t *testing.T) {
	c := open(t)
	conn := dial(t, c)
	require.NoError(t, exchange(conn, testTimeout))
	c.Apply(Cut{Existing: Reset, New: Reset})
	err := exchange(conn, testTimeout)
	require.Error(t, err)
	require.False(t, isTimeout(err))
	// The reset may arrive before the dial returns.
	later, err := net.Dial("tcp", c.Address())
	if err == nil {
		t.Cleanup(func() { _ = later.Close() })
		err = exchange(later, testTimeout)
	}
	require.Error(t, err)
	require.False(t, isTimeout(err))
}

func TestOneWayCut(t *testing.T) {
	c := open(t)
	conn := dial(t, c)
	require.NoError(t, exchange(conn, testTimeout))
	c.Apply(Cut{Existing: Swallow, Direction: ToCaller})
	require.True(t, isTimeout(exchange(conn, noAnswerTimeout)))
}

// TestRefusedAddressIsKept lets a cutter refuse connections. No other listener may get its address.
func TestRefusedAddressIsKept(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	c, err := Open("127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	conn, err := net.Dial("tcp", c.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, c.Refuse())
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = net.Dial("tcp", c.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", c.Address())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	c.Close()
	again, err := net.Listen("tcp", c.Address())
	require.NoError(t, err)
	require.NoError(t, again.Close())
}
