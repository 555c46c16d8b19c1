package claim

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// change is one change wanted in a claim object.
type change struct {
	kind  changeKind
	key   string
	claim object.Claim
	id    step.RequestID // of our own request, or empty
	from  string         // daemon that asked, or empty
	since time.Duration
	// verified is set once the claim that stands was read after the change was
	// queued; a refusal never rests on an older copy.
	verified bool
	// exposed is set once a write with this change lost its answer: that write may
	// still land after everything else.
	exposed bool
}

type changeKind uint8

const (
	take    changeKind = iota + 1 // claim the key for the attempt
	release                       // the attempt was given up before sending
	finish                        // the attempt ended; record its outcome
)

// shard is one claim object as this daemon knows it.
type shard struct {
	name    string
	version object.Version
	claims  map[string]object.Claim
	// op is the call in flight, zero if none; sent are the changes in it.
	op      step.OpID
	reading bool
	sent    []change
	next    map[string]object.Claim
	queue   []change
	// retryAt holds calls back after a failure.
	retryAt time.Duration
	// wroteAt is when the last write was sent.
	wroteAt time.Duration
	// unsure is set while a write without an answer may still take effect.
	unsure bool
	used   time.Duration
}

// apply works a batch of changes into a copy of the claims. It returns the copy,
// the changes that the write settles, those settled by the claim that stands, and
// whether a fresh read is needed before anything else. A claim that loses to a
// change of its own batch is settled by the write, like that change.
func (s *shard) apply(batch []change) (next map[string]object.Claim, write, settled []change, read bool) {
	next = maps.Clone(s.claims)
	if next == nil {
		next = make(map[string]object.Claim)
	}
	written := make(map[string]bool)
	for _, c := range batch {
		stands, exists := next[c.key]
		own := exists && stands.Attempt == c.claim.Attempt
		switch {
		case c.kind == take && own:
			settled = append(settled, c)
		case c.kind == take && exists && !c.verified:
			return nil, nil, nil, true
		case c.kind == take && exists && written[c.key]:
			write = append(write, c)
		case c.kind == take && exists:
			settled = append(settled, c)
		case c.kind == take:
			next[c.key] = c.claim
			written[c.key] = true
			write = append(write, c)
		case c.kind == release:
			// A release always writes, even if the claim is not there: the new version
			// makes a claim write that is still on its way fail.
			if own && stands.Outcome == "" {
				delete(next, c.key)
			}
			write = append(write, c)
		case c.kind == finish && (own || !exists):
			next[c.key] = c.claim
			written[c.key] = true
			write = append(write, c)
		case c.kind == finish:
			// Another attempt's claim stands; there is nothing to record.
			settled = append(settled, c)
		}
	}
	return next, write, settled, false
}

// adopt takes over the object that stands in the platform.
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

// expose marks the changes of a write whose answer was lost.
func (s *shard) expose() {
	for i := range s.sent {
		s.sent[i].exposed = true
	}
}

// unsend puts the changes of the call in flight back to the front of the queue.
func (s *shard) unsend() {
	s.queue = append(s.sent, s.queue...)
	s.sent = nil
	s.next = nil
}
