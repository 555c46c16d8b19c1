package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// TestRequestDoesNotRunOverAConnectionThatIsClosedAsIdle guards against requests that run although their callers see a closed connection.
func TestRequestDoesNotRunOverAConnectionThatIsClosedAsIdle(t *testing.T) {
	d := startDaemon(t, site.Once, time.Second, answerOK)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				d.callers.conns.closeIdle(0)
			}
		}
	}()
	answered, unanswered := 0, []string(nil)
	for i := range 300 {
		c := d.dial()
		ids := []string{fmt.Sprintf("first-%d", i), fmt.Sprintf("second-%d", i)}
		// The second request has been read with the first one, and waits while the connection turns idle.
		_ = c.send(head(ids[0], time.Second, 0) + head(ids[1], time.Second, 0)) // fails if it is closed before
		for _, id := range ids {
			if _, _, err := c.answer(); err != nil {
				unanswered = append(unanswered, id)
				break
			}
			answered++
		}
		_ = c.Close()
	}
	require.Positive(t, answered)
	require.Positive(t, len(unanswered))
	require.Never(t, func() bool { return slices.ContainsFunc(unanswered, d.arrived) }, 300*time.Millisecond, 100*time.Millisecond, "a request has run and got no answer")
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
	d.callers.conns.closeIdle(0)
	require.Equal(t, 1, d.callers.conns.awaited(), "its body arrives")
	require.NoError(t, c.send("dy"))
	require.Eventually(t, func() bool { return d.arrived("busy") }, time.Second, time.Millisecond)
	d.callers.conns.closeIdle(0)
	require.Equal(t, 1, d.callers.conns.awaited(), "it runs")
	close(proceed)
	status, _, err := c.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { d.callers.conns.closeIdle(0); return d.callers.conns.awaited() == 0 }, time.Second, time.Millisecond)
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
