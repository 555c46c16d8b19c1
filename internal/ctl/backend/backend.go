// Package backend gives rhubarbctl access to the system: through the operators' interface of
// a daemon (Daemon), directly in the platform (Platform), or through the first of several
// that answers (Fallback).
package backend

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Backend reads and writes objects and reads the status of the system. An error that the
// other side reports is an *operatorapi.Error; so is that of a write whose outcome is unknown
// (CodeUnknown). A call that was not sent, or a read that a daemon did not answer, gives
// *Unreachable. Other errors, such as an answer that can't be decoded, have no such type.
type Backend interface {
	// Get reads an object.
	Get(ctx context.Context, kind object.Kind, name string) (operatorapi.Object, error)
	// Put writes an object if it still has the version ifVersion; 0 creates it.
	Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error)
	// Delete deletes an object if it still has the version ifVersion.
	Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error
	// List reads every object of a kind.
	List(ctx context.Context, kind object.Kind) ([]operatorapi.Object, error)
	// Status reads the status of the system.
	Status(ctx context.Context) (operatorapi.Status, error)
	// Trace reads the recorded events of a request.
	Trace(ctx context.Context, request string) (operatorapi.Trace, error)
}

// Unreachable is the error of a call that was not sent, of a read that a daemon did not answer,
// or of a read that only daemons can answer if none can be reached. In all cases nothing was
// written, and the call may be repeated elsewhere.
type Unreachable struct {
	Where string // URL of the daemon or platform, or "any daemon"
	Err   error  // cause
}

// Error returns the cause and the remedy.
func (e *Unreachable) Error() string {
	return fmt.Sprintf("%s does not answer, name another with --daemon or give --platform: %v", e.Where, e.Err)
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Err }

// unknownOutcome returns the error of a write that was sent and got no answer.
func unknownOutcome(what string, err error) error {
	return &operatorapi.Error{
		Code:    operatorapi.CodeUnknown,
		Message: fmt.Sprintf("%s got no answer, read the object to learn whether it took effect: %v", what, err),
	}
}
