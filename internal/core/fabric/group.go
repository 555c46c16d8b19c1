package fabric

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// stage is the stage of a formation. Its name appears in logs.
type stage uint8

const (
	forming  stage = iota // its members are ordered to join
	opening               // all members are ready, and the head is ordered to open
	serving               // the head takes requests
	closing               // the head is ordered to stop and leave
	headless              // the head can't be reached, and may still serve others
)

var stageNames = [...]string{"forming", "opening", "serving", "closing", "headless"}

// group is one formation of a group, from its first join order until its members are free.
type group struct {
	id          site.GroupID
	model       *site.Model
	members     []member
	stage       stage
	stageSince  time.Duration // when the stage began
	closeReason string        // why the group is closed; logged
	// modelUnknown is whether the group is adopted and model is arbitrary. Its true size may be larger.
	modelUnknown bool
	// seenOpen is whether the head was seen open. Then no order to open it is still on its
	// way.
	seenOpen bool
	// headLeft is whether the head has left the group by an order of this daemon. Then an
	// order to open it that is still on its way, from any daemon, has no effect.
	headLeft bool
	// lastHeadOrder is the last order that orderHead sent to the head. lastHeadOrderAt is when
	// that order, or one to open the head, was sent; zero if it must be sent again at once.
	lastHeadOrder   step.GroupOrderKind
	lastHeadOrderAt time.Duration
	// plannedClose is whether the group is closed because a member drains, for a move, or by the daemon that had
	// control before. Then its requests in flight get closeTimeout to finish, unless a member is lost.
	plannedClose bool
	// closedForSilence is whether the group is closed because a member fell silent that may be sound. Its requests in
	// flight may finish like those of a planned close.
	closedForSilence bool
	// moveTo is the model for which the group is closed, or will be once its members have the
	// weights; nil if it is not.
	moveTo *site.Model
	// delaysInLease is whether the lease contains the join delays of a headless group's members.
	// Only then is a member ordered to leave: a daemon that takes over must know that the
	// members must not join another group yet. delaysWritten is whether the lease that was written
	// last does, accepted or not.
	delaysInLease, delaysWritten bool
	// unheard is whether no member of a headless group has answered since all of them fell silent.
	// heardAt is when a member first did after that; zero before.
	unheard bool
	heardAt time.Duration
	// memberLeftAt is when a member of a headless group was first known to have left it, valid
	// if memberLeft.
	memberLeftAt time.Duration
	memberLeft   bool
	leftEvidence releaseEvidence // how that became known
}

// member is one host of a formation.
type member struct {
	id          string // host ID; empty while the member of an adopted group is unknown
	incarnation int64  // the incarnation of the host's process that was ordered to join
	// joinAccepted is whether the host accepted the order to join; registered is whether it
	// was seen registered as a member.
	joinAccepted bool
	registered   bool
	// joinSent is whether an order to join was sent. It expected that the host had accepted
	// expectedOrders orders before.
	joinSent       bool
	expectedOrders uint64
	// leaveSent is whether removeMember has ordered the host to leave. Then host.mayJoinAt bounds when the
	// head must have stopped for the lack of it.
	leaveSent bool
}

func (g *group) head() *member { return &g.members[0] }

func (g *group) rank(id string) int {
	for i := range g.members {
		if g.members[i].id == id {
			return i
		}
	}
	return -1
}

func (g *group) enterStage(now time.Duration, s stage) { g.stage, g.stageSince = s, now }

// adoptGroups records the groups that hosts are registered in and that this daemon has not
// formed.
func (p *Pool) adoptGroups(now time.Duration, out *step.Out) {
	for _, name := range p.names {
		h := p.hosts[name]
		m := h.entry.Member
		if !h.listed || m.Phase == site.Absent || p.isReleased(m.Group) {
			continue
		}
		g := p.groups[m.Group]
		if g == nil {
			g = p.returnGroup(now, m.Group)
		}
		if g == nil {
			g = p.adoptGroup(now, h, out)
			if g == nil {
				continue
			}
		}
		if m.Rank >= len(g.members) {
			continue
		}
		if at := &g.members[m.Rank]; at.id == "" || at.id == name {
			at.id, at.incarnation, at.registered, at.joinAccepted = name, h.entry.Incarnation, true, true
		}
	}
}

// isReleased reports whether the hosts that are still registered under a formation are free.
func (p *Pool) isReleased(id site.GroupID) bool {
	_, ok := p.released[id]
	return ok
}

