package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeUpload is more than the kernel takes of a body that is not read.
var largeUpload = strings.Repeat("x", 3<<20)

// uploadRounds is how often a race between the writing of an upload and the reading of its answer is repeated.
const uploadRounds = 30

// unframedHead returns the head of an answer that ends with its connection.
func unframedHead(id, status string, header ...string) string {
	head := "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\nX-Server-Stamp: stamp\r\n"
	for _, line := range header {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// resetUploads are answers without a length that targets write before they reset the connection of an upload.
var resetUploads = map[string]func(id string) string{
	"success": func(id string) string { return unframedHead(id, "200 OK") + "part of the body" },
	"failure": func(id string) string { return unframedHead(id, "500 Internal Server Error") + "part of the body" },
	"events": func(id string) string {
		return unframedHead(id, "200 OK", "Content-Type: text/event-stream") + events(1, eventsBeforeBreak)
	},
	"head only": func(id string) string { return unframedHead(id, "200 OK") },
}

// requireNoAnswerOfTarget checks that a caller got no target's answer as a complete one: a 502 or 504 of the daemon, or
// a stream that visibly breaks off.
func requireNoAnswerOfTarget(t *testing.T, a callerAnswer) {
	t.Helper()
	if a.status == http.StatusOK && !a.complete && strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream") {
		return
	}
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.status, "%q", a.body)
	require.Empty(t, a.header.Get("X-Server-Stamp"))
}

// TestResetDuringUploadEndsNoAnswer guards against the part of an answer without a length that precedes a reset, taken for the
// whole: the kernel reports the reset once, and if the writer of the upload gets it, the reader sees an ordinary end.
func TestResetDuringUploadEndsNoAnswer(t *testing.T) {
	for name, text := range resetUploads {
		t.Run(name, func(t *testing.T) {
			eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
				s := startRawSiteOf(t, handedOver, startEarlyRawTargets(t, 3, func(r rawRequest) rawAnswer {
					return rawAnswer{text: text(r.id), reset: true}
				}))
				for round := range uploadRounds {
					id := fmt.Sprint("id-", round)
					requireNoAnswerOfTarget(t, s.sendBody(path, id, largeUpload))
					if runsOnce(path) {
						require.Len(t, s.requestsWith(id), 1)
					}
				}
			})
		})
	}
}

// TestUploadThatWasResetGoesOnElsewhere has one target reset uploads that may be repeated, and streams that may be resumed.
func TestUploadThatWasResetGoesOnElsewhere(t *testing.T) {
	eachWay(t, []string{"/read/1", "/chat/1"}, func(t *testing.T, handedOver bool, path string) {
		s := startRawSiteOf(t, handedOver, startEarlyRawTargets(t, 3, func(r rawRequest) rawAnswer {
			from := 1
			if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
				from = last + 1
			}
			if r.number == 1 {
				return rawAnswer{text: resetUploads["events"](r.id), reset: true}
			}
			return rawAnswer{text: chunked(r.id, events(from, lastEvent))}
		}))
		for round := range uploadRounds {
			id := fmt.Sprint("id-", round)
			a := s.sendBody(path, id, largeUpload)
			require.Equal(t, http.StatusOK, a.status, a.body)
			require.True(t, a.complete)
			require.Equal(t, events(1, lastEvent), a.body)
			require.Len(t, s.requestsWith(id), 2)
		}
	})
}

// TestResetDuringHandedOverUploadEndsNoAnswer is TestResetDuringUploadEndsNoAnswer between two daemons.
func TestResetDuringHandedOverUploadEndsNoAnswer(t *testing.T) {
	for _, path := range everyKind {
		for round := range uploadRounds {
			t.Run(fmt.Sprint(path, round), func(t *testing.T) {
				t.Parallel()
				targets := startEarlyRawTargets(t, 1, func(r rawRequest) rawAnswer {
					return rawAnswer{text: unframedHead(r.id, "200 OK", "Rhubarbswitch-Handover-Runs: 1", "Rhubarbswitch-Handover-Host: host-0") + "part", reset: true}
				})
				requireNoAnswerOfTarget(t, startRawTakingDaemonOf(t, targets).sendBody(path, "id", largeUpload))
			})
		}
	}
}

