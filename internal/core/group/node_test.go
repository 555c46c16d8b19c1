package group

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// node is one daemon: a fleet view and a controller with their own clock, configuration and
// connections.
type node struct {
	w          *world
	name       string
	run        int           // counts the restarts under the same name
	skew       time.Duration // of its monotonic clock
	paused     bool          // executes nothing
	gone       bool          // stopped for good or replaced
	cut        bool          // cannot reach the store
	ops        step.OpID
	view       *fleet.View
	ctl        *Controller
	inForce    map[key]object.Object // configuration in force
	inbox      []func()              // events to handle in the next step
	conns      map[uint64]string     // by connection, the incarnation at its other end
	lastReport map[string]string     // by host, the report that was last traced
}

func (n *node) time() step.Time {
	return step.Time{Mono: n.w.now + n.skew, Unix: n.w.now.Milliseconds()}
}

// The configuration in force.

func get[T object.Value](n *node, kind object.Kind, name string) (T, bool) {
	v, ok := n.inForce[key{kind, name}].Value.(T)
	return v, ok
}

func (n *node) Model(s string) (*object.Model, bool) {
	return get[*object.Model](n, object.KindModel, s)
}

func (n *node) Service(s string) (*object.Service, bool) {
	return get[*object.Service](n, object.KindService, s)
}

func (n *node) DataCentre(s string) (*object.DataCentre, bool) {
	return get[*object.DataCentre](n, object.KindDataCentre, s)
}

func (n *node) Domain(s string) (*object.Domain, object.Version) {
	v, _ := get[*object.Domain](n, object.KindDomain, s)
	return v, n.inForce[key{object.KindDomain, s}].Version
}

func (n *node) Object(kind object.Kind, name string) (object.Object, bool) {
	o, ok := n.inForce[key{kind, name}]
	return o, ok
}

func (n *node) Names(kind object.Kind) []string {
	var names []string
	for k := range n.inForce {
		if k.kind == kind {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	return names
}

// config adds the Host objects to the methods of node, which makes it the configuration that
// fleet and controller read.
type config struct{ *node }

func (c config) Host(s string) (*object.Host, bool) {
	return get[*object.Host](c.node, object.KindHost, s)
}

// Membership: the daemons that are running and not paused. All nodes see a change at once.

func (n *node) Live() []string {
	var live []string
	for _, m := range n.w.nodes {
		if m == n || (!m.gone && !m.paused) {
			live = append(live, m.name)
		}
	}
	slices.Sort(live)
	return live
}

func (n *node) Owners(k string, count int) []string {
	live := n.Live()
	slices.SortFunc(live, func(a, b string) int { return int(int64(score(a, k)>>1) - int64(score(b, k)>>1)) })
	return live[:min(count, len(live))]
}
func (n *node) Owner(k string) string { return n.Owners(k, 1)[0] }

func score(name, k string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(k + "/" + name))
	return h.Sum32()
}

func newWorld(nodes int) *world { return newWorldWith(nodes, nil) }

func newWorldWith(nodes int, set func(*Settings)) *world {
	w := &world{set: set, objects: map[key]object.Object{}, engines: map[string]*engine{}, storeUp: true}
	for i := range nodes {
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	return w
}

// start replaces a daemon by a new run of it.
func (w *world) start(i int) {
	run := 0
	if old := w.nodes[i]; old != nil {
		run = old.run + 1
	}
	n := &node{w: w, name: fmt.Sprintf("d%d", i), run: run, skew: time.Duration(i) * time.Minute, inForce: map[key]object.Object{}, conns: map[uint64]string{}, lastReport: map[string]string{}}
	n.view = fleet.New(n.name, config{n}, n)
	set := Defaults()
	set.LeaseDuration, set.RenewInterval = 4*time.Second, time.Second
	set.ExpectedLoad, set.ExpectedReturn, set.ExpectedRestart, set.DrainTimeout = 4*time.Second, 20*time.Second, 2*time.Second, 5*time.Second
	if w.set != nil {
		w.set(&set)
	}
	n.ctl = New(set, Parts{
		Daemon: n.name, Incarnation: fmt.Sprintf("%s#%d", n.name, run), Config: config{n}, Members: n, Fleet: n.view,
		Next: func() step.OpID { n.ops++; return n.ops },
	})
	w.nodes[i] = n
}

func (w *world) addEngine(name, domain, centre string, checks bool) *engine {
	e := &engine{
		host:   platformapi.Host{Name: name, Address: name, Domain: domain, DataCentre: centre, Accelerators: 4},
		listed: true, checks: checks, servedAt: map[string]time.Duration{},
	}
	w.engines[name] = e
	w.names = append(w.names, name)
	slices.Sort(w.names)
	return e
}

func (w *world) put(name string, v object.Value) {
	w.revision++
	w.objects[key{v.Kind(), name}] = object.Object{Kind: v.Kind(), Name: name, Version: w.revision, Value: v}
}

// advance lets the given time pass, one tick after another.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		w.deliver()
		for _, e := range w.engines {
			if e.up() && w.ready(e) {
				e.servedAt[groupLabel(e.group, e.gen)] = w.now
			}
		}
		for _, n := range w.nodes {
			if !n.gone && !n.paused {
				n.step()
			}
		}
		w.check()
	}
}

