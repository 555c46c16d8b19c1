package process

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

var measureConnections = flag.Bool("measure-connections", false, "measure what callers' connections cost a daemon, for docs/CAPACITY.md")

// residentMiB returns what a process has resident at present.
func (p *process) residentMiB() float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid()))
	require.NoError(p.t, err)
	pages, err := strconv.Atoi(strings.Fields(string(statm))[1])
	require.NoError(p.t, err)
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// TestConnectionMemory measures. It guards against nothing and is skipped unless it is asked for.
func TestConnectionMemory(t *testing.T) {
	if !*measureConnections {
		t.Skip("only with -measure-connections")
	}
	serve := func(t *testing.T, settings map[string]any) *gatewayDaemon {
		d := newGatewayClusterWith(t, 1, settings).daemons[0]
		waitUntil(t, "requests are served", func() bool {
			return d.request(http.MethodPost, "/write/1", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), nil).Status == http.StatusOK
		})
		return d
	}
	const callers = 4000
	for name, c := range map[string]crowd{
		"nothing sent": {callers: callers, text: func(int) string { return "" }},
		"half a head":  {callers: callers, text: func(n int) string { return hostileHead("/write/1", n, "") }},
		"idle":         {callers: callers, text: func(int) string { return fmt.Sprintf("GET /nowhere HTTP/1.1\r\nHost: %s\r\n\r\n", site.Host) }},
		"1 KB short":   announced(callers, 1<<10, 1<<10-1),
		"60 KB short":  announced(callers, 60000, 59999),
	} {
		t.Run(name, func(t *testing.T) {
			d := serve(t, map[string]any{"memoryMiB": 4096, "maxConnections": 2 * callers})
			before := d.residentMiB()
			runCrowds(d.callersAddress, []crowd{c})
			t.Logf("%s: %.1f KiB a connection at the peak", name, (float64(d.peakMemoryMiB())-before)*1024/callers)
		})
	}
	for _, memoryMiB := range []int{112, 136, 184, 284, 536} {
		t.Run(fmt.Sprintf("%d MiB", memoryMiB), func(t *testing.T) {
			d := serve(t, map[string]any{"memoryMiB": memoryMiB})
			limit := int(d.metric("rhubarbswitch_caller_connections_limit"))
			before := d.residentMiB()
			descriptors := d.watchDescriptors()
			runCrowds(d.callersAddress, []crowd{announced(2*limit, 1<<10, 1<<10-1)})
			t.Logf("memoryMiB %d: %d connections, %.0f MiB before, %d MiB at the peak with twice as many callers, %d descriptors", memoryMiB, limit, before, d.peakMemoryMiB(), descriptors())
		})
	}
}
