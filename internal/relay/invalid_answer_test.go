package relay

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// requireNoAnswer checks that a message counts neither as taken nor as refused if the daemon answers it with text.
func requireNoAnswer(t *testing.T, text string) {
	t.Helper()
	s, set := raw.StartChanging(t)
	set(raw.Answer{Text: text})
	n := NewNotifier(func() time.Duration { return 0 })
	defer n.Close()
	for _, err := range []error{
		n.NotifySuspect(t.Context(), s.Address, "host"),
		n.SendLimits(t.Context(), s.Address, hostlimit.Message{}),
		n.SendEvidence(t.Context(), s.Address, quarantine.Evidence{}),
	} {
		require.Error(t, err)
		_, refused := errors.Into[*refusedError](err)
		require.False(t, refused, "%v", err)
	}
}

// TestInvalidNamesInAnswersToMessages guards against messages that count as taken, or refused, by an invalid answer.
func TestInvalidNamesInAnswersToMessages(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found"} {
		for name, text := range raw.InvalidNames("HTTP/1.1 "+status+"\r\n", "") {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				requireNoAnswer(t, text)
			})
		}
	}
}

// TestImpossibleStatusesInAnswersToMessages guards against messages that count as taken, or refused, by a status that says nothing.
func TestImpossibleStatusesInAnswersToMessages(t *testing.T) {
	for _, status := range raw.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
}
