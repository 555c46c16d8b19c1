package operator

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	status, err := s.inspector.Status(r.Context())
	if err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *server) applied(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, newErrorAnswer(http.StatusBadRequest, operatorapi.CodeInvalid, "give revision=N with the version of the accepted change"))
		return
	}
	status, err := s.inspector.Status(r.Context())
	if err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.AppliedOf(status, object.Version(revision)))
}

func (s *server) trace(w http.ResponseWriter, r *http.Request) {
	trace, err := s.inspector.Trace(r.Context(), step.RequestID(chi.URLParam(r, "request")))
	if err != nil {
		writeError(w, storeErrorAnswer(err))
		return
	}
	writeJSON(w, http.StatusOK, trace)
}
