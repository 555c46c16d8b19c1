package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// eventsBeforeBreak is how many events of a stream arrive before it breaks off, of lastEvent.
const (
	eventsBeforeBreak = 3
	lastEvent         = 6
)

// notTheRest are answers to the attempt that is to go on with a stream after event 3, and that do not.
var notTheRest = map[string]func(id string) rawAnswer{
	"error": func(id string) rawAnswer {
		return rawAnswer{text: whole(id, "500 Internal Server Error", "error text")}
	},
	"unavailable": func(id string) rawAnswer { return rawAnswer{text: whole(id, "503 Service Unavailable", "error text")} },
	"not found":   func(id string) rawAnswer { return rawAnswer{text: whole(id, "404 Not Found", "error text")} },
	"success of another type": func(id string) rawAnswer {
		return rawAnswer{text: whole(id, "200 OK", "error text", "Content-Type: application/json")}
	},
	"another request's answer": func(string) rawAnswer { return rawAnswer{text: chunked("another", events(4, lastEvent))} },
	"bytes that are no answer": func(string) rawAnswer { return rawAnswer{text: "error text\r\n\r\n", close: true} },
	"nothing":                  func(string) rawAnswer { return rawAnswer{close: true} },
	"stream that is an error": func(id string) rawAnswer {
		return rawAnswer{text: whole(id, "500 Internal Server Error", events(4, lastEvent), "Content-Type: text/event-stream")}
	},
	"empty stream, unframed":     func(id string) rawAnswer { return rawAnswer{text: streamHead(id) + "\r\n", close: true} },
	"empty stream":               func(id string) rawAnswer { return rawAnswer{text: chunked(id, "")} },
	"empty stream with a length": func(id string) rawAnswer { return rawAnswer{text: streamHead(id) + "Content-Length: 0\r\n\r\n"} },
	"only comments":              func(id string) rawAnswer { return rawAnswer{text: chunked(id, ": comment\n\n")} },
	"only earlier events":        func(id string) rawAnswer { return rawAnswer{text: chunked(id, events(1, eventsBeforeBreak))} },
	"event without an id":        func(id string) rawAnswer { return rawAnswer{text: chunked(id, "data: error text\n\n")} },
	"error event without an id":  func(id string) rawAnswer { return rawAnswer{text: chunked(id, "event: error\ndata: error text\n\n")} },
	"error event": func(id string) rawAnswer {
		return rawAnswer{text: chunked(id, "id: 4\nevent: error\ndata: error text\n\n")}
	},
	"id that is no number": func(id string) rawAnswer { return rawAnswer{text: chunked(id, "id: four\ndata: error text\n\n")} },
	"earlier events, then error": func(id string) rawAnswer {
		return rawAnswer{text: chunked(id, events(1, eventsBeforeBreak)+"data: error text\n\n")}
	},
	"head in the body": func(id string) rawAnswer {
		return rawAnswer{text: chunked(id, whole(id, "500 Internal Server Error", "error text\n\n"))}
	},
	"head in an unframed body": func(id string) rawAnswer {
		return rawAnswer{text: streamHead(id) + "\r\n" + whole(id, "500 Internal Server Error", "error text\n\n"), close: true}
	},
	"encoded": func(id string) rawAnswer {
		return rawAnswer{text: strings.Replace(chunked(id, events(4, lastEvent)), "\r\n\r\n", "\r\nContent-Encoding: x\r\n\r\n", 1)}
	},
	"gap": func(id string) rawAnswer { return rawAnswer{text: chunked(id, events(5, lastEvent))} },
}

// restAfter returns the events that follow the last one that a request names.
func restAfter(r rawRequest) string {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return chunked(r.id, events(last+1, lastEvent))
}

