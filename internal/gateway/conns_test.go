package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// TestRequestDoesNotRunOverAConnectionThatIsClosedAsIdle guards against requests that run although their callers see a closed connection.
func TestRequestDoesNotRunOverAConnectionThatIsClosedAsIdle(t *testing.T) {
	d := startDaemon(t, site.Once, time.Second, answerOK)
	var conns serverConns
	server := http.Server{
		Handler: http.HandlerFunc(d.serveCaller), ConnContext: conns.connContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			conns.trackState(c, state)
			if state == http.StateIdle {
				conns.closeExpiredNow(keepTimes{unused: time.Minute})
			}
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(connListener{l}) }()
	defer func() { _ = server.Close() }()
	for i := range 20 {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		c := &rawCaller{conn, bufio.NewReader(conn)}
		first, second := fmt.Sprintf("first-%d", i), fmt.Sprintf("second-%d", i)
		// The second request has been read with the first one, and waits while the connection turns idle.
		require.NoError(t, c.send(head(first, time.Second, 0)+head(second, time.Second, 0)))
		_, _, err = c.answer()
		require.NoError(t, err)
		_, _, err = c.answer()
		require.Error(t, err)
		require.True(t, d.arrived(first))
		require.Never(t, func() bool { return d.arrived(second) }, 30*time.Millisecond, 10*time.Millisecond, "%s has run and got no answer", second)
		_ = c.Close()
	}
}

// TestBusyConnectionIsNotClosedAsIdle guards against an idle time that ends requests.
func TestBusyConnectionIsNotClosedAsIdle(t *testing.T) {
	proceed := make(chan struct{})
	d := startDaemon(t, site.Once, time.Second, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, "ok")
	})
	c := d.dial()
	require.NoError(t, c.send(head("busy", 5*time.Second, 4)+"bo"))
	require.Eventually(t, func() bool { return d.callers.conns.awaited() == 1 }, time.Second, time.Millisecond)
	d.callers.conns.closeExpiredNow(keepTimes{unused: time.Second})
	require.Equal(t, 1, d.callers.conns.awaited(), "its body arrives")
	require.NoError(t, c.send("dy"))
	require.Eventually(t, func() bool { return d.arrived("busy") }, time.Second, time.Millisecond)
	d.callers.conns.closeExpiredNow(keepTimes{unused: time.Second})
	require.Equal(t, 1, d.callers.conns.awaited(), "it runs")
	close(proceed)
	status, _, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		d.callers.conns.closeExpiredNow(keepTimes{unused: time.Second})
		return d.callers.conns.awaited() == 0
	}, time.Second, time.Millisecond)
	_, err = c.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestMessagesOfOtherDaemonsDoNotDelayAStop guards against a stop that lasts for its whole timeout as other daemons keep sending.
func TestMessagesOfOtherDaemonsDoNotDelayAStop(t *testing.T) {
	d := startDaemonWith(t, site.Once, 8*time.Second, answerOK, func(set *config.Gateway) { set.Links = freeAddress(t) })
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if resp, err := http.PostForm("http://"+d.settings.Links+"/suspects", url.Values{"host": {"host"}}); err == nil {
				_ = resp.Body.Close()
			}
		}
	}()
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	d.Stop()
	<-d.ended
	require.Less(t, time.Since(began), unreadyWait+2*time.Second)
}

// TestStrayBytesDoNotKeepAConnectionOpen guards against callers whose bytes behind a request hold connections, and a stop, for good.
func TestStrayBytesDoNotKeepAConnectionOpen(t *testing.T) {
	d := startDaemon(t, site.Once, 8*time.Second, answerOK)
	c := d.dial()
	require.NoError(t, c.send(head("first", time.Second, 0)))
	status, _, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, c.send("\r\n"))
	time.Sleep(100 * time.Millisecond)
	d.callers.conns.closeExpiredNow(keepTimes{unused: time.Hour, idle: time.Hour})
	require.Equal(t, 1, d.callers.conns.awaited(), "the rest may be on its way")
	began := time.Now()
	d.Stop()
	<-d.ended
	require.Less(t, time.Since(began), unreadyWait+time.Second)
}

// TestNewConnectionsStayOpenForTheirFirstRequest guards against connections that are closed before their callers have sent anything.
func TestNewConnectionsStayOpenForTheirFirstRequest(t *testing.T) {
	d := startDaemon(t, site.Once, time.Second, answerOK)
	c := d.dial()
	time.Sleep(firstRequestTime + 100*time.Millisecond)
	d.callers.conns.closeExpiredNow(keepTimes{unused: headerTimeout, idle: time.Second})
	require.NoError(t, c.send(head("late", time.Second, 0)))
	status, _, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
