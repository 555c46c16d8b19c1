package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// largeBody is as long as the site's configuration allows.
var largeBody = strings.Repeat("x", 4<<20)

// sendChunked sends a body without its length.
func (d *gatewayDaemon) sendChunked(client *http.Client, id, body string) (load.FrontedAnswer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callersAddress+"/write/1", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return load.FrontedAnswer{}, err
	}
	request.Host = site.Host
	request.Header = http.Header{"X-Request-Id": {id}, "X-Credential": {site.Key}, "X-Deadline-Ms": {"8000"}}
	response, err := client.Do(request)
	if err != nil {
		return load.FrontedAnswer{Err: err}, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return load.FrontedAnswer{Status: response.StatusCode, Header: response.Header, Body: string(answer), Complete: err == nil, Err: err}, nil
}

// TestLargeBodiesOfManyCallersStayWithinMemory guards against daemons that are killed since bodies of many callers fill their memory.
func TestLargeBodiesOfManyCallersStayWithinMemory(t *testing.T) {
	const memoryMiB, callers, rounds = 128, 75, 3
	f := newGatewayClusterWith(t, 1, map[string]any{"memoryMiB": memoryMiB})
	d := f.daemons[0]
	waitUntil(t, "requests are served", func() bool {
		return d.request(http.MethodPost, "/write/1", fmt.Sprintf("warm-%d", time.Now().UnixNano()), nil).Status == http.StatusOK
	})
	var mu sync.Mutex
	answers := make(map[string]load.FrontedAnswer)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			caller := load.NewFrontedCaller()
			defer caller.Close()
			chunks := &http.Client{Transport: &http.Transport{}}
			defer chunks.CloseIdleConnections()
			for round := range rounds {
				id := fmt.Sprintf("large-%d-%d", i, round)
				send := func(id, body string) load.FrontedAnswer {
					return caller.Send(context.Background(), d.callersAddress, load.FrontedCall{
						Method: http.MethodPost, Host: site.Host, Path: "/write/1", Body: body,
						Header: map[string]string{"X-Request-Id": id, "X-Credential": site.Key, "X-Deadline-Ms": "8000"},
					})
				}
				send("small-"+id, "a body") // opens the connection that is kept
				var a load.FrontedAnswer
				if i%3 == 0 {
					var err error
					a, err = d.sendChunked(chunks, id, largeBody)
					require.NoError(t, err)
				} else {
					a = send(id, largeBody)
				}
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if !raceEnabled { // the race detector multiplies the memory of a process
		require.Less(t, d.peakMemoryMiB(), memoryMiB)
	}
	ran := make(map[string]bool)
	for _, r := range f.site.Runs() {
		ran[r.Request] = true
	}
	served := 0
	for id, a := range answers {
		require.True(t, a.Complete, "%s: no answer: %v", id, a.Err)
		if a.Status == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, a.Status, "%s: %s", id, a.Body)
		require.NotEmpty(t, a.Header.Get("Retry-After"), id)
		require.False(t, ran[id], id)
	}
	require.Len(t, answers, callers*rounds)
	require.Positive(t, served)
	t.Logf("%d of %d served, %d MiB", served, len(answers), d.peakMemoryMiB())
	require.Equal(t, http.StatusOK, d.requestWithBody(http.MethodPost, "/write/1", "after", largeBody, nil).Status, "all memory is given back")
}

// TestBodiesThatAreTooLargeOrLate guards against callers who lose the answer to a body that is not read to its end.
func TestBodiesThatAreTooLargeOrLate(t *testing.T) {
	f := newGatewayCluster(t, 1)
	d := f.daemons[0]
	for i, body := range []string{largeBody + "x", largeBody + largeBody} {
		a := d.requestWithBody(http.MethodPost, "/write/1", fmt.Sprintf("length-%d", i), body, nil)
		require.Equal(t, http.StatusRequestEntityTooLarge, a.Status, "%v", a.Err)
		a, err := d.sendChunked(&http.Client{Transport: &http.Transport{}}, fmt.Sprintf("chunked-%d", i), body)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, a.Status, "%v", a.Err)
	}
	for framing, status := range map[string]string{
		"Content-Length: 100\r\n\r\nsome":                            "HTTP/1.1 408",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n":            "HTTP/1.1 408",
		"Expect: 100-continue\r\nContent-Length: 5000000\r\n\r\n":    "HTTP/1.1 413",
		"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 408",
	} {
		c, err := net.Dial("tcp", d.callersAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: late\r\nX-Credential: %s\r\nX-Deadline-Ms: 300\r\n%s", site.Host, site.Key, framing)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		answer, err := io.ReadAll(c)
		require.NoError(t, err, "the connection is closed")
		require.True(t, strings.HasPrefix(string(answer), status), "%s", answer)
		require.Equal(t, strings.Count(status, "HTTP/1.1"), strings.Count(string(answer), "HTTP/1.1"), "nothing follows the answer")
	}
}

// TestBodiesWithoutRoomAreHandedOverElsewhere guards against callers who are refused since the daemon that takes over their request has no memory left.
func TestBodiesWithoutRoomAreHandedOverElsewhere(t *testing.T) {
	f := newCutOffCluster(t, 1)
	start := func(i int, settings map[string]any) *gatewayDaemon {
		f.extraSettings = settings
		d := f.startDaemon(i)
		waitUntil(t, d.name+" serves", func() bool {
			return d.readyStatus() == http.StatusOK && d.request(http.MethodPost, "/write/1", fmt.Sprintf("warm-%d", time.Now().UnixNano()), nil).Status == http.StatusOK
		})
		return d
	}
	full := start(1, map[string]any{"links": freeAddress(t), "memoryMiB": 32})
	f.cut()
	other := start(2, map[string]any{"links": freeAddress(t)})
	waitUntil(t, "both take requests", func() bool {
		f.daemons[0].request(http.MethodPost, "/write/1", fmt.Sprintf("probe-%d", time.Now().UnixNano()), nil)
		return full.metric("rhubarbswitch_taken_over_total") > 0 && other.metric("rhubarbswitch_taken_over_total") > 0
	})
	waitUntil(t, "it refuses large bodies", func() bool {
		c, err := net.Dial("tcp", full.callersAddress) // two of these take all that it has for large bodies
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		id := fmt.Sprintf("%d", time.Now().UnixNano())
		_, err = fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: held-%s\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n", site.Host, id, site.Key, len(largeBody))
		require.NoError(t, err)
		return full.requestWithBody(http.MethodPost, "/write/1", "refused-"+id, largeBody, nil).Status == http.StatusServiceUnavailable
	})
	refused := full.metric("rhubarbswitch_refused_for_memory_total")
	for i := range 12 {
		a := f.daemons[0].requestWithBody(http.MethodPost, "/write/1", fmt.Sprintf("large-%d", i), largeBody, nil)
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
	require.Greater(t, full.metric("rhubarbswitch_refused_for_memory_total"), refused, "it was asked")
}

// metric returns the value of a counter.
func (d *gatewayDaemon) metric(name string) (value float64) {
	resp, err := http.Get("http://" + d.readyAddress + "/metrics")
	require.NoError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			value, err = strconv.ParseFloat(strings.TrimSpace(rest), 64)
			require.NoError(d.t, err)
		}
	}
	return value
}
