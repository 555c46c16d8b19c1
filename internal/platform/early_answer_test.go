package platform

import (
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// TestUnframedAnswersToUnreadWritesAreLost guards against a write that counts as done although the store ended its
// connection while most of the write was on its way.
func TestUnframedAnswersToUnreadWritesAreLost(t *testing.T) {
	const rounds = 20
	value := []byte(strings.Repeat("x", 1<<20))
	for name, answer := range map[string]raw.Answer{"reset": {Reset: true}, "end": {HalfClose: true}} {
		for _, status := range []string{"200 OK", "409 Conflict", "404 Not Found"} {
			t.Run(name+" "+status, func(t *testing.T) {
				answer := answer // servers of earlier subtests may still read theirs
				answer.Text = "HTTP/1.1 " + status + "\r\n\r\n" + `{"at":7}`
				c := boundedClient(t, raw.StartEarly(t, func(*http.Request) raw.Answer { return answer }))
				for range rounds {
					_, err := c.Do(t.Context(), Call{Op: "put", Method: http.MethodPut, Path: "/", Body: value})
					_, lost := errors.Into[*LostError](err)
					require.True(t, lost, "%v", err)
				}
			})
		}
	}
}

// TestUnframedAnswersToWritesAreRead has the store read writes and then end answers with their connections.
func TestUnframedAnswersToWritesAreRead(t *testing.T) {
	c := boundedClient(t, raw.Start(t, func(*http.Request) raw.Answer { return raw.Answer{Text: okHead + "\r\n" + `{"at":7}`} }))
	for _, size := range []int{0, 10, 4 << 10, 1 << 20} {
		a, err := c.Do(t.Context(), Call{Op: "put", Method: http.MethodPut, Path: "/", Body: []byte(strings.Repeat("x", size))})
		require.NoError(t, err)
		require.Equal(t, `{"at":7}`, string(a.Body))
	}
}
