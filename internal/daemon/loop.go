package daemon

import (
	"context"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// Submit passes a request to the reducer. The returned channel delivers the request's effects
// until Release.
func (d *Daemon) Submit(r step.Request) <-chan step.Effect {
	ch := d.calls.Add(r.ID)
	d.Post(r)
	return ch
}

// Release stops the delivery of a request's effects. Its handler calls it at the end.
func (d *Daemon) Release(id step.RequestID) { d.calls.Remove(id) }

// Post queues an event for the reducer, and blocks while the queue is full. After the loop
// has ended it does nothing.
func (d *Daemon) Post(e step.Event) {
	select {
	case d.events <- e:
	case <-d.loopDone:
	}
}

// Directory returns the part of the configuration in force that applies to callers.
func (d *Daemon) Directory() *core.Directory { return d.directory.Load() }

// At converts a monotonic time of the reducer to a time.Time.
func (d *Daemon) At(mono time.Duration) time.Time { return d.startedAt.Add(mono) }

func (d *Daemon) now() step.Time {
	now := time.Now()
	return step.Time{Mono: now.Sub(d.startedAt), Unix: now.UnixMilli()}
}

// loop passes events, ticks and wake-ups to the reducer until the reducer returns step.Exit
// or the context ends.
func (d *Daemon) loop(ctx context.Context) {
	defer close(d.loopDone)
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	d.wake = time.NewTimer(0)
	defer d.wake.Stop()
	for {
		var e step.Event
		select {
		case <-ctx.Done():
			return
		case q := <-d.queries:
			q(d.state)
			continue
		case <-ticks.C:
			e = step.Tick{}
		case <-d.wake.C:
			d.wakeAt = 0
			e = step.Wake{}
		case e = <-d.events:
		}
		if done := d.step(ctx, e); done {
			return
		}
	}
}

// step passes one event to the reducer and executes the effects that it returns. It reports
// whether the loop must end.
func (d *Daemon) step(ctx context.Context, e step.Event) bool {
	began := time.Now()
	effects := d.state.Reduce(d.now(), e)
	stepSeconds.UpdateDuration(began)
	d.configChanged = false
	done := false
	for _, effect := range effects {
		done = d.execute(ctx, effect) || done
	}
	if d.configChanged {
		d.directory.Store(d.state.Directory())
	}
	return done
}

// query runs f on the reducer's state in the loop, between two events, and waits for it. It
// returns an error, without running f, if the context or the loop ends first.
func (d *Daemon) query(ctx context.Context, f func(*core.State)) error {
	done := make(chan struct{})
	q := func(s *core.State) {
		defer close(done)
		f(s)
	}
	select {
	case d.queries <- q:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.loopDone:
		return context.Canceled
	}
	<-done
	return nil
}

// setWake makes the loop send step.Wake at a monotonic time, or earlier if the timer is
// already set to an earlier time.
func (d *Daemon) setWake(at time.Duration) {
	if d.wakeAt != 0 && d.wakeAt <= at {
		return
	}
	d.wakeAt = at
	d.wake.Reset(time.Until(d.At(at)))
}
