package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// retryDelay is how long a shard waits after a failed call to the platform.
	retryDelay = 250 * time.Millisecond
	// shardIdleRetention is how long the last known state of an unused claim object is kept.
	shardIdleRetention = time.Minute
	// ownerReplyTimeout bounds how long a shard's owner may take to answer a forwarded change,
	// on top of Settings.OutcomeDelay. After it this daemon writes the change itself.
	ownerReplyTimeout = 150 * time.Millisecond
)

// Owners names the daemon that batches the writes of a shard. Daemons may disagree about the
// owner, because only the conditional update decides who gets a key.
type Owners interface {
	// Self returns the name of this daemon.
	Self() string
	// Owner returns the name of the daemon that owns the key of a shard.
	Owner(key string) string
}

// Manager claims, releases and finishes keys for this daemon, and writes the changes that other
// daemons forward to it. It is not safe for concurrent use.
type Manager struct {
	set       Settings
	owners    Owners
	nextOp    func() step.OpID
	shards    map[string]*shard
	byOp      map[step.OpID]*shard
	forwarded map[forwardKey]forwarded
	gc        sweep
	// Results are the verdicts that have arrived. The caller takes and clears them after each
	// step.
	Results []Result
}

// forwardKey identifies a change that was forwarded to a shard's owner.
type forwardKey struct {
	attempt string
	kind    changeKind
}

// forwarded is a change that was forwarded to a shard's owner and not answered yet.
type forwarded struct {
	change change
	shard  string
	sentAt time.Duration
}

// New returns a Manager. nextOp allocates the IDs of its platform calls.
func New(set Settings, owners Owners, nextOp func() step.OpID) *Manager {
	return &Manager{
		set:       set,
		owners:    owners,
		nextOp:    nextOp,
		shards:    make(map[string]*shard),
		byOp:      make(map[step.OpID]*shard),
		forwarded: make(map[forwardKey]forwarded),
	}
}

// Settings returns the settings of the manager.
func (m *Manager) Settings() Settings { return m.set }

// Acquire starts to claim a key for an attempt. The key must have passed CheckKey. The verdict
// appears in Results, in this step or in a later one.
func (m *Manager) Acquire(now step.Time, customer, key string, id step.RequestID, attempt step.AttemptID, out *step.Out) {
	m.submit(now, customer, key, change{kind: acquire, claim: object.Claim{Attempt: string(attempt)}, request: id}, out)
}

// Release frees a key that was claimed, or may have been, for an attempt that was not sent. The
// attempt must not be sent after this call.
func (m *Manager) Release(now step.Time, customer, key string, attempt step.AttemptID, out *step.Out) {
	m.submit(now, customer, key, change{kind: release, claim: object.Claim{Attempt: string(attempt)}}, out)
}

// Finish records how the attempt that owns a key ended. A body above Settings.MaxBodyBytes is
// dropped, and only the outcome and the status are recorded.
func (m *Manager) Finish(now step.Time, customer, key string, end object.Claim, out *step.Out) {
	if len(end.Body) > m.set.MaxBodyBytes {
		end.Body = nil
	}
	m.submit(now, customer, key, change{kind: finish, claim: end}, out)
}

// submit queues a change of this daemon for writing, or forwards it to the shard's owner if that
// is another daemon. All changes of one attempt take the same path, so that they arrive in order.
func (m *Manager) submit(now step.Time, customer, key string, c change, out *step.Out) {
	mintedAt, _ := MintTime(key)
	c.key = scopedKey(customer, key)
	c.claim.Daemon = m.owners.Self()
	c.queuedAt = now.Mono
	name := m.set.objectName(c.key, mintedAt)
	owner := m.owners.Owner("claim/" + name)
	if !m.set.ForwardToOwner || owner == m.owners.Self() {
		m.enqueue(now, name, c, out)
		return
	}
	m.forwarded[forwardKey{c.claim.Attempt, c.kind}] = forwarded{change: c, shard: name, sentAt: now.Mono}
	out.Add(step.SendPeer{To: owner, Message: step.ClaimAsk{
		Shard: name, Key: c.key, Claim: c.claim, Release: c.kind == release,
	}})
}

// Pending returns the number of changes that are queued, in flight or forwarded without an
// answer. A graceful stop waits until it is zero.
func (m *Manager) Pending() int {
	n := len(m.forwarded)
	for _, s := range m.shards {
		n += len(s.queue) + len(s.sent)
	}
	return n
}

// SkipOutcomeDelay makes outcomes no longer wait for a claim to share a write with. A stopping
// daemon calls it.
func (m *Manager) SkipOutcomeDelay() { m.set.OutcomeDelay = 0 }

