package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

func TestRequestsBeyondALimitAreFound(t *testing.T) {
	const perSecond = 2.0 // 17 are allowed in 4 s
	for name, c := range map[string]struct {
		requests, reports int
		from              time.Duration
		daemonDisturbed   bool
		found             bool
	}{
		"within the bound":      {17, 0, 4 * time.Second, false, false},
		"too many":              {18, 0, 4 * time.Second, false, true},
		"with reports":          {10, 8, 4 * time.Second, false, true},
		"before the grace":      {30, 0, time.Second, false, false},
		"a disturbed daemon":    {30, 0, 4 * time.Second, true, false},
		"after the limit ended": {30, 0, 21 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			limit := site.Limit{Server: "s", Born: 1, PerSecond: perSecond, From: h.now, To: h.now.Add(20 * time.Second)}
			after := []time.Duration{100 * time.Millisecond} // its answer tells the daemon
			for i := range c.requests {
				after = append(after, c.from+time.Duration(i)*10*time.Millisecond)
			}
			arrivals := h.arriveAt(site.Arrival{Born: 1, Limit: perSecond}, after...)
			first := h.calls[arrivals[0].Request]
			first.EndedAt, first.Answer.Header = first.SentAt, http.Header{}
			for _, a := range arrivals[1:] {
				h.calls[a.Request].EndedAt = a.At.Add(time.Second)
			}
			for i := range c.reports {
				arrivals = append(arrivals, site.Arrival{Server: "s", Born: 1, Report: true, At: h.now.Add(c.from + time.Duration(i)*time.Millisecond)})
			}
			if c.daemonDisturbed {
				h.timeline.disturbances = append(h.timeline.disturbances, &disturbance{scope: 0, from: h.now, to: h.now.Add(10 * time.Second)})
			}
			h.checkLimits([]site.Limit{limit}, arrivals)
			require.Equal(t, c.found, len(h.findings) > 0, "%v", h.findings)
		})
	}
}
