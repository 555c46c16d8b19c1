package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

func config() *site.Config {
	return &site.Config{Services: map[string]*site.Service{
		"plain": {Name: "plain", ColdRequestsPerSecond: 20},
		"llm": {Name: "llm", ColdRequestsPerSecond: 26, Engine: &site.Engine{
			Slots: 26, StepTime: 6 * time.Millisecond, StepTimePerRequest: 45 * time.Microsecond, StepsPerEvent: 7, PromptTokensPerSecond: 50000,
			MeanPromptTokens: 1000, MeanAnswerTokens: 180, Models: []site.Model{{Name: "m0", GroupSize: 4, TimeFactor: 1}, {Name: "m1", GroupSize: 3, TimeFactor: 0.6}},
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

func newTable(hosts ...*site.Host) *Table {
	b := New("d0", "dc")
	b.SetDaemons([]string{"d0"})
	b.Update(0, config(), hosts, nil)
	return b
}

func newRequest(model string) Request {
	return Request{Service: "llm", Model: model, PromptTokens: 1000, TimeLeft: 5 * time.Second}
}

func TestOnlyOpenHeadsOfTheModelServe(t *testing.T) {
	member, closing, other, leaver, out := head("b", "m0"), head("c", "m0"), head("d", "m1"), head("e", "m0"), head("f", "m0")
	member.Member.Rank = 1
	closing.Member.Phase = site.Closing
	out.DataCentre = "gone"
	gone := &site.Host{ID: "x", Service: "llm", Draining: true, Member: site.Membership{Group: leaver.Member.Group, Rank: 2, Phase: site.Ready}}
	b := New("d0", "dc")
	b.Update(0, config(), []*site.Host{member, closing, other, leaver, out, gone}, map[string]bool{"gone": true})
	c := b.Choose(0, newRequest("m0"))
	require.Nil(t, c.Target)
	require.Equal(t, NoHost, c.Reason)
	require.Positive(t, c.RetryAfter)
	require.Equal(t, "d", b.Choose(0, newRequest("m1")).Target.Host.ID)
}

// TestLoadSpreads places requests on heads of which one has requests of other daemons, and one
// has long prompts to read. Requests must go where they begin first, up to the capacity of
// each engine.
func TestLoadSpreads(t *testing.T) {
	b := newTable(head("a", "m0"), head("b", "m0"), head("c", "m0"))
	b.StartRequest("b", 1000)
	b.AnswerBegan(0, "b", 1000, site.Load{Running: 20, Slots: 26})
	b.StartRequest("c", 30000)
	counts := make(map[string]int)
	for range 70 {
		c := b.Choose(0, newRequest("m0"))
		if c.Target == nil {
			require.Equal(t, Full, c.Reason)
			break
		}
		counts[c.Target.Host.ID]++
		b.StartRequest(c.Target.Host.ID, 1000)
		b.AnswerBegan(0, c.Target.Host.ID, 1000, site.Load{})
	}
	require.Equal(t, 26+maxWaitingAtEngine, counts["a"])
	require.Equal(t, 26+maxWaitingAtEngine-20, counts["b"])
	require.Equal(t, 26+maxWaitingAtEngine-1, counts["c"])
}

// TestStaleLoadDoesNotAttractAllDaemons lets many daemons choose at the same moment, as when a
// group is lost. All of them got a report some seconds ago that one head had little load. That
// head must not get all of their requests. A report that has just come still counts in full.
func TestStaleLoadDoesNotAttractAllDaemons(t *testing.T) {
	for age, most := range map[time.Duration]int{0: 62, 5 * time.Second: 25} {
		counts := make(map[string]int)
		for i := range uint64(62) {
			b := newTable(head("a", "m0"), head("b", "m0"), head("c", "m0"), head("d", "m0"))
			for id, running := range map[string]int{"a": 1, "b": 12, "c": 13, "d": 14} {
				b.StartRequest(id, 0)
				b.EndRequest(time.Second, id, Outcome{AnswerBegan: true, Load: site.Load{Running: running, Slots: 26}})
			}
			choice := b.Choose(time.Second+age, Request{Service: "llm", Model: "m0", PromptTokens: 1000, TimeLeft: 8 * time.Second, Spread: i})
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

// TestFullHeadIsTriedAgain lets a head report that it is full, and sends it nothing more. It
// must be tried with one request after a while.
func TestFullHeadIsTriedAgain(t *testing.T) {
	b := newTable(head("a", "m0"))
	b.StartRequest("a", 0)
	b.EndRequest(0, "a", Outcome{Refused: true, Load: site.Load{Running: 26, Waiting: 30, Slots: 26}})
	require.Equal(t, Full, b.Choose(10*time.Millisecond, newRequest("m0")).Reason)
	require.NotNil(t, b.Choose(2*fullMaxAge, newRequest("m0")).Target)
	b.StartRequest("a", 0)
	require.Equal(t, Full, b.Choose(2*fullMaxAge, newRequest("m0")).Reason)
}

func TestRequestThatCantMeetItsDeadlineIsRefused(t *testing.T) {
	b := newTable(head("a", "m0"))
	late := newRequest("m0")
	late.TimeLeft = 20 * time.Millisecond
	require.Equal(t, TooLate, b.Choose(0, late).Reason)
}

// TestModelsThatNobodyServesLeaveNothing guards against memory that callers take by naming models.
func TestModelsThatNobodyServesLeaveNothing(t *testing.T) {
	b := newTable(head("a", "m0"))
	for i := range 100 {
		require.Equal(t, NoHost, b.Choose(0, newRequest(fmt.Sprint("x", i))).Reason)
	}
	require.Empty(t, b.learned)
}

// TestSuspicionEnds keeps requests away from a suspect host, for longer each time, but sends
// them there if there is no other. An answer must end the suspicion.
func TestSuspicionEnds(t *testing.T) {
	b := newTable(plain("a"), plain("b"))
	a := Request{Service: "plain", TimeLeft: time.Second}
	b.Suspect(0, "a")
	for spread := range uint64(20) {
		a.Spread = spread
		require.Equal(t, "b", b.Choose(0, a).Target.Host.ID)
	}
	a.AvoidHosts = []string{"b"}
	require.Equal(t, "a", b.Choose(0, a).Target.Host.ID, "a suspect host is better than none")
	b.Suspect(suspectBackoff, "a")
	require.Greater(t, b.Target("a").suspectUntil, 2*suspectBackoff)
	b.AnswerBegan(0, "a", 0, site.Load{})
	require.Zero(t, b.Target("a").suspectUntil)
}

// TestFailingTargetIsAvoided checks that requests avoid a host that fails some of them,
// although its load is low.
func TestFailingTargetIsAvoided(t *testing.T) {
	b := newTable(plain("a"), plain("b"))
	for range 3 {
		b.StartRequest("a", 0)
		b.EndRequest(0, "a", Outcome{AnswerBegan: true, Failed: true})
	}
	for range 6 {
		c := b.Choose(time.Second, Request{Service: "plain", TimeLeft: time.Second})
		require.Equal(t, "b", c.Target.Host.ID)
		b.StartRequest("b", 0)
	}
	require.Equal(t, "a", b.Choose(time.Minute, Request{Service: "plain", TimeLeft: time.Second}).Target.Host.ID, "old failures must not count")
}

// TestColdRateHoldsOverAllDaemons lets one to hundreds of daemons send to a cold target as
// much as each may. In no second may more than one and a half times the rate arrive in total.
func TestColdRateHoldsOverAllDaemons(t *testing.T) {
	for _, n := range []int{1, 2, 9, 62, 340} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("d%d", i))
		}
		const rate = 26.0
		sent := make([]int, 3000) // by millisecond
		for _, d := range names {
			own := ownColdRate(names, d, rendezvous.Hash("target"), rate)
			var limiter spacer
			for ms := range sent {
				if limiter.take(time.Duration(ms)*time.Millisecond, own) {
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
		require.Greater(t, float64(total), rate, "%d daemons must use the full rate", n)
	}
}

func TestColdTargetsAreRateLimited(t *testing.T) {
	cold := plain("a")
	cold.ColdLeft = 3 * time.Second
	b := newTable(cold)
	a := Request{Service: "plain", TimeLeft: time.Second}
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
	require.Nil(t, b.Choose(2*time.Second, a).Target, "a daemon that is not listed must get no part")
	require.NotNil(t, b.Choose(4*time.Second, a).Target, "the target is warm by now")
}

// TestTargetsOfADataCentreThatReturnsAreTakenForCold guards against a full load at targets that have cooled down without work.
func TestTargetsOfADataCentreThatReturnsAreTakenForCold(t *testing.T) {
	c := config()
	c.Services["plain"].ColdDuration = 3 * time.Second
	b := New("d0", "dc")
	b.SetDaemons([]string{"d0"})
	hosts := []*site.Host{plain("a")}
	b.Update(0, c, hosts, nil)
	b.Update(0, c, hosts, map[string]bool{"dc": true})
	b.Update(10*time.Second, c, hosts, nil)
	b.Update(10*time.Second, c, hosts, nil)
	sent := 0
	for ms := range 1000 {
		if b.Choose(10*time.Second+time.Duration(ms)*time.Millisecond, Request{Service: "plain", TimeLeft: time.Second}).Target != nil {
			sent++
		}
	}
	require.InDelta(t, 20, sent, 1)
	require.NotNil(t, b.Choose(13*time.Second, Request{Service: "plain", TimeLeft: time.Second}).Target)
}

func BenchmarkChoose(b *testing.B) {
	var hosts []*site.Host
	for i := range 90 {
		hosts = append(hosts, head(fmt.Sprintf("h%02d", i), "m0"))
	}
	table := newTable(hosts...)
	b.ReportAllocs()
	for b.Loop() {
		if table.Choose(1, newRequest("m0")).Target == nil {
			b.Fatal("no target")
		}
	}
}

// TestUnreachableDomainIsAvoided makes heads of one domain unreachable, as when it has lost
// its power. After the first failed attempt the request must go to another domain, although
// that has more load. An answer of a head in the first domain, or time, ends that.
func TestUnreachableDomainIsAvoided(t *testing.T) {
	heads := make([]*site.Host, 8)
	for i := range heads {
		heads[i] = head(fmt.Sprintf("h%d", i), "m0")
		heads[i].Domain = []string{"unreachable", "up"}[i/4]
	}
	b := newTable(heads...)
	for _, h := range heads[4:] {
		for range 6 {
			b.StartRequest(h.ID, 0)
		}
	}
	a := newRequest("m0")
	chosen := func(now time.Duration) string {
		c := b.Choose(now, a)
		require.NotNil(t, c.Target)
		return c.Target.Host.ID
	}
	first := chosen(0)
	require.Equal(t, "unreachable", b.Target(first).Host.Domain, "its heads must seem to have less load")
	b.StartRequest(first, 1000)
	b.EndRequest(0, first, Outcome{PromptTokens: 1000, Unreached: true})
	a.AvoidHosts = []string{first}
	for at := time.Duration(0); at < unreachedHostMaxAge; at += unreachedHostMaxAge / 4 {
		require.Equal(t, "up", b.Target(chosen(at)).Host.Domain)
	}
	require.Equal(t, "unreachable", b.Target(chosen(unreachedHostMaxAge)).Host.Domain)
	b.EndRequest(unreachedHostMaxAge, first, Outcome{Unreached: true})
	require.Equal(t, "up", b.Target(chosen(unreachedHostMaxAge)).Host.Domain)
	b.AnswerBegan(unreachedHostMaxAge, "h1", 0, site.Load{})
	require.Equal(t, "unreachable", b.Target(chosen(unreachedHostMaxAge)).Host.Domain)
}

// limitedTable has plain hosts that name a limit, at one of some daemons.
func limitedTable(limit float64, daemons, hosts int) *Table {
	limits := hostlimit.New("d0")
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("d%d", i))
	}
	limits.SetDaemons(names)
	var all []*site.Host
	for i := range hosts {
		h := plain(fmt.Sprintf("h%03d", i))
		limits.Record(0, hostlimit.Statement{Host: h.ID, Incarnation: h.Incarnation, PerSecond: limit, AsOf: 1}, true)
		all = append(all, h)
	}
	b := newTable()
	b.SetLimits(limits)
	b.Update(0, &site.Config{Services: map[string]*site.Service{"plain": {Name: "plain"}}}, all, nil)
	return b
}

// TestTargetsThatNameALimitGetNoMore sends all that one of two daemons may, and then lets the limit of one
// target end.
func TestTargetsThatNameALimitGetNoMore(t *testing.T) {
	b := limitedTable(10, 2, 2)
	a := Request{Service: "plain", TimeLeft: time.Second}
	sent := make(map[string]int)
	second := func(from time.Duration) {
		clear(sent)
		for ms := range 1000 {
			a.Spread = uint64(ms)
			if c := b.Choose(from+time.Duration(ms)*time.Millisecond, a); c.Target != nil {
				sent[c.Target.Host.ID]++
			} else {
				require.Equal(t, Limited, c.Reason)
				require.Positive(t, c.RetryAfter)
			}
		}
	}
	second(time.Second)
	require.Equal(t, map[string]int{"h000": 5, "h001": 5}, sent)
	b.limits.Record(2*time.Second, hostlimit.Statement{Host: "h000", Incarnation: 0, AsOf: 2 * time.Second}, true)
	second(10 * time.Second)
	require.Greater(t, sent["h000"], 100)
	require.Equal(t, 5, sent["h001"])
}

// TestLeastOfTwoLimitsCounts lets a cold target name a limit.
func TestLeastOfTwoLimitsCounts(t *testing.T) {
	for _, limit := range []float64{4, 1000} {
		b := limitedTable(limit, 1, 1)
		cold := plain("h000")
		cold.ColdLeft = time.Minute
		b.SetDaemons([]string{b.self})
		b.Update(0, &site.Config{Services: map[string]*site.Service{"plain": {Name: "plain", ColdRequestsPerSecond: 20}}}, []*site.Host{cold}, nil)
		sent := 0
		for ms := range 1000 {
			if b.Choose(time.Duration(ms)*time.Millisecond, Request{Service: "plain", TimeLeft: time.Second}).Target != nil {
				sent++
			}
		}
		require.InDelta(t, min(limit, 20), sent, 1)
	}
}

// BenchmarkPeekLimited chooses among 730 targets, all or none of which name a limit, at one of 340 daemons.
func BenchmarkPeekLimited(b *testing.B) {
	for _, limit := range []float64{0, 5} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			tbl := limitedTable(limit, 340, 730)
			a := Request{Service: "plain", TimeLeft: time.Second}
			for i := 0; b.Loop(); i++ {
				tbl.Choose(time.Duration(i)*time.Millisecond, a)
			}
		})
	}
}

// TestNamesOfModelsTakeNoMemory guards against a table that grows with the names of models that callers
// choose: nothing is learned of a model that no target serves.
func TestNamesOfModelsTakeNoMemory(t *testing.T) {
	b := newTable(head("a", "m0"))
	for i := range 1000 {
		require.Nil(t, b.Choose(0, newRequest(fmt.Sprint("unknown", i))).Target)
	}
	require.LessOrEqual(t, len(b.learned), 1)
}

// TestCorrectionFadesWithoutSamples guards against a pool that refuses all callers with little time for a
// correction from a slow spell: refused requests are no samples, so nothing else lowers it.
func TestCorrectionFadesWithoutSamples(t *testing.T) {
	b := newTable(head("a", "m0"))
	for range 200 {
		b.RecordFirstEvent(time.Second, Sample{Service: "llm", Model: "m0", Host: "a", Estimated: 50 * time.Millisecond, Measured: 2 * time.Second})
	}
	r := newRequest("m0")
	r.TimeLeft = 400 * time.Millisecond
	b.StartRequest("a", 0)
	for _, now := range []time.Duration{2 * time.Second, time.Minute} {
		b.AnswerBegan(now, "a", 0, site.Load{Running: 1, Slots: 26}) // else one request a second is a probe
		require.Equal(t, now > 30*time.Second, b.Choose(now, r).Target != nil)
	}
}

// TestOldReportsDontRefuseForEver guards against a pool in which no target is ever tried again: all heads
// reported waiting requests, all callers have less time than those would take, and so no answer brings a
// newer report.
func TestOldReportsDontRefuseForEver(t *testing.T) {
	for _, load := range []site.Load{{Running: 26, Waiting: 30, Slots: 26}, {Running: 26, Waiting: 8, Slots: 26}} {
		b := newTable(head("a", "m0"), head("b", "m0"))
		for _, id := range []string{"a", "b"} {
			b.StartRequest(id, 0)
			b.EndRequest(time.Second, id, Outcome{AnswerBegan: true, Load: load})
		}
		r := newRequest("m0")
		r.TimeLeft, r.MaxWaiting = 250*time.Millisecond, 13
		require.Nil(t, b.Choose(time.Second, r).Target)
		sent := 0
		for i := range 100 {
			if b.Choose(10*time.Second+time.Duration(i)*20*time.Millisecond, r).Target != nil {
				sent++
			}
		}
		require.Equal(t, 2, sent, "one probe a second")
	}
}
