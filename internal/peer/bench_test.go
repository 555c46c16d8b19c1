package peer

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// hub is a mesh with links to many other meshes (leaves) in the same process.
type hub struct {
	*Mesh
	leaves        []*link      // the leaves' ends of the links
	receivedCount atomic.Int64 // messages received by the hub and by all leaves
}

func startHub(b *testing.B, members int) *hub {
	h := &hub{}
	h.Mesh = benchMesh(b, "hub", func(e step.Event) {
		if _, ok := e.(step.PeerMessage); ok {
			h.receivedCount.Add(1)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = h.Run(listener) }()
	for i := range members - 1 {
		leaf := benchMesh(b, fmt.Sprintf("leaf-%03d", i), nil)
		conn, hello, err := leaf.open(leaf.ctx, Address{Address: listener.Addr().String()})
		require.NoError(b, err)
		conn.SetReadLimit(MaxMessageBytes)
		l := newLink(hello, conn, true)
		h.leaves = append(h.leaves, l)
		go l.write(leaf.keepAliveInterval, leaf.set.LinkTimeout)
		go l.read(leaf.set.LinkTimeout, func(step.Message) { h.receivedCount.Add(1) }, func([]Address) {})
	}
	require.Eventually(b, func() bool { return h.linkCount.Load() == int64(members-1) }, waitTimeout, time.Millisecond)
	return h
}

func benchMesh(b *testing.B, name string, emit func(step.Event)) *Mesh {
	m := New(Settings{
		Cluster: "walvis", Daemon: name, Incarnation: incarnation, Address: "127.0.0.1:7100",
		Key: []byte("shared"), KeepAliveInterval: time.Hour, LinkTimeout: time.Hour, Emit: emit,
	})
	b.Cleanup(func() { m.Stop(b.Context()) })
	return m
}

// incarnation has the length of a real incarnation ID, which matters for B/message.
const incarnation = "0190b5e2-7f6c-7d3e-9d61-1f2c5a6b7c8d"

// BenchmarkHeartbeatRound sends one heartbeat in each direction over every link of one
// daemon. The CPU time per message includes both sending and receiving it.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, members := range []int{9, 340} {
		for _, loads := range []int{0, 20} {
			b.Run(fmt.Sprintf("members=%d/loads=%d", members, loads), func(b *testing.B) { benchmarkRounds(b, members, loads) })
		}
	}
}

func benchmarkRounds(b *testing.B, members, loads int) {
	before := memoryInUse()
	h := startHub(b, members)
	used := memoryInUse() - before
	heartbeat := step.Heartbeat{Incarnation: incarnation, Applied: 1_000_000, Newest: 999_999, Platform: true}
	for i := range loads {
		heartbeat.Loads = append(heartbeat.Loads, step.Load{Target: fmt.Sprintf("group-%03d", i), InFlight: 7, Tokens: 2900})
	}
	f, err := encodeMessage(heartbeat)
	require.NoError(b, err)
	h.receivedCount.Store(0)
	cpu := cpuTime(b)
	rounds := 0
	for b.Loop() {
		rounds++
		require.NoError(b, h.Send("", heartbeat))
		for _, leaf := range h.leaves {
			leaf.push(f)
		}
		for h.receivedCount.Load() < int64(rounds*2*(members-1)) {
			time.Sleep(50 * time.Microsecond)
		}
	}
	messages := float64(2 * rounds * (members - 1))
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/messages, "µs/message")
	b.ReportMetric(float64(len(f.data)), "B/message")
	b.ReportMetric(float64(used)/float64(2*(members-1))/1024, "KiB/link")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
