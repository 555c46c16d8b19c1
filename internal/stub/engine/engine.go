// Package engine is a small stand-in for a model engine: it joins groups by order,
// answers completions with text that follows from the prompt alone, and can be
// told to misbehave.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

const (
	defaultMaxTokens = 32
	prefixBytes      = 64
	maxBodyBytes     = 16 << 20
	crashMarker      = "{{crash}}"
	// retireGrace lets the answer to a retire order leave before connections close.
	retireGrace = 20 * time.Millisecond
)

// Paths of the stand-in's own interface.
const (
	PathStats  = "/stub/stats"
	PathFaults = "/stub/faults"
)

// Options are the stand-in's settings.
type Options struct {
	Host          string
	ChecksFencing bool
	// KeepsFence makes the highest fencing number seen outlast a restart.
	KeepsFence bool
	// TokenGap is the time between two tokens of one answer.
	TokenGap time.Duration
	// FirstToken is the time to the first token on a cached prefix; MissPenalty is
	// added on any other.
	FirstToken  time.Duration
	MissPenalty time.Duration
	// Load is the time that loading a model takes; Restart the pause between
	// two incarnations.
	Load    time.Duration
	Restart time.Duration
	// Poll is the time between two looks at the other members of the group.
	Poll time.Duration
	// Notice is how long the engine goes on reporting ready after it lost a member;
	// BreakAfter how long a request on a broken group hangs before it is broken off.
	Notice     time.Duration
	BreakAfter time.Duration
	// ReportLag is the greatest age of the load in a status.
	ReportLag time.Duration
	// Prefixes is the number of distinct prompt prefixes kept in the cache.
	Prefixes int
	Warmth   warmth.Limits
}

// Engine is the stand-in.
type Engine struct {
	options Options
	process *lifecycle.Process[*state]
	client  *http.Client

	mu        sync.Mutex
	stats     Stats
	faults    Faults
	resumed   chan struct{} // closed when a pause ends
	keptFence uint64
}

// New returns an idle engine.
func New(o Options) *Engine {
	e := &Engine{
		options: o,
		client:  &http.Client{Timeout: max(3*o.Poll, minPollTimeout)},
		resumed: make(chan struct{}),
		stats:   Stats{RunsByAttempt: make(map[string]int64)},
	}
	e.process = lifecycle.New(o.Host, o.Restart, func() *state { return newState(o) })
	return e
}

// Hooks bind connections to incarnations; the server needs them.
func (e *Engine) Hooks() serve.Hooks {
	return serve.Hooks{ConnContext: e.process.ConnContext, ConnState: e.process.ConnState}
}

// Handler serves the engine's interface and the stand-in's own.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.holdWhilePaused)
		r.Post("/v1/chat/completions", e.chat)
		r.Post("/v1/completions", e.completion)
		r.Get(engineapi.PathStatus, e.status)
		r.Post(engineapi.PathOrder, e.order)
		r.Get(engineapi.PathBeat, e.beat)
		r.Delete(engineapi.PathAttempts+"{id}", e.cancelAttempt)
	})
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, e.Stats()) })
	r.Post(PathFaults, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, e.SetFaults) })
	return r
}

func (e *Engine) beat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderIncarnation, e.process.Of(r).ID)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) status(w http.ResponseWriter, r *http.Request) {
	i := e.process.Of(r)
	if i.State.isLoaded() {
		w.Header().Set(headerLoaded, "true")
	}
	serve.Reply(w, http.StatusOK, e.report(i))
}

// report builds the engine's status.
func (e *Engine) report(i *lifecycle.Incarnation[*state]) engineapi.Status {
	status := i.State.report(time.Now())
	status.Host = e.options.Host
	status.Incarnation = i.ID
	status.Loaded = i.State.isLoaded()
	status.ChecksFencing = e.options.ChecksFencing
	if e.options.KeepsFence {
		e.mu.Lock()
		status.Fence = max(status.Fence, e.keptFence)
		e.mu.Unlock()
	}
	return status
}

func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	if !e.process.Of(r).State.cancelAttempt(chi.URLParam(r, "id")) {
		http.Error(w, "no such attempt in flight", http.StatusNotFound)
		return
	}
	e.count(func(s *Stats) { s.Cancels++ })
	w.WriteHeader(http.StatusNoContent)
}
