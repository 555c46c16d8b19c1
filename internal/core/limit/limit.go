// Package limit enforces the rate and concurrency limits of customers over all daemons.
//
// Each daemon admits its share of a contract's limit. Shares follow demand: with their
// heartbeats, daemons announce how much each customer requests from them, and a daemon's share
// of the limit is in proportion to its part of the total demand. So a customer reaches its full
// limit whether its load arrives at one daemon or is spread over all.
//
// Demand that the other daemons do not know yet gives no share. A daemon's own demand counts
// one announcement late when it rises, and at once when it falls, so that a daemon does not
// take a share that the others do not account for.
//
// The limits are soft. A bucket holds one second of the daemon's share and may go into debt by
// one request, and a daemon without a share of the concurrency may still have one request in
// flight.
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
	// shareInterval is the interval at which demand is averaged and the shares are updated.
	shareInterval = 250 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = 2 * time.Second
	// burstDuration is the time for which a full bucket holds the daemon's share of the limit.
	burstDuration = time.Second
	// idleRetention is how long a customer without requests is kept. After it, its buckets and
	// its demand are forgotten.
	idleRetention = time.Minute
	// minAnnouncedRate is the demand, in requests a second, up to which a customer with no
	// wanted concurrency is not announced to the other daemons.
	minAnnouncedRate = 0.01
	// keptConcurrencyPercent is the percentage of the wanted concurrency that is kept from one
	// update of the shares to the next, so that it decays when the load falls.
	keptConcurrencyPercent = 90
	// defaultRetryAfter is the delay that a refusal names if there is no estimate.
	defaultRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds the delay that a refusal names.
	maxRetryAfter = time.Minute
)

// Refusal is the reason why a request is over a limit. An empty Message means that the request
// is admitted.
type Refusal struct {
	Message    string
	RetryAfter time.Duration
}

// Manager enforces the limits on one daemon. It is not safe for concurrent use.
type Manager struct {
	members   Members
	customers map[string]*customer
	names     []string // names of the customers, sorted
	// peerDemands are the last announced demands of the other daemons, by daemon and customer.
	peerDemands     map[string]map[string]step.Demand
	sharesUpdatedAt time.Duration
	announcedAt     time.Duration // when the demands for the heartbeat were last replaced
}

// Members gives access to the membership of the cluster.
type Members interface {
	// Live returns the number of live daemons, this one included.
	Live() int
	// Interval returns the time between this daemon's heartbeats.
	Interval() time.Duration
}

// customer is the state of one customer on this daemon.
type customer struct {
	contract *object.Contract
	requests bucket
	tokens   bucket
	inFlight int
	// refusedConcurrent counts the requests refused for concurrency since the last update of
	// the shares. wantedConcurrency estimates how many requests the customer would have in
	// flight here without a limit.
	refusedConcurrent int
	wantedConcurrency int
	// maxInFlight is this daemon's share of the contract's concurrency, at least one request.
	maxInFlight int
	// announced is the demand that is announced to the other daemons now; previous is the one
	// announced before it. The smaller of the two counts for this daemon's share.
	announced, previous step.Demand
	lastRequestAt       time.Duration
}

// New returns a Manager that knows no customers.
func New(members Members) *Manager {
	return &Manager{members: members, customers: make(map[string]*customer), peerDemands: make(map[string]map[string]step.Demand)}
}

// hasLimits reports whether a contract sets a limit that this package enforces.
func hasLimits(c *object.Contract) bool {
	return c.RequestsPerSecond > 0 || c.TokensPerSecond > 0 || c.Concurrency > 0
}

// Admit takes one request and its estimated tokens from the customer's buckets, or refuses it.
// The caller must call Done when an admitted request ends.
func (m *Manager) Admit(now step.Time, name string, contract *object.Contract, tokens int64) Refusal {
	if !hasLimits(contract) {
		return Refusal{}
	}
	c := m.customer(now, name, contract)
	c.lastRequestAt = now.Mono
	c.requests.addDemand(1)
	c.tokens.addDemand(float64(tokens))
	if contract.Concurrency > 0 && c.inFlight >= c.maxInFlight {
		c.refusedConcurrent++
		return refuse("requests at the same time", float64(contract.Concurrency), defaultRetryAfter)
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
		RetryAfter: min(wait, maxRetryAfter),
	}
}

