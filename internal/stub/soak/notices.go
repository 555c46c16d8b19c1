package soak

import (
	"strings"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// quietGrace is how long after it was asked for quiet a daemon may still send requests.
	// Afterwards it may send maxQuietRequests before the time is over.
	quietGrace       = 500 * time.Millisecond
	maxQuietRequests = 2
)

// lifeAt is one incarnation of a daemon, as seen by one incarnation of a server.
type lifeAt struct {
	daemon, incarnation int
	server              string
	born                int64
}

// recordFreeze records that a daemon is frozen, which excuses it from what it was told before.
func (k *checker) recordFreeze(daemon int, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.freezes[daemon] = append(k.freezes[daemon], at)
}

// recordLeaving records that a daemon has passed on an answer that says that its server leaves.
// The caller holds mu.
func (k *checker) recordLeaving(c *call, stamp string) {
	server, own := strings.CutSuffix(stamp, "."+c.ID)
	if !own || c.Incarnation == 0 || c.Answer.Header.Get("Server-Leaving") == "" {
		return
	}
	life := lifeAt{daemon: c.Daemon, incarnation: c.Incarnation, server: server}
	if _, known := k.leavingSince[life]; !known {
		k.leavingSince[life] = c.EndedAt
	}
}

// frozen reports whether a daemon was frozen in a time.
func (k *checker) frozen(daemon int, from, to time.Time) bool {
	for _, at := range k.freezes[daemon] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// checkNotices checks that daemons heed what servers say about themselves: that they leave, and
// that they want no requests for a time.
func (k *checker) checkNotices(arrivals []site.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	quiet := make(map[lifeAt][]site.Arrival) // arrivals that were turned away
	sent := make(map[lifeAt][]site.Arrival)  // all arrivals
	for _, a := range arrivals {
		c := k.calls[a.Request]
		if c == nil || c.Incarnation == 0 {
			continue // nobody's, or it has not ended, or its daemon has restarted meanwhile
		}
		k.checkLeaving(c, a)
		life := lifeAt{c.Daemon, c.Incarnation, a.Server, a.Born}
		sent[life] = append(sent[life], a)
		if a.Quiet > 0 {
			quiet[life] = append(quiet[life], a)
		}
	}
	for life, refused := range quiet {
		for _, a := range refused {
			from, to, n := a.At.Add(quietGrace), a.At.Add(a.Quiet), 0
			for _, b := range sent[life] {
				if b.At.After(from) && b.At.Before(to) {
					n++
				}
			}
			if n > maxQuietRequests && !k.timeline.disturbed(life.daemon, a.At, to, false) {
				k.addFindingLocked("quiet", "%d requests of daemon %d reached %s, which had asked for quiet for %s", n, life.daemon, a.Server, a.Quiet)
			}
		}
	}
}

// checkLeaving checks an arrival at a server that leaves.
func (k *checker) checkLeaving(c *call, a site.Arrival) {
	since, known := k.leavingSince[lifeAt{daemon: c.Daemon, incarnation: c.Incarnation, server: a.Server}]
	if known && a.Leaving && c.SentAt.After(since.Add(drainTimeout)) && !k.frozen(c.Daemon, since, a.At) {
		k.addFindingLocked("leaving", "%s reached %s, %s after daemon %d had passed on that it leaves", c.ID, a.Server, a.At.Sub(since), c.Daemon)
	}
}
