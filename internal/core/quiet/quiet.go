// Package quiet records for which hosts a daemon must stay quiet: a host that turned a request
// away asked for no further one for some time. The times are monotonic.
package quiet

import "time"

// MaxPeriod bounds a period. A host that asks for more gets requests again after it, because an
// unbounded request of one faulty host would take it out of service until it restarts.
const MaxPeriod = 10 * time.Minute

// Periods are the periods in force, by host. The zero value has none. It is not safe for
// concurrent use.
type Periods struct {
	byHost map[string]period
}

// period applies to one incarnation of a host: another one has asked for nothing.
type period struct {
	incarnation int64
	until       time.Duration
}

// Record begins a period of a host, or extends the one in force. It drops those that are over.
func (p *Periods) Record(now time.Duration, host string, incarnation int64, length time.Duration) {
	if p.byHost == nil {
		p.byHost = make(map[string]period)
	}
	for id, old := range p.byHost {
		if now >= old.until {
			delete(p.byHost, id)
		}
	}
	until := now + min(length, MaxPeriod)
	if old := p.byHost[host]; old.incarnation == incarnation {
		until = max(until, old.until)
	}
	p.byHost[host] = period{incarnation, until}
}

// Left returns how much longer a host must get no request; zero if it may get one.
func (p *Periods) Left(now time.Duration, host string, incarnation int64) time.Duration {
	if p == nil {
		return 0
	}
	q, ok := p.byHost[host]
	if !ok || q.incarnation != incarnation {
		return 0
	}
	return max(0, q.until-now)
}
