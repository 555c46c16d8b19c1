package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

func item(id, customer string) Item {
	return Item{ID: step.RequestID(id), Customer: customer, Deadline: time.Hour, Cost: 100}
}

func push(t *testing.T, q *Queue, items ...Item) {
	t.Helper()
	for _, it := range items {
		_, ok := q.Push(step.Time{}, it, 1)
		require.True(t, ok)
	}
}

func pop(t *testing.T, q *Queue) Item {
	t.Helper()
	it, ok := q.Pop(step.Time{})
	require.True(t, ok)
	return it
}

// TestPutBackIsNotCharged pops a request and puts it back many times, as happens at each tick
// while no slot is free. The customer must not be charged for it and must keep its turn.
func TestPutBackIsNotCharged(t *testing.T) {
	q := NewQueue(Defaults())
	push(t, q, item("a1", "a"), item("b1", "b"), item("a2", "a"))
	for range 100 {
		q.PutBack(pop(t, q))
	}
	require.Zero(t, q.byCustomer["a"].virtualFinish)
	var order []step.RequestID
	for q.Len() > 0 {
		order = append(order, pop(t, q).ID)
	}
	require.Equal(t, []step.RequestID{"a1", "b1", "a2"}, order)
}

func TestPutBackKeepsOrderOfEqualArrivals(t *testing.T) {
	q := NewQueue(Defaults())
	push(t, q, item("a1", "a"), item("a2", "a"), item("a3", "a"))
	first, second := pop(t, q), pop(t, q)
	q.PutBack(second)
	q.PutBack(first)
	for _, want := range []step.RequestID{"a1", "a2", "a3"} {
		require.Equal(t, want, pop(t, q).ID)
	}
}
