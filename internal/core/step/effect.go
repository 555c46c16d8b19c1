package step

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Effect is one thing to be done by the loop. The concrete types are below.
type Effect interface{ effect() }

// Out gathers the effects of one step, in order.
type Out struct{ Effects []Effect }

// Add appends an effect.
func (o *Out) Add(e Effect) { o.Effects = append(o.Effects, e) }

// Log appends a Log effect.
func (o *Out) Log(id event.ID, fields ...event.Field) {
	o.Add(Log{ID: id, Fields: fields})
}

// Destination is where an attempt goes.
type Destination struct {
	Host       string
	Address    string // host:port
	Group      string // empty for plain services
	Generation uint64
}

// Dispatch starts one attempt of an admitted request.
type Dispatch struct {
	ID       RequestID
	Attempt  AttemptID
	To       Destination
	Priority int
	// Resume is the number of tokens already delivered.
	Resume int
	// Deadline is the monotonic time by which the whole answer must be there.
	Deadline time.Duration
	// Fresh asks for a new connection rather than a pooled one.
	Fresh bool
	// Idempotent tells that the call may run again; others need a connection proven alive.
	Idempotent bool
}

// Code is the machine-readable kind of an error answer.
type Code string

// The codes of error answers.
const (
	CodeUnauthorized  Code = "unauthorized"
	CodeForbidden     Code = "forbidden"
	CodeBadRequest    Code = "bad_request"
	CodeTooLarge      Code = "too_large"
	CodeNotFound      Code = "not_found"
	CodeLimit         Code = "limit_reached"
	CodeOverloaded    Code = "overloaded"
	CodeNoTarget      Code = "no_target"
	CodeQuarantined   Code = "quarantined"
	CodeKeyRunning    Code = "key_running"
	CodeKeyExpired    Code = "key_expired"
	CodeKeyDone       Code = "key_done"
	CodeNoPlatform    Code = "platform_unreachable"
	CodeTargetFailed  Code = "target_failed"
	CodeDeadline      Code = "deadline_exceeded"
	CodeCancelled     Code = "cancelled"
	CodeShuttingDown  Code = "shutting_down"
	CodeStreamBroken  Code = "stream_broken"
	CodeOutOfService  Code = "out_of_service"
	CodeIsolated      Code = "isolated"
	CodeInternalError Code = "internal"
)

// Answer ends a request with an error or a recorded answer. Nothing of a target's
// answer has been delivered, or the request is a stream that ends with an error event.
type Answer struct {
	ID      RequestID
	Status  int
	Code    Code
	Message string // names the remedy
	// Outcome speaks of the request: for a key that another attempt may have run it
	// is unknown, whatever became of this attempt.
	Outcome object.Outcome
	// Attempt speaks of this attempt alone; empty where it adds nothing.
	Attempt object.Outcome
	// RetryAfter tells the caller when to come back; zero means it does not help.
	RetryAfter time.Duration
	// Body is a recorded answer that is repeated in place of an error.
	Body []byte
}

// Deliver ends a request with the whole answer of the attempt.
type Deliver struct {
	ID      RequestID
	Attempt AttemptID
}

// Cancel stops an attempt in flight, at the target too.
type Cancel struct {
	ID      RequestID
	Attempt AttemptID
	To      Destination
}

// GetObject reads an object from the platform.
type GetObject struct {
	Op   OpID
	Kind object.Kind
	Name string
}

// PutObject writes an object if IfVersion stands; zero creates.
type PutObject struct {
	Op        OpID
	Name      string
	IfVersion object.Version
	Value     object.Value
}

// DeleteObject deletes an object if IfVersion stands.
type DeleteObject struct {
	Op        OpID
	Kind      object.Kind
	Name      string
	IfVersion object.Version
}

// Probe asks a host's engine or service for its status.
type Probe struct {
	Host    string
	Address string
	Service bool // a plain service, which answers beats only
}

// SendOrder sends an order over connection Conn and no other; if that connection
// is gone the order is not sent. Conn zero allows any.
type SendOrder struct {
	Op      OpID
	Host    string
	Address string
	Conn    uint64
	Order   engineapi.Order
	// NotAfter is the monotonic time after which the order must not be sent.
	NotAfter time.Duration
}

// SendPeer sends a message to one daemon, or to every linked one if To is empty.
type SendPeer struct {
	To      string
	Message Message
}

// Peer is a daemon that the platform lists and where it takes links.
type Peer struct {
	Daemon  string
	Address string
}

// SetPeers names the daemons to link with.
type SetPeers struct{ Peers []Peer }

// SetWake asks for a Wake event at a monotonic time.
type SetWake struct{ At time.Duration }

// SetReady turns the daemon's readiness on or off.
type SetReady struct{ Ready bool }

// SetConfig tells the loop that the configuration in force changed.
type SetConfig struct{ Revision object.Version }

// Exit ends the daemon: every request has been answered and everything handed back.
type Exit struct{}

// Log writes a numbered event.
type Log struct {
	ID     event.ID
	Fields []event.Field
}

func (Dispatch) effect()     {}
func (Answer) effect()       {}
func (Deliver) effect()      {}
func (Cancel) effect()       {}
func (GetObject) effect()    {}
func (PutObject) effect()    {}
func (DeleteObject) effect() {}
func (Probe) effect()        {}
func (SendOrder) effect()    {}
func (SendPeer) effect()     {}
func (SetPeers) effect()     {}
func (SetWake) effect()      {}
func (SetReady) effect()     {}
func (SetConfig) effect()    {}
func (Exit) effect()         {}
func (Log) effect()          {}
