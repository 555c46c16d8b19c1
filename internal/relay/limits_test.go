package relay

import (
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
