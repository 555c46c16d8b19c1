package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Platform is the adapter to the users' platform.
type Platform interface {
	HeaderCodec
	Engines
	// Follow registers this daemon in the platform's store, and posts the store's contents and
	// changes to the subscriber until the context ends.
	Follow(ctx context.Context, s Subscriber)
	// ChangesHandler answers other daemons that query changes in the store.
	ChangesHandler() http.Handler
	// ReadLease and WriteLease execute the effects of the same names.
	ReadLease(ctx context.Context, r step.ReadLease) step.LeaseAnswered
	WriteLease(ctx context.Context, w step.WriteLease) step.LeaseAnswered
	// StoreVerdict and RemoveVerdict execute the effects of the same names.
	StoreVerdict(ctx context.Context, v step.StoreVerdict) step.VerdictAnswered
	RemoveVerdict(ctx context.Context, v step.RemoveVerdict) step.VerdictAnswered
}

// Subscriber receives what Follow reads from the platform's store.
type Subscriber struct {
	// Post sends an event to the reducer.
	Post func(step.Event)
	// NeedsPromptHosts reports whether changes of hosts must arrive as soon as possible, at
	// the cost of more calls to the store. That is so while the daemon holds the lease.
	NeedsPromptHosts func() bool
}

// HeaderCodec translates between the platform's headers and the types of this package.
type HeaderCodec interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) CallHeader
	// ToTarget turns a caller's headers, without the hop-by-hop ones, into those of an
	// attempt, in place.
	ToTarget(h http.Header, a AttemptHeader)
	// ToDaemon turns a caller's headers, without the hop-by-hop ones, into those of a request that is
	// handed over to another daemon, in place. They are the caller's own but for the time left.
	ToDaemon(h http.Header, timeLeft time.Duration)
	// FromTarget reads the headers of a target's answer. callerID is the ID that the caller
	// gave the request.
	FromTarget(status int, h http.Header, callerID string) AnswerHeader
	// ToCaller sets the headers of an error answer of the daemon itself.
	ToCaller(h http.Header, callerID string, retryAfter time.Duration)
}

// CallHeader is what a caller states about its request. Zero values mean that it states
// nothing.
type CallHeader struct {
	ID           string
	Key          string
	TimeLeft     time.Duration // until the caller gives up
	Model        string
	PromptTokens int
	MaxTokens    int
	// SharedParts are the IDs of the parts of its prompt that other requests may share.
	SharedParts []uint64
}

// AttemptHeader is what the daemon adds to the caller's headers for a target.
type AttemptHeader struct {
	Host     string // the only host that may run the request
	Team     string
	Urgency  int           // rank of the request at the target, 0 first
	TimeLeft time.Duration // until the daemon gives up the attempt
	// LastEventID is the last event that the caller has, for an attempt that resumes a stream.
	// If it is empty, the caller's own header stays.
	LastEventID string
}

// AnswerHeader is what a target states about its answer.
type AnswerHeader struct {
	// MatchesRequest is set if the answer has the ID that the caller gave the request.
	// Otherwise the answer is treated as one to another request.
	MatchesRequest bool
	// NotRun is set if the target states that it did not run the request and will not.
	NotRun bool
	// Contradictory is set if the target states that, with a status that says the opposite.
	Contradictory bool
	Load          site.Load // the target's load; zero if it states none
	// Notice is what the target states about its availability.
	Notice site.Notice
	// Limit is valid if the answer is the target's own.
	Limit site.LimitStatement
}

// EngineStatement is what an engine states about itself with any answer.
type EngineStatement struct {
	Notice site.Notice
	Limit  site.LimitStatement
}

// Engines is the control interface of model engines.
type Engines interface {
	// Report requests the report of the engine at an address, host:port. The statement is valid
	// also if the request fails.
	Report(ctx context.Context, address string) (site.Report, EngineStatement, error)
	// Order sends an order to an engine. The outcome says whether the engine may have received
	// it.
	Order(ctx context.Context, o step.SendGroupOrder) step.OrderOutcome
}