// TestErrorNeverReachesAStreamThatHasBegun guards against an error of the next target in the middle of a stream, and one that ends it as if it were complete.
func TestErrorNeverReachesAStreamThatHasBegun(t *testing.T) {
	for name, next := range notTheRest {
		for _, recovers := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, recovers %t", name, recovers), func(t *testing.T) {
				eachWay(t, []string{"/chat/1", "/feed/1"}, func(t *testing.T, handedOver bool, path string) {
					s := startRawSite(t, handedOver, 3, func(r rawRequest) rawAnswer {
						switch {
						case r.number == 1:
							return rawAnswer{text: cutStream(r.id, events(1, eventsBeforeBreak)), close: true}
						case r.number == 2 || !recovers:
							return next(r.id)
						}
						return rawAnswer{text: restAfter(r)}
					})
					a := s.send(path, "id")
					require.Equal(t, http.StatusOK, a.status)
					if path == "/feed/1" {
						require.Len(t, s.requestsWith("id"), 1)
					}
					if path == "/chat/1" && recovers {
						require.Equal(t, events(1, lastEvent), a.body)
						require.True(t, a.complete)
						return
					}
					require.Equal(t, events(1, eventsBeforeBreak), a.body)
					require.False(t, a.complete, "it looks complete")
				})
			})
		}
	}
}

// TestErrorOfATakingDaemonNeverReachesAStreamThatHasBegun guards against the same where a daemon that was cut off meanwhile hands the rest over.
func TestErrorOfATakingDaemonNeverReachesAStreamThatHasBegun(t *testing.T) {
	const targets, own = "Rhubarbswitch-Handover-Runs: 1\r\nRhubarbswitch-Handover-Host: host-0\r\n",
		"Rhubarbswitch-Handover-Runs: 1\r\nRhubarbswitch-Handover-Code: target_failed\r\nRhubarbswitch-Handover-Outcome: unknown\r\nRhubarbswitch-Handover-Retry-After-Ms: 0\r\n"
	answers := map[string]func(id string) rawAnswer{
		"own error": func(id string) rawAnswer {
			return rawAnswer{text: strings.Replace(whole(id, "502 Bad Gateway", "error text"), "\r\n", "\r\n"+own, 1)}
		},
		"own refusal": func(id string) rawAnswer {
			return rawAnswer{text: strings.Replace(whole(id, "503 Service Unavailable", "error text"), "\r\n", "\r\n"+strings.Replace(own, "unknown", "not_run", 1), 1)}
		},
	}
	for name, next := range notTheRest {
		answers[name] = func(id string) rawAnswer {
			a := next(id)
			a.text = strings.Replace(a.text, "\r\n", "\r\n"+targets, 1)
			return a
		}
	}
	for name, next := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var hosts *rawTargets
			hosts = startRawTargets(t, 3, func(r rawRequest) rawAnswer {
				hosts.refuseConnections()
				return rawAnswer{text: cutStream(r.id, events(1, eventsBeforeBreak)), close: true}
			})
			taking := startRawTargets(t, 1, func(r rawRequest) rawAnswer { return next(r.id) })
			s := newRawSite(hosts)
			s.callers = s.startDaemon(step.Peer{Daemon: "cut-off", Address: freeAddress(t), DataCentre: "dc"},
				step.Peer{Daemon: "taking", Address: taking.hosts[0].Address, DataCentre: "dc"}, hosts.hosts)
			a := s.send("/chat/1", "id")
			require.NotEmpty(t, taking.requestsWith("id"))
			require.Equal(t, "3", taking.requestsWith("id")[0].Header.Get("Last-Event-Id"))
			require.Equal(t, events(1, eventsBeforeBreak), a.body)
			require.False(t, a.complete, "it looks complete")
		})
	}
}

// streamRoutes are the paths of streams, resumable and not.
var streamRoutes = []string{"/chat/1", "/feed/1"}

// TestEventThatIsNotOfTheStreamEndsItsAttempt guards against events that a target mixes with those of a stream.
func TestEventThatIsNotOfTheStreamEndsItsAttempt(t *testing.T) {
	for name, stray := range map[string]string{
		"no id":             "data: error text\n\n",
		"unreadable id":     "id: x\ndata: error text\n\n",
		"head":              whole("id", "500 Internal Server Error", "error text\n\n"),
		"head with LF only": "HTTP/1.1 500 Internal Server Error\nid: 4\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
				s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
					if r.number == 1 {
						return rawAnswer{text: chunked(r.id, events(1, eventsBeforeBreak)+stray)}
					}
					return rawAnswer{text: restAfter(r)}
				})
				a := s.send(path, "id")
				if runsOnce(path) {
					require.Equal(t, events(1, eventsBeforeBreak), a.body)
					require.False(t, a.complete)
					return
				}
				require.Equal(t, events(1, lastEvent), a.body)
				require.True(t, a.complete)
			})
		})
	}
}

