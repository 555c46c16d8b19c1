package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// harness drives one reducer and checks its effects.
type harness struct {
	t     *testing.T
	s     *State
	now   time.Duration
	calls int
	// crashed are the hosts that refuse connections; all others accept them.
	crashed map[string]bool
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, s: New(Settings{
		Daemon: "d0", Incarnation: "r0", DataCentre: "dc", Cores: 1,
		Limits: step.GatewaySettings{RetryShare: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, EngineStall: 5 * time.Second, ShutdownTimeout: 8 * time.Second},
	})}
}

// reduce passes an event to the reducer and returns the effects other than log lines and probes
// of hosts, which it answers.
func (x *harness) reduce(ev step.Event) []step.Effect {
	var kept []step.Effect
	var probes []step.HostProbed
	for _, e := range x.s.Reduce(step.Time{Mono: x.now}, ev) {
		switch e := e.(type) {
		case step.Log:
		case step.ProbeHost:
			result := step.ProbeAccepted
			if x.crashed[e.Host] {
				result = step.ProbeRefused
			}
			probes = append(probes, step.HostProbed{Host: e.Host, Result: result, Sent: x.now, PathOf: e.PathOf})
		default:
			kept = append(kept, e)
		}
	}
	for _, p := range probes {
		kept = append(kept, x.reduce(p)...)
	}
	return kept
}

func (x *harness) configure(version int64) {
	c := &site.Config{
		Version: version, KeysRequired: true, Teams: map[string]*site.Team{"key": {Name: "team", Priority: 3, HasPriority: true}},
		Services: map[string]*site.Service{
			"plain": {Name: "plain"},
			"llm": {Name: "llm", Engine: &site.Engine{
				Slots: 26, StepTime: 6 * time.Millisecond, StepsPerEvent: 7, PromptTokensPerSecond: 50000, MeanAnswerTokens: 180,
				Models: []site.Model{{Name: "m", GroupSize: 1, TimeFactor: 1, Share: 1}},
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
	x.reduce(step.SiteConfig{Revision: uint64(version), Config: c})
}

// setDaemons lists n daemons, all of which take calls of others.
func (x *harness) setDaemons(n int) {
	var e step.SiteDaemons
	for i := range n {
		e.Daemons = append(e.Daemons, step.Peer{Daemon: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("d%d:1", i)})
	}
	x.reduce(e)
}

// setLeaseHolder makes another daemon the lease holder.
func (x *harness) setLeaseHolder(holder string) {
	for ; ; x.now += 50 * time.Millisecond {
		for _, e := range x.reduce(step.Tick{}) {
			answer := step.LeaseAnswered{Revision: 7, Lease: step.ControlLease{Holder: holder, Incarnation: "r"}}
			switch e := e.(type) {
			case step.ReadLease:
				answer.Op, answer.Status = e.Op, step.ReplyOK
			case step.WriteLease:
				answer.Op, answer.Status = e.Op, step.ReplyConflict
			default:
				continue
			}
			x.reduce(answer)
			return
		}
	}
}

func (x *harness) setHosts(hosts ...site.Host) { x.reduce(step.SiteHosts{Full: true, Hosts: hosts}) }

func plainHost(id string) site.Host {
	return site.Host{ID: id, Service: "plain", Address: id, DataCentre: "dc", Slots: 6, Incarnation: 1}
}

func openHead(id string) site.Host {
	return site.Host{
		ID: id, Service: "llm", Address: id, DataCentre: "dc", Slots: 26, Incarnation: 1, Model: "m",
		Member: site.Membership{Group: site.GroupID{Name: id, Epoch: 1}, Phase: site.Open},
	}
}

// started returns a harness with a configuration and hosts, and without any request yet.
func started(t *testing.T) *harness {
	x := newHarness(t)
	x.configure(1)
	x.setDaemons(1)
	x.setHosts(plainHost("a"), plainHost("b"), openHead("h1"), openHead("h2"))
	return x
}

// startedWithSlack returns a harness that has run for so long that it has its slack of
// retries.
func startedWithSlack(t *testing.T) *harness {
	x := started(t)
	x.now = 10*time.Second + learnTime
	return x
}

func (x *harness) call(path, key string) (step.RequestID, []step.Effect) {
	x.calls++
	id := step.RequestID([]string{"", "q1", "q2", "q3", "q4", "q5", "q6", "q7", "q8"}[x.calls])
	r := step.Call{ID: id, CallerID: "caller-" + string(id), Host: "H:80", Path: path, Key: key}
	if path == "/chat/1" {
		r.Model, r.PromptTokens = "m", 500
	}
	return id, x.reduce(r)
}

func (x *harness) requireForward(effects []step.Effect) step.Forward {
	x.t.Helper()
	require.Len(x.t, effects, 1)
	f, ok := effects[0].(step.Forward)
	require.True(x.t, ok, "%+v", effects[0])
	return f
}

func (x *harness) requireAnswer(effects []step.Effect) step.Answer {
	x.t.Helper()
	require.Len(x.t, effects, 1)
	a, ok := effects[0].(step.Answer)
	require.True(x.t, ok, "%+v", effects[0])
	return a
}

func (x *harness) endAttempt(f step.Forward, ending step.Ending, status int) []step.Effect {
	return x.reduce(step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: ending, Status: status}})
}

func TestRefusalsBeforeConfigurationAreTemporary(t *testing.T) {
	x := newHarness(t)
	_, effects := x.call("/nowhere/", "")
	a := x.requireAnswer(effects)
	require.Equal(t, 503, a.Status)
	require.Positive(t, a.RetryAfter)
	require.False(t, x.s.lifecycle.reportedReady)
}

func TestRoutesAndKeys(t *testing.T) {
	x := startedWithSlack(t)
	for _, c := range []struct {
		path, key string
		status    int
	}{{"/nowhere/", "key", 404}, {"/read", "key", 404}, {"/read/1", "", 401}, {"/read/1", "other", 401}} {
		_, effects := x.call(c.path, c.key)
		require.Equal(t, c.status, x.requireAnswer(effects).Status, "%s with %q", c.path, c.key)
	}
	_, effects := x.call("/read/open/1", "other")
	require.Empty(t, x.requireForward(effects).Team, "a public route needs no key, and an unknown key belongs to no team")
	_, effects = x.call("/read/1", "key")
	f := x.requireForward(effects)
	require.Equal(t, "team", f.Team)
	require.Equal(t, 3, f.Urgency, "the team's priority overrides the route's")
}

func TestOlderConfigurationIsNotApplied(t *testing.T) {
	x := startedWithSlack(t)
	x.configure(7)
	x.configure(3)
	require.EqualValues(t, 7, x.s.Config().Version)
}

// TestNonRepeatableRequestRunsOnce ends the attempts of a request that must not run twice in
// every way. The request may be sent again, and answered 503, only if it surely did not run.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	for ending, status := range map[step.Ending]int{
		step.EndedBroken: 502, step.EndedWrongAttempt: 502, step.EndedTimeout: 504,
	} {
		x := startedWithSlack(t)
		_, effects := x.call("/once/1", "key")
		f := x.requireForward(effects)
		require.False(t, f.MayRepeat)
		require.Zero(t, f.FirstByteTimeout, "the attempt must wait for a target that sends nothing")
		require.Equal(t, status, x.requireAnswer(x.endAttempt(f, ending, 0)).Status, ending)
	}
	for _, ending := range []step.Ending{step.EndedUnsent, step.EndedRefused} {
		x := startedWithSlack(t)
		_, effects := x.call("/once/1", "key")
		first := x.requireForward(effects)
		second := x.requireForward(x.endAttempt(first, ending, 503))
		require.NotEqual(t, first.Host, second.Host)
		a := x.requireAnswer(x.endAttempt(second, ending, 503))
		require.Equal(t, 503, a.Status)
		require.Positive(t, a.RetryAfter)
	}
}

