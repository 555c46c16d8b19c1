package relay

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
)

func TestLimitsArriveInTheReceiversTime(t *testing.T) {
	var received []hostlimit.Message
	server := httptest.NewServer(LimitsHandler(func() time.Duration { return time.Hour }, func(m hostlimit.Message) { received = append(received, m) }))
	defer server.Close()
	notifier := NewNotifier(func() time.Duration { return time.Minute })
	defer notifier.Close()
	m := hostlimit.Message{
		Daemon: "d0", Demand: map[string]float64{"s": 2.5},
		Statements: []hostlimit.Statement{{Host: "a", Incarnation: 7, PerSecond: 4.8, AsOf: time.Minute - time.Second}, {Host: "b", Incarnation: 8, InReport: true, AsOf: time.Minute}},
	}
	require.NoError(t, notifier.SendLimits(t.Context(), strings.TrimPrefix(server.URL, "http://"), m))
	m.Statements[0].AsOf, m.Statements[1].AsOf = time.Hour-time.Second, time.Hour
	require.Equal(t, []hostlimit.Message{m}, received)

	for _, body := range []string{"", "[", `{"demand":{"s":"many"}}`, `{"x":"` + strings.Repeat("x", maxLimitsBytes) + `"}`} {
		resp, err := http.Post(server.URL, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
	require.Len(t, received, 1)
}

// BenchmarkSendLimits sends what one of 340 daemons tells while 730 hosts name limits.
func BenchmarkSendLimits(b *testing.B) {
	clock := func() time.Duration { return time.Minute }
	server := httptest.NewServer(LimitsHandler(clock, func(hostlimit.Message) {}))
	defer server.Close()
	notifier := NewNotifier(clock)
	defer notifier.Close()
	m := hostlimit.Message{Daemon: "edge-erongo-a-1", Demand: map[string]float64{"cubo10a": 2.94117}}
	for range 5 {
		m.Statements = append(m.Statements, hostlimit.Statement{Host: "i-0123456789", Incarnation: 1772927805729, PerSecond: 4.8, AsOf: time.Second})
	}
	body, err := json.Marshal(encodeLimits(clock(), m))
	require.NoError(b, err)
	for b.Loop() {
		require.NoError(b, notifier.SendLimits(b.Context(), strings.TrimPrefix(server.URL, "http://"), m))
	}
	b.ReportMetric(float64(len(body)), "bytes/message")
}
