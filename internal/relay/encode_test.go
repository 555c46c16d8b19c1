package relay

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAnswersAreCompressed queries large and small changes with and without compression.
func TestAnswersAreCompressed(t *testing.T) {
	clock := &fakeClock{}
	f := NewFeed(clock.now, time.Second)
	f.Restart(0, 1)
	large := strings.Repeat("server ", 1000)
	f.Add(2, batchOf(large), true)
	f.Add(3, batchOf("small"), true)
	query := func(after uint64, encoding string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, PathPrefix+"?"+Query(0, after, 0).Encode(), nil)
		r.Header.Set("Accept-Encoding", encoding)
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		require.Equal(t, http.StatusOK, w.Code)
		return w
	}
	for range 2 {
		w := query(1, "gzip")
		require.Equal(t, "gzip", w.Header().Get("Content-Encoding"))
		require.Less(t, w.Body.Len(), len(large)/10)
		z, err := gzip.NewReader(w.Body)
		require.NoError(t, err)
		text, err := io.ReadAll(z)
		require.NoError(t, err)
		plain := query(1, "")
		require.Empty(t, plain.Header().Get("Content-Encoding"))
		require.JSONEq(t, plain.Body.String(), string(text))
		require.Contains(t, string(text), large)

		w = query(2, "gzip")
		require.Empty(t, w.Header().Get("Content-Encoding"))
		require.JSONEq(t, `{"at":3,"batches":[["small"]]}`, w.Body.String())
	}
}

// TestAnswersAreEncodedOnce lets many daemons wait for one change.
func TestAnswersAreEncodedOnce(t *testing.T) {
	began := time.Now()
	f := NewFeed(func() time.Duration { return time.Since(began) }, time.Minute)
	f.Restart(0, 1)
	server := httptest.NewServer(f)
	defer server.Close()
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			resp, err := http.Get(server.URL + PathPrefix + "?" + Query(0, 1, 10*time.Second).Encode())
			if !assert.NoError(t, err) {
				return
			}
			text, err := io.ReadAll(resp.Body)
			assert.NoError(t, err)
			_ = resp.Body.Close()
			if !strings.Contains(string(text), "server server") {
				t.Errorf("answer %q", text)
			}
		})
	}
	time.Sleep(50 * time.Millisecond) // most of them wait by then
	f.Add(2, batchOf(strings.Repeat("server ", 1000)), true)
	wait.Wait()
	require.Equal(t, answerID{after: 1, revision: 2, batches: 1}, f.encoded.id)
}