// TestFailuresOfTargetsArePassedOn checks that the caller gets the target's own failure answer
// if the request may not be sent to another target, or if none is left to try.
func TestFailuresOfTargetsArePassedOn(t *testing.T) {
	x := startedWithSlack(t)
	_, effects := x.call("/once/1", "key")
	f := x.requireForward(effects)
	require.Equal(t, []step.Effect{step.Deliver{ID: f.ID, Attempt: f.Attempt}}, x.endAttempt(f, step.EndedError, 500))
	_, effects = x.call("/read/1", "key")
	first := x.requireForward(effects)
	second := x.requireForward(x.endAttempt(first, step.EndedError, 500))
	require.Equal(t, []step.Effect{step.Deliver{ID: second.ID, Attempt: second.Attempt}}, x.endAttempt(second, step.EndedError, 500))
}

// TestStreamMovesOnceItsTargetStalls checks that a stream leaves its target only if that
// sends nothing for any request, and no more often than the route allows.
func TestStreamMovesOnceItsTargetStalls(t *testing.T) {
	x := startedWithSlack(t)
	_, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: f.ID, Attempt: f.Attempt})
	require.Empty(t, x.reduce(step.AnswerStalled{ID: f.ID, Attempt: f.Attempt, TargetSilence: 10 * time.Millisecond}), "the target serves other requests")
	stalled := step.AnswerStalled{ID: f.ID, Attempt: f.Attempt, TargetSilence: time.Second}
	require.Equal(t, []step.Effect{step.Cancel{ID: f.ID, Attempt: f.Attempt}}, x.reduce(stalled))
	require.Empty(t, x.reduce(stalled), "the request is moving already")
	next := x.requireForward(x.endAttempt(f, step.EndedCancelled, 200))
	require.NotEqual(t, f.Host, next.Host)
	require.Empty(t, x.reduce(step.AnswerStalled{ID: next.ID, Attempt: next.Attempt, TargetSilence: time.Second}), "the route allows two targets")
	require.Equal(t, 502, x.requireAnswer(x.endAttempt(next, step.EndedBroken, 200)).Status)
}

