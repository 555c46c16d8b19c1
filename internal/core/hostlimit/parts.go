package hostlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/rendezvous"
)

const (
	// A limit is divided among one daemon, and partsPerRequest more for each request a second, but at
	// most maxParts. Each of them may send one request at once, which must stay small beside the limit.
	partsPerRequest, maxParts = 2, 8
	// equalShare is the share of a limit that is divided equally among these daemons, the rest goes by
	// their demand. It lets a daemon without demand begin.
	equalShare = 0.2
	// ReportShare is the share of an engine's limit that report requests may take.
	ReportShare = 0.2
	// demandHalfLife is the time in which the weight of a request in the demand halves.
	demandHalfLife = time.Second
	// minMessageInterval is the interval between two messages to all other daemons while any limit is in
	// force, and maxMessageRate bounds the messages of a daemon in a second.
	minMessageInterval = time.Second
	maxMessageRate     = 30
	// urgentDelay is the shortest interval if a limit has begun, changed or ended.
	urgentDelay = 250 * time.Millisecond
	// tellers is the number of daemons that repeat each limit in force with every message, for those that
	// have started since.
	tellers = 2
	// silentIntervals is after how many intervals without a message a daemon counts as without demand.
	silentIntervals = 10
	// After unheardAfter, or the time between two requests at the limit if that is longer, without news of
	// a host, daemons without a part may send it one request, in turns unheardStep apart: those with a
	// part may have no demand.
	unheardAfter = 5 * time.Second
	unheardStep  = 500 * time.Millisecond
	// When a limit ends, the allowed rate doubles every rampDoubling for rampTime: all daemons may
	// have waited for the host.
	rampDoubling = 500 * time.Millisecond
	rampTime     = 3 * time.Second
	// maxAge is how long a limit is kept without news of its host. A host whose entry is gone may come
	// back with its limit.
	maxAge = 2 * time.Minute
	// maxHosts bounds the hosts of which limits are kept.
	maxHosts = 4096
	// partMaxAge is how long a computed part is valid: demand and time change it slowly.
	partMaxAge = 100 * time.Millisecond
	// maxStatements bounds the statements of one message.
	maxStatements = 512
)

// Message is what a daemon tells the others while hosts name limits.
type Message struct {
	Daemon string
	// Demand is the rate of requests per second that came to the daemon, by service.
	Demand     map[string]float64
	Statements []Statement
}

// candidate is a daemon that may get a part of a host's limit.
type candidate struct {
	name string
	hash uint64
}

// peerDemand is what another daemon last told of its demand.
type peerDemand struct {
	heardAt   time.Duration
	byService map[string]float64
}

// rateMeter estimates the rate of recent events.
type rateMeter struct {
	weight float64 // of the events, each of which counts less with its age
	at     time.Duration
}

func (m *rateMeter) add(now time.Duration) {
	m.weight, m.at = m.weightAt(now)+1, now
}

func (m *rateMeter) weightAt(now time.Duration) float64 {
	return m.weight * math.Exp2(-float64(now-m.at)/float64(demandHalfLife))
}

func (m *rateMeter) perSecond(now time.Duration) float64 {
	return m.weightAt(now) * math.Ln2 / demandHalfLife.Seconds()
}

// part is this daemon's part of a host's limit.
type part struct {
	perSecond  float64
	hasPart    bool // the daemon is among those that share the limit
	computedAt time.Duration
	generation uint64
}

// SetDaemons sets the daemons among which limits are divided, this one included. Daemons that are down
// count as well: views that differ for a moment must not raise the sum of the parts.
func (l *Limits) SetDaemons(names []string) {
	l.candidates = l.candidates[:0]
	for _, name := range names {
		l.candidates = append(l.candidates, candidate{name, rendezvous.Hash(name)})
	}
	l.generation++
	l.daemonsVersion++
}

// RecordDemand records a request for a service. It is measured only while a host is in need.
func (l *Limits) RecordDemand(now time.Duration, service string) {
	if len(l.hosts) == 0 {
		return
	}
	m := l.demand[service]
	if m == nil {
		m = &rateMeter{at: now}
		l.demand[service] = m
	}
	m.add(now)
}

// Part returns the rate of requests per second that this daemon may send to a host of a service, zero
// if it must send none now. Without a limit, limited is false.
func (l *Limits) Part(now time.Duration, h *Host, service string) (perSecond float64, limited bool) {
	if h.ended && now-h.endedAt >= rampTime {
		return 0, false
	}
	p := &h.part
	if p.generation != l.generation || p.hasPart && now-p.computedAt >= partMaxAge {
		l.computePart(now, h, service)
	}
	if p.hasPart {
		return p.perSecond, true
	}
	turn := time.Duration(h.rank) * unheardStep
	least := max(unheardAfter, time.Duration(float64(time.Second)/h.limit))
	if now >= max(h.asOf, h.sentAt)+least+2*l.interval()+turn {
		return h.limit, true
	}
	return 0, true
}

// RecordSent records a request that is sent to a host.
func (h *Host) RecordSent(now time.Duration) { h.sentAt = now }

