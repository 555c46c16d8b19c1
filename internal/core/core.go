// Package core implements the daemon's reducer. State.Reduce takes one event (a request, a
// reply, a report, a peer's message, a tick) and returns the effects that the daemon's loop
// carries out (sending a request, writing an object, logging). Packages daemon and
// test/sessions drive it.
//
// The reducer reads no clock, draws no random numbers, starts no goroutine and does no I/O, so
// the same events always give the same effects. Request bodies and streams do not pass through
// it. The complete answer of a service does, in step.AttemptEnded, because a small one is
// recorded with the claim of its idempotency key.
//
// The state combines the packages below internal/core: the configuration in force (conf), the
// membership of daemons (member), the targets (fleet, coldstart), the groups of engines
// (group), idempotency claims (claim), quarantine (poison), contract limits (limit, account)
// and the requests themselves (request).
//
// A daemon is ready once it has a configuration in force and is not cut off. After step.Stop it
// first turns its readiness off, then refuses new requests and finishes the ones in flight. It
// then completes the writes of its claims, settles its usage, returns its groups and its slices
// of allowances, deletes its registration and exits.
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

// Settings configure the reducer of one daemon.
type Settings struct {
	// Member sets the heartbeat interval and the time without a heartbeat after which a peer is
	// no longer live.
	Member member.Settings
	// Daemon, Incarnation and DataCentre identify this run of this daemon.
	Daemon      string
	Incarnation string
	DataCentre  string
	// Registration is this daemon's object in the platform, by which other daemons find it. The
	// reducer fills in the incarnation.
	Registration object.Daemon
	Groups       group.Settings
	Claims       claim.Settings
	Poison       poison.Settings
	Retry        retry.Settings
	Admit        admit.Settings
	// StopGrace is how long a stopping daemon still accepts new requests after it has turned its
	// readiness off, so that the load balancer can notice first.
	StopGrace time.Duration
}

const defaultStopGrace = 2 * time.Second

// Defaults returns the default settings for a daemon. Registration stays empty.
func Defaults(daemon, incarnation, dataCentre string) Settings {
	return Settings{
		Daemon: daemon, Incarnation: incarnation, DataCentre: dataCentre,
		Groups: group.Defaults(), Claims: claim.Defaults(), Poison: poison.Defaults(), Retry: retry.Defaults(), Admit: admit.Defaults(),
		StopGrace: defaultStopGrace, Member: member.Defaults(),
	}
}

// State is the whole state of one daemon's reducer. It is not safe for concurrent use.
type State struct {
	settings     Settings
	lastOp       step.OpID         // last number given to a call; see nextOp
	config       *conf.Table       // configuration in force
	members      *member.Table     // live and known daemons
	fleet        *fleet.View       // hosts and targets
	dealer       *coldstart.Dealer // this daemon's share of the slots of cold targets
	reaper       *coldstart.Reaper // marks and removes the objects of dead daemons
	groups       *group.Controller // assignment of hosts to groups
	claims       *claim.Manager    // claims of idempotency keys
	poison       *poison.Tracker   // requests in quarantine
	limits       *limits           // contract limits
	requests     *request.Manager  // requests without a final answer
	registration registration      // this daemon's own object
	lifecycle    lifecycle
}

// New returns the initial state: no configuration, no peers and no targets are known.
func New(set Settings) *State {
	s := &State{settings: set}
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
	s.lastOp++
	return s.lastOp
}

// owners implements claim.Owners over the membership.
type owners struct{ s *State }

func (o owners) Self() string            { return o.s.settings.Daemon }
func (o owners) Owner(key string) string { return o.s.members.Owner(key) }

// Reduce applies one event that happened at now and returns the resulting effects, in the order
// in which the loop must carry them out.
func (s *State) Reduce(now step.Time, ev step.Event) []step.Effect {
	out := &step.Out{}
	s.members.Advance(now.Mono, out)
	s.dealer.Advance(now.Mono)
	s.requests.SetPaused(!s.members.MayServe())
	switch e := ev.(type) {
	case step.Tick:
		s.tick(now, out)
	case step.Wake:
		s.claims.Wake(now, out)
	case step.Request:
		s.requests.OnRequest(now, e, out)
	case step.CallerGone:
		s.requests.OnCallerGone(now, e.ID, out)
	case step.AttemptEnded:
		s.requests.OnEnded(now, e, out)
	case step.PlatformReply:
		s.onPlatformReply(now, e, out)
	case step.ConfigBatch:
		s.onConfig(now, s.config.ApplyBatch(e, out), out)
	case step.ObjectRead:
		s.onConfig(now, s.config.ApplyObject(e.Object, out), out)
	case step.PlatformState:
		s.onPlatformState(e, out)
	case step.HostList:
		s.fleet.HostList(now, e)
	case step.HostReport:
		s.onHostReport(now, e, out)
	case step.OrderReply:
		s.groups.OnOrderReply(now, e, out)
	case step.PeerUp:
		s.members.PeerUp(e, out)
	case step.PeerDown:
		s.members.PeerDown(e, out)
		s.limits.rates.RemovePeer(e.Daemon)
		s.fleet.PeerDown(e.Daemon)
		s.dealer.PeerDown(e.Daemon)
	case step.PeerMessage:
		s.onMessage(now, e.From, e.Message, out)
	case step.Stop:
		s.stop(now, out)
	}
	s.requests.OnClaims(now, out)
	s.lifecycle.advance(s, now, out)
	return out.Effects
}

