package group

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// penaltyHalfLife is the time in which the penalty of a host halves. Each loss adds 1 to
	// it.
	penaltyHalfLife = 5 * time.Minute
	// A host counts as flapping once its penalty is within 0.5 of flappingPenalty. It is then
	// not chosen as a new member and, if lost, not waited for, until its penalty is below
	// stablePenalty. A straggler gets flappingPenalty at once.
	flappingPenalty = 3
	stablePenalty   = 1.5
	// massLossWindow is the time over which lost hosts are counted. While at least half of the
	// hosts of a domain were lost within it, the assignment is not changed.
	massLossWindow = 15 * time.Second
)

// hostState is what the holder of a domain has observed of a host.
type hostState struct {
	observed           bool          // up and stateSince are known
	up                 bool          // the host answers with a report that is not stale
	stateSince         time.Duration // when up was first known or last changed
	incarnation        string        // last reported
	retiredIncarnation string        // incarnation that was ordered to retire
	penalty            float64       // decayed number of losses, as of penaltyAt
	penaltyAt          time.Duration
	flapping           bool // lost too often; not chosen as a new member
	straggling         bool // has not loaded its weights while its group waits for it
	// freeSince is since when the host has held a group that it is not assigned to, zero if it
	// holds none.
	freeSince time.Duration
	lastOrder sentOrder
	// reportedGroup is the last group that the host reported, in answer to a probe sent at
	// reportSentAt.
	reportedGroup string
	reportSentAt  time.Duration
}

// sentOrder is an order that was sent to a host.
type sentOrder struct {
	kind        engineapi.OrderKind
	incarnation string
	group       string
	generation  uint64
	sentAt      time.Duration
}

// mean is a running mean of durations, in which each new value has a weight of a quarter.
type mean struct {
	value time.Duration
	known bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += (d - m.value) / 4
}

// or returns the mean, or d if there is no value yet.
func (m *mean) or(d time.Duration) time.Duration {
	if m == nil || !m.known {
		return d
	}
	return m.value
}

// updateHosts records which hosts of the domain answer, and detects that none does or that
// many were lost at once.
func (c *Controller) updateHosts(now time.Duration, d *domain, out *step.Out) {
	lost, up, total := 0, 0, 0
	for _, name := range c.hostsAndMembers(d) {
		h, ok := c.Fleet.Host(name)
		s := d.host(name)
		if !ok {
			h = &fleet.Host{Name: name} // no longer registered; treated as unresponsive
		}
		s.update(now, d, h)
		s.updateFlapping(now, name, out)
		total++
		if s.up {
			up++
		} else if now-s.stateSince < massLossWindow && s.incarnation != "" && !s.retiring() {
			lost++
		}
	}
	unreachable := up == 0
	if unreachable && !d.unreachable && total > 0 {
		out.Log(event.DomainUnreachable, event.F("domain", d.name), event.F("hosts", total))
	}
	d.unreachable = unreachable
	d.massLoss = lost > 1 && 2*lost >= total
}