func (m *Manager) enqueue(now step.Time, name string, c change, out *step.Out) {
	s := m.shards[name]
	if s == nil {
		s = &shard{name: name}
		m.shards[name] = s
	}
	s.queue = append(s.queue, c)
	m.sendNext(now, s, out)
}

// sendNext sends the next platform call for a shard if none is in flight and a call is due.
func (m *Manager) sendNext(now step.Time, s *shard, out *step.Out) {
	s.lastUsedAt = now.Mono
	if s.op != 0 || len(s.queue) == 0 {
		return
	}
	if due := max(s.retryAt, m.writeDue(s)); now.Mono < due {
		out.Add(step.SetWake{At: due})
		return
	}
	if s.mustRead {
		m.read(s, out)
		return
	}
	next, write, settled, read := s.apply(s.queue)
	if read {
		m.read(s, out)
		return
	}
	s.queue = nil
	if len(write) == 0 {
		m.reportSettled(s.claims, settled, out)
		return
	}
	// A change that was settled by another change of the same batch depends on that write too.
	s.sent = append(write, settled...)
	s.nextClaims = next
	s.lastWriteAt = now.Mono
	s.op = m.nextOp()
	m.byOp[s.op] = s
	out.Add(step.PutObject{Op: s.op, Name: s.name, IfVersion: s.version, Value: &object.ClaimShard{Claims: next}})
}

// writeDue returns when the queue should be written: WriteInterval after the last write, and if
// the queue has only outcomes, no earlier than OutcomeDelay after the first of them.
func (m *Manager) writeDue(s *shard) time.Duration {
	first := s.queue[0].queuedAt
	for _, c := range s.queue {
		if c.kind != finish {
			return s.lastWriteAt + m.set.WriteInterval
		}
		first = min(first, c.queuedAt)
	}
	return max(s.lastWriteAt+m.set.WriteInterval, first+m.set.OutcomeDelay)
}

// read reads the claim object of a shard.
func (m *Manager) read(s *shard, out *step.Out) {
	s.reading = true
	s.op = m.nextOp()
	m.byOp[s.op] = s
	out.Add(step.GetObject{Op: s.op, Kind: object.KindClaim, Name: s.name})
}

// OnReply handles the answer to a platform call of this manager. It reports false if the call is
// not one of this manager's.
func (m *Manager) OnReply(now step.Time, r step.PlatformReply, out *step.Out) bool {
	if m.gc.onReply(r, m.nextOp, out) {
		return true
	}
	s, ok := m.byOp[r.Op]
	if !ok {
		return false
	}
	delete(m.byOp, r.Op)
	s.op = 0
	if s.reading {
		m.onRead(now, s, r, out)
	} else {
		m.onWrite(now, s, r, out)
	}
	m.sendNext(now, s, out)
	return true
}

func (m *Manager) onRead(now step.Time, s *shard, r step.PlatformReply, out *step.Out) {
	s.reading = false
	switch r.Status {
	case step.ReplyOK:
		s.mustRead = false
		s.adopt(r.Object)
	case step.ReplyAbsent:
		// With version zero the next write creates the object. If an earlier write is still in
		// flight, only the first of the two to arrive succeeds.
		s.mustRead = false
		s.version = 0
		s.adopt(object.Object{})
	default:
		s.retryAt = now.Mono + retryDelay
		m.expireClaims(now, s, 0, out)
	}
}

func (m *Manager) onWrite(now step.Time, s *shard, r step.PlatformReply, out *step.Out) {
	switch r.Status {
	case step.ReplyOK:
		s.version = r.Object.Version
		s.claims = s.nextClaims
		sent := s.sent
		s.sent, s.nextClaims = nil, nil
		m.reportSettled(s.claims, sent, out)
	case step.ReplyConflict:
		s.requeueSent()
		s.adopt(r.Object)
	case step.ReplyLost:
		// The write may have taken effect or may still do so. The object is read before any
		// result is reported or anything else is written.
		s.markLostWrite()
		s.requeueSent()
		s.mustRead = true
	default:
		s.requeueSent()
		s.retryAt = now.Mono + retryDelay
		m.expireClaims(now, s, 0, out)
	}
}

// reportSettled sends the stored claims of settled changes to the daemons that forwarded them,
// and adds the results of this daemon's claims.
func (m *Manager) reportSettled(claims map[string]object.Claim, changes []change, out *step.Out) {
	for _, c := range changes {
		stored := claims[c.key]
		if c.requester != "" {
			out.Add(step.SendPeer{To: c.requester, Message: c.reply(stored, false)})
			continue
		}
		if c.kind == acquire {
			m.addResult(c, stored)
		}
	}
}

// reply returns the answer to the daemon that forwarded the change.
func (c change) reply(stored object.Claim, unknown bool) step.ClaimReply {
	return step.ClaimReply{
		Key: c.key, Attempt: c.claim.Attempt, Stands: stored, Unknown: unknown,
		Release: c.kind == release, Finish: c.kind == finish,
	}
}

