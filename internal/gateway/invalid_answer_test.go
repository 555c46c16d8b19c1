package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// invalidKinds are the kinds of answer whose heads are spoilt in tests: their status, and header lines.
var invalidKinds = map[string][]string{
	"success":     {"200 OK"},
	"stream":      {"200 OK", "Content-Type: text/event-stream"},
	"not found":   {"404 Not Found"},
	"error":       {"500 Internal Server Error"},
	"refusal":     {"503 Service Unavailable", "X-Not-Run: 1"},
	"misdirected": {"421 Misdirected Request"},
}

// openHead returns the head of an answer without its framing.
func openHead(id, status string, header ...string) string {
	return strings.TrimSuffix(unframedHead(id, status, header...), "\r\n")
}

// requireBroken checks that requests to each kind of route are answered with a 502 of the daemon if their targets write
// an answer, and run once where they must not run twice.
func requireBroken(t *testing.T, answer func(id string) string) {
	eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer { return rawAnswer{text: answer(r.id), close: true} })
		a := s.send(path, "id")
		require.Equal(t, http.StatusBadGateway, a.status, "%q", a.body)
		require.Empty(t, a.header.Get("X-Server-Stamp"))
		if runsOnce(path) {
			require.Len(t, s.requestsWith("id"), 1)
		}
	})
}

// TestInvalidNameIsNoAnswer guards against answers that are passed on without a line of their head. Such a line may be the
// framing; then the body isn't the target's. A head that is invalid doesn't state either that a request has not run.
func TestInvalidNameIsNoAnswer(t *testing.T) {
	for kind, head := range invalidKinds {
		for name := range raw.InvalidNames("", "") {
			t.Run(kind+", "+name, func(t *testing.T) {
				requireBroken(t, func(id string) string {
					return raw.InvalidNames(openHead(id, head[0], head[1:]...), events(1, lastEvent))[name]
				})
			})
		}
	}
}

// TestInvalidNameInATrailerBreaksAnAnswer guards against answers whose framing can't be trusted.
func TestInvalidNameInATrailerBreaksAnAnswer(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			requireBroken(t, func(id string) string { return raw.InvalidTrailer(openHead(id, status), "body") })
		})
	}
}

// TestInvalidNameFromATakingDaemonIsNoAnswer is TestInvalidNameIsNoAnswer between two daemons.
func TestInvalidNameFromATakingDaemonIsNoAnswer(t *testing.T) {
	for kind, header := range map[string][]string{
		"answer": {"200 OK", "Rhubarbswitch-Handover-Runs: 1", "Rhubarbswitch-Handover-Host: host-0"},
		"refusal": {
			"503 Service Unavailable", "Rhubarbswitch-Handover-Runs: 0", "Rhubarbswitch-Handover-Code: overloaded",
			"Rhubarbswitch-Handover-Outcome: not_run", "Rhubarbswitch-Handover-Retry-After-Ms: 100",
		},
	} {
		for name := range raw.InvalidNames("", "") {
			for _, path := range everyKind {
				t.Run(fmt.Sprint(kind, ", ", name, path), func(t *testing.T) {
					t.Parallel()
					s := startRawTakingDaemon(t, func(r rawRequest) rawAnswer {
						return rawAnswer{text: raw.InvalidNames(openHead(r.id, header[0], header[1:]...), "body")[name], close: true}
					})
					a := s.send(path, "id")
					require.Equal(t, http.StatusBadGateway, a.status, "%q", a.body)
					require.Empty(t, a.header.Get("X-Server-Stamp"))
				})
			}
		}
	}
}

// TestConnectionOfAnInvalidAnswerIsNotUsedAgain has targets go on with sound answers after one with an invalid name.
func TestConnectionOfAnInvalidAnswerIsNotUsedAgain(t *testing.T) {
	for _, name := range []string{"blank", "blank before the colon"} {
		for _, body := range []string{"", "body"} {
			t.Run(name+", "+body, func(t *testing.T) {
				eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
					s := startRawSite(t, handedOver, 1, func(r rawRequest) rawAnswer {
						if strings.HasPrefix(r.id, "spoilt") {
							return rawAnswer{text: raw.InvalidNames(openHead(r.id, "200 OK"), body)[name]}
						}
						return rawAnswer{text: whole(r.id, "200 OK", "ran "+r.id)}
					})
					require.Equal(t, "ran before", s.send(path, "before").body)
					require.Equal(t, http.StatusBadGateway, s.send(path, "spoilt").status)
					spoilt := s.requestsWith("spoilt")
					require.NotEmpty(t, spoilt)
					for n := range 3 {
						id := fmt.Sprint("after-", n)
						require.Equal(t, "ran "+id, s.send(path, id).body)
						require.NotEqual(t, spoilt[0].conn, s.requestsWith(id)[0].conn)
					}
				})
			})
		}
	}
}

// TestImpossibleStatusFromATakingDaemonIsNoAnswer is TestImpossibleStatusIsNoAnswer between two daemons.
func TestImpossibleStatusFromATakingDaemonIsNoAnswer(t *testing.T) {
	for _, status := range raw.InvalidStatuses {
		for _, path := range everyKind {
			t.Run(status+path, func(t *testing.T) {
				t.Parallel()
				s := startRawTakingDaemon(t, func(r rawRequest) rawAnswer {
					return rawAnswer{text: whole(r.id, status, "body", "Rhubarbswitch-Handover-Runs: 1", "Rhubarbswitch-Handover-Host: host-0"), close: true}
				})
				a := s.send(path, "id")
				require.Equal(t, http.StatusBadGateway, a.status)
				require.Empty(t, a.header.Get("X-Server-Stamp"))
			})
		}
	}
}
