package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

const testTimeout = 10 * time.Second

type testEngine struct {
	*Engine
	address string
	server  *serve.Local
}

func start(t *testing.T, change func(*Options)) *testEngine {
	t.Helper()
	o := Options{
		Host: "h", TokenGap: time.Millisecond, RestartDelay: 5 * time.Millisecond, PollInterval: 5 * time.Millisecond,
		LossReportDelay: 200 * time.Millisecond, HangTimeout: 20 * time.Millisecond, PrefixCacheSize: 2,
	}
	if change != nil {
		change(&o)
	}
	stub := New(o)
	server, err := serve.Open(stub.Handler(), stub.Hooks())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return &testEngine{stub, server.Address, server}
}

func (r *testEngine) sendOrder(t *testing.T, o engineapi.Order) (int, engineapi.OrderReply) {
	t.Helper()
	body, err := json.Marshal(o)
	require.NoError(t, err)
	response, err := http.Post("http://"+r.address+engineapi.PathOrder, "application/json", strings.NewReader(string(body)))
	require.NoError(t, err)
	defer response.Body.Close()
	var reply engineapi.OrderReply
	require.NoError(t, json.NewDecoder(response.Body).Decode(&reply))
	return response.StatusCode, reply
}

func (r *testEngine) statusNow() (engineapi.Status, error) {
	var status engineapi.Status
	response, err := http.Get("http://" + r.address + engineapi.PathStatus)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func (r *testEngine) waitReady(t *testing.T) engineapi.Status {
	t.Helper()
	var status engineapi.Status
	require.Eventually(t, func() bool {
		var err error
		status, err = r.statusNow()
		return err == nil && status.Ready
	}, testTimeout, time.Millisecond)
	return status
}

func join(t *testing.T, group string, generation uint64, members ...*testEngine) {
	t.Helper()
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.address)
	}
	for rank, m := range members {
		status, reply := m.sendOrder(t, engineapi.Order{
			FencingToken: 1, Kind: engineapi.OrderJoin, Group: group, Generation: generation,
			Model: "m", Rank: rank, Members: addresses,
		})
		require.Equal(t, http.StatusOK, status)
		require.True(t, reply.Accepted)
	}
	for _, m := range members {
		m.waitReady(t)
	}
}

func (r *testEngine) request(t *testing.T, body string, header map[string]string) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.address+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(engineapi.HeaderAttempt, "a1")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

// readStream returns the text of a stream, its last offset, and whether it was complete.
func readStream(t *testing.T, response *http.Response) (text string, offset int, complete bool) {
	t.Helper()
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			return text, offset, true
		}
		var chunk Answer
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		require.Equal(t, "a1", chunk.Attempt)
		text += chunk.Choices[0].Text
		offset = chunk.Offset
	}
	return text, offset, false
}

func TestCompleteAnswer(t *testing.T) {
	e := start(t, nil)
	join(t, "g", 1, e)
	response, err := e.request(t, `{"model":"m","prompt":"p","max_tokens":5}`, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	var answer Answer
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	require.Equal(t, Text("p", 0, 5), answer.Choices[0].Text)
	require.Equal(t, "a1", answer.Attempt)
	require.Equal(t, "a1", response.Header.Get(engineapi.HeaderAttempt))
	require.Equal(t, 5, answer.Usage.CompletionTokens)
	require.Equal(t, map[string]int64{"a1": 1}, e.Stats().RunsByAttempt)
}

func TestStreamResumes(t *testing.T) {
	e := start(t, nil)
	join(t, "g", 1, e)
	response, err := e.request(t, `{"prompt":"p","max_tokens":8,"stream":true}`, map[string]string{engineapi.HeaderResumeFrom: "3"})
	require.NoError(t, err)
	text, offset, complete := readStream(t, response)
	require.True(t, complete)
	require.Equal(t, Text("p", 3, 8), text)
	require.Equal(t, 8, offset)
}

func TestRefusesOtherGroupOrGeneration(t *testing.T) {
	e := start(t, nil)
	response, err := e.request(t, `{"prompt":"p"}`, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode)
	join(t, "g", 7, e)
	for _, header := range []map[string]string{
		{engineapi.HeaderGroup: "other"},
		{engineapi.HeaderGroup: "g", engineapi.HeaderGeneration: "6"},
	} {
		response, err = e.request(t, `{"prompt":"p"}`, header)
		require.NoError(t, err)
		require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode)
		require.Equal(t, "true", response.Header.Get(engineapi.HeaderNotRun))
	}
	require.Zero(t, e.Stats().Runs)
}

