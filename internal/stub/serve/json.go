package serve

import (
	"encoding/json"
	"net/http"
)

// Reply answers with a value as JSON.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller's departure is the only failure, and there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// Accept decodes a setting and applies it.
func Accept[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var value T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
	w.WriteHeader(http.StatusNoContent)
}
