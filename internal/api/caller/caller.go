// Package caller serves the customers: an OpenAI-style interface for models and a
// pass-through for plain services. It reads and checks requests, hands their facts
// to the reducer and carries out, per request, what the reducer decides.
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
	HeaderRequestID = "X-Request-Id"
	// HeaderOutcome carries the request's outcome: not_run, completed or unknown.
	HeaderOutcome = "X-Outcome"
	// HeaderAttemptOutcome speaks of this attempt alone.
	HeaderAttemptOutcome = "X-Attempt-Outcome"
	// HeaderTimeout is the caller's deadline in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	headerKey     = "Idempotency-Key"
)

// Loop is the daemon as the handlers see it.
type Loop interface {
	// Submit hands a request to the reducer; effects for it come on the channel.
	Submit(r step.Request) <-chan step.Effect
	// Post hands an event to the reducer.
	Post(e step.Event)
	// Release ends the interest in a request's effects.
	Release(id step.RequestID)
	// Directory is the configuration in force.
	Directory() *core.Directory
	// At turns a monotonic time of the reducer into a time.
	At(mono time.Duration) time.Time
}

// Handler serves the callers' interface.
type Handler struct {
	loop    Loop
	targets *target.Client
	// maxBody bounds a request's body in bytes.
	maxBody int64
}

// New returns the handler of the callers' interface.
func New(loop Loop, targets *target.Client, maxBody int64) http.Handler {
	h := &Handler{loop: loop, targets: targets, maxBody: maxBody}
	r := chi.NewRouter()
	r.Get("/v1/models", h.models)
	r.Post("/v1/chat/completions", h.generate)
	r.Post("/v1/completions", h.generate)
	r.HandleFunc("/v1/services/{service}", h.service)
	r.HandleFunc("/v1/services/{service}/*", h.service)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newID(), refusal(http.StatusNotFound, step.CodeNotFound, "no such path: use /v1/models, /v1/chat/completions, /v1/completions or /v1/services/NAME/..."))
	})
	return r
}

func newID() step.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's randomness failed; a request without an ID can't be followed.
		panic(err)
	}
	return step.RequestID(id.String())
}

// refusal is an answer to a request that never reached the reducer.
func refusal(status int, code step.Code, message string) step.Answer {
	return step.Answer{Status: status, Code: code, Message: message, Outcome: object.NotRun}
}

// refuse answers a request that never reached the reducer. Of one that carries an
// idempotency key only this attempt's fate is known: an earlier one may have run.
func refuse(w http.ResponseWriter, r *http.Request, id step.RequestID, a step.Answer) {
	if r.Header.Get(headerKey) != "" {
		a.Attempt, a.Outcome = object.NotRun, object.Unknown
	}
	writeError(w, id, a)
}

// customer returns who calls, or answers 401.
func (h *Handler) customer(w http.ResponseWriter, r *http.Request, id step.RequestID) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		sum := sha256.Sum256([]byte(key))
		if c, known := h.loop.Directory().Customers[hex.EncodeToString(sum[:])]; known {
			return c, true
		}
	}
	refuse(w, r, id, refusal(http.StatusUnauthorized, step.CodeUnauthorized, "send your key as 'Authorization: Bearer KEY'; ask your operator if you have none"))
	return "", false
}

// intake is what every request brings.
type intake struct {
	id       step.RequestID
	customer string
	body     []byte
	timeout  time.Duration // zero if the caller gives none
}

// take reads what every request brings, or answers why it can't.
func (h *Handler) take(w http.ResponseWriter, r *http.Request) (intake, bool) {
	in := intake{id: newID()}
	var ok bool
	if in.customer, ok = h.customer(w, r, in.id); !ok {
		return in, false
	}
	if in.body, ok = h.readBody(w, r, in.id); !ok {
		return in, false
	}
	in.timeout, ok = readTimeout(w, r, in.id)
	return in, ok
}

// modelList is the answer of /v1/models.
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
	customer, ok := h.customer(w, r, id)
	if !ok {
		return
	}
	d := h.loop.Directory()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range d.Models {
		if c := d.Allowed[customer]; c != nil && c.Covers(m) {
			list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "rhubarbswitch"})
		}
	}
	writeJSON(w, http.StatusOK, id, list)
}

func writeJSON(w http.ResponseWriter, status int, id step.RequestID, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequestID, string(id))
	w.WriteHeader(status)
	// The caller may be gone; nobody is left to be told.
	_ = json.NewEncoder(w).Encode(v)
}

// attemptContext bounds an attempt by its deadline. It outlives the caller's
// connection: the reducer decides whether an attempt is cancelled.
func (h *Handler) attemptContext(r *http.Request, d step.Dispatch) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(r.Context()), h.loop.At(d.Deadline))
}
