package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// small is a world with one domain of n hosts and a model of groups of 3.
func small(nodes, hosts, groups int, checks bool) *world {
	w := newWorld(nodes)
	for i := range hosts {
		w.addEngine(fmt.Sprintf("h%d", i), "f1", "dc1", checks)
	}
	w.put("m", &object.Model{Members: 3, Groups: groups, Weights: "w", ColdLimit: 1, WarmLimit: 4, WarmAfter: 2})
	return w
}

func both(t *testing.T, run func(t *testing.T, checks bool)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) { run(t, checks) })
	}
}

func TestFormation(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w := small(3, 7, 2, checks)
		w.pass(15 * time.Second)
		require.Empty(t, w.broken)
		require.Equal(t, []string{"f1.0", "f1.1"}, w.serving("m"))
	})
}

func TestMemberDeath(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w := small(3, 4, 1, checks)
		w.pass(15 * time.Second)
		require.Equal(t, []string{"f1.0"}, w.serving("m"))
		w.engines["h1"].dead = true
		w.pass(2 * time.Second)
		require.Empty(t, w.serving("m"))
		w.pass(40 * time.Second)
		require.Empty(t, w.broken)
		require.Equal(t, []string{"f1.0"}, w.serving("m"), "a spare took the place")
	})
}

func TestMemberReturnsWithoutSpare(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w := small(3, 3, 1, checks)
		w.pass(15 * time.Second)
		w.engines["h1"].dead = true
		w.pass(10 * time.Second)
		w.engines["h1"].restart()
		w.pass(10 * time.Second)
		require.Empty(t, w.broken)
		require.Equal(t, []string{"f1.0"}, w.serving("m"))
		n := w.nodes[0]
		d, _ := n.Domain("f1")
		require.EqualValues(t, 1, d.Groups["f1.0"].Generation, "the survivors stayed as they were")
	})
}

func TestHolderDies(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w := small(3, 4, 1, checks)
		w.pass(15 * time.Second)
		d, _ := w.nodes[0].Domain("f1")
		for _, n := range w.nodes {
			if n.name == d.Holder {
				n.gone = true
			}
		}
		w.engines["h0"].dead = true
		w.pass(60 * time.Second)
		require.Empty(t, w.broken)
		require.Equal(t, []string{"f1.0"}, w.serving("m"))
	})
}

// TestLostAnswerToTakingALease lets the answer be lost with which a dead holder's
// lease was deleted: the domain is taken all the same.
func TestLostAnswerToTakingALease(t *testing.T) {
	w := small(2, 3, 1, true)
	w.pass(15 * time.Second)
	for _, n := range w.nodes {
		n.gone = n.ctl.holds(n.ctl.domain("f1"))
	}
	w.loseAll = true
	w.pass(20 * time.Second)
	w.loseAll = false
	w.pass(10 * time.Second)
	held := false
	for _, n := range w.nodes {
		held = held || (!n.gone && n.ctl.holds(n.ctl.domain("f1")))
	}
	require.True(t, held)
}

// TestControlUnderFaults lets engines and daemons die, pause and return, the store go
// down and lose answers, and orders arrive late. No group may be routed to that its
// members do not serve, no pinned incarnation may be told two things, and once the
// faults stop everything serves again.
func TestControlUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := small(rapid.IntRange(2, 3).Draw(t, "daemons"), 8, 2, rapid.Bool().Draw(t, "checks"))
		w.engines["h7"].checks = !w.engines["h7"].checks
		w.pass(10 * time.Second)
		t.Repeat(w.faults())
		w.heal()
		w.pass(2 * time.Minute)
		if w.broken != "" {
			t.Fatal(w.broken)
		}
		if got := w.serving("m"); len(got) != 2 {
			t.Fatalf("%v serve at last", got)
		}
	})
}

func (w *world) faults() map[string]func(*rapid.T) {
	anEngine := func(t *rapid.T) *engine { return w.engines[rapid.SampledFrom(w.names).Draw(t, "engine")] }
	aNode := func(t *rapid.T) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "daemon") }
	return map[string]func(*rapid.T){
		"":              func(t *rapid.T) { require.Empty(t, w.broken) },
		"pass":          func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * tick) },
		"kill engine":   func(t *rapid.T) { anEngine(t).dead = true },
		"start engine":  func(t *rapid.T) { anEngine(t).restart() },
		"pause engine":  func(t *rapid.T) { e := anEngine(t); e.paused = !e.paused },
		"leaving":       func(t *rapid.T) { anEngine(t).host.Leaving = true },
		"pause daemon":  func(t *rapid.T) { n := w.nodes[aNode(t)]; n.paused = !n.paused },
		"cut daemon":    func(t *rapid.T) { n := w.nodes[aNode(t)]; n.cut = !n.cut },
		"replace":       func(t *rapid.T) { i := aNode(t); w.nodes[i].gone = true; w.start(i) },
		"store":         func(*rapid.T) { w.storeUp = !w.storeUp },
		"lose answers":  func(*rapid.T) { w.loseAll = !w.loseAll },
		"orders travel": func(t *rapid.T) { w.slow = time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second },
	}
}

// heal ends every fault. A host that had left comes back as a new incarnation.
func (w *world) heal() {
	w.storeUp, w.loseAll, w.slow = true, false, 0
	for _, n := range w.nodes {
		n.paused, n.cut = false, false
	}
	for _, name := range w.names {
		e := w.engines[name]
		e.paused = false
		if e.dead || e.host.Leaving {
			e.host.Leaving = false
			e.restart()
		}
	}
}
