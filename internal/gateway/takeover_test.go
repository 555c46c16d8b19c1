package gateway_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentStream answers with the first events of a stream, unframed, and with the rest once goOn returns.
func silentStream(id string, goOn func()) rawAnswer {
	return rawAnswer{text: streamHead(id) + "\r\n" + events(1, eventsBeforeBreak), close: true, rest: func() string {
		goOn()
		return events(eventsBeforeBreak+1, lastEvent)
	}}
}

// waitForRequests waits until the targets have read n requests with an ID.
func (s *rawTargets) waitForRequests(id string, n int) {
	for deadline := time.Now().Add(2 * time.Second); len(s.requestsWith(id)) < n && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// TestSilentStreamSurvivesRefusalsOfOthers guards against a stream of a sound target that is cut because the target is
// silent for a moment while all others are full.
func TestSilentStreamSurvivesRefusalsOfOthers(t *testing.T) {
	eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
		var s *rawSite
		s = startRawSite(t, handedOver, 3, func(r rawRequest) rawAnswer {
			if r.number == 1 {
				return silentStream(r.id, func() { s.waitForRequests(r.id, 3) })
			}
			return rawAnswer{text: refusal(r.id)}
		})
		a := s.send(path, "id")
		require.Equal(t, events(1, lastEvent), a.body)
		require.True(t, a.complete)
		require.GreaterOrEqual(t, len(s.requestsWith("id")), 3)
	})
}

// TestSilentStreamGoesOnOnce guards against events that come twice, or are missing, where a silent target goes on at
// the moment at which another one takes its stream over.
func TestSilentStreamGoesOnOnce(t *testing.T) {
	eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
		var s *rawSite
		s = startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
			if r.number == 1 {
				return silentStream(r.id, func() { s.waitForRequests(r.id, 2) })
			}
			return rawAnswer{text: restAfter(r)}
		})
		for i := range 20 {
			a := s.send(path, fmt.Sprint(i))
			require.Equal(t, events(1, lastEvent), a.body)
			require.True(t, a.complete)
		}
	})
}

// TestSilentStreamIsTakenOver guards against a stream that waits for a target that never goes on.
func TestSilentStreamIsTakenOver(t *testing.T) {
	eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
			if r.number == 1 {
				return silentStream(r.id, func() { <-t.Context().Done() })
			}
			return rawAnswer{text: restAfter(r)}
		})
		a := s.send(path, "id")
		require.Equal(t, events(1, lastEvent), a.body)
		require.True(t, a.complete)
		require.Len(t, s.requestsWith("id"), 2)
	})
}

// TestBrokenTakeoverLeavesTheStreamAlone guards against a stream that ends, or gets something else, since another target
// that was to take it over answers with anything but its rest.
func TestBrokenTakeoverLeavesTheStreamAlone(t *testing.T) {
	answers := maps.Clone(notTheRest)
	answers["status 000"] = func(id string) rawAnswer { return rawAnswer{text: whole(id, "000 Trouble", "error text")} }
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
				var s *rawSite
				s = startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
					if r.number == 1 {
						return silentStream(r.id, func() {
							s.waitForRequests(r.id, 2)
							time.Sleep(50 * time.Millisecond) // the answer of the other target arrives
						})
					}
					return answer(r.id)
				})
				a := s.send(path, "id")
				require.Equal(t, events(1, lastEvent), a.body)
				require.True(t, a.complete)
			})
		})
	}
}
