package gateway

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	testTimeLeft = "X-Test-Time-Left"
	testID       = "X-Test-Id"
)

// testPlatform is a platform with one plain service and one target, and without a lease. Each call carries
// its ID in testID and its time left, in milliseconds, in testTimeLeft.
type testPlatform struct {
	address string // of the target
	kind    site.Kind
}

func (p *testPlatform) Follow(ctx context.Context, s Subscriber) {
	c := &site.Config{
		Version:  1,
		Services: map[string]*site.Service{"plain": {Name: "plain"}},
		Routes: []site.Route{{
			Name: "r", Host: "app", Prefix: "/", Kind: p.kind, Timeout: time.Minute, MaxTargets: 2, Public: true,
			Shares: []site.Share{{Service: "plain", Weight: 1}},
		}},
	}
	if err := c.Prepare(); err != nil {
		panic(err)
	}
	s.Post(step.SiteConfig{Config: c})
	s.Post(step.SiteHosts{Full: true, Hosts: []site.Host{{ID: "host", Service: "plain", Address: p.address, DataCentre: "dc", Slots: 64, Incarnation: 1}}})
	<-ctx.Done()
}

func (p *testPlatform) ReadCall(h http.Header) CallHeader {
	millis, _ := strconv.Atoi(h.Get(testTimeLeft)) // 0 if the test sets none
	return CallHeader{ID: h.Get(testID), TimeLeft: time.Duration(millis) * time.Millisecond}
}

func (p *testPlatform) FromTarget(_ int, h http.Header, callerID string) AnswerHeader {
	return AnswerHeader{MatchesRequest: h.Get(testID) == callerID}
}

func (p *testPlatform) ReadLease(context.Context, step.ReadLease) step.LeaseAnswered {
	return step.LeaseAnswered{Status: step.ReplyUnsent}
}

func (p *testPlatform) WriteLease(context.Context, step.WriteLease) step.LeaseAnswered {
	return step.LeaseAnswered{Status: step.ReplyUnsent}
}

func (p *testPlatform) StoreVerdict(context.Context, step.StoreVerdict) step.VerdictAnswered {
	return step.VerdictAnswered{}
}

func (p *testPlatform) RemoveVerdict(context.Context, step.RemoveVerdict) step.VerdictAnswered {
	return step.VerdictAnswered{}
}

func (p *testPlatform) Report(context.Context, string) (site.Report, EngineStatement, error) {
	return site.Report{}, EngineStatement{}, nil
}

func (p *testPlatform) ToTarget(http.Header, AttemptHeader)         {}
func (p *testPlatform) ToDaemon(http.Header, time.Duration)         {}
func (p *testPlatform) ToCaller(http.Header, string, time.Duration) {}
func (p *testPlatform) ChangesHandler() http.Handler                { return http.NotFoundHandler() }

func (p *testPlatform) Order(context.Context, step.SendGroupOrder) (o step.OrderOutcome) { return o }

// testDaemon is a daemon that runs in this process, with one target.
type testDaemon struct {
	*Daemon
	t     *testing.T
	ended chan struct{} // closed when Run has returned
	// arrivals are the IDs of the requests that have reached the target.
	mu       sync.Mutex
	arrivals map[string]bool
}

// startDaemon starts a daemon whose requests of a kind are answered by target, and waits until it is ready.
func startDaemon(t *testing.T, kind site.Kind, grace time.Duration, target http.HandlerFunc) *testDaemon {
	return startDaemonWith(t, kind, grace, target, func(*config.Gateway) {})
}

// startDaemonWith is startDaemon with other settings.
func startDaemonWith(t *testing.T, kind site.Kind, grace time.Duration, target http.HandlerFunc, change func(*config.Gateway)) *testDaemon {
	d := &testDaemon{t: t, ended: make(chan struct{}), arrivals: make(map[string]bool)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(testID)
		d.mu.Lock()
		d.arrivals[id] = true
		d.mu.Unlock()
		w.Header().Set(testID, id)
		_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that its caller leaves
		target(w, r)
	}))
	t.Cleanup(server.Close)
	set := config.DefaultGateway()
	set.Daemon, set.DataCentre, set.ShutdownTimeout = "daemon", "dc", config.Duration(grace)
	set.Callers, set.Readiness = freeAddress(t), freeAddress(t)
	change(set)
	began := time.Now()
	var err error
	d.Daemon, err = New(set, slog.New(slog.DiscardHandler), &testPlatform{address: server.Listener.Addr().String(), kind: kind}, func() time.Duration { return time.Since(began) })
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(d.ended)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-d.ended })
	require.Eventually(t, d.ready.Load, 5*time.Second, time.Millisecond)
	return d
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *testDaemon) arrived(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals[id]
}

// rawCaller is a caller's connection on which a test writes bytes as they are.
type rawCaller struct {
	net.Conn
	in *bufio.Reader
}

func (d *testDaemon) dial() *rawCaller {
	conn, err := net.Dial("tcp", d.settings.Callers)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{conn, bufio.NewReader(conn)}
}

// head returns the header of a request with a body of some length.
func head(id string, timeLeft time.Duration, bodyBytes int) string {
	return "POST /x HTTP/1.1\r\nHost: app\r\n" + testID + ": " + id + "\r\n" + testTimeLeft + ": " + strconv.FormatInt(timeLeft.Milliseconds(), 10) +
		"\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
}

// send writes bytes, and answer reads one complete answer and its body.
func (c *rawCaller) send(text string) error {
	_, err := io.Copy(c, strings.NewReader(text))
	return err
}

func (c *rawCaller) answer() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// redial replaces a connection; nil once the daemon accepts none.
func (d *testDaemon) redial(c *rawCaller) *rawCaller {
	_ = c.Close()
	conn, err := net.Dial("tcp", d.settings.Callers)
	if err != nil {
		return nil
	}
	return &rawCaller{conn, bufio.NewReader(conn)}
}
