package process

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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

// The same bounds for parts of prompts. From soundServedAfter after the last crash on, sound requests
// with the same caller or first part must begin at least half as often as without crashes.
const (
	crashesOfPart    = 5
	soundServedAfter = 2 * verdictPropagation
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

// TestPromptPartThatCrashesServersIsRefusedByAllDaemons guards against prompts with one crashing part that go on crashing servers, and against refusing prompts that share the other parts.
func TestPromptPartThatCrashesServersIsRefusedByAllDaemons(t *testing.T) {
	const firstPart, crashingPart = "a1:40", "bad0:10"
	f := newGatewayCluster(t, 3)
	n := 0
	prepare := func(parts string) (send func() load.FrontedAnswer) {
		n++
		d, id := f.daemons[n%len(f.daemons)], fmt.Sprintf("p%d", n)
		header := map[string]string{"X-Model": site.Model, "X-Token-Count": "100,100", "X-Prefix-Hash": fmt.Sprintf("%s,%x:50", parts, n)}
		return func() load.FrontedAnswer {
			return d.requestWithBody(http.MethodPost, "/chat/"+id, id, "body of "+id, header)
		}
	}
	for range f.daemons {
		waitUntil(t, "streams are served", func() bool { return prepare(firstPart)().Status == http.StatusOK })
	}
	f.site.AddCrasher(site.Crasher{
		Crashes: func(r *http.Request, _ string) bool {
			return strings.Contains(r.Header.Get("X-Prefix-Hash"), crashingPart)
		},
		Downtime: serverDowntime, EntryTTL: time.Second,
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	soundSent, soundServed := 0, 0
	lastCrash := time.Now()
	for started := time.Now(); time.Since(started) < 20*time.Second && time.Since(lastCrash) < soundServedAfter+2*time.Second; time.Sleep(100 * time.Millisecond) {
		if crashes := f.site.Crashes(); len(crashes) > 0 {
			lastCrash = crashes[len(crashes)-1].At
		}
		judged := time.Since(lastCrash) > soundServedAfter
		crashing, sound := prepare(firstPart+","+crashingPart), prepare(firstPart)
		wg.Go(func() { crashing() })
		wg.Go(func() {
			a := sound()
			mu.Lock()
			defer mu.Unlock()
			if judged {
				soundSent++
			}
			if judged && a.Status == http.StatusOK {
				soundServed++
			}
		})
	}
	wg.Wait()
	crashes := f.site.Crashes()
	require.GreaterOrEqual(t, len(crashes), 3, "the part must crash servers")
	if len(crashes) >= crashesOfPart {
		from, sentAfterwards := crashes[crashesOfPart-1].At.Add(verdictPropagation), 0
		for _, r := range f.site.Runs() {
			if r.StartedAt.After(from) && strings.Contains(r.Parts, crashingPart) {
				sentAfterwards++
			}
		}
		require.LessOrEqual(t, sentAfterwards, maxSentAfterwards, "%d crashes in all", len(crashes))
	}
	require.NotZero(t, soundSent, "%d crashes in all, without end", len(crashes))
	require.GreaterOrEqual(t, 2*soundServed, soundSent)
}
