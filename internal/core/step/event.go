// Package step defines what goes into and comes out of one step of the reducer:
// events, effects and the messages between daemons, all plain data.
package step

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// Time is when an event was taken up by the daemon's loop.
type Time struct {
	// Mono is the monotonic time since the daemon started. Leases, deadlines and
	// freshness are measured by it.
	Mono time.Duration
	// Unix is the wall clock in milliseconds, for the age of keys and the month of accounts only.
	Unix int64
}

// Event is one thing that happened. The concrete types are below.
type Event interface{ event() }

// Tick comes at a fixed interval; everything that waits is looked at on a tick.
type Tick struct{}

// Wake comes at the time that SetWake asked for.
type Wake struct{}

// RequestID names one caller's request; it is unique over all daemons.
type RequestID string

// AttemptID names one sending of a request to a target: the request's ID, a dot
// and the attempt's number.
type AttemptID string

// Request asks for admission of a caller's request.
type Request struct {
	ID       RequestID
	Customer string
	// Model or Service names what is asked for; the other is empty.
	Model   string
	Service string
	Method  string
	Path    string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Fingerprint identifies the content for quarantine; Prefix the prompt's start
	// for cache affinity.
	Fingerprint uint64
	Prefix      uint64
	// PromptTokens and MaxTokens are estimates used for admission.
	PromptTokens int
	MaxTokens    int
	Stream       bool
	// Timeout is the time the caller gives; zero means the contract's default.
	Timeout time.Duration
}

// CallerGone says that the caller closed its connection.
type CallerGone struct{ ID RequestID }

// Ending says how an attempt ended, as far as the sender can prove.
type Ending uint8

// The endings.
const (
	// EndedWhole is a whole answer that carries the attempt's ID.
	EndedWhole Ending = iota + 1
	// EndedUnsent is an attempt of which no byte was written: dial refused or failed.
	EndedUnsent
	// EndedRefused is the target's own word that it did not run the request.
	EndedRefused
	// EndedBroken is a connection lost, silent, or an answer cut short.
	EndedBroken
	// EndedCrossed is an answer that carries another attempt's ID.
	EndedCrossed
	// EndedError is a whole answer with status 5xx and no word on running.
	EndedError
	// EndedTimeout is the deadline passing without an answer.
	EndedTimeout
	// EndedCancelled is a cancel carried out.
	EndedCancelled
)

var endingNames = []string{
	"", "whole", "unsent", "refused", "broken", "crossed", "error", "timeout", "cancelled",
}

// String returns the ending's name in logs and sessions.
func (e Ending) String() string {
	if int(e) < len(endingNames) {
		return endingNames[e]
	}
	return "unknown"
}

// UnmarshalText reads an ending by its name.
func (e *Ending) UnmarshalText(text []byte) error {
	i := slices.Index(endingNames, string(text))
	if i < 0 {
		return errors.Errorf("no ending %q: use one of %v", text, endingNames[1:])
	}
	*e = Ending(i)
	return nil
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	ID      RequestID
	Attempt AttemptID
	Ending  Ending
	Status  int // HTTP status of the answer, 0 if none
	// Delivered is the number of tokens delivered to the caller over all attempts.
	Delivered int
	// Tokens is the engine's own count of prompt and generated tokens; 0 if not told.
	Tokens int64
	// Incarnation is the target's, if it answered.
	Incarnation string
	// Body is the answer of a keyed call if it is small enough to be recorded.
	Body []byte
	// FirstToken and WorstGap are delays as the caller saw them; zero if none.
	FirstToken time.Duration
	WorstGap   time.Duration
}

// ReplyStatus says how a call to the platform went.
type ReplyStatus uint8

// The reply statuses.
const (
	// ReplyOK is a call that took effect or found the object.
	ReplyOK ReplyStatus = iota + 1
	// ReplyConflict is a write refused since another version stands; Object is that version.
	ReplyConflict
	// ReplyAbsent is a read of an object that does not exist.
	ReplyAbsent
	// ReplyLost is a call without an answer: a write may have taken effect.
	ReplyLost
	// ReplyUnsent is a call that never left: it took no effect.
	ReplyUnsent
)

// OpID names one call to the platform or one order, unique within the daemon.
type OpID uint64

// PlatformReply answers GetObject, PutObject or DeleteObject.
type PlatformReply struct {
	Op     OpID
	Status ReplyStatus
	Object object.Object
}

// ConfigBatch is a batch of watched objects, from the platform. A full batch is a
// snapshot: what it lacks does not exist.
type ConfigBatch struct {
	Full     bool
	Revision object.Version
	Objects  []object.Object
	// Refused are objects that could not be decoded or break a rule: the value in
	// force before stays.
	Refused []RefusedObject
}

// RefusedObject is an object in the platform that can't be put in force.
type RefusedObject struct {
	Kind    object.Kind
	Name    string
	Version object.Version
	Reason  string // names the remedy
}

// ObjectRead is an object that this daemon read from or wrote to the platform for an
// operator: it is in force here, and passed on to peers, ahead of the watch.
type ObjectRead struct{ Object object.Object }

// PlatformState says whether the watch is heard; it comes on change and with every renewal.
type PlatformState struct {
	Reachable bool
	// Asked is when the call was sent whose answer tells so.
	Asked time.Duration
}

// HostList is the platform's list of hosts.
type HostList struct{ Hosts []platformapi.Host }

// HostReport answers Probe.
type HostReport struct {
	Host   string
	OK     bool
	Status engineapi.Status // valid if OK
	// Conn identifies the connection over which the report came; an order sent
	// with the same value can only reach the same incarnation.
	Conn uint64
	// Sent is when the probe was sent: what it proves is no fresher.
	Sent time.Duration
}

// OrderReply answers SendOrder.
type OrderReply struct {
	Op     OpID
	Host   string
	Status ReplyStatus // ReplyConflict: refused for its fencing number
	Report engineapi.Status
}

// PeerUp and PeerDown say that a link to a daemon opened or closed.
type PeerUp struct {
	Daemon      string
	Incarnation string
	Address     string
	DataCentre  string
}

// PeerDown says that the link to a daemon closed.
type PeerDown struct{ Daemon string }

// PeerMessage is a message from a daemon.
type PeerMessage struct {
	From    string
	Message Message
}

// Stop asks for a graceful stop.
type Stop struct{}

func (Tick) event()          {}
func (Wake) event()          {}
func (Request) event()       {}
func (CallerGone) event()    {}
func (AttemptEnded) event()  {}
func (PlatformReply) event() {}
func (ConfigBatch) event()   {}
func (PlatformState) event() {}
func (ObjectRead) event()    {}
func (HostList) event()      {}
func (HostReport) event()    {}
func (OrderReply) event()    {}
func (PeerUp) event()        {}
func (PeerDown) event()      {}
func (PeerMessage) event()   {}
func (Stop) event()          {}