// closeServingReleased closes the released groups whose heads report that they still serve: an order may have
// opened them late, or they have not noticed that they lack a member.
func (p *Pool) closeServingReleased(now time.Duration, out *step.Out) {
	for _, name := range p.names {
		h := p.hosts[name]
		at, released := p.released[h.group]
		if !released || !h.headsOpenGroup() || !h.listed || h.entry.Member.Group != h.group || h.answeredSentAt <= at+p.engine.ReportLag+reportLagMargin {
			continue
		}
		if g := p.adoptGroup(now, h, out); g != nil {
			delete(p.released, g.id)
			g.seenOpen = true
			*g.head() = member{id: name, incarnation: h.entry.Incarnation, registered: true, joinAccepted: true}
			p.startClosing(now, g, "its head serves although the group was released", out)
		}
	}
}

// adoptGroup records a group that another daemon formed. adoptGroups fills in its members by
// the ranks under which they are registered.
func (p *Pool) adoptGroup(now time.Duration, h *host, out *step.Out) *group {
	m := p.engine.Model(h.entry.Model)
	unknown := m == nil
	if unknown {
		// A member that is still joining names no model. Its group is adopted once a member
		// that is ready names the model. If the joining host stops answering before that, the
		// group is recorded with an arbitrary model, and closed unless it serves already.
		if now-h.lastAnswerAt < formationGrace && h.entry.Member.Phase == site.Joining {
			return nil
		}
		m = &p.engine.Models[0]
	}
	id := h.entry.Member.Group
	g := &group{id: id, model: m, members: make([]member, m.GroupSize), stageSince: now, stage: opening, modelUnknown: unknown}
	p.groups[id] = g
	out.Log(event.GroupAdopted, event.F("group", id.Name), event.F("epoch", id.Epoch), event.F("model", m.Name),
		event.F("host", h.entry.ID), event.F("phase", h.entry.Member.Phase.String()), event.F("rank", h.entry.Member.Rank))
	return g
}

// health is the state of a formation's members as the daemon that orders them sees it.
type health struct {
	lostRank      int  // rank of a lost member other than the head, or -1
	headLost      bool // the head does not serve this formation any more
	headReachable bool // the head answers, in the incarnation that joined
	headRestarted bool // the head's process has restarted
	memberDead    bool // a lost member can't go on with the requests in flight
	draining      bool // a member's host is draining
	allReady      bool // every member is registered under this formation, and ready or further
}

func (p *Pool) checkHealth(now time.Duration, g *group) health {
	s := health{lostRank: -1, allReady: true}
	for rank := range g.members {
		m := &g.members[rank]
		h := p.hosts[m.id]
		if rank == 0 {
			s.headRestarted = h != nil && h.listed && m.id != "" && h.entry.Incarnation != m.incarnation
			s.headReachable = h != nil && !h.unresponsive() && !h.lapsed(now) && !s.headRestarted
		}
		if p.memberLost(now, g, m, h) {
			s.allReady = false
			s.memberDead = s.memberDead || !h.mayGoOn(now, g, m)
			if rank == 0 {
				s.headLost = true
			} else {
				s.lostRank = rank
			}
			continue
		}
		if h == nil {
			s.allReady = false
			continue
		}
		s.draining = s.draining || h.listed && h.entry.Draining
		at := h.entry.Member
		if at.Group != g.id || at.Phase < site.Ready {
			s.allReady = false
		}
	}
	return s
}

// memberLost reports whether a member no longer serves in the formation.
func (p *Pool) memberLost(now time.Duration, g *group, m *member, h *host) bool {
	switch {
	case m.id == "":
		return now-g.stageSince > formationGrace // its entry may be on the way
	case h == nil:
		return true
	case h.entry.Incarnation != m.incarnation && h.listed:
		return true
	case h.unresponsive():
		if h.listed && p.pathSuspected(h) {
			return false
		}
		return true
	case !h.listed:
		// The registry has lost the host. While it still answers report requests it serves,
		// but a head that callers can't find does not.
		return g.rank(m.id) == 0 || !h.hasAnswered || h.lapsed(now)
	case m.registered:
		return h.entry.Member.Group != g.id
	}
	return false
}

