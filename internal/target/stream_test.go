package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
)

// startEngine starts an engine that answers every request with body and echoes the attempt's
// ID. It returns the engine's address.
func startEngine(t testing.TB, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func attemptTo(address string, resume int) Attempt {
	return Attempt{
		Dispatch: step.Dispatch{ID: "r", Attempt: "r.1", To: step.Destination{Address: address}, Resume: resume},
		Method:   http.MethodPost, Path: "/v1/completions",
	}
}

func eventLine(attempt string, offset, finish string) string {
	return `data: {"attempt":"` + attempt + `","offset":` + offset + `,"choices":[{"text":"t","finish_reason":"` + finish + `"}]}` + "\n\n"
}

// TestStreamEndings checks the ending and the number of chunks passed on for complete, broken
// and resumed streams.
func TestStreamEndings(t *testing.T) {
	last := eventLine("r.1", "2", "stop")
	for _, c := range []struct {
		name, body string
		resume     int
		ending     step.Ending
		chunks     int
	}{
		{"complete", eventLine("r.1", "1", "") + eventLine("r.1", "2", "") + last + "data: [DONE]\n\n", 0, step.EndedComplete, 3},
		{"duplicate chunk", eventLine("r.1", "1", "") + eventLine("r.1", "1", "") + eventLine("r.1", "2", "") + last + "data: [DONE]\n\n", 0, step.EndedComplete, 3},
		{"resumed, engine starts over", eventLine("r.1", "1", "") + eventLine("r.1", "2", "") + last + "data: [DONE]\n\n", 1, step.EndedComplete, 2},
		{"no terminal event", eventLine("r.1", "1", "") + eventLine("r.1", "2", "") + last, 0, step.EndedBroken, 2},
		{"no finish reason", eventLine("r.1", "1", "") + "data: [DONE]\n\n", 0, step.EndedBroken, 1},
		{"chunk of another attempt", eventLine("r.1", "1", "") + eventLine("r.9", "2", ""), 0, step.EndedWrongAttempt, 1},
		{"not JSON", "data: {\n\n", 0, step.EndedBroken, 0},
		{"empty", "", 0, step.EndedBroken, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			chunks := 0
			end := New(Defaults()).Generate(context.Background(), attemptTo(startEngine(t, c.body), c.resume), func(Chunk) error {
				chunks++
				return nil
			})
			require.Equal(t, c.ending, end.Ending)
			require.Equal(t, c.chunks, chunks)
		})
	}
}

// TestKeyedCallsAreNotRetried closes the connection after the target has read the request. By
// default net/http retries a request with an idempotency key when a pooled connection fails;
// the client must not, because the request may have run. An earlier call leaves a connection
// in the pool.
func TestKeyedCallsAreNotRetried(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("entry")} {
		var runs atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		c := New(Defaults())
		a := attemptTo(s.Listener.Addr().String(), 0)
		a.Idempotent = true
		a.Path = "/warm" // leaves a connection in the pool
		_, end := c.Call(context.Background(), a)
		require.Equal(t, step.EndedComplete, end.Ending)
		a.Idempotent, a.Path, a.Key, a.Body = false, "/entry", "01a3185c-5000-7001-8000-000000000001", body
		_, end = c.Call(context.Background(), a)
		require.Equal(t, step.EndedBroken, end.Ending)
		require.EqualValues(t, 1, runs.Load())
		s.Close()
	}
}

func TestDialFailureIsUnsent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := s.Listener.Addr().String()
	s.Close()
	_, end := New(Defaults()).Call(context.Background(), attemptTo(address, 0))
	require.Equal(t, step.EndedUnsent, end.Ending)
}

// TestOrdersDoNotRedial closes the connection on which an incarnation answered. An order for
// that incarnation must not be sent over another connection.
func TestOrdersDoNotRedial(t *testing.T) {
	var orders atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.PathOrder {
			orders.Add(1)
		}
		_, _ = w.Write([]byte(`{"host":"h1","incarnation":"i1"}`))
	}))
	defer s.Close()
	c := New(Defaults())
	probe := step.Probe{Host: "h1", Address: s.Listener.Addr().String()}
	seen := c.Probe(context.Background(), probe, time.Second)
	require.True(t, seen.OK)
	order := step.SendOrder{Host: "h1", Address: probe.Address, Conn: seen.Conn}
	require.Equal(t, step.ReplyOK, c.Order(order).Status)
	c.control(probe.Address).close()
	again := c.Probe(context.Background(), probe, time.Second)
	require.NotEqual(t, seen.Conn, again.Conn)
	require.Equal(t, step.ReplyUnsent, c.Order(order).Status)
	require.EqualValues(t, 1, orders.Load())
}

// FuzzStream checks that no stream of an engine causes a panic and that each has an ending.
func FuzzStream(f *testing.F) {
	f.Add(eventLine("r.1", "1", "") + "data: [DONE]\n\n")
	f.Add("data: {\"attempt\":\"r.1\",\"offset\":-1}\n")
	f.Add("data: null\n\ndata: []\n")
	f.Fuzz(func(t *testing.T, body string) {
		resp := httptest.NewRecorder()
		_, _ = resp.WriteString(body)
		end := step.AttemptEnded{}
		st := &stream{attempt: attemptTo("", 0), sink: func(Chunk) error { return nil }, end: &end}
		st.read(resp.Result(), func() {})
		require.NotZero(t, end.Ending)
	})
}
