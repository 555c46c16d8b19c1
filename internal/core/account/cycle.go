package account

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Tick renews slices that run low, settles what was used and gives back what is idle.
func (m *Manager) Tick(now step.Time, out *step.Out) {
	m.topUp(now)
	names := append([]string(nil), m.order...)
	// Requests wait for some accounts: these are dealt with first.
	for _, urgent := range []bool{true, false} {
		for _, name := range names {
			b := m.books[name]
			if urgent {
				m.observe(now, b)
			}
			if m.urgent(b) == urgent && m.due(now, b) {
				m.begin(now, b, out)
			}
		}
	}
	for _, name := range names {
		if b := m.books[name]; b.op == 0 && b.empty() && b.idle(m, now) && now.Mono >= b.fullUntil {
			m.forget(name)
		}
	}
}

// topUp saves up this daemon's share of the writes that all may make.
func (m *Manager) topUp(now step.Time) {
	share := m.set.WritesPerSecond / float64(max(m.members.Live(), 1))
	m.writes = min(m.writes+share*(now.Mono-m.toppedUp).Seconds(), m.burst())
	m.toppedUp = now.Mono
}

// burst is the number of writes that this daemon may save up.
func (m *Manager) burst() float64 {
	return max(float64(writeBurst)/float64(max(m.members.Live(), 1)), 1)
}

func (m *Manager) observe(now step.Time, b *book) {
	b.needed, b.need = b.need, amount{}
	if b.demand.average(now.Mono, b.offered) {
		b.offered = amount{}
	}
	if b.base == nil {
		return
	}
	for id, s := range b.base.Slices {
		if id == m.set.Incarnation || m.members.Alive(s.Daemon, id) {
			delete(b.absent, id)
		} else if _, noted := b.absent[id]; !noted {
			b.absent[id] = now.Mono
		}
	}
	for id := range b.absent {
		if _, present := b.base.Slices[id]; !present {
			delete(b.absent, id)
		}
	}
}

func (m *Manager) urgent(b *book) bool { return b.needed != amount{} }

// due reports whether the account is to be written now.
func (m *Manager) due(now step.Time, b *book) bool {
	if b.op != 0 || now.Mono < b.retryAt || !m.mayWrite() {
		return false
	}
	switch {
	case m.urgent(b), len(b.parcels) > 0, m.reapable(now, b):
		return true
	case b.idle(m, now) && b.held == amount{}:
		return !b.empty()
	case b.low(now):
		return true
	}
	return b.unsettled != object.Usage{} && now.Mono-b.written >= m.set.SettleEvery
}

// mayWrite reports whether a write is left. A stopping daemon does not wait for it.
func (m *Manager) mayWrite() bool { return m.closing || m.writes >= 1 }

// low reports whether the slice will soon be spent.
func (b *book) low(now step.Time) bool {
	if !b.offeredLately() || now.Mono < b.fullUntil || now.Mono-b.tried < renewPause {
		return false
	}
	least := b.granted.scale(lowShare).min(b.demand.over(b.set.Horizon / 2))
	return !b.available().covers(least.max(amount{1, 1}))
}

// offeredLately reports whether there was about a request within demandMemory.
func (b *book) offeredLately() bool {
	return b.demand.requests > b.demand.weight/demandMemory.Seconds()
}

// begin reads the account first unless it is known freshly.
func (m *Manager) begin(now step.Time, b *book, out *step.Out) {
	if !b.known || now.Mono-b.readAt > freshRead || len(b.attempts) > 0 || b.conflicts > 0 {
		m.read(b, out)
		return
	}
	m.write(now, b, out)
}

// OnReply takes the platform's answer to a call of this manager; it reports false
// for calls of others. After it, requests told to come Later ask again.
func (m *Manager) OnReply(now step.Time, r step.PlatformReply, out *step.Out) bool {
	b := m.byOp[r.Op]
	if b == nil {
		return false
	}
	delete(m.byOp, r.Op)
	reading := b.reading
	b.op, b.need = 0, amount{}
	switch r.Status {
	case step.ReplyOK, step.ReplyConflict, step.ReplyAbsent:
		b.isFailing = false
		m.standing(now, b, r, out, reading)
	case step.ReplyLost:
		b.fail(now)
	default:
		if !reading {
			b.attempts = b.attempts[:len(b.attempts)-1] // it took no effect
		}
		b.fail(now)
	}
	return true
}

func (b *book) fail(now step.Time) {
	if !b.isFailing {
		b.isFailing, b.failing = true, now.Mono
	}
	b.known = false
	b.retryAt = now.Mono + retryPause
}

// standing takes up what stands and writes on it if that was the aim.
func (m *Manager) standing(now step.Time, b *book, r step.PlatformReply, out *step.Out, reading bool) {
	a, readable := accountOf(r)
	if !readable {
		b.fail(now)
		return
	}
	if !reading && r.Status == step.ReplyConflict {
		// The condition failed, so this write took no effect.
		b.attempts = b.attempts[:len(b.attempts)-1]
		b.conflicts++
	}
	b.learn(now.Mono, r.Object.Version, a)
	if !reading && r.Status == step.ReplyOK {
		b.conflicts = 0
		b.judgeRoom(now)
		return
	}
	if reading && !m.changes(now, b) {
		b.judgeRoom(now)
		return
	}
	if pause := m.pause(b); !reading && pause > 0 || !m.mayWrite() {
		b.retryAt = now.Mono + pause
		return
	}
	m.write(now, b, out)
}

// pause spreads the writes of daemons that met at one account: the first conflict is
// followed by a write on what stands, later ones by pauses drawn from a growing range.
func (m *Manager) pause(b *book) time.Duration {
	if b.conflicts < 2 {
		return 0
	}
	slots := min(uint64(1)<<min(b.conflicts, maxDoublings), uint64(2*m.members.Live()))
	draw := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m.set.Incarnation, b.name, b.sequence))
	return time.Duration(draw%slots) * conflictSlot
}

// judgeRoom notes that what requests wait for is not to be had.
func (b *book) judgeRoom(now step.Time) {
	if b.available().covers(amount{1, 1}) {
		b.fullUntil = 0
	} else if b.needed != (amount{}) {
		b.fullUntil = now.Mono + fullFor
	}
}

// accountOf returns the account of a reply; an absent one is empty.
func accountOf(r step.PlatformReply) (*object.Account, bool) {
	if r.Object.Version == 0 || r.Object.Value == nil && r.Status == step.ReplyAbsent {
		return &object.Account{}, true
	}
	a, ok := r.Object.Value.(*object.Account)
	return a, ok
}
