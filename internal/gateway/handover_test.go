package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// linksBeforeHandover serves the links of a release that takes no requests of other daemons.
func linksBeforeHandover(t *testing.T) (address string, served func() int) {
	router, messages := chi.NewRouter(), 0
	router.Handle(relay.PathPrefix+"*", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { messages++ }))
	router.Handle(relay.SuspectPath, relay.SuspectHandler(func(string) { messages++ }))
	router.Handle(relay.EvidencePath, relay.EvidenceHandler(testClock, func(quarantine.Evidence) { messages++ }))
	s := httptest.NewServer(router)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), func() int { return messages }
}

func testClock() time.Duration { return time.Second }

// headersOnly is a platform that reads and sets no headers.
type headersOnly struct{ Platform }

func (headersOnly) ToDaemon(http.Header, time.Duration) {}
func (headersOnly) FromTarget(int, http.Header, string) AnswerHeader {
	return AnswerHeader{MatchesRequest: true}
}
func (headersOnly) ToCaller(http.Header, string, time.Duration) {}
func (headersOnly) ReadCall(http.Header) CallHeader             { return CallHeader{} }

func newTestDaemon(t *testing.T) *Daemon {
	d := &Daemon{
		platform: headersOnly{}, log: slog.New(slog.DiscardHandler), clock: testClock, targets: newTargets(testClock), answers: newAnswerBudget(64), bodies: newBodyBudget(64),
		events: make(chan step.Event, 1), reducerDone: make(chan struct{}),
	}
	t.Cleanup(d.targets.close)
	return d
}

// handOver hands a request over to the daemon at an address.
func handOver(t *testing.T, address, method, path string) step.ForwardEnded {
	x := &exchange{daemon: newTestDaemon(t), r: httptest.NewRequest(method, path, strings.NewReader("{}")), body: []byte("{}")}
	return x.runAttempt(t.Context(), step.Forward{Daemon: "former", Address: address, MaxRuns: 3, Deadline: testClock() + 5*time.Second})
}

// TestRequestOfAnyMethodIsNotRunByFormerRelease guards against 502 for a request that the other daemon's
// router refused.
func TestRequestOfAnyMethodIsNotRunByFormerRelease(t *testing.T) {
	address, served := linksBeforeHandover(t)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPatch, "PURGE", "SEARCH"} {
		end := handOver(t, address, method, "/write/1")
		require.Equal(t, step.EndedRefused, end.Ending, method)
		require.Equal(t, object.NotRun, end.Handover.Answer.Outcome)
		require.Equal(t, step.CodeNoPlatform, end.Handover.Answer.Code, "another daemon is asked")
	}
	require.Zero(t, served())
}

// TestTakingDaemonNamesItsConfiguration lets daemons of two releases answer for a host.
func TestTakingDaemonNamesItsConfiguration(t *testing.T) {
	for _, version := range []int64{0, 7} {
		taker := newTestDaemon(t)
		if version > 0 {
			taker.config.Store(&site.Config{Version: version})
		}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			x := &exchange{daemon: taker, w: w, handedOver: true, answeringHost: "h"}
			x.markTargetsAnswer(1)
		}))
		t.Cleanup(s.Close)
		d := newTestDaemon(t)
		x := &exchange{daemon: d, r: httptest.NewRequest(http.MethodPost, "/write/1", nil)}
		end := x.runAttempt(t.Context(), step.Forward{Daemon: "taker", Address: s.Listener.Addr().String(), MaxRuns: 1, Deadline: testClock() + 5*time.Second})
		require.Equal(t, step.EndedComplete, end.Ending)
		began, ok := (<-d.events).(step.AnswerBegan)
		require.True(t, ok)
		require.Equal(t, version, began.ConfigVersion)
	}
}

// TestCallersBytesAreNoMessageToFormerRelease guards against a daemon that takes a caller's request, handed
// over to it, for evidence of another daemon.
func TestCallersBytesAreNoMessageToFormerRelease(t *testing.T) {
	address, served := linksBeforeHandover(t)
	for path, staysHere := range map[string]bool{
		"/write/1": false, "/limit": false, "/evidence/1": false,
		relay.EvidencePath: true, relay.SuspectPath: true, relay.LimitsPath: true, relay.PathPrefix + "config": true, relay.EvidencePath + "?a=b": true,
	} {
		d := newTestDaemon(t)
		s := httptest.NewServer(http.HandlerFunc(d.serveCaller))
		t.Cleanup(s.Close)
		answered := make(chan error, 1)
		go func() {
			resp, err := http.Post(s.URL+path, "application/json", strings.NewReader("{}"))
			if err == nil {
				err = resp.Body.Close()
			}
			answered <- err
		}()
		call, ok := (<-d.events).(step.Call)
		require.True(t, ok)
		d.calls.Send(call.ID, step.Answer{ID: call.ID, Status: http.StatusServiceUnavailable})
		require.NoError(t, <-answered)
		require.Equal(t, staysHere, call.StaysHere, path)
		if !call.StaysHere {
			handOver(t, address, http.MethodPost, path)
		}
	}
	require.Zero(t, served())
}

// TestBeginningOfATakingDaemonsAnswerIsBroken guards against a beginning of another daemon's answer that looks whole, or that shows that a request has not run.
func TestBeginningOfATakingDaemonsAnswerIsBroken(t *testing.T) {
	const headers = "Rhubarbswitch-Handover-Runs: 1\r\nRhubarbswitch-Handover-Host: h\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\nRhubarbswitch-Handover-Runs: 0\r\nRhubarbswitch-Handover-Code: overloaded\r\nRhubarbswitch-Handover-Outcome: not_run\r\n" +
		"Rhubarbswitch-Handover-Retry-After-Ms: 0\r\nContent-Length: 0\r\n\r\n"
	for text, whole := range map[string]step.Ending{
		"HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 4\r\n\r\nbody":                                         step.EndedComplete,
		"HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-More: x\r\n\r\n": step.EndedComplete,
		"HTTP/1.1 500 Internal Server Error\r\n" + headers + "Content-Length: 4\r\n\r\nbody":                      step.EndedError,
		refusal: step.EndedRefused,
	} {
		s, set := raw.StartChanging(t)
		for n, cut := range raw.CutShort(text) {
			set(raw.Answer{Text: cut, Reset: n%2 == 0})
			require.Equal(t, step.EndedBroken, handOver(t, s.Address, http.MethodPost, "/x").Ending, "%q", cut)
		}
		set(raw.Answer{Text: text})
		require.Equal(t, whole, handOver(t, s.Address, http.MethodPost, "/x").Ending)
	}
}
