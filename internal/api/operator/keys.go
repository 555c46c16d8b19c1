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

// Keys are SHA-256 hashes of the keys that operators may show.
type Keys [][sha256.Size]byte

// LoadKeys gathers the keys that the settings name.
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

// Hold reports whether the key is one of them. It takes the same time whichever
// key matches.
func (k Keys) Hold(key string) bool {
	hash := sha256.Sum256([]byte(key))
	found := 0
	for i := range k {
		found |= subtle.ConstantTimeCompare(hash[:], k[i][:])
	}
	return found == 1
}

func (k Keys) require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if len(k) == 0 || (strings.EqualFold(scheme, "Bearer") && k.Hold(key)) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, invalid(http.StatusUnauthorized, operatorapi.CodeUnauthorized,
			"show an operator key of this daemon as a bearer token (rhubarbctl --operator-key-file or RHUBARB_OPERATOR_KEY)"))
	})
}
