// Package step defines the input and output of one step of a reducer: events (something that
// happened), effects (something that the loop must do) and the messages between daemons. All of
// them are plain data.
//
// The reducer of package core uses event.go, effect.go and message.go, whose types and fields
// appear by name in the files of test/sessions. The reducer of package core/gateway also uses
// gateway.go.
package step

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// Time is when the daemon's loop processes an event.
type Time struct {
	// Mono is the monotonic time since the daemon started. Leases, deadlines and the age of
	// reports are measured by it.
	Mono time.Duration
	// Unix is the wall clock in milliseconds. It serves only for the age of idempotency keys and
	// for the month of accounts; a step of this clock must not affect anything else.
	Unix int64
}

// Event is one thing that happened. The concrete types are below and, for a gateway, in
// gateway.go.
type Event interface{ event() }

// Tick arrives at a fixed interval. The reducer then checks its timeouts and periodic work.
type Tick struct{}

// Wake arrives at the time set by SetWake.
type Wake struct{}

// RequestID identifies one caller's request. It is unique over all daemons.
type RequestID string

// AttemptID identifies one attempt to have a target run a request: the request's ID, a dot and
// the attempt's number.
type AttemptID string

// Request is a caller's request that waits for admission.
type Request struct {
	ID       RequestID
	Customer string
	// Either Model or Service names the requested target; the other is empty.
	Model   string
	Service string
	Method  string
	Path    string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Fingerprint is a hash of the content, by which quarantine recognizes a repeated request.
	Fingerprint uint64
	// Prefix is a hash of the prompt's beginning. Requests with equal prefixes go to the same
	// target where possible, to use its prompt cache.
	Prefix uint64
	// PromptTokens and MaxTokens are estimates used for admission.
	PromptTokens int
	MaxTokens    int
	Stream       bool
	// Timeout is the time that the caller allows for the answer; zero means the contract's
	// default.
	Timeout time.Duration
}

// CallerGone reports that the caller has closed its connection.
type CallerGone struct{ ID RequestID }

// Ending is how an attempt ended, as far as the sender can prove.
type Ending uint8

// The endings.
const (
	// EndedComplete: a complete answer with the attempt's ID arrived.
	EndedComplete Ending = iota + 1
	// EndedUnsent: no byte was written, since the dial was refused or failed.
	EndedUnsent
	// EndedRefused: the target answered that it did not run the request.
	EndedRefused
	// EndedBroken: the connection was lost or stalled, or the answer was truncated.
	EndedBroken
	// EndedWrongAttempt: the answer carries another attempt's ID.
	EndedWrongAttempt
	// EndedError: a complete answer with status 5xx, which does not say whether the request ran.
	EndedError
	// EndedTimeout: the deadline passed without a complete answer.
	EndedTimeout
	// EndedCancelled: the attempt was cancelled.
	EndedCancelled
)

var endingNames = []string{
	"", "whole", "unsent", "refused", "broken", "crossed", "error", "timeout", "cancelled",
}

// String returns the ending's name as it appears in logs and session files.
func (e Ending) String() string {
	if int(e) < len(endingNames) {
		return endingNames[e]
	}
	return "unknown"
}

// UnmarshalText parses an ending's name.
func (e *Ending) UnmarshalText(text []byte) error {
	i := slices.Index(endingNames, string(text))
	if i < 0 {
		return errors.Errorf("unknown ending %q: use one of %v", text, endingNames[1:])
	}
	*e = Ending(i)
	return nil
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID      RequestID
	Attempt AttemptID
	Ending  Ending
	Status  int // HTTP status of the answer, 0 if none
	// Delivered is the number of tokens delivered to the caller over all attempts.
	Delivered int
	// Tokens is the number of prompt and generated tokens as counted by the engine; 0 if the
	// engine did not report it.
	Tokens int64
	// Incarnation is the incarnation of the target that answered; empty if none did.
	Incarnation string
	// Body is the body of a service call's complete answer, with or without an idempotency key.
	// A body longer than target.Settings.MaxAnswerBytes ends the attempt with EndedBroken. It is
	// empty for other endings and for generation requests.
	Body []byte
	// FirstToken is the time until the first token, WorstGap the longest time between two
	// tokens, both as seen by the caller; zero if there was none.
	FirstToken time.Duration
	WorstGap   time.Duration
}

