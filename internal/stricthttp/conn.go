package stricthttp

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rhubarbswitch/rhubarbswitch/internal/tcpconn"
)

// conn records what is written to a connection, and how much of that the other side has acknowledged as it ends the
// connection.
type conn struct {
	net.Conn
	acknowledgedBefore int64        // bytes, before the first Write; -1 if it is not known
	acknowledged       atomic.Int64 // bytes of Writes, as the other side ended the connection; -1 if it is not known

	mu      sync.Mutex // held during a Write
	written int64      // bytes
	err     error      // of the first Write that failed
}

// newConn returns a conn for a connection to which nothing has been written.
func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, acknowledgedBefore: -1}
	c.acknowledged.Store(-1)
	if tcp, ok := inner.(syscall.Conn); ok {
		c.acknowledgedBefore = tcpconn.Acknowledged(tcp)
	}
	return c
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.acknowledgedBefore >= 0 {
		if now := tcpconn.Acknowledged(c.Conn.(syscall.Conn)); now >= 0 {
			c.acknowledged.Store(now - c.acknowledgedBefore)
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
