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
	// retryPause is how long a failed call to the platform is held back.
	retryPause = 250 * time.Millisecond
	// idleShard is how long an unused claim object is remembered.
	idleShard = time.Minute
	// askPatience is how long an asked owner may take before we write ourselves.
	askPatience = 150 * time.Millisecond
)

// Owners tells which daemon batches a shard's writes. It is a hint only: the
// conditional update decides.
type Owners interface {
	Self() string
	Owner(key string) string
}

// Manager holds the claims that this daemon is writing.
type Manager struct {
	set    Settings
	owners Owners
	nextOp func() step.OpID
	shards map[string]*shard
	byOp   map[step.OpID]*shard
	asked  map[askKey]ask
	gc     sweep
	// Results are the verdicts of the last step; the caller takes them.
	Results []Result
}

// askKey names a change that an owner was asked to write.
type askKey struct {
	attempt string
	kind    changeKind
}

// ask is a change that an owner was asked to write.
type ask struct {
	change change
	shard  string
	at     time.Duration
}

// New returns a manager without claims. Calls to the platform take their numbers from nextOp.
func New(set Settings, owners Owners, nextOp func() step.OpID) *Manager {
	return &Manager{
		set:    set,
		owners: owners,
		nextOp: nextOp,
		shards: make(map[string]*shard),
		byOp:   make(map[step.OpID]*shard),
		asked:  make(map[askKey]ask),
	}
}

// Settings returns the settings in force.
func (m *Manager) Settings() Settings { return m.set }

// Take starts to claim a key for an attempt. The key must have passed CheckKey.
// The verdict comes in Results, in this step or a later one.
func (m *Manager) Take(now step.Time, customer, key string, id step.RequestID, attempt step.AttemptID, out *step.Out) {
	m.want(now, customer, key, change{kind: take, claim: object.Claim{Attempt: string(attempt)}, id: id}, out)
}

// Release gives a key back that was claimed, or may have been, and never sent.
// After it the attempt must not be sent.
func (m *Manager) Release(now step.Time, customer, key string, attempt step.AttemptID, out *step.Out) {
	m.want(now, customer, key, change{kind: release, claim: object.Claim{Attempt: string(attempt)}}, out)
}

// Finish records how the attempt that owns a key ended. Of a large body only the outcome is kept.
func (m *Manager) Finish(now step.Time, customer, key string, end object.Claim, out *step.Out) {
	if len(end.Body) > m.set.BodyBytes {
		end.Body = nil
	}
	m.want(now, customer, key, change{kind: finish, claim: end}, out)
}

// want has a change of ours written, by the shard's owner if that is another daemon.
// All changes of one attempt go the same way, so that they arrive in order.
func (m *Manager) want(now step.Time, customer, key string, c change, out *step.Out) {
	minted, _ := Minted(key)
	c.key = fullKey(customer, key)
	c.claim.Daemon = m.owners.Self()
	c.since = now.Mono
	name := m.set.name(c.key, minted)
	owner := m.owners.Owner("claim/" + name)
	if !m.set.Forward || owner == m.owners.Self() {
		m.add(now, name, c, out)
		return
	}
	m.asked[askKey{c.claim.Attempt, c.kind}] = ask{change: c, shard: name, at: now.Mono}
	out.Add(step.SendPeer{To: owner, Message: step.ClaimAsk{
		Shard: name, Key: c.key, Claim: c.claim, Release: c.kind == release,
	}})
}

// Pending reports how many outcomes and releases still have to be written; a
// graceful stop waits for them.
func (m *Manager) Pending() int {
	n := len(m.asked)
	for _, s := range m.shards {
		n += len(s.queue) + len(s.sent)
	}
	return n
}

// Hurry writes what waits to share a write; a stopping daemon calls it.
func (m *Manager) Hurry() { m.set.OutcomeDelay = 0 }

