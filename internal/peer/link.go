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

// keepAlive returns a sign of life that announces the longest time to the next.
func keepAlive(every time.Duration) frame {
	f, err := encodeFrame(numKeepAlive, every)
	if err != nil {
		panic(err) // a duration always encodes
	}
	return f
}

// link is one open connection to a daemon.
type link struct {
	peer    hello
	conn    *websocket.Conn
	dialled bool // by this side
	since   time.Time

	ctx     context.Context // ends the reading
	stop    context.CancelFunc
	done    chan struct{}
	once    sync.Once
	closing sync.WaitGroup

	mu        sync.Mutex
	queue     []frame
	queued    int // bytes
	heartbeat *frame
	work      chan struct{} // holds one token while there is something to write
}

func newLink(h hello, conn *websocket.Conn, dialled bool) *link {
	now := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	return &link{
		ctx: ctx, stop: stop, peer: h, conn: conn, dialled: dialled, since: now,
		done: make(chan struct{}), work: make(chan struct{}, 1),
	}
}

// push queues a frame without blocking. The newest heartbeat replaces one that waits.
func (l *link) push(f frame) {
	l.mu.Lock()
	switch {
	case f.number == numHeartbeat:
		l.heartbeat = &f
	case len(l.queue) > 0 && (len(l.queue) >= maxQueued || l.queued+len(f.bytes) > maxQueuedBytes):
		l.mu.Unlock()
		dropped.Inc()
		l.close(codeSlow, errOverflow.Error())
		return
	default:
		l.queue = append(l.queue, f)
		l.queued += len(f.bytes)
	}
	l.mu.Unlock()
	select {
	case l.work <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (l *link) take() []frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := l.queue
	if l.heartbeat != nil {
		frames = append(frames, *l.heartbeat)
	}
	l.queue, l.queued, l.heartbeat = nil, 0, nil
	return frames
}

// empty reports whether nothing waits to be written.
func (l *link) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && l.heartbeat == nil
}

// close ends the link; the close frame is tried in the background since the
// connection may be dead.
func (l *link) close(code websocket.StatusCode, reason string) {
	l.once.Do(func() {
		close(l.done)
		if code == 0 {
			l.stop()
			_ = l.conn.CloseNow()
			return
		}
		l.closing.Go(func() {
			defer l.stop()
			timer := time.AfterFunc(closeBound, l.stop)
			defer timer.Stop()
			_ = l.conn.Close(code, shorten(reason))
		})
	})
}

// write sends what is queued, and a sign of life when nothing was sent for a while,
// which is announced whenever it changes.
func (l *link) write(interval func() time.Duration, silence time.Duration) {
	every := interval()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	frames := []frame{keepAlive(every)}
	for {
		for _, f := range frames {
			if err := l.writeFrame(f, max(silence, silentSigns*every)); err != nil {
				l.close(0, "")
				return
			}
		}
		select {
		case <-l.done:
			return
		case <-ticker.C:
			frames = []frame{keepAlive(every)}
		case <-l.work:
			frames = l.take()
		}
		if now := interval(); now != every {
			every = now
			frames = append(frames, keepAlive(every))
		}
		ticker.Reset(every)
	}
}

func (l *link) writeFrame(f frame, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	sent.count(f.number, len(f.bytes))
	return l.conn.Write(ctx, websocket.MessageBinary, f.bytes)
}

// read hands on messages until the link ends or is silent for longer than the
// announced interval allows.
func (l *link) read(silence time.Duration, handle func(step.Message), learn func([]Address)) {
	bound := silence
	for {
		e, err := l.readEnvelope(bound)
		if err != nil {
			l.close(0, "")
			return
		}
		switch e.Number {
		case numKeepAlive:
			var announced time.Duration
			if cbor.Unmarshal(e.Payload, &announced) == nil {
				bound = max(silence, silentSigns*min(announced, KeepAliveMost))
			}
		case numAddresses:
			var known []Address
			if cbor.Unmarshal(e.Payload, &known) == nil {
				learn(known)
			}
		default:
			l.handle(e, handle)
		}
	}
}

func (l *link) handle(e envelope, handle func(step.Message)) {
	m, err := decodeMessage(e.Number, e.Payload)
	if err != nil {
		broken.Inc()
		return
	}
	if m == nil {
		return // of a newer release
	}
	handle(m)
}

func (l *link) readEnvelope(silence time.Duration) (envelope, error) {
	ctx, cancel := context.WithTimeout(l.ctx, silence)
	defer cancel()
	_, b, err := l.conn.Read(ctx)
	if err != nil {
		return envelope{}, err
	}
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return envelope{}, err
	}
	received.count(e.Number, len(b))
	return e, nil
}
