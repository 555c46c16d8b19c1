package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	// Path is where changes are asked for.
	Path = "/changes/hosts"
	// paramAfter is the revision that the asking daemon has, paramWait the milliseconds for
	// which it waits for a change.
	paramAfter = "after"
	paramWait  = "waitMs"

	// keepFor is how long changes are kept for daemons that ask late: longer than any of
	// them waits between two questions.
	keepFor = 10 * time.Second
	// wantedFor is how long after a question this daemon watches the store for others.
	wantedFor = 10 * time.Second
)

var (
	// errDeaf is the answer of a daemon that has not heard the store lately, or does not
	// watch it, errGone that of one that does not know the changes asked for.
	errDeaf = errors.New("this daemon does not hear the store now: ask the store")
	errGone = errors.New("this daemon does not keep changes so old: ask the store")

	passedOn = metrics.GetOrCreateCounter(`rhubarbswitch_relay_answers_total{result="changes"}`)
	refused  = metrics.GetOrCreateCounter(`rhubarbswitch_relay_answers_total{result="refused"}`)
)

// Changes are what happened after a revision, in order. The changes themselves are those of
// the platform's protocol, which this package does not read.
type Changes struct {
	At      uint64            `json:"at"`
	Batches []json.RawMessage `json:"batches"`
}

// Feed keeps the changes of hosts that this daemon has heard last from the store, for
// others. It is safe for concurrent use.
type Feed struct {
	clock func() time.Duration
	fresh time.Duration

	mu sync.Mutex
	// live tells that this daemon watches the store itself: it knows all changes after the
	// revision since up to at, as of heardAt.
	live      bool
	since, at uint64
	heardAt   time.Duration
	batches   []batch
	changed   chan struct{} // closed at the next change
	asked     bool
	askedAt   time.Duration
}

type batch struct {
	at     uint64
	heard  time.Duration
	events json.RawMessage
}

// NewFeed returns the feed of a daemon that has heard nothing. What the store said longer
// ago than fresh is not passed on. The clock counts also while the machine is suspended.
func NewFeed(clock func() time.Duration, fresh time.Duration) *Feed {
	return &Feed{clock: clock, fresh: fresh, changed: make(chan struct{})}
}

// Restart begins to pass on changes after a revision that was just heard.
func (f *Feed) Restart(at uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live, f.since, f.at, f.heardAt, f.batches = true, at, at, f.clock(), nil
	f.wake()
}

// Add passes on changes up to a revision; events may be empty.
func (f *Feed) Add(at uint64, events json.RawMessage, some bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.at, f.heardAt = max(f.at, at), now
	if !some {
		return
	}
	f.batches = append(f.batches, batch{at: at, heard: now, events: events})
	for now-f.batches[0].heard > keepFor {
		f.since = f.batches[0].at
		f.batches = f.batches[1:]
	}
	f.wake()
}

// Stop ends passing on: this daemon does not watch the store any more.
func (f *Feed) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live, f.batches = false, nil
	f.wake()
}

// Live reports whether changes are passed on.
func (f *Feed) Live() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live
}

// Wanted reports whether others have asked lately.
func (f *Feed) Wanted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked && f.clock()-f.askedAt < wantedFor
}

// wake lets those that wait look again; mu is held.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Wait returns the changes after a revision, and waits for the first one. If none comes in
// time there are none. It fails as soon as the store has not been heard for too long.
func (f *Feed) Wait(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	until := f.clock() + wait
	for {
		c, changed, left, err := f.look(after)
		now := f.clock()
		if err != nil || len(c.Batches) > 0 || now >= until {
			return c, err
		}
		timer := time.NewTimer(min(until-now, left))
		select {
		case <-ctx.Done():
			timer.Stop()
			return Changes{}, ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// look returns the changes after a revision, a channel that is closed at the next one, and
// the time for which the feed is fresh.
func (f *Feed) look(after uint64) (Changes, <-chan struct{}, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.asked, f.askedAt = true, now
	c := Changes{At: max(f.at, after)}
	switch {
	case !f.live || now-f.heardAt > f.fresh:
		return c, nil, 0, errDeaf
	case after < f.since:
		return c, nil, 0, errGone
	}
	for _, b := range f.batches {
		if b.at > after {
			c.Batches = append(c.Batches, b.events)
		}
	}
	return c, f.changed, f.heardAt + f.fresh - now + time.Millisecond, nil
}

// Query is the question for changes after a revision, with the time to wait for one.
func Query(after uint64, wait time.Duration) url.Values {
	return url.Values{
		paramAfter: {strconv.FormatUint(after, 10)},
		paramWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

// ServeHTTP answers another daemon.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue(paramAfter), 10, 64)
	wait, errWait := strconv.ParseUint(r.FormValue(paramWait), 10, 31)
	if err = errors.Join(err, errWait); err != nil {
		http.Error(w, "give "+paramAfter+" and "+paramWait+" as whole numbers: "+err.Error(), http.StatusBadRequest)
		return
	}
	c, err := f.Wait(r.Context(), after, time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, errGone):
		refused.Inc()
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		refused.Inc()
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	passedOn.Inc()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c) // the other daemon asks again if it is gone
}
