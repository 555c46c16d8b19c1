package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// calls are the calls of an operator to a daemon.
var calls = map[string]func(ctx context.Context, d *Daemon) error{
	"get":    func(ctx context.Context, d *Daemon) error { _, err := d.Get(ctx, "kind", "name"); return err },
	"list":   func(ctx context.Context, d *Daemon) error { _, err := d.List(ctx, "kind"); return err },
	"status": func(ctx context.Context, d *Daemon) error { _, err := d.Status(ctx); return err },
	"trace":  func(ctx context.Context, d *Daemon) error { _, err := d.Trace(ctx, "request"); return err },
	"put": func(ctx context.Context, d *Daemon) error {
		_, err := d.Put(ctx, object.Kind("kind"), "name", 1, json.RawMessage("{}"))
		return err
	},
	"delete": func(ctx context.Context, d *Daemon) error { return d.Delete(ctx, "kind", "name", 1) },
}

func newDaemon(t *testing.T, s *raw.Server, timeout time.Duration) *Daemon {
	d, err := NewDaemon("http://"+s.Address, "", nil, timeout)
	require.NoError(t, err)
	t.Cleanup(d.client.CloseIdleConnections)
	return d
}

// TestEndlessAnswersToOperators guards against a daemon whose bytes without end fill the memory of the operators' tool, or look like an answer.
func TestEndlessAnswersToOperators(t *testing.T) {
	const timeout = 3 * time.Second
	for what, call := range calls {
		for _, status := range []string{"200 OK", "409 Conflict"} {
			for name, answer := range raw.Endless("HTTP/1.1 " + status + "\r\n") {
				t.Run(fmt.Sprint(what, " ", status[:3], " ", name), func(t *testing.T) {
					t.Parallel()
					s := raw.Start(t, func(*http.Request) raw.Answer { return answer })
					require.Error(t, call(t.Context(), newDaemon(t, s, timeout)))
					s.Wait()
					require.Equal(t, 1, s.Requests())
				})
			}
		}
	}
}

// TestAnswersToOperatorsCutShort guards against an operator who takes a part of an answer for the whole.
func TestAnswersToOperatorsCutShort(t *testing.T) {
	const body = `{"items":[]}`
	for what, call := range calls {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			s, set := raw.StartChanging(t)
			d := newDaemon(t, s, 20*time.Second)
			for _, framing := range []string{
				fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "\r\n" + body,
				fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-More: x\r\n\r\n", len(body), body),
			} {
				for n, cut := range raw.CutShort("HTTP/1.1 200 OK\r\n" + framing) {
					set(raw.Answer{Text: cut, Reset: n%2 == 0})
					before := s.Requests()
					require.Error(t, call(t.Context(), d), "%q", cut)
					require.Equal(t, before+1, s.Requests(), "%q", cut)
				}
			}
		})
	}
}
