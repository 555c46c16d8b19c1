package platform

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testCallTimeout = 200 * time.Millisecond

func startWithClient(t *testing.T) (*fakePlatform, *Client) {
	f := startFake(t)
	c := New(f.URL, WithCallTimeout(testCallTimeout))
	t.Cleanup(c.Close)
	return f, c
}

func requireAs[T error](t *testing.T, err error) T {
	t.Helper()
	e, ok := errors.Into[T](err)
	require.Truef(t, ok, "%T: %v", err, err)
	return e
}

func TestConditionalWrites(t *testing.T) {
	_, c := startWithClient(t)
	ctx := t.Context()
	_, err := c.Get(ctx, object.KindDataCentre, "dc1")
	requireAs[*AbsentError](t, err)
	first, err := c.Put(ctx, "dc1", 0, &object.DataCentre{Reason: "one"})
	require.NoError(t, err)
	second, err := c.Put(ctx, "dc1", first.Version, &object.DataCentre{Reason: "two"})
	require.NoError(t, err)
	_, err = c.Put(ctx, "dc1", first.Version, &object.DataCentre{Reason: "three"})
	require.Equal(t, second, requireAs[*ConflictError](t, err).Current)
	require.Contains(t, err.Error(), fmt.Sprintf("stands at version %d, not %d", second.Version, first.Version))
	got, err := c.Get(ctx, object.KindDataCentre, "dc1")
	require.NoError(t, err)
	require.Equal(t, second, got)
	requireAs[*ConflictError](t, c.Delete(ctx, object.KindDataCentre, "dc1", first.Version))
	require.NoError(t, c.Delete(ctx, object.KindDataCentre, "dc1", second.Version))
}

func TestInvalidValuesAreNotSent(t *testing.T) {
	f, c := startWithClient(t)
	_, err := c.Put(t.Context(), "m", 0, &object.Model{})
	requireAs[*object.RuleError](t, err)
	_, err = c.Put(t.Context(), "dc1", 0, &object.DataCentre{Reason: strings.Repeat("x", object.MaxValueBytes)})
	requireAs[*TooLargeError](t, err)
	require.Zero(t, f.callCount.Load())
}

func TestLostAnswerIsNotReportedAsFailure(t *testing.T) {
	f, c := startWithClient(t)
	f.loseNextAnswer.Store(true)
	_, err := c.Put(t.Context(), "dc1", 0, &object.DataCentre{Reason: "mine"})
	requireAs[*LostError](t, err)
	require.Equal(t, step.ReplyLost, Reply(1, object.Object{}, err).Status)
	_, err = c.Put(t.Context(), "dc1", 0, &object.DataCentre{Reason: "mine"})
	current := requireAs[*ConflictError](t, err).Current
	require.Equal(t, "mine", current.Value.(*object.DataCentre).Reason, "the write took effect")
	f.down.Store(true)
	_, err = c.Put(t.Context(), "dc1", 1, &object.DataCentre{})
	requireAs[*LostError](t, err)
}

func TestRefusedDialIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = New("http://"+address).Put(t.Context(), "dc1", 0, &object.DataCentre{})
	requireAs[*UnsentError](t, err)
	require.Equal(t, step.ReplyUnsent, Reply(1, object.Object{}, err).Status)
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	f, c := startWithClient(t)
	f.seed("datacentre", "dc1", `{}`)
	_, err := c.Get(t.Context(), object.KindDataCentre, "dc1")
	require.NoError(t, err)
	f.stallNext.Store(true) // the next call stalls the pooled connection
	began := time.Now()
	_, err = c.Get(t.Context(), object.KindDataCentre, "dc1")
	requireAs[*LostError](t, err)
	require.GreaterOrEqual(t, time.Since(began), testCallTimeout)
	_, err = c.Get(t.Context(), object.KindDataCentre, "dc1")
	require.NoError(t, err)
}

