// Package limit holds customers to their rates and concurrency over all daemons.
//
// Each daemon admits its share of a contract's limit. Shares follow demand: daemons
// tell each other, with their heartbeats, what each customer asks of them, and a
// daemon's share is its part of the whole. So a customer whose load lands on one
// daemon reaches its full limit, and so does one whose load is spread.
//
// What others have not heard yet gives no share: a daemon's own demand counts one
// announcement late when it rises, and at once when it falls. The limits are soft by a
// bucket, which holds one second of a share, and concurrency by the one request that
// a daemon without a share may have in flight.
package limit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// shareEvery is the interval at which demand is averaged and shares are dealt.
	shareEvery = 250 * time.Millisecond
	// demandMemory is the time over which demand is averaged.
	demandMemory = 2 * time.Second
	// burstTime is the time of its share that a bucket holds.
	burstTime = time.Second
	// idleAfter is how long a customer without demand is remembered.
	idleAfter = time.Minute
	// slightRate is the demand a second below which nothing is told to others.
	slightRate = 0.01
	// wantedKept is the share in percent of the concurrency asked for that is kept from
	// one deal to the next.
	wantedKept = 90
	// comeBack is what a refused request waits where no better estimate is at hand.
	comeBack = 500 * time.Millisecond
	// longestWait bounds the wait that a refusal names.
	longestWait = time.Minute
)

// Refusal says why a request is over a limit; an empty Message admits it.
type Refusal struct {
	Message    string
	RetryAfter time.Duration
}

// Manager holds the buckets of one daemon. It is not safe for concurrent use.
type Manager struct {
	members   Members
	customers map[string]*customer
	order     []string
	peers     map[string]map[string]step.Demand // by daemon and customer
	dealt     time.Duration
	announced time.Duration
}

// Members tells about the daemons of the cluster.
type Members interface {
	// Live returns the number of live daemons, this one included.
	Live() int
	// Interval returns the time between this daemon's heartbeats.
	Interval() time.Duration
}

// customer is one customer's buckets and what it asks of this daemon.
type customer struct {
	contract *object.Contract
	requests bucket
	tokens   bucket
	inFlight int
	// refused counts requests over the concurrency since the last deal; wanted is the
	// concurrency asked for.
	refused int
	wanted  int
	slots   int
	// told is what others are told now, before what they were told the time before.
	told, before step.Demand
	seen         time.Duration
}

// New returns a manager without customers.
func New(members Members) *Manager {
	return &Manager{members: members, customers: make(map[string]*customer), peers: make(map[string]map[string]step.Demand)}
}

// limited reports whether a contract has anything for this package to do.
func limited(c *object.Contract) bool {
	return c.RequestsPerSecond > 0 || c.TokensPerSecond > 0 || c.Concurrency > 0
}

// Admit takes one request and its estimated tokens out of the customer's share. An
// admitted request ends with Done.
func (m *Manager) Admit(now step.Time, name string, contract *object.Contract, tokens int64) Refusal {
	if !limited(contract) {
		return Refusal{}
	}
	c := m.customer(now, name, contract)
	c.seen = now.Mono
	c.requests.offer(1)
	c.tokens.offer(float64(tokens))
	if contract.Concurrency > 0 && c.inFlight >= c.slots {
		c.refused++
		return refuse("requests at the same time", float64(contract.Concurrency), comeBack)
	}
	if wait := c.requests.wait(now.Mono); wait > 0 {
		return refuse("requests a second", contract.RequestsPerSecond, wait)
	}
	if wait := c.tokens.wait(now.Mono); wait > 0 {
		return refuse("tokens a second", contract.TokensPerSecond, wait)
	}
	c.requests.take(1)
	c.tokens.take(float64(tokens))
	c.inFlight++
	return Refusal{}
}

func refuse(what string, limit float64, wait time.Duration) Refusal {
	return Refusal{
		Message:    fmt.Sprintf("over the contract's limit of %g %s: come back, or ask your operator for a larger contract", limit, what),
		RetryAfter: min(wait, longestWait),
	}
}

