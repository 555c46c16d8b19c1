package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSuspicionsAreHeard(t *testing.T) {
	var heard []string
	server := httptest.NewServer(SuspectHandler(func(host string) { heard = append(heard, host) }))
	defer server.Close()
	teller := NewSuspectNotifier()
	defer teller.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, host := range []string{"h1", "h1", "a/b&c"} {
		require.NoError(t, teller.Notify(t.Context(), address, host))
	}
	require.Equal(t, []string{"h1", "h1", "a/b&c"}, heard)
	require.Error(t, teller.Notify(t.Context(), address, ""))
	require.Error(t, teller.Notify(t.Context(), address, strings.Repeat("x", hostBytes+1)))
	resp, err := http.Post(server.URL, "application/x-www-form-urlencoded", strings.NewReader(strings.Repeat("x", 1<<20)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Len(t, heard, 3)
	server.Close()
	require.Error(t, teller.Notify(t.Context(), address, "h2"))
}
