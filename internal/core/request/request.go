// Package request leads each caller's request from admission to its one final
// answer: it chooses targets, claims keys, retries what may be retried, and says
// truthfully what became of the request.
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

// DefaultTimeout is a request's deadline where neither caller nor contract gives one.
const DefaultTimeout = 30 * time.Second

// Fleet is what the request path needs to know of targets.
type Fleet interface {
	Candidates(now step.Time, model, service string) []*fleet.Target
	Begin(now step.Time, name string, tokens int64)
	End(now step.Time, name string, tokens int64, ending step.Ending, incarnation string)
}

// Config is what the request path needs of the configuration in force.
type Config interface {
	Contract(customer string) (*object.Contract, bool)
	Model(name string) (*object.Model, bool)
	Service(name string) (*object.Service, bool)
}

// Limits reserves and settles a customer's allowance.
type Limits interface {
	// Admit reserves for one request; a refusal names the remedy and when to come back.
	Admit(now step.Time, customer string, c *object.Contract, tokens int64) (account.Ticket, Refusal)
	// Settle replaces the reservation by what was used.
	Settle(now step.Time, u Used)
}

// Refusal says why a request is over a limit; an empty Message admits it.
type Refusal struct {
	Message    string
	RetryAfter time.Duration
	// Later says that the allowance is being renewed: the request may wait for it.
	Later bool
	// Outage says that the allowance can't be renewed since the platform does not answer.
	Outage bool
}

// Used is what one finished request used, and how well it was served.
type Used struct {
	Customer string
	Ticket   account.Ticket
	Reserved int64 // tokens estimated at admission
	Tokens   int64 // tokens counted by the engine, or delivered
	Outcome  object.Outcome
	// Attempt speaks of this sending alone, where more is known of it: one that was
	// answered from an earlier sending's claim did not run.
	Attempt object.Outcome
	// Whole, FirstToken and WorstGap are what the objectives look at.
	Whole      bool
	FirstToken time.Duration
	WorstGap   time.Duration
}

// Parts are what a manager is made of.
type Parts struct {
	DataCentre string // of this daemon
	Fleet      Fleet
	Config     Config
	Limits     Limits
	Claims     *claim.Manager
	Poison     *poison.Book
	Retry      retry.Settings
	Admit      admit.Settings
}

// Manager holds the requests that are not answered yet.
type Manager struct {
	Parts
	budget   *retry.Budget
	calls    map[step.RequestID]*call
	pools    map[pool]*admit.Queue
	order    []pool         // pools in order of first use
	suspects map[string]int // suspected requests in flight by target
	parked   []step.RequestID
	// reserving are the requests that wait for the allowance of their customer.
	reserving []step.RequestID
	// closed says why nothing new is taken, or is empty.
	closed step.Code
	// held keeps waiting requests waiting.
	held bool
}

// pool names the targets that a request can go to.
type pool struct {
	model   string
	service string
}

type phase uint8

const (
	waiting   phase = iota + 1 // for a free place at a target
	claiming                   // a place is held; the claim is being written
	running                    // an attempt is in flight
	parked                     // it may have ended targets; the proof is awaited
	reserving                  // the customer's allowance is being renewed
)

// call is one request on its way.
type call struct {
	req      step.Request
	contract *object.Contract
	phase    phase
	arrived  time.Duration
	deadline time.Duration
	tokens   int64
	// idempotent work may run more than once.
	idempotent bool
	// suspect tells that the running attempt is one of a suspected request.
	suspect bool
	gone    bool // the caller left
	ran     bool // some attempt may have run
	// reserved says that the customer's allowance covers the request.
	reserved bool

	attempts    int
	attempt     step.AttemptID
	claim       step.AttemptID // attempt that owns the key, empty until granted
	to          step.Destination
	target      string
	incarnation string
	started     time.Duration
	tried       []string
	doubts      []doubt
	delivered   int
	used        Used
}

// doubt is a target that failed a request in a way that it may be dead. The
// request goes there again only after a report from after the failure.
type doubt struct {
	target string
	since  time.Duration
}

// doubted reports whether the target failed this request and has not been heard since.
func (c *call) doubted(t *fleet.Target) bool {
	for _, d := range c.doubts {
		if d.target == t.Name && t.ReportedAt <= d.since {
			return true
		}
	}
	return false
}

// New returns a manager without requests.
func New(p Parts) *Manager {
	return &Manager{
		Parts:    p,
		budget:   retry.New(p.Retry),
		calls:    make(map[step.RequestID]*call),
		pools:    make(map[pool]*admit.Queue),
		suspects: make(map[string]int),
	}
}

// Len returns the number of requests that are not answered yet.
func (m *Manager) Len() int { return len(m.calls) }

// Close makes the manager refuse new requests with a code; an empty code opens it.
func (m *Manager) Close(code step.Code) { m.closed = code }

// Hold says whether requests wait although a target is free, since the configuration in
// force may be old. The next tick after the end of it hands out the places.
func (m *Manager) Hold(held bool) { m.held = held }

// On takes a new request.
func (m *Manager) On(now step.Time, r step.Request, out *step.Out) {
	c := &call{req: r, arrived: now.Mono, tokens: int64(r.PromptTokens + r.MaxTokens)}
	if refusal := m.check(now, c); refusal != nil {
		m.refuse(c, *refusal, out)
		return
	}
	m.calls[r.ID] = c
	m.reserve(now, c, out)
}

// check runs every check that needs no target. It returns the refusal, or nil.
func (m *Manager) check(now step.Time, c *call) *step.Answer {
	if m.closed != "" {
		return &step.Answer{Status: 503, Code: m.closed, Message: closedMessage(m.closed), RetryAfter: time.Second}
	}
	contract, ok := m.Config.Contract(c.req.Customer)
	if !ok {
		return &step.Answer{Status: 401, Code: step.CodeUnauthorized, Message: "the key belongs to no contract: ask your operator for a key"}
	}
	c.contract = contract
	c.deadline = now.Mono + timeout(c.req, contract)
	if refusal := m.reachable(c); refusal != nil {
		return refusal
	}
	if c.req.Key != "" && !c.idempotent {
		if err := m.Claims.Settings().CheckKey(now, c.req.Key); err != nil {
			return &step.Answer{Status: keyStatus(err.Code), Code: err.Code, Message: err.Remedy}
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

// reachable checks that the contract covers the model or service, and that it exists.
func (m *Manager) reachable(c *call) *step.Answer {
	if c.req.Model != "" {
		c.idempotent = true // generating again harms nobody
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

func timeout(r step.Request, c *object.Contract) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	if c.DeadlineMillis > 0 {
		return time.Duration(c.DeadlineMillis) * time.Millisecond
	}
	return DefaultTimeout
}

func keyStatus(code step.Code) int {
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
