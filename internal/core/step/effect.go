package step

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Effect is one action that the loop carries out after a step. The concrete types are below and,
// for a gateway, in gateway.go.
type Effect interface{ effect() }

// Out collects the effects of one step, in order.
type Out struct{ Effects []Effect }

// Add appends an effect.
func (o *Out) Add(e Effect) { o.Effects = append(o.Effects, e) }

// Log appends a Log effect.
func (o *Out) Log(id event.ID, fields ...event.Field) {
	o.Add(Log{ID: id, Fields: fields})
}

// Destination is the target of an attempt. For a group, Host is its first member.
type Destination struct {
	Host       string
	Address    string // host:port
	Group      string // empty for plain services
	Generation uint64 // of the group; 0 for plain services
}

// Dispatch starts one attempt of an admitted request.
type Dispatch struct {
	ID       RequestID
	Attempt  AttemptID
	To       Destination
	Priority int
	// Resume is the number of tokens that earlier attempts have delivered to the caller.
	Resume int
	// Deadline is the monotonic time at which the attempt ends with EndedTimeout unless the
	// complete answer has arrived. It may be earlier than the request's own deadline.
	Deadline time.Duration
	// Fresh requires a new connection instead of a pooled one.
	Fresh bool
	// Idempotent is set if the call may run more than once. A service call that may not is
	// always sent over a new connection: a pooled one may be dead, and then it would be unknown
	// whether the call ran.
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
	CodeLimit         Code = "limit_reached" // a limit of the contract
	CodeOverloaded    Code = "overloaded"
	CodeNoTarget      Code = "no_target"
	CodeQuarantined   Code = "quarantined"
	CodeKeyRunning    Code = "key_running" // the idempotency key is claimed by another attempt
	CodeKeyExpired    Code = "key_expired" // the idempotency key is older than claims are kept
	CodeKeyDone       Code = "key_done"    // the request of the idempotency key has ended
	CodeNoPlatform    Code = "platform_unreachable"
	CodeTargetFailed  Code = "target_failed"
	CodeDeadline      Code = "deadline_exceeded"
	CodeCancelled     Code = "cancelled"
	CodeShuttingDown  Code = "shutting_down"
	CodeStreamBroken  Code = "stream_broken"
	CodeOutOfService  Code = "out_of_service"
	CodeCutOff        Code = "cut_off"     // the daemon reaches no target
	CodeDaemonBusy    Code = "daemon_busy" // the daemon has as many requests of others as it may have
	CodeOutdated      Code = "outdated"    // the daemon has an older configuration than the one that asks it
	CodeIsolated      Code = "isolated"    // the daemon is cut off from the platform and its peers
	CodeInternalError Code = "internal"
)

// Answer ends a request with an error or with a recorded answer. Either no part of a target's
// answer has been delivered, or the request is a stream, which then ends with an error event.
type Answer struct {
	ID      RequestID
	Status  int
	Code    Code
	Message string // names the remedy
	// Outcome is what is known of the request as a whole. It is unknown if another attempt with
	// the same key may have run, regardless of this request's attempts.
	Outcome object.Outcome
	// Attempt is what is known of this request's own attempt; empty if that is the same.
	Attempt object.Outcome
	// RetryAfter is the delay after which to retry; zero means that a retry does not help.
	RetryAfter time.Duration
	// Body is a recorded answer that is sent again instead of an error.
	Body []byte
}

// Deliver ends a request with the complete answer of the attempt.
type Deliver struct {
	ID      RequestID
	Attempt AttemptID
}

// Cancel stops an attempt in flight, here and at the target.
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

// PutObject writes an object if its current version is IfVersion. Zero creates the object.
type PutObject struct {
	Op        OpID
	Name      string
	IfVersion object.Version
	Value     object.Value
}

// DeleteObject deletes an object if its current version is IfVersion.
type DeleteObject struct {
	Op        OpID
	Kind      object.Kind
	Name      string
	IfVersion object.Version
}

// Probe requests the status of a host's engine or service. HostReport is the reply.
type Probe struct {
	Host    string
	Address string
	Service bool // the host runs a plain service, which supports only engineapi.PathProbe
}

// SendOrder sends an order to an engine. Unless Conn is zero, the order may go only over that
// connection and is not sent if the connection is closed. OrderReply is the reply.
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

// Peer is another daemon and the address at which it accepts links.
type Peer struct {
	Daemon  string
	Address string
	// DataCentre is where a gateway runs; empty elsewhere.
	DataCentre string
}

// SetPeers replaces the list of daemons to link with.
type SetPeers struct{ Peers []Peer }

// SetWake schedules a Wake event for a monotonic time.
type SetWake struct{ At time.Duration }

// SetReady turns the daemon's readiness on or off.
type SetReady struct{ Ready bool }

// SetConfig reports to the loop that the configuration in force has changed.
type SetConfig struct{ Revision object.Version }

// CloseConnections ends the service of callers and of other daemons: once all requests that have been read
// are answered, all connections are closed. ConnectionsClosed follows. Requests that are read until then
// still get an answer.
type CloseConnections struct{}

// Exit ends the daemon. Every request has been answered. Claims, groups and usage have been
// returned, or the wait for that has timed out.
type Exit struct{}

// Log writes a numbered event to the log.
type Log struct {
	ID     event.ID
	Fields []event.Field
}

func (Dispatch) effect()         {}
func (Answer) effect()           {}
func (Deliver) effect()          {}
func (Cancel) effect()           {}
func (GetObject) effect()        {}
func (PutObject) effect()        {}
func (DeleteObject) effect()     {}
func (Probe) effect()            {}
func (SendOrder) effect()        {}
func (SendPeer) effect()         {}
func (SetPeers) effect()         {}
func (SetWake) effect()          {}
func (SetReady) effect()         {}
func (SetConfig) effect()        {}
func (Exit) effect()             {}
func (CloseConnections) effect() {}
func (Log) effect()              {}
