package logging

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// TestBlockedOutputDoesNotBlockLogging logs more lines than the queue holds to a pipe that is
// not read. No call may block. Once the pipe is read, a line must report the dropped lines.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	reader, writer := io.Pipe()
	b := NewNonBlockingWriter(writer)
	log, err := New(b, config.Log{Format: "json", Level: "info"})
	require.NoError(t, err)
	began := time.Now()
	for range 3 * maxQueuedLines {
		Event(log, event.RequestAnswered, event.F("request", "r"))
	}
	require.Less(t, time.Since(began), time.Second)
	require.NotZero(t, b.Dropped())
	go func() {
		time.Sleep(10 * time.Millisecond)
		b.Close()
		_ = writer.Close()
	}()
	text, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Contains(t, string(text), `"msg":"log lines dropped","count":`)
	require.LessOrEqual(t, strings.Count(string(text), "\n"), maxQueuedLines+2)
}

// TestLinesWrittenAsTheWriterCloses guards against a panic of a process whose goroutines log while it exits.
func TestLinesWrittenAsTheWriterCloses(t *testing.T) {
	w := NewNonBlockingWriter(io.Discard)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 100 {
				_, _ = w.Write([]byte("line\n"))
			}
		})
	}
	w.Close()
	writers.Wait()
	require.NotPanics(t, func() { _, _ = w.Write([]byte("late\n")) })
}
