// Package engineapi defines the HTTP protocol of model engines and plain services: the headers
// of requests, the status reports of engines, and the orders that change an engine's role.
//
// An incarnation is one run of an engine's or service's process. A group is a set of engines
// that serve a model together; its generation rises whenever its members change. An order has
// a fencing token, so that an engine can refuse an order that a newer one has superseded.
package engineapi

// Headers of requests to engines and services, and of their answers.
const (
	// HeaderAttempt is the attempt's ID. The answer must repeat it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderIncarnation is the ID of the incarnation that answers.
	HeaderIncarnation = "X-Incarnation"
	// HeaderResumeFrom is the number of tokens that were already delivered. The engine
	// continues the answer after them.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderPriority is the priority of the customer's contract, 0 to 9.
	HeaderPriority = "X-Priority"
	// HeaderGroup and HeaderGeneration identify the group for which a request is meant. An
	// engine that is in another group or generation refuses with 421 before running it.
	HeaderGroup      = "X-Group"
	HeaderGeneration = "X-Generation"
	// HeaderNotRun is "true" in the answer of a target that refused a request before running
	// it. It proves that the request did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderIdempotencyKey is the caller's idempotency key, sent to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Paths of the engines' control interface.
const (
	PathStatus   = "/engine/status"    // GET: Status
	PathOrder    = "/engine/order"     // POST Order: OrderReply
	PathAttempts = "/engine/attempts/" // DELETE with an attempt's ID: cancels the attempt
	PathProbe    = "/engine/beat"      // GET: 204 from an engine or service that is alive
)

// Status is an engine's report on itself.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Group and Generation identify the group that the engine belongs to, and Model and Rank
	// are its model and its position there. All are empty or zero while the engine is idle.
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Model      string `json:"model,omitempty"`
	Rank       int    `json:"rank"`
	// Loaded is true once the weights are loaded, whether or not the other members are
	// connected.
	Loaded bool `json:"loaded"`
	// Ready is true once the weights are loaded and all members are connected.
	Ready bool `json:"ready"`
	// FencingToken is the highest fencing token that the engine has seen in an order.
	FencingToken uint64 `json:"fence"`
	// ChecksFencing reports whether the engine refuses an order with a lower fencing token.
	ChecksFencing bool `json:"checksFencing"`
	// InFlight and QueuedTokens are the requests and tokens at the engine. They lag behind its
	// actual load.
	InFlight     int   `json:"inFlight"`
	QueuedTokens int64 `json:"queuedTokens"`
	// CompleteAnswers is the number of complete answers since the incarnation started.
	CompleteAnswers int64 `json:"answered"`
}

// OrderKind is the change that an order requests.
type OrderKind string

const (
	// OrderJoin makes the engine load the model and join a group.
	OrderJoin OrderKind = "join"
	// OrderIdle makes the engine leave its group and unload the model.
	OrderIdle OrderKind = "idle"
	// OrderRetire makes the engine give up its role: the process ends its incarnation, and the
	// platform starts a new one.
	OrderRetire OrderKind = "retire"
)

// Order is a change of an engine's role. Engines that check fencing refuse an order with a
// lower fencing token than one they have received before.
type Order struct {
	// FencingToken rises with every takeover of the engine's fabric domain and with every change
	// of the assignment of hosts to groups or of a pin in it, also while the same daemon sends
	// the orders, so that engines can refuse an order from before the change. It also rises after
	// an engine refused an order although no other daemon has taken the domain over. Between two
	// such changes a join has a higher token than other orders.
	FencingToken uint64    `json:"fence"`
	Kind         OrderKind `json:"kind"`

	// The fields below are set for OrderJoin only.

	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Model      string `json:"model,omitempty"`
	Weights    string `json:"weights,omitempty"` // name of the model's weights
	Rank       int    `json:"rank"`              // position of this engine in Members
	// Members are the addresses of the group's engines in rank order.
	Members []string `json:"members,omitempty"`
}

// OrderReply answers an order, with status 200 if it was accepted and 409 if it was refused
// because of its fencing token.
type OrderReply struct {
	Accepted bool   `json:"taken"` // whether the order was accepted
	Status   Status `json:"status"`
}