// TestStreamsOfOneTargetArePassedOn guards against checks of events that break streams which are as their target sends them.
func TestStreamsOfOneTargetArePassedOn(t *testing.T) {
	for name, body := range map[string]string{
		"without ids":       "data: a\n\ndata: b\n\n",
		"unreadable ids":    "id: a\ndata: a\n\nid: b\ndata: b\n\n",
		"comments":          ": start\n\n" + events(1, 2) + ": comment\n\n" + events(3, 4),
		"error at its end":  events(1, 2) + "id: 3\nevent: error\ndata: error text\n\n",
		"ids after a while": "data: a\n\n" + events(1, 3),
		"first id is late":  events(7, 9),
		"version":           "x-weight-versions: 2\nid: 1\ndata: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
				s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer { return rawAnswer{text: chunked(r.id, body)} })
				a := s.send(path, "id")
				require.Equal(t, body, a.body)
				require.True(t, a.complete)
				require.Len(t, s.requestsWith("id"), 1)
			})
		})
	}
}

// TestStreamWithoutNumbersIsNotRepeated guards against pieces that come twice because no number says where the next target is to go on.
func TestStreamWithoutNumbersIsNotRepeated(t *testing.T) {
	for name, begun := range map[string]string{
		"without ids":    "data: a\n\ndata: b\n\n",
		"unreadable ids": "id: a\ndata: a\n\nid: b\ndata: b\n\n",
		"after comments": ": start\n\ndata: a\n\n",
	} {
		for _, stalls := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stalls %t", name, stalls), func(t *testing.T) {
				eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
					s := startRawSite(t, handedOver, 3, func(r rawRequest) rawAnswer {
						if r.number == 1 {
							return rawAnswer{text: cutStream(r.id, begun), close: !stalls}
						}
						return rawAnswer{text: chunked(r.id, begun)}
					})
					a := s.send(path, "id", "X-Deadline-Ms", "600")
					require.Equal(t, begun, a.body)
					require.False(t, a.complete)
					require.Len(t, s.requestsWith("id"), 1)
				})
			})
		}
	}
}

// TestStreamOfCommentsStartsAgain: a caller that has only comments has no part of the stream yet.
func TestStreamOfCommentsStartsAgain(t *testing.T) {
	eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
			if r.number == 1 {
				return rawAnswer{text: cutStream(r.id, ": comment\n\n"), close: true}
			}
			return rawAnswer{text: restAfter(r)}
		})
		a := s.send(path, "id")
		require.Equal(t, ": comment\n\n"+events(1, lastEvent), a.body)
		require.True(t, a.complete)
	})
}

// TestIncreasingNumbersNeedNotBeConsecutive: a target chooses its own numbers, as long as they rise.
func TestIncreasingNumbersNeedNotBeConsecutive(t *testing.T) {
	const body = "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 25\ndata: c\n\n"
	eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer { return rawAnswer{text: chunked(r.id, body)} })
		a := s.send(path, "id")
		require.Equal(t, body, a.body)
		require.True(t, a.complete)
		require.Len(t, s.requestsWith("id"), 1)
	})
}

// TestStreamWithGapsIsNotResumed guards against runs whose first event can't be known to be the next one.
func TestStreamWithGapsIsNotResumed(t *testing.T) {
	const begun = "id: 10\ndata: a\n\nid: 20\ndata: b\n\n"
	eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 3, func(r rawRequest) rawAnswer { return rawAnswer{text: cutStream(r.id, begun), close: true} })
		a := s.send(path, "id")
		require.Equal(t, begun, a.body)
		require.False(t, a.complete)
		require.Len(t, s.requestsWith("id"), 1)
	})
}

// TestNumberThatDoesNotRiseEndsItsAttempt guards against pieces of two runs that a target joins.
func TestNumberThatDoesNotRiseEndsItsAttempt(t *testing.T) {
	eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
			if r.number == 1 {
				return rawAnswer{text: chunked(r.id, events(1, eventsBeforeBreak)+events(2, lastEvent))}
			}
			return rawAnswer{text: restAfter(r)}
		})
		a := s.send(path, "id")
		if runsOnce(path) {
			require.Equal(t, events(1, eventsBeforeBreak), a.body)
			require.False(t, a.complete)
			return
		}
		require.Equal(t, events(1, lastEvent), a.body)
		require.True(t, a.complete)
	})
}