func (m *Manager) add(now step.Time, name string, c change, out *step.Out) {
	s := m.shards[name]
	if s == nil {
		s = &shard{name: name}
		m.shards[name] = s
	}
	s.queue = append(s.queue, c)
	m.pump(now, s, out)
}

// pump sends the next call for a shard if none is in flight and its time has come.
func (m *Manager) pump(now step.Time, s *shard, out *step.Out) {
	s.used = now.Mono
	if s.op != 0 || len(s.queue) == 0 {
		return
	}
	if due := max(s.retryAt, m.due(s)); now.Mono < due {
		out.Add(step.SetWake{At: due})
		return
	}
	if s.unsure {
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
		m.settle(s.claims, settled, out)
		return
	}
	// What is settled by a change of the same batch stands only once that is written.
	s.sent = append(write, settled...)
	s.next = next
	s.wroteAt = now.Mono
	s.op = m.nextOp()
	m.byOp[s.op] = s
	out.Add(step.PutObject{Op: s.op, Name: s.name, IfVersion: s.version, Value: &object.ClaimShard{Claims: next}})
}

// due is when the queue should be written: at the object's pace, and outcomes alone
// may wait for a claim to share the write with.
func (m *Manager) due(s *shard) time.Duration {
	first := s.queue[0].since
	for _, c := range s.queue {
		if c.kind != finish {
			return s.wroteAt + m.set.Pace
		}
		first = min(first, c.since)
	}
	return max(s.wroteAt+m.set.Pace, first+m.set.OutcomeDelay)
}

func (m *Manager) read(s *shard, out *step.Out) {
	s.reading = true
	s.op = m.nextOp()
	m.byOp[s.op] = s
	out.Add(step.GetObject{Op: s.op, Kind: object.KindClaim, Name: s.name})
}

// OnReply takes the answer to a call of this manager; it reports false for a call of others.
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
	m.pump(now, s, out)
	return true
}

func (m *Manager) onRead(now step.Time, s *shard, r step.PlatformReply, out *step.Out) {
	s.reading = false
	switch r.Status {
	case step.ReplyOK:
		s.unsure = false
		s.adopt(r.Object)
	case step.ReplyAbsent:
		// Version zero: the next write creates, which a write still on its way would
		// make fail, and the other way round.
		s.unsure = false
		s.version = 0
		s.adopt(object.Object{})
	default:
		s.retryAt = now.Mono + retryPause
		m.giveUp(now, s, 0, out)
	}
}

func (m *Manager) onWrite(now step.Time, s *shard, r step.PlatformReply, out *step.Out) {
	switch r.Status {
	case step.ReplyOK:
		s.version = r.Object.Version
		s.claims = s.next
		sent := s.sent
		s.sent, s.next = nil, nil
		m.settle(s.claims, sent, out)
	case step.ReplyConflict:
		s.unsend()
		s.adopt(r.Object)
	case step.ReplyLost:
		// The write may have taken effect, now or later. What stands is read before
		// anything is said or written.
		s.expose()
		s.unsend()
		s.unsure = true
	default:
		s.unsend()
		s.retryAt = now.Mono + retryPause
		m.giveUp(now, s, 0, out)
	}
}

// settle tells the askers of settled changes what stands for their keys.
func (m *Manager) settle(claims map[string]object.Claim, changes []change, out *step.Out) {
	for _, c := range changes {
		stands := claims[c.key]
		if c.from != "" {
			out.Add(step.SendPeer{To: c.from, Message: c.reply(stands, false)})
			continue
		}
		if c.kind == take {
			m.result(c, stands)
		}
	}
}

// reply is the message that tells the daemon that asked for a change.
func (c change) reply(stands object.Claim, unknown bool) step.ClaimReply {
	return step.ClaimReply{
		Key: c.key, Attempt: c.claim.Attempt, Stands: stands, Unknown: unknown,
		Release: c.kind == release, Finish: c.kind == finish,
	}
}

