package backend

import (
	"context"
	"sort"
	"sync"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// traceAll asks every daemon that one daemon knows. Daemons that don't answer are
// noted as gaps.
func traceAll(ctx context.Context, d *Daemon, request string, note func(string)) (operatorapi.Trace, error) {
	status, err := d.Status(ctx)
	if err != nil {
		return operatorapi.Trace{}, err
	}
	parts := make([]operatorapi.Trace, len(status.Daemons))
	failures := make([]error, len(status.Daemons))
	var wait sync.WaitGroup
	for i, peer := range status.Daemons {
		wait.Go(func() { parts[i], failures[i] = askPeer(ctx, d, status.Daemon, peer, request) })
	}
	wait.Wait()
	whole := operatorapi.Trace{Request: request, Events: []operatorapi.TraceEvent{}}
	for i, part := range parts {
		if failures[i] != nil {
			note("gap: daemon " + status.Daemons[i].Name + " did not tell its part: " + failures[i].Error())
		}
		whole.Events = append(whole.Events, part.Events...)
	}
	sort.SliceStable(whole.Events, func(i, j int) bool { return whole.Events[i].UnixMillis < whole.Events[j].UnixMillis })
	return whole, nil
}

func askPeer(ctx context.Context, d *Daemon, self string, peer operatorapi.DaemonStatus, request string) (operatorapi.Trace, error) {
	if peer.Name == self || peer.API == "" {
		return d.Trace(ctx, request)
	}
	return d.At(peer.API).Trace(ctx, request)
}
