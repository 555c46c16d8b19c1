package operator

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// retryAfterSeconds is when to come back if the platform can't be reached.
const retryAfterSeconds = "2"

// failure is an error answer with its status.
type failure struct {
	status int
	body   operatorapi.Error
}

func invalid(status int, code operatorapi.Code, message string) *failure {
	return &failure{status: status, body: operatorapi.Error{Code: code, Message: message}}
}

// fromStore sorts an error of the store.
func fromStore(err error) *failure {
	if e, ok := errors.Into[*platform.Conflict](err); ok {
		return conflict(e)
	}
	if e, ok := errors.Into[*platform.Absent](err); ok {
		return invalid(http.StatusNotFound, operatorapi.CodeNotFound, e.Error())
	}
	if e, ok := errors.Into[*platform.TooLarge](err); ok {
		return invalid(http.StatusRequestEntityTooLarge, operatorapi.CodeTooLarge, e.Error())
	}
	if e, ok := errors.Into[*platform.Unsent](err); ok {
		return invalid(http.StatusServiceUnavailable, operatorapi.CodeUnreachable,
			"the platform can't be reached, nothing was written, try again later: "+e.Error())
	}
	if e, ok := errors.Into[*platform.Lost](err); ok {
		return invalid(http.StatusGatewayTimeout, operatorapi.CodeUnknown, e.Error())
	}
	if e, ok := errors.Into[*object.RuleError](err); ok {
		return invalid(http.StatusBadRequest, operatorapi.CodeInvalid, e.Error())
	}
	return invalid(http.StatusInternalServerError, operatorapi.CodeInternal, err.Error())
}

func conflict(e *platform.Conflict) *failure {
	f := invalid(http.StatusConflict, operatorapi.CodeConflict,
		operatorapi.ConflictMessage(e.Kind, e.Name, e.IfVersion, e.Standing.Version))
	standing, err := encode(e.Standing)
	if err != nil {
		return f
	}
	standing.Kind, standing.Name = e.Kind, e.Name
	f.body.Standing = &standing
	return f
}

func writeError(w http.ResponseWriter, f *failure) {
	if f.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, f.status, f.body)
}

func writeObject(w http.ResponseWriter, o object.Object) {
	item, err := encode(o)
	if err != nil {
		writeError(w, fromStore(err))
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
