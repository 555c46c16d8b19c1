package group

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// stragglerAfter is how many times the usual load time a group may take to become
// ready before the member that holds it up is left out.
const stragglerAfter = 3

// leastStraggle is the least time before a member counts as a straggler.
const leastStraggle = 10 * time.Second

// watchGroups learns how long groups take to load, and finds members that hold
// theirs up.
func (c *Controller) watchGroups(now time.Duration, d *domain, out *step.Out) {
	for _, name := range sorted(d.value.Groups) {
		g, ch := d.value.Groups[name], d.changes[name]
		joined, ready := c.progress(d, name, g)
		switch {
		case ready == len(g.Members):
			c.nowServing(now, d, g, ch)
		case joined < len(g.Members):
			c.nowBroken(d, name, ch, out)
		case ch.joined == 0:
			ch.joined, ch.loading = now, !c.allLoaded(g)
		case now-ch.joined > max(leastStraggle, stragglerAfter*d.load(g.Model).or(c.set.Load)):
			c.blameSlowest(now, d, g, out)
			ch.joined = now
		}
	}
}

func (d *domain) load(model string) *mean {
	m, ok := d.loads[model]
	if !ok {
		m = &mean{}
		d.loads[model] = m
	}
	return m
}

// progress counts the members that hold the group and those that are ready in it.
func (c *Controller) progress(d *domain, name string, g object.Group) (joined, ready int) {
	for _, member := range g.Members {
		h, ok := c.Fleet.Host(member)
		if !ok || !d.host(member).up || h.Report.Group != name || h.Report.Generation != g.Generation {
			continue
		}
		joined++
		if h.Report.Ready {
			ready++
		}
	}
	return joined, ready
}

// allLoaded reports whether every member has its weights, so that the group needs
// only to connect.
func (c *Controller) allLoaded(g object.Group) bool {
	for _, member := range g.Members {
		if h, ok := c.Fleet.Host(member); !ok || !h.ConnStatus.Loaded {
			return false
		}
	}
	return true
}

func (c *Controller) nowServing(now time.Duration, d *domain, g object.Group, ch *change) {
	if ch.joined > 0 && ch.loading {
		d.load(g.Model).add(now - ch.joined)
	}
	for _, member := range g.Members {
		d.host(member).straggling = false
	}
	ch.joined, ch.served = 0, true
	ch.broken, ch.waiting, ch.draining = false, false, false
}

func (c *Controller) nowBroken(d *domain, name string, ch *change, out *step.Out) {
	if ch.served && !ch.broken {
		ch.broken = true
		out.Log(event.GroupBroken, event.F("domain", d.name), event.F("group", name), event.F("generation", ch.generation))
	}
	ch.joined = 0
}

// blameSlowest leaves out the members that have not loaded their weights while others
// have. If none has, the weight store is slow, not a member.
func (c *Controller) blameSlowest(now time.Duration, d *domain, g object.Group, out *step.Out) {
	var slow []string
	for _, member := range g.Members {
		if h, ok := c.Fleet.Host(member); ok && !h.ConnStatus.Loaded {
			slow = append(slow, member)
		}
	}
	if len(slow) == len(g.Members) {
		return
	}
	for _, member := range slow {
		s := d.host(member)
		s.penalty, s.penaltyAt = s.decayed(now)+flapsFrom, now
		s.straggling = true
		out.Log(event.HostStraggling, event.F("domain", d.name), event.F("host", member))
	}
}
