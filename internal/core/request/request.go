// Package request handles each caller's request on a daemon, from admission to its single
// final answer. It reserves the customer's allowance, chooses a target, claims the
// idempotency key, retries, and reports whether the request ran.
//
// A request first waits for the allowance of its customer (reserving) if that is being
// renewed. It then takes a free slot at a target, or waits for one in the queue of its model
// or service (queued). A call that must not run twice claims its key before it is sent
// (claiming). The attempt is then in flight (running). A request that may have killed several
// targets waits for a short time until it is known whether these targets died (parked).
//
// Invariants:
//   - Every request gets exactly one final answer, and its reservation is settled once.
//   - A request that is not idempotent is sent again only if the earlier attempt provably did
//     not run.
//   - An answer has the outcome NotRun only if no attempt of the request can have run.
package request

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/account"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/admit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/claim"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/poison"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/retry"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// DefaultTimeout is the time that a request may take if neither the caller nor the contract
// sets one.
const DefaultTimeout = 30 * time.Second

// Fleet gives access to the targets and counts the load that this daemon puts on them.
type Fleet interface {
	// Candidates returns the targets that serve a model or a service.
	Candidates(now step.Time, model, service string) []*fleet.Target
	// Begin adds an attempt with its estimated tokens to a target's load.
	Begin(now step.Time, name string, tokens int64)
	// End removes an attempt from a target's load. The incarnation is that of the target that
	// answered, or empty.
	End(now step.Time, name string, tokens int64, ending step.Ending, incarnation string)
}

// Config looks up contracts, models and services in the configuration in force.
type Config interface {
	Contract(customer string) (*object.Contract, bool)
	Model(name string) (*object.Model, bool)
	Service(name string) (*object.Service, bool)
}

// Limits reserves and settles a customer's allowance.
type Limits interface {
	// Admit reserves the estimated tokens of one request. A refusal names the remedy and when
	// to retry.
	Admit(now step.Time, customer string, c *object.Contract, tokens int64) (account.Ticket, Refusal)
	// Settle replaces the reservation by the actual usage.
	Settle(now step.Time, u Used)
}

// Refusal is the reason why a request is over a limit. An empty Message means that the request
// is admitted.
type Refusal struct {
	Message    string
	RetryAfter time.Duration
	// RenewalPending is set while the customer's allowance is being renewed: the request may
	// wait for it.
	RenewalPending bool
	// Outage is set if the allowance can't be renewed because the platform does not answer.
	Outage bool
}

// Used is the usage of one finished request, with the figures that service objectives need.
type Used struct {
	Customer string
	Ticket   account.Ticket
	Reserved int64 // tokens estimated at admission
	Tokens   int64 // tokens counted by the engine, or delivered
	Outcome  object.Outcome
	// Attempt is the outcome of this submission of an idempotency key alone, if it is known
	// more precisely than Outcome. A submission that was answered from the claim of an earlier
	// one did not run.
	Attempt object.Outcome
	// Complete is set if the caller got a complete answer. FirstToken is the delay until the
	// first token and WorstGap the longest pause between two tokens. The service objectives
	// are evaluated on these three fields.
	Complete   bool
	FirstToken time.Duration
	WorstGap   time.Duration
}

// Parts are the collaborators and settings of a Manager.
type Parts struct {
	DataCentre string // data centre of this daemon
	Fleet      Fleet
	Config     Config
	Limits     Limits
	Claims     *claim.Manager
	Poison     *poison.Tracker
	Retry      retry.Settings
	Admit      admit.Settings
}

// Manager handles the requests that are not answered yet. It is not safe for concurrent use.
type Manager struct {
	Parts
	budget *retry.Budget
	calls  map[step.RequestID]*call
	// pools holds one queue per model or service.
	pools            map[pool]*admit.Queue
	poolOrder        []pool         // pools in order of first use
	suspectsInFlight map[string]int // by target, number of suspected requests in flight
	parked           []step.RequestID
	// reserving are the requests that wait for the allowance of their customer.
	reserving []step.RequestID
	// closedCode is the code with which new requests are refused; empty while they are accepted.
	closedCode step.Code
	// paused keeps requests in the queues although a target may be free.
	paused bool
}

// pool names the set of targets that serve one model or one service; the other field is empty.
type pool struct {
	model   string
	service string
}

type phase uint8

const (
	queued    phase = iota + 1 // waits for a free slot at a target
	claiming                   // has a slot; the claim of its key is being written
	running                    // an attempt is in flight
	parked                     // may have killed several targets; waits for proof of their deaths
	reserving                  // waits while the customer's allowance is being renewed
)

// call is the state of one unanswered request.
type call struct {
	req       step.Request
	contract  *object.Contract
	phase     phase
	arrivedAt time.Duration
	deadline  time.Duration
	// estimatedTokens are the prompt's tokens and the most that the answer may have.
	estimatedTokens int64
	// idempotent calls may run more than once.
	idempotent bool
	// isSuspect is set if the request was suspected of killing targets when a target was last
	// chosen for it. Its attempt is then counted in Manager.suspectsInFlight.
	isSuspect  bool
	callerGone bool // the caller closed its connection
	mayHaveRun bool // at least one attempt may have run
	// hasReservation is set once the customer's allowance covers the request.
	hasReservation bool

	attempts  int            // number of attempts so far
	attempt   step.AttemptID // the last attempt
	claimedBy step.AttemptID // attempt that holds the claim of the key; empty until granted
	// destination, target and incarnation name the target of the last attempt, and startedAt is
	// when that attempt took its slot there.
	destination     step.Destination
	target          string
	incarnation     string
	startedAt       time.Duration
	triedTargets    []string        // targets at which an attempt failed
	failures        []targetFailure // those of them that may be dead
	deliveredTokens int             // tokens sent to the caller over all attempts
	used            Used
}

