package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

func start(t *testing.T, o Options) (*Service, string) {
	t.Helper()
	o.Host = "s"
	stub := New(o)
	server, err := serve.Open(stub.Handler(), stub.Hooks())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return stub, "http://" + server.Address
}

func call(t *testing.T, url, key string) (int, Answer, error) {
	t.Helper()
	request, err := http.NewRequest("POST", url+"/orders", strings.NewReader("body "+key))
	require.NoError(t, err)
	request.Header.Set(engineapi.HeaderIdempotencyKey, key)
	request.Header.Set(engineapi.HeaderAttempt, "attempt-"+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, Answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return response.StatusCode, Answer{}, err
	}
	var answer Answer
	require.NoError(t, json.Unmarshal(text, &answer))
	require.Equal(t, answer.Attempt, response.Header.Get(engineapi.HeaderAttempt))
	return response.StatusCode, answer, nil
}

func waitUntilRunning(t *testing.T, url string) {
	t.Helper()
	require.Eventually(t, func() bool {
		response, err := http.Get(url + engineapi.PathProbe)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	}, 10*time.Second, time.Millisecond)
}

func TestCountsRunsByKey(t *testing.T) {
	stub, url := start(t, Options{})
	_, first, err := call(t, url, "k")
	require.NoError(t, err)
	require.Equal(t, Digest([]byte("body k")), first.BodyDigest)
	_, second, err := call(t, url, "k")
	require.NoError(t, err)
	require.EqualValues(t, 2, second.Run)
	require.Equal(t, map[string]int64{"k": 2}, stub.Stats().RunsByKey)
}

func TestFaultsDecideWhetherCallRuns(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts Counts
		ran    bool
		status int // 0 means that the connection is aborted
	}{
		{"crash before", Counts{CrashBefore: 1}, false, 0},
		{"crash after", Counts{CrashAfter: 1}, true, 0},
		{"truncate", Counts{Truncate: 1}, true, http.StatusOK},
		{"refuse before", Counts{RefuseBefore: 1}, false, http.StatusServiceUnavailable},
		{"fail after", Counts{FailAfter: 1}, true, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			stub, url := start(t, Options{})
			stub.SetFaults(Faults{Counts: c.counts})
			status, _, err := call(t, url, "k")
			require.Equal(t, c.status, status)
			require.Equal(t, c.status == 0 || c.name == "truncate", err != nil)
			require.Equal(t, c.ran, stub.Stats().RunsByKey["k"] == 1)
			waitUntilRunning(t, url)
		})
	}
}

func TestCrossedAnswer(t *testing.T) {
	stub, url := start(t, Options{})
	_, _, err := call(t, url, "k1")
	require.NoError(t, err)
	stub.SetFaults(Faults{Counts: Counts{Cross: 1}})
	_, answer, err := call(t, url, "k2")
	require.NoError(t, err)
	require.Equal(t, "attempt-k1", answer.Attempt)
}

func TestSharesDoNotDependOnOrder(t *testing.T) {
	shares := Shares{CrashBefore: 0.2, Cross: 0.3}
	for _, key := range []string{"a", "b", "c", "d"} {
		require.Equal(t, shares.pick(7, key, 1), shares.pick(7, key, 1))
	}
	faulty := 0
	for i := range uint64(1000) {
		if shares.pick(7, "k", i) != NoFault {
			faulty++
		}
	}
	require.InDelta(t, 500, faulty, 60)
}

func TestOverloadedColdServiceCrashes(t *testing.T) {
	stub, url := start(t, Options{RunTime: time.Minute, Warmth: warmth.Limits{ColdLimit: 1, WarmAfter: 1}})
	var group sync.WaitGroup
	for _, key := range []string{"a", "b"} {
		group.Go(func() { _, _, _ = call(t, url, key) })
	}
	group.Wait()
	require.EqualValues(t, 1, stub.Stats().OverloadCrashes)
}
