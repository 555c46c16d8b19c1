// Package core is the daemon's one reducer: events in, effects out. It has no
// clock, randomness, goroutine or I/O of its own, so that the same events always
// give the same effects. Bodies and stream chunks never pass through it.
//
// The entry points are New, State.Reduce and the read-only views in view.go.
package core

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/admit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/claim"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/coldstart"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/conf"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/fleet"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/group"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/member"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/poison"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/request"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/retry"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Settings are what the reducer needs to know of its daemon.
type Settings struct {
	// Member are the times of heartbeats and silence.
	Member      member.Settings
	Daemon      string
	Incarnation string
	DataCentre  string
	// Registration is what the others find of this daemon; the incarnation is added.
	Registration object.Daemon
	Groups       group.Settings
	Claims       claim.Settings
	Poison       poison.Settings
	Retry        retry.Settings
	Admit        admit.Settings
	// StopGrace is how long a stopping daemon still takes new requests after it
	// turned its readiness off.
	StopGrace time.Duration
}

const defaultStopGrace = 2 * time.Second

// Defaults returns the settings of a daemon with everything else as it comes.
func Defaults(daemon, incarnation, dataCentre string) Settings {
	return Settings{
		Daemon: daemon, Incarnation: incarnation, DataCentre: dataCentre,
		Groups: group.Defaults(), Claims: claim.Defaults(), Poison: poison.Defaults(), Retry: retry.Defaults(), Admit: admit.Defaults(),
		StopGrace: defaultStopGrace, Member: member.Defaults(),
	}
}

// State is everything that one daemon knows. It is not safe for concurrent use.
type State struct {
	set      Settings
	ops      step.OpID
	config   *conf.Table
	members  *member.Table
	fleet    *fleet.View
	dealer   *coldstart.Dealer
	reaper   *coldstart.Reaper
	groups   *group.Controller
	claims   *claim.Manager
	poison   *poison.Book
	limits   *limits
	requests *request.Manager
	enlisted enlisted
	life     life
}

// New returns the state of a daemon that has heard nothing yet.
func New(set Settings) *State {
	s := &State{set: set}
	s.config = conf.New()
	s.members = member.New(set.Daemon, set.Member)
	s.fleet = fleet.New(set.Daemon, s.config, s.members)
	s.dealer = coldstart.NewDealer(set.Daemon, set.Incarnation)
	s.reaper = coldstart.NewReaper(set.Daemon, s.dealer)
	s.fleet.SetDealer(s.dealer)
	s.groups = group.New(set.Groups, group.Parts{
		Daemon: set.Daemon, Incarnation: set.Incarnation,
		Config: s.config, Members: s.members, Fleet: s.fleet, Next: s.nextOp,
	})
	s.claims = claim.New(set.Claims, owners{s}, s.nextOp)
	s.poison = poison.New(set.Poison)
	s.limits = newLimits(s)
	s.requests = request.New(request.Parts{
		DataCentre: set.DataCentre,
		Fleet:      s.fleet,
		Config:     s.config,
		Limits:     s.limits,
		Claims:     s.claims,
		Poison:     s.poison,
		Retry:      set.Retry,
		Admit:      set.Admit,
	})
	return s
}

func (s *State) nextOp() step.OpID {
	s.ops++
	return s.ops
}

// owners gives the claims the daemon's name beside the membership.
type owners struct{ s *State }

func (o owners) Self() string            { return o.s.set.Daemon }
func (o owners) Owner(key string) string { return o.s.members.Owner(key) }

// Reduce takes one event and returns what is to be done about it, in order.
func (s *State) Reduce(now step.Time, ev step.Event) []step.Effect {
	out := &step.Out{}
	s.members.Advance(now.Mono, out)
	s.dealer.Advance(now.Mono)
	s.requests.Hold(!s.members.MayServe())
	switch e := ev.(type) {
	case step.Tick:
		s.tick(now, out)
	case step.Wake:
		s.claims.Wake(now, out)
	case step.Request:
		s.requests.On(now, e, out)
	case step.CallerGone:
		s.requests.OnGone(now, e.ID, out)
	case step.AttemptEnded:
		s.requests.OnEnded(now, e, out)
	case step.PlatformReply:
		s.onReply(now, e, out)
	case step.ConfigBatch:
		s.configured(now, s.config.ApplyBatch(e, out), out)
	case step.ObjectRead:
		s.configured(now, s.config.Learn(e.Object, out), out)
	case step.PlatformState:
		s.onPlatform(e, out)
	case step.HostList:
		s.fleet.HostList(now, e)
	case step.HostReport:
		s.onReport(now, e, out)
	case step.OrderReply:
		s.groups.OnOrderReply(now, e, out)
	case step.PeerUp:
		s.members.Up(e, out)
	case step.PeerDown:
		s.members.Down(e, out)
		s.limits.rates.Gone(e.Daemon)
		s.fleet.PeerDown(e.Daemon)
		s.dealer.PeerDown(e.Daemon)
	case step.PeerMessage:
		s.onMessage(now, e.From, e.Message, out)
	case step.Stop:
		s.stop(now, out)
	}
	s.requests.OnClaims(now, out)
	s.life.advance(s, now, out)
	return out.Effects
}

