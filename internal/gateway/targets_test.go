package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// TestAbandonedAttemptResetsItsConnection cancels a request that its target has not answered.
func TestAbandonedAttemptResetsItsConnection(t *testing.T) {
	targets := newTargets(func() time.Duration { return 0 })
	defer targets.close()
	for _, mayRepeat := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 1))
				cancel()
				_, err = io.Copy(io.Discard, conn)
			}
			ended <- err
		}()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
		require.NoError(t, err)
		resp, err := targets.transport(step.Forward{MayRepeat: mayRepeat}, "id").RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		require.ErrorIs(t, err, context.Canceled)
		require.ErrorIs(t, <-ended, syscall.ECONNRESET)
	}
}
