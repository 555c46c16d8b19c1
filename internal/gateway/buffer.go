package gateway

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// smallBytes is the size of an answer or body up to which it is counted as small. Small ones and large
	// ones have memory of their own, so that large ones that never end leave small ones room.
	smallBytes = 64 << 10
	// largeAnswerShare and largeBodyShare are the fractions of the memory setting for all large answers,
	// and all large bodies.
	largeAnswerShare = 0.2
	largeBodyShare   = 0.25
	// smallShare is the fraction of the memory setting for all small answers, and for all small bodies.
	smallShare = 0.1
	// bufferGrowth is how much memory a growing buffer takes for each byte that it holds, until the
	// copies that it has outgrown are collected.
	bufferGrowth = 3
	// firstSmallBytes is what a small answer or body of known length is first given, and smallGrowth the
	// factor by which that grows. Most bodies need one or two allocations.
	firstSmallBytes = 2 << 10
	smallGrowth     = 6
)

var (
	errBuffersFull = errors.New("bodies or answers hold too much memory: request refused, or answer treated as broken")
	errAnswersFull = errors.New("answers to slow callers hold too much memory: request refused")
)

// bufferBudget is the memory for all answers, or for all bodies. It is safe for concurrent use.
type bufferBudget struct {
	small atomic.Int64 // left for small ones
	large atomic.Int64 // left for large ones
	// smallTotal and largeTotal are small and large of an unused budget.
	smallTotal, largeTotal int64
	// spare reports whether half of the memory for large ones has to stay free, since much else is in use;
	// nil if never.
	spare func() bool
}

func newBufferBudget(memoryMiB int, largeShare float64) *bufferBudget {
	b := &bufferBudget{smallTotal: shareOf(memoryMiB, smallShare), largeTotal: shareOf(memoryMiB, largeShare)}
	b.small.Store(b.smallTotal)
	b.large.Store(b.largeTotal)
	return b
}

func newAnswerBudget(memoryMiB int) *bufferBudget {
	return newBufferBudget(memoryMiB, largeAnswerShare)
}

func newBodyBudget(memoryMiB int) *bufferBudget { return newBufferBudget(memoryMiB, largeBodyShare) }

// nearlyFull reports whether small answers hold so much that those of requests under way may need the rest.
func (b *bufferBudget) nearlyFull() bool { return b.small.Load() < b.smallTotal/2 }

// halfUsed reports whether more than half of the memory for small ones, or of that for large ones, is taken.
func (b *bufferBudget) halfUsed() bool {
	return b.nearlyFull() || b.large.Load() < b.largeTotal/2
}

func shareOf(memoryMiB int, share float64) int64 {
	return int64(share * float64(memoryMiB) * (1 << 20))
}

// buffer is the memory that one answer or body holds.
type buffer struct {
	budget       *bufferBudget
	small, large int64 // taken from the budget; one of them is 0
}

// grow makes room for a buffer that is filled piece by piece and has n bytes. It fails with errBuffersFull.
func (b *buffer) grow(n int) error { return b.reserve(int64(n), bufferGrowth) }

// reserve makes room for n bytes that take copies times their size. It fails with errBuffersFull.
func (b *buffer) reserve(n, copies int64) error {
	from, taken := &b.budget.small, &b.small
	isLarge := n > smallBytes || b.large > 0
	if isLarge {
		from, taken = &b.budget.large, &b.large
	}
	need, keepFree := max(0, n*copies-*taken), int64(0)
	if isLarge && b.budget.spare != nil && b.budget.spare() {
		keepFree = b.budget.largeTotal / 2
	}
	if !take(from, need, keepFree) {
		return errBuffersFull
	}
	*taken += need
	if isLarge {
		b.budget.small.Add(b.small)
		b.small = 0
	}
	return nil
}

// take takes n bytes of what is left, or none if fewer than keepFree bytes would remain.
func take(left *atomic.Int64, n, keepFree int64) bool {
	if n == 0 {
		return true
	}
	if left.Add(-n) < keepFree {
		left.Add(n)
		return false
	}
	return true
}

// settle gives back what was needed for growing beyond the n bytes that the whole takes.
func (b *buffer) settle(n int64) {
	small, large := min(b.small, n), min(b.large, n)
	b.budget.small.Add(b.small - small)
	b.budget.large.Add(b.large - large)
	b.small, b.large = small, large
}

// release gives the memory back.
func (b *buffer) release() { b.settle(0) }

// readWhole reads r to its end into memory of the buffer. length is that of all that follows, if it is
// known, else -1: then what is read takes copies as it grows.
func (b *buffer) readWhole(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		body, err := io.ReadAll(&budgetedReader{Reader: r, buffer: b})
		b.settle(int64(cap(body)))
		return body, err
	}
	if length <= smallBytes {
		return b.readSmall(r, int(length))
	}
	if err := b.reserve(length, 1); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

// readSmall reads n bytes into memory that grows as they arrive, since bytes that are announced may never come.
func (b *buffer) readSmall(r io.Reader, n int) ([]byte, error) {
	var body []byte
	read := 0
	for size := min(n, firstSmallBytes); ; size = min(n, size*smallGrowth) {
		if err := b.reserve(int64(size), 1); err != nil {
			return nil, err
		}
		grown := make([]byte, size)
		copy(grown, body)
		body = grown
		more, err := io.ReadFull(r, body[read:])
		read += more
		if err != nil {
			return body[:read], err
		}
		if read == n {
			return body, nil
		}
	}
}

// budgetedReader reads an answer or a body into a buffer.
type budgetedReader struct {
	io.Reader
	buffer *buffer
	n      int
}

func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	if errGrow := r.buffer.grow(r.n); errGrow != nil {
		return n, errGrow
	}
	return n, err
}
