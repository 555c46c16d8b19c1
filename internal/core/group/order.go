package group

import (
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/coldstart"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// pin writes down, for hosts whose engines do not check fencing numbers, what their
// present incarnations may be told. A pin is never changed for an incarnation except
// that Retire turns true, so that whatever order is still on its way to it, from
// whichever holder, is the one that the pin names.
func (p *plan) pin() {
	member := make(map[string]string)
	for _, name := range sorted(p.next.Groups) {
		for _, host := range p.next.Groups[name].Members {
			member[host] = name
		}
	}
	for _, host := range p.c.Fleet.HostsOf(p.d.name) {
		h, _ := p.c.Fleet.Host(host)
		// A report from before the state was read may be of an earlier incarnation than
		// the one that the state's pin is for: it must not replace that pin.
		if answers(p.now, h) && h.ConnSent > p.d.readAt {
			p.pinHost(h, member[host])
		}
	}
}

func (p *plan) pinHost(h *fleet.Host, group string) {
	g := p.next.Groups[group] // empty if the host is free
	st := &h.ConnStatus
	pin, pinned := p.next.Pins[h.Name]
	pinned = pinned && pin.Incarnation == st.Incarnation
	model := g.Model
	if group == "" {
		model = st.Model
	}
	if !pinned && p.c.checks(p.d, h, model) {
		return
	}
	wanted := object.Pin{Incarnation: st.Incarnation, Group: group, Generation: g.Generation}
	switch {
	case pinned && pin.Retire:
	case pinned && pin != wanted:
		pin.Retire = true
		p.setPin(h.Name, pin)
	case pinned:
	case st.Group != "" && (st.Group != group || st.Generation != g.Generation):
		// It holds what no pin of ours names: an order of somebody else's reached it.
		p.setPin(h.Name, object.Pin{Incarnation: st.Incarnation, Group: st.Group, Generation: st.Generation, Retire: true})
	case group != "":
		p.setPin(h.Name, wanted)
	}
}

func (p *plan) setPin(host string, pin object.Pin) {
	if p.next.Pins == nil {
		p.next.Pins = make(map[string]object.Pin)
	}
	p.next.Pins[host] = pin
	p.changed = true
}

// answers reports whether this daemon's own last probe of the host was answered a
// moment ago, so that an order may go over its connection.
func answers(now time.Duration, h *fleet.Host) bool {
	return h.ConnSent > 0 && now-h.ConnSent <= fleet.FreshFor && h.Report.OK &&
		h.Report.Incarnation == h.ConnStatus.Incarnation
}

// order sends the orders that the acknowledged state of the domain asks for.
func (c *Controller) order(now time.Duration, d *domain, out *step.Out) {
	member := make(map[string]string)
	for _, name := range c.byUrgency(d) {
		for _, host := range d.value.Groups[name].Members {
			member[host] = name
		}
	}
	c.clearFree(now, d, member, out)
	room := c.loadRoom(d)
	loading := c.loading(d)
	for _, name := range c.byUrgency(d) {
		g := d.value.Groups[name]
		need := c.missing(d, name, g)
		need = slices.DeleteFunc(need, func(host string) bool {
			h, ok := c.Fleet.Host(host)
			return !ok || !answers(now, h)
		})
		if !c.mayChange(now, d, name, g, out) {
			// Hosts that are in no group serve nobody: they may load meanwhile.
			need = slices.DeleteFunc(need, func(host string) bool { return !c.idle(host) })
		}
		if len(need) == 0 {
			continue
		}
		if loading > 0 && loading+len(need) > room {
			continue // the weight store has enough to do
		}
		loading += len(need)
		for _, host := range need {
			c.join(now, d, name, g, host, out)
		}
	}
}

// byUrgency returns the groups with those first that have members at work already.
func (c *Controller) byUrgency(d *domain) []string {
	names := sorted(d.value.Groups)
	slices.SortStableFunc(names, func(a, b string) int {
		return len(c.missing(d, a, d.value.Groups[a])) - len(c.missing(d, b, d.value.Groups[b]))
	})
	return names
}

// mayChange reports whether members that hold another group or generation may be
// told to change: routing to what they hold has stopped, and what was in flight is done.
func (c *Controller) mayChange(now time.Duration, d *domain, name string, g object.Group, out *step.Out) bool {
	if now < d.changes[name].orderFrom {
		return false
	}
	if !c.drained(now, d, name, g) {
		d.changes[name].drain(name, out)
		return false
	}
	return true
}

// idle reports whether a host's engine holds no group.
func (c *Controller) idle(host string) bool {
	h, ok := c.Fleet.Host(host)
	return ok && h.ConnStatus.Group == ""
}

// missing returns the members that do not hold the group at its generation.
func (c *Controller) missing(_ *domain, name string, g object.Group) []string {
	var hosts []string
	for _, member := range g.Members {
		h, ok := c.Fleet.Host(member)
		if !ok || h.ConnStatus.Group != name || h.ConnStatus.Generation != g.Generation {
			hosts = append(hosts, member)
		}
	}
	return hosts
}

// loading counts the hosts that hold a group and have not loaded its weights.
func (c *Controller) loading(d *domain) int {
	n := 0
	for _, host := range c.Fleet.HostsOf(d.name) {
		h, _ := c.Fleet.Host(host)
		if st := &h.ConnStatus; d.host(host).up && st.Group != "" && !st.Loaded {
			n++
		}
	}
	return n
}

// loadRoom is the number of hosts of this domain that may load at a time: its own
// bound, or its part of the bound over all domains if that is less.
func (c *Controller) loadRoom(d *domain) int {
	names := c.names()
	part := coldstart.Part(names, d.name, "loads", 0, c.set.LoadsInAll)
	return min(c.set.LoadsPerDomain, max(1, part))
}

// drained reports whether what the members did before is done: nothing is in flight
// by their own reports and this daemon's and its peers' counts, or the bound has passed.
func (c *Controller) drained(now time.Duration, d *domain, name string, g object.Group) bool {
	ch := d.changes[name]
	if now >= ch.drainUntil {
		return true
	}
	if t, ok := c.Fleet.Target(name); ok && t.InFlight+t.PeerInFlight > 0 {
		return false
	}
	for _, member := range g.Members {
		if h, ok := c.Fleet.Host(member); ok && d.host(member).up && h.ConnStatus.InFlight > 0 && h.ConnStatus.Generation != g.Generation {
			return false
		}
	}
	return true
}

// drain says once that a group finishes what is in flight.
func (ch *change) drain(name string, out *step.Out) {
	if !ch.draining {
		ch.draining = true
		out.Log(event.GroupDraining, event.F("group", name), event.F("generation", ch.generation))
	}
}

// join sends a member the order to join its group.
func (c *Controller) join(now time.Duration, d *domain, name string, g object.Group, host string, out *step.Out) {
	h, ok := c.Fleet.Host(host)
	if !ok || !answers(now, h) || c.leavingHost(h) {
		return
	}
	if !c.checks(d, h, g.Model) {
		pin := d.value.Pins[host]
		if pin.Incarnation != h.ConnStatus.Incarnation {
			return // the pin comes first
		}
		if pin.Retire || pin.Group != name || pin.Generation != g.Generation {
			c.retire(now, d, h, out)
			return
		}
	} else if held := h.ConnStatus.Group; held != "" && held != name {
		c.send(now, d, h, engineapi.Order{Kind: engineapi.OrderIdle}, out)
		return
	}
	if d.host(host).restsFrom(now, name) {
		return
	}
	m, _ := c.Config.Model(g.Model)
	if m == nil {
		return
	}
	c.send(now, d, h, engineapi.Order{
		Kind: engineapi.OrderJoin, Group: name, Generation: g.Generation, Model: g.Model,
		Weights: m.Weights, Rank: slices.Index(g.Members, host), Members: c.addresses(g),
	}, out)
}

func (c *Controller) addresses(g object.Group) []string {
	all := make([]string, len(g.Members))
	for i, member := range g.Members {
		if h, ok := c.Fleet.Host(member); ok {
			all[i] = h.Address
		}
	}
	return all
}

// clearFree takes hosts that belong to no group out of the group that they hold, once
// their requests are done.
func (c *Controller) clearFree(now time.Duration, d *domain, member map[string]string, out *step.Out) {
	for _, host := range c.Fleet.HostsOf(d.name) {
		h, _ := c.Fleet.Host(host)
		s := d.host(host)
		if member[host] != "" || !answers(now, h) || h.ConnStatus.Group == "" {
			s.freeSince = 0
			continue
		}
		if s.freeSince == 0 {
			s.freeSince = now
		}
		idle := h.ConnStatus.InFlight == 0 && now-s.freeSince >= routingStop
		if !idle && now-s.freeSince < c.set.Drain {
			continue
		}
		if c.checks(d, h, h.ConnStatus.Model) {
			c.send(now, d, h, engineapi.Order{Kind: engineapi.OrderIdle}, out)
		} else if d.value.Pins[host].Incarnation == h.ConnStatus.Incarnation {
			c.retire(now, d, h, out)
		}
	}
}

// retire ends an incarnation whose pin says so.
func (c *Controller) retire(now time.Duration, d *domain, h *fleet.Host, out *step.Out) {
	if !d.value.Pins[h.Name].Retire {
		return
	}
	if c.send(now, d, h, engineapi.Order{Kind: engineapi.OrderRetire}, out) {
		d.host(h.Name).retired = h.ConnStatus.Incarnation
		out.Log(event.HostRetired, event.F("host", h.Name), event.F("incarnation", h.ConnStatus.Incarnation))
	}
}

// send sends an order over the connection that showed the host's incarnation, and
// not after this daemon's lease. The same order waits a while before it goes again.
func (c *Controller) send(now time.Duration, d *domain, h *fleet.Host, o engineapi.Order, out *step.Out) bool {
	s := d.host(h.Name)
	o.Fence = orderFence(d.value.Fence, o.Kind)
	this := lastOrder{kind: o.Kind, incarnation: h.ConnStatus.Incarnation, group: o.Group, generation: o.Generation}
	last := s.order
	last.sent = 0
	if last == this && now-s.order.sent < orderEvery {
		return false
	}
	this.sent = now
	s.order = this
	op := c.await(operation{kind: opOrder, domain: d.name, host: h.Name, sent: now})
	out.Add(step.SendOrder{
		Op: op, Host: h.Name, Address: h.Address, Conn: h.Conn, Order: o, NotAfter: c.lease.sent + c.set.Lease,
	})
	return true
}

// orderFence returns the number that an order carries. The domain's number rises with
// every write, not only when the holder changes: a late order of this holder must not
// undo its own newer one. An order to idle stands below a join by the same state.
func orderFence(domain uint64, kind engineapi.OrderKind) uint64 {
	if kind == engineapi.OrderJoin {
		return 2*domain + 1
	}
	return 2 * domain
}

// OnOrderReply takes up the answer to an order. What the order did shows in the next
// report; a refusal means that another holder has ordered since.
func (c *Controller) OnOrderReply(now step.Time, r step.OrderReply, out *step.Out) {
	op, ok := c.ops[r.Op]
	if !ok {
		return
	}
	delete(c.ops, r.Op)
	d := c.domain(op.domain)
	switch r.Status {
	case step.ReplyConflict:
		out.Log(event.OrderRefused, event.F("host", op.host), event.F("fence", r.Report.Fence))
		d.host(op.host).order = lastOrder{} // to be sent again at once, under a higher number
		c.refused(now.Mono, d, r, out)
	case step.ReplyLost:
		out.Log(event.OrderUnheard, event.F("host", op.host))
	}
}

// refused reads the domain back. If this daemon still holds it, the engine has seen a
// number that the object never had, and the object's is raised above it.
func (c *Controller) refused(now time.Duration, d *domain, r step.OrderReply, out *step.Out) {
	if d.pending != 0 || !c.holds(d) {
		return
	}
	if r.Report.Fence < 2*d.value.Fence {
		return
	}
	next := cloneDomain(d.value)
	next.Fence = r.Report.Fence/2 + 1
	c.write(now, d, next, out) // conflicts if another holds the domain by now
}
