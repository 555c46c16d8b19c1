package fabric

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// hostsOf returns the hosts that serve each model.
func (w *simulation) hostsOf() map[string]int {
	hosts := make(map[string]int)
	for i := range w.engine.Models {
		m := &w.engine.Models[i]
		hosts[m.Name] = w.open(m.Name) * m.GroupSize
	}
	return hosts
}

// offer sets the work that callers offer for a model: the slots of so many groups.
func (w *simulation) offer(model string, groups float64) {
	if w.concurrency == nil {
		w.concurrency = make(map[string]float64)
	}
	w.concurrency[model] = groups * float64(w.engine.Slots)
}

// twoSizes returns a deployment of models of 8 and 2 hosts with equal shares, before its first request.
func twoSizes(domains, pools int) *simulation {
	w := newSimulation(domains, 18, 0)
	w.engine.Models[0].GroupSize, w.engine.Models[0].Share = 8, 0.5
	w.engine.Models[1].GroupSize, w.engine.Models[1].Share = 2, 0.5
	w.engine.MaxLoadsPerSecond, w.engine.MaxConcurrentLoads = 14, 20
	for range pools {
		w.addPool()
	}
	w.pools[0].TakeControl(0, 1<<20, nil, 0)
	w.pools[0].SetInitialDeployment(true)
	w.run(12 * time.Second)
	w.pools[0].SetInitialDeployment(false)
	w.loadStarts = nil
	return w
}

// decisions counts the decisions to move that the pools have logged.
func (w *simulation) decisions() int {
	n := 0
	for _, line := range w.poolLog {
		var at, id string
		var pool int
		if _, err := fmt.Sscan(line, &at, &pool, &id); err == nil && id == "RS4040" {
			n++
		}
	}
	return n
}

// TestHostsFollowAShiftThatLasts guards against hosts that stay with the model that the configuration
// favours: one model is offered three times the work of its groups' share, the other next to none. Hosts
// that had both models at hand must move without a load, and no group may serve incomplete or twice.
func TestHostsFollowAShiftThatLasts(t *testing.T) {
	w := twoSizes(9, 1)
	before := w.hostsOf()
	w.offer("m0", 1.5)
	w.offer("m1", 30)
	w.run(16 * time.Second)
	after := w.hostsOf()
	t.Log(before, after, w.decisions())
	require.GreaterOrEqual(t, after["m1"], before["m1"]+16)
	require.GreaterOrEqual(t, w.open("m0"), 3, "the other model keeps what it needs")
	require.Empty(t, w.loadStarts, "its weights were on the hosts")
	require.Empty(t, w.violations)
}

// TestNewConfigurationKeepsTheDemand guards against groups that are not counted any more once a new version of
// the configuration describes their model.
func TestNewConfigurationKeepsTheDemand(t *testing.T) {
	w := twoSizes(9, 1)
	engine := *w.engine
	engine.Models = slices.Clone(engine.Models)
	w.pools[0].SetEngine(&engine)
	w.offer("m0", 1.5)
	w.offer("m1", 30)
	w.run(16 * time.Second)
	require.Positive(t, w.decisions())
	require.InDelta(t, 30, w.pools[0].ModelStats()[1].Offered/float64(engine.Slots), 5)
}

// TestShiftTowardsLargeGroups guards against a shortage of the model of large groups that only several
// small groups of one domain can end.
func TestShiftTowardsLargeGroups(t *testing.T) {
	w := twoSizes(9, 1)
	before := w.hostsOf()
	w.offer("m0", 11)
	w.offer("m1", 2)
	w.run(20 * time.Second)
	require.GreaterOrEqual(t, w.hostsOf()["m0"], before["m0"]+16)
	require.Empty(t, w.violations)
}

