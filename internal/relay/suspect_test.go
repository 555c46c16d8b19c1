package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSuspectNotifications(t *testing.T) {
	var received []string
	server := httptest.NewServer(SuspectHandler(func(host string) { received = append(received, host) }))
	defer server.Close()
	notifier := NewSuspectNotifier()
	defer notifier.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, host := range []string{"h1", "h1", "a/b&c"} {
		require.NoError(t, notifier.Notify(t.Context(), address, host))
	}
	require.Equal(t, []string{"h1", "h1", "a/b&c"}, received)
	require.Error(t, notifier.Notify(t.Context(), address, ""))
	require.Error(t, notifier.Notify(t.Context(), address, strings.Repeat("x", maxHostBytes+1)))
	resp, err := http.Post(server.URL, "application/x-www-form-urlencoded", strings.NewReader(strings.Repeat("x", 1<<20)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Len(t, received, 3)
	server.Close()
	require.Error(t, notifier.Notify(t.Context(), address, "h2"))
}
