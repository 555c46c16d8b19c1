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

// TestAccountAddsUp kills a daemon under load, takes the platform away, stops a daemon
// gracefully meanwhile, and compares the account with what the callers were told.
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
	_, results := c.lookups(100, 4*time.Second, 31)
	c.daemons = c.daemons[:2]

	c.faults(platform.Faults{Down: platform.DownRefuse})
	_, inOutage := c.lookups(50, 2*time.Second, 32)
	leaving.terminate()
	require.Zero(t, leaving.waitEnd(20*time.Second))
	c.faults(platform.Faults{})

	c.daemons = []*daemon{staying}
	_, after := c.lookups(50, time.Second, 33)
	staying.terminate()
	require.Zero(t, staying.waitEnd(20*time.Second))

	results = append(append(results, inOutage...), after...)
	byOthers, byKilled := countCharged(results, killed.callers)
	a := c.account()
	var open int64
	for _, s := range a.Slices {
		require.Equal(t, killed.name, s.Daemon, "only the killed daemon's slice is left")
		open += s.Requests
	}
	t.Logf("settled %d, open %d, uncertain %d; charged by the daemons that stopped %d, by the killed one at most %d",
		a.Settled.Requests, open, a.Uncertain.Requests, byOthers, byKilled)
	require.GreaterOrEqual(t, a.Settled.Requests, byOthers, "nothing of a graceful stop is lost")
	require.LessOrEqual(t, a.Settled.Requests, byOthers+byKilled, "nothing is charged twice")
	require.GreaterOrEqual(t, a.Settled.Requests+open+a.Uncertain.Requests, byOthers+byKilled)
}

// countCharged counts the calls that are charged, by the daemons that stopped and by
// the killed one, of whose calls some were answered and some not.
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

// account reads this month's account of the tests' customer.
func (c *cluster) account() object.Account {
	c.t.Helper()
	name := account.Name(customer, time.Now().UnixMilli())
	e := get[platformapi.Envelope](c.t, c.platform.address, platformapi.PathObjects+string(object.KindAccount)+"/"+name)
	var a object.Account
	require.NoError(c.t, json.Unmarshal(e.Value, &a))
	return a
}
