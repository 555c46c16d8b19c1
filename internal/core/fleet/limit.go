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
	// warmEvery is the interval at which a warm target's limit is set anew. It is no
	// shorter than the heartbeats that tell the peers' loads.
	warmEvery = time.Second
	// defaultRamp is how long load takes to return to a data centre taken back in.
	defaultRamp = 30 * time.Second
)

// Dealer deals the slots of targets over the daemons.
type Dealer interface {
	// Share returns how many slots of a cold target this daemon may use.
	Share(target string, slots int) int
	// Daemons returns the daemons that slots are dealt over, sorted.
	Daemons() []string
	// Forget drops what is kept of a target that is gone.
	Forget(target string)
}

// SetDealer sets who deals the slots. Without one this daemon counts as alone.
func (v *View) SetDealer(d Dealer) { v.dealer = d }

// identity names the run of a target: its generation and its members' incarnations.
func (t *Target) identity() uint64 {
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

// warm follows the reports of a routable target. One that was not routable a moment
// ago, for whatever reason, is cold.
func (v *View) warm(now step.Time, t *Target, returned bool) {
	answered := t.members[0].Report.Answered
	if returned {
		t.warmth.Reset(t.identity(), answered)
		t.limitAt = now.Mono - warmEvery
	} else if !t.warmth.Identify(t.identity(), answered) && !t.rising {
		return
	}
	v.limit(now, t)
}

// limit sets the number of requests that this daemon may have in flight at a target.
func (v *View) limit(now step.Time, t *Target) {
	limits := v.limits(t)
	slots, warm := t.warmth.Limit(limits)
	ramped := t.ramped(now.Mono, limits)
	if ramped < slots {
		slots, warm = ramped, false
	}
	t.rising = !warm
	switch {
	case !warm && v.dealer == nil:
		t.Limit = slots
	case !warm:
		t.Limit = v.dealer.Share(t.Name, slots)
		t.limitAt = now.Mono - warmEvery
	case now.Mono-t.limitAt >= warmEvery:
		t.Limit = v.warmLimit(now, t, slots)
		t.limitAt = now.Mono
	}
}

// ramped bounds the limit of a target that was taken out and has returned.
func (t *Target) ramped(now time.Duration, l coldstart.Limits) int {
	if t.ramp == 0 || now-t.returnedAt >= t.ramp {
		return l.Warm
	}
	return max(l.Cold, int(int64(l.Warm)*int64(now-t.returnedAt)/int64(t.ramp)))
}

// warmLimit returns what this daemon has in flight and its part of the slots that
// are free by the last heartbeats. Parts of all daemons add up to the free slots, so
// the sum stays near the limit, while a daemon with more work gets further slots each
// time. Who gets the odd ones changes from second to second, by the wall clock: where
// clocks differ the sum is off by a few slots. The parts of daemons that are not
// heard are left to them.
func (v *View) warmLimit(now step.Time, t *Target, slots int) int {
	daemons := v.live
	if v.dealer != nil && len(v.dealer.Daemons()) > 0 {
		daemons = v.dealer.Daemons()
	}
	round := uint64(now.Unix) / uint64(warmEvery.Milliseconds())
	free := slots - t.InFlight - t.PeerInFlight
	for _, name := range daemons {
		if _, heard := slices.BinarySearch(v.live, name); !heard {
			free -= coldstart.Part(daemons, name, t.Name, 0, slots)
		}
	}
	if len(daemons) == 0 {
		return slots
	}
	return t.InFlight + coldstart.Part(daemons, v.self, t.Name, round, max(0, free))
}

func (v *View) limits(t *Target) coldstart.Limits {
	if t.Model != "" {
		if m, ok := v.config.Model(t.Model); ok {
			return coldstart.Limits{Cold: m.ColdLimit, Warm: m.WarmLimit, After: m.WarmAfter}
		}
	}
	if s, ok := v.config.Service(t.Service); ok && t.Service != "" {
		return coldstart.Limits{Cold: s.ColdLimit, Warm: s.WarmLimit, After: s.WarmAfter}
	}
	return coldstart.Limits{Cold: 1, Warm: 1}
}

// centreBack notes that operators have taken a target back in.
func (v *View) centreBack(now step.Time, t *Target) {
	t.returnedAt, t.ramp = now.Mono, defaultRamp
	if c, ok := v.config.DataCentre(t.DataCentre); ok && c.RampSeconds > 0 {
		t.ramp = time.Duration(c.RampSeconds) * time.Second
	}
}
