// Package netlimit limits the number of open connections of a listener.
package netlimit

import (
	"net"
	"sync"
)

// LimitListener returns a listener that accepts a connection only while fewer than n accepted
// connections are open. Further connections wait in the operating system's accept queue.
func LimitListener(l net.Listener, n int) net.Listener {
	return &listener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	slots     chan struct{} // holds one token per open connection and pending Accept
	closed    chan struct{} // closed by Close, so that a waiting Accept returns
	closeOnce sync.Once
}

// Accept waits for a free slot and then for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &conn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close closes the listener. Open connections stay open.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	releaseOnce sync.Once
	release     func() // frees the slot in the listener
}

// Close closes the connection and frees its slot. Further calls don't free another one.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
