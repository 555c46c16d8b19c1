package stricthttp

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rhubarbswitch/rhubarbswitch/internal/tcpconn"
)

// conn records what is written to a connection, and how much of that the other side has not acknowledged as it ends
// the connection.
type conn struct {
	net.Conn
	unacknowledged atomic.Int64 // bytes, as the other side ended the connection

	mu      sync.Mutex // held during a Write
	written int64      // bytes
	err     error      // of the first Write that failed
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if tcp, ok := c.Conn.(syscall.Conn); ok {
			c.unacknowledged.Store(int64(max(0, tcpconn.Unacknowledged(tcp))))
		}
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if c.err == nil {
		c.err = err
	}
	return n, err
}

// writes waits for a Write that is in progress. It returns the number of bytes written so far and the first error.
func (c *conn) writes() (written int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.err
}
