package process

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// hostileMemoryMiB is the memory setting of the daemons, and the bound on what they have resident.
	hostileMemoryMiB = 96
	// maxHostileDescriptors is what a quarter of that memory holds of connections if each takes 16 KiB (a
	// stack and two buffers of net/http), and 256 for the store, hosts and other daemons.
	maxHostileDescriptors = hostileMemoryMiB<<20/4/(16<<10) + 256
	// crowdWriteTimeout is how long a caller tries to send, and crowdHold how long all stay connected after that.
	crowdWriteTimeout = 1500 * time.Millisecond
	crowdHold         = 2500 * time.Millisecond
	// crowdDials is how many callers connect at a time, so that the listener's queue does not overflow.
	crowdDials = 128
)

// crowd is a number of callers of one kind, each with a connection of its own.
type crowd struct {
	callers int
	// text is what each caller sends before it stops; n is the number of the caller.
	text func(n int) string
	// unread makes the callers' receive buffers small. No caller reads.
	unread bool
}

func hostileHead(path string, n int, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: hostile-%d\r\nX-Credential: %s\r\nX-Model: %s\r\nX-Token-Count: 100,100\r\nX-Deadline-Ms: 8000\r\n%s",
		path, site.Host, n, site.Key, site.Model, framing)
}

// announced is a crowd whose callers announce a body and send a part of it.
func announced(callers, length, sent int) crowd {
	body := strings.Repeat("x", sent)
	return crowd{callers: callers, text: func(n int) string {
		return hostileHead("/write/1", n, fmt.Sprintf("Content-Length: %d\r\n\r\n", length)) + body
	}}
}

// chunked is a crowd whose callers send chunks of a body without the last one.
func chunked(callers, chunk, chunks int) crowd {
	body := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), chunks)
	return crowd{callers: callers, text: func(n int) string {
		return hostileHead("/write/1", n, "Transfer-Encoding: chunked\r\n\r\n") + body
	}}
}

// endlessHeads is a crowd whose callers send header lines of some length in total without the empty line after them.
func endlessHeads(callers, length int) crowd {
	line := "X-More-%d: " + strings.Repeat("x", 1000) + "\r\n"
	var lines strings.Builder
	for i := 0; lines.Len() < length; i++ {
		fmt.Fprintf(&lines, line, i)
	}
	return crowd{callers: callers, text: func(n int) string { return hostileHead("/write/1", n, lines.String()) }}
}

// unread is a crowd whose callers send a request and don't read what comes back.
func unread(callers int, path string) crowd {
	return crowd{callers: callers, unread: true, text: func(n int) string { return hostileHead(path, n, "Content-Length: 1\r\n\r\nx") }}
}

// dial connects one caller.
func (c crowd) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	if c.unread {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			if errControl := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) }); errControl != nil {
				return errControl
			}
			return err
		}
	}
	return dialer.Dial("tcp", address)
}

// runCrowds connects all callers, lets them send, holds the connections for a moment and closes them. The daemon
// may refuse or close any of them.
func runCrowds(address string, crowds []crowd) {
	var callers sync.WaitGroup
	var sent sync.WaitGroup
	release := make(chan struct{})
	dials := make(chan struct{}, crowdDials)
	for _, c := range crowds {
		for n := range c.callers {
			sent.Add(1)
			callers.Go(func() {
				dials <- struct{}{}
				conn, err := c.dial(address)
				<-dials
				if err != nil {
					sent.Done()
					return
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)) // fails only on a closed connection
				_, _ = conn.Write([]byte(c.text(n)))
				sent.Done()
				<-release
			})
		}
	}
	sent.Wait()
	time.Sleep(crowdHold)
	close(release)
	callers.Wait()
}

// watchDescriptors samples the open descriptors of a process until the returned function is called, which
// returns the most that were seen.
func (p *process) watchDescriptors() (peak func() int) {
	var most atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid())); err == nil {
				most.Store(max(most.Load(), int64(len(entries))))
			}
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() int {
		close(stop)
		<-stopped
		return int(most.Load())
	}
}

// TestHostileCallers guards against daemons that end, fill their memory or run out of descriptors since many
// callers hold connections with bodies, heads or answers that don't end, and against daemons that serve nobody after it.
func TestHostileCallers(t *testing.T) {
	const kib, mib = 1 << 10, 1 << 20
	for _, c := range []struct {
		name   string
		crowds []crowd
	}{
		{"announced 1 KB, one byte short", []crowd{announced(3500, kib, kib-1)}},
		{"announced 60 KB, one byte short", []crowd{announced(3500, 60000, 59999)}},
		{"announced 4 MiB, one byte short", []crowd{announced(200, 4*mib, 4*mib-1)}},
		{"large chunks without the last one", []crowd{chunked(400, 64*kib, 16)}},
		{"tiny chunks without the last one", []crowd{chunked(3500, 1, 2000)}},
		{"announced far over the limit", []crowd{announced(200, 64*mib, 8*mib)}},
		{"sent far over the limit", []crowd{chunked(200, mib, 8)}},
		{"heads that never end", []crowd{endlessHeads(3000, 60000), endlessHeads(500, 200000)}},
		{"answers that are not read", []crowd{unread(400, "/write/1")}},
		{"streams that are not read", []crowd{unread(400, "/chat/1")}},
		{"all together", []crowd{
			announced(500, kib, kib-1), announced(500, 60000, 59999), announced(50, 4*mib, 4*mib-1), chunked(100, 64*kib, 16), chunked(500, 1, 2000),
			announced(50, 64*mib, 8*mib), chunked(50, mib, 8), endlessHeads(500, 60000), endlessHeads(100, 200000), unread(100, "/write/1"), unread(100, "/chat/1"),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newGatewayClusterWith(t, 1, map[string]any{"memoryMiB": hostileMemoryMiB})
			d := f.daemons[0]
			served := func() bool {
				return d.request(http.MethodPost, "/write/1", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), nil).Status == http.StatusOK
			}
			waitUntil(t, "requests are served", served)
			waitUntil(t, "a group is open", func() bool { return f.openGroups() > 0 })
			setPadding := func(answer, event int) {
				for _, v := range f.site.Servers(site.Ledger) {
					v.SetFaults(site.Faults{Padding: answer})
				}
				for _, v := range f.site.Servers(site.LLM) {
					v.SetFaults(site.Faults{Padding: event})
				}
			}
			setPadding(6*mib, mib/2) // more than the kernel buffers for a connection
			descriptors := d.watchDescriptors()
			runCrowds(d.callersAddress, c.crowds)
			peak := descriptors()
			setPadding(0, 0)
			require.False(t, d.hasExited(), "the process lives; its log: %s", d.logTail())
			waitUntil(t, "an ordinary request is answered", served)
			t.Logf("%d MiB, %d descriptors", d.peakMemoryMiB(), peak)
			if !raceEnabled { // the race detector multiplies the memory of a process
				require.Less(t, d.peakMemoryMiB(), hostileMemoryMiB)
			}
			require.LessOrEqual(t, peak, maxHostileDescriptors)
		})
	}
}
