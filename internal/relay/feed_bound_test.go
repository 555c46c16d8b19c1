package relay

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFeedKeepsBoundedBytes guards against changes that follow each other so fast that those of the retention time fill the memory.
func TestFeedKeepsBoundedBytes(t *testing.T) {
	f := NewFeed(func() time.Duration { return time.Minute }, time.Second)
	f.Restart(1, 10)
	events := json.RawMessage(`["` + strings.Repeat("x", 1<<20) + `"]`)
	for revision := uint64(11); revision <= 100; revision++ {
		f.Add(revision, events, true)
		kept := 0
		for _, b := range f.batches {
			kept += len(b.events)
		}
		require.LessOrEqual(t, kept, maxRetainedBytes)
	}
	c, err := f.Wait(t.Context(), 1, 98, 0)
	require.NoError(t, err)
	require.Len(t, c.Batches, 2)
	_, err = f.Wait(t.Context(), 1, 11, 0)
	require.ErrorIs(t, err, errTooOld, "such a daemon goes to the store")
	f.Add(101, json.RawMessage(`["`+strings.Repeat("x", maxRetainedBytes)+`"]`), true)
	_, err = f.Wait(t.Context(), 1, 100, 0)
	require.ErrorIs(t, err, errTooOld)
	_, err = f.Wait(t.Context(), 1, 101, 0)
	require.NoError(t, err)
}
