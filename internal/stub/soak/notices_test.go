package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// arriveAt records requests and returns their arrivals at a server, after the given times.
func (h *checkerTest) arriveAt(notice site.Arrival, after ...time.Duration) []site.Arrival {
	var arrivals []site.Arrival
	for i, d := range after {
		c := &call{ID: fmt.Sprintf("n%d", i), Kind: read, SentAt: h.now.Add(d)}
		c.Incarnation = 1
		h.recordSent(c)
		notice.Request, notice.Server, notice.At = c.ID, "s", c.SentAt
		arrivals = append(arrivals, notice)
	}
	return arrivals
}

func TestRequestsToQuietServersAreFound(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		after []time.Duration
		found bool
	}{
		"within the grace":    {[]time.Duration{0, 100 * ms, 200 * ms, 300 * ms, 400 * ms}, false},
		"two afterwards":      {[]time.Duration{0, 600 * ms, 700 * ms}, false},
		"three afterwards":    {[]time.Duration{0, 600 * ms, 700 * ms, 800 * ms}, true},
		"after the time":      {[]time.Duration{0, 2100 * ms, 2200 * ms, 2300 * ms, 2400 * ms}, false},
		"three, one too late": {[]time.Duration{0, 600 * ms, 700 * ms, 2100 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			arrivals := h.arriveAt(site.Arrival{}, c.after...)
			arrivals[0].Quiet = 2 * time.Second
			h.checkNotices(arrivals)
			require.Equal(t, c.found, len(h.findings) > 0, "%v", h.findings)

			h = newCheckerTest()
			arrivals = h.arriveAt(site.Arrival{}, c.after...)
			arrivals[0].Quiet = 2 * time.Second
			h.timeline.disturbances = append(h.timeline.disturbances, &disturbance{scope: 0, from: h.now, to: h.now.Add(time.Second)})
			h.checkNotices(arrivals)
			require.Empty(t, h.findings, "a disturbed daemon is excused")
		})
	}
}

func TestRequestsToLeavingServersAreFound(t *testing.T) {
	const late = drainTimeout + time.Second
	// told returns arrivals at a server that leaves; the answer of the first one says so.
	told := func(h *checkerTest, after ...time.Duration) []site.Arrival {
		arrivals := h.arriveAt(site.Arrival{Leaving: true, Born: 1}, after...)
		c := h.calls[arrivals[0].Request]
		c.EndedAt, c.Answer.Header = c.SentAt, http.Header{"X-Server-Stamp": {"s." + c.ID}}
		return arrivals
	}
	h := newCheckerTest()
	h.checkNotices(told(h, 0, time.Second, drainTimeout))
	require.Empty(t, h.findings)

	h = newCheckerTest()
	arrivals := told(h, 0, late)
	arrivals[1].Born = 2
	h.checkNotices(arrivals)
	require.Empty(t, h.findings, "the server has started anew, and leaves again")

	h = newCheckerTest()
	h.checkNotices(told(h, 0, late))
	require.Equal(t, []string{"leaving"}, promises(h.findings))

	h = newCheckerTest()
	h.recordFreeze(0, h.now.Add(time.Second))
	h.checkNotices(told(h, 0, late))
	require.Empty(t, h.findings, "the daemon was frozen since then")
}

// TestReturnToAnOldViewIsFound runs requests at a drained server and in an evacuated zone while
// the store is disturbed. A process that knew of both before is not excused; one that started
// afterwards is.
func TestReturnToAnOldViewIsFound(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		h := newCheckerTest()
		h.recordStart(0, 1, h.now.Add(-time.Second))
		if restarted {
			h.recordStart(0, 1, h.now.Add(10*time.Second))
		}
		h.recordDrain("s", h.now)
		h.recordEvacuation("zone-a", h.now)
		h.timeline.disturbances = append(h.timeline.disturbances, &disturbance{scope: scopeStore, from: h.now.Add(20 * time.Second), to: h.now.Add(30 * time.Second)})
		c := &call{ID: "r1", Kind: write, Path: "/write/r1", Body: "b", SentAt: h.now.Add(25 * time.Second)}
		c.Incarnation, c.EndedAt = 1, c.SentAt.Add(100*time.Millisecond)
		c.Answer.Header = http.Header{}
		h.recordSent(c)
		h.checkRuns([]site.Run{h.ranAt("s", 25*time.Second+10*time.Millisecond)}, nil)
		if restarted {
			require.Empty(t, h.findings)
		} else {
			require.Equal(t, []string{"drain", "evacuation"}, promises(h.findings))
		}
	}
}
