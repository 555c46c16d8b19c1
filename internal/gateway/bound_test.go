package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// startBoundedDaemon starts a daemon with the least bound on connections.
func startBoundedDaemon(t *testing.T, kind site.Kind, target http.HandlerFunc) *testDaemon {
	return startDaemonWith(t, kind, time.Second, target, func(set *config.Gateway) { set.MaxConnections = minConnections })
}

func (d *testDaemon) inState(state int32) (n int) {
	d.callers.conns.mu.Lock()
	defer d.callers.conns.mu.Unlock()
	for c := range d.callers.conns.open {
		if c.state.Load() == state {
			n++
		}
	}
	return n
}

// TestLeastUsefulConnectionIsClosed guards against a bound that closes connections that are being answered, or
// idle ones while others hold bodies or headers without progress.
func TestLeastUsefulConnectionIsClosed(t *testing.T) {
	proceed := make(chan struct{})
	d := startBoundedDaemon(t, site.Once, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testID) != "idle" {
			<-proceed
		}
		_, _ = io.WriteString(w, "ok")
	})
	answered, idle, body, silent := d.dial(), d.dial(), d.dial(), d.dial()
	require.NoError(t, answered.send(head("answered", 9*time.Second, 4)+"body"))
	require.NoError(t, idle.send(head("idle", 9*time.Second, 0)))
	_, _, err := idle.answer()
	require.NoError(t, err)
	require.NoError(t, body.send(head("body", 9*time.Second, 4)+"bo"))
	require.NoError(t, silent.send("POST /x HTTP/1.1\r\n"))
	time.Sleep(silenceTime + 100*time.Millisecond)
	isClosed := func(c *rawCaller) bool {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := c.in.ReadByte()
		var timeout net.Error
		return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
	}
	busy := func() {
		c := d.dial()
		id := fmt.Sprintf("busy-%d", time.Now().UnixNano())
		require.NoError(t, c.send(head(id, 9*time.Second, 0)))
		require.Eventually(t, func() bool { return d.arrived(id) }, 5*time.Second, time.Millisecond)
	}
	for range minConnections - 4 {
		busy()
	}
	require.False(t, isClosed(silent) || isClosed(body) || isClosed(idle), "there is room")
	busy()
	require.True(t, isClosed(silent))
	require.False(t, isClosed(body) || isClosed(idle))
	busy()
	require.True(t, isClosed(body))
	require.False(t, isClosed(idle))
	busy()
	require.True(t, isClosed(idle))
	newest := d.dial()
	require.Eventually(t, func() bool { return isClosed(newest) }, time.Second, time.Millisecond, "all others are being answered")
	require.False(t, d.arrived("body"), "closed before all of its body was read")
	close(proceed)
	require.NoError(t, answered.SetReadDeadline(time.Now().Add(5*time.Second)))
	status, _, err := answered.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// TestSlowBodiesAreRefusedOnlyInACrowd guards against slow bodies that hold memory while it is short, and
// against slow callers that are refused although nothing is.
func TestSlowBodiesAreRefusedOnlyInACrowd(t *testing.T) {
	d := startBoundedDaemon(t, site.Once, answerOK)
	send := func(id string, crowd int) (status int) {
		for range crowd {
			require.NoError(t, d.dial().send(head("crowd", 9*time.Second, 4)+"b"))
		}
		c := d.dial()
		require.NoError(t, c.send(head(id, 9*time.Second, 4)+"b"))
		require.Eventually(t, func() bool { return d.inState(connBody) == crowd+1 }, time.Second, time.Millisecond)
		time.Sleep(4500 * time.Millisecond) // the sweep may be late by an interval
		_ = c.send("ody")                   // fails if the connection has been closed
		status, _, err := c.answer()
		require.NoError(t, err)
		return status
	}
	require.Equal(t, http.StatusOK, send("alone", 0))
	require.True(t, d.arrived("alone"))
	require.Equal(t, http.StatusRequestTimeout, send("crowded", minConnections/2+1))
	require.False(t, d.arrived("crowded"), "408 says that it has not run")
}

