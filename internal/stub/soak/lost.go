package soak

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// lossSlack is how long after its last byte was sent a request that reaches no server may find its
	// connection closed.
	lossSlack = 200 * time.Millisecond
	// A stop may cut a request that was sent lateSend or less after SIGTERM while a server is still at
	// work on it in the last part of the grace, one of stopParts.
	lateSend  = 3 * time.Second
	stopParts = 6
)

// recordTruncated records a request whose answer is missing or incomplete, unless an unplanned
// disturbance excuses it. The caller holds mu.
func (k *checker) recordTruncated(c *call) {
	if k.timeline.disturbed(c.Daemon, c.SentAt, c.EndedAt, true) {
		return
	}
	if c.Answer.Status != 0 && k.timeline.disturbed(scopeServers, c.SentAt, c.EndedAt, false) {
		return // a started stream that no other engine could resume
	}
	k.truncated = append(k.truncated, c)
}

// checkLost checks the requests whose connections were closed without a complete answer. Whether a
// request reached a server is only known from what servers have recorded.
func (k *checker) checkLost(runs []site.Run, arrivals []site.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.truncated) == 0 {
		return
	}
	reached, ran := make(map[string]string), make(map[string][]site.Run)
	for _, a := range arrivals {
		reached[a.Request] = a.Server
	}
	for _, run := range runs {
		reached[run.Request] = run.Server
		ran[run.Request] = append(ran[run.Request], run)
	}
	for _, c := range k.truncated {
		sent := c.Answer.WrittenAt
		if sent.IsZero() {
			sent = c.SentAt
		}
		server := reached[c.ID]
		switch {
		case server == "" && c.EndedAt.Sub(sent) <= lossSlack:
		case k.cutAtEndOfStop(c, ran[c.ID]):
		default:
			k.addFindingLocked("lost", "%s was cut off by daemon %d after %s with status %d, kept connection %t, last at server %q: %v",
				c.ID, c.Daemon, c.EndedAt.Sub(c.SentAt), c.Answer.Status, c.Answer.KeptConnection, server, c.Answer.Err)
		}
	}
}

// cutAtEndOfStop reports whether a server was still at work on a request in the last part of the grace of
// a stop of its daemon, and the request was sent early enough for that to excuse its end.
func (k *checker) cutAtEndOfStop(c *call, runs []site.Run) bool {
	k.timeline.mu.Lock()
	defer k.timeline.mu.Unlock()
	for _, s := range k.timeline.disturbances {
		lastPart := s.from.Add(site.Grace - site.Grace/stopParts)
		if s.scope != c.Daemon || !s.gracefulStop || c.SentAt.After(s.from.Add(lateSend)) || c.EndedAt.Before(lastPart) {
			continue
		}
		for _, run := range runs {
			if run.StartedAt.Before(c.EndedAt) && (run.EndedAt.IsZero() || run.EndedAt.After(lastPart)) && c.EndedAt.Before(s.from.Add(stopTimeout)) {
				return true
			}
		}
	}
	return false
}