// TestGroupsOfAMoveCloseOneByOne guards against hosts that go back to their former model while the other groups of
// the same move still finish their requests.
func TestGroupsOfAMoveCloseOneByOne(t *testing.T) {
	w := twoSizes(9, 1)
	before := w.hostsOf()
	n := 0
	w.closeTime = func() time.Duration { n++; return time.Duration(n%5) * 700 * time.Millisecond }
	w.offer("m0", 11)
	w.offer("m1", 2)
	w.run(25 * time.Second)
	require.GreaterOrEqual(t, w.hostsOf()["m0"], before["m0"]+16)
	require.LessOrEqual(t, w.decisions(), before["m1"]/8, "no host may move twice")
	require.Empty(t, w.violations)
}

// TestDemandAsTheSharesMovesNothing guards against moves that the work does not call for, with steady
// work and with a wave of two seconds.
func TestDemandAsTheSharesMovesNothing(t *testing.T) {
	w := twoSizes(9, 1)
	hosts := w.hostsOf()
	for second := range 20 {
		wave := 1.0
		if second%4 < 2 {
			wave = 1.3
		}
		w.offer("m0", 0.5*wave*float64(w.open("m0")))
		w.offer("m1", 0.5*(2.3-wave)*float64(w.open("m1")))
		w.run(time.Second)
	}
	require.Equal(t, hosts, w.hostsOf())
	require.Zero(t, w.decisions())
}

// TestWorkBeyondAllHosts guards against a model that is left without a group when both are offered more
// than all hosts can do.
func TestWorkBeyondAllHosts(t *testing.T) {
	w := twoSizes(6, 1)
	w.offer("m0", 20)
	w.offer("m1", 80)
	w.run(40 * time.Second)
	require.Positive(t, w.open("m0"))
	require.Positive(t, w.open("m1"))
	require.Empty(t, w.violations)
}

// TestRefusedWorkCounts guards against a model whose requests are refused and so are in no report.
func TestRefusedWorkCounts(t *testing.T) {
	p := New(Settings{}, nil)
	p.SetEngine(testEngine())
	p.demand.known = true
	d := p.demand.model("m1")
	d.follow(0, 10)
	for i := range 40 {
		p.RecordOffered(0, "m1", i%2 == 0, 1000, 180)
	}
	require.InDelta(t, 0.5, d.admittedShare(0), 0.01)
	require.InDelta(t, 1, p.demand.model("m0").admittedShare(0), 0, "too few requests say nothing")
}

// TestLongPromptsNeedHosts guards against a model whose engines spend their time on reading prompts while most of
// their slots are free.
func TestLongPromptsNeedHosts(t *testing.T) {
	p := New(Settings{}, nil)
	p.SetEngine(testEngine())
	m := &p.engine.Models[0]
	d := p.demand.model(m.Name)
	d.follow(0, 40)
	usual := p.need(m)
	for range 200 {
		p.RecordOffered(0, m.Name, true, 3000, 28)
	}
	require.Greater(t, p.need(m), 2*usual)
}

// TestLostLargeGroupFormsAgain guards against hosts of a lost group that small groups of the other model take one by
// one: the large one could not be formed again.
func TestLostLargeGroupFormsAgain(t *testing.T) {
	w := twoSizes(9, 1)
	w.offer("m0", 5.5)
	w.offer("m1", 20)
	w.run(6 * time.Second)
	before := w.open("m0")
	w.crash(w.member("m0", false))
	w.run(8 * time.Second) // members of 162 hosts are asked once in 1.1 s, and two answers must be missing
	require.Equal(t, before, w.open("m0"))
	require.Empty(t, w.violations)
}

// TestGivingModelKeepsHeadroom guards against a model that gives so many hosts that its own callers wait: both models are
// short of hosts, one more than the other.
func TestGivingModelKeepsHeadroom(t *testing.T) {
	w := twoSizes(9, 1)
	w.offer("m0", 2)
	w.offer("m1", 80)
	decided := 0
	for range 400 {
		w.run(50 * time.Millisecond)
		if w.decisions() > decided {
			decided = w.decisions()
			p := w.pools[0]
			require.GreaterOrEqual(t, p.headroom(p.plannedByModel()["m0"], &w.engine.Models[0]), wantedHeadroom)
		}
	}
	require.Positive(t, w.decisions())
}

