package cutter

import (
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Listening is how a Cutter treats callers that open a connection.
type Listening uint8

// The ways.
const (
	Accepting Listening = iota
	// Hanging lets connections hang, as behind a partition.
	Hanging
	// Refusing resets them, as where no process listens.
	Refusing
)

const (
	// maxFillers bounds the connections that fill the queue of a listener that hangs.
	maxFillers = 8
	// ownDialTimeout bounds the time in which the cutter connects to itself.
	ownDialTimeout = 5 * time.Second
	// usualBacklog is the queue of a listener that accepts.
	usualBacklog = 1024
)

// Listen changes how connections are treated that callers open from now on. Open ones stay. The address
// stays the same.
func (c *Cutter) Listen(how Listening) error {
	c.listenMu.Lock()
	defer c.listenMu.Unlock()
	if how == c.listening || c.closed {
		return nil
	}
	if c.listening != Accepting {
		if err := c.accept(); err != nil {
			return err
		}
	}
	c.listening = how
	switch how {
	case Hanging:
		return c.hang()
	case Refusing:
		return c.refuse()
	}
	return nil
}

// hang shortens the listener's queue to the least and fills it. The kernel drops what comes then.
func (c *Cutter) hang() error {
	if err := c.closeGate(); err != nil {
		return err
	}
	if err := c.setBacklog(0); err != nil {
		return err
	}
	for range maxFillers {
		full, err := c.queueIsFull()
		if err != nil || full {
			return err
		}
		conn, err := net.DialTimeout("tcp", c.Address(), ownDialTimeout)
		if err != nil {
			return errors.Wrap(err, "fill the listener's queue")
		}
		c.fillers = append(c.fillers, conn)
	}
	return errors.New("the listener's queue is never full")
}

// refuse closes the listener. The address stays reserved, and no one else may share it.
func (c *Cutter) refuse() error {
	if err := c.closeGate(); err != nil {
		return err
	}
	defer c.openGate()
	if err := c.shareAddress(false); err != nil {
		return err
	}
	return c.listener.Close()
}

// accept lets connections be accepted again.
func (c *Cutter) accept() error {
	if c.listening == Refusing {
		if err := c.shareAddress(true); err != nil {
			return err
		}
		listener, err := net.Listen("tcp4", c.Address())
		if err != nil {
			return errors.Wrap(err, "listen again")
		}
		c.listener = listener
		go c.acceptAll(listener)
		return nil
	}
	c.closeFillers()
	c.openGate()
	return c.setBacklog(usualBacklog)
}

func (c *Cutter) closeFillers() {
	for _, conn := range c.fillers {
		_ = conn.Close()
	}
	c.fillers = nil
}

// gate stops the accepting of connections. Those that callers had opened before are accepted first: the
// queue is in the order in which they were opened, and the marker is the last.
type gate struct {
	marker  string        // the address from which the cutter has connected to itself
	reached chan struct{} // closed once the marker is accepted
	opened  chan struct{} // closed once connections are accepted again
}

// closeGate returns once all connections that were open before it are accepted, and no more are.
func (c *Cutter) closeGate() error {
	g := &gate{reached: make(chan struct{}), opened: make(chan struct{})}
	c.gateMu.Lock()
	marker, err := net.DialTimeout("tcp", c.Address(), ownDialTimeout)
	if err != nil {
		c.gateMu.Unlock()
		return errors.Wrap(err, "mark the end of the listener's queue")
	}
	g.marker = marker.LocalAddr().String()
	c.gate = g
	c.gateMu.Unlock()
	<-g.reached
	return marker.Close()
}

func (c *Cutter) openGate() {
	c.gateMu.Lock()
	defer c.gateMu.Unlock()
	if c.gate != nil {
		close(c.gate.opened)
		c.gate = nil
	}
}

// waitAtGate reports whether a connection is the marker of a gate, and waits until that is open again.
func (c *Cutter) waitAtGate(conn net.Conn) bool {
	c.gateMu.Lock()
	g := c.gate
	c.gateMu.Unlock()
	if g == nil || conn.RemoteAddr().String() != g.marker {
		return false
	}
	_ = conn.Close()
	close(g.reached)
	<-g.opened
	return true
}
