package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Platform is what a platform's adapter gives the daemon.
type Platform interface {
	Dialect
	Engines
	// Follow posts what the platform's store says of the deployment until the context
	// ends, and registers this daemon there.
	Follow(ctx context.Context, w Watcher)
	// Changes answers other daemons that ask for changes of hosts.
	Changes() http.Handler
	// ReadLease and WriteLease carry out the effects of the same names.
	ReadLease(ctx context.Context, r step.ReadLease) step.LeaseAnswered
	WriteLease(ctx context.Context, w step.WriteLease) step.LeaseAnswered
}

// Watcher is what follows the platform's store.
type Watcher struct {
	Post func(step.Event)
	// Prompt reports whether changes of hosts are needed sooner than they are cheap.
	Prompt func() bool
}

// Dialect translates the headers that callers, targets and this daemon exchange.
type Dialect interface {
	// ReadCall reads what a caller says of its request.
	ReadCall(h http.Header) CallHeader
	// ToTarget turns a caller's headers, without those of its connection, into those of
	// an attempt.
	ToTarget(h http.Header, a AttemptHeader)
	// FromTarget reads what a target says of its answer to a caller's request.
	FromTarget(status int, h http.Header, callerID string) AnswerHeader
	// ToCaller marks an answer of the daemon's own.
	ToCaller(h http.Header, callerID string, retryAfter time.Duration)
}

// CallHeader is what a caller says of its request.
type CallHeader struct {
	ID           string
	Key          string
	Left         time.Duration // until the caller gives up; zero if not told
	Model        string
	PromptTokens int
	MaxTokens    int
}

// AttemptHeader is what a target is told beside the caller's own headers.
type AttemptHeader struct {
	Host    string // the only one that may run the request
	Team    string
	Urgency int
	Left    time.Duration
	// After is the last event that the caller has, for an attempt that goes on with a
	// stream; empty leaves what the caller said.
	After string
}

// AnswerHeader is what a target says of its answer.
type AnswerHeader struct {
	// Mine tells that the answer belongs to the request, NotRun that the target vouches
	// that it did not and will not run it.
	Mine   bool
	NotRun bool
	Load   site.Load
}

// Engines is the control interface of model engines.
type Engines interface {
	Report(ctx context.Context, address string) (site.Report, error)
	Order(ctx context.Context, o step.SendGroupOrder) step.OrderOutcome
}
