package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// ErrorBody is the JSON of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong, what became of the request and what to do.
type ErrorDetail struct {
	Code           step.Code      `json:"code"`
	Type           step.Code      `json:"type"` // the code again, where OpenAI clients look
	Message        string         `json:"message"`
	RequestID      step.RequestID `json:"request_id"`
	Outcome        object.Outcome `json:"outcome"`
	AttemptOutcome object.Outcome `json:"attempt_outcome,omitempty"`
	// RetryAfterMillis is when coming back helps; absent if it does not.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

func errorBody(id step.RequestID, a step.Answer) ErrorBody {
	return ErrorBody{ErrorDetail{
		Code: a.Code, Type: a.Code, Message: a.Message, RequestID: id,
		Outcome: a.Outcome, AttemptOutcome: a.Attempt,
		RetryAfterMillis: a.RetryAfter.Milliseconds(),
	}}
}

// writeError answers with an error, or with a recorded answer if there is one.
func writeError(w http.ResponseWriter, id step.RequestID, a step.Answer) {
	head := w.Header()
	head.Set(HeaderOutcome, string(a.Outcome))
	if a.Attempt != "" {
		head.Set(HeaderAttemptOutcome, string(a.Attempt))
	}
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		head.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if len(a.Body) > 0 {
		head.Set("Content-Type", "application/json")
		head.Set(HeaderRequestID, string(id))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return
	}
	writeJSON(w, a.Status, id, errorBody(id, a))
}

// writeStreamError ends a stream that has begun with an explicit error event.
func writeStreamError(w http.ResponseWriter, id step.RequestID, a step.Answer) {
	body, err := json.Marshal(errorBody(id, a))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
}