func (m *Manager) addResult(c change, stored object.Claim) {
	r := Result{ID: c.request, Attempt: step.AttemptID(c.claim.Attempt), Verdict: HeldByOther, Claim: stored}
	if stored.Attempt == c.claim.Attempt && stored.Outcome == "" {
		r.Verdict = Granted
	}
	m.Results = append(m.Results, r)
}

// expireClaims drops the claims, and the changes of other daemons, that have waited for the
// timeout. This daemon's claims get the verdict Unavailable; other daemons are answered that
// the result is unknown. A claim that may have been stored by a write without an answer is
// followed by a release, so that its key does not stay blocked. Releases and outcomes of this
// daemon are kept.
func (m *Manager) expireClaims(now step.Time, s *shard, timeout time.Duration, out *step.Out) {
	kept := s.queue[:0:0]
	for _, c := range s.queue {
		if c.kind != acquire && c.requester == "" || now.Mono-c.queuedAt < timeout {
			kept = append(kept, c)
			continue
		}
		if c.inLostWrite && c.kind == acquire {
			kept = append(kept, change{kind: release, key: c.key, claim: c.claim, queuedAt: now.Mono})
		}
		if c.requester != "" {
			out.Add(step.SendPeer{To: c.requester, Message: c.reply(object.Claim{}, true)})
			continue
		}
		m.Results = append(m.Results, Result{ID: c.request, Attempt: step.AttemptID(c.claim.Attempt), Verdict: Unavailable})
	}
	s.queue = kept
}

// OnClaimAsk queues a change that another daemon forwarded.
func (m *Manager) OnClaimAsk(now step.Time, from string, a step.ClaimAsk, out *step.Out) {
	c := change{kind: acquire, key: a.Key, claim: a.Claim, requester: from, queuedAt: now.Mono}
	switch {
	case a.Release:
		c.kind = release
	case a.Claim.Outcome != "":
		c.kind = finish
	}
	m.enqueue(now, a.Shard, c, out)
}

// OnClaimReply handles the owner's answer to a forwarded change. If the owner could not settle
// the change, this daemon writes it itself.
func (m *Manager) OnClaimReply(now step.Time, r step.ClaimReply, out *step.Out) {
	k := forwardKey{r.Attempt, acquire}
	switch {
	case r.Release:
		k.kind = release
	case r.Finish:
		k.kind = finish
	}
	f, ok := m.forwarded[k]
	if !ok {
		return
	}
	delete(m.forwarded, k)
	switch {
	case r.Unknown:
		m.enqueue(now, f.shard, f.change, out)
	case k.kind == acquire:
		m.addResult(f.change, r.Stands)
	}
}

// Wake sends the platform calls that have become due.
func (m *Manager) Wake(now step.Time, out *step.Out) {
	for _, name := range m.sortedShards() {
		m.sendNext(now, m.shards[name], out)
	}
}

// Tick takes back overdue forwarded changes, expires claims that have waited for ClaimTimeout,
// sends the platform calls that are due, forgets idle shards and deletes expired claim objects.
func (m *Manager) Tick(now step.Time, out *step.Out) {
	m.enqueueOverdue(now, out)
	for _, name := range m.sortedShards() {
		s := m.shards[name]
		if s.op == 0 && len(s.queue) == 0 {
			if now.Mono-s.lastUsedAt > shardIdleRetention {
				delete(m.shards, name)
			}
			continue
		}
		if s.op == 0 {
			m.expireClaims(now, s, m.set.ClaimTimeout, out)
		}
		m.sendNext(now, s, out)
	}
	if m.set.Naming == Sharded {
		m.gc.tick(now, m.set, m.owners, m.nextOp, out)
	}
}

// enqueueOverdue queues the forwarded changes that their owner has not answered, so that this
// daemon writes them. If the owner writes them as well, that does no harm, as both writes name
// the same attempt.
func (m *Manager) enqueueOverdue(now step.Time, out *step.Out) {
	var overdue []forwardKey
	for k, f := range m.forwarded {
		if now.Mono-f.sentAt >= ownerReplyTimeout+m.set.OutcomeDelay {
			overdue = append(overdue, k)
		}
	}
	slices.SortFunc(overdue, func(a, b forwardKey) int {
		return cmp.Or(cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.kind, b.kind))
	})
	for _, k := range overdue {
		f := m.forwarded[k]
		delete(m.forwarded, k)
		out.Log(event.ClaimOwnerUnresponsive, event.F("shard", f.shard), event.F("attempt", k.attempt))
		m.enqueue(now, f.shard, f.change, out)
	}
}

func (m *Manager) sortedShards() []string {
	names := make([]string, 0, len(m.shards))
	for name := range m.shards {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
