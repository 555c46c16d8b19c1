package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// maxParallelShares bounds the daemons to which evidence is sent at once.
const maxParallelShares = 16

// probeHost opens a connection to a host and closes it again. It shows whether a process listens
// there, without a request that would need a slot.
func (d *Daemon) probeHost(ctx context.Context, e step.ProbeHost) step.HostProbed {
	p := step.HostProbed{Host: e.Host, Result: step.ProbeAccepted, Sent: d.clock()}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", e.Address)
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		p.Result = step.ProbeRefused
	default:
		p.Result = step.ProbeUnanswered
		d.log.Debug("probe of a host failed", "host", e.Host, "error", err)
	}
	metrics.GetOrCreateCounter(`rhubarbswitch_host_probes_total{result="` + p.Result.String() + `"}`).Inc()
	return p
}

// shareEvidence sends evidence to other daemons. One that can't be reached learns of it from what
// the platform holds.
func (d *Daemon) shareEvidence(ctx context.Context, e step.ShareEvidence) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxParallelShares)
	for _, address := range e.Addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if err := d.notifier.SendEvidence(ctx, address, e.Evidence); err != nil {
				d.log.Debug("evidence not sent to a daemon", "address", address, "error", err)
			}
		})
	}
}
