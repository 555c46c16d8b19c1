package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type fakeClock struct{ at atomic.Int64 }

func (c *fakeClock) now() time.Duration      { return time.Duration(c.at.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.at.Add(int64(d)) }
func batchOf(text string) json.RawMessage    { return json.RawMessage(`["` + text + `"]`) }
func changesNow(f *Feed, after uint64) (Changes, error) {
	return f.Wait(context.Background(), 0, after, 0)
}

func TestChangesAfterARevision(t *testing.T) {
	clock := &fakeClock{}
	f := NewFeed(clock.now, time.Second)
	_, err := changesNow(f, 0)
	require.ErrorIs(t, err, errStale)
	f.Restart(0, 10)
	_, err = changesNow(f, 9)
	require.ErrorIs(t, err, errTooOld)
	f.Add(12, batchOf("a"), true)
	f.Add(13, nil, false)
	f.Add(20, batchOf("b"), true)
	c, err := changesNow(f, 10)
	require.NoError(t, err)
	require.Equal(t, Changes{Revision: 20, Batches: []json.RawMessage{batchOf("a"), batchOf("b")}}, c)
	c, err = changesNow(f, 15)
	require.NoError(t, err)
	require.Equal(t, Changes{Revision: 20, Batches: []json.RawMessage{batchOf("b")}}, c, "a batch that ends after the revision is returned complete")
	c, err = changesNow(f, 30)
	require.NoError(t, err)
	require.Equal(t, Changes{Revision: 30}, c, "the querying daemon has a later revision")

	clock.advance(changeRetention + time.Millisecond)
	f.Add(21, batchOf("c"), true)
	_, err = changesNow(f, 19)
	require.ErrorIs(t, err, errTooOld)
	c, err = changesNow(f, 20)
	require.NoError(t, err)
	require.Equal(t, []json.RawMessage{batchOf("c")}, c.Batches)
}

// TestStaleChangesAreNotRelayed queries a feed whose last answer from the store becomes too
// old during the query, and one where it already is.
func TestStaleChangesAreNotRelayed(t *testing.T) {
	began := time.Now()
	f := NewFeed(func() time.Duration { return time.Since(began) }, 100*time.Millisecond)
	f.Restart(0, 1)
	_, err := f.Wait(context.Background(), 0, 1, time.Minute)
	require.ErrorIs(t, err, errStale)
	require.Less(t, time.Since(began), time.Second)
	_, err = changesNow(f, 1)
	require.ErrorIs(t, err, errStale)
	f.Add(1, nil, false)
	_, err = changesNow(f, 1)
	require.NoError(t, err)
	f.Stop()
	_, err = changesNow(f, 1)
	require.ErrorIs(t, err, errStale)
}

// TestQueriesOverHTTP checks the statuses of failed queries, and that a query waits for a
// change.
func TestQueriesOverHTTP(t *testing.T) {
	began := time.Now()
	f := NewFeed(func() time.Duration { return time.Since(began) }, time.Minute)
	require.False(t, f.RecentlyQueried())
	server := httptest.NewServer(f)
	defer server.Close()
	query := func(params string) (int, Changes) {
		resp, err := http.Get(server.URL + PathPrefix + "hosts?" + params)
		require.NoError(t, err)
		defer func() { require.NoError(t, resp.Body.Close()) }()
		var c Changes
		if resp.StatusCode == http.StatusOK {
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
		}
		return resp.StatusCode, c
	}
	status, _ := query(Query(0, 1, 0).Encode())
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.True(t, f.RecentlyQueried())
	f.Restart(0, 5)
	status, _ = query(Query(0, 1, 0).Encode())
	require.Equal(t, http.StatusGone, status)
	status, c := query(Query(0, 5, 10*time.Millisecond).Encode())
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, Changes{Revision: 5}, c)
	time.AfterFunc(20*time.Millisecond, func() { f.Add(6, batchOf("x"), true) })
	status, c = query(Query(0, 5, time.Minute).Encode())
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, Changes{Revision: 6, Batches: []json.RawMessage{batchOf("x")}}, c)
	status, _ = query("after=x")
	require.Equal(t, http.StatusBadRequest, status)
}

// TestFeedServesOneEra queries a feed of one era of the store for the changes of others.
// Revisions of different eras can't be compared.
func TestFeedServesOneEra(t *testing.T) {
	f := NewFeed(func() time.Duration { return 0 }, time.Second)
	f.Restart(2, 10)
	f.Add(11, json.RawMessage(`[]`), true)
	for _, era := range []uint64{0, 1, 3} {
		_, err := f.Wait(context.Background(), era, 10, 0)
		require.ErrorIs(t, err, errOtherEra)
	}
	c, err := f.Wait(context.Background(), 2, 10, 0)
	require.NoError(t, err)
	require.Len(t, c.Batches, 1)
}

// TestCompanionIsAsFreshAsThePrimaryFeed lets a feed that rarely gets an answer serve changes as
// long as the primary feed hears the store, and refuse them as soon as that does not.
func TestCompanionIsAsFreshAsThePrimaryFeed(t *testing.T) {
	now := time.Duration(0)
	primary := NewFeed(func() time.Duration { return now }, time.Second)
	companion := primary.NewCompanion()
	wait := func() error {
		_, err := companion.Wait(context.Background(), 0, 5, 0)
		return err
	}
	primary.Restart(0, 5)
	require.ErrorIs(t, wait(), errStale, "it does not watch the store yet")
	companion.Restart(0, 5)
	for range 20 {
		require.NoError(t, wait())
		now += 900 * time.Millisecond
		primary.Add(6, nil, false)
	}
	now += 1100 * time.Millisecond
	require.ErrorIs(t, wait(), errStale)
	primary.Add(7, nil, false)
	require.NoError(t, wait())
}

// TestBatchesThatAreNoJSONAreNotRelayed guards against one batch that makes every answer fail. Daemons
// without it must go to the store, and the changes after it are relayed again.
func TestBatchesThatAreNoJSONAreNotRelayed(t *testing.T) {
	deep := strings.Repeat("[", 10001) + strings.Repeat("]", 10001)
	for _, odd := range []string{"", "[", "[\x01]", deep} {
		f := NewFeed(func() time.Duration { return 0 }, time.Second)
		f.Restart(0, 10)
		f.Add(11, batchOf("a"), true)
		f.Add(12, json.RawMessage(odd), true)
		f.Add(13, batchOf("b"), true)
		query := func(after uint64) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, PathPrefix+"?"+Query(0, after, 0).Encode(), nil))
			return w
		}
		require.Equal(t, http.StatusGone, query(11).Code, "%.20q", odd)
		require.JSONEq(t, `{"at":13,"batches":[["b"]]}`, query(12).Body.String())
	}
}
