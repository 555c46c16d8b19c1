package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// table drives one reducer and keeps what it decided.
type table struct {
	t     *testing.T
	s     *State
	now   time.Duration
	calls int
}

func newTable(t *testing.T) *table {
	return &table{t: t, s: New(Settings{
		Daemon: "d0", Run: "r0", DataCentre: "dc", Cores: 1,
		Bounds: step.Bounds{RetryShare: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Stall: 5 * time.Second, Grace: 8 * time.Second},
	})}
}

// do reduces an event and returns the effects without log lines.
func (x *table) do(ev step.Event) []step.Effect {
	var kept []step.Effect
	for _, e := range x.s.Reduce(step.Time{Mono: x.now}, ev) {
		if _, log := e.(step.Log); !log {
			kept = append(kept, e)
		}
	}
	return kept
}

func (x *table) configure(version int64) {
	c := &site.Config{
		Version: version, Keyed: true, Teams: map[string]*site.Team{"key": {Name: "team", Priority: 3, HasPriority: true}},
		Services: map[string]*site.Service{
			"plain": {Name: "plain"},
			"llm": {Name: "llm", Engine: &site.Engine{
				Slots: 26, Step: 6 * time.Millisecond, StepsPerPass: 7, ReadPerSecond: 50000, UsualAnswer: 180,
				Models: []site.Model{{Name: "m", Size: 1, Pace: 1, Share: 1}},
			}},
		},
		Routes: []site.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: site.Once, Timeout: 2 * time.Second, MaxTargets: 1, Shares: []site.Share{{Service: "plain", Weight: 1}}},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: site.Repeatable, Timeout: 2 * time.Second, MaxTargets: 2, Shares: []site.Share{{Service: "plain", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/read/open/", Kind: site.Repeatable, Public: true, Timeout: 2 * time.Second, MaxTargets: 2, Shares: []site.Share{{Service: "plain", Weight: 1}}},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: site.Stream, Resumable: true, Timeout: 8 * time.Second, MaxTargets: 2, Shares: []site.Share{{Service: "llm", Weight: 1}}},
		},
	}
	require.NoError(x.t, c.Prepare())
	x.do(step.SiteConfig{Revision: uint64(version), Config: c})
}

// daemons lists so many daemons, which take calls of others.
func (x *table) daemons(n int) {
	var e step.SiteDaemons
	for i := range n {
		e.Daemons = append(e.Daemons, step.Peer{Daemon: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("d%d:1", i)})
	}
	x.do(e)
}

// held lets another daemon hold the lease.
func (x *table) held(holder string) {
	for ; ; x.now += 50 * time.Millisecond {
		for _, e := range x.do(step.Tick{}) {
			if w, ok := e.(step.WriteLease); ok {
				x.do(step.LeaseAnswered{Op: w.Op, Status: step.ReplyConflict, Revision: 7, Lease: step.ControlLease{Holder: holder, Run: "r"}})
				return
			}
		}
	}
}

func (x *table) hosts(hosts ...site.Host) { x.do(step.SiteHosts{Full: true, Hosts: hosts}) }

func plainHost(id string) site.Host {
	return site.Host{ID: id, Service: "plain", Address: id, DataCentre: "dc", Slots: 6, Born: 1}
}

func openHead(id string) site.Host {
	return site.Host{
		ID: id, Service: "llm", Address: id, DataCentre: "dc", Slots: 26, Born: 1, Model: "m",
		Member: site.Membership{Group: site.GroupID{Name: id, Epoch: 1}, Phase: site.Open},
	}
}

// started knows a configuration and hosts, and has had no request.
func started(t *testing.T) *table {
	x := newTable(t)
	x.configure(1)
	x.hosts(plainHost("a"), plainHost("b"), openHead("h1"), openHead("h2"))
	return x
}

// ready has run for so long that it has its slack of retries.
func ready(t *testing.T) *table {
	x := started(t)
	x.now = 10 * time.Second
	return x
}

func (x *table) call(path, key string) (step.RequestID, []step.Effect) {
	x.calls++
	id := step.RequestID([]string{"", "q1", "q2", "q3", "q4", "q5", "q6", "q7", "q8"}[x.calls])
	r := step.Call{ID: id, CallerID: "caller-" + string(id), Host: "H:80", Path: path, Key: key}
	if path == "/chat/1" {
		r.Model, r.PromptTokens = "m", 500
	}
	return id, x.do(r)
}

func (x *table) sent(effects []step.Effect) step.Forward {
	x.t.Helper()
	require.Len(x.t, effects, 1)
	f, ok := effects[0].(step.Forward)
	require.True(x.t, ok, "%+v", effects[0])
	return f
}

func (x *table) answered(effects []step.Effect) step.Answer {
	x.t.Helper()
	require.Len(x.t, effects, 1)
	a, ok := effects[0].(step.Answer)
	require.True(x.t, ok, "%+v", effects[0])
	return a
}

func (x *table) ended(f step.Forward, ending step.Ending, status int) []step.Effect {
	return x.do(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: ending, Status: status}})
}

