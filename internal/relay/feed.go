package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	// PathPrefix is the HTTP path of queries for changes, without the name of the feed.
	PathPrefix = "/changes/"
	// eraParam is the store's era that the querying daemon knows; 0 if it is missing. afterParam
	// is the revision of that era up to which it has the changes. waitParam is how long the
	// answer may wait for a change, in milliseconds.
	eraParam   = "era"
	afterParam = "after"
	waitParam  = "waitMs"

	// changeRetention is how long changes are kept at least. It is longer than any daemon
	// waits between two queries. A daemon that queries an older revision gets errTooOld and
	// continues with the store.
	changeRetention = 10 * time.Second
	// maxRetainedBytes bounds the changes that a feed keeps.
	maxRetainedBytes = 4 << 20
	// queryWindow is how long after a query this daemon keeps watching the store for others.
	queryWindow = 10 * time.Second
)

var (
	// errStale is the answer of a daemon that does not watch the store, or whose last answer
	// from it is older than maxAge. errTooOld is the answer of a daemon that no longer has the
	// changes after the revision, and errOtherEra of one that has changes of another era of the
	// store. The texts are sent to the querying daemon.
	errStale    = errors.New("this daemon does not hear the store now: ask the store")
	errTooOld   = errors.New("this daemon does not keep changes so old: ask the store")
	errOtherEra = errors.New("this daemon has changes of another era of the store: ask the store")

	relayedAnswers = metrics.GetOrCreateCounter(`rhubarbswitch_relay_answers_total{result="changes"}`)
	refusedAnswers = metrics.GetOrCreateCounter(`rhubarbswitch_relay_answers_total{result="refused"}`)
)

// The members of Changes in an answer.
const (
	RevisionMember = "at"
	BatchesMember  = "batches"
)

// Changes are the changes after a revision, in order. Each batch is a list of events in the
// platform's format, which this package does not decode.
type Changes struct {
	Revision uint64            `json:"at"` // up to which the changes are complete
	Batches  []json.RawMessage `json:"batches"`
}

// Feed keeps the latest changes of one kind of object that this daemon has received from the
// store, and serves them to other daemons. It is safe for concurrent use.
type Feed struct {
	clock  func() time.Duration
	maxAge time.Duration
	// primary is the feed whose answers of the store show that this daemon hears the store; the
	// feed itself unless it is a companion.
	primary *Feed

	mu sync.Mutex
	// watching is set while this daemon watches the store itself. Then batches has all changes
	// of an era after oldestRevision up to revision, as of lastAnswerAt.
	watching                 bool
	era                      uint64
	oldestRevision, revision uint64
	lastAnswerAt             time.Duration
	batches                  []batch
	changed                  chan struct{} // closed, and replaced, at the next change
	queried                  bool
	lastQueryAt              time.Duration

	encoded encodedAnswer
}

// batch is the content of one answer of the store.
type batch struct {
	revision   uint64
	receivedAt time.Duration
	events     json.RawMessage
}

// NewFeed returns the feed of a daemon that does not watch the store yet. Changes are relayed
// only while the store's last answer is not older than maxAge. The clock must also advance
// while the machine is suspended.
func NewFeed(clock func() time.Duration, maxAge time.Duration) *Feed {
	f := &Feed{clock: clock, maxAge: maxAge, changed: make(chan struct{})}
	f.primary = f
	return f
}

// NewCompanion returns the feed of a kind that rarely changes. Its watch waits for a change
// much longer than maxAge, so that the age of its own last answer says nothing. It is up to
// date as long as the primary feed is, because a watch that an outage may have cut off from the
// store is sent again.
func (f *Feed) NewCompanion() *Feed {
	return &Feed{clock: f.clock, maxAge: f.maxAge, changed: make(chan struct{}), primary: f}
}

// heardStoreAt returns when the store last answered the watch of this feed.
func (f *Feed) heardStoreAt() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAnswerAt
}

// Restart starts relaying the changes after a revision of an era that the store has just
// reported.
func (f *Feed) Restart(era, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era = era
	f.watching, f.oldestRevision, f.revision, f.lastAnswerAt, f.batches = true, revision, revision, f.clock(), nil
	f.wakeWaiters()
}

