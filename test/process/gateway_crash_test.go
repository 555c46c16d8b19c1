package process

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// The bounds of the platform on requests that crash servers: the crashes after which a request
// counts as one, the time in which all daemons must know, and the times that it may be sent
// afterwards.
const (
	crashesOfVerdict   = 3
	verdictPropagation = 3 * time.Second
	maxSentAfterwards  = 3
)

// serverDowntime is how long a server that a request has crashed is down.
const serverDowntime = 300 * time.Millisecond

// TestRequestThatCrashesServersIsRefusedByAllDaemons guards against repeats of one crashing request that go on crashing servers.
func TestRequestThatCrashesServersIsRefusedByAllDaemons(t *testing.T) {
	for _, kind := range []string{"read", "write", "chat"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newGatewayCluster(t, 3)
			path := "/" + kind + "/crash"
			send := func(n int, path, body string) load.FrontedAnswer {
				return f.daemons[n%len(f.daemons)].requestWithBody(http.MethodPost, path, fmt.Sprintf("%s-%s-%d", kind, body, time.Now().UnixNano()), body,
					map[string]string{"X-Model": site.Model, "X-Token-Count": "100,100"})
			}
			for n := range f.daemons {
				waitUntil(t, "requests are served", func() bool { return send(n, path, "sound").Status == http.StatusOK })
			}
			f.site.AddCrasher(site.Crasher{
				Crashes:  func(r *http.Request, body string) bool { return r.URL.Path == path && body == "crash" },
				Downtime: serverDowntime, EntryTTL: time.Second,
			})
			var verdictAt time.Time
			for n := 0; verdictAt.IsZero() || time.Since(verdictAt) < 2*verdictPropagation; n++ {
				a := send(n, path, "crash")
				require.NotEqual(t, http.StatusOK, a.Status)
				require.GreaterOrEqual(t, a.Status, 500, "the configuration allows the request")
				if crashes := f.site.Crashes(); verdictAt.IsZero() && len(crashes) >= crashesOfVerdict {
					verdictAt = crashes[crashesOfVerdict-1].At
				}
				time.Sleep(100 * time.Millisecond)
			}
			sentAfterwards := 0
			for _, r := range f.site.Runs() {
				if r.Body == "crash" && r.StartedAt.After(verdictAt.Add(verdictPropagation)) {
					sentAfterwards++
				}
			}
			require.LessOrEqual(t, sentAfterwards, maxSentAfterwards, "%d crashes in all", len(f.site.Crashes()))
			for n := range 3 * len(f.daemons) {
				require.Equal(t, http.StatusOK, send(n, path, "sound").Status, "a request with another body")
				require.Equal(t, http.StatusOK, send(n, "/"+kind+"/sound", "crash").Status, "a request for another path")
			}
		})
	}
}

// TestDaemonsThatRestartKnowCrashingRequests guards against verdicts that end with the daemons that decided them.
func TestDaemonsThatRestartKnowCrashingRequests(t *testing.T) {
	f := newGatewayCluster(t, 2)
	send := func(body string) load.FrontedAnswer {
		return f.daemons[0].requestWithBody(http.MethodPost, "/read/crash", fmt.Sprintf("%s-%d", body, time.Now().UnixNano()), body, nil)
	}
	waitUntil(t, "requests are served", func() bool { return send("sound").Status == http.StatusOK })
	f.site.AddCrasher(site.Crasher{
		Crashes:  func(_ *http.Request, body string) bool { return body == "crash" },
		Downtime: serverDowntime, EntryTTL: time.Second,
	})
	waitUntil(t, "the request is refused", func() bool {
		return strings.Contains(send("crash").Body, "quarantined")
	})
	time.Sleep(time.Second)
	for restart := range 2 {
		for _, d := range f.daemons {
			d.kill()
		}
		f.daemons = nil
		f.startDaemon(0)
		d := f.startDaemon(1)
		waitUntil(t, "the daemons are ready", func() bool { return f.daemons[0].readyStatus() == http.StatusOK && d.readyStatus() == http.StatusOK })
		time.Sleep(time.Second)
		crashes := len(f.site.Crashes())
		for range 5 {
			a := send("crash")
			require.Equal(t, http.StatusServiceUnavailable, a.Status, "restart %d: %s", restart, a.Body)
		}
		require.Len(t, f.site.Crashes(), crashes)
		require.Equal(t, http.StatusOK, send("sound").Status)
	}
}
