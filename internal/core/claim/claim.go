// Package claim makes a non-idempotent call run at most once. A caller's key is
// claimed in the platform before the first byte goes to a target; the conditional
// update of the claim object decides who owns it, and nothing else does.
//
// Keys are UUIDs of version 7: the time of minting inside the key names the
// window, and its hash the shard, so that a daemon finds the claim object of a key
// without asking anybody, and a key older than the retention is refused rather
// than run again after its claim was deleted.
package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Naming says which keys share a claim object.
type Naming uint8

const (
	// Sharded puts the keys of one shard and one window of mint times into one object,
	// so that one write can claim many.
	Sharded Naming = iota
	// PerKey gives each key an object of its own.
	PerKey
)

// Settings bound the claims.
type Settings struct {
	Naming Naming
	Shards uint64
	// Window is the span of mint times that share an object.
	Window time.Duration
	// Retention is how long after minting a key may be used.
	Retention time.Duration
	// Skew is how far ahead of our clock a key's mint time may lie.
	Skew time.Duration
	// Forward sends claims to the shard's owner, so that one daemon batches them.
	Forward bool
	// Pace is the least time between two writes of one claim object, so that many
	// changes share a write.
	Pace time.Duration
	// OutcomeDelay is how long a recorded outcome waits to share a claim's write.
	OutcomeDelay time.Duration
	// Patience is how long a claim waits for the platform before it is given up.
	Patience time.Duration
	// BodyBytes bounds a recorded answer.
	BodyBytes int
}

// Defaults returns the settings used where none are given.
func Defaults() Settings {
	return Settings{
		Shards:       8,
		Window:       500 * time.Millisecond,
		Retention:    24 * time.Hour,
		Skew:         time.Minute,
		Forward:      true,
		Pace:         15 * time.Millisecond,
		OutcomeDelay: 100 * time.Millisecond,
		Patience:     time.Second,
		BodyBytes:    1 << 10,
	}
}

// Verdict is what came of a claim.
type Verdict uint8

const (
	// Granted: the claim stands in the platform in the attempt's name.
	Granted Verdict = iota + 1
	// Held: another attempt's claim stands; Result.Claim is that one.
	Held
	// Unreachable: the platform can't be asked; the attempt must not be sent.
	Unreachable
)

// Result tells the request path what came of a claim.
type Result struct {
	ID      step.RequestID
	Attempt step.AttemptID
	Verdict Verdict
	Claim   object.Claim // valid if Held
}

// KeyError says why a key can't be used.
type KeyError struct {
	Code   step.Code
	Remedy string
}

// Error returns the remedy.
func (e *KeyError) Error() string { return e.Remedy }

// Minted returns a key's mint time in Unix milliseconds.
func Minted(key string) (int64, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	var b [8]byte
	copy(b[2:], id[:6])
	return int64(binary.BigEndian.Uint64(b[:])), true
}

// CheckKey reports why a key can't be used now, or nil.
func (s Settings) CheckKey(now step.Time, key string) *KeyError {
	minted, ok := Minted(key)
	if !ok {
		return &KeyError{step.CodeBadRequest, "Idempotency-Key must be a UUID of version 7: mint one for each new call and repeat it when you ask again"}
	}
	if minted > now.Unix+s.Skew.Milliseconds() {
		return &KeyError{step.CodeBadRequest, "Idempotency-Key was minted in the future: set the clock of the caller"}
	}
	if minted < now.Unix-s.Retention.Milliseconds() {
		return &KeyError{step.CodeKeyExpired, fmt.Sprintf("Idempotency-Key is older than %s, so what became of it is no longer kept: find out at the service before minting a new one", s.Retention)}
	}
	return nil
}

// name returns the claim object of a full key.
func (s Settings) name(full string, minted int64) string {
	if s.Naming == PerKey {
		return fmt.Sprintf("k%016x.%s", xxhash.Sum64String(full), full[len(full)-12:])
	}
	window := minted / s.Window.Milliseconds()
	return fmt.Sprintf("w%d.s%d", window, xxhash.Sum64String(full)%s.Shards)
}

// fullKey joins customer and key: a key is the customer's own.
func fullKey(customer, key string) string { return customer + "/" + key }
