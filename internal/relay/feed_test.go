package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type fakeClock struct{ at atomic.Int64 }

func (c *fakeClock) now() time.Duration           { return time.Duration(c.at.Load()) }
func (c *fakeClock) advance(d time.Duration)      { c.at.Add(int64(d)) }
func event(text string) json.RawMessage           { return json.RawMessage(`["` + text + `"]`) }
func look(f *Feed, after uint64) (Changes, error) { return f.Wait(context.Background(), after, 0) }

func TestChangesAfterARevision(t *testing.T) {
	clock := &fakeClock{}
	f := NewFeed(clock.now, time.Second)
	_, err := look(f, 0)
	require.ErrorIs(t, err, errDeaf)
	f.Restart(10)
	_, err = look(f, 9)
	require.ErrorIs(t, err, errGone)
	f.Add(12, event("a"), true)
	f.Add(13, nil, false)
	f.Add(20, event("b"), true)
	c, err := look(f, 10)
	require.NoError(t, err)
	require.Equal(t, Changes{At: 20, Batches: []json.RawMessage{event("a"), event("b")}}, c)
	c, err = look(f, 15)
	require.NoError(t, err)
	require.Equal(t, Changes{At: 20, Batches: []json.RawMessage{event("b")}}, c, "a batch that reaches beyond the revision comes whole")
	c, err = look(f, 30)
	require.NoError(t, err)
	require.Equal(t, Changes{At: 30}, c, "who asks knows more")

	clock.advance(keepFor + time.Millisecond)
	f.Add(21, event("c"), true)
	_, err = look(f, 19)
	require.ErrorIs(t, err, errGone)
	c, err = look(f, 20)
	require.NoError(t, err)
	require.Equal(t, []json.RawMessage{event("c")}, c.Batches)
}

// TestSilenceOfTheStoreIsNotPassedOn asks a daemon that has not heard the store for a while,
// before and while that begins.
func TestSilenceOfTheStoreIsNotPassedOn(t *testing.T) {
	began := time.Now()
	f := NewFeed(func() time.Duration { return time.Since(began) }, 100*time.Millisecond)
	f.Restart(1)
	_, err := f.Wait(context.Background(), 1, time.Minute)
	require.ErrorIs(t, err, errDeaf)
	require.Less(t, time.Since(began), time.Second)
	_, err = look(f, 1)
	require.ErrorIs(t, err, errDeaf)
	f.Add(1, nil, false)
	_, err = look(f, 1)
	require.NoError(t, err)
	f.Stop()
	_, err = look(f, 1)
	require.ErrorIs(t, err, errDeaf)
}

// TestQuestionsOverHTTP waits for a change, gets none in time, and is told what is wrong.
func TestQuestionsOverHTTP(t *testing.T) {
	began := time.Now()
	f := NewFeed(func() time.Duration { return time.Since(began) }, time.Minute)
	require.False(t, f.Wanted())
	server := httptest.NewServer(f)
	defer server.Close()
	ask := func(query string) (int, Changes) {
		resp, err := http.Get(server.URL + Path + "?" + query)
		require.NoError(t, err)
		defer func() { require.NoError(t, resp.Body.Close()) }()
		var c Changes
		if resp.StatusCode == http.StatusOK {
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
		}
		return resp.StatusCode, c
	}
	status, _ := ask(Query(1, 0).Encode())
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.True(t, f.Wanted())
	f.Restart(5)
	status, _ = ask(Query(1, 0).Encode())
	require.Equal(t, http.StatusGone, status)
	status, c := ask(Query(5, 10*time.Millisecond).Encode())
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, Changes{At: 5}, c)
	time.AfterFunc(20*time.Millisecond, func() { f.Add(6, event("x"), true) })
	status, c = ask(Query(5, time.Minute).Encode())
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, Changes{At: 6, Batches: []json.RawMessage{event("x")}}, c)
	status, _ = ask("after=x")
	require.Equal(t, http.StatusBadRequest, status)
}
