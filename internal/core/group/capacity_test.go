package group

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

func TestOutageCheck(t *testing.T) {
	w := newWorld(1)
	for _, name := range []string{"a0", "a1", "b0"} {
		w.addEngine(name, "f-"+name[:1], "dc-"+name[:1], true)
	}
	w.put("m", &object.Model{Members: 1, Groups: 3, Weights: "w", ColdLimit: 1, WarmLimit: 4, WarmAfter: 2})
	w.pass(15 * time.Second)
	n := w.nodes[0]
	check := func(centre string) Outage { return CheckOutage(n.time(), config{n}, n.view, centre) }

	o := check("dc-a")
	require.Equal(t, []Capacity{{Model: "m", Now: 3, After: 1, SlotsNow: 12, SlotsAfter: 4}}, o.Capacities)
	require.NoError(t, o.Refusal())

	w.put("dc-b", &object.DataCentre{Out: true})
	w.pass(time.Second)
	o = check("dc-a")
	var refusal *OutageError
	require.ErrorAs(t, o.Refusal(), &refusal)
	require.Equal(t, []string{"dc-b"}, refusal.Others)
	require.Equal(t, []string{"m"}, refusal.Unserved)
	require.ErrorContains(t, refusal, "dc-b is out already and nothing else serves m")
}

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