// TestMissingPieceOfAResumedStreamEndsItsAttempt guards against a gap between or within the pieces of two runs.
func TestMissingPieceOfAResumedStreamEndsItsAttempt(t *testing.T) {
	for name, rest := range map[string]string{
		"gap":      events(4, 4) + events(6, lastEvent),
		"repeated": events(4, 5) + events(5, lastEvent),
	} {
		t.Run(name, func(t *testing.T) {
			eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
				s := startRawSite(t, handedOver, 3, func(r rawRequest) rawAnswer {
					switch r.number {
					case 1:
						return rawAnswer{text: cutStream(r.id, events(1, eventsBeforeBreak)), close: true}
					case 2:
						return rawAnswer{text: chunked(r.id, rest)}
					}
					return rawAnswer{text: restAfter(r)}
				})
				a := s.send(path, "id")
				require.Equal(t, events(1, lastEvent), a.body)
				require.True(t, a.complete)
				require.Len(t, s.requestsWith("id"), 3)
			})
		})
	}
}

// TestEncodedStreamIsNotItsTargetsOwn guards against a body that the target did not send as the caller asked for it.
func TestEncodedStreamIsNotItsTargetsOwn(t *testing.T) {
	eachWay(t, streamRoutes, func(t *testing.T, handedOver bool, path string) {
		s := startRawSite(t, handedOver, 2, func(r rawRequest) rawAnswer {
			text := restAfter(r)
			if r.number == 1 {
				text = strings.Replace(text, "\r\n\r\n", "\r\nContent-Encoding: x\r\n\r\n", 1)
			}
			return rawAnswer{text: text}
		})
		a := s.send(path, "id")
		if runsOnce(path) {
			require.Equal(t, http.StatusBadGateway, a.status)
			require.Len(t, s.requestsWith("id"), 1)
			return
		}
		require.Equal(t, events(1, lastEvent), a.body)
		require.Empty(t, a.header.Get("Content-Encoding"))
	})
}

// TestStreamReleasesTheAnswerOfAnEarlierAttempt guards against memory that failures hold for ever once a stream has followed them.
func TestStreamReleasesTheAnswerOfAnEarlierAttempt(t *testing.T) {
	const requests, bytesEach = 30, 1 << 20 // three times the memory for answers, as it is counted
	eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
		large := strings.Repeat("x", bytesEach)
		s := startRawSite(t, handedOver, 3, func(r rawRequest) rawAnswer {
			switch {
			case r.id == "large":
				return rawAnswer{text: whole(r.id, "200 OK", large)}
			case r.number == 1:
				return rawAnswer{text: whole(r.id, "500 Internal Server Error", large)}
			}
			return rawAnswer{text: restAfter(r)}
		})
		for i := range requests {
			require.Equal(t, events(1, lastEvent), s.send(path, fmt.Sprint(i)).body)
		}
		require.Len(t, s.send("/read/1", "large").body, bytesEach)
	})
}

// TestFailureOfAnEarlierAttemptNeverEndsAStream guards against a stream that breaks off and looks complete, since an earlier attempt has left a complete answer.
func TestFailureOfAnEarlierAttemptNeverEndsAStream(t *testing.T) {
	for _, after := range []string{whole("id", "500 Internal Server Error", "error text"), refusal("id"), whole("id", "200 OK", "error text")} {
		for targets := 2; targets <= 3; targets++ {
			eachWay(t, []string{"/chat/1"}, func(t *testing.T, handedOver bool, path string) {
				s := startRawSite(t, handedOver, targets, func(r rawRequest) rawAnswer {
					switch r.number {
					case 1:
						return rawAnswer{text: whole(r.id, "500 Internal Server Error", "error text")}
					case 2:
						return rawAnswer{text: cutStream(r.id, events(1, eventsBeforeBreak)), close: true}
					}
					return rawAnswer{text: after}
				})
				a := s.send(path, "id")
				require.Equal(t, events(1, eventsBeforeBreak), a.body)
				require.False(t, a.complete)
				if after == refusal("id") && targets == 3 {
					// The third target may find room until the deadline, so it is asked again.
					require.GreaterOrEqual(t, len(s.requestsWith("id")), targets)
					return
				}
				require.Len(t, s.requestsWith("id"), targets)
			})
		}
	}
}
