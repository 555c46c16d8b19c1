package process

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

const (
	// trafficWindow is the time over which the traffic of an idle cluster is measured.
	trafficWindow = 5 * time.Second
	// maxLinkBytesPerSecond is the upper bound on the bytes per second that a daemon may
	// send and receive on its links to other daemons. The test fails above it.
	maxLinkBytesPerSecond = 29_000
	// clockTicksPerSecond is the unit of CPU time in /proc.
	clockTicksPerSecond = 100
)

// TestControlTraffic measures the traffic on the links of one daemon in an idle cluster, and
// logs its CPU time and memory.
func TestControlTraffic(t *testing.T) {
	c := newConfigCluster(t)
	d := c.daemons[0]
	before, cpu := d.metrics(), d.cpuTime()
	time.Sleep(trafficWindow)
	after, used := d.metrics(), d.cpuTime()-cpu
	total := 0.0
	for _, name := range sortedKeys(after) {
		if !strings.HasPrefix(name, "rhubarbswitch_peer_bytes_total") {
			continue
		}
		if rate := (after[name] - before[name]) / trafficWindow.Seconds(); rate > 0 {
			t.Logf("%8.0f B/s %s", rate, name)
			total += rate
		}
	}
	t.Logf("%d daemons: %.0f B/s on the links of one, %.2f %% of a core, %.0f MiB resident",
		len(c.daemons), total, 100*used.Seconds()/trafficWindow.Seconds(), after["process_resident_memory_bytes"]/(1<<20))
	require.Less(t, total, float64(maxLinkBytesPerSecond))
}

// metrics reads the daemon's metrics, by name with labels.
func (d *daemon) metrics() map[string]float64 {
	d.cluster.t.Helper()
	response, err := controlClient.Get("http://" + d.operatorsAddress + operatorapi.PathMetrics)
	require.NoError(d.cluster.t, err)
	defer response.Body.Close()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		at := strings.LastIndexByte(lines.Text(), ' ')
		if value, err := strconv.ParseFloat(lines.Text()[at+1:], 64); err == nil && at > 0 {
			values[lines.Text()[:at]] = value
		}
	}
	return values
}

// cpuTime returns the CPU time that the daemon's process has used so far.
func (d *daemon) cpuTime() time.Duration {
	d.cluster.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Pid()))
	require.NoError(d.cluster.t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, field := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(field)
		require.NoError(d.cluster.t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

func sortedKeys(values map[string]float64) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
