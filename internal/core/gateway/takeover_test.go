package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// stalledStream returns a harness in which a stream that has begun has stalled, its attempt, and the takeover.
func stalledStream(t *testing.T) (x *harness, running, takeover step.Forward) {
	x = startedWithSlack(t)
	x.setHosts(openHead("h1"), openHead("h2"), openHead("h3"), openHead("h4"), openHead("h5"))
	_, effects := x.call("/chat/1", "key")
	running = x.requireForward(effects)
	x.reduce(step.AnswerBegan{ID: running.ID, Attempt: running.Attempt})
	x.reduce(step.StreamStarted{ID: running.ID, Attempt: running.Attempt})
	x.now += 400 * time.Millisecond
	return x, running, x.requireForward(x.reduce(stall(running)))
}

func stall(f step.Forward) step.AnswerStalled {
	return step.AnswerStalled{ID: f.ID, Attempt: f.Attempt, TargetSilence: 400 * time.Millisecond}
}

func endOf(f step.Forward, ending step.Ending, delivered int) step.ForwardEnded {
	return step.ForwardEnded{AttemptEnded: step.AttemptEnded{ID: f.ID, Attempt: f.Attempt, Ending: ending, Delivered: delivered}}
}

// TestStalledStreamOutlivesRefusedTakeovers guards against a stream of a sound target that is cancelled before another
// target has taken it, and cut once refusals have spent its attempts.
func TestStalledStreamOutlivesRefusedTakeovers(t *testing.T) {
	x, running, takeover := stalledStream(t)
	asked := map[string]bool{running.Host: true}
	for range 3 {
		require.False(t, asked[takeover.Host], "a host that has refused is asked again at once")
		asked[takeover.Host] = true
		x.now += 5 * time.Millisecond
		takeover = x.requireForward(x.reduce(endOf(takeover, step.EndedRefused, 2)))
	}
	require.Empty(t, x.reduce(endOf(takeover, step.EndedRefused, 2)), "no host is left")
	x.now += 100 * time.Millisecond
	require.Empty(t, x.reduce(stall(running)))
	x.now += refusalPause
	takeover = x.requireForward(x.reduce(stall(running)))
	require.Empty(t, answersOf(x.reduce(endOf(takeover, step.EndedBroken, 2))))
	require.Empty(t, x.reduce(step.StreamResumed{ID: running.ID, Attempt: running.Attempt}))
	require.Equal(t, []step.Effect{step.Deliver{ID: running.ID, Attempt: running.Attempt}}, x.reduce(endOf(running, step.EndedComplete, 9)))
	require.Empty(t, x.s.calls)
	x.requireIdleTargets("h1", "h2", "h3", "h4", "h5")
}

// TestStreamThatGoesOnEndsItsTakeover guards against a stream that two targets run for long.
func TestStreamThatGoesOnEndsItsTakeover(t *testing.T) {
	x, running, takeover := stalledStream(t)
	x.reduce(step.AnswerBegan{ID: takeover.ID, Attempt: takeover.Attempt})
	require.Equal(t, []step.Effect{step.Cancel{ID: takeover.ID, Attempt: takeover.Attempt}}, x.reduce(step.StreamResumed{ID: running.ID, Attempt: running.Attempt}))
	require.Empty(t, x.reduce(endOf(takeover, step.EndedCancelled, 3)))
	require.Equal(t, []step.Effect{step.Deliver{ID: running.ID, Attempt: running.Attempt}}, x.reduce(endOf(running, step.EndedComplete, 9)))
	x.requireIdleTargets("h1", "h2", "h3", "h4", "h5")
}

// TestTakeoverGoesOnAlone guards against a request that ends with its stalled attempt although another target runs it.
func TestTakeoverGoesOnAlone(t *testing.T) {
	for _, ending := range []step.Ending{step.EndedBroken, step.EndedTimeout, step.EndedWrongAttempt, step.EndedError} {
		x, running, takeover := stalledStream(t)
		require.Empty(t, answersOf(x.reduce(endOf(running, ending, 2))))
		x.reduce(step.AnswerBegan{ID: takeover.ID, Attempt: takeover.Attempt})
		x.reduce(step.StreamStarted{ID: takeover.ID, Attempt: takeover.Attempt})
		require.Equal(t, []step.Effect{step.Deliver{ID: takeover.ID, Attempt: takeover.Attempt}}, x.reduce(endOf(takeover, step.EndedComplete, 9)))
		x.requireIdleTargets("h1", "h2", "h3", "h4", "h5")
	}
}

// TestStalledTakeoverLeavesTheStreamRunning guards against a stream that is cancelled for a takeover that stalls too.
func TestStalledTakeoverLeavesTheStreamRunning(t *testing.T) {
	x, running, takeover := stalledStream(t)
	x.now += 400 * time.Millisecond
	require.Equal(t, []step.Effect{step.Cancel{ID: takeover.ID, Attempt: takeover.Attempt}}, x.reduce(stall(takeover)))
	require.Equal(t, []step.Effect{step.Deliver{ID: running.ID, Attempt: running.Attempt}}, x.reduce(endOf(running, step.EndedComplete, 9)))
	x.requireIdleTargets("h1", "h2", "h3", "h4", "h5")
}

// TestCallerGoneEndsBothAttempts guards against work that goes on for a caller that has left.
func TestCallerGoneEndsBothAttempts(t *testing.T) {
	x, running, takeover := stalledStream(t)
	require.ElementsMatch(t, []step.Effect{step.Cancel{ID: running.ID, Attempt: running.Attempt}, step.Cancel{ID: running.ID, Attempt: takeover.Attempt}}, x.reduce(step.CallerGone{ID: running.ID}))
	require.Empty(t, x.reduce(endOf(running, step.EndedCancelled, 2)))
	require.Equal(t, 499, x.requireAnswer(x.reduce(endOf(takeover, step.EndedCancelled, 2))).Status)
	x.requireIdleTargets("h1", "h2", "h3", "h4", "h5")
}

// TestTakeoversKeepToTheRoutesTargets guards against a request that more targets run than its route allows.
func TestTakeoversKeepToTheRoutesTargets(t *testing.T) {
	x, running, takeover := stalledStream(t)
	require.Empty(t, x.reduce(stall(running)), "two targets have it")
	x.reduce(step.AnswerBegan{ID: takeover.ID, Attempt: takeover.Attempt})
	x.reduce(step.StreamStarted{ID: takeover.ID, Attempt: takeover.Attempt})
	require.Empty(t, x.reduce(stall(takeover)), "two targets have had it")
}

// requireIdleTargets requires that no request counts as in flight at hosts.
func (x *harness) requireIdleTargets(hosts ...string) {
	x.t.Helper()
	for _, h := range hosts {
		require.Zero(x.t, x.s.targets.Target(h).InFlight(), h)
	}
}
