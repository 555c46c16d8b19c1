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
	// penaltyHalf is the time in which a host's penalty for its losses halves.
	penaltyHalf = 5 * time.Minute
	// flapsFrom is the penalty from which a host is left out of new groups, and
	// flapsUntil the one below which it is taken again. One loss counts 1.
	flapsFrom  = 3
	flapsUntil = 1.5
	// stormFor is how long changes wait after half of a domain's hosts were lost.
	stormFor = 15 * time.Second
)

// hostState is what the holder of a domain has seen of a host.
type hostState struct {
	known       bool
	up          bool
	since       time.Duration // of the present state
	incarnation string
	retired     string // incarnation that was told to end
	penalty     float64
	penaltyAt   time.Duration
	flapping    bool
	straggling  bool          // holds its group up
	freeSince   time.Duration // since when it holds a group that it is no member of
	order       lastOrder
}

// lastOrder is the order that was last sent to a host.
type lastOrder struct {
	kind        engineapi.OrderKind
	incarnation string
	group       string
	generation  uint64
	fence       uint64
	sent        time.Duration
}

// mean is a running mean of durations.
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

func (m *mean) or(d time.Duration) time.Duration {
	if m == nil || !m.known {
		return d
	}
	return m.value
}

// watchHosts follows the hosts' coming and going.
func (c *Controller) watchHosts(now time.Duration, d *domain, out *step.Out) {
	lost, up, total := 0, 0, 0
	for _, name := range c.hostsAndMembers(d) {
		h, ok := c.Fleet.Host(name)
		s := d.host(name)
		if !ok {
			h = &fleet.Host{Name: name} // gone from the list, and silent
		}
		s.follow(now, d, h)
		s.judge(now, name, out)
		total++
		if s.up {
			up++
		} else if now-s.since < stormFor && s.incarnation != "" && !s.ending() {
			lost++
		}
	}
	dark := up == 0
	if dark && !d.dark && total > 0 {
		out.Log(event.DomainDark, event.F("domain", d.name), event.F("hosts", total))
	}
	d.dark = dark
	d.storm = lost > 1 && 2*lost >= total
}

// hostsAndMembers returns the domain's listed hosts and its groups' members, sorted.
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

// follow takes up whether the host answers and as which incarnation.
func (s *hostState) follow(now time.Duration, d *domain, h *fleet.Host) {
	up := h.Report.OK && h.Report.Fresh(now)
	inc := h.Report.Incarnation
	switch {
	case !s.known:
		s.known, s.up, s.since = true, up, now
	case s.up && !up:
		s.up, s.since = false, now
		s.blame(now)
	case !s.up && up:
		if s.incarnation == inc {
			d.pauses.add(now - s.since)
		} else if s.ending() {
			d.restarts.add(now - s.since)
		} else if s.incarnation != "" {
			d.returns.add(now - s.since)
		}
		s.up, s.since = true, now
	case up && s.incarnation != "" && inc != s.incarnation:
		s.blame(now)
	}
	if up {
		s.incarnation = inc
	}
}

// serves reports whether the host can be counted on as a member. One that was told to
// end is expected back soon.
func (s *hostState) serves(now, restart time.Duration) bool {
	if s.straggling {
		return false
	}
	return s.up || (s.ending() && now-s.since < 3*restart)
}

// ending reports whether the last known incarnation was told to end.
func (s *hostState) ending() bool { return s.retired != "" && s.retired == s.incarnation }

// blame counts a loss against the host, unless it was told to end.
func (s *hostState) blame(now time.Duration) {
	if s.ending() {
		return
	}
	s.penalty, s.penaltyAt = s.decayed(now)+1, now
}

func (s *hostState) decayed(now time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.penaltyAt)/float64(penaltyHalf))
}

func (s *hostState) judge(now time.Duration, name string, out *step.Out) {
	p := s.decayed(now)
	if !s.flapping && p >= flapsFrom-0.5 {
		s.flapping = true
		out.Log(event.HostFlapping, event.F("host", name))
	}
	if s.flapping && p < flapsUntil {
		s.flapping, s.straggling = false, false
	}
}

// leavingHost reports whether a host must not be in a group: it leaves, or operators
// have taken it out.
func (c *Controller) leavingHost(h *fleet.Host) bool {
	if h.Leaving {
		return true
	}
	o, ok := c.Config.Host(h.Name)
	return ok && o.Out
}

func (c *Controller) centreOut(name string) bool {
	o, ok := c.Config.DataCentre(name)
	return ok && o.Out
}

// checks reports whether a host's engine is known to refuse old fencing numbers when
// it serves a model. Until told, it counts as not checking; an incarnation that is
// pinned stays so.
func (c *Controller) checks(d *domain, h *fleet.Host, model string) bool {
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

// remaining estimates how long a host that went at since stays away: the mean that
// was seen, and once that has passed, as long again as it has been away.
func remaining(now, since, mean time.Duration) time.Duration {
	away := now - since
	return max(mean-away, away, 0)
}
