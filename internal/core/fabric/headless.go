package fabric

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// This file orders the groups whose heads can't be reached. Their hosts must not join another group before
// something proves that the head has stopped.

// releaseEvidence is why a head counts as stopped when its group is released. It is logged.
type releaseEvidence string

const (
	headLeft        releaseEvidence = "head left by order"
	headRestarted   releaseEvidence = "head restarted"
	headNeverJoined releaseEvidence = "head never joined"
	memberLeft      releaseEvidence = "member left by order"
	memberRestarted releaseEvidence = "member restarted"
)

// hiddenGroup is a group of which nothing has been heard since a time.
type hiddenGroup struct {
	group *group
	since time.Duration
}

// enterHeadless treats the head as unreachable. It may still serve others, so its members must
// not join another group until it has lacked one of them for as long as it takes to notice that.
func (p *Pool) enterHeadless(now time.Duration, g *group) {
	g.enterStage(now, headless)
	g.unheard, g.heardAt = false, 0
	g.delaysInLease, g.delaysWritten = false, false
	p.leaseOutdated = true
}

func (p *Pool) advanceHeadless(now time.Duration, g *group, s health, out *step.Out) {
	p.updateHeard(now, g)
	waits := g.unheard && (g.heardAt == 0 || now-g.heardAt < returnTimeout)
	switch {
	case s.headRestarted:
		p.releaseGroup(now, g, "its head has restarted", headRestarted, out)
	case g.memberLeft && now-g.memberLeftAt > p.joinDelay(g):
		p.releaseGroup(now, g, "its head has been unreachable for longer than it serves", g.leftEvidence, out)
	case p.goesOnServing(g, s):
		g.enterStage(now, serving)
		g.seenOpen = true
		out.Log(event.GroupResumed, event.F("group", g.id.Name), event.F("epoch", g.id.Epoch), event.F("model", g.model.Name),
			event.F("closedFor", g.closeReason), event.F("members", g.memberIDs()))
	case s.headReachable && !(waits && p.mayHaveServed(g)):
		g.enterStage(now, closing)
	case !g.memberLeft && g.unheard && g.heardAt == 0 && p.unlisted(g):
		p.hideGroup(now, g, out)
	case !g.memberLeft && !waits && !p.headMayGoOn(now, g, s):
		p.removeMember(now, g, out)
	}
}

// headMayGoOn reports whether the head of a headless group may go on with the requests in flight. One that is not known can't be
// waited for.
func (p *Pool) headMayGoOn(now time.Duration, g *group, s health) bool {
	return !s.memberDead && p.hosts[g.head().id].mayGoOn(now, g, g.head())
}

// updateHeard notes when all members of a headless group are silent, and when one of them answers again.
func (p *Pool) updateHeard(now time.Duration, g *group) {
	silent, answered := true, false
	for i := range g.members {
		if h := p.hosts[g.members[i].id]; h != nil {
			silent = silent && (h.silent || h.lapsed(now))
			answered = answered || h.answeredSince(g.stageSince)
		}
	}
	switch {
	case silent:
		g.unheard, g.heardAt = true, 0
	case g.unheard && g.heardAt == 0 && answered:
		g.heardAt = now
	}
}

// answeredSince reports whether this incarnation has answered a report request after a time.
func (h *host) answeredSince(at time.Duration) bool { return h.hasAnswered && h.lastAnswerAt > at }

// unlisted reports whether the registry has no member of a group.
func (p *Pool) unlisted(g *group) bool {
	return !slices.ContainsFunc(g.members, func(m member) bool { h := p.hosts[m.id]; return h != nil && h.listed })
}

// mayHaveServed reports whether a headless group may have served all the while: it was not closed by plan, and its head
// has not reported anything else since.
func (p *Pool) mayHaveServed(g *group) bool {
	if g.memberLeft || g.headLeft || g.plannedClose {
		return false
	}
	head := p.hosts[g.head().id]
	return !head.answeredSince(g.stageSince) || head.lastReport.Member.Group == g.id && head.lastReport.Member.Phase == site.Open
}

// goesOnServing reports whether a headless group has served all the while: each member has answered since and has
// no order to leave on its way, and the head is open.
func (p *Pool) goesOnServing(g *group, s health) bool {
	if !s.headReachable || !s.allReady || s.draining || !p.mayHaveServed(g) {
		return false
	}
	return !slices.ContainsFunc(g.members, func(m member) bool {
		h := p.hosts[m.id]
		return !h.answeredSince(g.stageSince) || h.pendingOp != 0
	})
}

// hideGroup stops ordering a group of which neither the registry nor this daemon hears anything. It may serve others
// all the while, so its hosts stay in it until they return.
func (p *Pool) hideGroup(now time.Duration, g *group, out *step.Out) {
	delete(p.groups, g.id)
	p.hidden[g.id] = hiddenGroup{group: g, since: now}
	out.Log(event.GroupHidden, event.F("group", g.id.Name), event.F("epoch", g.id.Epoch), event.F("model", g.model.Name),
		event.F("members", g.memberIDs()), event.F("millis", (now-g.stageSince).Milliseconds()))
}

// returnGroup goes on with a hidden group, if there is one of that name. Its members have to report again.
func (p *Pool) returnGroup(now time.Duration, id site.GroupID) *group {
	g := p.hidden[id].group
	if g != nil {
		delete(p.hidden, id)
		p.groups[id] = g
		p.enterHeadless(now, g)
		g.unheard = true
	}
	return g
}

// forgetHidden drops the groups that have been hidden for long. If their hosts return, they are adopted.
func (p *Pool) forgetHidden(now time.Duration) {
	maps.DeleteFunc(p.hidden, func(_ site.GroupID, g hiddenGroup) bool { return now-g.since > hiddenRetention })
}

// joinDelay is how long the head may still serve after a member has left. Until then no member
// may join another group. A head that was not seen open may still be opened by an order that
// was delayed on the way.
func (p *Pool) joinDelay(g *group) time.Duration {
	if g.seenOpen {
		return p.settings.EngineStall + stallMargin
	}
	return p.longestJoinDelay()
}

// longestJoinDelay is how long a head may still serve of which nothing is known, after an order to leave was sent to
// a member: the order, or one to open the head, may be carried out late.
func (p *Pool) longestJoinDelay() time.Duration {
	return maxOrderDelay + p.settings.EngineStall + stallMargin
}

// removeMember orders one member to leave, so that the head stalls and stops serving if it is
// alive. A member that nobody hears may serve with the head.
func (p *Pool) removeMember(now time.Duration, g *group, out *step.Out) {
	if !g.delaysInLease {
		return
	}
	for rank := len(g.members) - 1; rank > 0; rank-- {
		m := &g.members[rank]
		h := p.hosts[m.id]
		if h == nil {
			continue // nothing shows that it has left
		}
		if h.listed && h.entry.Incarnation != m.incarnation {
			g.recordLeft(now, memberRestarted)
			return
		}
		if h.unresponsive() || h.pendingOp != 0 {
			continue
		}
		if p.sendOrder(now, m.id, step.GroupOrder{Kind: step.OrderLeave, Group: g.id}, out) {
			m.leaveSent = true
			h.mayJoinAt = max(h.mayJoinAt, now+p.longestJoinDelay())
			return
		}
	}
}

// recordLeft records that a member of a headless group has left it.
func (g *group) recordLeft(now time.Duration, e releaseEvidence) {
	g.memberLeftAt, g.memberLeft, g.leftEvidence = now, true, e
}
