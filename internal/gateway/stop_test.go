package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// TestRequestReadAfterTheReducerEndedIsRefused guards against connections closed without an answer as a daemon exits.
func TestRequestReadAfterTheReducerEndedIsRefused(t *testing.T) {
	d := startDaemon(t, site.Once, time.Second, answerOK)
	d.Stop()
	<-d.ended
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "app"
	w := httptest.NewRecorder()
	require.NotPanics(t, func() { d.serveCaller(w, r) })
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "close", w.Header().Get("Connection"))
}

// TestStopWaitsForBodiesThatStillArrive guards against a daemon that exits as if a request whose body still arrives did not exist.
func TestStopWaitsForBodiesThatStillArrive(t *testing.T) {
	d := startDaemon(t, site.Once, 8*time.Second, answerOK)
	in, beyond := d.dial(), d.dial()
	require.NoError(t, in.send(head("in-time", 6*time.Second, 8)+"half"))
	require.NoError(t, beyond.send(head("too-long", 20*time.Second, 8)+"half"))
	time.Sleep(50 * time.Millisecond)
	d.Stop()
	time.Sleep(unreadyWait + 700*time.Millisecond)
	require.NoError(t, in.send("half"))
	require.NoError(t, beyond.send("half"))
	status, _, err := in.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	status, _, err = beyond.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status, "it might not end before the daemon does")
	require.False(t, d.arrived("too-long"), "it was refused, so it must not have run")
	<-d.ended
}

// unreadyWait is how long a stopping daemon admits requests, at least.
const unreadyWait = 2500 * time.Millisecond

// TestStopWaitsForAnswersThatAreBeingWritten guards against a stop that cuts a complete answer on its way to a slow caller.
func TestStopWaitsForAnswersThatAreBeingWritten(t *testing.T) {
	const answerBytes = 14 << 20
	d := startDaemon(t, site.Once, 8*time.Second, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, answerBytes)) })
	c := d.dial()
	require.NoError(t, c.send(head("slow", 7*time.Second, 0)))
	time.Sleep(200 * time.Millisecond)
	d.Stop()
	time.Sleep(unreadyWait + 1500*time.Millisecond)
	status, body, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, answerBytes)
	<-d.ended
}

