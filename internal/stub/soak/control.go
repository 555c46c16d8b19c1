package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/program"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// The kinds that disturb the ordering of groups: hosts that only other hosts reach, orders that take effect
// late, and a lease holder that stops while it gives orders.
const (
	ZoneHidden    Kind = "zone-hidden"  // all servers of a zone
	GroupHidden   Kind = "group-hidden" // the servers of a group
	OrdersLong    Kind = "orders-long"  // carried out late, without an answer
	OrdersSlow    Kind = "orders-slow"  // answered at once, and take effect late
	HolderPause   Kind = "holder-pause" // at an order after an engine has crashed
	HolderKills   Kind = "holder-kills"
	EnginesStill  Kind = "engines-still"
	PlainRefusing Kind = "plain-refusing"
)

const (
	// Unless kinds are given, one seed in controlSeeds has these kinds: they excuse daemons from promises
	// with a time bound most of the time.
	controlSeeds = 3
	// Orders take effect minOrderLateness to maxOrderLateness late. Published disturbances delay none longer.
	minOrderLateness, maxOrderLateness = 2 * time.Second, 12 * time.Second
	// maxOrderWait bounds the wait for an order of the lease holder that is to be paused.
	maxOrderWait = 6 * time.Second
	// Lease holders are killed up to maxHolderKills times, at most maxHolderKillDelay apart.
	maxHolderKills     = 4
	maxHolderKillDelay = 5 * time.Second
)

// minDurations are the shortest durations of kinds, if they are longer than minDuration.
var minDurations = map[Kind]time.Duration{
	ZoneHidden: 5 * time.Second, GroupHidden: 5 * time.Second, HolderPause: time.Second, EnginesStill: time.Second, PlainRefusing: 10 * time.Second,
}

// hidingCut is the cut of the paths to hidden servers. What is sent to them is lost.
var hidingCut = cutter.Cut{Existing: cutter.Swallow, New: cutter.Swallow}

var controlCatalogue = []kindSpec{
	{ZoneHidden, false, 25 * time.Second, func(r *run, f Fault) func() {
		zone := zones[f.Pick%uint64(len(zones))]
		return r.hide(r.serversWhere(func(v *site.Server) bool { return v.Zone == zone }))
	}},
	{GroupHidden, false, 25 * time.Second, func(r *run, f Fault) func() {
		picked := r.pickEngine(f).Member()
		if picked == nil {
			return nil
		}
		return r.hide(r.serversWhere(func(v *site.Server) bool {
			m := v.Member()
			return m != nil && m.Name == picked.Name && m.Epoch == picked.Epoch
		}))
	}},
	{OrdersLong, false, 8 * time.Second, func(r *run, f Fault) func() {
		return r.failEngines(f, site.Faults{OrderDelay: latenessOf(f)})
	}},
	{OrdersSlow, false, 8 * time.Second, func(r *run, f Fault) func() {
		return r.failEngines(f, site.Faults{EffectDelay: latenessOf(f)})
	}},
	{HolderPause, false, 6 * time.Second, func(r *run, f Fault) func() {
		v := r.pickEngine(f) // its group needs orders then
		r.background.Go(func() { r.pauseHolder(f.Duration) })
		return r.recordDuring(scopeServers, func() { v.Crash(entryTTL) }, func() { r.restart(v) })
	}},
	{HolderKills, false, 3 * time.Second, func(r *run, f Fault) func() {
		draw := rand.New(rand.NewPCG(f.Pick, 0))
		at := time.Duration(0)
		for range 2 + draw.IntN(maxHolderKills-1) {
			r.runAfter(at, func() {
				if d := r.holder(); d != nil {
					d.endProcess(syscall.SIGKILL, f.Duration)
				}
			})
			at += time.Duration(draw.Int64N(int64(maxHolderKillDelay)))
		}
		return nil
	}},
	{EnginesStill, false, 6 * time.Second, func(r *run, f Fault) func() {
		engines := r.enginesOf(f)
		set := func(still bool) func() {
			return func() {
				for _, v := range engines {
					v.SetStill(still)
				}
			}
		}
		return r.recordDuring(scopeServers, set(true), set(false))
	}},
	{PlainRefusing, false, 11 * time.Second, func(r *run, _ Fault) func() {
		return r.failServers(r.serversWhere(func(v *site.Server) bool { return v.Service == site.Ledger }), site.Faults{Refuse: true})
	}},
}

