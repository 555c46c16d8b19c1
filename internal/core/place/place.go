// Package place decides which target takes a request that a gateway passes on, and
// whether any should. It knows targets by what this daemon has in flight there, by the
// load that targets tell with their answers, and by the published step times of
// engines. It answers the load of a fleet whose groups are lost and repaired all day:
// what no group can take in time is refused at once, with the time after which coming
// back helps.
package place

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

const (
	// waitingAtEngine is how many requests may wait at an engine for a slot: slots come
	// free about once a pass, so these still begin within two passes.
	waitingAtEngine = 2
	// plainDepth is how many requests a slot of a plain service may have: what waits
	// behind that many is better off elsewhere.
	plainDepth = 4
	// plainWork is the time that one request is taken to run at a plain service. It only
	// ranks targets.
	plainWork = 30 * time.Millisecond
	// failureHalf is the time in which a failure's weight halves, and failureCost what
	// one fresh failure adds to a target's estimate.
	failureHalf = 5 * time.Second
	failureCost = 200 * time.Millisecond
	// darkCost is what each host of a domain that could not be reached adds to the estimates of
	// the others there, until one of them is heard or darkFor is over: a domain that has lost
	// its power or its network takes all heads with it, and each costs the time of a dial.
	darkCost = 100 * time.Millisecond
	darkFor  = 2 * time.Second
	// remoteCost is what another data centre adds: its round trip and the bytes between.
	remoteCost = time.Millisecond
	// toldHalf is the time in which what a target told of its load is worth half: about the
	// time that a request runs. With many daemons each hears from a target only every few
	// seconds, and all of them would follow the same old figure.
	toldHalf = time.Second
	// toldFor is how long a target that told that it is full is left alone, about as long as
	// a usual request runs.
	toldFor = time.Second
	// doubtFor is how long a target that did not answer gets no requests at first, and
	// doubtMost the longest.
	doubtFor  = 500 * time.Millisecond
	doubtMost = 4 * time.Second
)

// Reason says why no target was chosen.
type Reason uint8

// The reasons.
const (
	Chosen  Reason = iota
	NoHost         // nothing serves this now
	Full           // all that serve it have as much as they can take in time
	TooLate        // it can't be answered before its deadline
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"chosen", "no host", "full", "too late"}[r]
}

// Ask is a request to place.
type Ask struct {
	Service string
	Model   string // empty for a plain service
	Prompt  int    // tokens
	// Spread is a number spread evenly over requests: it breaks ties.
	Spread uint64
	// Left is the time until the caller gives up.
	Left time.Duration
	// Avoid are hosts where the request has failed already.
	Avoid []string
}

// Choice is where a request goes, or why it goes nowhere.
type Choice struct {
	Target *Target
	Reason Reason
	// FirstBy is the estimated time to the first event or the answer.
	FirstBy time.Duration
	// RetryAfter is when coming back helps, if there is no target.
	RetryAfter time.Duration
}

type poolKey struct{ service, model string }

// Book holds the targets.
type Book struct {
	self       string
	dataCentre string
	targets    map[string]*Target
	pools      map[poolKey][]*Target
	daemons    []string
	dark       map[string]*darkness // by domain
	coldRates  map[string]float64   // by service
}

// New returns an empty book of one daemon.
func New(self, dataCentre string) *Book {
	return &Book{
		self: self, dataCentre: dataCentre, targets: make(map[string]*Target), pools: make(map[poolKey][]*Target),
		dark: make(map[string]*darkness),
	}
}

// darkness is what speaks against all hosts of a domain.
type darkness struct {
	unreached map[string]bool // hosts, since any was heard
	until     time.Duration
}

// unreachable notes that a host could not be reached.
func (b *Book) unreachable(now time.Duration, h *site.Host) {
	if h.Domain == "" {
		return
	}
	d := b.dark[h.Domain]
	if d == nil || now >= d.until {
		d = &darkness{unreached: make(map[string]bool)}
		b.dark[h.Domain] = d
	}
	d.unreached[h.ID], d.until = true, now+darkFor
}

// darkness is the number of a domain's hosts that could not be reached since any was heard.
func (b *Book) darkness(now time.Duration, domain string) int {
	if d := b.dark[domain]; d != nil && now < d.until {
		return len(d.unreached)
	}
	return 0
}

// SetDaemons tells the daemons that share what cold targets bear.
func (b *Book) SetDaemons(names []string) { b.daemons = names }

// Daemons returns the number of known daemons, at least this one.
func (b *Book) Daemons() int { return max(1, len(b.daemons)) }

// Update takes up the configuration and the hosts, in order of their IDs. Hosts of data
// centres that are out get nothing.
func (b *Book) Update(now time.Duration, c *site.Config, hosts []*site.Host, out map[string]bool) {
	leaving := make(map[site.GroupID]bool)
	for _, h := range hosts {
		if h.Draining && h.Member.Phase != site.Absent {
			leaving[h.Member.Group] = true
		}
	}
	before := b.targets
	b.targets = make(map[string]*Target, len(hosts))
	b.pools = make(map[poolKey][]*Target)
	b.coldRates = make(map[string]float64)
	for name, s := range c.Services {
		b.coldRates[name] = s.ColdRate
	}
	for _, h := range hosts {
		t := before[h.ID]
		if t == nil || t.Host.Born != h.Born {
			t = &Target{hash: rendezvous.Hash(h.ID), coldUntil: now + h.ColdFor}
		} else if t.Host.ColdFor != h.ColdFor {
			t.coldUntil = now + h.ColdFor
		}
		if t.Host.Member != h.Member {
			t.trust() // another group, or another phase: what was held against it is over
		}
		t.Host = *h
		b.targets[h.ID] = t
		if model, ok := serves(c.Services[h.Service], t); ok && !h.Draining && !out[h.DataCentre] && !leaving[h.Member.Group] {
			key := poolKey{h.Service, model}
			b.pools[key] = append(b.pools[key], t)
		}
	}
}

