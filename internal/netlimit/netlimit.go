// Package netlimit bounds the open connections of a listener.
package netlimit

import (
	"net"
	"sync"
)

// Listen returns a listener that accepts a connection only while fewer than n are
// open. The others wait in the listen queue of the operating system.
func Listen(l net.Listener, n int) net.Listener {
	return &listener{Listener: l, open: make(chan struct{}, n), closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	open   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a place and then for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &conn{Conn: c, free: func() { <-l.open }}, nil
}

// Close closes the listener; open connections stay.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	once sync.Once
	free func()
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}
