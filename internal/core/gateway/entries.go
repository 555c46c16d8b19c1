package gateway

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// goneRetention is how long the last entry of a host is remembered after the host is gone. It
// exceeds the age of the copies from which the store comes back.
const goneRetention = 2 * time.Minute

// entryHistory remembers what an older copy of the store would contradict: the entries of hosts
// that are gone, and the hosts that have stated in an answer that they leave. An entry in the
// copy may say that such a host is ready.
type entryHistory struct {
	gone    map[string]goneEntry
	leaving map[string]int64 // incarnation by host
}

// goneEntry is the last entry of a host that is gone.
type goneEntry struct {
	incarnation int64
	writes      uint64
	at          time.Duration // when it was found to be gone
	// lost is set if the store did not have the entry when it came back. Then the host may
	// still write that same entry again.
	lost bool
}

func newEntryHistory() entryHistory {
	return entryHistory{gone: make(map[string]goneEntry), leaving: make(map[string]int64)}
}

// recordGone records that a host is gone; h may be nil. lost is set if that is only concluded
// from the store lacking the entry when it came back.
func (e *entryHistory) recordGone(now time.Duration, h *site.Host, lost bool) {
	if h != nil {
		e.gone[h.ID] = goneEntry{h.Incarnation, h.Writes, now, lost}
	}
}

// outdated reports whether an entry is older than what is known of its host: the entry known,
// or the last one of a host that is gone. known is nil for a host that is not registered.
func (e *entryHistory) outdated(known, h *site.Host) bool {
	if known != nil {
		return h.Incarnation < known.Incarnation || h.Incarnation == known.Incarnation && h.Writes < known.Writes
	}
	g, ok := e.gone[h.ID]
	return ok && (h.Incarnation < g.incarnation || h.Incarnation == g.incarnation && (h.Writes < g.writes || h.Writes == g.writes && !g.lost))
}

// recordLeaving records that a host has stated that it leaves. It returns false if that was
// known.
func (e *entryHistory) recordLeaving(h *site.Host) bool {
	if e.isLeaving(h) {
		return false
	}
	e.leaving[h.ID] = h.Incarnation
	return true
}

// isLeaving reports whether this incarnation of a host has stated that it leaves.
func (e *entryHistory) isLeaving(h *site.Host) bool {
	incarnation, ok := e.leaving[h.ID]
	return ok && incarnation == h.Incarnation
}

// prune forgets hosts that have been gone for goneRetention.
func (e *entryHistory) prune(now time.Duration, hosts map[string]*site.Host) {
	for id, g := range e.gone {
		if now-g.at >= goneRetention {
			delete(e.gone, id)
			if hosts[id] == nil {
				delete(e.leaving, id)
			}
		}
	}
}
