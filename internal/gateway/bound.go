package gateway

import (
	"math"
	"syscall"
	"time"
)

const (
	// connectionShare is the fraction of the memory setting for connections, and connectionBytes what one
	// takes, with garbage that is not collected yet (docs/CAPACITY.md).
	connectionShare = 0.25
	connectionBytes = 32 << 10
	// headShare is the fraction of the memory setting for the bytes of headers. Headers that never end would
	// otherwise take up to maxHeaderBytes more for each connection.
	headShare = 0.05
	// reservedDescriptors are left for the store, hosts and other daemons.
	reservedDescriptors = 256
	// minConnections is the least bound on connections, whatever the settings.
	minConnections = 16
	// silenceTime is how long a connection without progress is spared at the bound, so that one whose
	// request is on its way is not closed for a newer one.
	silenceTime = 500 * time.Millisecond
	// slowBodyTime is how long a body may stay below the minimal rate, in sweeps of idleSweepInterval.
	slowBodyTime = len(serverConn{}.samples) * int(idleSweepInterval)
	// discardDivisor sets how many refused bodies are discarded at a time: this part of the connections, and
	// at least minDiscards.
	discardDivisor = 8
	minDiscards    = 64
)

// connBounds limit what the callers of one HTTP server hold. The zero value limits nothing.
type connBounds struct {
	connections int           // most connections; 0 for no bound
	headBytes   int64         // most bytes of headers; 0 for no bound
	minBodyRate int64         // least bytes a second of a body while crowded reports true; 0 for none
	crowded     func() bool   // reports whether connections or memory are short; nil if never
	recordCut   func(cutKind) // nil to record none
}

// maxConnections returns the bound on callers' connections: the setting, or what its share of the memory
// holds if that is 0. Neither exceeds what the process's descriptors allow.
func maxConnections(setting, memoryMiB int) int {
	n := setting
	if n == 0 {
		n = int(shareOf(memoryMiB, connectionShare) / connectionBytes)
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		n = min(n, int(min(files.Cur, math.MaxInt32))-reservedDescriptors)
	}
	return max(n, minConnections)
}

// maxDiscards returns how many refused bodies are discarded at a time.
func maxDiscards(connections int) int64 { return int64(max(minDiscards, connections/discardDivisor)) }

// The order in which connections are closed at the bound.
const (
	closeSilentHead = iota // has not sent a whole header for some time
	closeSilentBody        // has a body without progress
	closeRefused           // its request was refused
	closeIdle              // has no request
	closeYoungHead         // a header may be on its way
	closeBody              // has a body that arrives
	closeNone              // is being answered, or is closed already
)

// closeOrder returns the place of the connection in the order of closing, and for how long it has been silent.
func (c *serverConn) closeOrder(now int64) (order int, silent time.Duration) {
	age := time.Duration(now - c.since.Load())
	silent = min(age, time.Duration(now-c.lastRead.Load()))
	switch c.state.Load() {
	case connNew, connReading:
		// By age, since a header that never ends may still grow byte by byte.
		if age >= silenceTime {
			return closeSilentHead, silent
		}
		return closeYoungHead, silent
	case connBusy: // net/http delays the close after a refused header
		if age >= silenceTime/2 {
			return closeRefused, silent
		}
	case connBody:
		if silent >= silenceTime {
			return closeSilentBody, silent
		}
		return closeBody, silent
	case connRefused:
		return closeRefused, silent
	case connIdle:
		return closeIdle, silent
	}
	return closeNone, 0
}

// cutKinds are the kinds of cuts by the order of closing.
var cutKinds = [closeNone]cutKind{
	closeSilentHead: cutHead, closeSilentBody: cutBody, closeRefused: cutRefused, closeIdle: cutIdle, closeYoungHead: cutHead, closeBody: cutBody,
}

// makeRoom closes the least useful connection if there are too many: another one than newest, unless all
// others are being answered. s.mu is held.
func (s *serverConns) makeRoom(newest *serverConn) {
	if s.bounds.connections == 0 || len(s.open) <= s.bounds.connections {
		return
	}
	now := time.Now().UnixNano()
	for range len(s.open) { // a connection may leave its state before it is closed
		var victim *serverConn
		var state int32
		live, best, bestSilent := 0, closeNone, time.Duration(0)
		for c := range s.open {
			from := c.state.Load()
			if from == connClosed {
				continue
			}
			live++
			if c == newest {
				continue
			}
			if order, silent := c.closeOrder(now); order < best || order == best && order < closeNone && silent > bestSilent {
				victim, state, best, bestSilent = c, from, order, silent
			}
		}
		switch {
		case live <= s.bounds.connections:
			return
		case victim == nil:
			if newest.enter(connNew, connClosed) {
				s.closeCut(newest, cutNew)
			}
			return
		case victim.enter(state, connClosed):
			s.closeCut(victim, cutKinds[best])
			return
		}
	}
}

