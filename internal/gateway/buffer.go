package gateway

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// smallBytes of each answer and each body are counted apart from the rest, so that a few large ones
	// that never end leave small ones room.
	smallBytes = 64 << 10
	// largeAnswerShare and largeBodyShare are the fractions of the memory setting for all that answers and
	// bodies hold beyond their first smallBytes.
	largeAnswerShare = 0.2
	largeBodyShare   = 0.25
	// smallBodyShare is the fraction of the memory setting for the first smallBytes of all bodies.
	smallBodyShare = 0.1
	// bufferGrowth is how much memory a growing buffer takes for each byte that it holds, until the
	// copies that it has outgrown are collected.
	bufferGrowth = 3
)

var errBuffersFull = errors.New("answers or bodies hold too much memory: answer treated as broken, or request refused")

// bufferBudget is the memory for all answers, or for all bodies. It is safe for concurrent use.
type bufferBudget struct {
	small atomic.Int64 // left for the first smallBytes of each
	large atomic.Int64 // left for the rest of each
}

func newBufferBudget(smallBytesOfAll, largeBytesOfAll int64) *bufferBudget {
	b := &bufferBudget{}
	b.small.Store(smallBytesOfAll)
	b.large.Store(largeBytesOfAll)
	return b
}

func newAnswerBudget(memoryMiB int) *bufferBudget {
	return newBufferBudget(math.MaxInt64, shareOf(memoryMiB, largeAnswerShare))
}

func newBodyBudget(memoryMiB int) *bufferBudget {
	return newBufferBudget(shareOf(memoryMiB, smallBodyShare), shareOf(memoryMiB, largeBodyShare))
}

func shareOf(memoryMiB int, share float64) int64 {
	return int64(share * float64(memoryMiB) * (1 << 20))
}

// buffer is the memory that one answer or body holds.
type buffer struct {
	budget       *bufferBudget
	small, large int64 // taken from the budget
}

// grow makes room for a buffer that is filled piece by piece and has n bytes. It fails with errBuffersFull.
func (b *buffer) grow(n int) error { return b.reserve(int64(n), bufferGrowth) }

// reserve makes room for n bytes that take copies times their size. It fails with errBuffersFull.
func (b *buffer) reserve(n, copies int64) error {
	small := max(0, min(n, smallBytes)*copies-b.small)
	large := max(0, (n-smallBytes)*copies-b.large)
	if !take(&b.budget.small, small) {
		return errBuffersFull
	}
	if !take(&b.budget.large, large) {
		b.budget.small.Add(small)
		return errBuffersFull
	}
	b.small += small
	b.large += large
	return nil
}

// take takes n bytes of what is left, or none if there are fewer.
func take(left *atomic.Int64, n int64) bool {
	if left.Add(-n) < 0 {
		left.Add(n)
		return false
	}
	return true
}

// settle gives back what was needed for growing beyond the n bytes that the whole takes.
func (b *buffer) settle(n int64) {
	small, large := min(b.small, n, smallBytes), max(0, min(b.large, n-smallBytes))
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
	if err := b.reserve(length, 1); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
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
