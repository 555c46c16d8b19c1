package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// TestUnframedAnswersToUnreadMessagesAreErrors guards against a message that counts as taken although the daemon ended
// its connection while most of the message was on its way.
func TestUnframedAnswersToUnreadMessagesAreErrors(t *testing.T) {
	long := strings.Repeat("x", maxLimitsBytes)
	for name, answer := range map[string]raw.Answer{"reset": {Reset: true}, "end": {HalfClose: true}} {
		t.Run(name, func(t *testing.T) {
			answer.Text = "HTTP/1.1 200 OK\r\n\r\n"
			s := raw.StartEarly(t, func(*http.Request) raw.Answer { return answer })
			n := NewNotifier(func() time.Duration { return 0 })
			defer n.Close()
			require.Error(t, n.SendLimits(t.Context(), s.Address, hostlimit.Message{Daemon: long}))
			require.Error(t, n.SendEvidence(t.Context(), s.Address, quarantine.Evidence{Crashes: []quarantine.Crash{{Host: long}}}))
			require.Error(t, n.NotifySuspect(t.Context(), s.Address, long))
		})
	}
}
