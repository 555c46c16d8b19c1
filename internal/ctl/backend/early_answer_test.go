package backend

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// TestUnframedAnswerToAnUnreadWriteIsAnError guards against a write that counts as done although the daemon ended its
// connection while most of the write was on its way.
func TestUnframedAnswerToAnUnreadWriteIsAnError(t *testing.T) {
	value := json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)
	for name, answer := range map[string]raw.Answer{"reset": {Reset: true}, "end": {HalfClose: true}} {
		t.Run(name, func(t *testing.T) {
			answer.Text = "HTTP/1.1 200 OK\r\n\r\n{}"
			s := raw.StartEarly(t, func(*http.Request) raw.Answer { return answer })
			d, err := NewDaemon("http://"+s.Address, "", nil, 5*time.Second)
			require.NoError(t, err)
			for range 20 {
				_, err = d.Put(t.Context(), object.Kind("kind"), "name", 1, value)
				require.Error(t, err)
			}
		})
	}
}
