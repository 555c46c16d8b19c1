package gateway

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// unbudgetedBytes are free for each answer, so that a few that never end leave small ones room.
	unbudgetedBytes = 64 << 10
	// bufferShare is the fraction of the memory setting for all that answers hold beyond that.
	bufferShare = 0.2
	// bufferGrowth is how much memory a growing buffer takes for each byte that it holds, until the
	// copies that it has outgrown are collected.
	bufferGrowth = 3
)

var errBuffersFull = errors.New("answers hold too much memory: answer treated as broken")

// bufferBudget is the memory for large answers that are held. It is safe for concurrent use.
type bufferBudget struct{ free atomic.Int64 }

func newBufferBudget(memoryMiB int) *bufferBudget {
	b := &bufferBudget{}
	b.free.Store(int64(bufferShare * float64(memoryMiB) * (1 << 20)))
	return b
}

// buffer is the memory that one answer holds.
type buffer struct {
	budget *bufferBudget
	taken  int64
}

// grow makes room for an answer that has grown to n bytes. It fails with errBuffersFull.
func (b *buffer) grow(n int) error {
	need := (int64(n)-unbudgetedBytes)*bufferGrowth - b.taken
	if need <= 0 {
		return nil
	}
	need = (need/unbudgetedBytes + 1) * unbudgetedBytes
	if b.budget.free.Add(-need) < 0 {
		b.budget.free.Add(need)
		return errBuffersFull
	}
	b.taken += need
	return nil
}

// release gives the memory back.
func (b *buffer) release() {
	b.budget.free.Add(b.taken)
	b.taken = 0
}

// budgetedReader reads an answer into a buffer.
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
