package logging

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

func TestEventsCarryNumberLevelAndFields(t *testing.T) {
	var out strings.Builder
	logger, err := New(&out, config.Log{Format: "json", Level: "warn"})
	require.NoError(t, err)
	Event(logger, event.DaemonStarted)
	Event(logger, event.PeerLost, event.F("peer", "d2"))
	require.Equal(t, 1, strings.Count(out.String(), "\n"), "the event below the configured level is not logged")
	require.Contains(t, out.String(), `"level":"WARN","msg":"link to another daemon lost","event":"RS6002","peer":"d2"`)
}