func (l *Limits) computePart(now time.Duration, h *Host, service string) {
	limit := h.limit
	if h.ended {
		limit *= math.Exp2(float64(now-h.endedAt) / float64(rampDoubling))
	}
	n := max(1, min(len(l.candidates), 1+int(min(partsPerRequest*h.limit, maxParts-1))))
	h.part = part{computedAt: now, generation: l.generation, hasPart: true, perSecond: limit}
	if l.rankFor(h); len(l.candidates) == 0 || h.rank >= n { // without a list, others may share the limit
		h.part.hasPart, h.part.perSecond = false, 0
		return
	}
	h.part.perSecond = limit * l.share(now, service, h.first[:n])
}

// rankFor computes the daemons that are responsible for a host, unless they are known.
func (l *Limits) rankFor(h *Host) {
	if h.first == nil || h.rankedFor != l.daemonsVersion {
		h.first, h.rank = l.rank(h.id)
		h.rankedFor = l.daemonsVersion
	}
}

// rank returns the first maxParts daemons in the order in which they are responsible for a host, and
// this daemon's place among all.
func (l *Limits) rank(host string) (first []string, own int) {
	type scored struct {
		candidate
		score uint64
	}
	duty := rendezvous.Hash(host)
	ownScore := rendezvous.Score(rendezvous.Hash(l.self), duty, 0)
	var best []scored // sorted, highest first
	for _, c := range l.candidates {
		score := rendezvous.Score(c.hash, duty, 0)
		if score > ownScore {
			own++
		}
		if len(best) == maxParts && score <= best[maxParts-1].score {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, score, func(b scored, score uint64) int { return cmp.Compare(score, b.score) })
		best = slices.Insert(best[:min(len(best), maxParts-1)], min(i, maxParts-1), scored{c, score})
	}
	for _, b := range best {
		first = append(first, b.name)
	}
	if own < len(first) && first[own] != l.self {
		own = len(l.candidates) // it is not listed: it gets no part
	}
	return first, own
}

// share returns this daemon's share among some daemons. All of them compute their shares from the same
// demands, those that they last told each other; one that has told none counts like the mean of the others.
func (l *Limits) share(now time.Duration, service string, among []string) float64 {
	own, sum, known := 0.0, 0.0, 0
	ownKnown := false
	for _, name := range among {
		if demand, ok := l.toldDemand(now, name, service); ok {
			sum += demand
			known++
			if name == l.self {
				own, ownKnown = demand, true
			}
		}
	}
	if known > 0 {
		mean := sum / float64(known)
		sum += mean * float64(len(among)-known)
		if !ownKnown {
			own = mean
		}
	}
	equal := 1 / float64(len(among))
	if sum <= 0 {
		return equal
	}
	return equalShare*equal + (1-equalShare)*own/sum
}

// toldDemand returns the demand that a daemon last told. It reports false if it has told none. One that
// is silent counts as without demand.
func (l *Limits) toldDemand(now time.Duration, name, service string) (perSecond float64, ok bool) {
	if name == l.self {
		return l.told[service], l.toldAt > 0
	}
	p, ok := l.peers[name]
	if !ok {
		return 0, false
	}
	if now-p.heardAt > silentIntervals*l.interval() {
		return 0, true
	}
	return p.byService[service], true
}

// interval is the interval between two regular messages.
func (l *Limits) interval() time.Duration {
	return max(minMessageInterval, time.Duration(len(l.candidates))*time.Second/maxMessageRate)
}

// Tick forgets limits that are over. It returns the message that is due to all other daemons, or false.
func (l *Limits) Tick(now time.Duration) (Message, bool) {
	if len(l.hosts) == 0 {
		return Message{}, false
	}
	for id, h := range l.hosts {
		if h.ended && now-h.endedAt >= rampTime || now-h.asOf >= maxAge {
			delete(l.hosts, id)
			delete(l.news, id)
			l.generation++
		}
	}
	if len(l.hosts) == 0 {
		clear(l.demand)
		clear(l.peers)
		l.told, l.toldAt = nil, 0
		if !l.urgent {
			return Message{}, false
		}
	}
	if since := now - l.toldAt; l.toldAt > 0 && since < l.interval() && (!l.urgent || since < max(urgentDelay, l.interval()/4)) {
		return Message{}, false
	}
	m := Message{Daemon: l.self, Demand: make(map[string]float64, len(l.demand))}
	for service, meter := range l.demand {
		m.Demand[service] = meter.perSecond(now)
	}
	for _, id := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[id]
		s, isNew := l.news[id]
		if !isNew && h.ended || len(m.Statements) == maxStatements {
			continue
		}
		if !isNew {
			if l.rankFor(h); h.rank >= tellers {
				continue
			}
			s = Statement{Host: id, Incarnation: h.incarnation, InReport: h.inReports, PerSecond: h.limit, AsOf: h.asOf}
		}
		m.Statements = append(m.Statements, s)
		delete(l.news, id)
	}
	l.told, l.toldAt, l.urgent = m.Demand, now, false
	return m, true
}

// RecordMessage records the demand of another daemon. Its statements are recorded by Record.
func (l *Limits) RecordMessage(now time.Duration, m Message) {
	if m.Daemon != l.self && len(l.hosts) > 0 {
		l.peers[m.Daemon] = peerDemand{heardAt: now, byService: m.Demand}
	}
}
