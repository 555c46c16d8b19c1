// Command capacity measures the cost of control for one daemon as the system grows. It feeds
// generated events to the reducer and prints the time and allocations for each kind of event,
// the size of the state, and the size of the messages between daemons. docs/CAPACITY.md
// draws the conclusions.
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

// systemSizes are the systems that are measured, from small to large.
var systemSizes = []world.Size{{Daemons: 9, Hosts: 54}, {Daemons: 40, Hosts: 180}, {Daemons: 120, Hosts: 360}, {Daemons: 340, Hosts: 730}}

// bench is one kind of event.
type bench struct {
	name string
	run  func(w *world.World, n int) // applies event number n
}

var benches = []bench{
	{"tick, nothing due", func(w *world.World, _ int) { w.Reduce(step.Tick{}) }},
	{"heartbeat of a peer", func(w *world.World, n int) { w.Reduce(w.HeartbeatFrom(1 + n%(w.Size.Daemons-1))) }},
	{"digest of 2 hosts", func(w *world.World, n int) { w.Reduce(w.DigestFrom(2*n%w.Size.Hosts, 2)) }},
	{"answer to an own probe", func(w *world.World, n int) { w.Reduce(w.Probe(n % w.Size.Hosts)) }},
	{"request: route, dispatch, end", func(w *world.World, n int) {
		r := w.Request(n)
		w.Reduce(r)
		w.Reduce(world.AttemptCompleted(r))
	}},
	{"change of a contract", func(w *world.World, _ int) { w.Reduce(w.ContractChange()) }},
	{"change of a domain", func(w *world.World, n int) { w.Reduce(w.DomainChange(n)) }},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run prints all tables.
func run() error {
	fmt.Print("| event (µs, allocations) |")
	for _, s := range systemSizes {
		fmt.Printf(" %d daemons, %d hosts |", s.Daemons, s.Hosts)
	}
	fmt.Print("\n|---|---|---|---|---|\n")
	for _, b := range benches {
		fmt.Printf("| %s |", b.name)
		for _, s := range systemSizes {
			r := measure(s, b)
			fmt.Printf(" %.2f, %d |", float64(r.NsPerOp())/1000, r.AllocsPerOp())
		}
		fmt.Println()
	}
	fmt.Print("| **a second of control, ms** |")
	for _, s := range systemSizes {
		r := measure(s, bench{run: controlSecond})
		fmt.Printf(" **%.2f** |", float64(r.NsPerOp())/1e6)
	}
	fmt.Println()
	fmt.Print("| state, MB |")
	for _, s := range systemSizes {
		fmt.Printf(" %.2f |", stateMegabytes(s))
	}
	fmt.Println()
	return printMessageSizes()
}

// measure runs a benchmark on a new state of the given size.
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

// The rates of the events in a second of control.
const (
	ticksPerSecond    = 20
	requestsPerSecond = 6 // routed by one daemon
	digestsPerSecond  = 2 // from each peer
	probesPerSecond   = 3 // reports requested from each host that this daemon probes
)

// controlSecond applies the events that one daemon receives in one second: ticks, heartbeats at
// their interval, digests, reports of the hosts that it probes, and its share of requests.
func controlSecond(w *world.World, n int) {
	peers := w.Size.Daemons - 1
	perTick := float64(peers) / w.HeartbeatInterval().Seconds() / ticksPerSecond
	beats := int(math.Ceil(perTick))
	digests := max(1, peers*digestsPerSecond/ticksPerSecond)
	hosts := max(1, w.Size.Hosts/w.Size.Daemons)
	for t := range ticksPerSecond {
		at := n*ticksPerSecond + t
		w.Advance(time.Second / ticksPerSecond)
		for i := range beats {
			w.Reduce(w.HeartbeatFrom(1 + (at*beats+i)%peers))
		}
		for i := range digests {
			w.Reduce(w.DigestFrom((at*digests+i)*hosts%w.Size.Hosts, hosts))
		}
		if t < probesPerSecond*hosts {
			w.Reduce(w.Probe(t % hosts))
		}
		if t < requestsPerSecond {
			r := w.Request(at)
			w.Reduce(r)
			w.Reduce(world.AttemptCompleted(r))
		}
		w.Reduce(step.Tick{})
	}
}

// stateMegabytes returns the heap size of the state in MiB.
func stateMegabytes(s world.Size) float64 {
	before := liveHeap()
	w := world.New(s)
	held := liveHeap() - before
	runtime.KeepAlive(w)
	return float64(held) / (1 << 20)
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// printMessageSizes prints the sizes of the messages between daemons in the largest system.
func printMessageSizes() error {
	w := world.New(systemSizes[len(systemSizes)-1])
	for _, m := range []struct {
		name string
		v    any
	}{
		{"heartbeat, 3 targets in flight", w.Heartbeat(1)},
		{"digest of 1 host", w.Digest(0, 1)},
		{"digest of 2 hosts", w.Digest(0, 2)},
		{"digest of 8 hosts", w.Digest(0, 8)},
	} {
		text, err := cbor.Marshal(m.v)
		if err != nil {
			return err
		}
		fmt.Printf("message: %s: %d bytes of CBOR\n", m.name, len(text))
	}
	return nil
}
