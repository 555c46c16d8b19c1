package serve

import (
	"encoding/json"
	"net/http"
)

// Reply writes an answer with a value as JSON.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(value)
}

// Accept decodes a JSON body without unknown fields and applies the value. It answers 204, or
// 400 if the body is invalid.
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
