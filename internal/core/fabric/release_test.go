package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJoinDelayOutlastsAMissingEntry guards against a host that joins a group before the head that it was taken from
// has stopped, because it had no entry when the holder changed.
func TestJoinDelayOutlastsAMissingEntry(t *testing.T) {
	for _, changes := range []int{1, 2} {
		w := started(t, 2)
		const delay = 6 * time.Second
		id := w.domainHosts("d1")[0]
		w.hide([]string{id}, true)
		w.run(5 * time.Second)
		w.pools = nil
		w.addPool()
		w.pools[0].TakeControl(w.now, 2<<20, map[string]time.Duration{id: delay}, 0)
		from := w.now
		w.run(time.Second)
		if changes == 2 {
			w.changeHolder()
		}
		w.hide([]string{id}, false)
		w.run(from + delay - w.now)
		require.GreaterOrEqual(t, w.pools[0].hosts[id].mayJoinAt, from+delay, "%d changes", changes)
	}
}
