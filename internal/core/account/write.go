package account

import (
	"maps"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// write sends the next state of the account, conditional on the one known.
func (m *Manager) write(now step.Time, b *book, out *step.Out) {
	next, a := m.next(now, b)
	b.attempts = append(b.attempts, a)
	b.tried = now.Mono
	b.op, b.reading = m.nextOp(), false
	m.byOp[b.op] = b
	m.writes--
	out.Add(step.PutObject{Op: b.op, Name: b.name, IfVersion: b.version, Value: next})
}

func (m *Manager) read(b *book, out *step.Out) {
	b.op, b.reading = m.nextOp(), true
	m.byOp[b.op] = b
	out.Add(step.GetObject{Op: b.op, Kind: object.KindAccount, Name: b.name})
}

// next builds the account with this daemon's usage settled, its slice sized anew and
// the slices of daemons that are gone moved to uncertain.
func (m *Manager) next(now step.Time, b *book) (*object.Account, attempt) {
	b.sequence++
	a := attempt{sequence: b.sequence, base: b.version, settled: b.unsettled}
	next := &object.Account{
		Settled: add(b.base.Settled, b.unsettled), Uncertain: b.base.Uncertain,
		Slices: maps.Clone(b.base.Slices),
	}
	if next.Slices == nil {
		next.Slices = make(map[string]object.Slice)
	}
	for _, p := range b.parcels {
		p.settle(next)
		a.parcels = append(a.parcels, p.slice)
	}
	for id, since := range b.absent {
		if s, present := next.Slices[id]; present && now.Mono-since >= m.set.ReapAfter {
			next.Uncertain.Requests += s.Requests
			next.Uncertain.Tokens += s.Tokens
			delete(next.Slices, id)
		}
	}
	a.slice = m.size(now, b)
	a.returns = a.slice == amount{}
	delete(next.Slices, m.set.Incarnation)
	if !a.returns {
		next.Slices[m.set.Incarnation] = object.Slice{
			Daemon: m.set.Daemon, Sequence: a.sequence, Requests: a.slice.requests, Tokens: a.slice.tokens,
		}
	}
	return next, a
}

// changes reports whether a write would change anything.
func (m *Manager) changes(now step.Time, b *book) bool {
	if b.unsettled != (object.Usage{}) || len(b.parcels) > 0 || len(b.attempts) > 0 {
		return true
	}
	if m.reapable(now, b) {
		return true
	}
	wanted := b.idle(m, now) || b.low(now) || !b.available().covers(b.needed)
	return wanted && m.size(now, b) != b.granted
}

// reapable reports whether some slice's daemon has been gone for long enough.
func (m *Manager) reapable(now step.Time, b *book) bool {
	for _, since := range b.absent {
		if now.Mono-since >= m.set.ReapAfter {
			return true
		}
	}
	return false
}

// size returns the slice that the demand asks for and the account has room for. It
// covers what is held in any case.
func (m *Manager) size(now step.Time, b *book) amount {
	if b.idle(m, now) {
		return b.held
	}
	wanted := b.demand.over(2 * m.set.Horizon).max(amount{leastRequests, leastTokens}).plus(b.needed)
	free := b.room().minus(b.held)
	// One daemon may take no more than half of its equal share of what is free, so
	// that others find something; what requests wait for is taken in any case.
	share := free.scale(1 / float64(2*max(m.members.Live(), 1))).max(b.needed)
	return b.held.plus(wanted.min(share).min(free).max(amount{}))
}

// idle reports whether the slice is to be given back.
func (b *book) idle(m *Manager, now step.Time) bool {
	return m.closing || b.ended(now) || (b.needed == amount{} && now.Mono-b.used >= m.set.IdleAfter)
}

// ended reports whether the account's month is over.
func (b *book) ended(now step.Time) bool {
	month := time.UnixMilli(now.Unix).UTC().Format("2006-01")
	return b.name[len(b.name)-len(month):] < month
}
