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

// ErrorDetail describes an error: its cause and remedy, and whether the request ran.
type ErrorDetail struct {
	Code step.Code `json:"code"`
	// Type repeats Code in the field that OpenAI clients read.
	Type step.Code `json:"type"`
	// Message says what went wrong and what the caller can do about it.
	Message   string         `json:"message"`
	RequestID step.RequestID `json:"request_id"`
	// Outcome says whether the request ran, over all attempts under its idempotency key.
	Outcome object.Outcome `json:"outcome"`
	// AttemptOutcome says whether this attempt ran; empty if it is the same as Outcome.
	AttemptOutcome object.Outcome `json:"attempt_outcome,omitempty"`
	// RetryAfterMillis is the delay after which a retry may succeed; zero, and absent from
	// the JSON, if a retry does not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

func errorBody(id step.RequestID, a step.Answer) ErrorBody {
	return ErrorBody{ErrorDetail{
		Code: a.Code, Type: a.Code, Message: a.Message, RequestID: id,
		Outcome: a.Outcome, AttemptOutcome: a.Attempt,
		RetryAfterMillis: a.RetryAfter.Milliseconds(),
	}}
}

// writeError writes an error answer. If a carries a body, which is the recorded answer of
// an earlier attempt under the same idempotency key, it writes that body instead.
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

// writeStreamError writes an error event to a stream whose headers have been sent.
func writeStreamError(w http.ResponseWriter, id step.RequestID, a step.Answer) {
	body, err := json.Marshal(errorBody(id, a))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
}