// TestSuspicionsAreSentInLargeDeployments lets a head stall. The lease holder must get a
// suspicion if it orders many hosts, once per interval, and none about hosts of a plain
// service.
func TestSuspicionsAreSentInLargeDeployments(t *testing.T) {
	sendsSuspicion := func(x *harness, f step.Forward) bool {
		for _, e := range x.reduce(step.AnswerStalled{ID: f.ID, Attempt: f.Attempt, TargetSilence: time.Second}) {
			if notify, ok := e.(step.NotifySuspect); ok {
				require.Equal(t, step.NotifySuspect{Daemon: "d1", Address: "d1:1", Host: f.Host}, notify)
				return true
			}
		}
		return false
	}
	few := startedWithSlack(t)
	few.setDaemons(2)
	few.setLeaseHolder("d1")
	_, effects := few.call("/chat/1", "key")
	require.False(t, sendsSuspicion(few, few.requireForward(effects)))

	many := startedWithSlack(t)
	hosts := []site.Host{plainHost("a"), openHead("h1")}
	for i := range 200 {
		h := openHead(fmt.Sprintf("e%d", i))
		h.Member = site.Membership{}
		hosts = append(hosts, h)
	}
	many.setHosts(hosts...)
	_, effects = many.call("/chat/1", "key")
	f := many.requireForward(effects)
	require.False(t, sendsSuspicion(many, f), "no lease holder is known")
	many.setDaemons(2)
	many.setLeaseHolder("d1")
	many.now += suspicionInterval
	require.True(t, sendsSuspicion(many, f))
	require.False(t, sendsSuspicion(many, f), "a suspicion was sent just now")
	many.now += suspicionInterval
	require.True(t, sendsSuspicion(many, f))
	_, effects = many.call("/read/1", "key")
	require.False(t, sendsSuspicion(many, many.requireForward(effects)), "a plain service has no groups")
}

// TestUnreachableTargetsDoNotCountAsAttempts lets more targets in a row be unreachable than a
// request may have attempts. None of them got the request, so the next one must still answer
// it.
func TestUnreachableTargetsDoNotCountAsAttempts(t *testing.T) {
	x := startedWithSlack(t)
	hosts := []site.Host{plainHost("a")}
	for i := range 2 * maxUnsentAttempts {
		hosts = append(hosts, openHead(fmt.Sprintf("e%d", i)))
	}
	x.setHosts(hosts...)
	_, effects := x.call("/chat/1", "key")
	for range maxUnsentAttempts - 1 {
		effects = x.endAttempt(x.requireForward(effects), step.EndedUnsent, 0)
	}
	f := x.requireForward(effects)
	require.NotEmpty(t, x.endAttempt(f, step.EndedComplete, 200))

	_, effects = x.call("/chat/1", "key")
	for range maxUnsentAttempts {
		effects = x.endAttempt(x.requireForward(effects), step.EndedUnsent, 0)
	}
	require.Equal(t, 503, x.requireAnswer(effects).Status, "no target has the request")
}

func TestRetriesStayWithinBudget(t *testing.T) {
	x := startedWithSlack(t)
	x.setDaemons(10)
	retries := 0
	for i := range 200 {
		id := step.RequestID(string(rune('A'+i%26)) + string(rune('a'+i/26)))
		effects := x.reduce(step.Call{ID: id, Host: "h", Path: "/read/1", Key: "key"})
		f := x.requireForward(effects)
		for _, e := range x.endAttempt(f, step.EndedBroken, 0) {
			if next, ok := e.(step.Forward); ok {
				retries++
				x.endAttempt(next, step.EndedComplete, 200)
			}
		}
		x.now += 10 * time.Second / 200 // all in one window
	}
	require.LessOrEqual(t, float64(retries), 0.2*200+50.0/10)
	require.Greater(t, retries, 20)
}

func TestCallerDisconnects(t *testing.T) {
	x := startedWithSlack(t)
	id, effects := x.call("/read/1", "key")
	f := x.requireForward(effects)
	require.Equal(t, []step.Effect{step.Cancel{ID: id, Attempt: f.Attempt}}, x.reduce(step.CallerGone{ID: id}))
	require.Equal(t, 499, x.requireAnswer(x.endAttempt(f, step.EndedCancelled, 0)).Status, "the request must not be sent again")
	id, _ = x.call("/once/1", "key")
	require.Empty(t, x.reduce(step.CallerGone{ID: id}), "a request that must not run twice continues")
}

