package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// testAnswerBytes is the bound on answers, and tinyChunkFraming the bytes on the wire for each of a body in tiny chunks.
const (
	testAnswerBytes  = 8 << 20
	tinyChunkFraming = 6
)

// boundedClient returns a client whose calls fail before the test does.
func boundedClient(t *testing.T, s *raw.Server) *Client {
	c := New("http://"+s.Address, WithCallTimeout(2*time.Second), WithMaxAnswerBytes(testAnswerBytes))
	t.Cleanup(c.Close)
	return c
}

// TestEndlessAnswersEndTheirCalls guards against a store or a daemon whose bytes without end fill the memory of those that call it.
func TestEndlessAnswersEndTheirCalls(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict", "404 Not Found", "500 Internal Server Error"} {
		for name, answer := range raw.Endless("HTTP/1.1 " + status + "\r\n") {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				s := raw.Start(t, func(*http.Request) raw.Answer { return answer })
				began := time.Now()
				_, err := boundedClient(t, s).Do(t.Context(), Call{Op: "get", Method: http.MethodGet, Path: "/"})
				_, lost := errors.Into[*LostError](err)
				require.True(t, lost, "%v", err)
				require.Less(t, time.Since(began), 10*time.Second)
				s.Wait()
				require.Less(t, s.Written(), int64(tinyChunkFraming*testAnswerBytes)+raw.Slack(t))
			})
		}
	}
}

// countingConn counts what is read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestLargeAnswersAreReadInTurn guards against answers that each stay below their bound and fill the memory together.
func TestLargeAnswersAreReadInTurn(t *testing.T) {
	const calls, bodyBytes = 16, 4 << 20
	s := raw.Start(t, func(r *http.Request) raw.Answer {
		a := raw.Answer{Text: okHead + "Content-Length: 5000000\r\n\r\n" + strings.Repeat("x", bodyBytes), Repeat: "x", Interval: 100 * time.Millisecond}
		if r.URL.Path == "/small" {
			a = raw.Answer{Text: okHead + "Content-Length: 2\r\n\r\n{}"}
		}
		return a
	})
	c := boundedClient(t, s)
	c.callTimeout = time.Minute
	var read atomic.Int64
	transport := c.calls.Transport.(*stricthttp.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countingConn{conn, &read}, err
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, err := c.Do(ctx, Call{Op: "get", Method: http.MethodGet, Path: "/"})
			require.Error(t, err)
		})
	}
	require.Eventually(t, func() bool { return read.Load() >= calls*largeAnswerBytes+bodyBytes-largeAnswerBytes }, 30*time.Second, time.Millisecond)
	_, err := c.Do(ctx, Call{Op: "get", Method: http.MethodGet, Path: "/small"})
	require.NoError(t, err, "others go on")
	require.LessOrEqual(t, read.Load(), int64(calls*(largeAnswerBytes+64<<10)+bodyBytes))
	stop()
	wg.Wait()
}

// TestAnswersCutShortAreLost guards against a part of an answer that is taken for the whole.
func TestAnswersCutShortAreLost(t *testing.T) {
	const body = `{"at":7}`
	for name, text := range map[string]string{
		"length":   okHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"chunks":   okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + body[:4] + "\r\n4\r\n" + body[4:] + "\r\n0\r\n\r\n",
		"trailer":  okHead + "Transfer-Encoding: chunked\r\nTrailer: X-More\r\n\r\n8\r\n" + body + "\r\n0\r\nX-More: x\r\n\r\n",
		"unframed": okHead + "\r\n" + body,
		"conflict": "HTTP/1.1 409 Conflict\r\nContent-Length: 8\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			s, set := raw.StartChanging(t)
			c := boundedClient(t, s)
			c.callTimeout = 20 * time.Second
			for n, cut := range raw.CutShort(text) {
				for _, reset := range []bool{false, true} {
					set(raw.Answer{Text: cut, Reset: reset})
					before := s.Requests()
					_, err := c.Do(t.Context(), Call{Op: "put", Method: http.MethodPut, Path: "/"})
					_, lost := errors.Into[*LostError](err)
					require.True(t, lost, "%d bytes, reset %t: %v", n, reset, err)
					require.Equal(t, before+1, s.Requests(), "%d bytes, reset %t", n, reset)
				}
			}
		})
	}
}
