package coldstart

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Members is the part of the membership that Reaper reads.
type Members interface {
	// Live returns the live daemons, sorted, with this one.
	Live() []string
	// Owners returns up to n live daemons for a duty, the first being its owner.
	Owners(key string, n int) []string
}

// Config is the part of the configuration that Reaper reads.
type Config interface {
	// Objects returns a kind's objects, sorted by name.
	Objects(kind object.Kind) []object.Object
}

// Reaper removes the objects of daemons that died without taking leave, so that
// their slots are dealt anew.
type Reaper struct {
	self    string
	dealer  *Dealer
	daemons map[string]*silent
	next    time.Duration // when to look again
}

// silent is a daemon that is not heard.
type silent struct {
	since   time.Duration  // when its silence began
	version object.Version // of its object when the mark was seen
	marked  time.Duration  // when the mark was seen
	tried   time.Duration  // when a write was last sent
}

const (
	// lookEvery is the interval between two looks at the daemon objects.
	lookEvery = time.Second
	// retryEvery is the interval between two writes for one daemon.
	retryEvery = 3 * time.Second
)

// NewReaper returns a reaper that acts once the dealer's set is acknowledged.
func NewReaper(self string, dealer *Dealer) *Reaper {
	return &Reaper{self: self, dealer: dealer, daemons: make(map[string]*silent)}
}

// Tick looks at the daemon objects of the configuration in force. Next mints the ID
// of a call; the replies need not be handed back, since the watch shows what took
// effect.
func (r *Reaper) Tick(now time.Duration, config Config, members Members, next func() step.OpID, out *step.Out) {
	if now < r.next {
		return
	}
	r.next = now + lookEvery
	daemons := config.Objects(object.KindDaemon)
	heard := make(map[string]bool)
	for _, name := range members.Live() {
		heard[name] = true
	}
	seen := make(map[string]bool, len(daemons))
	for _, o := range daemons {
		value, ok := o.Value.(*object.Daemon)
		if !ok {
			continue
		}
		seen[o.Name] = true
		switch {
		case o.Name == r.self:
			continue
		case heard[o.Name] && !value.Leaving:
			delete(r.daemons, o.Name)
		default:
			r.look(now, o, value, members, next, out)
		}
	}
	for name := range r.daemons {
		if !seen[name] {
			delete(r.daemons, name)
		}
	}
}

func (r *Reaper) look(now time.Duration, o object.Object, value *object.Daemon, members Members, next func() step.OpID, out *step.Out) {
	s, ok := r.daemons[o.Name]
	if !ok {
		s = &silent{since: now}
		r.daemons[o.Name] = s
	}
	if value.Leaving && s.version != o.Version {
		s.version, s.marked = o.Version, now
	}
	owners := members.Owners("daemon/"+o.Name, 1)
	due := s.tried == 0 || now-s.tried >= retryEvery
	if !r.dealer.Acknowledged() || len(owners) == 0 || owners[0] != r.self || !due {
		return
	}
	switch {
	case !value.Leaving && now-s.since >= DeadAfter:
		marked := *value
		marked.Leaving = true
		s.tried = now
		out.Add(step.PutObject{Op: next(), Name: o.Name, IfVersion: o.Version, Value: &marked})
		out.Log(event.DaemonMarked, event.F("daemon", o.Name), event.F("silence", now-s.since))
	case value.Leaving && now-s.marked >= HoldOff:
		s.tried = now
		out.Add(step.DeleteObject{Op: next(), Kind: object.KindDaemon, Name: o.Name, IfVersion: o.Version})
		out.Log(event.DaemonRemoved, event.F("daemon", o.Name))
	}
}