func TestStoppingDaemon(t *testing.T) {
	x := startedWithSlack(t)
	stoppedAt := x.now
	x.s.lease.Release()
	require.Contains(t, x.reduce(step.Stop{}), step.SetReady{Ready: false})
	_, effects := x.call("/read/1", "key")
	f := x.requireForward(effects)
	x.now += unreadyDelay + time.Millisecond
	_, effects = x.call("/chat/1", "key")
	require.Equal(t, step.CodeShuttingDown, x.requireAnswer(effects).Code, "a stream could not be ended well")
	_, effects = x.call("/read/1", "key")
	late := x.requireForward(effects)
	require.Less(t, late.Deadline, stoppedAt+x.s.settings.Limits.ShutdownTimeout)
	x.now = stoppedAt + x.s.settings.Limits.ShutdownTimeout - finalAnswerReserve - (late.Deadline - x.now) + time.Millisecond
	_, effects = x.call("/read/1", "key")
	require.Equal(t, step.CodeShuttingDown, x.requireAnswer(effects).Code, "it might not end before the daemon does")
	x.endAttempt(late, step.EndedComplete, 200)
	effects = x.endAttempt(f, step.EndedComplete, 200)
	require.Equal(t, []step.Effect{step.Deliver{ID: f.ID, Attempt: f.Attempt}, step.CloseConnections{}}, effects)
	x.now += time.Second
	require.Empty(t, x.reduce(step.Tick{}), "a caller may still be reading its answer, or sending a body")
	require.Contains(t, x.reduce(step.ConnectionsClosed{}), step.Exit{})
}

// TestRequestsInFlightAreAnsweredBeforeTheDaemonExits guards against requests that a stop leaves without a final answer.
func TestRequestsInFlightAreAnsweredBeforeTheDaemonExits(t *testing.T) {
	x := startedWithSlack(t)
	x.s.settings.Limits.ShutdownTimeout = 8 * time.Second
	x.s.lease.Release()
	var sent []step.Forward
	for _, path := range []string{"/read/1", "/once/1", "/read/1", "/read/1"} {
		_, effects := x.call(path, "key")
		sent = append(sent, x.requireForward(effects))
	}
	x.reduce(step.Stop{})
	x.now += 8*time.Second - finalAnswerReserve - time.Millisecond
	require.Empty(t, x.reduce(step.Tick{}))
	x.now += time.Millisecond
	effects := x.reduce(step.Tick{})
	require.Contains(t, effects, step.CloseConnections{})
	for _, f := range sent {
		require.Contains(t, effects, step.Cancel{ID: f.ID, Attempt: f.Attempt})
	}
	for i, c := range []struct {
		ending step.Ending
		status int
	}{{step.EndedCancelled, 504}, {step.EndedCancelled, 504}, {step.EndedUnsent, 503}, {step.EndedRefused, 503}} {
		answer := x.requireAnswer(x.endAttempt(sent[i], c.ending, 0))
		require.Equal(t, c.status, answer.Status, "an attempt that ends as %s", c.ending)
		require.Equal(t, step.CodeShuttingDown, answer.Code)
	}
	_, effects = x.call("/read/1", "key")
	require.Equal(t, 503, x.requireAnswer(effects).Status)
	require.Contains(t, x.reduce(step.ConnectionsClosed{}), step.Exit{})
}

// TestDaemonExitsThoughConnectionsStayOpen guards against a stop that outlasts its timeout.
func TestDaemonExitsThoughConnectionsStayOpen(t *testing.T) {
	x := startedWithSlack(t)
	x.s.settings.Limits.ShutdownTimeout = 8 * time.Second
	_, effects := x.call("/once/1", "key")
	x.requireForward(effects)
	x.reduce(step.Stop{})
	x.now += 8*time.Second - exitReserve
	require.Contains(t, x.reduce(step.Tick{}), step.Exit{})
}

// TestHostsMissingAfterStoreOutage checks that hosts missing when the store comes back still
// count for a while: their entries may have expired during the outage.
func TestHostsMissingAfterStoreOutage(t *testing.T) {
	x := startedWithSlack(t)
	x.reduce(step.PlatformState{Reachable: true})
	x.reduce(step.PlatformState{Reachable: false})
	x.now = 10 * time.Second
	x.reduce(step.PlatformState{Reachable: true})
	x.setHosts(plainHost("a"))
	require.Contains(t, x.s.hosts, "b")
	x.now += time.Second
	x.reduce(step.SiteHosts{Hosts: []site.Host{plainHost("b")}})
	x.now += 2 * missingHostGrace
	x.reduce(step.Tick{})
	require.Contains(t, x.s.hosts, "b", "back in time")
	require.NotContains(t, x.s.hosts, "h1", "not back in time")
}
