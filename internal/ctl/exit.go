package ctl

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// ExitCode is the exit code of rhubarbctl, for use in scripts. docs/rhubarbctl.md lists them.
type ExitCode int

// The exit codes.
const (
	ExitDone        ExitCode = 0 // the command succeeded
	ExitFailed      ExitCode = 1 // it failed for another reason than those below
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitInvalid     ExitCode = 3 // an object breaks a rule; it was not written
	ExitConflict    ExitCode = 4 // the object has another version and was not written, or the write lost a race and was reverted
	ExitNotFound    ExitCode = 5 // the object does not exist
	ExitUnreachable ExitCode = 6 // neither a daemon nor the platform answered; nothing was written
	ExitUnknown     ExitCode = 7 // a write got no answer and may have taken effect
	ExitNotInForce  ExitCode = 8 // accepted, but not in force on every daemon before the timeout
	ExitNoCapacity  ExitCode = 9 // refused: too little capacity would remain, or another data centre is out
)

// exitError is an error with an exit code.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func withCode(code ExitCode, err error) error { return &exitError{code: code, err: err} }

func usageError(err error) error { return withCode(ExitUsage, err) }

func failf(code ExitCode, format string, args ...any) error {
	return withCode(code, fmt.Errorf(format, args...))
}

// exitCodes maps the error codes of the operators' interface to exit codes. A code that is
// not in it gives ExitFailed.
var exitCodes = map[operatorapi.Code]ExitCode{
	operatorapi.CodeInvalid:     ExitInvalid,
	operatorapi.CodeTooLarge:    ExitInvalid,
	operatorapi.CodeNotFound:    ExitNotFound,
	operatorapi.CodeConflict:    ExitConflict,
	operatorapi.CodeUnreachable: ExitUnreachable,
	operatorapi.CodeUnknown:     ExitUnknown,
}

func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitDone
	}
	if e, ok := errors.Into[*exitError](err); ok {
		return e.code
	}
	if _, ok := errors.Into[*backend.Unreachable](err); ok {
		return ExitUnreachable
	}
	if code, ok := exitCodes[backend.CodeOf(err)]; ok {
		return code
	}
	return ExitFailed
}
