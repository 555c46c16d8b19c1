package gateway

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSmallAnswersNeedNoBudget fills the budget with large answers.
func TestSmallAnswersNeedNoBudget(t *testing.T) {
	budget := newAnswerBudget(16)
	read := func(n int) (*buffer, error) {
		b := &buffer{budget: budget}
		_, err := io.ReadAll(&budgetedReader{Reader: bytes.NewReader(make([]byte, n)), buffer: b})
		return b, err
	}
	var held []*buffer
	for {
		b, err := read(2 * smallBytes)
		if err != nil {
			require.ErrorIs(t, err, errBuffersFull)
			b.release()
			break
		}
		held = append(held, b)
	}
	require.NotEmpty(t, held)
	_, err := read(smallBytes)
	require.NoError(t, err)
	for _, b := range held {
		b.release()
	}
	require.Equal(t, newAnswerBudget(16).large.Load(), budget.large.Load())
	_, err = read(2 * smallBytes)
	require.NoError(t, err)
}

// TestBodiesShareABudget guards against bodies that together take more memory than the process may have.
func TestBodiesShareABudget(t *testing.T) {
	const memoryMiB, large = 64, 4 << 20
	budget := newBodyBudget(memoryMiB)
	untouched := [2]int64{budget.small.Load(), budget.large.Load()}
	var held []*buffer
	read := func(n int, length int64) error {
		b := &buffer{budget: budget}
		body, err := b.readWhole(bytes.NewReader(make([]byte, n)), length)
		if err != nil {
			b.release()
			return err
		}
		require.Len(t, body, n)
		held = append(held, b)
		return nil
	}
	fill := func(n int, length int64) (taken int) {
		for ; ; taken++ {
			if err := read(n, length); err != nil {
				require.ErrorIs(t, err, errBuffersFull)
				return taken
			}
		}
	}
	known := fill(large, large)
	require.Equal(t, 4, known, "a quarter of the setting")
	require.ErrorIs(t, read(large, -1), errBuffersFull, "chunked")
	small := fill(smallBytes, smallBytes)
	require.Equal(t, 102, small, "large bodies leave small ones room, within bounds")
	for _, b := range held {
		b.release()
	}
	held = nil
	require.Equal(t, untouched, [2]int64{budget.small.Load(), budget.large.Load()})
	chunked := fill(large, -1)
	require.Positive(t, chunked)
	for _, b := range held {
		require.LessOrEqual(t, b.small+b.large, int64(bufferGrowth*large))
		b.release()
	}
	require.Equal(t, untouched, [2]int64{budget.small.Load(), budget.large.Load()})
}

// TestSmallAnswersToManyCallersStayWithinMemory guards against slow callers whose small answers add up beyond the memory of the process.
func TestSmallAnswersToManyCallersStayWithinMemory(t *testing.T) {
	const memoryMiB, callers = 284, 4000
	for _, length := range []int64{smallBytes, -1} {
		budget := newAnswerBudget(memoryMiB)
		held := int64(0)
		refusedAt := 0
		for i := range callers {
			if refusedAt == 0 && budget.nearlyFull() {
				refusedAt = i
			}
			b := &buffer{budget: budget}
			body, err := b.readWhole(bytes.NewReader(make([]byte, smallBytes)), length)
			if err != nil {
				require.ErrorIs(t, err, errBuffersFull)
				b.release()
				continue
			}
			held += int64(cap(body))
		}
		require.Less(t, held, int64(memoryMiB<<20/4))
		require.Positive(t, refusedAt, "new requests are refused")
		require.Less(t, int64(refusedAt*smallBytes), held*3/4, "before answers are")
	}
}

// TestExchangeGivesAllMemoryBack guards against memory that stays taken by a failure before a stream, or by an attempt that outlives its request.
func TestExchangeGivesAllMemoryBack(t *testing.T) {
	answers, bodies := newAnswerBudget(16), newBodyBudget(16)
	untouched := []int64{answers.small.Load(), answers.large.Load(), bodies.small.Load(), bodies.large.Load()}
	x := &exchange{bodyMemory: &buffer{budget: bodies}, streamStarted: true}
	require.NoError(t, x.bodyMemory.reserve(2*smallBytes, 1))
	answer := func(n int64) *bufferedAnswer {
		held := &buffer{budget: answers}
		require.NoError(t, held.reserve(n, 1))
		return &bufferedAnswer{held: held}
	}
	x.hold(answer(2 * smallBytes))
	x.hold(answer(smallBytes))
	x.finishAnswer()
	x.giveMemoryBack()
	x.hold(answer(smallBytes))
	require.Equal(t, untouched, []int64{answers.small.Load(), answers.large.Load(), bodies.small.Load(), bodies.large.Load()})
}
