// Package claim ensures that a non-idempotent call runs at most once. The daemon claims the
// caller's idempotency key in the platform before it sends the first byte to a target. Only the
// conditional update of the claim object decides which attempt owns the key.
//
// Keys are UUIDs of version 7. The mint time inside the key selects a window and the hash of
// the key selects a shard; together they name the claim object, so that every daemon finds it
// without a query to another daemon. A key older than the retention is refused, because its
// claim may have been deleted and the call would run again.
//
// Each shard has an owner among the daemons. The other daemons forward their changes to the
// owner, which batches them into one write. The owner only improves batching: if it does not
// answer, a daemon writes the change itself.
//
// A change is queued in its shard, then sent in a write, and then reported as settled. There
// is at most one platform call in flight per shard. If the answer to a write is lost, the
// shard reads the claim object before it writes or reports anything else.
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

// Naming selects which keys share a claim object.
type Naming uint8

const (
	// Sharded puts the keys of one shard and one window of mint times into one object,
	// so that one write can claim many.
	Sharded Naming = iota
	// PerKey stores each key in a separate object.
	PerKey
)

// Settings configure a Manager.
type Settings struct {
	Naming Naming
	// Shards is the number of claim objects per window.
	Shards uint64
	// Window is the span of mint times that share a claim object.
	Window time.Duration
	// Retention is how long a key may be used after it was minted. After it, the key is refused
	// and its claim is deleted.
	Retention time.Duration
	// MaxClockSkew is how far in the future a key's mint time may be on this daemon's clock.
	MaxClockSkew time.Duration
	// ForwardToOwner sends changes to the shard's owner, so that one daemon batches them.
	ForwardToOwner bool
	// WriteInterval is the least time between two writes of one claim object, so that many
	// changes share a write.
	WriteInterval time.Duration
	// OutcomeDelay is how long an outcome may wait for a claim or a release with which it can
	// share a write.
	OutcomeDelay time.Duration
	// ClaimTimeout bounds how long a claim waits for the platform. After it the verdict is
	// Unavailable.
	ClaimTimeout time.Duration
	// MaxBodyBytes bounds the answer body that is recorded with an outcome. Of a call with a
	// larger body only the outcome and the status are recorded.
	MaxBodyBytes int
}

// Defaults returns the settings that are used unless others are configured.
func Defaults() Settings {
	return Settings{
		Shards:         8,
		Window:         500 * time.Millisecond,
		Retention:      24 * time.Hour,
		MaxClockSkew:   time.Minute,
		ForwardToOwner: true,
		WriteInterval:  15 * time.Millisecond,
		OutcomeDelay:   100 * time.Millisecond,
		ClaimTimeout:   time.Second,
		MaxBodyBytes:   1 << 10,
	}
}

// Verdict is the result of an attempt to claim a key.
type Verdict uint8

const (
	// Granted means that the platform stores the claim for this attempt.
	Granted Verdict = iota + 1
	// HeldByOther means that the key belongs to another attempt, or that this attempt has
	// already ended. Result.Claim is the stored claim.
	HeldByOther
	// Unavailable means that the platform did not answer; the attempt must not be sent.
	Unavailable
)

// Result reports the verdict on a claim to the request path.
type Result struct {
	ID      step.RequestID
	Attempt step.AttemptID
	Verdict Verdict
	Claim   object.Claim // stored claim; valid if HeldByOther
}

// KeyError is the reason why a key can't be used.
type KeyError struct {
	Code   step.Code
	Remedy string // text for the caller: what is wrong and what to do
}

// Error returns the remedy.
func (e *KeyError) Error() string { return e.Remedy }

// MintTime returns a key's mint time in Unix milliseconds. It reports false if the key is not a
// UUID of version 7.
func MintTime(key string) (int64, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	var b [8]byte
	copy(b[2:], id[:6])
	return int64(binary.BigEndian.Uint64(b[:])), true
}

// CheckKey returns the reason why a key can't be used now, or nil if it can.
func (s Settings) CheckKey(now step.Time, key string) *KeyError {
	mintedAt, ok := MintTime(key)
	if !ok {
		return &KeyError{step.CodeBadRequest, "Idempotency-Key must be a UUID of version 7: mint one for each new call and repeat it when you ask again"}
	}
	if mintedAt > now.Unix+s.MaxClockSkew.Milliseconds() {
		return &KeyError{step.CodeBadRequest, "Idempotency-Key was minted in the future: set the clock of the caller"}
	}
	if mintedAt < now.Unix-s.Retention.Milliseconds() {
		return &KeyError{step.CodeKeyExpired, fmt.Sprintf("Idempotency-Key is older than %s, so what became of it is no longer kept: find out at the service before minting a new one", s.Retention)}
	}
	return nil
}

// objectName returns the name of the claim object that stores a scoped key.
func (s Settings) objectName(scoped string, mintedAt int64) string {
	if s.Naming == PerKey {
		return fmt.Sprintf("k%016x.%s", xxhash.Sum64String(scoped), scoped[len(scoped)-12:])
	}
	window := mintedAt / s.Window.Milliseconds()
	return fmt.Sprintf("w%d.s%d", window, xxhash.Sum64String(scoped)%s.Shards)
}

// scopedKey joins customer and key, so that equal keys of two customers stay separate.
func scopedKey(customer, key string) string { return customer + "/" + key }