func TestFencing(t *testing.T) {
	checks := start(t, func(o *Options) { o.ChecksFencing = true })
	ignores := start(t, nil)
	for _, e := range []*testEngine{checks, ignores} {
		status, _ := e.sendOrder(t, engineapi.Order{FencingToken: 5, Kind: engineapi.OrderIdle})
		require.Equal(t, http.StatusOK, status)
	}
	status, reply := checks.sendOrder(t, engineapi.Order{FencingToken: 4, Kind: engineapi.OrderIdle})
	require.Equal(t, http.StatusConflict, status)
	require.False(t, reply.Accepted)
	require.EqualValues(t, 5, reply.Status.FencingToken)
	status, _ = ignores.sendOrder(t, engineapi.Order{FencingToken: 4, Kind: engineapi.OrderIdle})
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 1, ignores.Stats().StaleOrdersAccepted)
}

func TestGroupWithoutMemberNeverAnswers(t *testing.T) {
	leader, member := start(t, nil), start(t, nil)
	join(t, "g", 1, leader, member)
	response, err := leader.request(t, `{"prompt":"p","max_tokens":2,"stream":true}`, nil)
	require.NoError(t, err)
	_, _, complete := readStream(t, response)
	require.True(t, complete)

	member.SetFaults(Faults{Crash: true})
	require.Eventually(t, func() bool {
		i, running := leader.process.Current()
		if !running {
			return false
		}
		_, broken := i.State.brokenFor(i.State.assignment, time.Now())
		return broken
	}, testTimeout, time.Millisecond)
	_, err = leader.request(t, `{"prompt":"p"}`, nil)
	require.Error(t, err)
	require.EqualValues(t, 1, leader.Stats().BrokenGroupRequests)
	require.Eventually(t, func() bool {
		status, err := leader.statusNow()
		return err == nil && !status.Ready
	}, testTimeout, time.Millisecond)
}

func TestRetireStartsNewIncarnation(t *testing.T) {
	e := start(t, nil)
	join(t, "g", 1, e)
	before := e.waitReady(t)
	status, _ := e.sendOrder(t, engineapi.Order{FencingToken: 2, Kind: engineapi.OrderRetire})
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		after, err := e.statusNow()
		return err == nil && after.Incarnation != before.Incarnation && after.Group == ""
	}, testTimeout, time.Millisecond)
}

func TestEndClosesIdleConnections(t *testing.T) {
	e := start(t, nil)
	var client http.Client
	client.Transport = &http.Transport{MaxConnsPerHost: 1}
	response, err := client.Get("http://" + e.address + engineapi.PathProbe)
	require.NoError(t, err)
	first := response.Header.Get(engineapi.HeaderIncarnation)
	require.NoError(t, response.Body.Close())
	i, running := e.process.Current()
	require.True(t, running)
	e.endIncarnation(i)
	require.Error(t, i.Context().Err())
	require.Eventually(t, func() bool {
		response, err := client.Get("http://" + e.address + engineapi.PathProbe)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.Header.Get(engineapi.HeaderIncarnation) != first
	}, testTimeout, time.Millisecond)
}

