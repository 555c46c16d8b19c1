package process

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// oddSpecs are contents of entries of another writer. Those of hosts name the service of ledgers, so that
// requests would go there.
func oddSpecs() map[string]string {
	host := func(changed string) string {
		return `{"service":"` + site.Ledger + `","address":"127.0.0.1:1","zone":"zone-a","slots":8,"state":"ready","coldLeftMs":0,"born":7,` + changed + `}`
	}
	deep := strings.Repeat(`{"a":[`, 20000) + "1" + strings.Repeat("]}", 20000)
	return map[string]string{
		"deep": deep, "deep-member": host(`"x":` + deep), "null": "null", "array": "[1]", "no-json": "{\x01 0x7, NaN}", "bytes": "\"\xff\xfe\"",
		"number": host(`"slots":1e400`), "slots": host(`"slots":9223372036854775807`), "cold": host(`"coldLeftMs":1e400`), "text-born": host(`"born":"1"`),
		"port": host(`"address":"127.0.0.1:99999"`), "port-0": host(`"address":"127.0.0.1:0"`), "lookup": host(`"address":"host.example:80"`),
		"path": host(`"address":"127.0.0.1:1/x"`), "group": host(`"group":{"name":"g","epoch":1e400,"rank":0,"state":"open"}`),
	}
}

// putOddEntry leaves one odd entry. %d is its revision.
func (f *gatewayCluster) putOddEntry(kind, name, spec string) {
	f.site.Store.PutRaw(kind, name, `{"meta":{"name":"`+name+`","rev":%d,"created":1,"finalizers":[]},"spec":`+spec+`,"status":null}`)
}

// putOddEntries leaves odd entries of each kind, before all others of their kind and behind them.
func (f *gatewayCluster) putOddEntries(round int) {
	for what, spec := range oddSpecs() {
		for _, place := range []string{"0", "zz"} {
			name := fmt.Sprintf("%s-%s-%d", place, what, round)
			for _, kind := range []string{"servers", "config", "evacuations", "gateway-quarantine"} {
				f.putOddEntry(kind, name, spec)
			}
		}
	}
}

// TestOddEntriesStopNoDaemon guards against daemons that end, or no longer follow the store, as another
// writer leaves odd entries there, before their start and later.
func TestOddEntriesStopNoDaemon(t *testing.T) {
	f := newGatewayCluster(t, 0)
	f.addServer("ledger-x", site.Ledger, "")
	f.putOddEntries(0)
	f.putOddEntry("gateway-daemons", "odd", oddSpecs()["deep"])
	f.putOddEntry("gateway-control", "groups", oddSpecs()["deep"])
	for i := range 2 {
		f.startDaemon(i)
	}
	requireAlive := func() {
		for _, d := range f.daemons {
			select {
			case <-d.Ended():
				require.Fail(t, "a daemon has ended", "%s: %s", d.name, d.logTail())
			default:
			}
		}
	}
	for _, d := range f.daemons {
		waitUntil(t, d.name+" is ready", func() bool { return d.readyStatus() == http.StatusOK })
	}
	for round := 1; round < 4; round++ {
		f.putOddEntries(round)
		switch round {
		case 1:
			f.putOddEntry("servers", "ledger-x", oddSpecs()["deep"]) // a host's own entry becomes odd
		case 2:
			f.site.Store.DropHistory() // all list again
		}
		f.site.Configure(1+round, round)
		added := f.addServer(fmt.Sprintf("ledger-late-%d", round), site.Ledger, "")
		for i, d := range f.daemons {
			waitUntil(t, "the configuration is in force", func() bool {
				return d.request(http.MethodGet, fmt.Sprintf("/extra-%d/x", round-1), fmt.Sprintf("c%d-%d-%d", round, i, time.Now().UnixNano()), nil).Status == http.StatusOK
			})
			waitUntil(t, "the host added gets requests", func() bool {
				id := fmt.Sprintf("h%d-%d-%d", round, i, time.Now().UnixNano())
				require.Equal(t, http.StatusOK, d.request(http.MethodGet, "/read/1", id, nil).Status)
				for _, r := range f.site.Runs() {
					if r.Request == id && r.Server == added.ID {
						return true
					}
				}
				return false
			})
		}
		for i := range 20 {
			require.Equal(t, http.StatusOK, f.daemons[i%2].request(http.MethodGet, "/read/1", fmt.Sprintf("x%d-%d", round, i), nil).Status)
		}
		requireAlive()
	}
	for _, r := range f.site.Runs() {
		require.False(t, strings.HasPrefix(r.Request, "x") && r.Server == "ledger-x", "an entry that can't be read names no server")
	}
	waitUntil(t, "two groups are open", func() bool { return f.openGroups() == 2 })
	for i, d := range f.daemons {
		waitUntil(t, "a stream is complete", func() bool {
			id := fmt.Sprintf("s%d-%d", i, time.Now().UnixNano())
			return d.chat(id).Body == site.EventsOf(id)
		})
	}
	requireAlive()
}
