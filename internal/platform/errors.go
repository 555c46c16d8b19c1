package platform

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// ErrGone says that the platform no longer keeps the changes asked for: list anew.
var ErrGone = errors.New("the platform no longer keeps changes from this revision: list the objects anew")

// Absent is a read or delete of an object that does not exist.
type Absent struct {
	Kind object.Kind
	Name string
}

// Error names the object and the remedy.
func (e *Absent) Error() string {
	return fmt.Sprintf("%s %q does not exist: create it with version 0", e.Kind, e.Name)
}

// Conflict is a write refused since another version stands.
type Conflict struct {
	Kind      object.Kind
	Name      string
	IfVersion object.Version
	// Standing is the object that stands; version 0 if there is none.
	Standing object.Object
	// Undecodable says why Standing has no value although the object exists.
	Undecodable error
}

// Error names both versions and the remedy.
func (e *Conflict) Error() string {
	return fmt.Sprintf("%s %q stands at version %d, not %d: read it again and repeat the change on it",
		e.Kind, e.Name, e.Standing.Version, e.IfVersion)
}

// Unsent is a call of which nothing was written: it took no effect.
type Unsent struct {
	Op  string
	Err error
}

// Error names the cause and the remedy.
func (e *Unsent) Error() string {
	return fmt.Sprintf("%s was not sent, repeat it once the platform answers: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Unsent) Unwrap() error { return e.Err }

// Lost is a call without a clean answer: a write may have taken effect.
type Lost struct {
	Op  string
	Err error
}

// Error names the cause and the remedy.
func (e *Lost) Error() string {
	return fmt.Sprintf("%s got no answer, read the object to learn whether it took effect: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Lost) Unwrap() error { return e.Err }

// TooLarge is a value that was not sent since the platform would refuse it.
type TooLarge struct {
	Kind  object.Kind
	Name  string
	Bytes int
}

// Error names the sizes and the remedy.
func (e *TooLarge) Error() string {
	return fmt.Sprintf("%s %q has %d bytes: split it, the bound is %d", e.Kind, e.Name, e.Bytes, object.MaxValueBytes)
}

// Rejected is a call that the platform refused as wrong: it took no effect.
type Rejected struct {
	Op      string
	Status  int
	Message string
}

// Error names the status and the remedy.
func (e *Rejected) Error() string {
	return fmt.Sprintf("%s was refused with status %d, correct the call: %s", e.Op, e.Status, e.Message)
}

// Reply renders the result of a call as the event that the reducer takes.
func Reply(op step.OpID, o object.Object, err error) step.PlatformReply {
	r := step.PlatformReply{Op: op, Status: step.ReplyOK, Object: o}
	if err == nil {
		return r
	}
	if conflict, ok := errors.Into[*Conflict](err); ok {
		return step.PlatformReply{Op: op, Status: step.ReplyConflict, Object: conflict.Standing}
	}
	r = step.PlatformReply{Op: op, Status: step.ReplyUnsent}
	if _, ok := errors.Into[*Absent](err); ok {
		r.Status = step.ReplyAbsent
	}
	if _, ok := errors.Into[*Lost](err); ok {
		r.Status = step.ReplyLost
	}
	return r
}