func TestOverloadedColdEngineCrashes(t *testing.T) {
	e := start(t, func(o *Options) {
		o.Warmth = warmth.Limits{ColdLimit: 1, WarmAfter: 1}
		o.TokenGap = 20 * time.Millisecond
	})
	join(t, "g", 1, e)
	var group sync.WaitGroup
	var mu sync.Mutex
	aborted := 0
	for range 2 {
		group.Go(func() {
			response, err := e.request(t, `{"prompt":"p","max_tokens":5000}`, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if err != nil {
				mu.Lock()
				aborted++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Equal(t, 2, aborted)
	require.EqualValues(t, 1, e.Stats().OverloadCrashes)
	require.Equal(t, 2, e.Stats().PeakCold)
}

func TestCrashMarkerEndsIncarnation(t *testing.T) {
	e := start(t, nil)
	join(t, "g", 1, e)
	_, err := e.request(t, `{"prompt":"a {{crash}} b"}`, nil)
	require.Error(t, err)
	require.Eventually(t, func() bool { return e.Stats().Incarnations == 2 }, testTimeout, time.Millisecond)
	require.EqualValues(t, 1, e.Stats().Poisoned)
}

func TestMisbehaviours(t *testing.T) {
	e := start(t, nil)
	join(t, "g", 1, e)
	e.SetFaults(Faults{WrongAttempt: 1})
	response, err := e.request(t, `{"prompt":"p"}`, nil)
	require.NoError(t, err)
	require.NotEqual(t, "a1", response.Header.Get(engineapi.HeaderAttempt))

	e.SetFaults(Faults{Truncate: 2})
	response, err = e.request(t, `{"prompt":"p"}`, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	response, err = e.request(t, `{"prompt":"p","stream":true}`, nil)
	require.NoError(t, err)
	_, _, complete := readStream(t, response)
	require.False(t, complete)

	e.SetFaults(Faults{DuplicateChunk: 1})
	response, err = e.request(t, `{"prompt":"p","stream":true,"max_tokens":3}`, nil)
	require.NoError(t, err)
	text, _, complete := readStream(t, response)
	require.True(t, complete)
	require.Equal(t, Token("p", 0)+Text("p", 0, 3), text)

	e.SetFaults(Faults{CrashAfterTokens: 3})
	response, err = e.request(t, `{"prompt":"p","stream":true}`, nil)
	require.NoError(t, err)
	_, offset, complete := readStream(t, response)
	require.False(t, complete)
	require.LessOrEqual(t, offset, 3)
}

func TestCancelStopsAttempt(t *testing.T) {
	e := start(t, func(o *Options) { o.TokenGap = 10 * time.Millisecond })
	join(t, "g", 1, e)
	response, err := e.request(t, `{"prompt":"p","stream":true,"max_tokens":100000}`, nil)
	require.NoError(t, err)
	request, err := http.NewRequest("DELETE", "http://"+e.address+engineapi.PathAttempts+"a1", nil)
	require.NoError(t, err)
	cancelled, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, cancelled.StatusCode)
	_, _, complete := readStream(t, response)
	require.False(t, complete)
	require.EqualValues(t, 1, e.Stats().Cancels)
}

func TestPauseKeepsConnectionsOpen(t *testing.T) {
	e := start(t, nil)
	e.SetFaults(Faults{Pause: true})
	done := make(chan error, 1)
	go func() {
		_, err := e.statusNow()
		done <- err
	}()
	select {
	case <-done:
		t.Fatal("a paused engine answered")
	case <-time.After(50 * time.Millisecond):
	}
	e.SetFaults(Faults{})
	require.NoError(t, <-done)
}

func TestPrefixCache(t *testing.T) {
	cache := newPrefixCache(2)
	var hits []string
	for i, prompt := range []string{"a", "b", "a", "c", "b", "a"} {
		if cache.use(prompt) {
			hits = append(hits, prompt+strconv.Itoa(i))
		}
	}
	require.Equal(t, []string{"a2"}, hits)
}
