package claim

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// change is one requested change of a claim object.
type change struct {
	kind      changeKind
	key       string // scoped with the customer
	claim     object.Claim
	request   step.RequestID // this daemon's request that claims the key; empty for other changes
	requester string         // daemon that forwarded the change; empty for a change of this daemon
	queuedAt  time.Duration
	// verified is set once the platform returned the stored claims, by a read or a conflict,
	// after the change was queued. A claim is refused only on such a copy, never on an older
	// one.
	verified bool
	// inLostWrite is set once the answer to a write with this change was lost. That write may
	// still take effect after all later calls.
	inLostWrite bool
}

type changeKind uint8

const (
	acquire changeKind = iota + 1 // claim the key for the attempt
	release                       // the attempt ended before it was sent
	finish                        // the attempt ended; record its outcome
)

// shard is one claim object as this daemon knows it.
type shard struct {
	name    string
	version object.Version
	claims  map[string]object.Claim
	// op is the call in flight, zero if none; reading is set if that is a read, and sent are the
	// changes in it if it is a write.
	op      step.OpID
	reading bool
	sent    []change
	// nextClaims are the claims as the write in flight stores them.
	nextClaims map[string]object.Claim
	queue      []change
	// retryAt is the earliest time of the next call after a failed one.
	retryAt time.Duration
	// lastWriteAt is when the last write was sent.
	lastWriteAt time.Duration
	// mustRead is set after a write whose answer was lost: it may have taken effect, so that the
	// object must be read before the next write.
	mustRead   bool
	lastUsedAt time.Duration
}

// apply applies a batch of changes to a copy of the claims. It returns the copy, the changes
// that the write of that copy settles, the changes that the stored claims already settle, and
// whether the object must be read first. A claim that loses to another change of the same
// batch is settled by the write, like that change.
func (s *shard) apply(batch []change) (next map[string]object.Claim, write, settled []change, needsRead bool) {
	next = maps.Clone(s.claims)
	if next == nil {
		next = make(map[string]object.Claim)
	}
	written := make(map[string]bool)
	for _, c := range batch {
		stored, exists := next[c.key]
		isOwn := exists && stored.Attempt == c.claim.Attempt
		switch {
		case c.kind == acquire && isOwn:
			settled = append(settled, c)
		case c.kind == acquire && exists && !c.verified:
			return nil, nil, nil, true
		case c.kind == acquire && exists && written[c.key]:
			write = append(write, c)
		case c.kind == acquire && exists:
			settled = append(settled, c)
		case c.kind == acquire:
			next[c.key] = c.claim
			written[c.key] = true
			write = append(write, c)
		case c.kind == release:
			// A release always writes, even if the claim is absent: the new version makes a
			// write of the claim fail that is still in flight.
			if isOwn && stored.Outcome == "" {
				delete(next, c.key)
			}
			write = append(write, c)
		case c.kind == finish && (isOwn || !exists):
			next[c.key] = c.claim
			written[c.key] = true
			write = append(write, c)
		case c.kind == finish:
			// The key belongs to another attempt; there is nothing to record.
			settled = append(settled, c)
		}
	}
	return next, write, settled, false
}

// adopt replaces the known state by an object read from the platform, unless that is older.
func (s *shard) adopt(o object.Object) {
	if o.Version < s.version {
		return
	}
	s.version = o.Version
	s.claims = nil
	if v, ok := o.Value.(*object.ClaimShard); ok {
		s.claims = v.Claims
	}
	for i := range s.queue {
		s.queue[i].verified = true
	}
}

// markLostWrite marks the changes in flight after the answer to their write was lost.
func (s *shard) markLostWrite() {
	for i := range s.sent {
		s.sent[i].inLostWrite = true
	}
}

// requeueSent moves the changes in flight back to the front of the queue.
func (s *shard) requeueSent() {
	s.queue = append(s.sent, s.queue...)
	s.sent = nil
	s.nextClaims = nil
}
