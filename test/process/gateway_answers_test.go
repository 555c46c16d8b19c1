package process

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// peakMemoryMiB returns the most memory that a process has had resident.
func (p *process) peakMemoryMiB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(p.t, err)
			return kib >> 10
		}
	}
	require.Fail(p.t, "no VmHWM")
	return 0
}

// TestEndlessAnswersAreCutOff guards against servers whose bytes without end fill the daemon's memory or hold its requests.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	const memoryMiB, requests = 128, 60
	for _, c := range []struct {
		part    site.Endless
		service string
		path    string
		within  time.Duration
	}{
		{site.EndlessHead, site.Ledger, "/write/", 3 * time.Second},
		{site.EndlessBody, site.Ledger, "/write/", 7 * time.Second},
		{site.EndlessEvent, site.LLM, "/chat/", 3 * time.Second},
		{site.EndlessRefusal, site.Ledger, "/write/", 3 * time.Second},
	} {
		t.Run(string(c.part), func(t *testing.T) {
			f := newGatewayClusterWith(t, 1, map[string]any{"memoryMiB": memoryMiB})
			d := f.daemons[0]
			waitUntil(t, "streams are served", func() bool { return d.chat(fmt.Sprintf("warm-%d", time.Now().UnixNano())).Status == http.StatusOK })
			servers := f.site.Servers(c.service)
			if c.service == site.Ledger {
				servers = servers[:1] // the other one goes on
			}
			for _, v := range servers {
				v.SetFaults(site.Faults{Endless: c.part})
			}
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					id := fmt.Sprintf("e%d", i)
					from := time.Now()
					a := d.request(http.MethodPost, c.path+id, id, map[string]string{"X-Model": site.Model, "X-Token-Count": "100,100"})
					if a.Status == http.StatusOK {
						require.Contains(t, a.Body, "ran "+id, "from the other server")
						return
					}
					require.GreaterOrEqual(t, a.Status, 500)
					require.Less(t, time.Since(from), c.within)
				})
			}
			wg.Wait()
			if !raceEnabled { // the race detector multiplies the memory of a process
				require.Less(t, d.peakMemoryMiB(), memoryMiB)
			}
			for _, v := range servers {
				v.SetFaults(site.Faults{})
			}
			waitUntil(t, "all is served again", func() bool {
				id := fmt.Sprintf("after-%d", time.Now().UnixNano())
				return d.request(http.MethodPost, c.path+id, id, map[string]string{"X-Model": site.Model, "X-Token-Count": "100,100"}).Status == http.StatusOK
			})
		})
	}
}

// TestResetUploadsGetNoAnswerOfTheirServer guards against callers who get a part of an answer as the whole since the
// server reset the connection while the upload was still being written.
func TestResetUploadsGetNoAnswerOfTheirServer(t *testing.T) {
	const rounds, parallel = 60, 4
	for name, start := range map[string]func(t *testing.T) *gatewayCluster{
		"sent": func(t *testing.T) *gatewayCluster {
			f := newGatewayCluster(t, 1)
			f.waitUntilServing()
			return f
		},
		"handed over": func(t *testing.T) *gatewayCluster {
			f := newCutOffCluster(t, 2)
			f.cut()
			f.waitUntilHandedOver()
			return f.gatewayCluster
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			for _, v := range append(f.site.Servers(site.LLM), f.site.Servers(site.Ledger)...) {
				v.SetFaults(site.Faults{ResetUploads: true})
			}
			for _, path := range []string{"/write/1", "/read/1", "/chat/1"} {
				var callers errgroup.Group
				callers.SetLimit(parallel)
				for round := range rounds {
					id := fmt.Sprintf("upload%s%d", strings.ReplaceAll(path, "/", "-"), round)
					callers.Go(func() error {
						a := f.daemons[0].requestWithBody(http.MethodPost, path, id, id+largeBody[len(id):], map[string]string{
							"X-Model": site.Model, "X-Token-Count": "100,100", "X-Deadline-Ms": "2000",
						})
						if a.Complete && (a.Status < http.StatusInternalServerError || a.Header.Get("X-Server-Stamp") != "") {
							return errors.Errorf("%s got %d: %s", id, a.Status, a.Body)
						}
						return nil
					})
				}
				require.NoError(t, callers.Wait())
			}
			runs := make(map[string]int)
			for _, r := range f.site.Runs() {
				runs[r.Request]++
			}
			reached := 0
			for round := range rounds {
				n := runs[fmt.Sprintf("upload-write-1%d", round)]
				require.LessOrEqual(t, n, 1, "a request that must not run twice")
				reached += n
			}
			require.Positive(t, reached)
		})
	}
}

// TestAnswersThatEndWithTheirConnection guards against streams that look complete although they broke off, or the other way round.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	f := newGatewayCluster(t, 1)
	d := f.daemons[0]
	waitUntil(t, "two groups are open", func() bool { return f.openGroups() == 2 })
	waitUntil(t, "streams are served", func() bool { return d.chat(fmt.Sprintf("warm-%d", time.Now().UnixNano())).Status == http.StatusOK })
	servers := f.site.Servers(site.LLM)
	for _, v := range append(servers, f.site.Servers(site.Ledger)...) {
		v.SetFaults(site.Faults{Unframed: true})
	}
	require.Equal(t, site.EventsOf("whole"), d.chat("whole").Body)
	require.Contains(t, d.request(http.MethodPost, "/write/1", "plain", nil).Body, "ran plain")

	for _, v := range servers {
		v.SetFaults(site.Faults{NoEvents: true})
	}
	a := d.chat("empty")
	require.True(t, a.Complete && a.Status == http.StatusOK && a.Body == "", "a stream that is complete without an event: %+v", a)
	for _, v := range servers {
		v.SetFaults(site.Faults{Unframed: true, NoEvents: true})
	}
	a = d.chat("nothing")
	require.False(t, a.Status == http.StatusOK, "it may have broken off: %+v", a)

	for _, number := range []int{1, 4} {
		for _, v := range servers {
			v.SetFaults(site.Faults{Unframed: true, BreakInEvent: number})
		}
		id := fmt.Sprintf("broken-%d", number)
		a = d.chat(id)
		require.False(t, a.Complete && a.Status == http.StatusOK, "all servers break off in event %d", number)
		require.True(t, strings.HasPrefix(site.EventsOf(id), a.Body) || a.Status != http.StatusOK)
	}
}
