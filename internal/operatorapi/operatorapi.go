// Package operatorapi defines the protocol of a daemon's HTTP interface for operators: its
// paths, its messages and its error codes. The daemon (package api/operator) and rhubarbctl
// (package ctl) both use it.
package operatorapi

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Paths of the interface. All but health, readiness and metrics require an operator key as
// a bearer token, if the daemon has any operator keys.
//
//	GET    /v1/objects/{kind}                     List
//	GET    /v1/objects/{kind}/{name}              Object, or 404
//	PUT    /v1/objects/{kind}/{name}?ifVersion=N  Object, or 409 with the current one; N=0 creates
//	DELETE /v1/objects/{kind}/{name}?ifVersion=N  Object without value, or 409
//	GET    /v1/status                             Status
//	GET    /v1/applied?revision=N                 Applied
//	GET    /v1/trace/{request}                    Trace, from this daemon only
//	GET    /healthz                               200 while the process runs
//	GET    /readyz                                200 while the daemon serves callers, else 503
//	GET    /metrics                               metrics in the Prometheus text format
const (
	PathObjects = "/v1/objects/"
	PathStatus  = "/v1/status"
	PathApplied = "/v1/applied"
	PathTrace   = "/v1/trace/"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// Object is an object with its version. An empty Value means that the object is deleted.
type Object struct {
	Kind    object.Kind     `json:"kind"`
	Name    string          `json:"name"`
	Version object.Version  `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// List contains every object of a kind, ordered by name.
type List struct {
	Items []Object `json:"items"`
}

// Code is the machine-readable code of an error.
type Code string

// The codes, each with its HTTP status.
const (
	CodeUnauthorized Code = "unauthorized"         // 401
	CodeInvalid      Code = "invalid"              // 400: the object or the request breaks a rule
	CodeNotFound     Code = "not_found"            // 404: no such object or path
	CodeConflict     Code = "conflict"             // 409: the object has another version; see Error.Current
	CodeTooLarge     Code = "too_large"            // 413: the body or the object exceeds the size limit
	CodeUnreachable  Code = "platform_unreachable" // 503: nothing was written
	CodeUnknown      Code = "outcome_unknown"      // 504: the write may have taken effect
	CodeInternal     Code = "internal"             // 500
)

// Error is the body of every answer with a status of 400 and above.
type Error struct {
	Code Code `json:"code"`
	// Message says what went wrong and how to correct it.
	Message string `json:"message"`
	// Current is the current object, with CodeConflict only. Its version is 0 if the object
	// does not exist.
	Current *Object `json:"standing,omitempty"`
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ConflictMessage returns the message for a write that was made on version read and refused
// because the object has another version by now.
func ConflictMessage(kind object.Kind, name string, read, current object.Version) string {
	return fmt.Sprintf("%s %q stands at version %d, the change was made on version %d: read it again and repeat the change",
		kind, name, current, read)
}