func latenessOf(f Fault) time.Duration {
	return minOrderLateness + time.Duration(f.Pick%uint64(maxOrderLateness-minOrderLateness))
}

// serversWhere returns the servers that are not draining and match, sorted by ID.
func (r *run) serversWhere(match func(*site.Server) bool) []*site.Server {
	r.mu.Lock()
	all := slices.Clone(r.stayingServers)
	r.mu.Unlock()
	all = slices.DeleteFunc(all, func(v *site.Server) bool { return !match(v) })
	slices.SortFunc(all, func(a, b *site.Server) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func isEngine(v *site.Server) bool { return v.Service == site.LLM }

func (r *run) pickEngine(f Fault) *site.Server {
	engines := r.serversWhere(isEngine)
	return engines[f.Pick>>8%uint64(len(engines))]
}

// enginesOf picks one engine, or all of a zone.
func (r *run) enginesOf(f Fault) []*site.Server {
	v := r.pickEngine(f)
	if f.Pick%2 == 0 {
		return []*site.Server{v}
	}
	return r.serversWhere(func(o *site.Server) bool { return isEngine(o) && o.Zone == v.Zone })
}

func (r *run) failEngines(f Fault, faults site.Faults) func() {
	return r.failServers(r.enginesOf(f), faults)
}

func (r *run) failServers(servers []*site.Server, faults site.Faults) func() {
	set := func(f site.Faults) func() {
		return func() {
			for _, v := range servers {
				v.SetFaults(f)
			}
		}
	}
	return r.recordDuring(scopeServers, set(faults), set(site.Faults{}))
}

// hide cuts servers off from all daemons and, once their entries have expired, from the store. They still
// reach each other.
func (r *run) hide(servers []*site.Server) func() {
	var shown atomic.Bool
	begin := func() {
		for _, v := range servers {
			r.setHidden(v.ID, 1)
		}
		r.runAfter(entryTTL, func() {
			for _, v := range servers {
				if !shown.Load() {
					v.SetHidden(true)
				}
			}
		})
	}
	return r.recordDuring(scopeServers, begin, func() {
		shown.Store(true)
		for _, v := range servers {
			if r.setHidden(v.ID, -1) == 0 {
				v.SetHidden(false)
			}
		}
	})
}

// setHidden adds to the number of disturbances that hide a server, and returns it.
func (r *run) setHidden(server string, change int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hidden[server] += change
	cut := hidingCut
	if r.hidden[server] == 0 {
		cut = cutter.Cut{Existing: cutter.Reset, New: cutter.Pass}
	}
	r.relays[server].Apply(cut)
	return r.hidden[server]
}

// holder returns the daemon that holds the lease, or nil if none does.
func (r *run) holder() *daemon {
	name := r.site.Store.LeaseHolder()
	for _, d := range r.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// pauseHolder pauses the lease holder as soon as an order of it is on its way to a server, and resumes it.
func (r *run) pauseHolder(length time.Duration) {
	paused := make(chan *program.Process, 1)
	var s *disturbance
	var mu sync.Mutex
	over := false
	r.site.OnOrder(func() {
		mu.Lock()
		defer mu.Unlock()
		d := r.holder()
		if d == nil || over {
			return
		}
		p, _ := d.current()
		r.checker.recordFreeze(d.index, time.Now())
		s = r.timeline.begin(d.index, false)
		p.Signal(syscall.SIGSTOP)
		r.plan.add(planLine{Phase: "pause", Kind: HolderPause, Scope: d.name})
		paused <- p
	})
	var p *program.Process
	select {
	case p = <-paused:
	case <-time.After(maxOrderWait):
		mu.Lock()
		over = true
		mu.Unlock()
		select {
		case p = <-paused:
		default:
			return
		}
	}
	time.Sleep(length)
	p.Signal(syscall.SIGCONT)
	r.timeline.end(s)
}

// checkDoubleJoins adds the joins that the engines found to have taken a server from a group whose head may serve.
func (k *checker) checkDoubleJoins(joins []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range joins {
		k.addFindingLocked("two groups", "%s", j)
	}
}
