// Package account holds customers to their monthly allowance and counts what they
// use.
//
// A daemon reserves a slice of a customer's allowance in the customer's account
// object by conditional update, spends it locally and settles what was used in
// batches. The object always holds settled + slices + uncertain within the
// allowance, so that no daemon's death, pause or lost answer lets a customer exceed
// it. A slice whose daemon is gone is moved to uncertain: an upper bound of what
// that daemon had not settled.
//
// Every write carries a sequence number of its own in the daemon's slice. What
// stands there tells which of the writes whose answers were lost took effect, so
// that nothing is settled twice or dropped.
package account

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Members tells about the daemons of the cluster.
type Members interface {
	// Live returns the number of live daemons, this one included.
	Live() int
	// Alive reports whether a daemon's incarnation may still run.
	Alive(daemon, incarnation string) bool
}

// Settings bound the slices and the writes.
type Settings struct {
	Daemon      string
	Incarnation string
	// Horizon is the time for whose demand a slice is sized.
	Horizon time.Duration
	// SettleEvery is the longest time that used allowance stays unsettled while the
	// platform answers and the writes allow.
	SettleEvery time.Duration
	// IdleAfter is how long a slice is kept without a request.
	IdleAfter time.Duration
	// ReapAfter is how long a slice's daemon must be gone before the slice becomes
	// uncertain.
	ReapAfter time.Duration
	// WritesPerSecond bounds the writes of all daemons together.
	WritesPerSecond float64
}

// Defaults returns the settings used where none are given.
func Defaults(daemon, incarnation string) Settings {
	return Settings{
		Daemon: daemon, Incarnation: incarnation,
		Horizon: 20 * time.Second, SettleEvery: 10 * time.Second, IdleAfter: time.Minute,
		ReapAfter: 2 * time.Minute, WritesPerSecond: 50,
	}
}

const (
	// leastRequests and leastTokens are what a slice holds at the least, if the
	// allowance has it.
	leastRequests = 8
	leastTokens   = 8 * 1024
	// lowShare is the share of a slice below which it is renewed.
	lowShare = 0.25
	// freshRead is the age up to which a known object is written over without
	// reading it again.
	freshRead = time.Second
	// fullFor is how long an allowance that was found used up is not asked for again.
	fullFor = 5 * time.Second
	// retryPause is how long a failed call is held back.
	retryPause = 250 * time.Millisecond
	// writeBurst is the number of writes that all daemons together may save up.
	writeBurst = 128
	// conflictSlot is the unit of the pauses after conflicts; maxDoublings bounds them.
	conflictSlot = 50 * time.Millisecond
	maxDoublings = 10
	// demandMemory is the time over which demand is averaged.
	demandMemory = 10 * time.Second
	// renewPause is the least time between two renewals of a slice that runs low.
	renewPause = 500 * time.Millisecond
	// outageAfter is how long calls must have failed before it counts as an outage.
	outageAfter = time.Second
	// monthCap bounds the wait that a refusal names.
	monthCap = time.Hour
)

// Ticket names the reservation of an admitted request.
type Ticket struct {
	account string
	epoch   uint64
}

// Decision says what becomes of a request.
type Decision uint8

// The decisions.
const (
	// Admitted: the estimate is reserved under the ticket.
	Admitted Decision = iota + 1
	// Later: the slice is being renewed; ask again with the next step.
	Later
	// Exhausted: the month's allowance is used up or reserved.
	Exhausted
	// Outage: the slice in hand is spent and the platform can't be asked.
	Outage
)

// Verdict is the answer to a request for admission.
type Verdict struct {
	Decision   Decision
	Ticket     Ticket // valid if Admitted
	Message    string // names the remedy, unless Admitted
	RetryAfter time.Duration
}

// Used is what one admitted request came to.
type Used struct {
	Ticket   Ticket
	Reserved int64 // tokens estimated at admission
	Tokens   int64 // tokens counted
	Outcome  object.Outcome
}

// Manager holds the accounts that this daemon uses. It is not safe for concurrent use.
type Manager struct {
	set     Settings
	members Members
	nextOp  func() step.OpID
	books   map[string]*book
	order   []string // names in order of first use
	byOp    map[step.OpID]*book
	// writes is the number of writes saved up, as of toppedUp.
	writes   float64
	toppedUp time.Duration
	closing  bool
	epochs   uint64 // last epoch given to a slice
}

// New returns a manager without accounts. Calls to the platform take their numbers
// from nextOp.
func New(set Settings, members Members, nextOp func() step.OpID) *Manager {
	m := &Manager{
		set: set, members: members, nextOp: nextOp,
		books: make(map[string]*book), byOp: make(map[step.OpID]*book),
	}
	m.writes = m.burst()
	return m
}

// Name returns the account object of a customer at a wall clock time in Unix milliseconds.
func Name(customer string, unix int64) string {
	return customer + "." + time.UnixMilli(unix).UTC().Format("2006-01")
}

// monthEnd returns how long the month still lasts.
func monthEnd(unix int64) time.Duration {
	now := time.UnixMilli(unix).UTC()
	return time.Date(now.Year(), now.Month()+1, 1, 0, 0, 0, 0, time.UTC).Sub(now)
}

// book returns the account for a name, opening it at first use.
func (m *Manager) book(name string) *book {
	b := m.books[name]
	if b == nil {
		b = &book{name: name, set: &m.set, nextEpoch: m.nextEpoch, absent: make(map[string]time.Duration)}
		b.epoch = m.nextEpoch()
		m.books[name] = b
		m.order = append(m.order, name)
	}
	return b
}

func (m *Manager) nextEpoch() uint64 {
	m.epochs++
	return m.epochs
}

func (m *Manager) forget(name string) {
	delete(m.books, name)
	for i, n := range m.order {
		if n == name {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

// Pending returns the number of accounts in which something is unsettled or reserved;
// a graceful stop waits until it is zero or everything is handed off.
func (m *Manager) Pending() int {
	n := 0
	for _, name := range m.order {
		if !m.books[name].empty() {
			n++
		}
	}
	return n
}

// Close begins to settle everything and to give back every slice. No request may be
// admitted afterwards.
func (m *Manager) Close() { m.closing = true }
