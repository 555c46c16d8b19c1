package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// initialBackoff bounds the delay after the first failure. The bound doubles with each
	// consecutive failure, up to maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// minWatchInterval is the shortest time between the starts of two watches. It limits the
	// rate of watches when objects change often.
	minWatchInterval = 50 * time.Millisecond
)

// FollowerSettings configure a Follower. Each use of a duration is jittered by up to a fifth
// in both directions.
type FollowerSettings struct {
	// WatchWait is how long a watch waits for changes. A dead connection is detected within
	// this time plus WatchGrace.
	WatchWait time.Duration
	// HostListInterval is the interval between two reads of the host list.
	HostListInterval time.Duration
	// Now is the clock of PlatformState.Asked; without it that field stays zero.
	Now func() time.Duration
}

func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{WatchWait: 2 * time.Second, HostListInterval: 2 * time.Second}
}

// Follower follows the watched objects and the host list. It passes ConfigBatch, PlatformState
// and HostList events to a callback, from two goroutines. Each ConfigBatch either is full or
// starts at the revision at which the batch before it ended.
type Follower struct {
	client *Client
	set    FollowerSettings
	emit   func(step.Event)
	// mu guards jitter, which both goroutines use.
	mu     sync.Mutex
	jitter *rand.Rand

	// The fields below belong to the goroutine that follows objects.

	revision      object.Version // up to which all changes were emitted
	listed        bool           // whether a list succeeded and the changes since are kept
	reachable     bool           // latest PlatformState that was emitted
	stateReported bool           // whether a PlatformState was emitted
}

// NewFollower returns a follower. The seed must differ between daemons, so that their delays
// differ.
func NewFollower(client *Client, set FollowerSettings, seed uint64, emit func(step.Event)) *Follower {
	return &Follower{client: client, set: set, emit: emit, jitter: rand.New(rand.NewPCG(seed, seed))}
}

// Run follows the objects and the host list until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.followHosts(ctx) })
	f.followObjects(ctx)
	wg.Wait()
}

// followObjects lists and then watches the objects until the context ends. It lists them again
// when the platform no longer keeps the changes since the last revision.
func (f *Follower) followObjects(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		started, asked := time.Now(), f.now()
		err := f.listOrWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrGone) {
			f.listed = false
			Sleep(ctx, f.backoff(1))
			continue
		}
		f.reportState(step.PlatformState{Reachable: err == nil, Asked: asked})
		if err != nil {
			failures++
			Sleep(ctx, f.backoff(failures))
			continue
		}
		failures = 0
		Sleep(ctx, minWatchInterval-time.Since(started))
	}
}

// listOrWatch lists all watched objects if that has not been done yet, or else waits once for
// changes. It emits the result.
func (f *Follower) listOrWatch(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	b, err := f.client.Watch(ctx, object.WatchedKinds, f.revision, f.jittered(f.set.WatchWait))
	if err != nil {
		return err
	}
	f.revision = max(f.revision, b.Revision)
	f.emit(b)
	return nil
}

// list lists the objects of all watched kinds and emits them as a full batch. The batch has
// the lowest revision of the lists, so the watch that follows misses no change.
func (f *Follower) list(ctx context.Context) error {
	b := step.ConfigBatch{Full: true}
	for i, kind := range object.WatchedKinds {
		l, err := f.client.List(ctx, kind, func(o object.Object) { b.Objects = append(b.Objects, o) })
		if err != nil {
			return err
		}
		if i == 0 || l.Revision < b.Revision {
			b.Revision = l.Revision
		}
		b.Refused = append(b.Refused, l.Refused...)
	}
	f.revision, f.listed = b.Revision, true
	f.emit(b)
	return nil
}

func (f *Follower) now() time.Duration {
	if f.set.Now == nil {
		return 0
	}
	return f.set.Now()
}

// reportState emits whether the platform is reachable: after every successful call, and once
// when it becomes unreachable.
func (f *Follower) reportState(state step.PlatformState) {
	if f.stateReported && !state.Reachable && !f.reachable {
		return
	}
	f.stateReported, f.reachable = true, state.Reachable
	f.emit(state)
}

func (f *Follower) followHosts(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		hosts, err := f.client.Hosts(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			Sleep(ctx, f.backoff(failures))
			continue
		}
		failures = 0
		f.emit(step.HostList{Hosts: hosts})
		Sleep(ctx, f.jittered(f.set.HostListInterval))
	}
}

// backoff returns the delay after a number of consecutive failures. The delay doubles with
// each failure and is drawn at random from its upper half, so that many daemons do not return
// to the platform at the same time.
func (f *Follower) backoff(failures int) time.Duration {
	d := min(initialBackoff<<min(failures-1, 10), maxBackoff)
	return d/2 + f.randomBelow(d/2)
}

// jittered returns a random duration between four fifths and six fifths of d.
func (f *Follower) jittered(d time.Duration) time.Duration {
	return d*4/5 + f.randomBelow(d*2/5)
}

func (f *Follower) randomBelow(below time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.jitter.Int64N(int64(below)))
}

// Sleep waits for d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
