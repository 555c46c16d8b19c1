package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// assignment is the group that an engine holds.
type assignment struct {
	order  engineapi.Order
	ctx    context.Context // ends when the engine leaves the group
	cancel context.CancelFunc
}

func (a *assignment) isFor(o engineapi.Order) bool {
	return a != nil && a.order.Group == o.Group && a.order.Generation == o.Generation &&
		a.order.Rank == o.Rank && slices.Equal(a.order.Members, o.Members)
}

// state is what one incarnation holds; all of it goes with the incarnation.
type state struct {
	options Options
	gate    *warmth.Gate

	mu       sync.Mutex
	fence    uint64
	retiring bool
	held     *assignment // nil while idle
	weights  string      // loaded, as model and weights; empty while loading or unloaded
	// wholeAt is when all members were last seen; brokenAt when one was first
	// missed since. Both are zero until the group has been whole.
	whole    bool
	wholeAt  time.Time
	brokenAt time.Time
	attempts map[string]context.CancelFunc
	queued   int64 // tokens still to be generated
	prefixes *prefixCache

	reportedAt       time.Time
	reportedInFlight int
	reportedQueued   int64
}

func newState(o Options) *state {
	return &state{
		options: o, gate: warmth.New(o.Warmth),
		attempts: make(map[string]context.CancelFunc), prefixes: newPrefixCache(o.Prefixes),
	}
}

func (s *state) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded()
}

func (s *state) loaded() bool {
	return s.held != nil && s.weights == weightsOf(s.held.order)
}

func weightsOf(o engineapi.Order) string { return o.Model + "\x00" + o.Weights }

// ready is what the engine reports: it notices a lost member late.
func (s *state) ready(now time.Time) bool {
	if !s.loaded() || s.wholeAt.IsZero() {
		return false
	}
	return s.whole || now.Sub(s.brokenAt) < s.options.Notice
}

func (s *state) report(now time.Time) engineapi.Status {
	gate := s.gate.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reportedAt) >= s.options.ReportLag {
		s.reportedAt, s.reportedInFlight, s.reportedQueued = now, gate.InFlight, s.queued
	}
	status := engineapi.Status{
		Ready: s.ready(now), Fence: s.fence, InFlight: s.reportedInFlight,
		QueuedTokens: s.reportedQueued, Answered: gate.Answered,
	}
	if s.held != nil {
		o := s.held.order
		status.Group, status.Generation, status.Model, status.Rank = o.Group, o.Generation, o.Model, o.Rank
	}
	return status
}

// setWhole records whether every member of the assignment was seen just now.
func (s *state) setWhole(a *assignment, whole bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != a {
		return
	}
	switch {
	case whole:
		s.wholeAt = now
	case s.whole:
		s.brokenAt = now
	}
	s.whole = whole
}

// brokenFor returns for how long the assignment has lacked a member; ok is false
// while the group is whole.
func (s *state) brokenFor(a *assignment, now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != a || s.whole {
		return 0, false
	}
	return now.Sub(s.brokenAt), true
}

// track registers an attempt so that it can be cancelled.
func (s *state) track(id string, tokens int, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id] = cancel
	s.queued += int64(tokens)
}

func (s *state) untrack(id string, tokensLeft int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, id)
	s.queued -= int64(tokensLeft)
}

func (s *state) generated() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
}

func (s *state) cancelAttempt(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel, running := s.attempts[id]
	if running {
		cancel()
	}
	return running
}

func (s *state) usePrefix(prompt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefixes.use(prompt)
}
