package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestLeavingHostGetsNothingNew lets a host say in an answer that it leaves. It must get no
// request until it restarts, whatever its entry says, and requests in flight go on.
func TestLeavingHostGetsNothingNew(t *testing.T) {
	x := startedWithSlack(t)
	_, effects := x.call("/read/1", "key")
	f := x.requireForward(effects)
	leaving := step.HostNotice{Host: f.Host, Notice: site.Notice{Leaving: true}}
	require.Empty(t, x.reduce(leaving), "the request in flight goes on")
	require.NotContains(t, x.hostsServing("/read/2"), f.Host)

	x.reduce(step.SiteHosts{Hosts: []site.Host{plainHost(f.Host)}})
	require.NotContains(t, x.hostsServing("/read/3"), f.Host, "its entry does not say yet that it leaves")
	x.reduce(step.SiteHosts{Gone: []string{f.Host}})
	x.reduce(step.SiteHosts{Hosts: []site.Host{plainHost(f.Host)}})
	require.NotContains(t, x.hostsServing("/read/4"), f.Host, "its entry had lapsed")

	restarted := plainHost(f.Host)
	restarted.Incarnation++
	x.reduce(step.SiteHosts{Hosts: []site.Host{restarted}})
	require.Contains(t, x.hostsServing("/read/5"), f.Host)
	x.reduce(leaving)
	require.NotContains(t, x.hostsServing("/read/6"), f.Host)
}

// TestGroupOfLeavingHeadGetsNothingNew lets the head of a group say that it leaves.
func TestGroupOfLeavingHeadGetsNothingNew(t *testing.T) {
	x := startedWithSlack(t)
	x.reduce(step.HostNotice{Host: "h1", Notice: site.Notice{Leaving: true}})
	require.Equal(t, map[string]bool{"h2": true}, x.hostsServing("/chat/1"))
}

// TestQuietHostGetsNothing lets hosts ask for quiet. They must get neither first attempts nor
// retries nor moved streams until the time is over. If all of them ask, requests are refused at
// once with the shortest time, and no retry is spent.
func TestQuietHostGetsNothing(t *testing.T) {
	x := startedWithSlack(t)
	quiet := func(host string, d time.Duration) {
		x.reduce(step.HostNotice{Host: host, Notice: site.Notice{Quiet: d}})
	}
	_, effects := x.call("/read/1", "key")
	f := x.requireForward(effects)
	other := map[string]string{"a": "b", "b": "a"}[f.Host]
	quiet(other, 3*time.Second)
	a := x.requireAnswer(x.endAttempt(f, step.EndedRefused, 503))
	require.Equal(t, 503, a.Status)
	require.Equal(t, 3*time.Second, a.RetryAfter)
	require.NotContains(t, x.hostsServing("/read/2"), other)

	quiet(f.Host, 2*time.Second)
	_, effects = x.call("/read/1", "key")
	a = x.requireAnswer(effects)
	require.Equal(t, 503, a.Status)
	require.Equal(t, step.CodeOverloaded, a.Code)
	require.Equal(t, 2*time.Second, a.RetryAfter)
	x.now += 2 * time.Second
	require.Equal(t, map[string]bool{f.Host: true}, x.hostsServing("/read/3"))
	x.now += time.Second
	require.Contains(t, x.hostsServing("/read/4"), other)
}

// TestQuietHeadGetsNoMovedStream stalls a stream while the only other head asks for quiet.
func TestQuietHeadGetsNoMovedStream(t *testing.T) {
	x := startedWithSlack(t)
	_, effects := x.call("/chat/1", "key")
	f := x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: f.ID, Attempt: f.Attempt})
	x.reduce(step.HostNotice{Host: map[string]string{"h1": "h2", "h2": "h1"}[f.Host], Notice: site.Notice{Quiet: time.Minute}})
	require.Empty(t, x.reduce(step.AnswerStalled{ID: f.ID, Attempt: f.Attempt, TargetSilence: time.Second}))
}

// TestNoRetryIsSpentWithoutTarget lets the only target refuse requests. The budget of retries
// must be left for requests that have another target.
func TestNoRetryIsSpentWithoutTarget(t *testing.T) {
	x := newHarness(t)
	x.configure(1)
	x.setHosts(plainHost("a"))
	x.now = 10 * time.Second
	for i := range 200 {
		effects := x.reduce(step.Call{ID: step.RequestID("n" + string(rune('0'+i))), Host: "h", Path: "/read/1", Key: "key"})
		require.Equal(t, 503, x.requireAnswer(x.endAttempt(x.requireForward(effects), step.EndedRefused, 503)).Status)
		x.now += time.Millisecond
	}
	x.setHosts(plainHost("a"), plainHost("b"))
	_, effects := x.call("/read/1", "key")
	x.requireForward(x.endAttempt(x.requireForward(effects), step.EndedRefused, 503))
}

// TestInvalidQuietIsIgnored checks that a request for quiet that can't be read has no effect.
func TestInvalidQuietIsIgnored(t *testing.T) {
	x := startedWithSlack(t)
	for _, host := range []string{"a", "b"} {
		x.reduce(step.HostNotice{Host: host, Notice: site.Notice{InvalidQuiet: "soon"}})
	}
	require.Len(t, x.hostsServing("/read/1"), 2)
}

// TestHandedOverRequestNamesHostsThatLeave guards against requests that reach a host that has told their caller's daemon that it leaves.
func TestHandedOverRequestNamesHostsThatLeave(t *testing.T) {
	x := cutOff(t)
	x.reduce(step.HostNotice{Host: "a", Notice: site.Notice{Leaving: true}})
	x.reduce(step.HostNotice{Host: "h1", Notice: site.Notice{Leaving: true}})
	_, effects := x.call("/once/1", "key")
	last, _ := x.failUntilHandedOver(effects, step.EndedUnsent)
	named := last.(step.Forward).LeavingHosts
	require.Equal(t, []step.LeavingHost{{Host: "a", Incarnation: 1}}, named, "those of its service")

	y := newHarness(t)
	y.configure(1)
	restarted := plainHost("b")
	restarted.Incarnation = 2
	y.setHosts(plainHost("a"), restarted)
	named = append(named, step.LeavingHost{Host: "b", Incarnation: 1}, step.LeavingHost{Host: "unknown", Incarnation: 1})
	for i := range 8 {
		id := step.RequestID(fmt.Sprintf("taken%d", i))
		call := step.Call{ID: id, CallerID: string(id), Host: "h", Path: "/once/1", Key: "key", HandedOver: true, MaxRuns: 1, LeavingHosts: named}
		if i > 3 {
			call.LeavingHosts = nil
		}
		require.Equal(t, "b", y.requireForward(y.reduce(call)).Host)
	}
	many := make([]site.Host, 2*maxLeavingHosts)
	for i := range many {
		many[i] = plainHost(fmt.Sprintf("many%d", i))
	}
	y.setHosts(many...)
	for _, h := range many {
		y.reduce(step.HostNotice{Host: h.ID, Notice: site.Notice{Leaving: true}})
	}
	require.Len(t, y.s.leavingHosts("plain"), maxLeavingHosts)

	z := started(t)
	z.reduce(step.Call{ID: "r", CallerID: "r", Host: "h", Path: "/once/1", Key: "none", HandedOver: true, MaxRuns: 1, LeavingHosts: named})
	require.False(t, z.s.hosts["a"].Draining, "a request without a valid key says nothing")
}
