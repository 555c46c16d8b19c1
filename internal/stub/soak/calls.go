package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

// callKind is a kind of request. Its string is also the first element of the request's path
// and ID, and of the keys of Report.Calls.
type callKind string

const (
	chat  callKind = "chat"  // a stream of events, which another engine may resume
	write callKind = "write" // not idempotent: runs at most once
	read  callKind = "read"  // idempotent
	probe callKind = "probe" // idempotent, on an extra route; shows which configuration a daemon serves
)

const (
	// requestDeadline is the deadline that callers send with each request. A caller waits
	// deadlineGrace longer before it disconnects, so that the checker sees whether the daemon
	// answers in time.
	requestDeadline = 6 * time.Second
	deadlineGrace   = 6 * time.Second
	// disconnectShare is the share of chat streams whose callers disconnect early, after at
	// most maxDisconnectDelay.
	disconnectShare    = 0.05
	maxDisconnectDelay = 600 * time.Millisecond
)

// call is one request and, after its end, what its caller received.
type call struct {
	ID         string
	Kind       callKind
	Daemon     int
	Route      int // number of the extra route of a probe
	Path, Body string
	Parts      string // of the prompt of a chat request
	// crasher is the name of the crasher to which the request belongs; empty for a sound one.
	crasher string
	SentAt  time.Time
	outcome
}

// outcome is what the caller of a request received, and when.
type outcome struct {
	EndedAt time.Time
	// DisconnectedAt is when the caller gave up before it had a complete answer, or zero.
	DisconnectedAt time.Time
	// Incarnation is the number of the daemon's process, if the same process ran before and
	// after the request; 0 if the daemon was restarted meanwhile.
	Incarnation int
	Answer      load.FrontedAnswer
}

var lastCallNumber atomic.Uint64

// sendCall sends one request to a daemon, waits for its end and passes the outcome to the
// checker. The caller disconnects disconnectAfter the start; 0 makes it wait until
// deadlineGrace after the deadline.
func (r *run) sendCall(ctx context.Context, d *daemon, kind callKind, route int, disconnectAfter time.Duration) outcome {
	id := newCallID(kind)
	c := &call{ID: id, Kind: kind, Route: route, Path: "/" + string(kind) + "/" + id + "?q=%2F", Body: "body of " + id}
	if kind == probe {
		c.Path = fmt.Sprintf("/extra-%d/%s", route, id)
	}
	if kind == chat {
		c.Parts = promptParts(id, "")
	}
	return r.sendPrepared(ctx, d, c, disconnectAfter)
}

func newCallID(kind callKind) string { return fmt.Sprintf("%s-%d", kind, lastCallNumber.Add(1)) }

// sendPrepared is sendCall for a request that lacks its daemon.
func (r *run) sendPrepared(ctx context.Context, d *daemon, c *call, disconnectAfter time.Duration) outcome {
	c.Daemon = d.index
	header := map[string]string{
		"X-Request-Id": c.ID, "X-Credential": site.Key, "X-Deadline-Ms": strconv.FormatInt(requestDeadline.Milliseconds(), 10),
		"X-Tenant": "forged", "X-Expect-Instance": "forged",
	}
	if c.Kind == chat {
		header["X-Model"], header["X-Token-Count"], header["X-Prefix-Hash"] = site.Model, "100,100", c.Parts
	}
	timeout := requestDeadline + deadlineGrace
	if disconnectAfter > 0 {
		timeout = disconnectAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, before := d.current()
	c.SentAt = time.Now()
	r.checker.recordSent(c)
	var o outcome
	o.Answer = r.caller.Send(ctx, d.callers.Address(), load.FrontedCall{
		Method: http.MethodPost, Host: site.Host, Path: c.Path, Body: c.Body, Header: header,
	})
	o.EndedAt = time.Now()
	if _, after := d.current(); after == before {
		o.Incarnation = after
	}
	if ctx.Err() != nil && !o.Answer.Complete {
		o.DisconnectedAt = o.EndedAt
	}
	r.checker.checkOutcome(c, o)
	return o
}

// startLoad starts two background senders that run until the context ends: requests of all
// kinds at the rate of the settings, and probes of the newest extra route every probeInterval.
func (r *run) startLoad(ctx context.Context) {
	r.background.Go(func() {
		draw := rand.New(rand.NewPCG(r.settings.Seed, 1))
		ticks := time.NewTicker(time.Duration(float64(time.Second) / r.settings.Rate))
		defer ticks.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks.C:
			}
			d := r.daemons[draw.IntN(len(r.daemons))]
			kind := []callKind{chat, chat, write, read}[draw.IntN(4)]
			disconnectAfter := time.Duration(0)
			if kind == chat && draw.Float64() < disconnectShare {
				disconnectAfter = time.Duration(1 + draw.Int64N(int64(maxDisconnectDelay)))
			}
			r.background.Go(func() { r.sendCall(ctx, d, kind, 0, disconnectAfter) })
		}
	})
	r.background.Go(func() {
		draw := rand.New(rand.NewPCG(r.settings.Seed, 2))
		for sleepContext(ctx, probeInterval) {
			route, configured := r.checker.newestRoute()
			d := r.daemons[draw.IntN(len(r.daemons))]
			if configured {
				r.background.Go(func() { r.sendCall(ctx, d, probe, route, 0) })
			}
		}
	})
}
