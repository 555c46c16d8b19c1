package soak

import (
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
)

// The kinds in which some daemons lose their links to all servers, while callers, the store and the
// other daemons still reach them. Servers accept connections of the others.
const (
	LinksSilent Kind = "links-silent"  // bytes are held up, new connections hang
	LinksReset  Kind = "links-reset"   // connections are reset, new ones refused
	LinksRefuse Kind = "links-refuse"  // connections live on, new ones are refused
	LinksOneWay Kind = "links-one-way" // bytes to the daemon are lost, new connections hang
)

const (
	maxLinksDuration = 9 * time.Second
	// maxViews is the number of daemons up to which each has paths of its own to servers: all relays of a
	// run, two sockets for each connection, are files of this process.
	maxViews = 8
	// From cutGrace after a cut began, callers' requests at the daemons that are cut off must be served
	// at least cutServedShare as often as at the others, unless no more than cutSlack and one in
	// cutSlackShare of them fail.
	cutGrace       = 3 * time.Second
	cutServedShare = 2.0 / 3
	cutSlack       = 10
	cutSlackShare  = 50
)

// linksCatalogue has the kinds in which daemons lose their links to servers.
var linksCatalogue = []kindSpec{
	{LinksSilent, false, maxLinksDuration, cutLinks(cutter.Cut{Existing: cutter.Freeze}, cutter.Hanging, cutter.Cut{Existing: cutter.Pass})},
	{LinksReset, false, maxLinksDuration, cutLinks(cutter.Cut{Existing: cutter.Reset}, cutter.Refusing, cutter.Cut{})},
	{LinksRefuse, false, maxLinksDuration, cutLinks(cutter.Cut{}, cutter.Refusing, cutter.Cut{})},
	{LinksOneWay, false, maxLinksDuration, cutLinks(cutter.Cut{Existing: cutter.Swallow, Direction: cutter.ToCaller}, cutter.Hanging, cutter.Cut{Existing: cutter.Reset})},
}

// linksCut is a time in which daemons were cut off from the servers; to is zero while it lasts.
type linksCut struct {
	daemons  []*daemon
	from, to time.Time
}

// cutLinks returns the begin function of a kind that cuts off some daemons: one, half of them, all of a
// zone, or all but one.
func cutLinks(begin cutter.Cut, how cutter.Listening, end cutter.Cut) func(*run, Fault) func() {
	return func(r *run, f Fault) func() {
		if r.settings.Daemons > maxViews {
			return nil
		}
		daemons := r.cutOff(f.Pick)
		c := &linksCut{daemons: daemons, from: time.Now()}
		r.checker.recordLinksCut(c)
		var disturbances []*disturbance
		for _, d := range daemons {
			disturbances = append(disturbances, r.timeline.begin(d.index, false))
		}
		r.onViews(daemons, func(d *daemon) error { return d.view.CutServers(begin, how) })
		return func() {
			r.checker.endLinksCut(c, time.Now())
			r.onViews(daemons, func(d *daemon) error { return d.view.RestoreServers(end) })
			for _, s := range disturbances {
				r.timeline.end(s)
			}
		}
	}
}

// cutOff picks the daemons that are cut off.
func (r *run) cutOff(pick uint64) []*daemon {
	n := len(r.daemons)
	first := int(pick>>8) % n
	count := 1
	switch pick % 4 {
	case 1:
		count = max(1, n/2)
	case 2: // all of a zone
		var zone []*daemon
		for _, d := range r.daemons {
			if d.index%len(zones) == first%len(zones) {
				zone = append(zone, d)
			}
		}
		return zone
	case 3:
		count = max(1, n-1)
	}
	var picked []*daemon
	for i := range count {
		picked = append(picked, r.daemons[(first+i)%n])
	}
	return picked
}

// onViews changes the views of daemons at the same time.
func (r *run) onViews(daemons []*daemon, change func(*daemon) error) {
	var wait sync.WaitGroup
	for _, d := range daemons {
		if d.view == nil {
			continue
		}
		wait.Go(func() {
			if err := change(d); err != nil {
				r.checker.addFinding("soak", "the links of %s can't be changed: %v", d.name, err)
			}
		})
	}
	wait.Wait()
}

func (k *checker) recordLinksCut(c *linksCut) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.linksCuts = append(k.linksCuts, c)
}

func (k *checker) endLinksCut(c *linksCut, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.to = at
}

// checkLinksCuts compares requests at daemons that are cut off with those at the others. Requests during
// which anything else was disturbed don't count.
func (k *checker) checkLinksCuts() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.linksCuts {
		if c.to.IsZero() {
			continue
		}
		cut := make(map[int]bool)
		for _, d := range c.daemons {
			cut[d.index] = true
		}
		var asked, served [2]int // at the others, at those that are cut off
		for _, call := range k.calls {
			if call.SentAt.Before(c.from.Add(cutGrace)) || call.EndedAt.IsZero() || call.EndedAt.After(c.to) || call.Kind == probe || call.crasher != "" ||
				!call.DisconnectedAt.IsZero() || k.otherwiseDisturbed(call, c) {
				continue
			}
			side := 0
			if cut[call.Daemon] {
				side = 1
			}
			asked[side]++
			if call.Answer.Status == 200 && call.Answer.Complete {
				served[side]++
			}
		}
		failed := asked[1] - served[1]
		if failed > cutSlack+asked[1]/cutSlackShare && float64(served[1])*float64(asked[0]) < cutServedShare*float64(served[0])*float64(asked[1]) {
			k.addFindingLocked("cut off", "daemons that were cut off from %s to %s served %d of %d requests, the others %d of %d",
				c.from.Sub(k.startedAt).Round(time.Millisecond), c.to.Sub(k.startedAt).Round(time.Millisecond), served[1], asked[1], served[0], asked[0])
		}
	}
}

// otherwiseDisturbed reports whether anything but a cut was disturbed during a request, or less than
// recoveryGrace before it.
func (k *checker) otherwiseDisturbed(call *call, c *linksCut) bool {
	k.timeline.mu.Lock()
	defer k.timeline.mu.Unlock()
	for _, s := range k.timeline.disturbances {
		if s.from.Before(call.EndedAt) && (s.to.IsZero() || s.to.After(call.SentAt.Add(-recoveryGrace))) && !(s.from.Equal(c.from) || s.from.Sub(c.from).Abs() < 50*time.Millisecond && s.scope >= 0) {
			return true
		}
	}
	return false
}
