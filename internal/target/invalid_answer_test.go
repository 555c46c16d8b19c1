package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// scriptedTarget answers requests byte for byte, and keeps connections.
type scriptedTarget struct {
	address string
	conns   atomic.Int64
}

func startScriptedTarget(t *testing.T, answer func(r *http.Request) string) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text := answer(r)
					if _, err := io.WriteString(conn, text); err != nil || !strings.Contains(text, "Content-Length:") {
						return
					}
				}
			}()
		}
	}()
	return s
}

func answerOf(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// invalidTexts are whole answers that are invalid, by their fault.
func invalidTexts(status, header, body string) map[string]string {
	texts := raw.InvalidNames("HTTP/1.1 "+status+"\r\n"+header, body)
	for _, invalid := range raw.InvalidStatuses {
		texts["status "+invalid] = fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", invalid, header, len(body), body)
	}
	return texts
}

// TestInvalidAnswersToAttempts guards against a call or a stream that counts as complete, or as refused, by an invalid answer.
func TestInvalidAnswersToAttempts(t *testing.T) {
	const header = engineapi.HeaderAttempt + ": r.1\r\n"
	stream := eventLine("r.1", "1", "") + eventLine("r.1", "2", "stop") + "data: [DONE]\n\n"
	for _, extra := range []string{"", engineapi.HeaderNotRun + ": true\r\n"} {
		for name, text := range invalidTexts("200 OK", header+extra, stream) {
			t.Run(extra+name, func(t *testing.T) {
				s := startScriptedTarget(t, func(*http.Request) string { return text })
				c := New(Defaults())
				defer c.Close()
				for range 2 {
					answer, end := c.Call(t.Context(), attemptTo(s.address, 0))
					require.Equal(t, step.EndedBroken, end.Ending)
					require.Empty(t, answer.Body)
					end = c.Generate(t.Context(), attemptTo(s.address, 0), func(Chunk) error { return nil })
					require.Equal(t, step.EndedBroken, end.Ending)
				}
				require.EqualValues(t, 4, s.conns.Load(), "no connection is used again")
			})
		}
	}
}

// TestInvalidAnswersToProbes guards against a host that counts as alive by an invalid answer.
func TestInvalidAnswersToProbes(t *testing.T) {
	for _, service := range []bool{false, true} {
		for name, text := range invalidTexts("200 OK", "", `{"host":"h","ready":true}`) {
			t.Run(fmt.Sprint(service, " ", name), func(t *testing.T) {
				s := startScriptedTarget(t, func(*http.Request) string { return text })
				c := New(Defaults())
				defer c.Close()
				for range 2 {
					r := c.Probe(t.Context(), step.Probe{Host: "h", Address: s.address, Service: service}, 0)
					require.False(t, r.OK)
				}
				require.EqualValues(t, 2, s.conns.Load(), "no connection is used again")
			})
		}
	}
}

// TestInvalidAnswersToOrders guards against an order that counts as taken, or as refused, by an invalid answer.
func TestInvalidAnswersToOrders(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict"} {
		for name, text := range invalidTexts(status, "", "{}") {
			t.Run(status+", "+name, func(t *testing.T) {
				s := startScriptedTarget(t, func(r *http.Request) string {
					if r.URL.Path == engineapi.PathOrder {
						return text
					}
					return answerOf("200 OK", `{"host":"h"}`)
				})
				c := New(Defaults())
				defer c.Close()
				require.True(t, c.Probe(t.Context(), step.Probe{Host: "h", Address: s.address}, 0).OK)
				require.Equal(t, step.ReplyLost, c.Order(step.SendOrder{Host: "h", Address: s.address}).Status)
				require.Equal(t, step.ReplyUnsent, c.Order(step.SendOrder{Host: "h", Address: s.address}).Status, "the connection is closed")
			})
		}
	}
}