// serves reports what a host serves now, if anything.
func serves(s *site.Service, t *Target) (model string, ok bool) {
	t.engine, t.model = nil, nil
	if s == nil {
		return "", false
	}
	if s.Engine == nil {
		return "", true
	}
	m := s.Engine.Model(t.Host.Model)
	if m == nil || t.Host.Member.Rank != 0 || t.Host.Member.Phase != site.Open {
		return "", false
	}
	t.engine, t.model = s.Engine, m
	return m.Name, true
}

// Target returns a host's target, or nil.
func (b *Book) Target(host string) *Target { return b.targets[host] }

// Choose picks the target where the request is expected to begin first.
func (b *Book) Choose(now time.Duration, a Ask) Choice {
	pool := b.pools[poolKey{a.Service, a.Model}]
	var best, doubtful *Target
	var bestCost, doubtfulCost time.Duration
	full, usual := false, usualLoad(pool)
	for _, t := range pool {
		t.usual = usual
		if slices.Contains(a.Avoid, t.Host.ID) {
			continue
		}
		if t.load(now) >= t.capacity() {
			full = true
			continue
		}
		if now < t.coldUntil && (coldRate(b.daemons, b.self, t.hash, b.coldRates[a.Service]) <= 0 || now < t.cold.next) {
			full = true
			continue
		}
		cost := b.cost(now, t, a)
		if now < t.doubtUntil {
			if doubtful == nil || cost < doubtfulCost {
				doubtful, doubtfulCost = t, cost
			}
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && rendezvous.Mix(t.hash^a.Spread) < rendezvous.Mix(best.hash^a.Spread) {
			best, bestCost = t, cost
		}
	}
	if best == nil && !full {
		best = doubtful
	}
	if best == nil {
		return b.none(full, a)
	}
	first := best.FirstBy(now, a.Prompt)
	if first > a.Left {
		return Choice{Reason: TooLate}
	}
	if now < best.coldUntil {
		best.cold.take(now, coldRate(b.daemons, b.self, best.hash, b.coldRates[a.Service]))
	}
	return Choice{Target: best, FirstBy: first}
}

func (b *Book) cost(now time.Duration, t *Target, a Ask) time.Duration {
	cost := t.FirstBy(now, a.Prompt) + time.Duration(t.recentFailures(now)*float64(failureCost))
	if t.Host.DataCentre != b.dataCentre {
		cost += remoteCost
	}
	return cost + time.Duration(b.darkness(now, t.Host.Domain))*darkCost
}

func (b *Book) none(full bool, a Ask) Choice {
	c := Choice{Reason: NoHost, RetryAfter: comeBack(a)}
	if full {
		c.Reason = Full
	}
	return c
}

const (
	// comeBackLeast and comeBackMost are the parts of its time after which a refused caller
	// should come back: late, since lost groups need seconds and an answer is worth the same
	// at any time before the deadline, but within the third of its time that callers wait.
	comeBackLeast = 0.2
	comeBackMost  = 0.32
	// comeBackBound bounds that for callers with much time.
	comeBackBound = 3 * time.Second
)

// comeBack spreads the callers that are refused at one moment, so that they do not come
// back at one moment.
func comeBack(a Ask) time.Duration {
	part := comeBackLeast + (comeBackMost-comeBackLeast)*float64(a.Spread%1024)/1024
	return min(time.Duration(part*float64(a.Left)), comeBackBound)
}

// Begin notes a request that is being sent to a host.
func (b *Book) Begin(host string, prompt int) {
	if t := b.targets[host]; t != nil {
		t.inFlight++
		t.reading += prompt
	}
}

// Began notes that a request has begun to answer, and the load that the host told.
func (b *Book) Began(now time.Duration, host string, prompt int, load site.Load) {
	if t := b.targets[host]; t != nil {
		t.reading = max(0, t.reading-prompt)
		t.trust()
		t.told(now, load)
		delete(b.dark, t.Host.Domain)
	}
}

func (t *Target) told(now time.Duration, load site.Load) {
	if load.Slots > 0 {
		t.others, t.toldAt, t.heard = max(0, load.Running+load.Waiting-t.inFlight), now, true
	}
}

// Outcome is how a request at a host ended.
type Outcome struct {
	Prompt int
	Begun  bool // Began was noted
	// Failed tells that the host answered with a failure or broke off; Silent that it
	// could not be reached or brought nothing; Declined that it refused to run it, which
	// with places free means that it serves something else by now.
	Failed   bool
	Silent   bool
	Declined bool
	Load     site.Load
}

// End notes the end of a request at a host.
func (b *Book) End(now time.Duration, host string, o Outcome) {
	t := b.targets[host]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if !o.Begun {
		t.reading = max(0, t.reading-o.Prompt)
	}
	t.told(now, o.Load)
	switch {
	case o.Silent:
		b.unreachable(now, &t.Host)
	case o.Declined:
		delete(b.dark, t.Host.Domain)
	}
	if o.Failed {
		t.fail(now)
	}
	if o.Silent || o.Declined && t.load(now) < t.Host.Slots {
		t.doubt(now)
	}
}

// Doubt keeps requests away from a host that brings nothing.
func (b *Book) Doubt(now time.Duration, host string) {
	if t := b.targets[host]; t != nil && now >= t.doubtUntil {
		t.doubt(now)
	}
}
