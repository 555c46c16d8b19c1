package platform

import (
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// TestInvalidNamesAreLost guards against an answer of the store, or of a daemon that relays its changes, that is read
// without a line of its head.
func TestInvalidNamesAreLost(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "409 Conflict", "410 Gone", "400 Bad Request", "503 Service Unavailable"} {
		head := "HTTP/1.1 " + status + "\r\n"
		answers := raw.InvalidNames(head, `{"at":7}`)
		answers["trailer"] = raw.InvalidTrailer(head, `{"at":7}`)
		for name, text := range answers {
			t.Run(status+", "+name, func(t *testing.T) {
				c := boundedClient(t, raw.Start(t, func(*http.Request) raw.Answer { return raw.Answer{Text: text} }))
				WithNoEffectStatuses(http.StatusServiceUnavailable)(c)
				_, err := c.Do(t.Context(), Call{Op: "put", Method: http.MethodPut, Path: "/"})
				_, lost := errors.Into[*LostError](err)
				require.True(t, lost, "%v", err)
			})
		}
	}
}

// TestImpossibleStatusesAreLost guards against a status of the store that counts as a result.
func TestImpossibleStatusesAreLost(t *testing.T) {
	for _, status := range raw.InvalidStatuses {
		c := boundedClient(t, raw.Start(t, func(*http.Request) raw.Answer {
			return raw.Answer{Text: "HTTP/1.1 " + status + "\r\nContent-Length: 8\r\n\r\n" + `{"at":7}`}
		}))
		_, err := c.Do(t.Context(), Call{Op: "put", Method: http.MethodPut, Path: "/"})
		_, lost := errors.Into[*LostError](err)
		require.True(t, lost, "%s: %v", status, err)
	}
}
