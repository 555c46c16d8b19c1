package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// cutter forwards TCP connections and can silence those that are open, while new
// ones work.
type cutter struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*atomic.Bool
	conns    []net.Conn
	wg       sync.WaitGroup
}

func startCutter(t *testing.T, target string) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &cutter{listener: listener, target: target}
	c.wg.Go(c.run)
	t.Cleanup(c.close)
	return c
}

func (c *cutter) address() string { return c.listener.Addr().String() }

func (c *cutter) run() {
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
		silent := new(atomic.Bool)
		c.mu.Lock()
		c.open = append(c.open, silent)
		c.conns = append(c.conns, in, out)
		c.mu.Unlock()
		c.wg.Go(func() { forward(in, out, silent) })
		c.wg.Go(func() { forward(out, in, silent) })
	}
}

// forward copies until the end; a silenced connection swallows everything, its end too.
func forward(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
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

func (c *cutter) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.open {
		s.Store(true)
	}
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}