func TestNothingIsRefusedForGoodBeforeAConfigurationIsKnown(t *testing.T) {
	x := newTable(t)
	_, effects := x.call("/nowhere/", "")
	a := x.answered(effects)
	require.Equal(t, 503, a.Status)
	require.Positive(t, a.RetryAfter)
	require.False(t, x.s.life.ready)
}

func TestRoutesAndKeys(t *testing.T) {
	x := ready(t)
	for _, c := range []struct {
		path, key string
		status    int
	}{{"/nowhere/", "key", 404}, {"/read", "key", 404}, {"/read/1", "", 401}, {"/read/1", "other", 401}} {
		_, effects := x.call(c.path, c.key)
		require.Equal(t, c.status, x.answered(effects).Status, "%s with %q", c.path, c.key)
	}
	_, effects := x.call("/read/open/1", "other")
	require.Empty(t, x.sent(effects).Team, "a public route needs no key, and an unknown one names no team")
	_, effects = x.call("/read/1", "key")
	f := x.sent(effects)
	require.Equal(t, "team", f.Team)
	require.Equal(t, 3, f.Urgency, "the team's priority goes before the route's")
}

func TestOlderConfigurationIsNotPutInForce(t *testing.T) {
	x := ready(t)
	x.configure(7)
	x.configure(3)
	require.EqualValues(t, 7, x.s.Config().Version)
}

// TestOnceRunsOnce ends the attempts of a request that must not run twice in every way: it
// is sent again only if it surely did not run, and answered 503 only then.
func TestOnceRunsOnce(t *testing.T) {
	for ending, status := range map[step.Ending]int{
		step.EndedBroken: 502, step.EndedCrossed: 502, step.EndedTimeout: 504,
	} {
		x := ready(t)
		_, effects := x.call("/once/1", "key")
		f := x.sent(effects)
		require.False(t, f.MayRepeat)
		require.Zero(t, f.FirstPatience, "a quiet target is waited for")
		require.Equal(t, status, x.answered(x.ended(f, ending, 0)).Status, ending)
	}
	for _, ending := range []step.Ending{step.EndedUnsent, step.EndedRefused} {
		x := ready(t)
		_, effects := x.call("/once/1", "key")
		first := x.sent(effects)
		second := x.sent(x.ended(first, ending, 503))
		require.NotEqual(t, first.Host, second.Host)
		a := x.answered(x.ended(second, ending, 503))
		require.Equal(t, 503, a.Status)
		require.Positive(t, a.RetryAfter)
	}
}

// TestFailuresOfTargetsArePassedOn answers with the target's own failure where the request
// may not go elsewhere, or nothing is left to try.
func TestFailuresOfTargetsArePassedOn(t *testing.T) {
	x := ready(t)
	_, effects := x.call("/once/1", "key")
	f := x.sent(effects)
	require.Equal(t, []step.Effect{step.Deliver{ID: f.ID, Attempt: f.Attempt}}, x.ended(f, step.EndedError, 500))
	_, effects = x.call("/read/1", "key")
	first := x.sent(effects)
	second := x.sent(x.ended(first, step.EndedError, 500))
	require.Equal(t, []step.Effect{step.Deliver{ID: second.ID, Attempt: second.Attempt}}, x.ended(second, step.EndedError, 500))
}

// TestStreamMovesOnceItsTargetIsSilent gives up a stream's target only if nothing at all
// comes from it, and not more often than the route allows.
func TestStreamMovesOnceItsTargetIsSilent(t *testing.T) {
	x := ready(t)
	_, effects := x.call("/chat/1", "key")
	f := x.sent(effects)
	x.do(step.AnswerBegan{ID: f.ID, Attempt: f.Attempt})
	require.Empty(t, x.do(step.AnswerQuiet{ID: f.ID, Attempt: f.Attempt, TargetSilent: 10 * time.Millisecond}), "others are served there")
	quiet := step.AnswerQuiet{ID: f.ID, Attempt: f.Attempt, TargetSilent: time.Second}
	require.Equal(t, []step.Effect{step.Cancel{ID: f.ID, Attempt: f.Attempt}}, x.do(quiet))
	require.Empty(t, x.do(quiet), "it is moving already")
	next := x.sent(x.ended(f, step.EndedCancelled, 200))
	require.NotEqual(t, f.Host, next.Host)
	require.Empty(t, x.do(step.AnswerQuiet{ID: next.ID, Attempt: next.Attempt, TargetSilent: time.Second}), "it may run at two targets")
	require.Equal(t, 502, x.answered(x.ended(next, step.EndedBroken, 200)).Status)
}

