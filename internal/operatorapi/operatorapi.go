// Package operatorapi is the published protocol of the operators' interface of a
// daemon: its paths, its messages and the meaning of its error codes.
package operatorapi

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Paths of the interface. All but health, readiness and metrics ask for an
// operator key as a bearer token where the daemon has any.
//
//	GET    /v1/objects/{kind}                     List
//	GET    /v1/objects/{kind}/{name}              Object, or 404
//	PUT    /v1/objects/{kind}/{name}?ifVersion=N  Object, or 409 with the one that stands; N=0 creates
//	DELETE /v1/objects/{kind}/{name}?ifVersion=N  Object without value, or 409
//	GET    /v1/status                             Status
//	GET    /v1/applied?revision=N                 Applied
//	GET    /v1/trace/{request}                    Trace, of this daemon alone
//	GET    /healthz                               200 while the process runs
//	GET    /readyz                                200 while callers are served, else 503
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

// Object is an object with its version. An empty Value is a deletion.
type Object struct {
	Kind    object.Kind     `json:"kind"`
	Name    string          `json:"name"`
	Version object.Version  `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// List holds every object of a kind, by name.
type List struct {
	Items []Object `json:"items"`
}

// Code is the machine-readable kind of an error.
type Code string

// The codes, each with its HTTP status.
const (
	CodeUnauthorized Code = "unauthorized"         // 401
	CodeInvalid      Code = "invalid"              // 400: the object or the call breaks a rule
	CodeNotFound     Code = "not_found"            // 404
	CodeConflict     Code = "conflict"             // 409: Standing is the object that stands
	CodeTooLarge     Code = "too_large"            // 413
	CodeUnreachable  Code = "platform_unreachable" // 503: nothing was written
	CodeUnknown      Code = "outcome_unknown"      // 504: the write may have taken effect
	CodeInternal     Code = "internal"             // 500
)

// Error is the body of every answer with a status of 400 and above.
type Error struct {
	Code Code `json:"code"`
	// Message names the remedy.
	Message string `json:"message"`
	// Standing is the object that stands, with CodeConflict; version 0 if none does.
	Standing *Object `json:"standing,omitempty"`
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ConflictMessage names both versions of a refused write.
func ConflictMessage(kind object.Kind, name string, read, stands object.Version) string {
	return fmt.Sprintf("%s %q stands at version %d, the change was made on version %d: read it again and repeat the change",
		kind, name, stands, read)
}
