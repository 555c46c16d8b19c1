package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

var errOverflow = errors.New("the peer takes messages more slowly than they come")

// keepAliveFrame returns a keep-alive message, which announces the sender's current
// keep-alive interval to the receiver.
func keepAliveFrame(interval time.Duration) frame {
	f, err := encodeFrame(msgKeepAlive, interval)
	if err != nil {
		panic(err) // a duration always encodes
	}
	return f
}

// link is one open connection to another daemon, which has passed the handshake. One
// goroutine reads from it and one writes the queued frames.
type link struct {
	peer     hello
	conn     *websocket.Conn
	dialled  bool // whether this side dialled
	openedAt time.Time

	readCtx    context.Context // of every read; its end closes the connection
	cancelRead context.CancelFunc
	closed     chan struct{} // closed when close is called
	closeOnce  sync.Once
	closing    sync.WaitGroup // the closing handshake, if any

	mu          sync.Mutex
	queue       []frame
	queuedBytes int           // of queue
	heartbeat   *frame        // waiting to be written after queue; only the newest is kept
	writeSignal chan struct{} // holds one token while frames may be waiting
}

func newLink(h hello, conn *websocket.Conn, dialled bool) *link {
	now := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	return &link{
		readCtx: ctx, cancelRead: stop, peer: h, conn: conn, dialled: dialled, openedAt: now,
		closed: make(chan struct{}), writeSignal: make(chan struct{}, 1),
	}
}

// push queues a frame without blocking. A heartbeat replaces one that is still queued. If the
// queue is full, push drops the frame and closes the link.
func (l *link) push(f frame) {
	l.mu.Lock()
	switch {
	case f.typ == msgHeartbeat:
		l.heartbeat = &f
	case len(l.queue) > 0 && (len(l.queue) >= maxQueuedFrames || l.queuedBytes+len(f.data) > maxQueuedBytes):
		l.mu.Unlock()
		droppedMessages.Inc()
		l.close(codeQueueOverflow, errOverflow.Error())
		return
	default:
		l.queue = append(l.queue, f)
		l.queuedBytes += len(f.data)
	}
	l.mu.Unlock()
	select {
	case l.writeSignal <- struct{}{}:
	default:
	}
}

// takeQueued removes and returns all queued frames, with the heartbeat last.
func (l *link) takeQueued() []frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := l.queue
	if l.heartbeat != nil {
		frames = append(frames, *l.heartbeat)
	}
	l.queue, l.queuedBytes, l.heartbeat = nil, 0, nil
	return frames
}

// empty reports whether no frame waits to be written.
func (l *link) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && l.heartbeat == nil
}

// close ends the link. With a code it sends a close frame in the background, since the
// connection may be dead; with code 0 it cuts the connection at once.
func (l *link) close(code websocket.StatusCode, reason string) {
	l.closeOnce.Do(func() {
		close(l.closed)
		if code == 0 {
			l.cancelRead()
			_ = l.conn.CloseNow()
			return
		}
		l.closing.Go(func() {
			defer l.cancelRead()
			timer := time.AfterFunc(closeTimeout, l.cancelRead)
			defer timer.Stop()
			_ = l.conn.Close(code, truncateReason(reason))
		})
	})
}

// write sends the queued frames until the link ends. It sends a keep-alive frame when it has
// sent nothing for one interval, and whenever the interval has changed. A write that takes
// longer than both the link timeout and minTimeoutIntervals intervals closes the link.
func (l *link) write(interval func() time.Duration, timeout time.Duration) {
	current := interval()
	ticker := time.NewTicker(current)
	defer ticker.Stop()
	frames := []frame{keepAliveFrame(current)}
	for {
		for _, f := range frames {
			if err := l.writeFrame(f, max(timeout, minTimeoutIntervals*current)); err != nil {
				l.close(0, "")
				return
			}
		}
		select {
		case <-l.closed:
			return
		case <-ticker.C:
			frames = []frame{keepAliveFrame(current)}
		case <-l.writeSignal:
			frames = l.takeQueued()
		}
		if now := interval(); now != current {
			current = now
			frames = append(frames, keepAliveFrame(current))
		}
		ticker.Reset(current)
	}
}

func (l *link) writeFrame(f frame, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sentCounters.count(f.typ, len(f.data))
	return l.conn.Write(ctx, websocket.MessageBinary, f.data)
}

// read passes received messages to handle, and received addresses to handleAddresses, until
// the link ends. It closes the link when nothing is received for the link timeout or for
// minTimeoutIntervals of the keep-alive interval that the peer announced, whichever is
// longer.
func (l *link) read(timeout time.Duration, handle func(step.Message), handleAddresses func([]Address)) {
	effectiveTimeout := timeout
	for {
		e, err := l.readEnvelope(effectiveTimeout)
		if err != nil {
			l.close(0, "")
			return
		}
		switch e.Type {
		case msgKeepAlive:
			var announced time.Duration
			if cbor.Unmarshal(e.Payload, &announced) == nil {
				effectiveTimeout = max(timeout, minTimeoutIntervals*min(announced, MaxKeepAliveInterval))
			}
		case msgAddresses:
			var known []Address
			if cbor.Unmarshal(e.Payload, &known) == nil {
				handleAddresses(known)
			}
		default:
			l.handle(e, handle)
		}
	}
}

func (l *link) handle(e envelope, handle func(step.Message)) {
	m, err := decodeMessage(e.Type, e.Payload)
	if err != nil {
		undecodable.Inc()
		return
	}
	if m == nil {
		return // a message type of a newer release
	}
	handle(m)
}

func (l *link) readEnvelope(timeout time.Duration) (envelope, error) {
	ctx, cancel := context.WithTimeout(l.readCtx, timeout)
	defer cancel()
	_, b, err := l.conn.Read(ctx)
	if err != nil {
		return envelope{}, err
	}
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return envelope{}, err
	}
	receivedCounters.count(e.Type, len(b))
	return e, nil
}
