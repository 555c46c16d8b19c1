package soak

import (
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

// leavingSince returns when each life of a daemon first passed on an answer in which a life of a
// server says that it leaves. The caller holds mu.
func (k *checker) leavingSince(arrivals []site.Arrival) map[lifeAt]time.Time {
	since := make(map[lifeAt]time.Time)
	for _, a := range arrivals {
		c := k.calls[a.Request]
		if !a.Leaving || c == nil || c.Incarnation == 0 || c.Answer.Header.Get("X-Server-Stamp") != a.Server+"."+c.ID {
			continue // turned away, or answered by another server
		}
		life := lifeAt{c.Daemon, c.Incarnation, a.Server, a.Born}
		if at, known := since[life]; !known || c.EndedAt.Before(at) {
			since[life] = c.EndedAt
		}
	}
	return since
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
	leaving := k.leavingSince(arrivals)
	quiet := make(map[lifeAt][]site.Arrival) // arrivals that were turned away
	sent := make(map[lifeAt][]site.Arrival)  // all arrivals
	for _, a := range arrivals {
		c := k.calls[a.Request]
		if c == nil || c.Incarnation == 0 {
			continue // nobody's, or it has not ended, or its daemon has restarted meanwhile
		}
		life := lifeAt{c.Daemon, c.Incarnation, a.Server, a.Born}
		if since, known := leaving[life]; known {
			k.checkLeaving(c, a, since)
		}
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

// checkLeaving checks an arrival at a server that leaves, which the daemon has known since some
// time.
func (k *checker) checkLeaving(c *call, a site.Arrival, since time.Time) {
	if c.SentAt.After(since.Add(drainTimeout)) && !k.frozen(c.Daemon, since, a.At) {
		k.addFindingLocked("leaving", "%s reached %s, %s after daemon %d had passed on that it leaves", c.ID, a.Server, a.At.Sub(since), c.Daemon)
	}
}
