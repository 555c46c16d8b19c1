// Package engineapi is the published protocol of model engines and plain
// services: requests with attempt IDs, reports of status, and orders.
package engineapi

// Headers of the engines' and services' protocol.
const (
	// HeaderAttempt carries the attempt's ID; the answer echoes it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderIncarnation names the process run that answers.
	HeaderIncarnation = "X-Incarnation"
	// HeaderResume is the number of tokens already delivered; the engine goes on from there.
	HeaderResume = "X-Resume-From"
	// HeaderPriority is the contract's priority, 0 to 9.
	HeaderPriority = "X-Priority"
	// HeaderGroup and HeaderGeneration name the group that the sender means to
	// reach; an engine that holds another refuses with 421 before running.
	HeaderGroup      = "X-Group"
	HeaderGeneration = "X-Generation"
	// HeaderNotRun is set to "true" by a target that refused before running.
	HeaderNotRun = "X-Not-Run"
	// HeaderKey carries a caller's idempotency key to plain services.
	HeaderKey = "Idempotency-Key"
)

// Paths of the engines' control interface.
const (
	PathStatus   = "/engine/status" // GET: Status
	PathOrder    = "/engine/order"  // POST Order: OrderReply
	PathAttempts = "/engine/attempts/"
	PathBeat     = "/engine/beat" // GET: 204, on services too
)

// Status is an engine's own report on itself.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Group and Generation are what the engine holds; empty and zero while idle.
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Model      string `json:"model,omitempty"`
	Rank       int    `json:"rank"`
	// Loaded is true once the weights are loaded, whether or not the other members are
	// there.
	Loaded bool `json:"loaded"`
	// Ready is true once weights are loaded and all members are connected.
	Ready bool `json:"ready"`
	// Fence is the highest fencing number seen; ChecksFencing says whether an
	// order with a lower one is refused.
	Fence         uint64 `json:"fence"`
	ChecksFencing bool   `json:"checksFencing"`
	// InFlight and QueuedTokens lag behind the truth.
	InFlight     int   `json:"inFlight"`
	QueuedTokens int64 `json:"queuedTokens"`
	// Answered counts whole answers since the incarnation started.
	Answered int64 `json:"answered"`
}

// OrderKind names what an order asks for.
type OrderKind string

// The orders.
const (
	// OrderJoin makes the engine load the model and join a group.
	OrderJoin OrderKind = "join"
	// OrderIdle makes the engine leave its group and unload.
	OrderIdle OrderKind = "idle"
	// OrderRetire changes the role to none: the process ends its incarnation and the
	// platform starts a new one.
	OrderRetire OrderKind = "retire"
)

// Order is a change of an engine's role. Engines that check fencing refuse one
// whose Fence is lower than one they have seen.
type Order struct {
	Fence      uint64    `json:"fence"`
	Kind       OrderKind `json:"kind"`
	Group      string    `json:"group,omitempty"`
	Generation uint64    `json:"generation,omitempty"`
	Model      string    `json:"model,omitempty"`
	Weights    string    `json:"weights,omitempty"`
	Rank       int       `json:"rank"`
	// Members are the addresses of the group's engines in rank order.
	Members []string `json:"members,omitempty"`
}

// OrderReply answers an order: 200 taken, 409 refused for its fencing number.
type OrderReply struct {
	Taken  bool   `json:"taken"`
	Status Status `json:"status"`
}
