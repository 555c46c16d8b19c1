package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// kindSpec defines a kind of disturbance. begin starts one and returns the function that ends
// it, or nil if it ends without one.
type kindSpec struct {
	kind        Kind
	planned     bool // an action of operators, which also occurs in calm periods
	maxDuration time.Duration
	begin       func(r *run, f Fault) (end func())
}

const (
	// entryTTL is how long the store keeps the entry of a crashed server.
	entryTTL = time.Second
	// drainDuration is the time from the start of a server's drain to its end.
	drainDuration = 6 * time.Second
	// stormInterval is the time between two changes of a configuration storm.
	stormInterval = 150 * time.Millisecond
	// Delays of links and of the store are 1 to delayStepCount times delayStep.
	delayStep      = 25 * time.Millisecond
	delayStepCount = 8
	// maxLateDelay bounds how late a server carries out an order, or the store a write.
	maxLateDelay = 3 * time.Second
)

var catalogue = []kindSpec{
	{DaemonKill, false, 3 * time.Second, func(r *run, f Fault) func() {
		r.pickDaemon(f).endProcess(syscall.SIGKILL, f.Duration)
		return nil
	}},
	{DaemonHerd, false, 3 * time.Second, func(r *run, f Fault) func() {
		for _, d := range r.daemons {
			d.endProcess(syscall.SIGKILL, f.Duration)
		}
		return nil
	}},
	{DaemonStop, true, 2 * time.Second, func(r *run, f Fault) func() {
		r.pickDaemon(f).endProcess(syscall.SIGTERM, f.Duration)
		return nil
	}},
	{DaemonPause, false, 5 * time.Second, func(r *run, f Fault) func() {
		d := r.pickDaemon(f)
		p, _ := d.current()
		r.checker.recordFreeze(d.index, time.Now())
		return r.recordDuring(d.index, func() { p.Signal(syscall.SIGSTOP) }, func() { p.Signal(syscall.SIGCONT) })
	}},
	{DaemonHup, true, time.Second, func(r *run, f Fault) func() {
		p, _ := r.pickDaemon(f).current()
		p.Signal(syscall.SIGHUP)
		return nil
	}},
	{CallersReset, false, time.Second, linkDisturbance(callersOf, reset)},
	{CallersDelay, false, 5 * time.Second, linkDisturbance(callersOf, delay)},
	{CallersSilent, false, 3 * time.Second, linkDisturbance(callersOf, silence)},
	{CallersOneWay, false, 3 * time.Second, linkDisturbance(callersOf, oneWay)},
	{StoreReset, false, time.Second, linkDisturbance(storeOf, reset)},
	{StoreDelay, false, 5 * time.Second, linkDisturbance(storeOf, delay)},
	{StoreSilent, false, 5 * time.Second, linkDisturbance(storeOf, silence)},
	{StoreOneWay, false, 5 * time.Second, linkDisturbance(storeOf, oneWay)},
	{ServerReset, false, time.Second, linkDisturbance(serverOf, reset)},
	{ServerDelay, false, 5 * time.Second, linkDisturbance(serverOf, delay)},
	{ServerSilent, false, 5 * time.Second, linkDisturbance(serverOf, silence)},
	{ServerOneWay, false, 5 * time.Second, linkDisturbance(serverOf, oneWay)},
	{ServerCrash, false, 4 * time.Second, func(r *run, f Fault) func() {
		v := r.pickServer(f)
		return r.recordDuring(scopeServers, func() { v.Crash(entryTTL) }, func() { r.restart(v) })
	}},
	{ServerDrain, true, 2 * time.Second, func(r *run, f Fault) func() {
		r.replaceServer(f)
		return nil
	}},
	{ServerErrors, false, 4 * time.Second, func(r *run, f Fault) func() {
		return r.failServer(f, site.Faults{Status: http.StatusInternalServerError})
	}},
	{ServerHang, false, 4 * time.Second, func(r *run, f Fault) func() {
		return r.failServer(f, site.Faults{Hang: true})
	}},
	{ServerUnlisted, false, 5 * time.Second, func(r *run, f Fault) func() {
		v := r.pickServer(f)
		return r.recordDuring(scopeServers, func() { v.SetListed(false) }, func() { v.SetListed(true) })
	}},
	{OrdersLate, false, 5 * time.Second, func(r *run, f Fault) func() {
		return r.failServer(f, site.Faults{OrderDelay: time.Duration(f.Pick % uint64(maxLateDelay))})
	}},
	{StoreDown, false, 6 * time.Second, func(r *run, _ Fault) func() {
		return r.failStore(site.StoreFaults{Status: http.StatusServiceUnavailable})
	}},
	{StoreAway, false, 6 * time.Second, func(r *run, _ Fault) func() {
		apply := func(c cutter.Cut) func() {
			return func() {
				for _, d := range r.daemons {
					d.store.Apply(c)
				}
			}
		}
		// The store never answers what was sent before or during the disturbance.
		return r.recordDuring(scopeStore, apply(cutter.Cut{Existing: cutter.Swallow, New: cutter.Swallow}), apply(cutter.Cut{New: cutter.Pass}))
	}},
	{StoreSlow, false, 5 * time.Second, func(r *run, f Fault) func() {
		return r.failStore(site.StoreFaults{Delay: delayOf(f)})
	}},
	{StoreLost, false, 5 * time.Second, func(r *run, f Fault) func() {
		lost := site.StoreFaults{LoseOneIn: 1 + int(f.Pick%3)}
		if f.Pick%2 == 0 {
			lost.LostWriteDelay = time.Duration(f.Pick % uint64(maxLateDelay))
		}
		return r.failStore(lost)
	}},
	{StoreHistory, false, time.Second, func(r *run, _ Fault) func() {
		return r.recordDuring(scopeStore, r.site.Store.DropHistory, func() {})
	}},
	{ConfigChange, true, time.Second, func(r *run, _ Fault) func() {
		r.configure()
		return nil
	}},
	{ConfigStorm, true, 2 * time.Second, func(r *run, f Fault) func() {
		for at := time.Duration(0); at < f.Duration; at += stormInterval {
			r.runAfter(at, r.configure)
		}
		return nil
	}},
	{Evacuation, true, 12 * time.Second, func(r *run, f Fault) func() { return r.evacuate() }},
}

