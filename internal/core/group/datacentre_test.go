package group

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// TestDataCentreOutOfServiceAndBack takes a data centre out of service and puts it back. While
// it is out, no daemon routes to its groups, but they stay assigned. Once it is back they serve
// without loading again.
func TestDataCentreOutOfServiceAndBack(t *testing.T) {
	forBothEngineKinds(t, func(t *testing.T, checks bool) {
		w := newSmallWorld(3, 6, 2, checks)
		w.advance(15 * time.Second)
		generation := w.nodes[0].generation("f1.0")
		w.put("dc1", &object.DataCentre{Out: true})
		w.advance(2 * tick)
		require.Empty(t, w.serving("m"))
		w.advance(time.Minute)
		w.put("dc1", &object.DataCentre{})
		w.advance(2 * tick)
		require.Len(t, w.serving("m"), 2)
		require.Equal(t, generation, w.nodes[0].generation("f1.0"))
		require.Empty(t, w.violation)
	})
}

// generation returns the generation of a group in the configuration in force at this daemon.
func (n *node) generation(group string) uint64 {
	d, _ := n.Domain(domainOf(group))
	return d.Groups[group].Generation
}

// BenchmarkControllerTick measures one tick of the holder of a domain with 20 hosts.
func BenchmarkControllerTick(b *testing.B) {
	w := newSmallWorld(1, 20, 6, false)
	w.advance(15 * time.Second)
	n := w.nodes[0]
	b.ReportAllocs()
	for b.Loop() {
		n.ctl.Tick(n.time(), &step.Out{})
	}
}