// Done ends an admitted request. It refunds the reserved tokens that the request did not use,
// and charges those that it used in addition.
func (m *Manager) Done(name string, reserved, used int64) {
	c := m.customers[name]
	if c == nil {
		return
	}
	c.inFlight = max(c.inFlight-1, 0)
	c.tokens.take(float64(used - reserved))
}

// customer returns the state of a customer. It creates the state at the first request, and
// updates the shares if the contract has changed.
func (m *Manager) customer(now step.Time, name string, contract *object.Contract) *customer {
	c := m.customers[name]
	if c == nil {
		c = &customer{}
		m.customers[name] = c
		m.names = append(m.names, name)
		slices.Sort(m.names)
	}
	if c.contract != contract {
		c.contract = contract
		m.updateShares(now, name, c)
	}
	return c
}

// Tick averages the demand, forgets idle customers, replaces the announced demands once per
// heartbeat interval, and updates the shares.
func (m *Manager) Tick(now step.Time) {
	if now.Mono-m.sharesUpdatedAt < shareInterval {
		return
	}
	elapsed := now.Mono - m.sharesUpdatedAt
	m.sharesUpdatedAt = now.Mono
	announce := now.Mono-m.announcedAt >= m.members.Interval()
	if announce {
		m.announcedAt = now.Mono
	}
	for _, name := range slices.Clone(m.names) {
		c := m.customers[name]
		c.requests.averageDemand(elapsed)
		c.tokens.averageDemand(elapsed)
		c.wantedConcurrency = max(c.inFlight+c.refusedConcurrent, c.wantedConcurrency*keptConcurrencyPercent/100)
		c.refusedConcurrent = 0
		if c.inFlight == 0 && now.Mono-c.lastRequestAt > idleRetention {
			delete(m.customers, name)
			m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == name })
			continue
		}
		if announce {
			c.previous = c.announced
			c.announced = step.Demand{Customer: name, Requests: c.requests.demand, Tokens: c.tokens.demand, InFlight: c.wantedConcurrency}
		}
		m.updateShares(now, name, c)
	}
}

// updateShares sets this daemon's shares of a customer's limits from the demands at all daemons.
func (m *Manager) updateShares(now step.Time, name string, c *customer) {
	n := max(m.members.Live(), 1)
	var others step.Demand
	for _, peer := range m.peerDemands {
		d := peer[name]
		others.Requests += d.Requests
		others.Tokens += d.Tokens
		others.InFlight += d.InFlight
	}
	c.requests.setShare(now.Mono, c.contract.RequestsPerSecond, share(c.contract.RequestsPerSecond,
		min(c.announced.Requests, c.previous.Requests), others.Requests, n))
	c.tokens.setShare(now.Mono, c.contract.TokensPerSecond, share(c.contract.TokensPerSecond,
		min(c.announced.Tokens, c.previous.Tokens), others.Tokens, n))
	slots := share(float64(c.contract.Concurrency), float64(min(c.announced.InFlight, c.previous.InFlight)), float64(others.InFlight), n)
	c.maxInFlight = max(int(math.Floor(slots)), 1)
}

// share returns a daemon's share of a limit. If the total demand fits into the limit, each
// daemon gets its demand and an equal part of the rest; otherwise the limit is divided in
// proportion to the demand.
func share(limit, own, others float64, daemons int) float64 {
	if all := own + others; all > limit {
		return limit * own / all
	}
	return own + (limit-own-others)/float64(daemons)
}

// Demands returns the demands at this daemon that its heartbeat announces.
func (m *Manager) Demands() []step.Demand {
	var demands []step.Demand
	for _, name := range m.names {
		d := m.customers[name].announced
		if d.Requests > minAnnouncedRate || d.InFlight > 0 {
			demands = append(demands, d)
		}
	}
	return demands
}

// SetPeerDemands replaces the demands that another daemon announced. A customer that it no
// longer names has no demand there.
func (m *Manager) SetPeerDemands(daemon string, demands []step.Demand) {
	if len(demands) == 0 {
		delete(m.peerDemands, daemon)
		return
	}
	by := make(map[string]step.Demand, len(demands))
	for _, d := range demands {
		by[d.Customer] = d
	}
	m.peerDemands[daemon] = by
}

// RemovePeer forgets the demands of a daemon that has left or does not respond.
func (m *Manager) RemovePeer(daemon string) { delete(m.peerDemands, daemon) }
