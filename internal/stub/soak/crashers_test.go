package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

func TestRequestsSentOnAfterCrashesAreFound(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		crashes     int
		after       []time.Duration
		disturbance *disturbance
		found       bool
	}{
		"before the verdict is known": {3, []time.Duration{0, 1 * second, 2 * second, 3 * second, 4 * second}, nil, false},
		"three afterwards":            {3, []time.Duration{0, 6 * second, 7 * second, 8 * second}, nil, false},
		"four afterwards":             {3, []time.Duration{0, 6 * second, 7 * second, 8 * second, 9 * second}, nil, true},
		"too few crashes":             {2, []time.Duration{0, 6 * second, 7 * second, 8 * second, 9 * second}, nil, false},
		"disturbed daemon":            {3, []time.Duration{0, 6 * second, 7 * second, 8 * second, 9 * second}, &disturbance{scope: 0, to: time.Unix(1, 0)}, false},
		"disturbed store":             {3, []time.Duration{0, 6 * second, 7 * second, 8 * second, 9 * second}, &disturbance{scope: scopeStore, to: time.Unix(1, 0)}, true},
		"disturbed daemon and store":  {3, []time.Duration{0, 6 * second, 7 * second, 8 * second, 9 * second}, &disturbance{scope: 1, to: time.Unix(1, 0)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			h.recordCrasher(&crasher{name: "x", bound: 3})
			if c.disturbance != nil {
				c.disturbance.from, c.disturbance.to = h.now, h.now.Add(10*second)
				h.timeline.disturbances = append(h.timeline.disturbances, c.disturbance)
			}
			var crashes []site.Crash
			for i := range c.crashes {
				crashes = append(crashes, site.Crash{Crasher: "x", Server: "s", At: h.now.Add(time.Duration(i) * second)})
			}
			arrivals := h.arriveAt(site.Arrival{}, c.after...)
			for _, sent := range h.calls {
				sent.crasher = "x"
			}
			h.checkCrashers(crashes, arrivals)
			require.Equal(t, c.found, len(h.findings) > 0, "%v", h.findings)
		})
	}
}

// TestRefusedSoundRequestIsFound refuses a sound request, and one that crashes servers.
func TestRefusedSoundRequestIsFound(t *testing.T) {
	h := newCheckerTest()
	refuse := func(c *call) {
		c.Answer = load.FrontedAnswer{Status: 503, Complete: true, Body: `{"error":{"code":"quarantined"}}`, Header: http.Header{"Retry-After": {"1"}}}
	}
	h.request(read, func(c *call) { refuse(c); c.crasher = "x" })
	require.Empty(t, h.findings)
	h.request(read, refuse)
	require.Equal(t, []string{"sound"}, promises(h.findings))
}

// TestRefusedPromptsAreFound refuses sound chat requests beside a part that crashes servers.
func TestRefusedPromptsAreFound(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		from    time.Duration // of the first of 30 requests, 0.1 s apart
		refused int
		another time.Duration // crash under another part; zero for none
		found   bool
	}{
		"half of them":                {9 * second, 15, 0, false},
		"most of them":                {9 * second, 16, 0, true},
		"soon after the crashes":      {5 * second, 30, 0, false},
		"another part, later":         {9 * second, 30, 20 * second, true},
		"another part, a moment ago":  {9 * second, 30, 7 * second, false},
		"another part, some time ago": {9 * second, 30, 2 * second, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			crashes := []site.Crash{{Crasher: "x", At: h.now}, {Crasher: "x", At: h.now.Add(2 * second)}}
			h.recordCrasher(&crasher{name: "x", bound: 5, sharesParts: true})
			h.recordCrasher(&crasher{name: "y", bound: 5, sharesParts: true})
			if c.another > 0 {
				crashes = append(crashes, site.Crash{Crasher: "y", At: h.now.Add(c.another)})
			}
			for i := range 30 {
				r := &call{ID: newCallID(chat), Kind: chat, SentAt: h.now.Add(c.from + time.Duration(i)*100*time.Millisecond)}
				r.EndedAt = r.SentAt.Add(time.Millisecond)
				if i < c.refused {
					r.Answer.Body = `{"error":{"code":"quarantined"}}`
				}
				h.recordSent(r)
			}
			h.checkCrashers(crashes, nil)
			require.Equal(t, c.found, len(h.findings) > 0, "%v", h.findings)
		})
	}
}
