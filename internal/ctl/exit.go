package ctl

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/backend"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// ExitCode tells scripts how a command went. docs/rhubarbctl.md lists the codes.
type ExitCode int

// The exit codes.
const (
	ExitDone        ExitCode = 0 // done
	ExitFailed      ExitCode = 1 // failed for another reason
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitInvalid     ExitCode = 3 // an object breaks a rule; nothing was written
	ExitConflict    ExitCode = 4 // another version stands; nothing was written
	ExitNotFound    ExitCode = 5 // the object does not exist
	ExitUnreachable ExitCode = 6 // nothing answered; nothing was written
	ExitUnknown     ExitCode = 7 // a write got no answer and may have taken effect
	ExitNotInForce  ExitCode = 8 // accepted, but not in force everywhere in time
	ExitNoCapacity  ExitCode = 9 // refused since the work would not fit
)

// exitError gives an error its exit code.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func withCode(code ExitCode, err error) error { return &exitError{code: code, err: err} }

func usage(err error) error { return withCode(ExitUsage, err) }

func failf(code ExitCode, format string, args ...any) error {
	return withCode(code, fmt.Errorf(format, args...))
}

var codes = map[operatorapi.Code]ExitCode{
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
	if code, ok := codes[backend.CodeOf(err)]; ok {
		return code
	}
	return ExitFailed
}