// closeCut closes a connection that has entered connClosed.
func (s *serverConns) closeCut(c *serverConn, kind cutKind) {
	_ = c.Close() // it is of no more use
	s.recordCut(kind)
}

func (s *serverConns) recordCut(kind cutKind) {
	if s.bounds.recordCut != nil {
		s.bounds.recordCut(kind)
	}
}

// crowded reports whether more than half of the connections are in use, or other memory is short.
func (s *serverConns) crowded() bool {
	return s.halfOpen() || s.bounds.crowded != nil && s.bounds.crowded()
}

// halfOpen reports whether more than half of the connections are in use.
func (s *serverConns) halfOpen() bool {
	return s.bounds.connections > 0 && s.openCount.Load() > int64(s.bounds.connections/2)
}

// countHead counts bytes of a header. If the headers of all requests have too many, it closes the connection
// with the largest one that is not being answered.
func (s *serverConns) countHead(c *serverConn, n int64) {
	c.headBytes.Add(n)
	if total := s.headBytes.Add(n); s.bounds.headBytes == 0 || total <= s.bounds.headBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var largest *serverConn
	var state int32
	for other := range s.open {
		switch from := other.state.Load(); from {
		case connReading, connBody:
			if largest == nil || other.headBytes.Load() > largest.headBytes.Load() {
				largest, state = other, from
			}
		}
	}
	if largest != nil && largest.enter(state, connClosed) {
		s.releaseHead(largest)
		s.closeCut(largest, cutHeadMemory)
	}
}

// releaseHead gives back what countHead has counted for the connection.
func (s *serverConns) releaseHead(c *serverConn) { s.headBytes.Add(-c.headBytes.Swap(0)) }

// cutSlowBodies ends the reading of bodies below the minimal rate while connections or memory are short. A
// body that is alone may be slow. It is called once in idleSweepInterval.
func (s *serverConns) cutSlowBodies() {
	if s.bounds.minBodyRate == 0 {
		return
	}
	crowded, now := s.crowded(), time.Now().UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	var slow []*serverConn
	bodies := 0
	for c := range s.open {
		received := c.received.Load()
		if c.state.Load() == connBody {
			bodies++
			if now-c.since.Load() >= int64(slowBodyTime) && received-c.samples[1] < s.bounds.minBodyRate*int64(slowBodyTime)/int64(time.Second) {
				slow = append(slow, c)
			}
		}
		c.samples[0], c.samples[1] = received, c.samples[0]
	}
	if !crowded || bodies < 2 {
		return
	}
	for _, c := range slow {
		if c.cutBody() {
			s.recordCut(cutBodyRate)
		}
	}
}

// beginBody marks that the body of a request is being received. It returns false if the connection has been
// closed; the request must not run then.
func (c *serverConn) beginBody() bool {
	if c == nil {
		return true
	}
	c.bodyMu.Lock()
	defer c.bodyMu.Unlock()
	c.bodyCut = false
	return c.enter(connBusy, connBody)
}

// endBody marks that a request is being answered. It returns false if its body was cut or the connection has
// been closed; the request must not run then.
func (c *serverConn) endBody() bool {
	if c == nil {
		return true
	}
	c.bodyMu.Lock()
	defer c.bodyMu.Unlock()
	return c.enter(connBody, connAnswering) && !c.bodyCut
}

// refused marks that the request has been answered with a refusal and that its connection ends.
func (c *serverConn) refused() {
	if c != nil {
		c.enter(connAnswering, connRefused)
	}
}

// cutBody makes the reading of a body fail. It returns false if no body is being received.
func (c *serverConn) cutBody() bool {
	c.bodyMu.Lock()
	defer c.bodyMu.Unlock()
	if c.state.Load() != connBody || c.bodyCut {
		return false
	}
	c.bodyCut = true
	_ = c.SetReadDeadline(time.Unix(0, 1)) // fails only on a closed connection
	return true
}
