package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

func config() *site.Config {
	return &site.Config{Services: map[string]*site.Service{
		"plain": {Name: "plain", ColdRate: 20},
		"llm": {Name: "llm", ColdRate: 26, Engine: &site.Engine{
			Slots: 26, Step: 6 * time.Millisecond, StepPerRequest: 45 * time.Microsecond, StepsPerPass: 7, ReadPerSecond: 50000,
			UsualPrompt: 1000, UsualAnswer: 180, Models: []site.Model{{Name: "m0", Size: 4, Pace: 1}, {Name: "m1", Size: 3, Pace: 0.6}},
		}},
	}}
}

func head(id string, model string) *site.Host {
	return &site.Host{
		ID: id, Service: "llm", DataCentre: "dc", Slots: 26, Model: model,
		Member: site.Membership{Group: site.GroupID{Name: "g" + id, Epoch: 1}, Phase: site.Open},
	}
}

func plain(id string) *site.Host {
	return &site.Host{ID: id, Service: "plain", DataCentre: "dc", Slots: 6}
}

func bookOf(hosts ...*site.Host) *Book {
	b := New("d0", "dc")
	b.SetDaemons([]string{"d0"})
	b.Update(0, config(), hosts, nil)
	return b
}

func ask(model string) Ask {
	return Ask{Service: "llm", Model: model, Prompt: 1000, Left: 5 * time.Second}
}

func TestOnlyOpenHeadsOfTheModelServe(t *testing.T) {
	member, closing, other, leaver, out := head("b", "m0"), head("c", "m0"), head("d", "m1"), head("e", "m0"), head("f", "m0")
	member.Member.Rank = 1
	closing.Member.Phase = site.Closing
	out.DataCentre = "gone"
	gone := &site.Host{ID: "x", Service: "llm", Draining: true, Member: site.Membership{Group: leaver.Member.Group, Rank: 2, Phase: site.Ready}}
	b := New("d0", "dc")
	b.Update(0, config(), []*site.Host{member, closing, other, leaver, out, gone}, map[string]bool{"gone": true})
	c := b.Choose(0, ask("m0"))
	require.Nil(t, c.Target)
	require.Equal(t, NoHost, c.Reason)
	require.Positive(t, c.RetryAfter)
	require.Equal(t, "d", b.Choose(0, ask("m1")).Target.Host.ID)
}

// TestLoadSpreads places requests on heads of which one is loaded by others, and one has
// long prompts to read: requests go where they begin first, and to the engines' slots.
func TestLoadSpreads(t *testing.T) {
	b := bookOf(head("a", "m0"), head("b", "m0"), head("c", "m0"))
	b.Begin("b", 1000)
	b.Began(0, "b", 1000, site.Load{Running: 20, Slots: 26})
	b.Begin("c", 30000)
	counts := make(map[string]int)
	for range 70 {
		c := b.Choose(0, ask("m0"))
		if c.Target == nil {
			require.Equal(t, Full, c.Reason)
			break
		}
		counts[c.Target.Host.ID]++
		b.Begin(c.Target.Host.ID, 1000)
		b.Began(0, c.Target.Host.ID, 1000, site.Load{})
	}
	require.Equal(t, 26+waitingAtEngine, counts["a"])
	require.Equal(t, 26+waitingAtEngine-20, counts["b"])
	require.Equal(t, 26+waitingAtEngine-1, counts["c"])
}

// TestOldFiguresDoNotMakeAHerd lets many daemons choose at the same moment, as they do when
// a group is lost. All of them heard some seconds ago that one head had little to do: that
// head does not get all their requests. What was told just now still counts.
func TestOldFiguresDoNotMakeAHerd(t *testing.T) {
	for age, most := range map[time.Duration]int{0: 62, 5 * time.Second: 25} {
		counts := make(map[string]int)
		for i := range uint64(62) {
			b := bookOf(head("a", "m0"), head("b", "m0"), head("c", "m0"), head("d", "m0"))
			for id, running := range map[string]int{"a": 1, "b": 12, "c": 13, "d": 14} {
				b.Begin(id, 0)
				b.End(time.Second, id, Outcome{Begun: true, Load: site.Load{Running: running, Slots: 26}})
			}
			choice := b.Choose(time.Second+age, Ask{Service: "llm", Model: "m0", Prompt: 1000, Left: 8 * time.Second, Spread: i})
			counts[choice.Target.Host.ID]++
		}
		if age == 0 {
			require.Equal(t, most, counts["a"])
			continue
		}
		for id, n := range counts {
			require.LessOrEqual(t, n, most, "%s of %v", id, counts)
		}
	}
}

// TestFullHeadIsTriedAgain lets a head tell a load that leaves no place, and sends it nothing
// more: it is tried with one request before long.
func TestFullHeadIsTriedAgain(t *testing.T) {
	b := bookOf(head("a", "m0"))
	b.Begin("a", 0)
	b.End(0, "a", Outcome{Declined: true, Load: site.Load{Running: 26, Waiting: 30, Slots: 26}})
	require.Equal(t, Full, b.Choose(10*time.Millisecond, ask("m0")).Reason)
	require.NotNil(t, b.Choose(2*toldFor, ask("m0")).Target)
	b.Begin("a", 0)
	require.Equal(t, Full, b.Choose(2*toldFor, ask("m0")).Reason)
}

func TestWhatCantBeAnsweredInTimeIsRefused(t *testing.T) {
	b := bookOf(head("a", "m0"))
	late := ask("m0")
	late.Left = 20 * time.Millisecond
	require.Equal(t, TooLate, b.Choose(0, late).Reason)
}

