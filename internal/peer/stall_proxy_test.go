package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// stallProxy forwards TCP connections to target. It can stall the connections that are open,
// which then stay open but deliver nothing; connections opened later work.
type stallProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	stalled  []*atomic.Bool // one per connection; true once it is stalled
	conns    []net.Conn
	wg       sync.WaitGroup
}

func startStallProxy(t *testing.T, target string) *stallProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &stallProxy{listener: listener, target: target}
	c.wg.Go(c.run)
	t.Cleanup(c.close)
	return c
}

func (c *stallProxy) address() string { return c.listener.Addr().String() }

func (c *stallProxy) run() {
	for {
		in, err := c.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		stalled := new(atomic.Bool)
		c.mu.Lock()
		c.stalled = append(c.stalled, stalled)
		c.conns = append(c.conns, in, out)
		c.mu.Unlock()
		c.wg.Go(func() { forwardUntilStalled(in, out, stalled) })
		c.wg.Go(func() { forwardUntilStalled(out, in, stalled) })
	}
}

// forwardUntilStalled copies until the connection ends. Once the connection is stalled, it
// discards all bytes and does not pass on the end of the connection either.
func forwardUntilStalled(from, to net.Conn, stalled *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if stalled.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := io.Writer(to).Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *stallProxy) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.stalled {
		s.Store(true)
	}
}

func (c *stallProxy) close() {
	_ = c.listener.Close()
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}