func (s *State) tick(now step.Time, out *step.Out) {
	s.members.Tick(step.Heartbeat{
		Incarnation: s.set.Incarnation,
		Applied:     s.config.Applied(),
		Newest:      s.config.Newest(),
		Leaving:     s.life.stopping,
		Loads:       s.fleet.Loads(),
		Held:        s.dealer.Held(),
		Demands:     s.limits.rates.Demands(),
	}, out)
	s.enlist(now, out)
	s.reaper.Tick(now.Mono, s.config, s.members, s.nextOp, out)
	s.fleet.Tick(now, out)
	s.groups.Tick(now, out)
	s.claims.Tick(now, out)
	s.poison.Tick(now)
	s.limits.tick(now, out)
	s.requests.Tick(now, out)
}

func (s *State) configured(now step.Time, changed bool, out *step.Out) {
	if !changed {
		s.dealer.SetDaemons(s.config.Applied(), s.config.Objects(object.KindDaemon))
		return
	}
	s.onDaemons(out)
	s.fleet.ConfigChanged(now)
	s.requests.Tick(now, out)
}

func (s *State) onReply(now step.Time, r step.PlatformReply, out *step.Out) {
	if s.claims.OnReply(now, r, out) || s.onEnlisted(r) {
		return
	}
	if s.limits.accounts.OnReply(now, r, out) {
		s.requests.Reserve(now, out)
		return
	}
	s.groups.OnReply(now, r, out)
}

func (s *State) onPlatform(e step.PlatformState, out *step.Out) {
	s.members.SetPlatform(e)
	if e.Reachable {
		s.dealer.Confirm(e.Asked)
	}
	if e.Reachable == s.life.platform {
		return
	}
	s.life.platform = e.Reachable
	if e.Reachable {
		out.Log(event.PlatformBack)
	} else {
		out.Log(event.PlatformLost)
	}
}

func (s *State) onReport(now step.Time, r step.HostReport, out *step.Out) {
	s.fleet.HostReport(now, r)
	if r.OK {
		s.poison.Seen(now, r.Sent, r.Host, r.Status.Incarnation, out)
	}
}

func (s *State) onMessage(now step.Time, from string, m step.Message, out *step.Out) {
	switch m := m.(type) {
	case step.Heartbeat:
		s.members.Heartbeat(from, m)
		s.fleet.Heartbeat(now, from, m)
		s.dealer.Heartbeat(from, m)
		s.limits.rates.Heard(from, m.Demands)
	case step.ConfigAsk:
		s.onConfigAsk(from, m, out)
	case step.ConfigDelta:
		s.configured(now, s.config.ApplyDelta(from, m, out), out)
		s.members.Proven(m.Nonce)
	case step.Digest:
		s.onDigest(now, from, m, out)
	case step.Suspect:
		s.poison.Heard(now, m)
	case step.ClaimAsk:
		s.claims.OnAsk(now, from, m, out)
	case step.ClaimReply:
		s.claims.OnAnswer(now, m, out)
	case step.UsageHandoff:
		s.limits.accounts.OnHandoff(from, m, out)
	case step.UsageTaken:
		s.limits.accounts.OnTaken(m)
	case step.Goodbye:
		s.members.Goodbye(from, m)
		s.limits.rates.Gone(from)
		s.fleet.PeerDown(from)
		s.dealer.PeerDown(from)
	}
}

// onConfigAsk answers a peer. One that asks for proof is answered only by a daemon that
// may serve itself.
func (s *State) onConfigAsk(from string, ask step.ConfigAsk, out *step.Out) {
	if ask.Nonce != 0 && !s.members.MayServe() {
		return
	}
	s.config.Answer(from, ask, out)
}

func (s *State) onDigest(now step.Time, from string, d step.Digest, out *step.Out) {
	s.fleet.Digest(now, from, d)
	for _, r := range d.Reports {
		if r.OK {
			s.poison.Seen(now, now.Mono-r.Age, r.Host, r.Incarnation, out)
		}
	}
}