// TestGroupsThatAreLostKeepTheirDemand guards against a demand of zero where only the groups are gone.
func TestGroupsThatAreLostKeepTheirDemand(t *testing.T) {
	w := twoSizes(4, 1)
	w.offer("m0", 2)
	w.offer("m1", 8)
	w.run(6 * time.Second)
	p := w.pools[0]
	before := p.need(&w.engine.Models[0])
	for _, id := range w.ids {
		if f := w.engines[id]; f.model == "m0" {
			w.crash(id)
		}
	}
	w.run(10 * time.Second)
	require.InDelta(t, before, p.need(&w.engine.Models[0]), 0.2*before)
}

// TestNoMoveBeginsWithoutTheStore guards against moves that the next holder can't learn of.
func TestNoMoveBeginsWithoutTheStore(t *testing.T) {
	w := twoSizes(9, 1)
	w.pools[0].SetMovesBlocked(true)
	w.offer("m0", 1)
	w.offer("m1", 40)
	w.run(12 * time.Second)
	require.Zero(t, w.decisions())
	w.pools[0].SetMovesBlocked(false)
	w.run(8 * time.Second)
	require.Positive(t, w.decisions())
}

// TestHolderDiesInAMove guards against hosts that a move leaves in no group when its holder is gone: the
// next one must end the move or undo it.
func TestHolderDiesInAMove(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 2 * time.Second} {
		w := twoSizes(9, 2)
		w.offer("m0", 1)
		w.offer("m1", 40)
		for w.decisions() == 0 {
			w.run(50 * time.Millisecond)
		}
		w.run(after)
		w.pools[0].DropControl()
		w.run(time.Second)
		w.pools[1].TakeControl(w.now, 2<<20, nil, 0)
		w.run(20 * time.Second)
		require.Empty(t, w.violations, after)
		serving := 0
		for _, n := range w.hostsOf() {
			serving += n
		}
		require.GreaterOrEqual(t, serving, 9*16, after)
	}
}

// TestMovesEnd guards against hosts that go back and forth at constant work, with lost and late orders and
// losses of hosts in between, and against a model without a group although hosts would allow one.
func TestMovesEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := twoSizes(rapid.IntRange(2, 6).Draw(rt, "domains"), 1)
		for _, m := range []string{"m0", "m1"} {
			w.offer(m, rapid.Float64Range(0, 30).Draw(rt, m))
		}
		faults := rapid.IntRange(0, 3).Draw(rt, "losses")
		share := rapid.IntRange(0, 20).Draw(rt, "lost orders in 100")
		n := 0
		w.lose = func() bool { n++; return n%100 < share }
		w.delay = func() time.Duration { return time.Duration(n%5) * time.Second }
		for range faults {
			w.run(3 * time.Second)
			w.crash(w.ids[rapid.IntRange(0, len(w.ids)-1).Draw(rt, "host")])
		}
		w.lose = func() bool { return false }
		w.run(60 * time.Second)
		before := w.decisions()
		w.run(20 * time.Second)
		require.Equal(rt, before, w.decisions(), "moves at constant work: %v", w.hostsOf())
		require.Empty(rt, w.violations)
		require.Positive(rt, w.open("m0"))
		require.Positive(rt, w.open("m1"))
	})
}

