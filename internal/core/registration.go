package core

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// registrationInterval is the minimum time between two writes of this daemon's own object. A
// write that failed, or that the watch does not show yet, is repeated after this interval.
const registrationInterval = time.Second

// registration maintains this daemon's object in the platform, by which other daemons find it.
// The state of the object, and of the other daemons' objects, comes from the watch; the
// reducer never reads them.
type registration struct {
	writeOp      step.OpID     // write or delete in flight, zero if none
	lastWriteAt  time.Duration // when writeOp was last sent
	attempted    bool          // register has sent a write, so lastWriteAt is valid
	deregistered bool          // a write succeeded after the stop began; see onRegistrationReply
}

// onDaemonObjects applies the daemon objects in force: it updates the dealer of cold slots, the
// membership and the peers to link with. Daemons marked as leaving are skipped as members and
// peers.
func (s *State) onDaemonObjects(out *step.Out) {
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
		if o.Name != s.settings.Daemon {
			peers = append(peers, step.Peer{Daemon: o.Name, Address: v.Address})
		}
	}
	s.members.SetListed(names)
	out.Add(step.SetPeers{Peers: peers})
}

// register writes this daemon's object if it is missing, belongs to an earlier run, or is marked
// as leaving although the daemon is not stopping.
func (s *State) register(now step.Time, out *step.Out) {
	reg := &s.registration
	if s.lifecycle.stopping || !s.lifecycle.platformReachable || reg.writeOp != 0 || reg.attempted && now.Mono-reg.lastWriteAt < registrationInterval {
		return
	}
	own, _ := s.config.Object(object.KindDaemon, s.settings.Daemon)
	if v, ok := own.Value.(*object.Daemon); ok {
		if v.Incarnation == s.settings.Incarnation && !v.Leaving {
			return
		}
		if v.Incarnation != s.settings.Incarnation {
			s.dealer.StartHoldOff()
		}
	}
	reg.writeOp, reg.attempted, reg.lastWriteAt = s.nextOp(), true, now.Mono
	value := s.settings.Registration
	value.Incarnation = s.settings.Incarnation
	out.Add(step.PutObject{Op: reg.writeOp, Name: s.settings.Daemon, IfVersion: own.Version, Value: &value})
}

// deregister deletes this daemon's object, unless another run of the same name has replaced
// it. It reports whether nothing is left to do.
func (s *State) deregister(now step.Time, out *step.Out) bool {
	reg := &s.registration
	if reg.deregistered || reg.writeOp != 0 {
		return reg.deregistered
	}
	own, _ := s.config.Object(object.KindDaemon, s.settings.Daemon)
	v, ok := own.Value.(*object.Daemon)
	if !ok || v.Incarnation != s.settings.Incarnation {
		return true
	}
	if now.Mono-reg.lastWriteAt < registrationInterval {
		return false
	}
	reg.writeOp, reg.lastWriteAt = s.nextOp(), now.Mono
	if s.dealer.HoldingOff() {
		// An earlier run of this name may still send to cold targets. Marking the object as
		// leaving instead of deleting it makes the other daemons wait before they redistribute
		// its slots.
		left := *v
		left.Leaving = true
		out.Add(step.PutObject{Op: reg.writeOp, Name: s.settings.Daemon, IfVersion: own.Version, Value: &left})
		return false
	}
	out.Add(step.DeleteObject{Op: reg.writeOp, Kind: object.KindDaemon, Name: s.settings.Daemon, IfVersion: own.Version})
	return false
}

// onRegistrationReply handles the reply to a write of this daemon's own object. It reports false
// if the reply belongs to another call.
func (s *State) onRegistrationReply(r step.PlatformReply) bool {
	reg := &s.registration
	if reg.writeOp == 0 || r.Op != reg.writeOp {
		return false
	}
	reg.writeOp = 0
	// If the reply was lost, the watch shows later whether the write took effect.
	reg.deregistered = s.lifecycle.stopping && r.Status == step.ReplyOK
	return true
}
