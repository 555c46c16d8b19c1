package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Keys are the SHA-256 hashes of the operator keys that the daemon accepts.
type Keys [][sha256.Size]byte

// LoadKeys returns the hashes of all operator keys in the settings: those in KeyHashes, and
// the hash of the key in the file or environment variable that Key names, if it names one.
func LoadKeys(o config.Operators) (Keys, error) {
	var keys Keys
	for _, text := range o.KeyHashes {
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(text)); err != nil || n != len(hash) {
			return nil, errors.Errorf("operators.keyHashes: give the SHA-256 of a key as %d hex digits", 2*len(hash))
		}
		keys = append(keys, hash)
	}
	if o.Key.IsZero() {
		return keys, nil
	}
	key, err := o.Key.Read()
	if err != nil {
		return nil, errors.Wrap(err, "operators.key")
	}
	return append(keys, sha256.Sum256(key)), nil
}

// Contains reports whether the key is one of them. It compares all hashes in constant time,
// so the time taken does not reveal which key matches.
func (k Keys) Contains(key string) bool {
	hash := sha256.Sum256([]byte(key))
	found := 0
	for i := range k {
		found |= subtle.ConstantTimeCompare(hash[:], k[i][:])
	}
	return found == 1
}

// require wraps a handler so that it answers 401 to a request without a valid key. If no
// keys are set, it lets every request pass.
func (k Keys) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if len(k) == 0 || (strings.EqualFold(scheme, "Bearer") && k.Contains(key)) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, newErrorAnswer(http.StatusUnauthorized, operatorapi.CodeUnauthorized,
			"show an operator key of this daemon as a bearer token (rhubarbctl --operator-key-file or RHUBARB_OPERATOR_KEY)"))
	})
}
