package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// TestRetryBudgetViolationIsFound guards against a check that takes the requests of another service, or of two windows,
// for those that allow the arrivals, or that overlooks arrivals that servers reject.
func TestRetryBudgetViolationIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		chats, reads int           // requests in a window
		spread       time.Duration // over which the requests come, before the arrivals
		repeats      int           // at the plain service
		found        bool
	}{
		"within the slack":                        {reads: 1, repeats: retrySlack},
		"above the slack":                         {reads: 1, repeats: retrySlack + 1, found: true},
		"allowed by its own requests":             {reads: 500, repeats: retrySlack + 50},
		"above what its own requests allow":       {reads: 500, repeats: retrySlack + 51, found: true},
		"allowed only by those of another":        {chats: 500, reads: 1, repeats: retrySlack + 40, found: true},
		"allowed only by those of two windows":    {reads: 500, spread: 2 * retryWindow, repeats: retrySlack + 40, found: true},
		"half of the requests in each of windows": {reads: 500, spread: 2 * retryWindow, repeats: retrySlack + 25},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			spread := c.spread
			if spread == 0 {
				spread = time.Second
			}
			record := func(kind callKind, n int) {
				for i := range n {
					h.recordSent(&call{ID: fmt.Sprintf("%s-%d", kind, i), Kind: kind, SentAt: h.now.Add(-spread / 2).Add(time.Duration(i) * spread / time.Duration(n))})
				}
			}
			record(chat, c.chats)
			record(read, c.reads)
			arrivals := []site.Arrival{{Server: "s", Service: site.Ledger, Report: true, At: h.now}}
			for i := range c.repeats + 1 {
				arrivals = append(arrivals, site.Arrival{Request: "read-0", Server: "s", Service: site.Ledger, At: h.now.Add(time.Duration(i) * time.Millisecond)})
			}
			h.checkRetryBudget(arrivals)
			if c.found {
				require.Contains(t, promises(h.findings), "budget")
			} else {
				require.Empty(t, h.findings)
			}
		})
	}
}