// mayGoOn reports whether a member that counts as lost may go on with the requests in flight: it accepts connections and
// has been silent for no longer than a sound engine may be, or it answers and only its entry is missing.
func (h *host) mayGoOn(now time.Duration, g *group, m *member) bool {
	switch {
	case h == nil || h.entry.Incarnation != m.incarnation || h.lapsed(now):
		return false
	case h.unresponsive():
		return h.acceptsConnections && now-h.firstMissAt < soundSilence
	}
	return h.hasAnswered && h.lastReport.Member.Group == g.id
}

func (p *Pool) advance(now time.Duration, g *group, out *step.Out) {
	s := p.checkHealth(now, g)
	switch g.stage {
	case forming:
		p.advanceForming(now, g, s, out)
	case opening, serving:
		p.advanceServing(now, g, s, out)
	case closing:
		p.advanceClosing(now, g, s, out)
	case headless:
		p.advanceHeadless(now, g, s, out)
	}
}

func (p *Pool) advanceForming(now time.Duration, g *group, s health, out *step.Out) {
	reason := ""
	switch {
	case s.headLost || s.lostRank >= 0 || s.draining:
		reason = "a member was lost while it formed"
	case p.memberTaken(g):
		reason = "another daemon has taken a member"
	case now-g.stageSince > loadTimeoutFactor*g.model.LoadTime+formationGrace:
		reason = "it did not form in time"
	}
	if reason != "" {
		p.startClosing(now, g, reason, out)
		p.advanceClosing(now, g, s, out)
		return
	}
	ids := g.memberIDs()
	for i := range g.members {
		m := &g.members[i]
		if h := p.hosts[m.id]; !m.joinAccepted && h.entry.Member.Group != g.id {
			if p.sendOrder(now, m.id, step.GroupOrder{Kind: step.OrderJoin, Group: g.id, Model: g.model.Name, Members: ids}, out) {
				m.joinSent, m.expectedOrders = true, h.orderCount
			}
		}
	}
	if s.allReady {
		g.enterStage(now, opening)
		p.openHead(now, g, out)
	}
}

// memberTaken reports whether a member that has not joined yet is in another group by now, or
// has accepted another order since its join order was sent. That order may have been one to
// leave this very formation, from a daemon that considers the formation released.
func (p *Pool) memberTaken(g *group) bool {
	for i := range g.members {
		m := &g.members[i]
		if h := p.hosts[m.id]; h != nil && !m.joinAccepted && h.orderCountKnown && h.group != g.id && (!p.inNoActiveGroup(h) || m.joinSent && h.orderCount != m.expectedOrders) {
			return true
		}
	}
	return false
}

func (g *group) memberIDs() []string {
	ids := make([]string, len(g.members))
	for i, m := range g.members {
		ids[i] = m.id
	}
	return ids
}

// openHead orders the head to take requests, and again if that had no effect.
func (p *Pool) openHead(now time.Duration, g *group, out *step.Out) {
	if g.lastHeadOrderAt > 0 && now-g.lastHeadOrderAt < p.engine.OpenDelay+orderRetryDelay {
		return
	}
	if p.sendOrder(now, g.head().id, step.GroupOrder{Kind: step.OrderOpen, Group: g.id}, out) {
		g.lastHeadOrderAt = now
	}
}

func (p *Pool) advanceServing(now time.Duration, g *group, s health, out *step.Out) {
	phase := site.Absent
	if head := p.hosts[g.head().id]; head != nil && head.entry.Member.Group == g.id {
		phase = head.entry.Member.Phase
	}
	reason := ""
	switch {
	case s.headLost:
		reason = "its head is lost"
	case s.lostRank >= 0:
		reason = fmt.Sprintf("member %s is lost", g.members[s.lostRank].id)
	case s.draining:
		g.plannedClose = true
		reason = "a member leaves"
	case phase == site.Closing:
		g.plannedClose = true
		reason = "its head is closing"
	case phase == site.Broken || phase == site.Ready && g.stage == serving:
		reason = "its head is " + phase.String()
	case phase == site.Open && g.stage == opening:
		g.seenOpen = true
		g.enterStage(now, serving)
		out.Log(event.GroupOpened, event.F("group", g.id.Name), event.F("epoch", g.id.Epoch), event.F("model", g.model.Name), event.F("members", g.memberIDs()))
	case phase == site.Ready && s.allReady && g.modelUnknown:
		reason = "its model is unknown"
	case phase == site.Ready && s.allReady:
		p.openHead(now, g, out)
	}
	if reason != "" {
		p.startClosing(now, g, reason, out)
		g.closedForSilence = (s.headLost || s.lostRank >= 0) && !s.memberDead
		p.advanceClosing(now, g, s, out)
	}
}