// BenchmarkTickAtSize is one tick of the holder of 730 hosts that measures the work and decides on a move.
func BenchmarkTickAtSize(b *testing.B) {
	w := newSimulation(41, 18, 0)
	w.engine.Models[0].GroupSize, w.engine.Models[1].GroupSize = 8, 2
	w.engine.MaxLoadsPerSecond, w.engine.MaxConcurrentLoads = 14, 20
	w.addPool()
	p := w.pools[0]
	p.TakeControl(0, 1<<20, nil, 0)
	p.SetInitialDeployment(true)
	w.run(12 * time.Second)
	p.SetInitialDeployment(false)
	w.offer("m0", 3)
	w.offer("m1", 80)
	w.run(5 * time.Second)
	var from, to *site.Model = &w.engine.Models[0], &w.engine.Models[1]
	b.ResetTimer()
	for b.Loop() {
		p.updateDemand(w.now, &step.Out{})
		p.plannedByModel()
		p.groupsToMove(w.now, from, to)
	}
}

// planMove puts a plan on the first serving group of a model whose members lack the weights of another.
func (w *simulation) planMove(from, to string) *group {
	p := w.pools[0]
	for _, id := range p.groupIDs() {
		if g := p.groups[id]; g.model.Name == from && g.stage == serving && p.lackingWeights([]*group{g}, w.engine.Model(to)) == len(g.members) {
			g.moveTo = w.engine.Model(to)
			return g
		}
	}
	return nil
}

// TestModelOfAMoveIsRemoved guards against a daemon that ends because a new version of the configuration has
// no model to which a group is moving.
func TestModelOfAMoveIsRemoved(t *testing.T) {
	w := twoSizes(9, 1)
	w.offer("m0", 1)
	w.offer("m1", 40)
	for w.decisions() == 0 {
		w.run(50 * time.Millisecond)
	}
	p := w.pools[0]
	without := *w.engine
	without.Models = without.Models[:1]
	p.SetEngine(&without)
	p.Tick(w.now, &step.Out{})
}

// TestLostGroupOfAPlanIsRepaired guards against hosts that are kept for the model of a move that was planned
// only, when their group is lost for another reason: they have the weights of their own model, and not those.
func TestLostGroupOfAPlanIsRepaired(t *testing.T) {
	w := twoSizes(4, 1)
	w.offer("m0", 2)
	w.offer("m1", 8)
	w.run(5 * time.Second)
	g := w.planMove("m0", "m1")
	require.NotNil(t, g)
	w.engines[g.members[3].id].up = false
	w.pools[0].startClosing(w.now, g, "a member is lost", &step.Out{})
	w.run(1500 * time.Millisecond)
	require.NotContains(t, w.pools[0].groups, g.id)
	for _, m := range g.members {
		require.True(t, w.pools[0].hosts[m.id].mayServe(w.now, "m0"), m.id)
	}
}

// TestLastGroupIsNotMoved guards against a planned move that closes the only group of its model because the
// others were lost while the weights were loaded, or are only forming.
func TestLastGroupIsNotMoved(t *testing.T) {
	w := twoSizes(4, 1)
	w.offer("m0", 0.5)
	w.offer("m1", 30)
	w.run(3100 * time.Millisecond)
	p := w.pools[0]
	var g *group
	for _, id := range p.groupIDs() {
		if p.groups[id].model.Name == "m0" && p.groups[id].stage == serving {
			g = p.groups[id]
		}
	}
	require.NotNil(t, g)
	for _, id := range w.ids {
		if f := w.engines[id]; f.model == "m0" && f.member.Group != g.id {
			w.crash(id)
		}
	}
	for _, id := range p.groupIDs() {
		if other := p.groups[id]; other != g && other.model.Name == "m0" {
			other.stage = closing
		}
	}
	p.recount(w.now)
	g.moveTo = w.engine.Model("m1")
	for _, m := range g.members {
		p.hosts[m.id].entry.Staged = []string{"m1"}
	}
	p.continuePlans(w.now, &step.Out{})
	require.Equal(t, serving, g.stage)
	require.Nil(t, p.groupsToMove(w.now, w.engine.Model("m0"), w.engine.Model("m1")), "nor planned")
}

