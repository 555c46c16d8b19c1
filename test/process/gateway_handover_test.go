package process

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// cutOffCluster is a gatewayCluster of daemons with links, of which the first has paths of its own to the
// servers.
type cutOffCluster struct {
	*gatewayCluster
	view  *site.View
	links []string // of the daemons
}

func newCutOffCluster(t *testing.T, daemons int) *cutOffCluster {
	f := &cutOffCluster{gatewayCluster: newGatewayCluster(t, 0)}
	for range daemons {
		f.links = append(f.links, freeAddress(t))
	}
	var err error
	f.view, err = f.site.NewView(f.links[0])
	require.NoError(t, err)
	t.Cleanup(f.view.Close)
	for i := range daemons {
		f.extraSettings = map[string]any{"links": f.links[i]}
		if i == 0 {
			f.extraSettings["platform"] = f.view.Address
		}
		f.startDaemon(i)
	}
	f.waitUntilServing()
	return f
}

// waitUntilServing waits until each daemon serves streams and other requests.
func (f *gatewayCluster) waitUntilServing() {
	for _, d := range f.daemons {
		waitUntil(f.t, d.name+" serves", func() bool {
			id := fmt.Sprintf("warm-%d", time.Now().UnixNano())
			return d.readyStatus() == http.StatusOK && d.chat(id).Status == http.StatusOK && d.request(http.MethodPost, "/write/1", id+"w", nil).Status == http.StatusOK
		})
	}
}

// cut cuts the first daemon off from all servers, silently.
func (f *cutOffCluster) cut() {
	require.NoError(f.t, f.view.CutServers(cutter.Cut{Existing: cutter.Freeze}, cutter.Hanging))
}

// waitUntilHandedOver waits until the first daemon hands over what comes.
func (f *cutOffCluster) waitUntilHandedOver() {
	waitUntil(f.t, "requests are handed over", func() bool {
		id := fmt.Sprintf("probe-%d", time.Now().UnixNano())
		return f.daemons[0].request(http.MethodPost, "/write/1", id, nil).Status == http.StatusOK && f.daemons[0].chat(id+"c").Status == http.StatusOK
	})
}

// TestCutOffDaemonServesEveryKind cuts a daemon off from all servers. Its callers must get answers as over
// any other daemon, and be told of their own mistakes.
func TestCutOffDaemonServesEveryKind(t *testing.T) {
	f := newCutOffCluster(t, 2)
	d := f.daemons[0]
	f.cut()
	f.waitUntilHandedOver()
	for i := range 20 {
		id := fmt.Sprintf("k%d", i)
		chat := d.chat("c" + id)
		require.Equal(t, site.EventsOf("c"+id), chat.Body)
		require.True(t, chat.Complete)
		require.Equal(t, "c"+id, chat.Header.Get("X-Request-Id"))
		for name := range chat.Header {
			require.NotContains(t, name, "Handover")
		}
		require.Equal(t, http.StatusOK, d.request(http.MethodPost, "/write/1", "w"+id, nil).Status)
		require.Equal(t, http.StatusOK, d.request(http.MethodGet, "/read/1", "r"+id, nil).Status)
	}
	require.Equal(t, http.StatusUnauthorized, d.request(http.MethodPost, "/write/1", "no-key", map[string]string{"X-Credential": "none"}).Status)
	require.Equal(t, http.StatusNotFound, d.request(http.MethodPost, "/nowhere/1", "no-route", nil).Status)
	runs := make(map[string]int)
	for _, r := range f.site.Runs() {
		runs[r.Request]++
		require.Equal(t, site.Team, r.Team)
	}
	for i := range 20 {
		require.Equal(t, 1, runs[fmt.Sprintf("wk%d", i)])
	}
	require.NoError(t, f.view.RestoreServers(cutter.Cut{Existing: cutter.Pass}))
	require.Equal(t, http.StatusOK, d.request(http.MethodPost, "/write/1", "after", nil).Status)
}

