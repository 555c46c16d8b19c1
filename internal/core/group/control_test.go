package group

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// newSmallWorld returns a world with one domain of the given number of hosts and a model whose
// groups have 3 members.
func newSmallWorld(nodes, hosts, groups int, checks bool) *world {
	w := newWorld(nodes)
	for i := range hosts {
		w.addEngine(fmt.Sprintf("h%d", i), "f1", "dc1", checks)
	}
	w.put("m", &object.Model{Members: 3, Groups: groups, Weights: "w", ColdLimit: 1, WarmLimit: 4, WarmAfter: 2})
	return w
}

// forBothEngineKinds runs a test with engines that check fencing tokens and with engines that
// do not.
func forBothEngineKinds(t *testing.T, run func(t *testing.T, checks bool)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) { run(t, checks) })
	}
}

func TestFormation(t *testing.T) {
	forBothEngineKinds(t, func(t *testing.T, checks bool) {
		w := newSmallWorld(3, 7, 2, checks)
		w.advance(15 * time.Second)
		require.Empty(t, w.violation)
		require.Equal(t, []string{"f1.0", "f1.1"}, w.serving("m"))
	})
}

func TestMemberDeath(t *testing.T) {
	forBothEngineKinds(t, func(t *testing.T, checks bool) {
		w := newSmallWorld(3, 4, 1, checks)
		w.advance(15 * time.Second)
		require.Equal(t, []string{"f1.0"}, w.serving("m"))
		w.engines["h1"].dead = true
		w.advance(2 * time.Second)
		require.Empty(t, w.serving("m"))
		w.advance(40 * time.Second)
		require.Empty(t, w.violation)
		require.Equal(t, []string{"f1.0"}, w.serving("m"), "a spare replaced the member")
	})
}

func TestMemberReturnsWithoutSpare(t *testing.T) {
	forBothEngineKinds(t, func(t *testing.T, checks bool) {
		w := newSmallWorld(3, 3, 1, checks)
		w.advance(15 * time.Second)
		w.engines["h1"].dead = true
		w.advance(10 * time.Second)
		w.engines["h1"].restart()
		w.advance(10 * time.Second)
		require.Empty(t, w.violation)
		require.Equal(t, []string{"f1.0"}, w.serving("m"))
		n := w.nodes[0]
		d, _ := n.Domain("f1")
		require.EqualValues(t, 1, d.Groups["f1.0"].Generation, "the other members kept their generation")
	})
}

func TestHolderCrashes(t *testing.T) {
	forBothEngineKinds(t, func(t *testing.T, checks bool) {
		w := newSmallWorld(3, 4, 1, checks)
		w.advance(15 * time.Second)
		d, _ := w.nodes[0].Domain("f1")
		for _, n := range w.nodes {
			if n.name == d.Holder {
				n.gone = true
			}
		}
		w.engines["h0"].dead = true
		w.advance(60 * time.Second)
		require.Empty(t, w.violation)
		require.Equal(t, []string{"f1.0"}, w.serving("m"))
	})
}

// TestLeaseDeletionWithLostAnswer checks that a domain is taken over although the answer to the
// deletion of the dead holder's lease was lost.
func TestLeaseDeletionWithLostAnswer(t *testing.T) {
	w := newSmallWorld(2, 3, 1, true)
	w.advance(15 * time.Second)
	for _, n := range w.nodes {
		n.gone = n.ctl.holds(n.ctl.domain("f1"))
	}
	w.loseReplies = true
	w.advance(20 * time.Second)
	w.loseReplies = false
	w.advance(10 * time.Second)
	held := false
	for _, n := range w.nodes {
		held = held || (!n.gone && n.ctl.holds(n.ctl.domain("f1")))
	}
	require.True(t, held)
}

// TestControlUnderFaults makes engines and daemons die, pause and return, the store go down
// and lose answers, and orders arrive late. Meanwhile no daemon may route to a group that its
// members do not serve, and no pinned incarnation may be sent two different joins. Once the
// faults end, all groups serve again.
func TestControlUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSmallWorld(rapid.IntRange(2, 3).Draw(t, "daemons"), 8, 2, rapid.Bool().Draw(t, "checks"))
		w.engines["h7"].checks = !w.engines["h7"].checks
		w.advance(10 * time.Second)
		t.Repeat(w.faults())
		w.heal()
		w.advance(2 * time.Minute)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		if got := w.serving("m"); len(got) != 2 {
			t.Fatalf("%v serve after the faults ended, want 2 groups", got)
		}
	})
}

// faults returns the actions of the property test by name.
func (w *world) faults() map[string]func(*rapid.T) {
	anEngine := func(t *rapid.T) *engine { return w.engines[rapid.SampledFrom(w.names).Draw(t, "engine")] }
	aNode := func(t *rapid.T) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "daemon") }
	return map[string]func(*rapid.T){
		"":              func(t *rapid.T) { require.Empty(t, w.violation) },
		"pass":          func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * tick) },
		"kill engine":   func(t *rapid.T) { anEngine(t).dead = true },
		"start engine":  func(t *rapid.T) { anEngine(t).restart() },
		"pause engine":  func(t *rapid.T) { e := anEngine(t); e.paused = !e.paused },
		"leaving":       func(t *rapid.T) { anEngine(t).host.Leaving = true },
		"pause daemon":  func(t *rapid.T) { n := w.nodes[aNode(t)]; n.paused = !n.paused },
		"cut daemon":    func(t *rapid.T) { n := w.nodes[aNode(t)]; n.cut = !n.cut },
		"replace":       func(t *rapid.T) { i := aNode(t); w.nodes[i].gone = true; w.start(i) },
		"store":         func(*rapid.T) { w.storeUp = !w.storeUp },
		"lose answers":  func(*rapid.T) { w.loseReplies = !w.loseReplies },
		"orders travel": func(t *rapid.T) { w.orderDelay = time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second },
	}
}

// heal ends all faults. A host that was dead or leaving comes back as a new incarnation.
func (w *world) heal() {
	w.storeUp, w.loseReplies, w.orderDelay = true, false, 0
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
