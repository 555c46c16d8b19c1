package process

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/account"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
)

// TestAccountAddsUp compares a customer's account with the answers that the callers
// received. One daemon is killed under load, one is stopped gracefully while the platform
// is down, and one is stopped gracefully after the platform has returned. A graceful stop
// must lose no charge, no call may be charged twice, and the killed daemon's calls must be
// covered by its open slice or counted as uncertain.
func TestAccountAddsUp(t *testing.T) {
	c := newCluster(t)
	sum := sha256.Sum256([]byte(callerKey))
	c.put(object.KindContract, customer, &object.Contract{
		KeyHashes: []string{hex.EncodeToString(sum[:])}, Services: []string{"*"}, RequestsPerMonth: 100_000,
	})
	c.addServices(2, []string{"a"})
	for range 3 {
		c.addDaemon("a", nil)
	}
	c.waitServing(2)
	leaving, staying, killed := c.daemons[0], c.daemons[1], c.daemons[2]

	time.AfterFunc(2*time.Second, killed.kill)
	_, results := c.sendLookups(100, 4*time.Second, 31)
	c.daemons = c.daemons[:2]

	c.setPlatformFaults(platform.Faults{Down: platform.DownRefuse})
	_, inOutage := c.sendLookups(50, 2*time.Second, 32)
	leaving.terminate()
	require.Zero(t, leaving.waitExit(20*time.Second))
	c.setPlatformFaults(platform.Faults{})

	c.daemons = []*daemon{staying}
	_, after := c.sendLookups(50, time.Second, 33)
	staying.terminate()
	require.Zero(t, staying.waitExit(20*time.Second))

	results = append(append(results, inOutage...), after...)
	byOthers, byKilled := countCharged(results, killed.callersAddress)
	a := c.account()
	var open int64
	for _, s := range a.Slices {
		require.Equal(t, killed.name, s.Daemon, "only the killed daemon may leave an open slice")
		open += s.Requests
	}
	t.Logf("settled %d, open %d, uncertain %d; charged by the daemons that stopped %d, by the killed one at most %d",
		a.Settled.Requests, open, a.Uncertain.Requests, byOthers, byKilled)
	require.GreaterOrEqual(t, a.Settled.Requests, byOthers, "a graceful stop lost charges")
	require.LessOrEqual(t, a.Settled.Requests, byOthers+byKilled, "calls were charged twice")
	require.GreaterOrEqual(t, a.Settled.Requests+open+a.Uncertain.Requests, byOthers+byKilled)
}

// countCharged counts the calls whose outcome is charged (completed or unknown): those
// sent to daemons that stopped gracefully, and those sent to the killed daemon, of which
// some were never answered.
func countCharged(results []load.Result, killed string) (byOthers, byKilled int64) {
	for _, r := range results {
		charged := r.Outcome == object.Completed || r.Outcome == object.Unknown
		switch {
		case r.Address != killed && charged:
			byOthers++
		case r.Address == killed && charged:
			byKilled++
		}
	}
	return byOthers, byKilled
}

// account reads the current month's account of the tests' customer from the platform.
func (c *cluster) account() object.Account {
	c.t.Helper()
	name := account.Name(customer, time.Now().UnixMilli())
	e := getJSON[platformapi.Envelope](c.t, c.platform.address, platformapi.PathObjects+string(object.KindAccount)+"/"+name)
	var a object.Account
	require.NoError(c.t, json.Unmarshal(e.Value, &a))
	return a
}