// startClosing closes a group. A move that was only planned for it is given up: its hosts lack the weights.
func (p *Pool) startClosing(now time.Duration, g *group, reason string, out *step.Out) {
	g.moveTo = nil
	g.closeReason, g.lastHeadOrderAt, g.lastHeadOrder = reason, 0, ""
	g.enterStage(now, closing)
	out.Log(event.GroupClosing, event.F("group", g.id.Name), event.F("epoch", g.id.Epoch), event.F("model", g.model.Name),
		event.F("reason", reason), event.F("members", g.memberIDs()))
}

// advanceClosing orders the head to stop and to leave the group, after which it can't serve
// any more. Then it releases the group.
func (p *Pool) advanceClosing(now time.Duration, g *group, s health, out *step.Out) {
	switch {
	case s.headRestarted:
		p.releaseGroup(now, g, g.closeReason+"; its head has restarted", headRestarted, out)
		return
	case !s.headReachable:
		p.enterHeadless(now, g)
		return
	}
	head := p.hosts[g.head().id]
	at := head.entry.Member
	if !head.listed {
		at = head.lastReport.Member // without an entry, only the host's reports show its state
	}
	phase := at.Phase
	if at.Group != g.id {
		phase = site.Absent
	}
	switch {
	case g.headLeft:
		p.releaseGroup(now, g, g.closeReason, headLeft, out)
	case phase == site.Absent && !g.head().joinAccepted && head.pendingOp == 0:
		p.releaseGroup(now, g, g.closeReason, headNeverJoined, out)
	case phase != site.Open && phase != site.Closing:
		p.orderHead(now, g, step.OrderLeave, out)
	case p.mayFinish(now, g, s):
		if phase != site.Closing {
			p.orderHead(now, g, step.OrderClose, out)
		}
	default:
		p.orderHead(now, g, step.OrderAbort, out)
	}
}

// mayFinish reports whether the head of a group that is closed may finish its requests. They are not aborted for others to
// go on with: a stream may have used the targets that its route permits.
func (p *Pool) mayFinish(now time.Duration, g *group, s health) bool {
	return (g.plannedClose || g.closedForSilence) && !s.memberDead && now-g.stageSince < closeTimeout
}

// orderHead sends an order to the head. An accepted order is repeated only after
// orderRetryDelay, in case it had no effect.
func (p *Pool) orderHead(now time.Duration, g *group, kind step.GroupOrderKind, out *step.Out) {
	if g.lastHeadOrder == kind && now-g.lastHeadOrderAt < orderRetryDelay {
		return
	}
	if p.sendOrder(now, g.head().id, step.GroupOrder{Kind: kind, Group: g.id}, out) {
		g.lastHeadOrder, g.lastHeadOrderAt = kind, now
	}
}

func (g *group) onOrderAnswer(now time.Duration, op pendingOrder, outcome step.OrderOutcome) {
	rank := g.rank(op.host)
	if rank < 0 {
		return
	}
	accepted := outcome == step.OrderAccepted || outcome == step.OrderDone
	if !accepted {
		g.lastHeadOrderAt = 0 // send the order again once the order count is known
	}
	switch op.order.Kind {
	case step.OrderJoin:
		g.members[rank].joinAccepted = accepted
	case step.OrderLeave:
		if rank == 0 {
			g.headLeft = g.headLeft || accepted
		} else if outcome == step.OrderDone {
			g.recordLeft(now, memberLeft)
		}
	}
}

// releaseGroup ends a formation: its members are free.
func (p *Pool) releaseGroup(now time.Duration, g *group, reason string, e releaseEvidence, out *step.Out) {
	delete(p.groups, g.id)
	p.released[g.id] = now
	for _, m := range g.members {
		if h := p.hosts[m.id]; h != nil && m.leaveSent {
			h.mayJoinAt = now
		}
	}
	p.reserveMembers(now, g)
	out.Log(event.GroupDissolved, event.F("group", g.id.Name), event.F("epoch", g.id.Epoch), event.F("model", g.model.Name),
		event.F("reason", reason), event.F("evidence", string(e)), event.F("stage", stageNames[g.stage]), event.F("millis", (now-g.stageSince).Milliseconds()))
}
