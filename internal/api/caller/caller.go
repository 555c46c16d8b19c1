// Package caller implements the HTTP interface for customers: an OpenAI-compatible API for
// models and a pass-through for plain services. A handler authenticates the caller, reads
// and checks the request, and submits it to the reducer (package core), which decides on
// every attempt. The handler then runs the attempts that the reducer dispatches and writes
// the final answer. Requests that fail the checks never reach the reducer.
package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/target"
)

// Headers of the callers' interface.
const (
	// HeaderRequestID carries the request's ID in every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderOutcome carries the request's outcome: not_run, completed or unknown.
	HeaderOutcome = "X-Outcome"
	// HeaderAttemptOutcome carries the outcome of this attempt alone. It is set if the outcome
	// of the request may differ, because an earlier attempt under the same idempotency key may
	// have run.
	HeaderAttemptOutcome = "X-Attempt-Outcome"
	// HeaderTimeout carries the time in milliseconds within which the caller wants the answer.
	HeaderTimeout = "X-Timeout-Ms"
	// headerIdempotencyKey carries the key under which a service call runs at most once.
	headerIdempotencyKey = "Idempotency-Key"
)

// Loop is the part of the daemon that the handlers use: it runs the reducer.
type Loop interface {
	// Submit passes a request to the reducer. The channel receives the request's effects.
	Submit(r step.Request) <-chan step.Effect
	// Post passes an event to the reducer.
	Post(e step.Event)
	// Release stops the delivery of a request's effects.
	Release(id step.RequestID)
	// Directory returns the configuration in force.
	Directory() *core.Directory
	// At converts a monotonic time of the reducer to a time.Time.
	At(mono time.Duration) time.Time
}

// Handler serves the callers' interface.
type Handler struct {
	loop    Loop
	targets *target.Client
	// maxBodyBytes is the size limit of a request body. A larger one is refused with status 413.
	maxBodyBytes int64
}

// New returns the handler of the callers' interface. It refuses bodies of more than maxBody
// bytes.
func New(loop Loop, targets *target.Client, maxBody int64) http.Handler {
	h := &Handler{loop: loop, targets: targets, maxBodyBytes: maxBody}
	r := chi.NewRouter()
	r.Get("/v1/models", h.models)
	r.Post("/v1/chat/completions", h.generate)
	r.Post("/v1/completions", h.generate)
	r.HandleFunc("/v1/services/{service}", h.service)
	r.HandleFunc("/v1/services/{service}/*", h.service)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newID(), refusalAnswer(http.StatusNotFound, step.CodeNotFound, "no such path: use /v1/models, /v1/chat/completions, /v1/completions or /v1/services/NAME/..."))
	})
	return r
}

func newID() step.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's random source failed. A request without an ID can't be traced.
		panic(err)
	}
	return step.RequestID(id.String())
}

// refusalAnswer returns the answer to a request that never reached the reducer, and so was
// not run.
func refusalAnswer(status int, code step.Code, message string) step.Answer {
	return step.Answer{Status: status, Code: code, Message: message, Outcome: object.NotRun}
}

// refuse answers a request that never reached the reducer. If the request carries an
// idempotency key, the answer says "not run" for this attempt only and "unknown" for the
// request, because an earlier attempt under the same key may have run.
func refuse(w http.ResponseWriter, r *http.Request, id step.RequestID, a step.Answer) {
	if r.Header.Get(headerIdempotencyKey) != "" {
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	}
	writeError(w, id, a)
}

// authenticate returns the customer to whom the caller's key belongs. If there is none, it
// answers 401 and returns false.
func (h *Handler) authenticate(w http.ResponseWriter, r *http.Request, id step.RequestID) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		sum := sha256.Sum256([]byte(key))
		if c, known := h.loop.Directory().Customers[hex.EncodeToString(sum[:])]; known {
			return c, true
		}
	}
	refuse(w, r, id, refusalAnswer(http.StatusUnauthorized, step.CodeUnauthorized, "send your key as 'Authorization: Bearer KEY'; ask your operator if you have none"))
	return "", false
}

// requestInput is the part of a request that models and plain services have in common.
type requestInput struct {
	id       step.RequestID
	customer string
	body     []byte
	timeout  time.Duration // from HeaderTimeout; zero if the caller sets none
}

// readInput authenticates the caller and reads the body and timeout. If one of these
// fails, it writes the error answer and returns false.
func (h *Handler) readInput(w http.ResponseWriter, r *http.Request) (requestInput, bool) {
	in := requestInput{id: newID()}
	var ok bool
	if in.customer, ok = h.authenticate(w, r, in.id); !ok {
		return in, false
	}
	if in.body, ok = h.readBody(w, r, in.id); !ok {
		return in, false
	}
	in.timeout, ok = readTimeout(w, r, in.id)
	return in, ok
}

// modelList is the answer body of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	id := newID()
	customer, ok := h.authenticate(w, r, id)
	if !ok {
		return
	}
	d := h.loop.Directory()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range d.Models {
		if c := d.Contracts[customer]; c != nil && c.Covers(m) {
			list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "rhubarbswitch"})
		}
	}
	writeJSON(w, http.StatusOK, id, list)
}

func writeJSON(w http.ResponseWriter, status int, id step.RequestID, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, string(id))
	w.WriteHeader(status)
	// The write fails if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(v)
}

// attemptContext returns a context that ends at the attempt's deadline. It does not end
// with the caller's connection, because the reducer decides whether to cancel an attempt.
func (h *Handler) attemptContext(r *http.Request, d step.Dispatch) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(r.Context()), h.loop.At(d.Deadline))
}
