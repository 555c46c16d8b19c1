package soak

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// ServerLimit is servers that name a limit for what they get from all daemons together.
	ServerLimit Kind = "server-limit"

	// Some servers name a limit of minLimit to maxLimit requests per second.
	minLimit, maxLimit = 0.3, 12.0
	maxLimitDuration   = 14 * time.Second
	// From limitGrace after a server first named its limit on, it may get limitOverage times what that
	// allows in limitWindow, and limitSlack more, of daemons that had passed on an answer with it
	// limitNotice before or earlier. A disturbance of a daemon excuses it for limitGrace.
	limitGrace   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitNotice  = 500 * time.Millisecond
	limitOverage = 1.5
	limitSlack   = 5.0
	// limitPropagation is how long after any daemon had an answer with a limit its report requests
	// count, which any daemon may send. A report need not name the limit.
	limitPropagation = 2 * time.Second
)

// limitCatalogue has servers that name limits.
var limitCatalogue = []kindSpec{
	{ServerLimit, false, maxLimitDuration, func(r *run, f Fault) func() {
		v := r.pickServer(f)
		v.SetLimit(minLimit+float64(f.Pick>>8%1000)/1000*(maxLimit-minLimit), f.Pick%2 == 0)
		return func() { v.SetLimit(0, false) }
	}},
}

// checkLimits checks that servers get no more than the limits that they name. Windows in which other
// servers are disturbed are left out: a relay may hold requests back and deliver them together.
func (k *checker) checkLimits(limits []site.Limit, arrivals []site.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	type lifeOfServer struct {
		server string
		born   int64
	}
	byServer := make(map[lifeOfServer][]site.Arrival)
	for _, a := range arrivals {
		byServer[lifeOfServer{a.Server, a.Born}] = append(byServer[lifeOfServer{a.Server, a.Born}], a)
	}
	for _, l := range limits {
		if l.To.IsZero() {
			l.To = time.Now()
		}
		counted := k.countedAgainst(l, byServer[lifeOfServer{l.Server, l.Born}])
		for i, last := range counted {
			if last.Before(l.From.Add(limitGrace)) || k.timeline.disturbed(scopeServers, last.Add(-limitWindow-limitGrace), last, false) {
				continue
			}
			from, _ := slices.BinarySearchFunc(counted[:i], last.Add(-limitWindow), time.Time.Compare)
			if n := i - from + 1; float64(n) > limitOverage*l.PerSecond*limitWindow.Seconds()+limitSlack {
				k.addFindingLocked("limit", "%s got %d requests within %s, with a limit of %.1f a second", l.Server, n, limitWindow, l.PerSecond)
				break
			}
		}
	}
}

// countedAgainst returns when what counts against a limit arrived, sorted. The caller holds mu.
func (k *checker) countedAgainst(l site.Limit, arrivals []site.Arrival) []time.Time {
	type life struct{ daemon, incarnation int }
	told := make(map[life]time.Time)
	var firstTold time.Time
	for _, a := range arrivals {
		if a.Report && a.Limit == l.PerSecond && !a.At.Before(l.From) && firstTold.IsZero() {
			firstTold = a.At
		}
		c := k.calls[a.Request]
		if a.Limit != l.PerSecond || a.At.Before(l.From) || c == nil || c.Incarnation == 0 {
			continue
		}
		from := life{c.Daemon, c.Incarnation}
		if at, ok := told[from]; !ok || c.EndedAt.Before(at) {
			told[from] = c.EndedAt
		}
	}
	for _, at := range told {
		if firstTold.IsZero() || at.Before(firstTold) {
			firstTold = at
		}
	}
	var counted []time.Time
	for _, a := range arrivals {
		if a.At.Before(l.From) || a.At.After(l.To) {
			continue
		}
		if a.Report {
			if firstTold.IsZero() || a.At.Before(firstTold.Add(limitPropagation)) || k.timeline.daemonsDisturbed(a.At.Add(-limitGrace), a.At) {
				continue
			}
		} else {
			c := k.calls[a.Request]
			if c == nil || c.Incarnation == 0 {
				continue
			}
			at, ok := told[life{c.Daemon, c.Incarnation}]
			if !ok || a.At.Before(at.Add(limitNotice)) || k.timeline.disturbed(c.Daemon, a.At.Add(-limitGrace), a.At, false) {
				continue
			}
		}
		counted = append(counted, a.At)
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}
