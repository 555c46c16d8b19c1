package gateway

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/tcpconn"
)

const (
	// writeCheckInterval is the time between two checks whether a caller takes its answer.
	writeCheckInterval = time.Second
	// unreadTime is how long a caller may take nothing of its answer. A slow reader's kernel acknowledges up
	// to 64 KiB at a time on loopback, so that 10 s allow about 6.5 KB/s.
	unreadTime = 10 * time.Second
	// crowdedUnreadTime is unreadTime while connections or memory are short.
	crowdedUnreadTime = 3 * time.Second
)

// SetWriteDeadline sets the time at which a Write fails, progress or not.
func (c *serverConn) SetWriteDeadline(t time.Time) error {
	nanos := int64(0)
	if !t.IsZero() {
		nanos = t.UnixNano()
	}
	c.writeDeadline.Store(nanos)
	return c.TCPConn.SetWriteDeadline(t)
}

// Write writes to the connection. It fails with os.ErrDeadlineExceeded at the write deadline, or if the
// caller has taken nothing for too long.
func (c *serverConn) Write(p []byte) (written int, err error) {
	progressAt := time.Now()
	unacknowledged := -1
	for {
		now := time.Now()
		next, last := now.Add(writeCheckInterval), false
		if nanos := c.writeDeadline.Load(); nanos != 0 && next.UnixNano() >= nanos {
			next, last = time.Unix(0, nanos), true
		}
		if err := c.TCPConn.SetWriteDeadline(next); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:])
		written += n
		if err == nil || last || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now = time.Now()
		left := tcpconn.Unacknowledged(c)
		if n > 0 || unacknowledged >= 0 && left < unacknowledged {
			progressAt = now
		}
		unacknowledged = left
		allowed := unreadTime
		if c.owner != nil && c.owner.crowded() {
			allowed = crowdedUnreadTime
		}
		if now.Sub(progressAt) < allowed {
			continue
		}
		if c.owner != nil {
			c.owner.recordCut(cutUnread)
		}
		_ = c.SetLinger(0) // else the kernel keeps what was not read; fails only on a closed connection
		return written, err
	}
}