// deliver runs what is due in the queue.
func (w *world) deliver() {
	due := w.queue
	w.queue = nil
	for _, d := range due {
		if d.at > w.now {
			w.queue = append(w.queue, d)
			continue
		}
		d.do()
	}
}

// step runs one step of the daemon: it handles the inbox, the changes of the configuration and
// the host list, and then a tick.
func (n *node) step() {
	for _, do := range n.inbox {
		do()
	}
	n.inbox = nil
	now, out := n.time(), &step.Out{}
	if n.reachesStore() && n.watch() {
		n.view.ConfigChanged(now)
	}
	if n.reachesStore() && n.w.now%(5*tick) == 0 {
		n.view.HostList(now, n.w.list())
	}
	n.view.Tick(now, out)
	n.ctl.Tick(now, out)
	n.carryOut(out)
}

func (n *node) reachesStore() bool { return n.w.storeUp && !n.cut }

// watch brings the configuration in force up to date and reports whether it changed.
func (n *node) watch() bool {
	changed := false
	for k, o := range n.w.objects {
		if slices.Contains(object.WatchedKinds, k.kind) && n.inForce[k].Version < o.Version {
			n.inForce[k] = o
			changed = true
		}
	}
	return changed
}

func (w *world) list() step.HostList {
	var l step.HostList
	for _, name := range w.names {
		if e := w.engines[name]; e.listed {
			l.Hosts = append(l.Hosts, e.host)
		}
	}
	return l
}

// later handles an event in the first step after the given delay.
func (n *node) later(d time.Duration, do func(out *step.Out)) {
	n.w.after(d, func() {
		n.inbox = append(n.inbox, func() {
			out := &step.Out{}
			do(out)
			n.carryOut(out)
		})
	})
}

// carryOut executes the effects of a step.
func (n *node) carryOut(out *step.Out) {
	for _, e := range out.Effects {
		switch e := e.(type) {
		case step.Probe:
			n.probe(e)
		case step.SendPeer:
			n.sendPeer(e)
		case step.SendOrder:
			n.sendOrder(e)
		case step.GetObject, step.PutObject, step.DeleteObject:
			n.call(e)
		}
		n.traceEffect(e)
	}
}

func (n *node) sendPeer(e step.SendPeer) {
	d, ok := e.Message.(step.Digest)
	if !ok {
		return
	}
	for _, m := range n.w.nodes {
		if m != n && !m.gone {
			m.later(0, func(*step.Out) { m.view.Digest(m.time(), n.name, d) })
		}
	}
}

func (n *node) probe(p step.Probe) {
	e, sent := n.w.engines[p.Host], n.time().Mono
	r := step.HostReport{Host: p.Host, Sent: sent}
	wait := time.Duration(0)
	if e.paused {
		wait = fleet.ReportMaxAge / 2
	} else if e.up() {
		r.OK, r.Status, r.Conn = true, n.w.status(e), n.connTo(e)
	}
	n.later(wait, func(*step.Out) {
		n.view.HostReport(n.time(), r)
		n.traceReport(r)
	})
}

// connTo returns this daemon's connection to the present incarnation of an engine.
func (n *node) connTo(e *engine) uint64 {
	for c, inc := range n.conns {
		if inc == e.incarnation() {
			return c
		}
	}
	n.w.conns++
	n.conns[n.w.conns] = e.incarnation()
	return n.w.conns
}

