package account

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Tick renews slices that run low, settles usage, gives back idle slices and moves the slices of
// lost daemons to uncertain. Accounts for which requests wait are written first.
func (m *Manager) Tick(now step.Time, out *step.Out) {
	m.refillWrites(now)
	names := append([]string(nil), m.names...)
	// Write the accounts for which requests wait first, as the number of writes is bounded.
	for _, urgent := range []bool{true, false} {
		for _, name := range names {
			st := m.accounts[name]
			if urgent {
				m.observeAccount(now, st)
			}
			if m.hasWaiting(st) == urgent && m.isDue(now, st) {
				m.readOrWrite(now, st, out)
			}
		}
	}
	for _, name := range names {
		if st := m.accounts[name]; st.op == 0 && st.isEmpty() && st.shouldReturnSlice(m, now) && now.Mono >= st.exhaustedUntil {
			m.forget(name)
		}
	}
}

// refillWrites adds this daemon's share of WritesPerSecond to the saved writes.
func (m *Manager) refillWrites(now step.Time) {
	share := m.set.WritesPerSecond / float64(max(m.members.Live(), 1))
	m.savedWrites = min(m.savedWrites+share*(now.Mono-m.savedWritesAt).Seconds(), m.maxWrites())
	m.savedWritesAt = now.Mono
}

// maxWrites is the largest number of writes that this daemon may save up.
func (m *Manager) maxWrites() float64 {
	return max(float64(maxSavedWrites)/float64(max(m.members.Live(), 1)), 1)
}

// observeAccount updates the waiting cost and the demand of an account, and records which of its
// slices belong to daemons that are gone.
func (m *Manager) observeAccount(now step.Time, st *accountState) {
	st.waiting, st.nextWaiting = st.nextWaiting, amount{}
	if st.demand.update(now.Mono, st.offered) {
		st.offered = amount{}
	}
	if st.stored == nil {
		return
	}
	for id, s := range st.stored.Slices {
		if id == m.set.Incarnation || m.members.Alive(s.Daemon, id) {
			delete(st.absentSince, id)
		} else if _, noted := st.absentSince[id]; !noted {
			st.absentSince[id] = now.Mono
		}
	}
	for id := range st.absentSince {
		if _, present := st.stored.Slices[id]; !present {
			delete(st.absentSince, id)
		}
	}
}

// hasWaiting reports whether requests wait for the account's slice to be renewed.
func (m *Manager) hasWaiting(st *accountState) bool { return st.waiting != amount{} }

// isDue reports whether the account should be written now.
func (m *Manager) isDue(now step.Time, st *accountState) bool {
	if st.op != 0 || now.Mono < st.retryAt || !m.mayWrite() {
		return false
	}
	switch {
	case m.hasWaiting(st), len(st.handoffs) > 0, m.canReap(now, st):
		return true
	case st.shouldReturnSlice(m, now) && st.reserved == amount{}:
		return !st.isEmpty()
	case st.runsLow(now):
		return true
	}
	return st.unsettled != object.Usage{} && now.Mono-st.lastWriteAppliedAt >= m.set.SettleInterval
}

// mayWrite reports whether the write rate allows another write. A stopping daemon ignores the
// rate.
func (m *Manager) mayWrite() bool { return m.closing || m.savedWrites >= 1 }

// runsLow reports whether the slice will be spent soon and should be renewed.
func (st *accountState) runsLow(now step.Time) bool {
	if !st.hasRecentDemand() || now.Mono < st.exhaustedUntil || now.Mono-st.lastWriteSentAt < renewalInterval {
		return false
	}
	least := st.granted.scale(renewalThreshold).min(st.demand.expectedFor(st.set.Horizon / 2))
	return !st.available().covers(least.max(amount{1, 1}))
}

// hasRecentDemand reports whether there was at least about one request in demandTimeConstant.
func (st *accountState) hasRecentDemand() bool {
	return st.demand.requests > st.demand.weight/demandTimeConstant.Seconds()
}

