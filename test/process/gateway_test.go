package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// gatewayCluster is a stub site with gateway daemons, as processes, in front of it.
type gatewayCluster struct {
	t       *testing.T
	site    *site.Site // store, engines and ledger servers
	daemons []*gatewayDaemon
	// extraSettings replace or add settings of the daemons.
	extraSettings map[string]any
}

// gatewayDaemon is one rhubarbswitchd in gateway mode.
type gatewayDaemon struct {
	*process
	callersAddress string        // address of the listener for callers
	readyAddress   string        // address of the readiness endpoint
	stdoutDrained  chan struct{} // closed when standard output has reached its end
}

// newGatewayCluster starts a site of seven engines and two ledgers and waits until the
// daemons in front of it are ready. At the end of the test the site must have recorded no
// violation.
func newGatewayCluster(t *testing.T, daemons int) *gatewayCluster {
	return newGatewayClusterWith(t, daemons, nil)
}

// newGatewayClusterWith is newGatewayCluster with settings that replace or add to the usual
// ones.
func newGatewayClusterWith(t *testing.T, daemons int, extraSettings map[string]any) *gatewayCluster {
	s, err := site.New(site.Timing{
		LoadTime: 400 * time.Millisecond, WarmLoadTime: 100 * time.Millisecond, OpenTime: 20 * time.Millisecond,
		EventInterval: 20 * time.Millisecond, StallTimeout: 2 * time.Second,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	t.Cleanup(func() { require.Empty(t, s.Violations()) })
	f := &gatewayCluster{t: t, site: s, extraSettings: extraSettings}
	f.site.Configure(1, 0)
	for i := range 7 {
		f.addServer(fmt.Sprintf("engine-%d", i), site.LLM, "zone-a-d0")
	}
	for i := range 2 {
		f.addServer(fmt.Sprintf("ledger-%d", i), site.Ledger, "")
	}
	s.Store.Put("servers", "foreign", map[string]any{"service": 7})
	for i := range daemons {
		f.startDaemon(i)
	}
	for _, d := range f.daemons {
		waitUntil(t, d.name+" is ready", func() bool { return d.readyStatus() == http.StatusOK })
	}
	return f
}

func (f *gatewayCluster) addServer(id, service, domain string) *site.Server {
	v, err := f.site.Add(id, service, "zone-a", domain)
	require.NoError(f.t, err)
	return v
}

func (f *gatewayCluster) startDaemon(i int) *gatewayDaemon {
	d := &gatewayDaemon{callersAddress: freeAddress(f.t), readyAddress: freeAddress(f.t), stdoutDrained: make(chan struct{})}
	set := f.site.Settings(fmt.Sprintf("gateway-%d", i), "zone-a", d.callersAddress, d.readyAddress, f.site.Store.Address)
	set["links"] = freeAddress(f.t)
	maps.Copy(set, f.extraSettings)
	settings, err := json.Marshal(set)
	require.NoError(f.t, err)
	path := filepath.Join(f.t.TempDir(), "settings.json")
	require.NoError(f.t, os.WriteFile(path, settings, 0o600))
	d.process = spawn(f.t, fmt.Sprintf("gateway-%d", i), "rhubarbswitchd", "gateway", path)
	go func() {
		defer close(d.stdoutDrained)
		_, _ = io.Copy(io.Discard, d.stdout) // ends with the process
	}()
	f.daemons = append(f.daemons, d)
	return d
}

// readyStatus returns the HTTP status of the readiness endpoint, or 0 if it does not answer.
func (d *gatewayDaemon) readyStatus() int {
	resp, err := http.Get("http://" + d.readyAddress + "/rhubarbswitch/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

var siteCaller = load.NewFrontedCaller()

// request sends one request with an ID that must be unique within the test. The tenant and
// instance headers are forged; the daemon must replace them. extraHeader adds headers or
// replaces the default ones.
func (d *gatewayDaemon) request(method, path, id string, extraHeader map[string]string) load.FrontedAnswer {
	return d.requestWithBody(method, path, id, "a body", extraHeader)
}

// requestWithBody is request with another body.
func (d *gatewayDaemon) requestWithBody(method, path, id, body string, extraHeader map[string]string) load.FrontedAnswer {
	header := map[string]string{
		"X-Request-Id": id, "X-Credential": site.Key, "X-Deadline-Ms": "6000", "X-Tenant": "forged", "X-Expect-Instance": "forged",
	}
	maps.Copy(header, extraHeader)
	return siteCaller.Send(context.Background(), d.callersAddress, load.FrontedCall{
		Method: method, Host: site.Host, Path: path, Body: body, Header: header,
	})
}

// chat sends one streamed chat request.
func (d *gatewayDaemon) chat(id string) load.FrontedAnswer {
	return d.request(http.MethodPost, "/chat/1", id, map[string]string{"X-Model": site.Model, "X-Token-Count": "100,100"})
}

// openGroups counts the groups whose head is open, that is, ready for requests.
func (f *gatewayCluster) openGroups() int {
	n := 0
	for _, v := range f.site.Servers(site.LLM) {
		if m := v.Member(); m != nil && m.State == "open" {
			n++
		}
	}
	return n
}

// TestGatewayServesEveryKind waits until groups are formed and sends each kind of request
// through each daemon. Streams must arrive unchanged. Other answers must carry the server's
// header, and their body must name the credential's team, not the forged one. Refusals must
// have the right status.
func TestGatewayServesEveryKind(t *testing.T) {
	f := newGatewayCluster(t, 3)
	waitUntil(t, "two groups are open", func() bool { return f.openGroups() == 2 })
	for i, d := range f.daemons {
		waitUntil(t, "a stream is complete", func() bool {
			id := fmt.Sprintf("s%d-%d", i, time.Now().UnixNano())
			return d.chat(id).Body == site.EventsOf(id)
		})
		for _, c := range []struct {
			method, path string
			head         map[string]string
			status       int
		}{
			{http.MethodPost, "/write/1", nil, 200},
			{http.MethodGet, "/read/1?a=%2F&b", nil, 200},
			{http.MethodGet, "/nowhere/", nil, 404},
			{http.MethodGet, "/read/1", map[string]string{"X-Credential": "unknown"}, 401},
		} {
			id := fmt.Sprintf("%s-%s-%d", c.method, c.path, i)
			a := d.request(c.method, c.path, id, c.head)
			require.Equal(t, c.status, a.Status, "%s %s: %s", c.method, c.path, a.Body)
			if c.status == 200 {
				require.Contains(t, a.Body, "ran "+id+" for team-a")
				require.Contains(t, a.Header.Get("X-Server-Stamp"), id)
			}
		}
	}
}

// TestGatewayRepairsGroups crashes a member while streams run. A stream may be refused with
// 503; every other one must continue on another group within the same answer, without missing
// or repeated events. At least one must have been moved. Both groups must open again.
//
// A daemon that is younger than the retry window has no part of the retry slack, because an
// earlier run may have spent it. The window is short here so that the daemons are older.
func TestGatewayRepairsGroups(t *testing.T) {
	const retryWindow = time.Second
	const slackDelay = 2 * time.Second // a daemon has no retry slack before the others know of it
	f := newGatewayClusterWith(t, 2, map[string]any{"retryWindow": retryWindow.String()})
	started := time.Now()
	waitUntil(t, "two groups are open", func() bool { return f.openGroups() == 2 })
	for i, d := range f.daemons {
		waitUntil(t, "a stream is served", func() bool {
			id := fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())
			return d.chat(id).Body == site.EventsOf(id)
		})
	}
	time.Sleep(time.Until(started.Add(retryWindow + slackDelay)))
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			id := fmt.Sprintf("r%d", i)
			a := f.daemons[i%2].chat(id)
			if a.Status != http.StatusServiceUnavailable {
				require.Equal(t, site.EventsOf(id), a.Body, "request %s, status %d", id, a.Status)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	for _, v := range f.site.Servers(site.LLM) {
		if m := v.Member(); m != nil && m.Rank == 1 {
			v.Crash(time.Second)
			break
		}
	}
	wg.Wait()
	runs, moved := make(map[string]int), 0
	for _, r := range f.site.Runs() {
		if runs[r.Request]++; runs[r.Request] == 2 {
			moved++
		}
	}
	require.Positive(t, moved, "no stream was moved to another group")
	waitUntil(t, "both groups are open again", func() bool { return f.openGroups() == 2 })
}

// TestGatewayRunsOnce sends requests that are not idempotent while a server fails and
// crashes. No request may run twice, and none that was answered 503 may have run.
func TestGatewayRunsOnce(t *testing.T) {
	f := newGatewayCluster(t, 2)
	ledgers := f.site.Servers(site.Ledger)
	answers := make([]load.FrontedAnswer, 60)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = f.daemons[i%2].request(http.MethodPost, "/write/1", fmt.Sprintf("w%d", i), nil) })
		time.Sleep(5 * time.Millisecond)
		switch i {
		case 15:
			ledgers[0].SetFaults(site.Faults{Status: http.StatusInternalServerError})
		case 30:
			ledgers[0].Crash(2 * time.Second)
		}
	}
	wg.Wait()
	served := 0
	for i, a := range answers {
		runs := 0
		for _, r := range f.site.Runs() {
			if r.Request == fmt.Sprintf("w%d", i) {
				runs++
			}
		}
		require.LessOrEqual(t, runs, 1, "w%d", i)
		if a.Status == http.StatusServiceUnavailable {
			require.Zero(t, runs, "w%d was answered 503", i)
		}
		if a.Status == http.StatusOK {
			served++
		}
	}
	require.Greater(t, served, len(answers)/2)
}

// TestGatewayFollowsConfiguration changes the configuration, also after the store has lost
// its history and while the store fails. Each daemon must serve the new routes and keep
// serving the known ones while the store is unavailable.
func TestGatewayFollowsConfiguration(t *testing.T) {
	f := newGatewayCluster(t, 3)
	serves := func(n int) func() bool {
		return func() bool {
			for i, d := range f.daemons {
				a := d.request(http.MethodGet, fmt.Sprintf("/extra-%d/x", n), fmt.Sprintf("c%d-%d-%d", n, i, time.Now().UnixNano()), nil)
				if a.Status != http.StatusOK {
					return false
				}
			}
			return true
		}
	}
	f.site.Configure(2, 1)
	waitUntil(t, "version 2 is in force", serves(0))
	f.site.Store.DropHistory()
	f.site.Configure(5, 2)
	waitUntil(t, "version 5 is in force", serves(1))
	f.site.Store.SetFaults(site.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(500 * time.Millisecond)
	require.True(t, serves(1)(), "known routes must be served while the store is unavailable")
	f.site.Configure(6, 3)
	f.site.Store.SetFaults(site.StoreFaults{})
	waitUntil(t, "version 6 is in force", serves(2))
}

// TestGatewayStopsGracefully stops a daemon under load. It must report unready at once,
// complete the answers that it has begun, and exit within its grace period. The groups must
// stay open and serve through the other daemon.
func TestGatewayStopsGracefully(t *testing.T) {
	f := newGatewayCluster(t, 2)
	waitUntil(t, "two groups are open", func() bool { return f.openGroups() == 2 })
	d := f.daemons[0]
	waitUntil(t, "a stream is served", func() bool { return d.chat(fmt.Sprintf("warm-%d", time.Now().UnixNano())).Status == http.StatusOK })
	d.signal(syscall.SIGHUP)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			id := fmt.Sprintf("g%d", i)
			require.Equal(t, site.EventsOf(id), d.chat(id).Body)
		})
	}
	time.Sleep(100 * time.Millisecond)
	d.terminate()
	waitUntil(t, "the daemon reports unready", func() bool { return d.readyStatus() != http.StatusOK })
	wg.Wait()
	require.Zero(t, d.waitExit(10*time.Second))
	require.Equal(t, 2, f.openGroups())
	id := "after"
	require.Equal(t, site.EventsOf(id), f.daemons[1].chat(id).Body)
}

