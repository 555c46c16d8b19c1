package gateway

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSmallAnswersNeedNoBudget fills the budget with large answers.
func TestSmallAnswersNeedNoBudget(t *testing.T) {
	budget := newAnswerBudget(1)
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
	require.Equal(t, newAnswerBudget(1).large.Load(), budget.large.Load())
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
	require.Equal(t, 98, small, "large bodies leave small ones room, within bounds")
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
