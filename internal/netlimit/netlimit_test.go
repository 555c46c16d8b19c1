package netlimit

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnectionsBeyondLimitWait(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := LimitListener(inner, 1)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	first := <-accepted
	select {
	case <-accepted:
		require.Fail(t, "a second connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, first.Close())
	_ = first.Close() // a second Close must not free another slot
	second := <-accepted
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	_ = second.Close()
}
