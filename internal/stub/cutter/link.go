package cutter

import (
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

// bufferBytes is the size of the buffer of one direction.
const bufferBytes = 32 << 10

// link is one relayed connection.
type link struct {
	caller, target net.Conn

	mu      sync.Mutex
	modes   map[Direction]Mode
	changed chan struct{} // closed at the next change of mode
	closed  bool          // both sides have been reset
}

func newLink(caller, target net.Conn, modes map[Direction]Mode) *link {
	l := &link{caller: caller, target: target, modes: make(map[Direction]Mode), changed: make(chan struct{})}
	for direction, mode := range modes {
		l.modes[direction] = mode
	}
	return l
}

// setMode changes the mode of one direction. Reset closes both sides. A direction that
// swallows accepts no other mode but Reset, since the discarded bytes are lost.
func (l *link) setMode(direction Direction, mode Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mode == Reset {
		l.closeAll()
		return
	}
	if l.modes[direction] == Swallow {
		return
	}
	l.modes[direction] = mode
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) closeAll() {
	if l.closed {
		return
	}
	l.closed = true
	reset(l.caller)
	reset(l.target)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) mode(direction Direction) (mode Mode, changed <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[direction], l.changed, l.closed
}

// relay relays both directions until both have ended.
func (l *link) relay(waitDelay func()) {
	for _, direction := range []Direction{ToTarget, ToCaller} {
		if mode, _, _ := l.mode(direction); mode == Reset {
			l.setMode(direction, Reset)
			return
		}
	}
	var wait sync.WaitGroup
	wait.Go(func() { l.relayDirection(ToTarget, l.caller, l.target, waitDelay) })
	wait.Go(func() { l.relayDirection(ToCaller, l.target, l.caller, waitDelay) })
	wait.Wait()
	_ = l.target.Close()
}

// relayDirection relays one direction and its end of stream. A reset resets both sides.
func (l *link) relayDirection(direction Direction, from, to net.Conn, waitDelay func()) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		waitDelay()
		if !l.waitWhileFrozen(direction) {
			discard(from, readErr)
			l.waitForClose()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				l.close()
				return
			}
		}
		if errors.Is(readErr, io.EOF) {
			halfClose(to)
			return
		}
		if readErr != nil {
			l.close()
			return
		}
	}
}

// waitWhileFrozen waits while the direction is frozen. It returns false if the bytes must be
// discarded or the link is closed.
func (l *link) waitWhileFrozen(direction Direction) bool {
	for {
		mode, changed, closed := l.mode(direction)
		switch {
		case closed:
			return false
		case mode == Pass:
			return true
		case mode == Swallow:
			return false
		}
		<-changed
	}
}

func discard(from net.Conn, readErr error) {
	buffer := make([]byte, bufferBytes)
	for readErr == nil {
		_, readErr = from.Read(buffer)
	}
}

// waitForClose waits for the reset of the link. Until then the other side stays open, even if
// this one has closed.
func (l *link) waitForClose() {
	for {
		_, changed, closed := l.mode(Both)
		if closed {
			return
		}
		<-changed
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeAll()
}

func halfClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func reset(conn net.Conn) {
	serve.ResetOnClose(conn)
	_ = conn.Close()
}
