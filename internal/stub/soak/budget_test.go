package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// TestBudgetIsCheckedForEachService guards against requests of one service that allow repeats at another, and
// against repeats that a server refuses and nobody counts.
func TestBudgetIsCheckedForEachService(t *testing.T) {
	const allowed = 75 // of 100 requests: a quarter more than 60
	for name, c := range map[string]struct {
		repeats int
		over    time.Duration
		found   bool
	}{
		"within": {allowed, retryWindow, false},
		"beyond": {allowed + 1, retryWindow, true},
		"slow":   {allowed + 1, 2 * retryWindow, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			var arrivals []site.Arrival
			for i := range 100 {
				at := h.now.Add(retryWindow * time.Duration(i) / 100)
				h.recordSent(&call{ID: fmt.Sprint("read-", i), Kind: read, SentAt: at})
				arrivals = append(arrivals, site.Arrival{Request: fmt.Sprint("read-", i), Server: "ledger-1", At: at})
			}
			for i := range 1000 {
				h.recordSent(&call{ID: fmt.Sprint("chat-", i), Kind: chat, SentAt: h.now})
			}
			for i := range c.repeats {
				at := h.now.Add(c.over * time.Duration(i) / time.Duration(c.repeats))
				arrivals = append(arrivals, site.Arrival{Request: fmt.Sprint("read-", i%100), Server: "ledger-2", At: at})
			}
			h.checkServiceBudget(arrivals)
			require.Equal(t, c.found, len(h.findings) == 1, "%v", h.findings)
		})
	}
}
