package group

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// TestCentreOutAndBack takes a data centre out: nothing is routed there by then, the
// groups stay assigned, and on its return they serve without loading again.
func TestCentreOutAndBack(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w := small(3, 6, 2, checks)
		w.pass(15 * time.Second)
		generation := w.nodes[0].generation("f1.0")
		w.put("dc1", &object.DataCentre{Out: true})
		w.pass(2 * tick)
		require.Empty(t, w.serving("m"))
		w.pass(time.Minute)
		w.put("dc1", &object.DataCentre{})
		w.pass(2 * tick)
		require.Len(t, w.serving("m"), 2)
		require.Equal(t, generation, w.nodes[0].generation("f1.0"))
		require.Empty(t, w.broken)
	})
}

func (n *node) generation(group string) uint64 {
	d, _ := n.Domain(domainOf(group))
	return d.Groups[group].Generation
}

// BenchmarkControllerTick is one tick of the holder of a domain of 20 hosts.
func BenchmarkControllerTick(b *testing.B) {
	w := small(1, 20, 6, false)
	w.pass(15 * time.Second)
	n := w.nodes[0]
	b.ReportAllocs()
	for b.Loop() {
		n.ctl.Tick(n.time(), &step.Out{})
	}
}
