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

// maxParallelShares bounds the daemons to which a message is sent at once.
const maxParallelShares = 16

// probeHost opens a connection to a host and closes it again. It shows whether a process listens
// there, without a request that would need a slot.
func (d *Daemon) probeHost(ctx context.Context, e step.ProbeHost) step.HostProbed {
	p := step.HostProbed{Host: e.Host, Result: step.ProbeAccepted, Sent: d.clock(), PathOf: e.PathOf}
	err := connect(ctx, e.Address)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		p.Result = step.ProbeRefused
	default:
		p.Result = step.ProbeUnanswered
		d.log.Debug("probe of a host failed", "host", e.Host, "error", err)
	}
	reason := "crash"
	if e.PathOf != "" {
		reason = "path"
	}
	metrics.GetOrCreateCounter(`rhubarbswitch_host_probes_total{reason="` + reason + `",result="` + p.Result.String() + `"}`).Inc()
	return p
}

// connect opens a connection to a host and closes it again.
func connect(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// shareEvidence sends evidence to other daemons. One that can't be reached learns of it from what
// the platform holds.
func (d *Daemon) shareEvidence(ctx context.Context, e step.ShareEvidence) {
	forEachAddress(e.Addresses, func(address string) {
		if err := d.notifier.SendEvidence(ctx, address, e.Evidence); err != nil {
			d.log.Debug("evidence not sent to a daemon", "address", address, "error", err)
		}
	})
}

// shareLimits tells other daemons of limits.
func (d *Daemon) shareLimits(ctx context.Context, e step.ShareLimits) {
	forEachAddress(e.Addresses, func(address string) {
		if err := d.notifier.SendLimits(ctx, address, e.Message); err != nil {
			d.log.Debug("limits not sent to a daemon", "address", address, "error", err)
		}
	})
}

// forEachAddress calls do for each address, for some of them at once.
func forEachAddress(addresses []string, do func(address string)) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxParallelShares)
	for _, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			do(address)
		})
	}
}