// readOrWrite writes the account if its stored state is known and up to date. Otherwise it
// reads it first; the write follows the answer.
func (m *Manager) readOrWrite(now step.Time, st *accountState, out *step.Out) {
	if !st.isKnown || now.Mono-st.readAt > maxReadAge || len(st.openWrites) > 0 || st.conflicts > 0 {
		m.read(st, out)
		return
	}
	m.write(now, st, out)
}

// OnReply handles the answer to a platform call of this manager. It reports false if the call
// is not one of this manager's. After it, the caller calls Admit again for the requests whose
// decision was RenewalPending.
func (m *Manager) OnReply(now step.Time, r step.PlatformReply, out *step.Out) bool {
	st := m.byOp[r.Op]
	if st == nil {
		return false
	}
	delete(m.byOp, r.Op)
	reading := st.reading
	st.op, st.nextWaiting = 0, amount{}
	switch r.Status {
	case step.ReplyOK, step.ReplyConflict, step.ReplyAbsent:
		st.isFailing = false
		m.onStored(now, st, r, out, reading)
	case step.ReplyLost:
		st.recordFailure(now)
	default:
		if !reading {
			st.openWrites = st.openWrites[:len(st.openWrites)-1] // it took no effect
		}
		st.recordFailure(now)
	}
	return true
}

// recordFailure records a failed call and delays the next one.
func (st *accountState) recordFailure(now step.Time) {
	if !st.isFailing {
		st.isFailing, st.failingSince = true, now.Mono
	}
	st.isKnown = false
	st.retryAt = now.Mono + retryDelay
}

// onStored adopts the stored object of a reply. After a conflict, and after a read if
// something has to change, it writes the next state on top of that object, now or after a
// backoff.
func (m *Manager) onStored(now step.Time, st *accountState, r step.PlatformReply, out *step.Out, reading bool) {
	a, readable := storedAccount(r)
	if !readable {
		st.recordFailure(now)
		return
	}
	if !reading && r.Status == step.ReplyConflict {
		// The condition failed, so this write took no effect.
		st.openWrites = st.openWrites[:len(st.openWrites)-1]
		st.conflicts++
	}
	st.adopt(now.Mono, r.Object.Version, a)
	if !reading && r.Status == step.ReplyOK {
		st.conflicts = 0
		st.updateExhausted(now)
		return
	}
	if reading && !m.wouldChange(now, st) {
		st.updateExhausted(now)
		return
	}
	if pause := m.conflictBackoff(st); !reading && pause > 0 || !m.mayWrite() {
		st.retryAt = now.Mono + pause
		return
	}
	m.write(now, st, out)
}

// conflictBackoff spreads the writes of daemons that write the same account. After the first
// conflict the daemon writes again at once, on top of the stored object. After each further
// conflict it waits for a random time from a range that doubles, up to two units per live
// daemon. The random number is a hash of the incarnation, the account and the sequence number
// and so is reproducible.
func (m *Manager) conflictBackoff(st *accountState) time.Duration {
	if st.conflicts < 2 {
		return 0
	}
	slots := min(uint64(1)<<min(st.conflicts, maxBackoffDoublings), uint64(2*m.members.Live()))
	draw := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m.set.Incarnation, st.name, st.lastSequence))
	return time.Duration(draw%slots) * conflictBackoffUnit
}

// updateExhausted sets or clears exhaustedUntil. The allowance counts as exhausted if requests
// wait and the slice does not cover another request after it was renewed.
func (st *accountState) updateExhausted(now step.Time) {
	if st.available().covers(amount{1, 1}) {
		st.exhaustedUntil = 0
	} else if st.waiting != (amount{}) {
		st.exhaustedUntil = now.Mono + exhaustedTTL
	}
}

// storedAccount returns the account of a reply; an absent object is an empty account. It reports
// false if the object is not an account.
func storedAccount(r step.PlatformReply) (*object.Account, bool) {
	if r.Object.Version == 0 || r.Object.Value == nil && r.Status == step.ReplyAbsent {
		return &object.Account{}, true
	}
	a, ok := r.Object.Value.(*object.Account)
	return a, ok
}