// recordDuring starts a disturbance and returns the function that ends it. The timeline covers
// all of it: it is recorded before begin is called and ended after end.
func (r *run) recordDuring(scope int, begin, end func()) func() {
	s := r.timeline.begin(scope, false)
	begin()
	return func() {
		end()
		r.timeline.end(s)
	}
}

func (r *run) pickDaemon(f Fault) *daemon { return r.daemons[f.Pick%uint64(len(r.daemons))] }

// pickServer picks one of the servers that are not draining.
func (r *run) pickServer(f Fault) *site.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stayingServers[f.Pick%uint64(len(r.stayingServers))]
}

func (r *run) restart(v *site.Server) {
	if err := v.Start(); err != nil {
		r.checker.addFinding("soak", "server %s can't be started: %v", v.ID, err)
	}
}

func (r *run) failServer(f Fault, faults site.Faults) func() {
	v := r.pickServer(f)
	return r.recordDuring(scopeServers, func() { v.SetFaults(faults) }, func() { v.SetFaults(site.Faults{}) })
}

func (r *run) failStore(f site.StoreFaults) func() {
	return r.recordDuring(scopeStore, func() { r.site.Store.SetFaults(f) }, func() { r.site.Store.SetFaults(site.StoreFaults{}) })
}

// replaceServer adds a server of the same service and place, then drains the old one and ends
// it after drainDuration.
func (r *run) replaceServer(f Fault) {
	r.mu.Lock()
	i := f.Pick % uint64(len(r.stayingServers))
	v := r.stayingServers[i]
	r.serverCount++
	nextID := fmt.Sprintf("%s-%d", v.Service, r.serverCount)
	r.mu.Unlock()
	next, err := r.site.Add(nextID, v.Service, v.Zone, v.Domain)
	if err != nil {
		r.checker.addFinding("soak", "server %s can't be started: %v", nextID, err)
		return
	}
	r.mu.Lock()
	r.stayingServers[i] = next
	r.mu.Unlock()
	v.Drain()
	r.checker.recordDrain(v.ID, time.Now())
	r.runAfter(drainDuration, func() { v.Crash(0) })
}

// configure writes the next version of the configuration, which has one more extra route.
func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	r.site.Configure(r.configVersion, r.configVersion-1)
	r.checker.recordConfiguration(r.configVersion-1, time.Now())
}

// evacuate evacuates the last zone, unless an evacuation is in force.
func (r *run) evacuate() func() {
	zone := zones[len(zones)-1]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated {
		return nil
	}
	r.evacuated = true
	r.site.Store.Put("evacuations", zone, struct{}{})
	endEvacuation := r.checker.recordEvacuation(zone, time.Now())
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		endEvacuation(time.Now())
		r.site.Store.Remove("evacuations", zone)
		r.evacuated = false
	}
}

// linkDisturbance returns a begin function that applies a cut to the relay that find returns.
// cuts returns the cuts at the start and at the end.
func linkDisturbance(find func(*run, Fault) (*cutter.Cutter, int), cuts func(Fault) (begin, end cutter.Cut)) func(*run, Fault) func() {
	return func(r *run, f Fault) func() {
		relay, scope := find(r, f)
		begin, end := cuts(f)
		return r.recordDuring(scope, func() { relay.Apply(begin) }, func() { relay.Apply(end) })
	}
}

func callersOf(r *run, f Fault) (*cutter.Cutter, int) {
	d := r.pickDaemon(f)
	return d.callers, d.index
}

func storeOf(r *run, f Fault) (*cutter.Cutter, int) {
	d := r.pickDaemon(f)
	return d.store, d.index
}

func serverOf(r *run, f Fault) (*cutter.Cutter, int) {
	return r.relayOf(r.pickServer(f).ID), scopeServers
}

// reset resets all existing connections; new ones work.
func reset(Fault) (begin, end cutter.Cut) { return cutter.Cut{Existing: cutter.Reset}, cutter.Cut{} }

func delayOf(f Fault) time.Duration { return time.Duration(1+f.Pick%delayStepCount) * delayStep }

func delay(f Fault) (begin, end cutter.Cut) {
	return cutter.Cut{DelayMillis: delayOf(f).Milliseconds()}, cutter.Cut{}
}

// silence stops the bytes of both directions; they are delivered once it ends.
func silence(Fault) (begin, end cutter.Cut) {
	return cutter.Cut{Existing: cutter.Freeze, New: cutter.Freeze}, cutter.Cut{Existing: cutter.Pass, New: cutter.Pass}
}

// oneWay drops the bytes of one direction. It resets the affected connections at its end,
// since their streams have gaps.
func oneWay(f Fault) (begin, end cutter.Cut) {
	direction := cutter.ToTarget
	if f.Pick%2 == 0 {
		direction = cutter.ToCaller
	}
	return cutter.Cut{Existing: cutter.Swallow, New: cutter.Swallow, Direction: direction},
		cutter.Cut{Existing: cutter.Reset, New: cutter.Pass}
}
