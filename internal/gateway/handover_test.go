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
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/relay"
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

// headersOnly is a platform that sets no headers of requests that are handed over.
type headersOnly struct{ Platform }

func (headersOnly) ToDaemon(http.Header, time.Duration) {}

// handOver hands a request over to the daemon at an address.
func handOver(t *testing.T, address, method, path string) step.ForwardEnded {
	d := &Daemon{platform: headersOnly{}, log: slog.New(slog.DiscardHandler), clock: testClock, targets: newTargets(testClock), buffers: newBufferBudget(0)}
	t.Cleanup(d.targets.close)
	x := &exchange{daemon: d, r: httptest.NewRequest(method, path, strings.NewReader("{}")), body: []byte("{}")}
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
