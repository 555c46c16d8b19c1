package retry

import "time"

// WindowSettings bound what daemons send again, over all of them, in any window: a share of
// the requests, and a number beside it.
type WindowSettings struct {
	// Share is that of the requests, Slack this daemon's part of the number.
	Share float64
	Slack float64
	// Length is that of the window.
	Length time.Duration
	// Attempts bounds the attempts of one request.
	Attempts int
}

const (
	// slots is the number of slots in which a window is counted, quarter that of those in which
	// a fourth of it lies: one more, as it does not begin with a slot.
	slots   = 20
	quarter = slots/4 + 1
)

// Window counts requests and retries over the last window. What was not used in calm times is
// there when a host is lost, unlike with a bucket of tokens, which must be as small as the
// slack to bound the same. Times are monotonic.
type Window struct {
	set   WindowSettings
	slot  int64 // the newest
	began time.Duration
	// The counts of the newest slots, by number modulo the length: one more than a window
	// has, as the oldest lies in it only in part.
	requests, retries [slots + 1]float64
}

// NewWindow returns the window of a process that starts now. Until it is as old as the window
// is long it has no slack and counts half of its requests: the process before it may have used
// the slack, and three quarters of the requests of a window. While their number stays about the
// same, both together are a quarter above the bound at most.
func NewWindow(now time.Duration) *Window { return &Window{began: now} }

// Set replaces the settings. Counts are kept unless the length changes.
func (w *Window) Set(now time.Duration, set WindowSettings) {
	if set.Length != w.set.Length {
		*w = Window{began: now, slot: int64(now) * slots / int64(max(set.Length, 1))}
	}
	w.set = set
}

// Started notes a first attempt.
func (w *Window) Started(now time.Duration) {
	w.advance(now)
	w.requests[w.slot%(slots+1)]++
}

// Allow spends one retry if the window and the number of attempts made allow it.
func (w *Window) Allow(now time.Duration, attempts int) bool {
	if attempts >= w.set.Attempts || w.set.Length <= 0 {
		return false
	}
	w.advance(now)
	used := 0.0
	for _, n := range w.retries {
		used += n
	}
	all, sure := w.counted()
	allowed := w.set.Share * all / 2
	if now-w.began >= w.set.Length {
		allowed = w.set.Share*max(sure, all/2) + w.set.Slack
	}
	if used+1 > allowed {
		return false
	}
	w.retries[w.slot%(slots+1)]++
	return true
}

// counted returns the requests of the last window, and how many of them count for every window
// that holds this moment, whatever comes after it. The bound takes the requests of a window, of
// the one before it or of the one half a window before it, whichever are most: these hold half
// of all at least, and all but those of the first or of the last quarter.
func (w *Window) counted() (all, sure float64) {
	first, last := 0.0, 0.0
	for i := range slots {
		n := w.requests[(w.slot-int64(i)+slots+1)%(slots+1)]
		all += n
		if i < quarter {
			last += n
		}
		if i >= slots-quarter {
			first += n
		}
	}
	return all, all - max(first, last)
}

// advance empties the slots that have passed.
func (w *Window) advance(now time.Duration) {
	slot := int64(now) * slots / int64(w.set.Length)
	for i := max(w.slot+1, slot-slots); i <= slot; i++ {
		w.requests[i%(slots+1)], w.retries[i%(slots+1)] = 0, 0
	}
	w.slot = max(w.slot, slot)
}
