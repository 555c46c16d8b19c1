package backend

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
