package group

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// stragglerLoadFactor is how many mean load times a group may take to become ready, after all
// members have joined, before the members that have not loaded are excluded.
const stragglerLoadFactor = 3

// minStragglerTimeout is the least time before a member counts as a straggler.
const minStragglerTimeout = 10 * time.Second

// updateGroups measures how long groups take to load, and excludes members that delay their
// groups.
func (c *Controller) updateGroups(now time.Duration, d *domain, out *step.Out) {
	for _, name := range sorted(d.value.Groups) {
		g, st := d.value.Groups[name], d.groupStates[name]
		joined, ready := c.countMembers(d, name, g)
		switch {
		case ready == len(g.Members):
			c.onServing(now, d, g, st)
		case joined < len(g.Members):
			c.onBroken(d, name, st, out)
		case st.joinedAt == 0:
			st.joinedAt, st.needsWeights = now, !c.allLoaded(g)
		case now-st.joinedAt > max(minStragglerTimeout, stragglerLoadFactor*d.meanLoad(g.Model).or(c.set.ExpectedLoad)):
			c.excludeStragglers(now, d, g, out)
			st.joinedAt = now
		}
	}
}

// meanLoad returns the mean load time of a model, with a new entry if there is none.
func (d *domain) meanLoad(model string) *mean {
	m, ok := d.meanLoads[model]
	if !ok {
		m = &mean{}
		d.meanLoads[model] = m
	}
	return m
}

// countMembers counts the members that have joined the group at its generation, and those of
// them that are ready.
func (c *Controller) countMembers(d *domain, name string, g object.Group) (joined, ready int) {
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

// allLoaded reports whether every member has loaded its weights, so that the members only have
// to connect to each other.
func (c *Controller) allLoaded(g object.Group) bool {
	for _, member := range g.Members {
		if h, ok := c.Fleet.Host(member); !ok || !h.ConnStatus.Loaded {
			return false
		}
	}
	return true
}

// onServing records that a group serves.
func (c *Controller) onServing(now time.Duration, d *domain, g object.Group, st *groupState) {
	if st.joinedAt > 0 && st.needsWeights {
		d.meanLoad(g.Model).add(now - st.joinedAt)
	}
	for _, member := range g.Members {
		d.host(member).straggling = false
	}
	st.joinedAt, st.served = 0, true
	st.brokenLogged, st.waitingLogged, st.drainingLogged = false, false, false
}

// onBroken records that a member of a group is missing, and logs it if the group has served.
func (c *Controller) onBroken(d *domain, name string, st *groupState, out *step.Out) {
	if st.served && !st.brokenLogged {
		st.brokenLogged = true
		out.Log(event.GroupBroken, event.F("domain", d.name), event.F("group", name), event.F("generation", st.generation))
	}
	st.joinedAt = 0
}

// excludeStragglers excludes the members that have not loaded their weights while others have.
// If none has loaded them, the weight store is slow, and no member is excluded.
func (c *Controller) excludeStragglers(now time.Duration, d *domain, g object.Group, out *step.Out) {
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
		s.penalty, s.penaltyAt = s.currentPenalty(now)+flappingPenalty, now
		s.straggling = true
		out.Log(event.HostStraggling, event.F("domain", d.name), event.F("host", member))
	}
}
