package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// TestCutRequestsDuringAStop cuts a request in each case during a graceful stop of its daemon.
func TestCutRequestsDuringAStop(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		sent, ended      time.Duration // since SIGTERM
		ranFrom, ranTo   time.Duration // 0 is no run
		written, excused bool
	}{
		"closed at once, reached no server":             {sent: 5000 * ms, ended: 5200 * ms, written: true, excused: true},
		"closed late, reached no server":                {sent: 5000 * ms, ended: 5300 * ms, written: true},
		"closed at once by the dial":                    {sent: 5000 * ms, ended: 5100 * ms, excused: true},
		"closed at once, reached a server":              {sent: 5000 * ms, ended: 5100 * ms, ranFrom: 5010 * ms, ranTo: 5050 * ms, written: true},
		"sent early, at work in the last sixth":         {sent: 2900 * ms, ended: 7500 * ms, ranFrom: 3000 * ms, ranTo: 7510 * ms, written: true, excused: true},
		"sent before, at work in the last sixth":        {sent: -500 * ms, ended: 7500 * ms, ranFrom: 3000 * ms, ranTo: 7510 * ms, written: true, excused: true},
		"sent early, its server was done":               {sent: 2900 * ms, ended: 7500 * ms, ranFrom: 3000 * ms, ranTo: 6500 * ms, written: true},
		"sent early, cut before the last sixth":         {sent: 2900 * ms, ended: 6500 * ms, ranFrom: 3000 * ms, ranTo: 6510 * ms, written: true},
		"sent early, reached no server":                 {sent: 2900 * ms, ended: 7500 * ms, written: true},
		"sent too late, at work in the last sixth":      {sent: 3100 * ms, ended: 7500 * ms, ranFrom: 3200 * ms, ranTo: 7510 * ms, written: true},
		"sent too late, closed at once at a server":     {sent: 7400 * ms, ended: 7450 * ms, ranFrom: 7410 * ms, ranTo: 7460 * ms, written: true},
		"sent before, cut at once, at work at a server": {sent: -100 * ms, ended: 50 * ms, ranFrom: -50 * ms, ranTo: 60 * ms, written: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			h.timeline.disturbances = append(h.timeline.disturbances, &disturbance{scope: 0, gracefulStop: true, from: h.now, to: h.now.Add(8 * time.Second)})
			h.request(read, func(r *call) {
				r.Answer = load.FrontedAnswer{}
				r.SentAt, r.EndedAt = h.now.Add(c.sent), h.now.Add(c.ended)
				if c.written {
					r.Answer.WrittenAt = r.SentAt
				}
			})
			var runs []site.Run
			if c.ranTo != 0 {
				run := h.ranAt("s", c.ranFrom)
				run.EndedAt = h.now.Add(c.ranTo)
				runs = append(runs, run)
			}
			h.checkLost(runs, nil)
			if c.excused {
				require.Empty(t, h.findings)
				return
			}
			require.Contains(t, promises(h.findings), "lost")
			require.Equal(t, "r1", h.findings[0].Request)
			require.Equal(t, h.now.Add(c.ended), h.findings[0].Moment)
		})
	}
}

// TestRequestAtAServerIsNotExcused guards against a check that takes a request that reached a server without
// running there for one that was never passed on.
func TestRequestAtAServerIsNotExcused(t *testing.T) {
	h := newCheckerTest()
	c := h.request(read, func(c *call) { c.Answer = load.FrontedAnswer{WrittenAt: c.SentAt} })
	h.checkLost(nil, nil)
	require.Empty(t, h.findings)
	h.checkLost(nil, []site.Arrival{{Request: c.ID, Server: "s", At: c.SentAt}})
	require.Contains(t, promises(h.findings), "lost")
}
