// Package engine is a stub model engine for tests and measurements. It forms groups
// by order, and answers completions with text that depends on the prompt alone, so that a
// caller can check every token. An engine answers requests only while it is the head of a
// group whose members are all loaded.
//
// An engine loses its state when its incarnation ends (see package lifecycle): by a crash, a
// retire order, or an overload while it is cold (see package warmth). Faults make it misbehave
// in further ways.
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
	// defaultMaxTokens is the length of an answer whose request gives none.
	defaultMaxTokens = 32
	// prefixBytes is the length of the prompt prefixes in the cache.
	prefixBytes = 64
	// maxBodyBytes bounds what is read of a request body.
	maxBodyBytes = 16 << 20
	// crashMarker ends the incarnation of an engine that runs a prompt with this text.
	crashMarker = "{{crash}}"
	// closeDelay is the wait between the answer to a retire order or a crash setting and the
	// reset of all connections, so that the answer arrives first.
	closeDelay = 20 * time.Millisecond
)

// Paths of the control interface.
const (
	PathStats  = "/stub/stats"
	PathFaults = "/stub/faults"
)

// Options are the settings of an engine.
type Options struct {
	Host string
	// ChecksFencing makes the engine refuse orders with an older fencing token.
	ChecksFencing bool
	// PersistsFence makes the highest fencing token survive the end of an incarnation.
	PersistsFence bool
	// TokenGap is the time between two tokens of one answer.
	TokenGap time.Duration
	// FirstToken is the time to the first token if the prompt's prefix is cached. MissPenalty
	// is added if it is not.
	FirstToken  time.Duration
	MissPenalty time.Duration
	// LoadTime is the time that loading a model's weights takes. RestartDelay is the time
	// between two incarnations.
	LoadTime     time.Duration
	RestartDelay time.Duration
	// PollInterval is the interval at which the engine polls the other members of its group.
	PollInterval time.Duration
	// LossReportDelay is how long the engine keeps reporting ready after it has lost a member.
	// HangTimeout is how long a request of a group without all members hangs before its
	// connection is aborted.
	LossReportDelay time.Duration
	HangTimeout     time.Duration
	// ReportMaxAge is the maximum age of the load in a report.
	ReportMaxAge time.Duration
	// PrefixCacheSize is the number of distinct prompt prefixes in the cache.
	PrefixCacheSize int
	Warmth          warmth.Limits
}

// Engine is one engine: a sequence of incarnations, with faults and counts that outlast them.
type Engine struct {
	options Options
	process *lifecycle.Process[*state]
	client  *http.Client

	mu             sync.Mutex
	stats          Stats
	faults         Faults
	resumed        chan struct{} // closed when a pause ends
	persistedFence uint64        // highest accepted fencing token over all incarnations
}

// New returns an engine without a group.
func New(o Options) *Engine {
	e := &Engine{
		options: o,
		client:  &http.Client{Timeout: max(3*o.PollInterval, minPollTimeout)},
		resumed: make(chan struct{}),
		stats:   Stats{RunsByAttempt: make(map[string]int64)},
	}
	e.process = lifecycle.New(o.Host, o.RestartDelay, func() *state { return newState(o) })
	return e
}

// Hooks returns the server hooks that bind each connection to the incarnation that accepted
// it.
func (e *Engine) Hooks() serve.Hooks {
	return serve.Hooks{ConnContext: e.process.ConnContext, ConnState: e.process.ConnState}
}

// Handler returns the handler of the engine's interface and the control interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.holdWhilePaused)
		r.Post("/v1/chat/completions", e.handleChat)
		r.Post("/v1/completions", e.handleCompletion)
		r.Get(engineapi.PathStatus, e.handleStatus)
		r.Post(engineapi.PathOrder, e.handleOrder)
		r.Get(engineapi.PathProbe, e.handleProbe)
		r.Delete(engineapi.PathAttempts+"{id}", e.handleCancel)
	})
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, e.Stats()) })
	r.Post(PathFaults, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, e.SetFaults) })
	return r
}

func (e *Engine) handleProbe(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderIncarnation, e.process.Of(r).ID)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	i := e.process.Of(r)
	if i.State.isLoaded() {
		w.Header().Set(headerLoaded, "true")
	}
	serve.Reply(w, http.StatusOK, e.report(i))
}

// report returns the engine's status.
func (e *Engine) report(i *lifecycle.Incarnation[*state]) engineapi.Status {
	status := i.State.report(time.Now())
	status.Host = e.options.Host
	status.Incarnation = i.ID
	status.Loaded = i.State.isLoaded()
	status.ChecksFencing = e.options.ChecksFencing
	if e.options.PersistsFence {
		e.mu.Lock()
		status.FencingToken = max(status.FencingToken, e.persistedFence)
		e.mu.Unlock()
	}
	return status
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.process.Of(r).State.cancelAttempt(chi.URLParam(r, "id")) {
		http.Error(w, "no such attempt in flight", http.StatusNotFound)
		return
	}
	e.count(func(s *Stats) { s.Cancels++ })
	w.WriteHeader(http.StatusNoContent)
}
