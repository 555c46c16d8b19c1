package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

// soundAfter is how long after the crashes that tell daemons of a crasher sound requests must be served again: twice the
// time after which daemons are stable.
const soundAfter = 2 * verdictWithin

// TestSoundPromptsAreServedBesideCrashingParts guards against sound prompts that are refused for long because they share
// many parts with prompts that crash hosts.
func TestSoundPromptsAreServedBesideCrashingParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := defaultCrashWorld()
		set.downtime = 2 * time.Second
		w := newCrashWorld(rt, t, rapid.IntRange(1, 4).Draw(rt, "daemons"), set)
		shared := make([]uint64, rapid.SampledFrom([]int{2, 8, 12, 32}).Draw(rt, "shared parts"))
		for i := range shared {
			shared[i] = uint64(1 + i)
		}
		sound := func() worldRequest {
			return worldRequest{path: "/chat/1", body: uint64(1000 + w.sent), parts: shared}
		}
		crashers := rapid.IntRange(1, 3).Draw(rt, "crashers")
		crasher := func() worldRequest {
			name := fmt.Sprintf("x%d", rapid.IntRange(0, crashers-1).Draw(rt, "which"))
			w.bounds[name] = 5
			parts := append([]uint64{}, shared[:len(shared)/2]...)
			parts = append(append(parts, rendezvous.Hash(name)), shared[len(shared)/2:]...)
			return worldRequest{crasher: name, path: "/chat/1", body: uint64(1000 + w.sent), parts: parts}
		}
		anyDaemon := func() *worldDaemon { return w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(rt, "to")] }
		if rapid.Bool().Draw(rt, "sound requests before") {
			for range 8 * len(w.daemons) {
				w.send(anyDaemon(), sound())
				w.run(250 * time.Millisecond)
			}
		}
		// Both in quarters of a second.
		interval := rapid.SampledFrom([]int{2, 8, 24}).Draw(rt, "interval of crashing requests")
		soundInterval := rapid.SampledFrom([]int{2, 4, 6}).Draw(rt, "interval of sound requests")
		type sample struct {
			at      time.Duration
			refused bool
		}
		var samples []sample
		for i := range 60 * 4 {
			if i%interval == 0 {
				for range rapid.IntRange(1, 3).Draw(rt, "burst") {
					w.send(anyDaemon(), crasher())
					w.run(150 * time.Millisecond)
				}
			}
			if i%soundInterval == 1 {
				before := len(w.refused)
				w.send(anyDaemon(), sound())
				samples = append(samples, sample{w.now, len(w.refused) > before})
			}
			w.run(250 * time.Millisecond)
		}
		w.check()
		var from time.Duration
		for _, crashes := range w.crashes {
			from = max(from, crashes[min(len(crashes), 5)-1]+soundAfter)
		}
		n, refused := 0, 0
		for _, s := range samples {
			if s.at >= from {
				n++
				if s.refused {
					refused++
				}
			}
		}
		if n < 20 {
			rt.Skip("too few sound requests after the crashes")
		}
		require.LessOrEqual(rt, 2*refused, n, "sound requests are refused; crashes at %v", w.crashes)
	})
}