// Add adds the changes up to a revision. Without changes (nonEmpty unset) it only records that
// the store has answered. Events that are no JSON can't be relayed.
func (f *Feed) Add(revision uint64, events json.RawMessage, nonEmpty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.revision, f.lastAnswerAt = max(f.revision, revision), now
	if !nonEmpty {
		return
	}
	if !json.Valid(events) {
		// One such batch would fail every answer that has it. Daemons without it go to the store.
		f.oldestRevision, f.batches = f.revision, nil
		f.wakeWaiters()
		return
	}
	f.batches = append(f.batches, batch{revision: revision, receivedAt: now, events: events})
	size := 0
	for _, b := range f.batches {
		size += len(b.events)
	}
	for len(f.batches) > 0 && (now-f.batches[0].receivedAt > changeRetention || size > maxRetainedBytes) {
		size -= len(f.batches[0].events)
		f.oldestRevision = f.batches[0].revision
		f.batches = f.batches[1:]
	}
	f.wakeWaiters()
}

// Stop stops relaying: this daemon no longer watches the store.
func (f *Feed) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching, f.batches = false, nil
	f.wakeWaiters()
}

// Watching reports whether this daemon watches the store and relays its changes.
func (f *Feed) Watching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching
}

// RecentlyQueried reports whether another daemon has sent a query within queryWindow.
func (f *Feed) RecentlyQueried() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queried && f.clock()-f.lastQueryAt < queryWindow
}

// wakeWaiters lets pending queries check for changes again. The caller holds mu.
func (f *Feed) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Wait returns the changes after a revision of an era. If there are none, it waits for the
// first one, at most for wait, and then returns none. It fails as soon as the store's last
// answer becomes older than maxAge.
func (f *Feed) Wait(ctx context.Context, era, after uint64, wait time.Duration) (Changes, error) {
	until := f.clock() + wait
	for {
		c, changed, left, err := f.changesAfter(era, after)
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

// changesAfter returns the changes after a revision of an era, a channel that is closed at the
// next change, and how long the feed stays up to date without another answer of the store.
func (f *Feed) changesAfter(era, after uint64) (Changes, <-chan struct{}, time.Duration, error) {
	heardAt := f.primary.heardStoreAt()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.queried, f.lastQueryAt = true, now
	c := Changes{Revision: max(f.revision, after)}
	switch {
	case !f.watching || now-heardAt > f.maxAge:
		return c, nil, 0, errStale
	case era != f.era:
		return c, nil, 0, errOtherEra
	case after < f.oldestRevision:
		return c, nil, 0, errTooOld
	}
	for _, b := range f.batches {
		if b.revision > after {
			c.Batches = append(c.Batches, b.events)
		}
	}
	return c, f.changed, heardAt + f.maxAge - now + time.Millisecond, nil
}

// Query returns the URL query for the changes after a revision of an era, which may wait for
// one.
func Query(era, after uint64, wait time.Duration) url.Values {
	return url.Values{
		eraParam:   {strconv.FormatUint(era, 10)},
		afterParam: {strconv.FormatUint(after, 10)},
		waitParam:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

// ServeHTTP answers a query of another daemon.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	era, errEra := strconv.ParseUint(cmp.Or(r.FormValue(eraParam), "0"), 10, 64)
	after, err := strconv.ParseUint(r.FormValue(afterParam), 10, 64)
	wait, errWait := strconv.ParseUint(r.FormValue(waitParam), 10, 31)
	if err = errors.Join(err, errWait, errEra); err != nil {
		http.Error(w, "give "+eraParam+", "+afterParam+" and "+waitParam+" as whole numbers: "+err.Error(), http.StatusBadRequest)
		return
	}
	c, err := f.Wait(r.Context(), era, after, time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, errTooOld), errors.Is(err, errOtherEra):
		refusedAnswers.Inc()
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		refusedAnswers.Inc()
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	relayedAnswers.Inc()
	w.Header().Set("Content-Type", "application/json")
	body, err := f.encoded.get(answerID{era: era, after: after, revision: c.Revision, batches: len(c.Batches)}, c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") && body.gzipped != nil {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(body.gzipped) // on an error the other daemon queries again
		return
	}
	_, _ = w.Write(body.plain)
}