// sendOrder checks NotAfter immediately before it sends the order. The order may arrive much
// later, but only at the incarnation at the other end of its connection.
func (n *node) sendOrder(o step.SendOrder) {
	if n.time().Mono > o.NotAfter {
		return
	}
	n.w.after(n.w.orderDelay, func() {
		e := n.w.engines[o.Host]
		reply := step.OrderReply{Op: o.Op, Host: o.Host, Status: step.ReplyLost}
		if !e.dead && n.conns[o.Conn] == e.incarnation() {
			reply.Report, reply.Status = n.w.handleOrder(e, o.Order)
		}
		n.later(0, func(out *step.Out) {
			n.traceReply("OrderReply "+o.Host, reply.Status)
			n.ctl.OnOrderReply(n.time(), reply, out)
		})
	})
}

func (n *node) call(e step.Effect) {
	reply := n.serve(e)
	n.later(0, func(out *step.Out) {
		n.traceReply("PlatformReply", reply.Status)
		n.ctl.OnReply(n.time(), reply, out)
	})
}

// serve returns the reply of the store to a call.
func (n *node) serve(e step.Effect) step.PlatformReply {
	w := n.w
	switch e := e.(type) {
	case step.GetObject:
		if !n.reachesStore() {
			return step.PlatformReply{Op: e.Op, Status: step.ReplyUnsent}
		}
		o, ok := w.objects[key{e.Kind, e.Name}]
		if !ok {
			return step.PlatformReply{Op: e.Op, Status: step.ReplyAbsent}
		}
		return step.PlatformReply{Op: e.Op, Status: step.ReplyOK, Object: o}
	case step.PutObject:
		return n.write(e.Op, key{e.Value.Kind(), e.Name}, e.IfVersion, e.Value)
	case step.DeleteObject:
		return n.write(e.Op, key{e.Kind, e.Name}, e.IfVersion, nil)
	}
	return step.PlatformReply{}
}

func (n *node) write(op step.OpID, k key, ifVersion object.Version, v object.Value) step.PlatformReply {
	w := n.w
	if !n.reachesStore() {
		return step.PlatformReply{Op: op, Status: step.ReplyUnsent}
	}
	if stored := w.objects[k]; stored.Version != ifVersion {
		return step.PlatformReply{Op: op, Status: step.ReplyConflict, Object: stored}
	}
	if w.loseReplies && op%2 == 0 {
		return step.PlatformReply{Op: op, Status: step.ReplyLost} // the write took no effect
	}
	if v == nil {
		w.revision++
		delete(w.objects, k)
	} else {
		if err := v.Check(); err != nil {
			w.reportViolation("%s wrote an invalid %s: %v", n.name, k.name, err)
		}
		w.put(k.name, v)
	}
	if w.loseReplies {
		return step.PlatformReply{Op: op, Status: step.ReplyLost}
	}
	return step.PlatformReply{Op: op, Status: step.ReplyOK, Object: w.objects[k]}
}

// check compares the candidates of every daemon with the state of the engines: each member
// must have served the group at this generation no longer ago than the maximum age of a
// report.
func (w *world) check() {
	for _, n := range w.nodes {
		if n.gone || n.paused {
			continue
		}
		for _, t := range n.view.Candidates(n.time(), "m", "") {
			d, _ := n.Domain(domainOf(t.Name))
			for _, member := range d.Groups[t.Name].Members {
				at, ok := w.engines[member].servedAt[groupLabel(t.Name, t.To.Generation)]
				if !ok || w.now-at > fleet.ReportMaxAge+2*tick {
					w.reportViolation("%s routes to %s@%d, which %s last served at %v", n.name, t.Name, t.To.Generation, member, at)
				}
			}
		}
	}
}

func domainOf(group string) string {
	for i := len(group) - 1; i >= 0; i-- {
		if group[i] == '.' {
			return group[:i]
		}
	}
	return group
}

// serving returns the groups that all running daemons route to.
func (w *world) serving(model string) []string {
	var all []string
	for i, n := range w.nodes {
		if n.gone || n.paused {
			continue
		}
		var names []string
		for _, t := range n.view.Candidates(n.time(), model, "") {
			names = append(names, t.Name)
		}
		if i == 0 || all == nil {
			all = names
		}
		all = slices.DeleteFunc(all, func(s string) bool { return !slices.Contains(names, s) })
	}
	return all
}