// TestEndDuringUploadEndsNoAnswer has targets end answers without a length in order, with most of the upload unread. The
// kernel of the daemon takes all of the smaller one.
func TestEndDuringUploadEndsNoAnswer(t *testing.T) {
	for _, size := range []int{256 << 10, len(largeUpload)} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
				s := startRawSiteOf(t, handedOver, startEarlyRawTargets(t, 3, func(r rawRequest) rawAnswer {
					return rawAnswer{text: unframedHead(r.id, "200 OK") + "part of the body", halfClose: true}
				}))
				began := time.Now()
				a := s.sendBody(path, "id", largeUpload[:size])
				requireNoAnswerOfTarget(t, a)
				require.Equal(t, http.StatusBadGateway, a.status, "the end is known; nothing is to be waited for")
				require.Less(t, time.Since(began), 2*time.Second)
			})
		})
	}
}

// TestRefusalOfAnUploadThatIsReset checks that a target which refuses an upload, and resets its connection, has said that
// the request did not run.
func TestRefusalOfAnUploadThatIsReset(t *testing.T) {
	eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
		s := startRawSiteOf(t, handedOver, startEarlyRawTargets(t, 1, func(r rawRequest) rawAnswer {
			return rawAnswer{text: unframedHead(r.id, "503 Service Unavailable", "X-Not-Run: 1") + "part of the body", reset: true}
		}))
		for round := range uploadRounds {
			a := s.sendBody(path, fmt.Sprint("id-", round), largeUpload)
			require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusBadGateway}, a.status)
			require.NotContains(t, a.body, "part of the body")
			require.Empty(t, a.header.Get("X-Server-Stamp"))
		}
	})
}

// TestEarlyAnswersWithALengthAreDelivered has targets answer uploads before they read them.
func TestEarlyAnswersWithALengthAreDelivered(t *testing.T) {
	eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
		s := startRawSiteOf(t, handedOver, startEarlyRawTargets(t, 1, func(r rawRequest) rawAnswer {
			return rawAnswer{text: whole(r.id, "200 OK", "all of the body")}
		}))
		for round := range uploadRounds {
			a := s.sendBody(path, fmt.Sprint("id-", round), largeUpload)
			require.Equal(t, http.StatusOK, a.status, a.body)
			require.Equal(t, "all of the body", a.body)
			require.Equal(t, "stamp", a.header.Get("X-Server-Stamp"))
		}
	})
}

// TestUnframedAnswersToUploadsAreDelivered has targets read uploads and then end answers without a length with their
// connections.
func TestUnframedAnswersToUploadsAreDelivered(t *testing.T) {
	for _, size := range []int{0, 1, 3000, 4096, 64 << 10, len(largeUpload)} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			eachWay(t, everyKind, func(t *testing.T, handedOver bool, path string) {
				s := startRawSite(t, handedOver, 1, func(r rawRequest) rawAnswer {
					if strings.HasPrefix(r.id, "stream") {
						return rawAnswer{text: unframedHead(r.id, "200 OK", "Content-Type: text/event-stream") + events(1, lastEvent), close: true}
					}
					return rawAnswer{text: unframedHead(r.id, "200 OK") + "all of the body", close: true}
				})
				for round := range uploadRounds {
					for kind, want := range map[string]string{"plain": "all of the body", "stream": events(1, lastEvent)} {
						a := s.sendBody(path, fmt.Sprint(kind, round), largeUpload[:size])
						require.Equal(t, http.StatusOK, a.status, a.body)
						require.True(t, a.complete)
						require.Equal(t, want, a.body)
					}
				}
			})
		})
	}
}