// TestLinksNeedKeys guards against callers who reach the links and get round the keys.
func TestLinksNeedKeys(t *testing.T) {
	f := newCutOffCluster(t, 2)
	for _, key := range []string{"", "none"} {
		a := siteCaller.Send(context.Background(), f.links[1], load.FrontedCall{
			Method: http.MethodPost, Host: site.Host, Path: "/write/1", Body: "a body",
			Header: map[string]string{"X-Request-Id": "direct" + key, "X-Credential": key, "X-Tenant": site.Team, "Rhubarbswitch-Handover-Max-Runs": "5"},
		})
		require.Equal(t, http.StatusUnauthorized, a.Status)
	}
	for _, r := range f.site.Runs() {
		require.NotContains(t, r.Request, "direct")
	}
}

// TestHeadersBetweenDaemonsAreNotTakenFromCallers guards against callers who say that a request was handed
// over.
func TestHeadersBetweenDaemonsAreNotTakenFromCallers(t *testing.T) {
	f := newCutOffCluster(t, 2)
	f.cut()
	f.waitUntilHandedOver()
	forged := map[string]string{"Rhubarbswitch-Handover-Max-Runs": "0", "Rhubarbswitch-Handover-Host": "forged"}
	require.Equal(t, http.StatusOK, f.daemons[0].request(http.MethodPost, "/write/1", "forged", forged).Status)
}

// TestDaemonsStopWhileRequestsAreHandedOver stops the daemon that hands over, and one that takes, under load.
// Accepted requests must end well.
func TestDaemonsStopWhileRequestsAreHandedOver(t *testing.T) {
	for stopped := range 2 {
		t.Run(fmt.Sprint(stopped), func(t *testing.T) {
			f := newCutOffCluster(t, 3)
			f.cut()
			f.waitUntilHandedOver()
			var wg sync.WaitGroup
			for i := range 40 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 25 * time.Millisecond)
					id := fmt.Sprintf("s%d", i)
					if i%4 == 0 {
						require.Equal(t, http.StatusOK, f.daemons[0].request(http.MethodPost, "/write/1", id, nil).Status, id)
						return
					}
					require.Equal(t, site.EventsOf(id), f.daemons[0].chat(id).Body, id)
				})
			}
			time.Sleep(300 * time.Millisecond)
			f.daemons[stopped].terminate()
			wg.Wait()
			require.Zero(t, f.daemons[stopped].waitExit(10*time.Second))
		})
	}
}

// TestLossOfTheTakingDaemonIsNoProof kills the daemon that has taken a request that must not run twice. It may
// have run, so the caller must not be told that it has not.
func TestLossOfTheTakingDaemonIsNoProof(t *testing.T) {
	f := newCutOffCluster(t, 2)
	f.cut()
	f.waitUntilHandedOver()
	for _, v := range f.site.Servers(site.Ledger) {
		v.SetFaults(site.Faults{Hang: true})
	}
	answered := make(chan load.FrontedAnswer)
	go func() { answered <- f.daemons[0].request(http.MethodPost, "/write/1", "lost", nil) }()
	waitUntil(t, "a server has the request", func() bool {
		for _, a := range f.site.Arrivals() {
			if a.Request == "lost" {
				return true
			}
		}
		return false
	})
	f.daemons[1].signal(syscall.SIGKILL)
	require.Equal(t, http.StatusBadGateway, (<-answered).Status)
}

// TestCallerOfCutOffDaemonLeaves ends a caller's connection while another daemon serves its stream. The server
// must stop.
func TestCallerOfCutOffDaemonLeaves(t *testing.T) {
	f := newCutOffCluster(t, 2)
	f.cut()
	f.waitUntilHandedOver()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
	defer cancel()
	siteCaller.Send(ctx, f.daemons[0].callersAddress, load.FrontedCall{
		Method: http.MethodPost, Host: site.Host, Path: "/chat/1", Body: "a body",
		Header: map[string]string{"X-Request-Id": "left", "X-Credential": site.Key, "X-Deadline-Ms": "6000", "X-Model": site.Model, "X-Token-Count": "100,100"},
	})
	time.Sleep(500 * time.Millisecond)
	for _, r := range f.site.Runs() {
		if r.Request == "left" {
			require.False(t, r.EndedAt.IsZero(), "it still runs at %s", r.Server)
		}
	}
}
