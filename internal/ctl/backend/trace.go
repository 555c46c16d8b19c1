package backend

import (
	"context"
	"sort"
	"sync"

	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// traceAllDaemons reads the trace of a request from every daemon in the status of daemon d,
// and merges the traces in order of time. It calls warn for every daemon that does not answer.
func traceAllDaemons(ctx context.Context, d *Daemon, request string, warn func(string)) (operatorapi.Trace, error) {
	status, err := d.Status(ctx)
	if err != nil {
		return operatorapi.Trace{}, err
	}
	parts := make([]operatorapi.Trace, len(status.Daemons))
	failures := make([]error, len(status.Daemons))
	var wait sync.WaitGroup
	for i, peer := range status.Daemons {
		wait.Go(func() { parts[i], failures[i] = tracePeer(ctx, d, status.Daemon, peer, request) })
	}
	wait.Wait()
	merged := operatorapi.Trace{Request: request, Events: []operatorapi.TraceEvent{}}
	for i, part := range parts {
		if failures[i] != nil {
			warn("the trace is incomplete: daemon " + status.Daemons[i].Name + " did not answer: " + failures[i].Error())
		}
		merged.Events = append(merged.Events, part.Events...)
	}
	sort.SliceStable(merged.Events, func(i, j int) bool { return merged.Events[i].UnixMillis < merged.Events[j].UnixMillis })
	return merged, nil
}

// tracePeer reads the trace from one daemon in the status of daemon d, which is called self.
// If the address of the peer is not in the status, it reads the trace of d itself.
func tracePeer(ctx context.Context, d *Daemon, self string, peer operatorapi.DaemonStatus, request string) (operatorapi.Trace, error) {
	if peer.Name == self || peer.API == "" {
		return d.Trace(ctx, request)
	}
	return d.ForAddress(peer.API).Trace(ctx, request)
}
