package relay

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
)

func TestSuspectNotifications(t *testing.T) {
	var received []string
	server := httptest.NewServer(SuspectHandler(func(host string) { received = append(received, host) }))
	defer server.Close()
	notifier := NewNotifier(func() time.Duration { return 0 })
	defer notifier.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, host := range []string{"h1", "h1", "a/b&c"} {
		require.NoError(t, notifier.NotifySuspect(t.Context(), address, host))
	}
	require.Equal(t, []string{"h1", "h1", "a/b&c"}, received)
	require.Error(t, notifier.NotifySuspect(t.Context(), address, ""))
	require.Error(t, notifier.NotifySuspect(t.Context(), address, strings.Repeat("x", maxHostBytes+1)))
	resp, err := http.Post(server.URL, "application/x-www-form-urlencoded", strings.NewReader(strings.Repeat("x", 1<<20)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Len(t, received, 3)
	server.Close()
	require.Error(t, notifier.NotifySuspect(t.Context(), address, "h2"))
}

func TestEvidenceArrivesInTheReceiversTime(t *testing.T) {
	var received []quarantine.Evidence
	server := httptest.NewServer(EvidenceHandler(func() time.Duration { return time.Hour }, func(e quarantine.Evidence) { received = append(received, e) }))
	defer server.Close()
	notifier := NewNotifier(func() time.Duration { return time.Minute })
	defer notifier.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	f := quarantine.Fingerprint{Kind: quarantine.Content, Hash: 1 << 63}
	crash := quarantine.Crash{Host: "h", Incarnation: 7, At: time.Minute - time.Second, Begun: true, Suspects: []quarantine.Fingerprint{f}}
	sent := quarantine.Evidence{Crashes: []quarantine.Crash{crash}, Uncertain: []quarantine.Crash{crash}, Successes: []quarantine.Success{{Fingerprint: f, At: time.Minute}}, Trials: []quarantine.Trial{{Fingerprint: f, At: time.Minute - time.Second, Void: true}}}
	require.NoError(t, notifier.SendEvidence(t.Context(), address, sent))
	crash.At = time.Hour - time.Second
	require.Equal(t, []quarantine.Evidence{{Crashes: []quarantine.Crash{crash}, Uncertain: []quarantine.Crash{crash}, Successes: []quarantine.Success{{Fingerprint: f, At: time.Hour}}, Trials: []quarantine.Trial{{Fingerprint: f, At: time.Hour - time.Second, Void: true}}}}, received)

	for _, body := range []string{"", "[", `{"crashes":[{"suspects":["nonsense"]}]}`, `{"x":"` + strings.Repeat("x", maxEvidenceBytes) + `"}`} {
		resp, err := http.Post(server.URL, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
	require.Len(t, received, 1)
}

// TestEvidenceIsSentAgain lets a daemon fail before it takes the evidence.
func TestEvidenceIsSentAgain(t *testing.T) {
	tries := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if tries++; tries < evidenceTries {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	notifier := NewNotifier(func() time.Duration { return 0 })
	defer notifier.Close()
	require.NoError(t, notifier.SendEvidence(t.Context(), strings.TrimPrefix(server.URL, "http://"), quarantine.Evidence{}))
	tries = -1
	require.Error(t, notifier.SendEvidence(t.Context(), strings.TrimPrefix(server.URL, "http://"), quarantine.Evidence{}))
}

// TestEvidenceIsNotSentAgainToFormerRelease guards against a delay of the evidence for all daemons by those
// of a release that takes none.
func TestEvidenceIsNotSentAgainToFormerRelease(t *testing.T) {
	tries := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tries++
		http.NotFound(w, r)
	}))
	defer server.Close()
	notifier := NewNotifier(func() time.Duration { return 0 })
	defer notifier.Close()
	require.Error(t, notifier.SendEvidence(t.Context(), strings.TrimPrefix(server.URL, "http://"), quarantine.Evidence{}))
	require.Equal(t, 1, tries)
}

// BenchmarkSendEvidence sends the evidence of one crash to a daemon over a new connection each time,
// as after a long calm. It counts both sides.
func BenchmarkSendEvidence(b *testing.B) {
	clock := func() time.Duration { return 0 }
	server := httptest.NewServer(EvidenceHandler(clock, func(quarantine.Evidence) {}))
	defer server.Close()
	notifier := NewNotifier(clock)
	defer notifier.Close()
	crash := quarantine.Crash{Host: "i-0123456789", Incarnation: 1772927805729, Begun: true}
	for i := range uint64(3) {
		crash.Suspects = append(crash.Suspects, quarantine.Fingerprint{Kind: quarantine.PromptPart, Hash: i << 40})
	}
	evidence := quarantine.Evidence{Crashes: []quarantine.Crash{crash}}
	body, err := json.Marshal(encodeEvidence(0, evidence))
	require.NoError(b, err)
	for b.Loop() {
		require.NoError(b, notifier.SendEvidence(b.Context(), strings.TrimPrefix(server.URL, "http://"), evidence))
		notifier.Close()
	}
	b.ReportMetric(float64(len(body)), "bytes/message")
}
