package target

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestCloseDuringProbe closes the client while a probe is in flight to a host that does not
// answer, and right after a host has answered. Close must not wait for the probe, and the
// probe must end although its timeout has not passed.
func TestCloseDuringProbe(t *testing.T) {
	for name, answers := range map[string]bool{"unresponsive host": false, "answering host": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			asked := make(chan struct{})
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				if answers {
					_, _ = conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
				}
				close(asked)
				_, _ = in.ReadByte()
			}()

			set := Defaults()
			set.ProbeTimeout = time.Minute
			c := New(set)
			probed := make(chan step.HostReport, 1)
			go func() {
				probed <- c.Probe(t.Context(), step.Probe{Host: "h", Address: l.Addr().String(), Service: true}, 0)
			}()
			<-asked
			c.Close()
			select {
			case <-probed:
			case <-time.After(10 * time.Second):
				t.Fatal("the probe still waits for its answer")
			}
		})
	}
}