// TestDoubtPasses keeps requests away from a host that brought nothing, for longer each
// time, but sends them there rather than nowhere; an answer or another group ends it.
func TestDoubtPasses(t *testing.T) {
	b := bookOf(plain("a"), plain("b"))
	a := Ask{Service: "plain", Left: time.Second}
	b.Doubt(0, "a")
	for spread := range uint64(20) {
		a.Spread = spread
		require.Equal(t, "b", b.Choose(0, a).Target.Host.ID)
	}
	a.Avoid = []string{"b"}
	require.Equal(t, "a", b.Choose(0, a).Target.Host.ID, "a doubtful host is better than none")
	b.Doubt(doubtFor, "a")
	require.Greater(t, b.Target("a").doubtUntil, 2*doubtFor)
	b.Began(0, "a", 0, site.Load{})
	require.Zero(t, b.Target("a").doubtUntil)
}

// TestFailuresCost sends requests past a host that fails some of them while its load is low.
func TestFailuresCost(t *testing.T) {
	b := bookOf(plain("a"), plain("b"))
	for range 3 {
		b.Begin("a", 0)
		b.End(0, "a", Outcome{Begun: true, Failed: true})
	}
	for range 6 {
		c := b.Choose(time.Second, Ask{Service: "plain", Left: time.Second})
		require.Equal(t, "b", c.Target.Host.ID)
		b.Begin("b", 0)
	}
	require.Equal(t, "a", b.Choose(time.Minute, Ask{Service: "plain", Left: time.Second}).Target.Host.ID, "old failures are forgiven")
}

// TestColdRateHoldsOverAllDaemons sends as much as each daemon may to a cold target, for
// numbers of daemons from one to hundreds: in no second do more than the rate and half of
// it arrive together.
func TestColdRateHoldsOverAllDaemons(t *testing.T) {
	for _, n := range []int{1, 2, 9, 62, 340} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("d%d", i))
		}
		const rate = 26.0
		sent := make([]int, 3000) // by millisecond
		for _, d := range names {
			own := coldRate(names, d, rendezvous.Hash("target"), rate)
			var bucket coldBucket
			for ms := range sent {
				if bucket.take(time.Duration(ms)*time.Millisecond, own) {
					sent[ms]++
				}
			}
		}
		total := 0
		for ms := range sent {
			window := 0
			for _, k := range sent[ms:min(ms+1000, len(sent))] {
				window += k
			}
			require.LessOrEqual(t, float64(window), 1.5*rate, "%d daemons", n)
			total += sent[ms]
		}
		require.Greater(t, float64(total), rate, "%d daemons use what there is", n)
	}
}

func TestColdTargetsArePaced(t *testing.T) {
	cold := plain("a")
	cold.ColdFor = 3 * time.Second
	b := bookOf(cold)
	a := Ask{Service: "plain", Left: time.Second}
	sent := 0
	for ms := range 1000 {
		if c := b.Choose(time.Duration(ms)*time.Millisecond, a); c.Target != nil {
			sent++
		} else {
			require.Equal(t, Full, c.Reason)
		}
	}
	require.InDelta(t, 20, sent, 1)
	b.SetDaemons([]string{"others"})
	require.Nil(t, b.Choose(2*time.Second, a).Target, "a daemon that is not listed has no part")
	require.NotNil(t, b.Choose(4*time.Second, a).Target, "warm by now")
}

func BenchmarkChoose(b *testing.B) {
	var hosts []*site.Host
	for i := range 90 {
		hosts = append(hosts, head(fmt.Sprintf("h%02d", i), "m0"))
	}
	book := bookOf(hosts...)
	b.ReportAllocs()
	for b.Loop() {
		if book.Choose(1, ask("m0")).Target == nil {
			b.Fatal("no target")
		}
	}
}

// TestDarkDomainIsLeft lets heads of one domain be unreachable, as when it has lost its power:
// after the first the request goes to another domain, though that has more to do. A head that
// answers there, or time, ends that.
func TestDarkDomainIsLeft(t *testing.T) {
	heads := make([]*site.Host, 8)
	for i := range heads {
		heads[i] = head(fmt.Sprintf("h%d", i), "m0")
		heads[i].Domain = []string{"dark", "lit"}[i/4]
	}
	b := bookOf(heads...)
	for _, h := range heads[4:] {
		for range 6 {
			b.Begin(h.ID, 0)
		}
	}
	a := ask("m0")
	chosen := func(now time.Duration) string {
		c := b.Choose(now, a)
		require.NotNil(t, c.Target)
		return c.Target.Host.ID
	}
	first := chosen(0)
	require.Equal(t, "dark", b.Target(first).Host.Domain, "its heads seem to have less to do")
	b.Begin(first, 1000)
	b.End(0, first, Outcome{Prompt: 1000, Silent: true})
	a.Avoid = []string{first}
	for at := time.Duration(0); at < darkFor; at += darkFor / 4 {
		require.Equal(t, "lit", b.Target(chosen(at)).Host.Domain)
	}
	require.Equal(t, "dark", b.Target(chosen(darkFor)).Host.Domain)
	b.End(darkFor, first, Outcome{Silent: true})
	require.Equal(t, "lit", b.Target(chosen(darkFor)).Host.Domain)
	b.Began(darkFor, "h1", 0, site.Load{})
	require.Equal(t, "dark", b.Target(chosen(darkFor)).Host.Domain)
}