// targetFailure records that a request failed at a target in a way that may mean that the
// target is dead. The request may use that target again only after a report that was requested
// after the failure.
type targetFailure struct {
	target   string
	failedAt time.Duration
}

// mayBeDead reports whether the request failed at the target and no report was requested from
// the target and answered since.
func (c *call) mayBeDead(t *fleet.Target) bool {
	for _, f := range c.failures {
		if f.target == t.Name && t.ReportedAt <= f.failedAt {
			return true
		}
	}
	return false
}

// New returns a Manager that has no requests.
func New(p Parts) *Manager {
	return &Manager{
		Parts:            p,
		budget:           retry.New(p.Retry),
		calls:            make(map[step.RequestID]*call),
		pools:            make(map[pool]*admit.Queue),
		suspectsInFlight: make(map[string]int),
	}
}

// Len returns the number of requests that are not answered yet.
func (m *Manager) Len() int { return len(m.calls) }

// Close makes the manager refuse new requests with the code. An empty code accepts them again.
func (m *Manager) Close(code step.Code) { m.closedCode = code }

// SetPaused sets whether requests stay queued although a target is free. The caller pauses the
// manager while the configuration in force may be out of date. The first tick after the pause
// starts the queued requests.
func (m *Manager) SetPaused(paused bool) { m.paused = paused }

// OnRequest checks a new request and reserves its allowance.
func (m *Manager) OnRequest(now step.Time, r step.Request, out *step.Out) {
	c := &call{req: r, arrivedAt: now.Mono, estimatedTokens: int64(r.PromptTokens + r.MaxTokens)}
	if refusal := m.check(now, c); refusal != nil {
		m.refuse(c, *refusal, out)
		return
	}
	m.calls[r.ID] = c
	m.reserve(now, c, out)
}

// check runs the checks that need no target. It returns the refusal, or nil.
func (m *Manager) check(now step.Time, c *call) *step.Answer {
	if m.closedCode != "" {
		return &step.Answer{Status: 503, Code: m.closedCode, Message: closedMessage(m.closedCode), RetryAfter: time.Second}
	}
	contract, ok := m.Config.Contract(c.req.Customer)
	if !ok {
		return &step.Answer{Status: 401, Code: step.CodeUnauthorized, Message: "the key belongs to no contract: ask your operator for a key"}
	}
	c.contract = contract
	c.deadline = now.Mono + requestTimeout(c.req, contract)
	if refusal := m.checkAccess(c); refusal != nil {
		return refusal
	}
	if c.req.Key != "" && !c.idempotent {
		if err := m.Claims.Settings().CheckKey(now, c.req.Key); err != nil {
			return &step.Answer{Status: keyErrorStatus(err.Code), Code: err.Code, Message: err.Remedy}
		}
	}
	if left, condemned := m.Poison.Condemned(now, c.req.Fingerprint); condemned {
		return &step.Answer{
			Status: 422, Code: step.CodeQuarantined, RetryAfter: left,
			Message: fmt.Sprintf("targets died running this request, so it is refused for %s: change it before sending it again", left.Round(time.Second)),
		}
	}
	return nil
}

// checkAccess checks that the contract covers the model or service and that the configuration
// defines it. It also sets whether the request is idempotent.
func (m *Manager) checkAccess(c *call) *step.Answer {
	if c.req.Model != "" {
		c.idempotent = true // generating an answer twice does no harm
		if !c.contract.Covers(c.req.Model) {
			return forbidden("model", c.req.Model)
		}
		if _, ok := m.Config.Model(c.req.Model); !ok {
			return &step.Answer{Status: 404, Code: step.CodeNotFound, Message: fmt.Sprintf("model %q is not configured: see /v1/models", c.req.Model)}
		}
		return nil
	}
	if !c.contract.CoversService(c.req.Service) {
		return forbidden("service", c.req.Service)
	}
	s, ok := m.Config.Service(c.req.Service)
	if !ok {
		return &step.Answer{Status: 404, Code: step.CodeNotFound, Message: fmt.Sprintf("service %q is not configured: ask your operator for its name", c.req.Service)}
	}
	c.idempotent = s.MayRepeat(c.req.Method, c.req.Path)
	return nil
}

func forbidden(kind, name string) *step.Answer {
	return &step.Answer{Status: 403, Code: step.CodeForbidden, Message: fmt.Sprintf("your contract does not cover %s %q: ask your operator to add it", kind, name)}
}

func requestTimeout(r step.Request, c *object.Contract) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	if c.DeadlineMillis > 0 {
		return time.Duration(c.DeadlineMillis) * time.Millisecond
	}
	return DefaultTimeout
}

func keyErrorStatus(code step.Code) int {
	if code == step.CodeKeyExpired {
		return 410
	}
	return 400
}

func closedMessage(code step.Code) string {
	switch code {
	case step.CodeShuttingDown:
		return "this daemon is stopping: send the request again, to another daemon"
	case step.CodeIsolated:
		return "this daemon can't tell whether its configuration is still in force: send the request to another daemon"
	}
	return "this daemon takes no new work: send the request to another daemon"
}
