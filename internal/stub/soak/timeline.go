package soak

import (
	"fmt"
	"sync"
	"time"
)

// Scopes of a disturbance. A scope of 0 or more is the index of one daemon.
const (
	scopeStore   = -1 // the store, or the links of all daemons to it
	scopeServers = -2 // servers, or the links to them
)

// recoveryGrace is the time after a disturbance during which the affected daemons need not yet
// keep promises with a time bound.
const recoveryGrace = 4 * time.Second

// disturbance is the time of one disturbance; to is zero while it lasts.
type disturbance struct {
	scope        int
	gracefulStop bool
	from, to     time.Time
}

// timeline records all disturbances of a run. The checker excuses violations during them.
type timeline struct {
	plan *planWriter // nil in tests of the checker

	mu           sync.Mutex
	disturbances []*disturbance
}

func (t *timeline) begin(scope int, gracefulStop bool) *disturbance {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &disturbance{scope: scope, gracefulStop: gracefulStop, from: time.Now()}
	t.disturbances = append(t.disturbances, s)
	t.record("excused from", scope)
	return s
}

func (t *timeline) end(s *disturbance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.to = time.Now()
	t.record("excused to", s.scope)
}

// record writes a change of what excuses daemons, so that it stands beside the disturbances.
func (t *timeline) record(phase string, scope int) {
	if t.plan == nil {
		return
	}
	name := fmt.Sprintf("gateway-%d", scope)
	switch scope {
	case scopeStore:
		name = "store"
	case scopeServers:
		name = "servers"
	}
	t.plan.add(planLine{Phase: phase, Scope: name})
}

// disturbed reports whether a disturbance of a scope overlaps the time between from and to, or
// ended less than recoveryGrace before it. With excuseStops it ignores graceful stops.
func (t *timeline) disturbed(scope int, from, to time.Time, excuseStops bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.disturbances {
		if s.scope == scope && !(s.gracefulStop && excuseStops) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-recoveryGrace))) {
			return true
		}
	}
	return false
}

// undisturbed reports whether neither a daemon nor the store was disturbed in a time.
func (t *timeline) undisturbed(daemon int, from, to time.Time, excuseStops bool) bool {
	return !t.disturbed(daemon, from, to, excuseStops) && !t.disturbed(scopeStore, from, to, false)
}

// daemonsDisturbed reports whether any daemon was disturbed in a time, or less than recoveryGrace
// before it.
func (t *timeline) daemonsDisturbed(from, to time.Time) bool {
	t.mu.Lock()
	scopes := make(map[int]bool)
	for _, s := range t.disturbances {
		scopes[s.scope] = s.scope >= 0
	}
	t.mu.Unlock()
	for scope, isDaemon := range scopes {
		if isDaemon && t.disturbed(scope, from, to, false) {
			return true
		}
	}
	return false
}
