package operator

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// retryAfterSeconds is the value of the Retry-After header of a 503 answer, which says that
// the platform can't be reached.
const retryAfterSeconds = "2"

// errorAnswer is an error answer: its HTTP status and its body.
type errorAnswer struct {
	status int
	body   operatorapi.Error
}

func newErrorAnswer(status int, code operatorapi.Code, message string) *errorAnswer {
	return &errorAnswer{status: status, body: operatorapi.Error{Code: code, Message: message}}
}

// storeErrorAnswer converts an error of the store to the error answer for the operator.
func storeErrorAnswer(err error) *errorAnswer {
	if e, ok := errors.Into[*platform.ConflictError](err); ok {
		return conflictAnswer(e)
	}
	if e, ok := errors.Into[*platform.AbsentError](err); ok {
		return newErrorAnswer(http.StatusNotFound, operatorapi.CodeNotFound, e.Error())
	}
	if e, ok := errors.Into[*platform.TooLargeError](err); ok {
		return newErrorAnswer(http.StatusRequestEntityTooLarge, operatorapi.CodeTooLarge, e.Error())
	}
	if e, ok := errors.Into[*platform.UnsentError](err); ok {
		return newErrorAnswer(http.StatusServiceUnavailable, operatorapi.CodeUnreachable,
			"the platform can't be reached, nothing was written, try again later: "+e.Error())
	}
	if e, ok := errors.Into[*platform.LostError](err); ok {
		return newErrorAnswer(http.StatusGatewayTimeout, operatorapi.CodeUnknown, e.Error())
	}
	if e, ok := errors.Into[*object.RuleError](err); ok {
		return newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, e.Error())
	}
	return newErrorAnswer(http.StatusInternalServerError, operatorapi.CodeInternal, err.Error())
}

// conflictAnswer answers a conditional write that was refused because the object has another
// version. It contains the current object, unless that can't be encoded.
func conflictAnswer(e *platform.ConflictError) *errorAnswer {
	f := newErrorAnswer(http.StatusConflict, operatorapi.CodeConflict,
		operatorapi.ConflictMessage(e.Kind, e.Name, e.IfVersion, e.Current.Version))
	current, err := encode(e.Current)
	if err != nil {
		return f
	}
	current.Kind, current.Name = e.Kind, e.Name
	f.body.Current = &current
	return f
}

func writeError(w http.ResponseWriter, f *errorAnswer) {
	if f.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, f.status, f.body)
}

func writeObject(w http.ResponseWriter, o object.Object) {
	item, err := encode(o)
	if err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