// ReplyStatus is the result of a call to the platform or of an order to an engine.
type ReplyStatus uint8

// The reply statuses.
const (
	// ReplyOK: the call took effect or found the object.
	ReplyOK ReplyStatus = iota + 1
	// ReplyConflict: the write was refused because the object has another version, which is in
	// PlatformReply.Object.
	ReplyConflict
	// ReplyAbsent: the object does not exist.
	ReplyAbsent
	// ReplyLost: no reply arrived. A write may have taken effect.
	ReplyLost
	// ReplyUnsent: the call was not sent and had no effect.
	ReplyUnsent
)

// OpID identifies one call to the platform or one order. It is unique within the daemon.
type OpID uint64

// PlatformReply answers GetObject, PutObject or DeleteObject.
type PlatformReply struct {
	Op     OpID
	Status ReplyStatus
	Object object.Object
}

// ConfigBatch is a batch of watched objects from the platform. A full batch is a snapshot at
// Revision: an object that it lacks does not exist. Any other batch holds the changes up to
// Revision.
type ConfigBatch struct {
	Full     bool
	Revision object.Version
	Objects  []object.Object
	// Refused lists objects that could not be decoded or break a rule. Their previous values
	// stay in force.
	Refused []RefusedObject
}

// RefusedObject is an object in the platform that cannot be put in force.
type RefusedObject struct {
	Kind    object.Kind
	Name    string
	Version object.Version
	Reason  string // names the remedy
}

// ObjectRead is an object that this daemon has read from or written to the platform for an
// operator. It comes into force here, and is sent to peers, before the watch delivers it.
type ObjectRead struct{ Object object.Object }

// PlatformState reports whether the platform's watch works. It arrives on each change and with
// each renewal of the watch.
type PlatformState struct {
	Reachable bool
	// Asked is when the call was sent whose result is reported here.
	Asked time.Duration
}

// HostList is the platform's complete list of hosts.
type HostList struct{ Hosts []platformapi.Host }

// HostReport answers Probe.
type HostReport struct {
	Host   string
	OK     bool             // the host answered
	Status engineapi.Status // valid if OK
	// Conn identifies the connection over which the report arrived. An order sent with the same
	// value can reach only the same incarnation.
	Conn uint64
	// Sent is when the probe was sent. The age of the report counts from here, since the status
	// may date from any time after it.
	Sent time.Duration
}

// OrderReply answers SendOrder.
type OrderReply struct {
	Op     OpID
	Host   string
	Status ReplyStatus // ReplyConflict: the engine has seen a higher fencing token
	Report engineapi.Status
}

// PeerUp reports that a link to a daemon has opened.
type PeerUp struct {
	Daemon      string
	Incarnation string
	Address     string
	DataCentre  string
}

// PeerDown reports that the link to a daemon has closed.
type PeerDown struct{ Daemon string }

// PeerMessage is a message from a daemon.
type PeerMessage struct {
	From    string
	Message Message
}

// Stop requests a graceful stop. Since is when it was requested, by the monotonic clock, which may be before the
// event is handled; zero if that is not known.
type Stop struct{ Since time.Duration }

// ConnectionsClosed reports that CloseConnections is done.
type ConnectionsClosed struct{}

func (Tick) event()              {}
func (Wake) event()              {}
func (Request) event()           {}
func (CallerGone) event()        {}
func (AttemptEnded) event()      {}
func (PlatformReply) event()     {}
func (ConfigBatch) event()       {}
func (PlatformState) event()     {}
func (ObjectRead) event()        {}
func (HostList) event()          {}
func (HostReport) event()        {}
func (OrderReply) event()        {}
func (PeerUp) event()            {}
func (PeerDown) event()          {}
func (PeerMessage) event()       {}
func (Stop) event()              {}
func (ConnectionsClosed) event() {}
