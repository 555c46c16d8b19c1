package coldstart

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Members is the part of the membership that Reaper reads.
type Members interface {
	// Live returns the live daemons, including this one, sorted.
	Live() []string
	// Owners returns up to n live daemons for a duty. The first is its owner.
	Owners(key string, n int) []string
}

// Config is the part of the configuration that Reaper reads.
type Config interface {
	// Objects returns the objects of a kind, sorted by name.
	Objects(kind object.Kind) []object.Object
}

// Reaper removes the objects of daemons that died without removing their own, so that their
// slots are dealt to the other daemons. It first marks an object as leaving, and deletes it
// HoldOffDelay later.
type Reaper struct {
	self        string
	dealer      *Dealer
	daemons     map[string]*unresponsiveDaemon // unresponsive or leaving, by name
	nextCheckAt time.Duration                  // when to check the daemon objects again
}

// unresponsiveDaemon is a daemon that is not live, or whose object is marked as leaving.
type unresponsiveDaemon struct {
	since       time.Duration  // when it was first found so
	markVersion object.Version // version of its object when the mark was seen, zero if it was not
	markedAt    time.Duration  // when the mark was seen
	triedAt     time.Duration  // when a write was last sent, zero if none was
}

const (
	// reapInterval is the interval between two checks of the daemon objects.
	reapInterval = time.Second
	// writeRetryInterval is the interval between two writes for one daemon.
	writeRetryInterval = 3 * time.Second
)

// NewReaper returns a reaper that acts only once the other daemons have acknowledged a set of
// the dealer that contains this daemon.
func NewReaper(self string, dealer *Dealer) *Reaper {
	return &Reaper{self: self, dealer: dealer, daemons: make(map[string]*unresponsiveDaemon)}
}

// Tick checks the daemon objects of the configuration in force. The function next returns a
// new ID for a call. The replies to the calls are not needed, since the watch shows which
// writes took effect.
func (r *Reaper) Tick(now time.Duration, config Config, members Members, next func() step.OpID, out *step.Out) {
	if now < r.nextCheckAt {
		return
	}
	r.nextCheckAt = now + reapInterval
	daemons := config.Objects(object.KindDaemon)
	live := make(map[string]bool)
	for _, name := range members.Live() {
		live[name] = true
	}
	present := make(map[string]bool, len(daemons))
	for _, o := range daemons {
		value, ok := o.Value.(*object.Daemon)
		if !ok {
			continue
		}
		present[o.Name] = true
		switch {
		case o.Name == r.self:
			continue
		case live[o.Name] && !value.Leaving:
			delete(r.daemons, o.Name)
		default:
			r.check(now, o, value, members, next, out)
		}
	}
	for name := range r.daemons {
		if !present[name] {
			delete(r.daemons, name)
		}
	}
}

// check marks or deletes the object of one daemon if that is due and this daemon is
// responsible for it.
func (r *Reaper) check(now time.Duration, o object.Object, value *object.Daemon, members Members, next func() step.OpID, out *step.Out) {
	s, ok := r.daemons[o.Name]
	if !ok {
		s = &unresponsiveDaemon{since: now}
		r.daemons[o.Name] = s
	}
	if value.Leaving && s.markVersion != o.Version {
		s.markVersion, s.markedAt = o.Version, now
	}
	owners := members.Owners("daemon/"+o.Name, 1)
	due := s.triedAt == 0 || now-s.triedAt >= writeRetryInterval
	if !r.dealer.Acknowledged() || len(owners) == 0 || owners[0] != r.self || !due {
		return
	}
	switch {
	case !value.Leaving && now-s.since >= DeadTimeout:
		marked := *value
		marked.Leaving = true
		s.triedAt = now
		out.Add(step.PutObject{Op: next(), Name: o.Name, IfVersion: o.Version, Value: &marked})
		out.Log(event.DaemonMarkedLeaving, event.F("daemon", o.Name), event.F("silence", now-s.since))
	case value.Leaving && now-s.markedAt >= HoldOffDelay:
		s.triedAt = now
		out.Add(step.DeleteObject{Op: next(), Kind: object.KindDaemon, Name: o.Name, IfVersion: o.Version})
		out.Log(event.DaemonRemoved, event.F("daemon", o.Name))
	}
}
