package account

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// write sends the next state of the account, conditional on the known version.
func (m *Manager) write(now step.Time, st *accountState, out *step.Out) {
	next, w := m.nextAccount(now, st)
	st.openWrites = append(st.openWrites, w)
	st.lastWriteSentAt = now.Mono
	st.op, st.reading = m.nextOp(), false
	m.byOp[st.op] = st
	m.savedWrites--
	out.Add(step.PutObject{Op: st.op, Name: st.name, IfVersion: st.version, Value: next})
}

// read reads the account object.
func (m *Manager) read(st *accountState, out *step.Out) {
	st.op, st.reading = m.nextOp(), true
	m.byOp[st.op] = st
	out.Add(step.GetObject{Op: st.op, Kind: object.KindAccount, Name: st.name})
}

// nextAccount builds the next state of the account: this daemon's usage and the usage handed
// over to it are settled, its slice has a new size, and the slices of daemons that have been
// gone for ReapDelay are moved to uncertain.
func (m *Manager) nextAccount(now step.Time, st *accountState) (*object.Account, openWrite) {
	st.lastSequence++
	w := openWrite{sequence: st.lastSequence, baseVersion: st.version, settled: st.unsettled}
	next := &object.Account{
		Settled: add(st.stored.Settled, st.unsettled), Uncertain: st.stored.Uncertain,
		Slices: maps.Clone(st.stored.Slices),
	}
	if next.Slices == nil {
		next.Slices = make(map[string]object.Slice)
	}
	for _, p := range st.handoffs {
		p.settleInto(next)
		w.handoffs = append(w.handoffs, p.slice)
	}
	for id, since := range st.absentSince {
		if s, present := next.Slices[id]; present && now.Mono-since >= m.set.ReapDelay {
			next.Uncertain.Requests += s.Requests
			next.Uncertain.Tokens += s.Tokens
			delete(next.Slices, id)
		}
	}
	w.slice = m.sliceSize(now, st)
	w.returnsSlice = w.slice == amount{}
	delete(next.Slices, m.set.Incarnation)
	if !w.returnsSlice {
		next.Slices[m.set.Incarnation] = object.Slice{
			Daemon: m.set.Daemon, Sequence: w.sequence, Requests: w.slice.requests, Tokens: w.slice.tokens,
		}
	}
	return next, w
}

// wouldChange reports whether a write would change anything.
func (m *Manager) wouldChange(now step.Time, st *accountState) bool {
	if st.unsettled != (object.Usage{}) || len(st.handoffs) > 0 || len(st.openWrites) > 0 {
		return true
	}
	if m.canReap(now, st) {
		return true
	}
	wanted := st.shouldReturnSlice(m, now) || st.runsLow(now) || !st.available().covers(st.waiting)
	return wanted && m.sliceSize(now, st) != st.granted
}

// canReap reports whether the daemon of some slice has been gone for ReapDelay.
func (m *Manager) canReap(now step.Time, st *accountState) bool {
	for _, since := range st.absentSince {
		if now.Mono-since >= m.set.ReapDelay {
			return true
		}
	}
	return false
}

// sliceSize returns the size of the next slice: what is reserved, plus the expected demand as
// far as the allowance has it free.
func (m *Manager) sliceSize(now step.Time, st *accountState) amount {
	if st.shouldReturnSlice(m, now) {
		return st.reserved
	}
	wanted := st.demand.expectedFor(2 * m.set.Horizon).max(amount{minSliceRequests, minSliceTokens}).plus(st.waiting)
	free := st.unreserved().minus(st.reserved)
	// A daemon takes at most half of its equal share of the free amount, so that the other
	// daemons find something free. The cost of the waiting requests is not limited in this way.
	share := free.scale(1 / float64(2*max(m.members.Live(), 1))).max(st.waiting)
	return st.reserved.plus(wanted.min(share).min(free).max(amount{}))
}

// shouldReturnSlice reports whether the slice should be given back: the daemon stops, the
// month is over, or the slice is idle.
func (st *accountState) shouldReturnSlice(m *Manager, now step.Time) bool {
	return m.closing || st.monthIsOver(now) || (st.waiting == amount{} && now.Mono-st.lastAdmittedAt >= m.set.IdleTimeout)
}

// monthIsOver reports whether the account's month is over.
func (st *accountState) monthIsOver(now step.Time) bool {
	month := time.UnixMilli(now.Unix).UTC().Format("2006-01")
	return st.name[len(st.name)-len(month):] < month
}
