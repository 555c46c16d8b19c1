package cutter

import (
	"net"
	"sync"
)

const pieceBytes = 32 << 10

// link is one relayed connection.
type link struct {
	caller, target net.Conn

	mu      sync.Mutex
	modes   map[Direction]Mode
	changed chan struct{} // closed at the next change of mode
	closed  bool
}

func newLink(caller, target net.Conn, modes map[Direction]Mode) *link {
	l := &link{caller: caller, target: target, modes: make(map[Direction]Mode), changed: make(chan struct{})}
	for direction, mode := range modes {
		l.modes[direction] = mode
	}
	return l
}

// set changes one direction's mode. A reset ends the link; what was swallowed
// stays lost, so a link that swallows passes nothing again.
func (l *link) set(direction Direction, mode Mode) {
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

// run relays until both directions have ended.
func (l *link) run(pause func()) {
	for _, direction := range []Direction{ToTarget, ToCaller} {
		if mode, _, _ := l.mode(direction); mode == Reset {
			l.set(direction, Reset)
			return
		}
	}
	var wait sync.WaitGroup
	wait.Go(func() { l.pump(ToTarget, l.caller, l.target, pause) })
	wait.Go(func() { l.pump(ToCaller, l.target, l.caller, pause) })
	wait.Wait()
	_ = l.target.Close()
}

// pump relays one direction, the end of the stream included.
func (l *link) pump(direction Direction, from, to net.Conn, pause func()) {
	piece := make([]byte, pieceBytes)
	for {
		n, readErr := from.Read(piece)
		pause()
		if !l.mayPass(direction) {
			continueSwallowing(from, readErr)
			l.awaitClose()
			return
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				l.end()
				return
			}
		}
		if readErr != nil {
			halfClose(to)
			return
		}
	}
}

// mayPass waits while the direction is frozen and reports whether bytes may pass.
func (l *link) mayPass(direction Direction) bool {
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

func continueSwallowing(from net.Conn, readErr error) {
	piece := make([]byte, pieceBytes)
	for readErr == nil {
		_, readErr = from.Read(piece)
	}
}

// awaitClose keeps the other side open although this one may have closed.
func (l *link) awaitClose() {
	for {
		_, changed, closed := l.mode(Both)
		if closed {
			return
		}
		<-changed
	}
}

func (l *link) end() {
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
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
