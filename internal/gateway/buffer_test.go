package gateway

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSmallAnswersNeedNoBudget fills the budget with large answers.
func TestSmallAnswersNeedNoBudget(t *testing.T) {
	budget := newBufferBudget(1)
	read := func(n int) (*buffer, error) {
		b := &buffer{budget: budget}
		_, err := io.ReadAll(&budgetedReader{Reader: bytes.NewReader(make([]byte, n)), buffer: b})
		return b, err
	}
	var held []*buffer
	for {
		b, err := read(2 * unbudgetedBytes)
		if err != nil {
			require.ErrorIs(t, err, errBuffersFull)
			b.release()
			break
		}
		held = append(held, b)
	}
	require.NotEmpty(t, held)
	_, err := read(unbudgetedBytes)
	require.NoError(t, err)
	for _, b := range held {
		b.release()
	}
	require.Equal(t, newBufferBudget(1).free.Load(), budget.free.Load())
	_, err = read(2 * unbudgetedBytes)
	require.NoError(t, err)
}
