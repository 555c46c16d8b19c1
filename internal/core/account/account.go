// Package account enforces the monthly allowance of customers and records their usage.
//
// Each customer has one account object per month in the platform. A daemon reserves a slice of
// the allowance in that object by a conditional update, spends the slice locally, and settles
// the usage in batches. When the slice runs low it is renewed, and when it is idle it is given
// back.
//
// Invariants:
//   - In the object, settled + slices + uncertain never exceeds the allowance. So the death or
//     pause of a daemon, or a lost answer, does not let a customer exceed it. The exception is a
//     contract whose outage rule is OutageServe: requests that are admitted beyond the slice
//     during an outage are settled even if they exceed the allowance.
//   - A slice whose daemon is gone is moved to uncertain, which is an upper bound of the usage
//     that the daemon had not settled.
//   - Every write puts a new sequence number into the daemon's slice. The stored number shows
//     which of the writes whose answers were lost took effect, so that no usage is settled twice
//     or dropped.
//
// A daemon that stops while the platform does not answer hands its unsettled usage to a peer.
package account

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Members gives access to the membership of the cluster.
type Members interface {
	// Live returns the number of live daemons, this one included.
	Live() int
	// Alive reports whether a daemon's incarnation may still run.
	Alive(daemon, incarnation string) bool
}

// Settings configure a Manager.
type Settings struct {
	Daemon      string // name of this daemon
	Incarnation string // incarnation of this daemon; names its slices
	// Horizon sets the size of a slice: a renewed slice covers the expected demand of twice this
	// time. It runs low when it no longer covers the demand of half this time, or a smaller
	// amount according to renewalThreshold.
	Horizon time.Duration
	// SettleInterval is the longest time that usage stays unsettled while the platform answers
	// and the write rate allows.
	SettleInterval time.Duration
	// IdleTimeout is how long a slice without new requests is kept before it is given back.
	IdleTimeout time.Duration
	// ReapDelay is how long the daemon of a slice must have been gone before another daemon
	// moves the slice to uncertain.
	ReapDelay time.Duration
	// WritesPerSecond bounds the rate of account writes of all daemons together.
	WritesPerSecond float64
}

// Defaults returns the default settings of a daemon.
func Defaults(daemon, incarnation string) Settings {
	return Settings{
		Daemon: daemon, Incarnation: incarnation,
		Horizon: 20 * time.Second, SettleInterval: 10 * time.Second, IdleTimeout: time.Minute,
		ReapDelay: 2 * time.Minute, WritesPerSecond: 50,
	}
}

const (
	// minSliceRequests and minSliceTokens are the smallest size that a daemon wants for a slice,
	// even if it expects less demand. The slice is smaller if the daemon's part of the free
	// allowance is.
	minSliceRequests = 8
	minSliceTokens   = 8 * 1024
	// renewalThreshold is the fraction of a slice below which it is renewed.
	renewalThreshold = 0.25
	// maxReadAge is the age up to which a known object is updated without reading it again.
	maxReadAge = time.Second
	// exhaustedTTL is how long an allowance that was found to be exhausted counts as such.
	// During this time requests are refused without another try to renew the slice.
	exhaustedTTL = 5 * time.Second
	// retryDelay is how long the next call for an account waits after a failed one.
	retryDelay = 250 * time.Millisecond
	// maxSavedWrites is the number of writes that all daemons together may save up while they
	// write less than WritesPerSecond.
	maxSavedWrites = 128
	// conflictBackoffUnit is the unit of the random backoff after repeated conflicts, and
	// maxBackoffDoublings bounds how often its range doubles.
	conflictBackoffUnit = 50 * time.Millisecond
	maxBackoffDoublings = 10
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = 10 * time.Second
	// renewalInterval is the least time between two renewals of a slice that runs low.
	renewalInterval = 500 * time.Millisecond
	// outageTimeout is how long the calls for an account must have failed before the platform
	// counts as unavailable and the contract's outage rule applies.
	outageTimeout = time.Second
	// maxRetryAfter bounds the delay that a refusal names after the month's allowance is used
	// up.
	maxRetryAfter = time.Hour
)

// Ticket identifies the reservation of an admitted request.
type Ticket struct {
	account string
	epoch   uint64
}

// Decision is the result of a request for admission.
type Decision uint8

// The decisions.
const (
	// Admitted means that the estimate is reserved under the ticket.
	Admitted Decision = iota + 1
	// RenewalPending means that the slice is being renewed; the caller tries again at each step.
	RenewalPending
	// Exhausted means that the month's allowance is used up or reserved.
	Exhausted
	// Outage means that the slice is spent and the platform does not answer.
	Outage
)

// Verdict is the decision on a request for admission, with its details.
type Verdict struct {
	Decision   Decision
	Ticket     Ticket // valid if Admitted
	Message    string // reason and remedy; empty if Admitted
	RetryAfter time.Duration
}

// Used is the usage of one admitted request.
type Used struct {
	Ticket   Ticket
	Reserved int64 // tokens estimated at admission
	Tokens   int64 // tokens used
	Outcome  object.Outcome
}

// Manager holds the accounts that this daemon uses. It is not safe for concurrent use.
type Manager struct {
	set      Settings
	members  Members
	nextOp   func() step.OpID
	accounts map[string]*accountState
	names    []string // names in order of first use
	byOp     map[step.OpID]*accountState
	// savedWrites is the number of writes that this daemon may make, as of savedWritesAt.
	savedWrites   float64
	savedWritesAt time.Duration
	closing       bool   // set by Close
	lastEpoch     uint64 // last epoch assigned to a slice
}

// New returns a Manager. nextOp allocates the IDs of its platform calls.
func New(set Settings, members Members, nextOp func() step.OpID) *Manager {
	m := &Manager{
		set: set, members: members, nextOp: nextOp,
		accounts: make(map[string]*accountState), byOp: make(map[step.OpID]*accountState),
	}
	m.savedWrites = m.maxWrites()
	return m
}

// Name returns the name of a customer's account object for the month of a wall clock time in
// Unix milliseconds.
func Name(customer string, unix int64) string {
	return customer + "." + time.UnixMilli(unix).UTC().Format("2006-01")
}

// untilMonthEnd returns the remaining time of the month, in UTC.
func untilMonthEnd(unix int64) time.Duration {
	now := time.UnixMilli(unix).UTC()
	return time.Date(now.Year(), now.Month()+1, 1, 0, 0, 0, 0, time.UTC).Sub(now)
}

// account returns the state of an account and creates it at first use.
func (m *Manager) account(name string) *accountState {
	st := m.accounts[name]
	if st == nil {
		st = &accountState{name: name, set: &m.set, nextEpoch: m.nextEpoch, absentSince: make(map[string]time.Duration)}
		st.epoch = m.nextEpoch()
		m.accounts[name] = st
		m.names = append(m.names, name)
	}
	return st
}

func (m *Manager) nextEpoch() uint64 {
	m.lastEpoch++
	return m.lastEpoch
}

func (m *Manager) forget(name string) {
	delete(m.accounts, name)
	for i, n := range m.names {
		if n == name {
			m.names = append(m.names[:i], m.names[i+1:]...)
			return
		}
	}
}

// Pending returns the number of accounts in which this daemon has something unsettled or
// reserved. A graceful stop waits until it is zero, either settled or handed over to a peer.
func (m *Manager) Pending() int {
	n := 0
	for _, name := range m.names {
		if !m.accounts[name].isEmpty() {
			n++
		}
	}
	return n
}

// Close makes the following ticks settle all usage and give back every slice. No request may be
// admitted after it.
func (m *Manager) Close() { m.closing = true }
