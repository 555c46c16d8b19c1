package core

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// enlistEvery is the least time between two writes of this daemon's own object.
const enlistEvery = time.Second

// enlisted keeps this daemon's object in the platform, by which the others find it,
// and follows theirs. Both go by the watch: nothing is read.
type enlisted struct {
	op      step.OpID // write in flight, zero if none
	triedAt time.Duration
	tried   bool
	gone    bool // the object was taken back
}

// onDaemons takes up the daemon objects in force.
func (s *State) onDaemons(out *step.Out) {
	objects := s.config.Objects(object.KindDaemon)
	s.dealer.SetDaemons(s.config.Applied(), objects)
	var names []string
	var peers []step.Peer
	for _, o := range objects {
		v, ok := o.Value.(*object.Daemon)
		if !ok || v.Leaving {
			continue
		}
		names = append(names, o.Name)
		if o.Name != s.set.Daemon {
			peers = append(peers, step.Peer{Daemon: o.Name, Address: v.Address})
		}
	}
	s.members.SetListed(names)
	out.Add(step.SetPeers{Peers: peers})
}

// enlist writes this daemon's object where it is missing, of an earlier run, or
// marked as leaving while the daemon is not.
func (s *State) enlist(now step.Time, out *step.Out) {
	e := &s.enlisted
	if s.life.stopping || !s.life.platform || e.op != 0 || e.tried && now.Mono-e.triedAt < enlistEvery {
		return
	}
	own, _ := s.config.Object(object.KindDaemon, s.set.Daemon)
	if v, ok := own.Value.(*object.Daemon); ok {
		if v.Incarnation == s.set.Incarnation && !v.Leaving {
			return
		}
		if v.Incarnation != s.set.Incarnation {
			s.dealer.Replaces()
		}
	}
	e.op, e.tried, e.triedAt = s.nextOp(), true, now.Mono
	value := s.set.Registration
	value.Incarnation = s.set.Incarnation
	out.Add(step.PutObject{Op: e.op, Name: s.set.Daemon, IfVersion: own.Version, Value: &value})
}

// delist takes the object back, unless a later daemon of the same name wrote its own.
// It reports whether that is done.
func (s *State) delist(now step.Time, out *step.Out) bool {
	e := &s.enlisted
	if e.gone || e.op != 0 {
		return e.gone
	}
	own, _ := s.config.Object(object.KindDaemon, s.set.Daemon)
	v, ok := own.Value.(*object.Daemon)
	if !ok || v.Incarnation != s.set.Incarnation {
		return true
	}
	if now.Mono-e.triedAt < enlistEvery {
		return false
	}
	e.op, e.triedAt = s.nextOp(), now.Mono
	if s.dealer.Held() {
		// An earlier run of this name may still send to cold targets: the mark makes
		// the others wait before they deal its slots anew.
		left := *v
		left.Leaving = true
		out.Add(step.PutObject{Op: e.op, Name: s.set.Daemon, IfVersion: own.Version, Value: &left})
		return false
	}
	out.Add(step.DeleteObject{Op: e.op, Kind: object.KindDaemon, Name: s.set.Daemon, IfVersion: own.Version})
	return false
}

// onEnlisted takes the answer to a write of the own object; it reports false for others.
func (s *State) onEnlisted(r step.PlatformReply) bool {
	e := &s.enlisted
	if e.op == 0 || r.Op != e.op {
		return false
	}
	e.op = 0
	// What a lost answer hides the watch will show.
	e.gone = s.life.stopping && r.Status == step.ReplyOK
	return true
}
