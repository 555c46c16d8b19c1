// Command capacity measures what control costs one daemon as the system grows: the
// reducer's time, allocations and state with generated events, and the size of the
// messages. docs/CAPACITY.md says what follows.
package main

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/test/measure/world"
)

var sizes = []world.Size{{Daemons: 9, Hosts: 54}, {Daemons: 40, Hosts: 180}, {Daemons: 120, Hosts: 360}, {Daemons: 340, Hosts: 730}}

// bench is one kind of event.
type bench struct {
	name string
	run  func(w *world.World, n int)
}

var benches = []bench{
	{"tick, nothing due", func(w *world.World, _ int) { w.Reduce(step.Tick{}) }},
	{"heartbeat of a peer", func(w *world.World, n int) { w.Reduce(w.Heartbeat(1 + n%(w.Size.Daemons-1))) }},
	{"digest of 2 hosts", func(w *world.World, n int) { w.Reduce(w.Digest(2*n%w.Size.Hosts, 2)) }},
	{"answer to an own probe", func(w *world.World, n int) { w.Reduce(w.Probe(n % w.Size.Hosts)) }},
	{"request: route, dispatch, end", func(w *world.World, n int) {
		r := w.Request(n)
		w.Reduce(r)
		w.Reduce(world.Ended(r))
	}},
	{"change of a contract", func(w *world.World, _ int) { w.Reduce(w.Change()) }},
	{"change of a domain", func(w *world.World, n int) { w.Reduce(w.Repair(n)) }},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	fmt.Print("| event (µs, allocations) |")
	for _, s := range sizes {
		fmt.Printf(" %d daemons, %d hosts |", s.Daemons, s.Hosts)
	}
	fmt.Print("\n|---|---|---|---|---|\n")
	for _, b := range benches {
		fmt.Printf("| %s |", b.name)
		for _, s := range sizes {
			r := measure(s, b)
			fmt.Printf(" %.2f, %d |", float64(r.NsPerOp())/1000, r.AllocsPerOp())
		}
		fmt.Println()
	}
	fmt.Print("| **a second of control, ms** |")
	for _, s := range sizes {
		r := measure(s, bench{run: second})
		fmt.Printf(" **%.2f** |", float64(r.NsPerOp())/1e6)
	}
	fmt.Println()
	fmt.Print("| state, MB |")
	for _, s := range sizes {
		fmt.Printf(" %.2f |", stateMegabytes(s))
	}
	fmt.Println()
	return messages()
}

func measure(s world.Size, b bench) testing.BenchmarkResult {
	return testing.Benchmark(func(tb *testing.B) {
		w := world.New(s)
		tb.ReportAllocs()
		n := 0
		for tb.Loop() {
			b.run(w, n)
			n++
		}
	})
}

const (
	ticksPerSecond    = 20
	requestsPerSecond = 6 // of one daemon
	digestsPerSecond  = 2 // of each peer
	probesPerSecond   = 3 // of each host that is this daemon's to probe
)

// second brings what a second brings to one daemon: ticks, heartbeats at their
// interval, digests, answers to probes, and its share of requests.
func second(w *world.World, n int) {
	peers := w.Size.Daemons - 1
	perTick := float64(peers) / w.HeartbeatInterval().Seconds() / ticksPerSecond
	beats := int(math.Ceil(perTick))
	digests := max(1, peers*digestsPerSecond/ticksPerSecond)
	hosts := max(1, w.Size.Hosts/w.Size.Daemons)
	for t := range ticksPerSecond {
		at := n*ticksPerSecond + t
		w.Pass(time.Second / ticksPerSecond)
		for i := range beats {
			w.Reduce(w.Heartbeat(1 + (at*beats+i)%peers))
		}
		for i := range digests {
			w.Reduce(w.Digest((at*digests+i)*hosts%w.Size.Hosts, hosts))
		}
		if t < probesPerSecond*hosts {
			w.Reduce(w.Probe(t % hosts))
		}
		if t < requestsPerSecond {
			r := w.Request(at)
			w.Reduce(r)
			w.Reduce(world.Ended(r))
		}
		w.Reduce(step.Tick{})
	}
}

// stateMegabytes is the heap that the state holds.
func stateMegabytes(s world.Size) float64 {
	before := heap()
	w := world.New(s)
	held := heap() - before
	runtime.KeepAlive(w)
	return float64(held) / (1 << 20)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// messages prints the size of what daemons tell each other.
func messages() error {
	w := world.New(sizes[len(sizes)-1])
	for _, m := range []struct {
		name string
		v    any
	}{
		{"heartbeat, 3 targets in flight", w.Beat(1)},
		{"digest of 1 host", w.Reports(0, 1)},
		{"digest of 2 hosts", w.Reports(0, 2)},
		{"digest of 8 hosts", w.Reports(0, 8)},
	} {
		text, err := cbor.Marshal(m.v)
		if err != nil {
			return err
		}
		fmt.Printf("message: %s: %d bytes of CBOR\n", m.name, len(text))
	}
	return nil
}