// TestSuspectsAreToldOfLargeDeployments lets a head bring nothing: the daemon that orders
// the groups is told if it has many hosts to ask, once for a while, and not of other hosts.
func TestSuspectsAreToldOfLargeDeployments(t *testing.T) {
	told := func(x *table, f step.Forward) bool {
		for _, e := range x.do(step.AnswerQuiet{ID: f.ID, Attempt: f.Attempt, TargetSilent: time.Second}) {
			if tell, ok := e.(step.TellSuspect); ok {
				require.Equal(t, step.TellSuspect{Daemon: "d1", Address: "d1:1", Host: f.Host}, tell)
				return true
			}
		}
		return false
	}
	few := ready(t)
	few.daemons(2)
	few.held("d1")
	_, effects := few.call("/chat/1", "key")
	require.False(t, told(few, few.sent(effects)))

	many := ready(t)
	hosts := []site.Host{plainHost("a"), openHead("h1")}
	for i := range 200 {
		h := openHead(fmt.Sprintf("e%d", i))
		h.Member = site.Membership{}
		hosts = append(hosts, h)
	}
	many.hosts(hosts...)
	_, effects = many.call("/chat/1", "key")
	f := many.sent(effects)
	require.False(t, told(many, f), "nobody is known to order the groups")
	many.daemons(2)
	many.held("d1")
	many.now += tellAgain
	require.True(t, told(many, f))
	require.False(t, told(many, f), "it was told just now")
	many.now += tellAgain
	require.True(t, told(many, f))
	_, effects = many.call("/read/1", "key")
	require.False(t, told(many, many.sent(effects)), "nobody orders a plain service")
}

// TestUnreachableTargetsAreNoAttempts has more targets in a row unreachable than attempts are
// allowed: none of them had the request, and the next one answers it.
func TestUnreachableTargetsAreNoAttempts(t *testing.T) {
	x := ready(t)
	hosts := []site.Host{plainHost("a")}
	for i := range 2 * maxUnsent {
		hosts = append(hosts, openHead(fmt.Sprintf("e%d", i)))
	}
	x.hosts(hosts...)
	_, effects := x.call("/chat/1", "key")
	for range maxUnsent - 1 {
		effects = x.ended(x.sent(effects), step.EndedUnsent, 0)
	}
	f := x.sent(effects)
	require.NotEmpty(t, x.ended(f, step.EndedWhole, 200))

	_, effects = x.call("/chat/1", "key")
	for range maxUnsent {
		effects = x.ended(x.sent(effects), step.EndedUnsent, 0)
	}
	require.Equal(t, 503, x.answered(effects).Status, "nobody has it")
}

func TestRetriesKeepToTheBudget(t *testing.T) {
	x := ready(t)
	x.daemons(10)
	again := 0
	for i := range 200 {
		id := step.RequestID(string(rune('A'+i%26)) + string(rune('a'+i/26)))
		effects := x.do(step.Call{ID: id, Host: "h", Path: "/read/1", Key: "key"})
		f := x.sent(effects)
		for _, e := range x.ended(f, step.EndedBroken, 0) {
			if next, ok := e.(step.Forward); ok {
				again++
				x.ended(next, step.EndedWhole, 200)
			}
		}
		x.now += 10 * time.Second / 200 // all in one window
	}
	require.LessOrEqual(t, float64(again), 0.2*200+50.0/10)
	require.Greater(t, again, 20)
}

func TestCallersThatLeave(t *testing.T) {
	x := ready(t)
	id, effects := x.call("/read/1", "key")
	f := x.sent(effects)
	require.Equal(t, []step.Effect{step.Cancel{ID: id, Attempt: f.Attempt}}, x.do(step.CallerGone{ID: id}))
	require.Equal(t, 499, x.answered(x.ended(f, step.EndedCancelled, 0)).Status, "it is not sent again")
	id, _ = x.call("/once/1", "key")
	require.Empty(t, x.do(step.CallerGone{ID: id}), "what must not run twice goes on")
}

func TestStoppingDaemon(t *testing.T) {
	x := ready(t)
	x.s.lease.Release()
	require.Contains(t, x.do(step.Stop{}), step.SetReady{Ready: false})
	_, effects := x.call("/read/1", "key")
	f := x.sent(effects)
	x.now += noticeFor + time.Millisecond
	_, effects = x.call("/read/1", "key")
	require.Equal(t, step.CodeShuttingDown, x.answered(effects).Code)
	effects = x.ended(f, step.EndedWhole, 200)
	require.Equal(t, []step.Effect{step.Deliver{ID: f.ID, Attempt: f.Attempt}, step.Exit{}}, effects)
}

// TestHostsMissingAfterTheStoreWasAway count for a while after its return: their entries
// may have lapsed meanwhile.
func TestHostsMissingAfterTheStoreWasAway(t *testing.T) {
	x := ready(t)
	x.do(step.PlatformState{Reachable: true})
	x.do(step.PlatformState{Reachable: false})
	x.now = 10 * time.Second
	x.do(step.PlatformState{Reachable: true})
	x.hosts(plainHost("a"))
	require.Contains(t, x.s.hosts, "b")
	x.now += time.Second
	x.do(step.SiteHosts{Hosts: []site.Host{plainHost("b")}})
	x.now += 2 * returnFor
	x.do(step.Tick{})
	require.Contains(t, x.s.hosts, "b", "back in time")
	require.NotContains(t, x.s.hosts, "h1", "not back in time")
}