// TestUnreadStreamIsEnded guards against callers that hold a server with a stream that they don't read.
func TestUnreadStreamIsEnded(t *testing.T) {
	left := make(chan struct{})
	d := startBoundedDaemon(t, site.Stream, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testID) != "unread" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		defer close(left)
		w.Header().Set("Content-Type", eventStreamType)
		for i := 1; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, bytes.Repeat([]byte("x"), 256<<10)); err != nil {
				return
			}
		}
	})
	for range minConnections/2 + 1 {
		require.NoError(t, d.dial().send(head("ok", time.Second, 0)))
	}
	c := d.dial()
	require.NoError(t, c.send(head("unread", time.Minute, 0)))
	select {
	case <-left:
	case <-time.After(crowdedUnreadTime + 10*time.Second):
		require.Fail(t, "the server still sends")
	}
}

// TestSlowReaderGetsItsAnswer guards against answers that end although their callers read on, slowly.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	const answerBytes = 8 << 20
	d := startBoundedDaemon(t, site.Once, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, answerBytes)) })
	for range minConnections/2 + 1 {
		d.dial()
	}
	require.Eventually(t, d.callers.conns.crowded, time.Second, time.Millisecond)
	c := d.dial()
	require.NoError(t, c.send(head("slow", 20*time.Second, 0)))
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	began := time.Now()
	for time.Since(began) < crowdedUnreadTime+3*time.Second {
		_, err := io.CopyN(io.Discard, resp.Body, 64<<10)
		require.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
}

// TestMaxConnections guards against a bound that exceeds the memory or the descriptors of the process.
func TestMaxConnections(t *testing.T) {
	var files syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files))
	descriptors := max(int(min(files.Cur, 1<<30))-reservedDescriptors, minConnections)
	for memoryMiB, connections := range map[int]int{32: 256, 112: 896, 136: 1088, 184: 1472, 284: 2272, 536: 4288} {
		require.Equal(t, min(connections, descriptors), maxConnections(0, memoryMiB))
	}
	require.Equal(t, min(100, descriptors), maxConnections(100, 112))
	require.Equal(t, descriptors, maxConnections(1<<30, 112))
	require.Equal(t, minConnections, maxConnections(1, 112))
}

// TestAnnouncedBytesHoldNoMemory guards against small bodies that hold what they announce and never send.
func TestAnnouncedBytesHoldNoMemory(t *testing.T) {
	budget := newBodyBudget(32)
	in, out := io.Pipe()
	b := &buffer{budget: budget}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := b.readWhole(in, smallBytes)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}()
	_, err := out.Write(make([]byte, 100))
	require.NoError(t, err)
	require.LessOrEqual(t, budget.smallTotal-budget.small.Load(), int64(firstSmallBytes))
	_ = out.Close()
	<-done
	b.release()
	require.Equal(t, budget.smallTotal, budget.small.Load())
}

// TestHeadersShareABudget guards against headers that never end and together exceed the memory.
func TestHeadersShareABudget(t *testing.T) {
	d := startDaemonWith(t, site.Once, time.Second, answerOK, func(set *config.Gateway) { set.MemoryMiB = 32 })
	const headBytes = 40 << 10
	lines := "POST /x HTTP/1.1\r\nX-More: " + string(bytes.Repeat([]byte("x"), headBytes))
	for range 100 {
		_ = d.dial().send(lines) // fails if the connection is closed meanwhile
	}
	bound := shareOf(32, headShare)
	require.Eventually(t, func() bool { return d.callers.conns.headBytes.Load() <= bound }, time.Second, time.Millisecond)
	c := d.dial()
	require.NoError(t, c.send(head("ordinary", time.Second, 0)))
	status, _, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// BenchmarkReadSmallBody measures the reading of a body of known length.
func BenchmarkReadSmallBody(b *testing.B) {
	budget := newBodyBudget(64)
	for _, n := range []int{300, 8 << 10, 60000} {
		body := make([]byte, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				held := &buffer{budget: budget}
				read, err := held.readWhole(bytes.NewReader(body), int64(n))
				require.NoError(b, err)
				runtime.KeepAlive(read)
				held.release()
			}
		})
	}
}
