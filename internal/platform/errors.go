package platform

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// ErrGone reports that the platform no longer keeps the changes after the requested revision.
// The caller must list the objects again.
var ErrGone = errors.New("the platform no longer keeps changes from this revision: list the objects again")

// AbsentError reports a read or delete of an object that does not exist.
type AbsentError struct {
	Kind object.Kind
	Name string
}

func (e *AbsentError) Error() string {
	return fmt.Sprintf("%s %q does not exist: create it with version 0", e.Kind, e.Name)
}

// ConflictError reports a write or delete that the platform refused because the object's
// current version is not the expected one.
type ConflictError struct {
	Kind      object.Kind
	Name      string
	IfVersion object.Version // expected by the caller
	// Current is the platform's current object; its version is 0 if there is none.
	Current object.Object
	// Undecodable is the reason why Current has no value although the object exists, or nil.
	Undecodable error
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q stands at version %d, not %d: read it again and repeat the change on it",
		e.Kind, e.Name, e.Current.Version, e.IfVersion)
}

// UnsentError reports a call that took no effect: nothing of it was sent, or the status of the
// answer proves it (see WithNoEffectStatuses).
type UnsentError struct {
	Op  string
	Err error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("%s was not sent, repeat it once the platform answers: %v", e.Op, e.Err)
}

func (e *UnsentError) Unwrap() error { return e.Err }

// LostError reports a call that was sent but got no valid answer. A write may have taken
// effect.
type LostError struct {
	Op  string
	Err error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("%s got no answer, read the object to learn whether it took effect: %v", e.Op, e.Err)
}

func (e *LostError) Unwrap() error { return e.Err }

// TooLargeError reports a value larger than object.MaxValueBytes. It was not sent because the
// platform would refuse it.
type TooLargeError struct {
	Kind  object.Kind
	Name  string
	Bytes int // of the encoded value
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s %q has %d bytes: split it, the bound is %d", e.Kind, e.Name, e.Bytes, object.MaxValueBytes)
}

// RejectedError reports a call that the platform refused as invalid. It took no effect.
type RejectedError struct {
	Op      string
	Status  int
	Message string // the start of the answer's body
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s was refused with status %d, correct the call: %s", e.Op, e.Status, e.Message)
}

// Reply converts the result of a call to the event that reports it to the reducer. An error
// other than those of a conflict, an absent object or a lost call becomes ReplyUnsent.
func Reply(op step.OpID, o object.Object, err error) step.PlatformReply {
	r := step.PlatformReply{Op: op, Status: step.ReplyOK, Object: o}
	if err == nil {
		return r
	}
	if conflict, ok := errors.Into[*ConflictError](err); ok {
		return step.PlatformReply{Op: op, Status: step.ReplyConflict, Object: conflict.Current}
	}
	r = step.PlatformReply{Op: op, Status: step.ReplyUnsent}
	if _, ok := errors.Into[*AbsentError](err); ok {
		r.Status = step.ReplyAbsent
	}
	if _, ok := errors.Into[*LostError](err); ok {
		r.Status = step.ReplyLost
	}
	return r
}