// Done ends an admitted request; tokens it did not use go back.
func (m *Manager) Done(name string, reserved, used int64) {
	c := m.customers[name]
	if c == nil {
		return
	}
	c.inFlight = max(c.inFlight-1, 0)
	c.tokens.take(float64(used - reserved))
}

func (m *Manager) customer(now step.Time, name string, contract *object.Contract) *customer {
	c := m.customers[name]
	if c == nil {
		c = &customer{}
		m.customers[name] = c
		m.order = append(m.order, name)
		slices.Sort(m.order)
	}
	if c.contract != contract {
		c.contract = contract
		m.deal(now, name, c)
	}
	return c
}

// Tick averages demand and deals the shares anew.
func (m *Manager) Tick(now step.Time) {
	if now.Mono-m.dealt < shareEvery {
		return
	}
	elapsed := now.Mono - m.dealt
	m.dealt = now.Mono
	announce := now.Mono-m.announced >= m.members.Interval()
	if announce {
		m.announced = now.Mono
	}
	for _, name := range slices.Clone(m.order) {
		c := m.customers[name]
		c.requests.average(elapsed)
		c.tokens.average(elapsed)
		c.wanted = max(c.inFlight+c.refused, c.wanted*wantedKept/100)
		c.refused = 0
		if c.inFlight == 0 && now.Mono-c.seen > idleAfter {
			delete(m.customers, name)
			m.order = slices.DeleteFunc(m.order, func(n string) bool { return n == name })
			continue
		}
		if announce {
			c.before = c.told
			c.told = step.Demand{Customer: name, Requests: c.requests.demand, Tokens: c.tokens.demand, InFlight: c.wanted}
		}
		m.deal(now, name, c)
	}
}

// deal sets a customer's shares by what all daemons are known to be asked.
func (m *Manager) deal(now step.Time, name string, c *customer) {
	n := max(m.members.Live(), 1)
	var others step.Demand
	for _, peer := range m.peers {
		d := peer[name]
		others.Requests += d.Requests
		others.Tokens += d.Tokens
		others.InFlight += d.InFlight
	}
	c.requests.set(now.Mono, c.contract.RequestsPerSecond, share(c.contract.RequestsPerSecond,
		min(c.told.Requests, c.before.Requests), others.Requests, n))
	c.tokens.set(now.Mono, c.contract.TokensPerSecond, share(c.contract.TokensPerSecond,
		min(c.told.Tokens, c.before.Tokens), others.Tokens, n))
	slots := share(float64(c.contract.Concurrency), float64(min(c.told.InFlight, c.before.InFlight)), float64(others.InFlight), n)
	c.slots = max(int(math.Floor(slots)), 1)
}

// share is a daemon's part of a limit. If all that is asked fits, each gets what it
// asks for and an equal part of the rest; else the limit is divided by demand.
func share(limit, own, others float64, daemons int) float64 {
	if all := own + others; all > limit {
		return limit * own / all
	}
	return own + (limit-own-others)/float64(daemons)
}

// Demands returns what this daemon is asked, for its heartbeat.
func (m *Manager) Demands() []step.Demand {
	var demands []step.Demand
	for _, name := range m.order {
		d := m.customers[name].told
		if d.Requests > slightRate || d.InFlight > 0 {
			demands = append(demands, d)
		}
	}
	return demands
}

// Heard takes up what a daemon is asked; what it no longer names has gone.
func (m *Manager) Heard(daemon string, demands []step.Demand) {
	if len(demands) == 0 {
		delete(m.peers, daemon)
		return
	}
	by := make(map[string]step.Demand, len(demands))
	for _, d := range demands {
		by[d.Customer] = d
	}
	m.peers[daemon] = by
}

// Gone forgets a daemon.
func (m *Manager) Gone(daemon string) { delete(m.peers, daemon) }