// TestGatewayTakesOverLease kills the lease holder and crashes a member of a group. Another
// daemon must take the lease and repair the group.
func TestGatewayTakesOverLease(t *testing.T) {
	f := newGatewayCluster(t, 3)
	waitUntil(t, "two groups are open", func() bool { return f.openGroups() == 2 })
	var lease struct {
		Holder string `json:"holder"`
	}
	require.True(t, f.site.Store.Read("gateway-control", "groups", &lease))
	for _, d := range f.daemons {
		if d.name == lease.Holder {
			d.kill()
		}
	}
	for _, v := range f.site.Servers(site.LLM) {
		if m := v.Member(); m != nil && m.Rank == 2 {
			v.Crash(time.Second)
			break
		}
	}
	waitUntil(t, "another daemon holds the lease", func() bool {
		before := lease.Holder
		return f.site.Store.Read("gateway-control", "groups", &lease) && lease.Holder != before
	})
	waitUntil(t, "both groups are complete again", func() bool {
		for _, v := range f.site.Servers(site.LLM) {
			if m := v.Member(); m != nil && m.State == "open" && !f.isComplete(m) {
				return false
			}
		}
		return f.openGroups() == 2
	})
}

// isComplete reports whether all site.GroupSize members of a formation have registered.
func (f *gatewayCluster) isComplete(m *site.Membership) bool {
	n := 0
	for _, v := range f.site.Servers(site.LLM) {
		if other := v.Member(); other != nil && other.Name == m.Name && other.Epoch == m.Epoch {
			n++
		}
	}
	return n == site.GroupSize
}
