package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/raw"
)

// TestEndlessAnswersToMessages guards against a daemon whose bytes without end fill the memory of those that notify it, or hold them.
func TestEndlessAnswersToMessages(t *testing.T) {
	for _, status := range []string{"204 No Content", "200 OK", "404 Not Found", "500 Internal Server Error"} {
		for name, answer := range raw.Endless("HTTP/1.1 " + status + "\r\n") {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				s := raw.Start(t, func(*http.Request) raw.Answer { return answer })
				n := NewNotifier(func() time.Duration { return 0 })
				defer n.Close()
				err := n.NotifySuspect(t.Context(), s.Address, "host")
				_ = n.SendEvidence(t.Context(), s.Address, quarantine.Evidence{})
				_ = n.SendLimits(t.Context(), s.Address, hostlimit.Message{})
				s.Wait()
				require.LessOrEqual(t, s.Requests(), 1+evidenceTries+1)
				require.Less(t, s.Written(), int64(s.Requests()*maxHeaderBytes)+raw.Slack(t))
				if status[0] != '2' || strings.Contains(name, "head") || strings.Contains(name, "HTTP") {
					require.Error(t, err)
				}
			})
		}
	}
}

// TestMessagesWithoutEnd guards against a daemon whose messages without end, or cut short, hold the daemon that reads them or are taken.
func TestMessagesWithoutEnd(t *testing.T) {
	clock := func() time.Duration { return time.Minute }
	taken := make(chan string, 100)
	mux := http.NewServeMux()
	mux.Handle(SuspectPath, SuspectHandler(func(string) { taken <- SuspectPath }))
	mux.Handle(EvidencePath, EvidenceHandler(clock, func(quarantine.Evidence) { taken <- EvidencePath }))
	mux.Handle(LimitsPath, LimitsHandler(clock, func(hostlimit.Message) { taken <- LimitsPath }))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	for path, begin := range map[string]string{SuspectPath: "host=h", EvidencePath: `{"crashes":[`, LimitsPath: `{"daemon":"`} {
		contentType := "application/json"
		if path == SuspectPath {
			contentType = "application/x-www-form-urlencoded"
		}
		for framing, piece := range map[string]string{"Content-Length: 1099511627776\r\n\r\n" + begin: "x", "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(begin), begin): "1\r\nx\r\n"} {
			for _, interval := range []time.Duration{0, 20 * time.Millisecond, time.Minute} {
				t.Run(fmt.Sprint(path, strings.Fields(framing)[0], interval), func(t *testing.T) {
					t.Parallel()
					conn, err := net.Dial("tcp", server.Listener.Addr().String())
					require.NoError(t, err)
					defer func() { _ = conn.Close() }()
					_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Type: "+contentType+"\r\n"+framing)
					require.NoError(t, err)
					ended := make(chan struct{})
					defer close(ended)
					go func() {
						for err := error(nil); err == nil; {
							select {
							case <-ended:
								return
							case <-time.After(interval):
								_, err = io.WriteString(conn, strings.Repeat(piece, 1+int(time.Millisecond-min(interval, time.Millisecond))/1000))
							}
						}
					}()
					require.NoError(t, conn.SetReadDeadline(time.Now().Add(messageTimeout+20*time.Second)))
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						require.Equal(t, http.StatusBadRequest, resp.StatusCode)
						return
					}
					netErr, ok := err.(net.Error)
					require.False(t, ok && netErr.Timeout(), "it reads on")
				})
			}
		}
	}
	t.Cleanup(func() { require.Empty(t, taken) })
}
