package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// assignment is the engine's place in a group, as a join order gives it.
type assignment struct {
	order  engineapi.Order
	ctx    context.Context // cancelled when the engine leaves the group
	cancel context.CancelFunc
}

func (a *assignment) isFor(o engineapi.Order) bool {
	return a != nil && a.order.Group == o.Group && a.order.Generation == o.Generation &&
		a.order.Rank == o.Rank && slices.Equal(a.order.Members, o.Members)
}

// state is the state of one incarnation, which is lost when the incarnation ends.
type state struct {
	options Options
	gate    *warmth.Gate

	mu         sync.Mutex
	fence      uint64      // highest accepted fencing token
	retiring   bool        // a retire order has been accepted
	assignment *assignment // nil without a group
	weights    string      // model and weights that are loaded; empty if none are
	// completeAt is when all members were last seen loaded. brokenAt is when one was first
	// missing after that. Both are zero until the group has been complete.
	complete     bool
	completeAt   time.Time
	brokenAt     time.Time
	attempts     map[string]context.CancelFunc // cancel functions of the runs, by attempt ID
	queuedTokens int64                         // tokens still to be generated, over all runs
	prefixes     *prefixCache

	// The load of the last report and when it was taken. Reports repeat it until ReportMaxAge.
	reportedAt       time.Time
	reportedInFlight int
	reportedQueued   int64
}

func newState(o Options) *state {
	return &state{
		options: o, gate: warmth.New(o.Warmth),
		attempts: make(map[string]context.CancelFunc), prefixes: newPrefixCache(o.PrefixCacheSize),
	}
}

func (s *state) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded()
}

func (s *state) loaded() bool {
	return s.assignment != nil && s.weights == weightsOf(s.assignment.order)
}

func weightsOf(o engineapi.Order) string { return o.Model + "\x00" + o.Weights }

// ready reports whether the engine considers its group ready. It keeps doing so for
// LossReportDelay after the loss of a member. The caller holds mu.
func (s *state) ready(now time.Time) bool {
	if !s.loaded() || s.completeAt.IsZero() {
		return false
	}
	return s.complete || now.Sub(s.brokenAt) < s.options.LossReportDelay
}

func (s *state) report(now time.Time) engineapi.Status {
	gate := s.gate.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reportedAt) >= s.options.ReportMaxAge {
		s.reportedAt, s.reportedInFlight, s.reportedQueued = now, gate.InFlight, s.queuedTokens
	}
	status := engineapi.Status{
		Ready: s.ready(now), FencingToken: s.fence, InFlight: s.reportedInFlight,
		QueuedTokens: s.reportedQueued, CompleteAnswers: gate.CompleteAnswers,
	}
	if s.assignment != nil {
		o := s.assignment.order
		status.Group, status.Generation, status.Model, status.Rank = o.Group, o.Generation, o.Model, o.Rank
	}
	return status
}

// setComplete records whether a poll has just found every member of the assignment loaded.
func (s *state) setComplete(a *assignment, complete bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment != a {
		return
	}
	switch {
	case complete:
		s.completeAt = now
	case s.complete:
		s.brokenAt = now
	}
	s.complete = complete
}

// brokenFor returns for how long the assignment has lacked a member. ok is false while the
// group is complete.
func (s *state) brokenFor(a *assignment, now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignment != a || s.complete {
		return 0, false
	}
	return now.Sub(s.brokenAt), true
}

// track registers a run so that it can be cancelled.
func (s *state) track(id string, tokens int, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id] = cancel
	s.queuedTokens += int64(tokens)
}

func (s *state) untrack(id string, tokensLeft int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, id)
	s.queuedTokens -= int64(tokensLeft)
}

func (s *state) countToken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedTokens--
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