func TestListReadsAllPages(t *testing.T) {
	f, c := startWithClient(t)
	const objects = 2*pageLimit + 7
	for i := range objects {
		f.seed("datacentre", fmt.Sprintf("dc%03d", i), `{}`)
	}
	f.seed("datacentre", "zz", `{"rampSeconds":-1}`)
	var names []string
	l, err := c.List(t.Context(), object.KindDataCentre, func(o object.Object) { names = append(names, o.Name) })
	require.NoError(t, err)
	require.Len(t, names, objects)
	require.Equal(t, object.Version(objects+1), l.Revision)
	require.Len(t, l.Refused, 1)
	require.Contains(t, l.Refused[0].Reason, "rampSeconds")
}

func TestWatchOfDroppedChangesFails(t *testing.T) {
	f, c := startWithClient(t)
	f.seed("datacentre", "dc1", `{}`)
	f.forgottenUpTo = 1
	_, err := c.Watch(t.Context(), object.WatchedKinds, 0, time.Millisecond)
	require.ErrorIs(t, err, ErrGone)
}

// recorder records the events of a follower.
type recorder struct {
	mu     sync.Mutex
	events []step.Event
}

func (r *recorder) record(e step.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *recorder) any(ok func(step.Event) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if ok(e) {
			return true
		}
	}
	return false
}

func (r *recorder) await(t *testing.T, what string, ok func(step.Event) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return r.any(ok) }, 20*time.Second, 5*time.Millisecond, what)
}

func startFollower(t *testing.T, c *Client) *recorder {
	r := &recorder{}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		NewFollower(c, FollowerSettings{WatchWait: time.Second, HostListInterval: time.Second}, 1, r.record).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func batchWith(name string, full, deleted bool) func(step.Event) bool {
	return func(e step.Event) bool {
		b, ok := e.(step.ConfigBatch)
		if !ok || b.Full != full {
			return false
		}
		for _, o := range b.Objects {
			if o.Name == name && o.Deleted() == deleted {
				return true
			}
		}
		return false
	}
}

func TestFollowerSurvivesAnOutage(t *testing.T) {
	f, c := startWithClient(t)
	f.seed("datacentre", "dc1", `{}`)
	r := startFollower(t, c)
	r.await(t, "snapshot", batchWith("dc1", true, false))
	r.await(t, "hosts", func(e step.Event) bool { h, ok := e.(step.HostList); return ok && len(h.Hosts) == 1 })
	f.seed("datacentre", "dc2", `{}`)
	r.await(t, "change", batchWith("dc2", false, false))
	f.down.Store(true)
	f.CloseClientConnections()
	r.await(t, "outage", func(e step.Event) bool { s, ok := e.(step.PlatformState); return ok && !s.Reachable })
	f.mu.Lock()
	f.put("datacentre", "dc1", nil)
	f.mu.Unlock()
	f.down.Store(false)
	r.await(t, "change made in the outage", batchWith("dc1", false, true))
}

func TestFollowerRelistsWhenChangesAreDropped(t *testing.T) {
	f, c := startWithClient(t)
	f.seed("datacentre", "dc1", `{}`)
	r := startFollower(t, c)
	r.await(t, "snapshot", batchWith("dc1", true, false))
	f.mu.Lock()
	f.put("datacentre", "dc2", []byte(`{}`))
	f.forgottenUpTo = f.revision
	f.mu.Unlock()
	r.await(t, "new snapshot", batchWith("dc2", true, false))
}

func TestBackoffIsBoundedAndJittered(t *testing.T) {
	f, g := NewFollower(nil, DefaultFollowerSettings(), 1, nil), NewFollower(nil, DefaultFollowerSettings(), 2, nil)
	for failures := 1; failures < 40; failures++ {
		a, b := f.backoff(failures), g.backoff(failures)
		require.LessOrEqual(t, max(a, b), maxBackoff)
		require.Positive(t, min(a, b))
		require.NotEqual(t, a, b)
	}
}