// TestInterruptedJoinLosesTheModelInMemory guards against a load that isn't counted: a host that began to join a
// group of another model no longer holds its last one in memory, though it was never ready in the new group.
func TestInterruptedJoinLosesTheModelInMemory(t *testing.T) {
	in := func(group string, phase site.Phase, model string) *site.Host {
		h := &site.Host{ID: "a", Service: "llm", Incarnation: 1, Model: model}
		if group != "" {
			h.Member = site.Membership{Group: site.GroupID{Name: group, Epoch: uint64(len(group))}, Phase: phase}
		}
		return h
	}
	ready, out := in("g", site.Ready, "m0"), in("", site.Absent, "")
	newPool := func() *Pool {
		p := New(Settings{}, nil)
		p.SetEngine(testEngine())
		p.SetHosts(0, []*site.Host{ready})
		require.True(t, p.hosts["a"].hasWeights("m0"))
		return p
	}
	t.Run("seen by any daemon", func(t *testing.T) {
		p := newPool()
		p.SetHosts(1, []*site.Host{out})
		require.True(t, p.hosts["a"].hasWeights("m0"))
		p.SetHosts(2, []*site.Host{in("gg", site.Joining, "")})
		p.SetHosts(3, []*site.Host{out})
		require.False(t, p.hosts["a"].hasWeights("m0"))
	})
	t.Run("ordered by this one", func(t *testing.T) {
		for _, outcome := range []step.OrderOutcome{step.OrderAccepted, step.OrderLost} {
			p := newPool()
			p.hosts["a"].pendingOp = 1
			p.pendingOrders[1] = pendingOrder{host: "a", order: step.GroupOrder{Kind: step.OrderJoin, Group: site.GroupID{Name: "gg", Epoch: 2}, Model: "m1"}}
			p.OnOrderAnswered(1, step.GroupOrderAnswered{Op: 1, Host: "a", Outcome: outcome}, &step.Out{})
			p.SetHosts(2, []*site.Host{ready}) // the entry is older than the order
			require.False(t, p.hosts["a"].hasWeights("m0"))
		}
	})
	t.Run("same model", func(t *testing.T) {
		p := newPool()
		id := site.GroupID{Name: "gg", Epoch: 2}
		p.groups[id] = &group{id: id, model: p.engine.Model("m0"), members: make([]member, 4)}
		p.SetHosts(2, []*site.Host{in("gg", site.Joining, "")})
		require.True(t, p.hosts["a"].hasWeights("m0"))
	})
}

// TestPlanIsGivenUpWhenItsModelLosesHosts guards against a planned move that takes a group from the model that is
// shorter of hosts by then: it lost groups while the weights were loaded.
func TestPlanIsGivenUpWhenItsModelLosesHosts(t *testing.T) {
	w := twoSizes(9, 1)
	w.offer("m0", 1)
	w.offer("m1", 40)
	w.run(2900 * time.Millisecond)
	p := w.pools[0]
	g := w.planMove("m0", "m1")
	require.NotNil(t, g)
	left := 2 // groups of the model that serve
	for _, id := range p.groupIDs() {
		if other := p.groups[id]; other != g && other.model.Name == "m0" && other.stage == serving {
			if left--; left <= 0 {
				other.stage = closing
			}
		}
	}
	for _, m := range g.members {
		p.hosts[m.id].entry.Staged = []string{"m1"}
	}
	p.recount(w.now)
	require.Less(t, p.presentHeadroom(p.totals.activeHosts["m1"], w.engine.Model("m1")), wantedHeadroom)
	require.Less(t, p.headroom(p.totals.activeHosts["m0"], w.engine.Model("m0")), p.headroom(p.totals.activeHosts["m1"], w.engine.Model("m1")))
	p.continuePlans(w.now, &step.Out{})
	require.Equal(t, serving, g.stage)
	require.Nil(t, g.moveTo)
}