// hostsAndMembers returns the registered hosts of the domain and the members of its groups,
// sorted.
func (c *Controller) hostsAndMembers(d *domain) []string {
	names := slices.Clone(c.Fleet.HostsOf(d.name))
	for _, group := range sorted(d.value.Groups) {
		names = append(names, d.value.Groups[group].Members...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (d *domain) host(name string) *hostState {
	s, ok := d.hosts[name]
	if !ok {
		s = &hostState{}
		d.hosts[name] = s
	}
	return s
}

// update records whether the host answers and as which incarnation, and measures its absences.
func (s *hostState) update(now time.Duration, d *domain, h *fleet.Host) {
	up := h.Report.OK && h.Report.UpToDate(now)
	inc := h.Report.Incarnation
	switch {
	case !s.observed:
		s.observed, s.up, s.stateSince = true, up, now
	case s.up && !up:
		s.up, s.stateSince = false, now
		s.countLoss(now)
	case !s.up && up:
		if s.incarnation == inc {
			d.meanPause.add(now - s.stateSince)
		} else if s.retiring() {
			d.meanRestart.add(now - s.stateSince)
		} else if s.incarnation != "" {
			d.meanReturn.add(now - s.stateSince)
		}
		s.up, s.stateSince = true, now
	case up && s.incarnation != "" && inc != s.incarnation:
		s.countLoss(now)
	}
	if up {
		s.incarnation = inc
	}
	if h.Report.OK && h.Report.Group != "" {
		s.reportedGroup, s.reportSentAt = h.Report.Group, h.Report.Sent
	}
}

// recentlyInOther reports whether the host was in another group so recently that a daemon may
// still route to that group by a report that is not stale. Until then the host joins no other
// group, so that it never gets requests for two groups at the same time.
func (s *hostState) recentlyInOther(now time.Duration, group string) bool {
	return s.reportedGroup != "" && s.reportedGroup != group && now-s.reportSentAt <= fleet.ReportMaxAge
}

// expectedToServe reports whether the host still counts as a member that can serve. A host
// that was ordered to retire counts for three times the given restart time after it stopped
// answering, since it is expected back.
func (s *hostState) expectedToServe(now, restart time.Duration) bool {
	if s.straggling {
		return false
	}
	return s.up || (s.retiring() && now-s.stateSince < 3*restart)
}

// retiring reports whether the last known incarnation was ordered to retire.
func (s *hostState) retiring() bool {
	return s.retiredIncarnation != "" && s.retiredIncarnation == s.incarnation
}

// countLoss raises the penalty by a loss, unless the host was ordered to retire.
func (s *hostState) countLoss(now time.Duration) {
	if s.retiring() {
		return
	}
	s.penalty, s.penaltyAt = s.currentPenalty(now)+1, now
}

// currentPenalty returns the penalty after its decay until now.
func (s *hostState) currentPenalty(now time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.penaltyAt)/float64(penaltyHalfLife))
}

// updateFlapping compares the penalty with the two thresholds and logs when the host starts to
// flap.
func (s *hostState) updateFlapping(now time.Duration, name string, out *step.Out) {
	p := s.currentPenalty(now)
	if !s.flapping && p >= flappingPenalty-0.5 {
		s.flapping = true
		out.Log(event.HostFlapping, event.F("host", name))
	}
	if s.flapping && p < stablePenalty {
		s.flapping, s.straggling = false, false
	}
}

// hostExcluded reports whether a host must not be in a group because it is leaving or
// operators have taken it out of service.
func (c *Controller) hostExcluded(h *fleet.Host) bool {
	if h.Leaving {
		return true
	}
	o, ok := c.Config.Host(h.Name)
	return ok && o.Out
}

// dataCentreOut reports whether operators have taken a data centre out of service.
func (c *Controller) dataCentreOut(name string) bool {
	o, ok := c.Config.DataCentre(name)
	return ok && o.Out
}

// checksFencing reports whether the engine of a host is known to refuse outdated fencing tokens
// when it serves a model. If nothing is known, the engine counts as not checking them. An
// incarnation that is pinned counts as not checking them for the rest of its life.
func (c *Controller) checksFencing(d *domain, h *fleet.Host, model string) bool {
	if pin, ok := d.value.Pins[h.Name]; ok && pin.Incarnation == h.ConnStatus.Incarnation {
		return false
	}
	if o, ok := c.Config.Host(h.Name); ok && o.ChecksFencing {
		return true
	}
	if h.ConnSent > 0 && h.ConnStatus.ChecksFencing {
		return true
	}
	m, ok := c.Config.Model(model)
	return ok && m.ChecksFencing
}

// remainingAbsence estimates how much longer a host that was lost at since stays away. It
// returns the larger of two values: the rest of the mean absence, and the time that the host
// has been away already.
func remainingAbsence(now, since, mean time.Duration) time.Duration {
	away := now - since
	return max(mean-away, away, 0)
}
