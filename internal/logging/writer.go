package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. Lines beyond it are dropped.
	maxQueuedLines = 2048
	// maxLinesPerSecond and maxLineBurst bound the rate of lines; lines beyond it are dropped.
	// The rate allows two lines per request at several times the load of a large daemon.
	maxLinesPerSecond = 1000
	maxLineBurst      = 2000
	// closeTimeout bounds how long Close waits for the queued lines to be written. Lines that
	// are then still queued may be lost.
	closeTimeout = 200 * time.Millisecond
)

// NonBlockingWriter writes lines to another writer in the background, so that a slow reader of
// the log never blocks the code that logs. It drops lines when its queue is full or the rate
// limit is exceeded; a line with the number of dropped lines precedes the next line written.
type NonBlockingWriter struct {
	out     io.Writer
	queue   chan []byte // lines to be written
	limiter *rate.Limiter
	dropped atomic.Uint64 // lines dropped since the latest report of dropped lines
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when all queued lines are written after Close
}

// NewNonBlockingWriter returns a writer to out and starts its goroutine. Close must be called
// to write the lines that are still queued.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{
		out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
	}
	go b.run()
	return b
}

// Write queues or drops one line. It never blocks and never returns an error.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the log yet.
func (b *NonBlockingWriter) Dropped() uint64 { return b.dropped.Load() }

// Close waits until the queued lines are written, for at most closeTimeout. Lines that are written after it
// may be lost: handlers may still log while the process exits.
func (b *NonBlockingWriter) Close() {
	close(b.closing)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

func (b *NonBlockingWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.queue:
			b.write(line)
			continue
		case <-b.closing:
		}
		for {
			select {
			case line := <-b.queue:
				b.write(line)
			default:
				return
			}
		}
	}
}

func (b *NonBlockingWriter) write(line []byte) {
	if n := b.dropped.Swap(0); n > 0 {
		line = append([]byte(fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)), line...)
	}
	// There is nowhere left to report a failure to write the log.
	_, _ = b.out.Write(line)
}
