package backend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// TestInvalidNamesInAnswersToOperators guards against an operator who gets an answer without a line of its head.
func TestInvalidNamesInAnswersToOperators(t *testing.T) {
	const body = `{"items":[]}`
	head := "HTTP/1.1 200 OK\r\n"
	answers := raw.InvalidNames(head, body)
	answers["trailer"] = raw.InvalidTrailer(head, body)
	for what, call := range calls {
		for name, text := range answers {
			t.Run(what+", "+name, func(t *testing.T) {
				t.Parallel()
				s := raw.Start(t, func(*http.Request) raw.Answer { return raw.Answer{Text: text} })
				err := call(t.Context(), newDaemon(t, s, 20*time.Second))
				require.Error(t, err)
				require.False(t, strings.Contains(err.Error(), "can't be read"), "%v", err)
			})
		}
	}
}

// TestImpossibleStatusesInAnswersToOperators guards against an operator who is told that the daemon refused a write which it
// may have made.
func TestImpossibleStatusesInAnswersToOperators(t *testing.T) {
	const body = `{"code":"conflict","message":"changed meanwhile"}`
	for what, call := range calls {
		for _, status := range raw.InvalidStatuses {
			t.Run(what+", "+status, func(t *testing.T) {
				t.Parallel()
				s := raw.Start(t, func(*http.Request) raw.Answer {
					return raw.Answer{Text: fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)}
				})
				err := call(t.Context(), newDaemon(t, s, 20*time.Second))
				if what != "put" && what != "delete" {
					_, unreachable := errors.Into[*Unreachable](err)
					require.True(t, unreachable, "%v", err)
					return
				}
				e, ok := errors.Into[*operatorapi.Error](err)
				require.True(t, ok, "%v", err)
				require.Equal(t, operatorapi.CodeUnknown, e.Code)
			})
		}
	}
}
