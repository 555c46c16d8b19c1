package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/coldstart"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	// warmLimitInterval is the time between two updates of a warm target's limit. It must not be
	// shorter than the heartbeat interval, since heartbeats carry the peers' loads.
	warmLimitInterval = time.Second
	// defaultRampDuration is the time in which the limit of a target rises to its full value
	// after operators have returned the target to service. The data centre's rampSeconds
	// replaces it.
	defaultRampDuration = 30 * time.Second
)

// Dealer divides the slots of targets among the daemons. A slot is the right to have one request
// in flight.
type Dealer interface {
	// Share returns how many slots of a cold target this daemon may use.
	Share(target string, slots int) int
	// Daemons returns the daemons that share the slots, sorted.
	Daemons() []string
	// Forget drops the state of a removed target.
	Forget(target string)
}

// SetDealer sets the dealer. Without a dealer this daemon uses all slots.
func (v *View) SetDealer(d Dealer) { v.dealer = d }

// incarnationsHash returns a hash of the target's generation and its members' incarnations. It
// changes when the target is formed again or a member restarts.
func (t *Target) incarnationsHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	var generation [8]byte
	binary.LittleEndian.PutUint64(generation[:], t.generation)
	_, _ = d.Write(generation[:])
	for _, h := range t.members {
		_, _ = d.WriteString(h.Report.Incarnation)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// updateWarmth updates the warmth of a routable target after a report. If the target has just
// become routable, it is cold, for whatever reason it was not routable before.
func (v *View) updateWarmth(now step.Time, t *Target, newlyRoutable bool) {
	answered := t.members[0].Report.Answered
	if newlyRoutable {
		t.warmth.Reset(t.incarnationsHash(), answered)
		t.limitSetAt = now.Mono - warmLimitInterval
	} else if !t.warmth.Identify(t.incarnationsHash(), answered) && !t.warmingUp {
		return
	}
	v.updateLimit(now, t)
}

// updateLimit sets the number of requests that this daemon may have in flight at a target. A cold
// target's limit is updated at each call, a warm one's every warmLimitInterval.
func (v *View) updateLimit(now step.Time, t *Target) {
	limits := v.limits(t)
	slots, warm := t.warmth.Limit(limits)
	ramped := t.rampLimit(now.Mono, limits)
	if ramped < slots {
		slots, warm = ramped, false
	}
	t.warmingUp = !warm
	switch {
	case !warm && v.dealer == nil:
		t.Limit = slots
	case !warm:
		t.Limit = v.dealer.Share(t.Name, slots)
		t.limitSetAt = now.Mono - warmLimitInterval
	case now.Mono-t.limitSetAt >= warmLimitInterval:
		t.Limit = v.warmLimit(now, t, slots)
		t.limitSetAt = now.Mono
	}
}

// rampLimit returns the upper bound on the limit of a target after its return to service. Over
// rampDuration it rises in proportion to time up to the warm limit, but is at least the cold
// limit.
func (t *Target) rampLimit(now time.Duration, l coldstart.Limits) int {
	if t.rampDuration == 0 || now-t.returnedAt >= t.rampDuration {
		return l.Warm
	}
	return max(l.Cold, int(int64(l.Warm)*int64(now-t.returnedAt)/int64(t.rampDuration)))
}

// warmLimit returns this daemon's limit at a warm target: its requests in flight plus its share of
// the slots that are free according to the last heartbeats.
//
// The shares of all daemons add up to the free slots, so the total stays near the target's limit,
// while a daemon with more work gets further slots with each update. The remainder of the
// division goes to other daemons every second, by the wall clock; if the daemons' clocks differ,
// the total is off by a few slots. The shares of unresponsive daemons stay reserved for them.
func (v *View) warmLimit(now step.Time, t *Target, slots int) int {
	daemons := v.liveDaemons
	if v.dealer != nil && len(v.dealer.Daemons()) > 0 {
		daemons = v.dealer.Daemons()
	}
	round := uint64(now.Unix) / uint64(warmLimitInterval.Milliseconds())
	free := slots - t.InFlight - t.PeerInFlight
	for _, name := range daemons {
		if _, live := slices.BinarySearch(v.liveDaemons, name); !live {
			free -= coldstart.ShareOf(daemons, name, t.Name, 0, slots)
		}
	}
	if len(daemons) == 0 {
		return slots
	}
	return t.InFlight + coldstart.ShareOf(daemons, v.self, t.Name, round, max(0, free))
}

func (v *View) limits(t *Target) coldstart.Limits {
	if t.Model != "" {
		if m, ok := v.config.Model(t.Model); ok {
			return coldstart.Limits{Cold: m.ColdLimit, Warm: m.WarmLimit, AnswersToWarm: m.WarmAfter}
		}
	}
	if s, ok := v.config.Service(t.Service); ok && t.Service != "" {
		return coldstart.Limits{Cold: s.ColdLimit, Warm: s.WarmLimit, AnswersToWarm: s.WarmAfter}
	}
	return coldstart.Limits{Cold: 1, Warm: 1}
}

// startRamp starts the gradual return of load to a target that operators have returned to
// service.
func (v *View) startRamp(now step.Time, t *Target) {
	t.returnedAt, t.rampDuration = now.Mono, defaultRampDuration
	if c, ok := v.config.DataCentre(t.DataCentre); ok && c.RampSeconds > 0 {
		t.rampDuration = time.Duration(c.RampSeconds) * time.Second
	}
}