func (m *Manager) result(c change, stands object.Claim) {
	r := Result{ID: c.id, Attempt: step.AttemptID(c.claim.Attempt), Verdict: Held, Claim: stands}
	if stands.Attempt == c.claim.Attempt && stands.Outcome == "" {
		r.Verdict = Granted
	}
	m.Results = append(m.Results, r)
}

// giveUp ends the claims that have waited longer than patience. A claim of ours
// that may stand is followed by a release, so that its key is not stuck.
func (m *Manager) giveUp(now step.Time, s *shard, patience time.Duration, out *step.Out) {
	kept := s.queue[:0:0]
	for _, c := range s.queue {
		if c.kind != take && c.from == "" || now.Mono-c.since < patience {
			kept = append(kept, c)
			continue
		}
		if c.exposed && c.kind == take {
			kept = append(kept, change{kind: release, key: c.key, claim: c.claim, since: now.Mono})
		}
		if c.from != "" {
			out.Add(step.SendPeer{To: c.from, Message: c.reply(object.Claim{}, true)})
			continue
		}
		m.Results = append(m.Results, Result{ID: c.id, Attempt: step.AttemptID(c.claim.Attempt), Verdict: Unreachable})
	}
	s.queue = kept
}

// OnAsk queues a change for another daemon.
func (m *Manager) OnAsk(now step.Time, from string, a step.ClaimAsk, out *step.Out) {
	c := change{kind: take, key: a.Key, claim: a.Claim, from: from, since: now.Mono}
	switch {
	case a.Release:
		c.kind = release
	case a.Claim.Outcome != "":
		c.kind = finish
	}
	m.add(now, a.Shard, c, out)
}

// OnAnswer takes an owner's word on a change that we asked it to write.
func (m *Manager) OnAnswer(now step.Time, r step.ClaimReply, out *step.Out) {
	k := askKey{r.Attempt, take}
	switch {
	case r.Release:
		k.kind = release
	case r.Finish:
		k.kind = finish
	}
	a, ok := m.asked[k]
	if !ok {
		return
	}
	delete(m.asked, k)
	switch {
	case r.Unknown:
		m.add(now, a.shard, a.change, out)
	case k.kind == take:
		m.result(a.change, r.Stands)
	}
}

// Wake sends what was held back until now.
func (m *Manager) Wake(now step.Time, out *step.Out) {
	for _, name := range m.sortedShards() {
		m.pump(now, m.shards[name], out)
	}
}

// Tick sends what was held back, gives up what waited too long and forgets what is idle.
func (m *Manager) Tick(now step.Time, out *step.Out) {
	m.overdue(now, out)
	for _, name := range m.sortedShards() {
		s := m.shards[name]
		if s.op == 0 && len(s.queue) == 0 {
			if now.Mono-s.used > idleShard {
				delete(m.shards, name)
			}
			continue
		}
		if s.op == 0 {
			m.giveUp(now, s, m.set.Patience, out)
		}
		m.pump(now, s, out)
	}
	if m.set.Naming == Sharded {
		m.gc.tick(now, m.set, m.owners, m.nextOp, out)
	}
}

// overdue writes changes ourselves whose asked owner stays silent: the attempt is
// the same, so that both writing it changes nothing.
func (m *Manager) overdue(now step.Time, out *step.Out) {
	var late []askKey
	for k, a := range m.asked {
		if now.Mono-a.at >= askPatience+m.set.OutcomeDelay {
			late = append(late, k)
		}
	}
	slices.SortFunc(late, func(a, b askKey) int {
		return cmp.Or(cmp.Compare(a.attempt, b.attempt), cmp.Compare(a.kind, b.kind))
	})
	for _, k := range late {
		a := m.asked[k]
		delete(m.asked, k)
		out.Log(event.ClaimOwnerSilent, event.F("shard", a.shard), event.F("attempt", k.attempt))
		m.add(now, a.shard, a.change, out)
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
