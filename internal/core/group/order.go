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

// pinHosts records, for hosts whose engines do not check fencing tokens, the only join that
// their present incarnations may be sent. The pin of an incarnation never changes, except that
// Retire becomes true. Any order that is still on its way to the incarnation, from whichever
// holder, is therefore the one that the pin names.
func (p *plan) pinHosts() {
	member := make(map[string]string)
	for _, name := range sorted(p.next.Groups) {
		for _, host := range p.next.Groups[name].Members {
			member[host] = name
		}
	}
	for _, host := range p.c.Fleet.HostsOf(p.d.name) {
		h, _ := p.c.Fleet.Host(host)
		// A report from before the state was read may be of an earlier incarnation than the
		// one that the pin in the state is for. It must not replace that pin.
		if answeredRecently(p.now, h) && h.ConnSent > p.d.versionAt {
			p.pinHost(h, member[host])
		}
	}
}

// pinHost sets or changes the pin of one host; group is the group that the host is assigned
// to, empty if it is free.
func (p *plan) pinHost(h *fleet.Host, group string) {
	g := p.next.Groups[group] // the zero Group if the host is free
	st := &h.ConnStatus
	pin, pinned := p.next.Pins[h.Name]
	pinned = pinned && pin.Incarnation == st.Incarnation
	model := g.Model
	if group == "" {
		model = st.Model
	}
	if !pinned && p.c.checksFencing(p.d, h, model) {
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
		// The host holds another group than the wanted one and no pin names it, so an order of
		// another daemon has reached the host.
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

// answeredRecently reports whether the last probe that this daemon itself sent to the host was
// answered and is not stale, so that an order may be sent over its connection.
func answeredRecently(now time.Duration, h *fleet.Host) bool {
	return h.ConnSent > 0 && now-h.ConnSent <= fleet.ReportMaxAge && h.Report.OK &&
		h.Report.Incarnation == h.ConnStatus.Incarnation
}

// sendOrders sends the orders that follow from the acknowledged state of the domain.
func (c *Controller) sendOrders(now time.Duration, d *domain, out *step.Out) {
	member := make(map[string]string)
	for _, name := range c.groupsByProgress(d) {
		for _, host := range d.value.Groups[name].Members {
			member[host] = name
		}
	}
	c.releaseFreeHosts(now, d, member, out)
	limit := c.loadLimit(d)
	loading := c.countLoading(d)
	for _, name := range c.groupsByProgress(d) {
		g := d.value.Groups[name]
		need := c.notJoined(d, name, g)
		need = slices.DeleteFunc(need, func(host string) bool {
			h, ok := c.Fleet.Host(host)
			return !ok || !answeredRecently(now, h)
		})
		if !c.mayChangeMembers(now, d, name, g, out) {
			// Engines that hold no group serve no requests, so they may load in the meantime.
			need = slices.DeleteFunc(need, func(host string) bool { return !c.engineIdle(host) })
		}
		if len(need) == 0 {
			continue
		}
		if loading > 0 && loading+len(need) > limit {
			continue // the weight store is used by as many hosts as allowed
		}
		loading += len(need)
		for _, host := range need {
			c.sendJoin(now, d, name, g, host, out)
		}
	}
}

// groupsByProgress returns the names of the groups, those with the fewest missing members
// first.
func (c *Controller) groupsByProgress(d *domain) []string {
	names := sorted(d.value.Groups)
	slices.SortStableFunc(names, func(a, b string) int {
		return len(c.notJoined(d, a, d.value.Groups[a])) - len(c.notJoined(d, b, d.value.Groups[b]))
	})
	return names
}

// mayChangeMembers reports whether members that hold another group or generation may be
// ordered to change: every daemon has stopped routing to what they hold, and their requests in
// flight have ended or the drain deadline has passed.
func (c *Controller) mayChangeMembers(now time.Duration, d *domain, name string, g object.Group, out *step.Out) bool {
	if now < d.groupStates[name].earliestOrderAt {
		return false
	}
	if !c.drained(now, d, name, g) {
		d.groupStates[name].logDraining(name, out)
		return false
	}
	return true
}

// engineIdle reports whether the engine of a host holds no group.
func (c *Controller) engineIdle(host string) bool {
	h, ok := c.Fleet.Host(host)
	return ok && h.ConnStatus.Group == ""
}

// notJoined returns the members that do not report the group at its generation.
func (c *Controller) notJoined(_ *domain, name string, g object.Group) []string {
	var hosts []string
	for _, member := range g.Members {
		h, ok := c.Fleet.Host(member)
		if !ok || h.ConnStatus.Group != name || h.ConnStatus.Generation != g.Generation {
			hosts = append(hosts, member)
		}
	}
	return hosts
}

// countLoading counts the hosts that hold a group and have not loaded its weights.
func (c *Controller) countLoading(d *domain) int {
	n := 0
	for _, host := range c.Fleet.HostsOf(d.name) {
		h, _ := c.Fleet.Host(host)
		if st := &h.ConnStatus; d.host(host).up && st.Group != "" && !st.Loaded {
			n++
		}
	}
	return n
}

// loadLimit returns how many hosts of this domain may load at the same time: the limit of one
// domain, or the share of this domain in the limit of all domains if that is less, but at least
// one.
func (c *Controller) loadLimit(d *domain) int {
	names := c.domainNames()
	part := coldstart.ShareOf(names, d.name, "loads", 0, c.set.MaxLoadsTotal)
	return min(c.set.MaxLoadsPerDomain, max(1, part))
}

// drained reports whether the requests that the members ran before the change have ended. That
// is so if nothing is in flight according to the members' own reports and the counts of this
// daemon and its peers, or if the drain deadline has passed.
func (c *Controller) drained(now time.Duration, d *domain, name string, g object.Group) bool {
	st := d.groupStates[name]
	if now >= st.drainDeadline {
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

// logDraining logs once that a group finishes its requests in flight.
func (st *groupState) logDraining(name string, out *step.Out) {
	if !st.drainingLogged {
		st.drainingLogged = true
		out.Log(event.GroupDraining, event.F("group", name), event.F("generation", st.generation))
	}
}

// sendJoin orders a member to join its group. If the member holds another group, or its pin
// names another join, it is ordered to leave that group or to retire first.
func (c *Controller) sendJoin(now time.Duration, d *domain, name string, g object.Group, host string, out *step.Out) {
	h, ok := c.Fleet.Host(host)
	if !ok || !answeredRecently(now, h) || c.hostExcluded(h) {
		return
	}
	if !c.checksFencing(d, h, g.Model) {
		pin := d.value.Pins[host]
		if pin.Incarnation != h.ConnStatus.Incarnation {
			return // the pin must be written first
		}
		if pin.Retire || pin.Group != name || pin.Generation != g.Generation {
			c.sendRetire(now, d, h, out)
			return
		}
	} else if held := h.ConnStatus.Group; held != "" && held != name {
		c.sendOrder(now, d, h, engineapi.Order{Kind: engineapi.OrderIdle}, out)
		return
	}
	if d.host(host).recentlyInOther(now, name) {
		return
	}
	m, _ := c.Config.Model(g.Model)
	if m == nil {
		return
	}
	c.sendOrder(now, d, h, engineapi.Order{
		Kind: engineapi.OrderJoin, Group: name, Generation: g.Generation, Model: g.Model,
		Weights: m.Weights, Rank: slices.Index(g.Members, host), Members: c.memberAddresses(g),
	}, out)
}

// memberAddresses returns the addresses of the members by rank, empty where the host is
// unknown.
func (c *Controller) memberAddresses(g object.Group) []string {
	all := make([]string, len(g.Members))
	for i, member := range g.Members {
		if h, ok := c.Fleet.Host(member); ok {
			all[i] = h.Address
		}
	}
	return all
}

// releaseFreeHosts orders hosts that are assigned to no group to leave the group that they
// hold, once routing to them has stopped and their requests have ended, or DrainTimeout has
// passed.
func (c *Controller) releaseFreeHosts(now time.Duration, d *domain, member map[string]string, out *step.Out) {
	for _, host := range c.Fleet.HostsOf(d.name) {
		h, _ := c.Fleet.Host(host)
		s := d.host(host)
		if member[host] != "" || !answeredRecently(now, h) || h.ConnStatus.Group == "" {
			s.freeSince = 0
			continue
		}
		if s.freeSince == 0 {
			s.freeSince = now
		}
		idle := h.ConnStatus.InFlight == 0 && now-s.freeSince >= routingStopDelay
		if !idle && now-s.freeSince < c.set.DrainTimeout {
			continue
		}
		if c.checksFencing(d, h, h.ConnStatus.Model) {
			c.sendOrder(now, d, h, engineapi.Order{Kind: engineapi.OrderIdle}, out)
		} else if d.value.Pins[host].Incarnation == h.ConnStatus.Incarnation {
			c.sendRetire(now, d, h, out)
		}
	}
}

// sendRetire orders an incarnation to end if its pin has Retire set.
func (c *Controller) sendRetire(now time.Duration, d *domain, h *fleet.Host, out *step.Out) {
	if !d.value.Pins[h.Name].Retire {
		return
	}
	if c.sendOrder(now, d, h, engineapi.Order{Kind: engineapi.OrderRetire}, out) {
		d.host(h.Name).retiredIncarnation = h.ConnStatus.Incarnation
		out.Log(event.HostRetired, event.F("host", h.Name), event.F("incarnation", h.ConnStatus.Incarnation))
	}
}

// sendOrder sends an order over the connection on which the incarnation of the host was
// reported. The order is not sent after the end of this daemon's lease, nor within
// orderRetryInterval after the same order. It reports whether the order was sent.
func (c *Controller) sendOrder(now time.Duration, d *domain, h *fleet.Host, o engineapi.Order, out *step.Out) bool {
	s := d.host(h.Name)
	o.FencingToken = orderFence(d.value.Fence, o.Kind)
	this := sentOrder{kind: o.Kind, incarnation: h.ConnStatus.Incarnation, group: o.Group, generation: o.Generation}
	last := s.lastOrder
	last.sentAt = 0
	if last == this && now-s.lastOrder.sentAt < orderRetryInterval {
		return false
	}
	this.sentAt = now
	s.lastOrder = this
	op := c.await(operation{kind: opOrder, domain: d.name, host: h.Name, sentAt: now})
	out.Add(step.SendOrder{
		Op: op, Host: h.Name, Address: h.Address, Conn: h.Conn, Order: o, NotAfter: c.lease.renewedAt + c.set.LeaseDuration,
	})
	return true
}

// orderFence returns the fencing token of an order under the given token of the domain. The
// token of the domain rises with every change of the assignment or of a pin, not only when
// the domain is taken over, so that a late order of this holder cannot undo its own newer one.
// Under the same token of the domain, an idle order has a lower token than a join.
func orderFence(domain uint64, kind engineapi.OrderKind) uint64 {
	if kind == engineapi.OrderJoin {
		return 2*domain + 1
	}
	return 2 * domain
}

// OnOrderReply handles the reply to an order. The effect of an accepted order shows in the
// next report. A refusal means that the engine has seen a higher fencing token, usually
// because another holder has sent an order since.
func (c *Controller) OnOrderReply(now step.Time, r step.OrderReply, out *step.Out) {
	op, ok := c.ops[r.Op]
	if !ok {
		return
	}
	delete(c.ops, r.Op)
	d := c.domain(op.domain)
	switch r.Status {
	case step.ReplyConflict:
		out.Log(event.OrderRefused, event.F("host", op.host), event.F("fence", r.Report.FencingToken))
		d.host(op.host).lastOrder = sentOrder{} // may be sent again at once, under a higher token
		c.raiseFence(now.Mono, d, r, out)
	case step.ReplyLost:
		out.Log(event.OrderUnanswered, event.F("host", op.host))
	}
}

// raiseFence raises the fencing token of the domain so that its orders have a higher token than
// an engine reported when it refused one. If another daemon holds the domain by now, the write
// conflicts and has no effect. Otherwise the engine had seen a token that the object never had.
func (c *Controller) raiseFence(now time.Duration, d *domain, r step.OrderReply, out *step.Out) {
	if d.pending != 0 || !c.holds(d) {
		return
	}
	if r.Report.FencingToken < 2*d.value.Fence {
		return
	}
	next := cloneDomain(d.value)
	next.Fence = r.Report.FencingToken/2 + 1
	c.write(now, d, next, out)
}
