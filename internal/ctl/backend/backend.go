// Package backend is where rhubarbctl reads and writes: the operators' interface
// of a daemon, or the platform itself if no daemon answers.
package backend

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Backend reads and writes objects and tells the state of the system. Errors are
// *operatorapi.Error, or *Unreachable if nothing was sent.
type Backend interface {
	Get(ctx context.Context, kind object.Kind, name string) (operatorapi.Object, error)
	Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error)
	Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error
	List(ctx context.Context, kind object.Kind) ([]operatorapi.Object, error)
	Status(ctx context.Context) (operatorapi.Status, error)
	Trace(ctx context.Context, request string) (operatorapi.Trace, error)
}

// Unreachable is a call of which nothing was sent.
type Unreachable struct {
	Where string
	Err   error
}

// Error names the cause and the remedy.
func (e *Unreachable) Error() string {
	return fmt.Sprintf("%s does not answer, name another with --daemon or give --platform: %v", e.Where, e.Err)
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Err }

func unknownOutcome(what string, err error) error {
	return &operatorapi.Error{
		Code:    operatorapi.CodeUnknown,
		Message: fmt.Sprintf("%s got no answer, read the object to learn whether it took effect: %v", what, err),
	}
}