func (s *State) tick(now step.Time, out *step.Out) {
	s.members.Tick(step.Heartbeat{
		Incarnation: s.settings.Incarnation,
		Applied:     s.config.Applied(),
		Newest:      s.config.Newest(),
		Leaving:     s.lifecycle.stopping,
		Loads:       s.fleet.Loads(),
		Held:        s.dealer.HoldingOff(),
		Demands:     s.limits.rates.Demands(),
	}, out)
	s.register(now, out)
	s.reaper.Tick(now.Mono, s.config, s.members, s.nextOp, out)
	s.fleet.Tick(now, out)
	s.groups.Tick(now, out)
	s.claims.Tick(now, out)
	s.poison.Tick(now)
	s.limits.tick(now, out)
	s.requests.Tick(now, out)
}

func (s *State) onConfig(now step.Time, changed bool, out *step.Out) {
	if !changed {
		s.dealer.SetDaemons(s.config.Applied(), s.config.Objects(object.KindDaemon))
		return
	}
	s.onDaemonObjects(out)
	s.fleet.ConfigChanged(now)
	s.requests.Tick(now, out)
}

func (s *State) onPlatformReply(now step.Time, r step.PlatformReply, out *step.Out) {
	if s.claims.OnReply(now, r, out) || s.onRegistrationReply(r) {
		return
	}
	if s.limits.accounts.OnReply(now, r, out) {
		s.requests.RetryReservations(now, out)
		return
	}
	s.groups.OnReply(now, r, out)
}

func (s *State) onPlatformState(e step.PlatformState, out *step.Out) {
	s.members.SetPlatform(e)
	if e.Reachable {
		s.dealer.Confirm(e.Asked)
	}
	if e.Reachable == s.lifecycle.platformReachable {
		return
	}
	s.lifecycle.platformReachable = e.Reachable
	if e.Reachable {
		out.Log(event.PlatformReachable)
	} else {
		out.Log(event.PlatformUnreachable)
	}
}

func (s *State) onHostReport(now step.Time, r step.HostReport, out *step.Out) {
	s.fleet.HostReport(now, r)
	if r.OK {
		s.poison.OnReport(now, r.Sent, r.Host, r.Status.Incarnation, out)
	}
}

func (s *State) onMessage(now step.Time, from string, m step.Message, out *step.Out) {
	switch m := m.(type) {
	case step.Heartbeat:
		s.members.Heartbeat(from, m)
		s.fleet.Heartbeat(now, from, m)
		s.dealer.Heartbeat(from, m)
		s.limits.rates.SetPeerDemands(from, m.Demands)
	case step.ConfigAsk:
		s.onConfigAsk(from, m, out)
	case step.ConfigDelta:
		s.onConfig(now, s.config.ApplyDelta(from, m, out), out)
		s.members.OnProof(m.Nonce)
	case step.Digest:
		s.onDigest(now, from, m, out)
	case step.Suspect:
		s.poison.OnSuspect(now, m)
	case step.ClaimAsk:
		s.claims.OnClaimAsk(now, from, m, out)
	case step.ClaimReply:
		s.claims.OnClaimReply(now, m, out)
	case step.UsageHandoff:
		s.limits.accounts.OnHandoff(from, m, out)
	case step.UsageTaken:
		s.limits.accounts.OnUsageTaken(m)
	case step.Goodbye:
		s.members.Goodbye(from, m)
		s.limits.rates.RemovePeer(from)
		s.fleet.PeerDown(from)
		s.dealer.PeerDown(from)
	}
}

// onConfigAsk answers a peer's configuration query. A query with a nonce comes from a daemon
// that may have missed a change in a pause; only a daemon that may serve requests answers it,
// since another could be outdated as well.
func (s *State) onConfigAsk(from string, ask step.ConfigAsk, out *step.Out) {
	if ask.Nonce != 0 && !s.members.MayServe() {
		return
	}
	s.config.SendDelta(from, ask, out)
}

func (s *State) onDigest(now step.Time, from string, d step.Digest, out *step.Out) {
	s.fleet.Digest(now, from, d)
	for _, r := range d.Reports {
		if r.OK {
			s.poison.OnReport(now, now.Mono-r.Age, r.Host, r.Incarnation, out)
		}
	}
}