// TestRequestsInFlightAtTheEndOfTheGraceAreAnswered guards against requests without an answer whose targets outlast a stop.
func TestRequestsInFlightAtTheEndOfTheGraceAreAnswered(t *testing.T) {
	for _, kind := range []site.Kind{site.Once, site.Repeatable} {
		const grace = 3 * time.Second
		d := startDaemon(t, kind, grace, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		c := d.dial()
		require.NoError(t, c.send(head("long", 10*time.Second, 4)+"body"))
		require.Eventually(t, func() bool { return d.arrived("long") }, time.Second, time.Millisecond)
		began := time.Now()
		d.Stop()
		status, _, err := c.answer()
		require.NoError(t, err)
		require.Equal(t, http.StatusGatewayTimeout, status, "it may have run")
		require.Less(t, time.Since(began), grace)
		<-d.ended
		require.Less(t, time.Since(began), grace)
	}
}

// TestRefusalIsWrittenAfterAnEarlierRequestsDeadline guards against a write deadline that outlives its request on a kept connection.
func TestRefusalIsWrittenAfterAnEarlierRequestsDeadline(t *testing.T) {
	d := startDaemon(t, site.Once, time.Second, answerOK)
	c := d.dial()
	require.NoError(t, c.send(head("first", 200*time.Millisecond, 0)))
	status, _, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	time.Sleep(200*time.Millisecond + writeGrace + 200*time.Millisecond)
	require.NoError(t, c.send(strings.Replace(head("second", time.Second, 0), "Host: app", "Host: nobody", 1)))
	status, _, err = c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
}

// TestNoRequestIsPassedOnOverAConnectionThatAStopCloses guards against requests that run although the stop has closed their connections.
func TestNoRequestIsPassedOnOverAConnectionThatAStopCloses(t *testing.T) {
	const callers, rounds = 40, 3
	for range rounds {
		d := startDaemon(t, site.Once, 8*time.Second, answerOK)
		var lastID atomic.Int64
		var wg sync.WaitGroup
		lost := make(chan string, callers)
		for i := range callers {
			c := d.dial()
			wg.Go(func() {
				for n := 0; ; n++ {
					id := fmt.Sprint(lastID.Add(1))
					if c.send(head(id, 5*time.Second, 4)+"body") != nil {
						return
					}
					if _, _, err := c.answer(); err != nil {
						if d.arrived(id) {
							lost <- id
						}
						return
					}
					time.Sleep(time.Duration((i*37+n*101)%130) * time.Millisecond)
					if (i+n)%3 == 0 {
						c = d.redial(c)
					}
					if c == nil {
						return
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		d.Stop()
		<-d.ended
		wg.Wait()
		close(lost)
		for id := range lost {
			t.Errorf("request %s has reached its target and got no answer", id)
		}
	}
}

// TestIdleConnectionsOutlastTheAnnouncedTime guards against connections that a stop closes as callers send their next requests.
func TestIdleConnectionsOutlastTheAnnouncedTime(t *testing.T) {
	proceed := make(chan struct{})
	d := startDaemon(t, site.Once, 8*time.Second, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testID) == "long" {
			_, _ = io.WriteString(w, "begun")
			w.(http.Flusher).Flush()
			<-proceed
		}
	})
	kept := d.dial()
	require.NoError(t, kept.send(head("kept", 5*time.Second, 0)))
	resp, err := http.ReadResponse(kept.in, nil)
	require.NoError(t, err)
	require.Equal(t, "timeout=2", resp.Header.Get("Keep-Alive"))
	_ = resp.Body.Close()
	long := d.dial()
	require.NoError(t, long.send(head("long", 7*time.Second, 0)))
	require.Eventually(t, func() bool { return d.arrived("long") }, time.Second, time.Millisecond)
	d.Stop()
	fresh := d.dial()
	time.Sleep(unreadyWait + 500*time.Millisecond)
	unused := d.dial()
	close(proceed)
	status, _, err := long.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	// The connection of a new caller is open, and its first request may take as long as the announcement says.
	time.Sleep(firstRequestTime / 2)
	require.NoError(t, unused.send(head("unused", 2*time.Second, 0)))
	status, _, err = unused.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	<-d.ended
	_, err = fresh.in.ReadByte()
	require.Error(t, err)
}

// TestRequestsBehindOthersAreAnsweredDuringAStop guards against requests that were read behind another one, on the same
// connection, and are dropped as its answer closes the connection.
func TestRequestsBehindOthersAreAnsweredDuringAStop(t *testing.T) {
	d := startDaemon(t, site.Once, 8*time.Second, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		answerOK(w, r)
	})
	chunked := func(id string) string {
		return strings.Replace(head(id, 5*time.Second, 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "4\r\nbody\r\n0\r\n\r\n"
	}
	plain := func(id string) string { return head(id, 5*time.Second, 4) + "body" }
	large := func(id string) string { return head(id, 5*time.Second, 20000) + strings.Repeat("x", 20000) }
	d.Stop()
	var wg sync.WaitGroup
	for name, request := range map[string]func(string) string{"plain": plain, "chunked": chunked, "large": large} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
			wg.Go(func() {
				id := name + pause.String()
				c := d.dial()
				if pause == 0 {
					assert.NoError(t, c.send(request(id+"first")+request(id+"second")+request(id+"third")))
				} else {
					assert.NoError(t, c.send(request(id+"first")))
					time.Sleep(pause)
					assert.NoError(t, c.send(request(id+"second")+request(id+"third")))
				}
				for _, which := range []string{"first", "second", "third"} {
					status, _, err := c.answer()
					assert.NoError(t, err, "%s request of %s", which, id)
					assert.Equal(t, http.StatusOK, status, "%s request of %s", which, id)
				}
			})
		}
	}
	wg.Wait()
	<-d.ended
}
