package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransportRepeatsNoRequest guards against net/http sending a request without a body again when a connection that
// was open before ends without an answer: the server has got it.
func TestTransportRepeatsNoRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost} {
		s := startRawSite(t, false, 1, func(r rawRequest) rawAnswer {
			if r.id == "breaks" {
				return rawAnswer{close: true}
			}
			return rawAnswer{text: whole(r.id, "200 OK", "")}
		})
		send := func(id string) {
			req, err := http.NewRequest(method, "http://"+s.callers+"/read/1", nil)
			require.NoError(t, err)
			req.Host = "h"
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("Idempotency-Key", id)
			if resp, err := s.client.Do(req); err == nil {
				require.NoError(t, resp.Body.Close())
			}
		}
		send("opens")
		time.Sleep(20 * time.Millisecond) // until the connection is idle
		send("breaks")
		requests := s.requestsWith("breaks")
		require.Len(t, requests, 1, method)
		require.Empty(t, requests[0].TransferEncoding, method)
		require.Equal(t, "breaks", requests[0].Header.Get("Idempotency-Key"), method)
		length, sent := map[string]string{http.MethodPost: "0"}[method], requests[0].Header.Get("Content-Length")
		require.Equal(t, length, sent, method)
		require.Equal(t, 1, requests[0].conn, "%s: over the open connection", method)
	}
}
