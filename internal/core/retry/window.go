package retry

import "time"

// WindowSettings configure a Window. They bound the retries of all daemons together in any
// window of time: to a share of the requests plus a fixed number, of which each daemon gets a
// part.
type WindowSettings struct {
	// Share is the number of retries allowed per request.
	Share float64
	// Slack is this daemon's part of the fixed number of retries that are allowed on top.
	Slack float64
	// Length is the length of the window.
	Length time.Duration
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts int
}

const (
	// slotCount is the number of slots into which a window is divided for counting.
	slotCount = 20
	// quarterSlots is the number of slots that a quarter of a window overlaps: one more than a
	// quarter of the slots, as a window does not begin at the boundary of a slot.
	quarterSlots = slotCount/4 + 1
)

// Windows are the retry budgets of services: the bound holds for each service, and the requests of one allow no
// retries at another.
type Windows struct {
	set       WindowSettings
	startedAt time.Duration
	byService map[string]*Window
}

// NewWindows returns the windows of a process that starts now; see NewWindow.
func NewWindows(now time.Duration) *Windows {
	return &Windows{startedAt: now, byService: make(map[string]*Window)}
}

// Set replaces the settings, as Window.Set does.
func (ws *Windows) Set(now time.Duration, set WindowSettings) {
	if set.Length != ws.set.Length {
		ws.startedAt = now
	}
	ws.set = set
	for _, w := range ws.byService {
		w.Set(now, set)
	}
}

// RecordRequest counts a first attempt at a service.
func (ws *Windows) RecordRequest(now time.Duration, service string) {
	ws.window(service).RecordRequest(now)
}

// Allow reports whether a request to a service that has made a number of attempts may be retried now, and if so
// counts the retry.
func (ws *Windows) Allow(now time.Duration, service string, attempts int) bool {
	return ws.window(service).Allow(now, attempts)
}

func (ws *Windows) window(service string) *Window {
	w := ws.byService[service]
	if w == nil {
		w = NewWindow(ws.startedAt)
		w.set = ws.set
		ws.byService[service] = w
	}
	return w
}

// Window is the retry budget of one service. It counts requests and retries over the last window of time.
// Retries that were not used in normal operation are available when a host is lost. A token
// bucket that keeps the same bound could not save them up, because it must be as small as the
// slack. All times are monotonic.
type Window struct {
	set        WindowSettings
	newestSlot int64 // number of the slot that contains the latest time
	startedAt  time.Duration
	// The counts of the newest slots, by slot number modulo the array's length. There is one
	// slot more than a window has, because the oldest slot overlaps the window only in part.
	requests, retries [slotCount + 1]float64
}

// NewWindow returns the window of a process that starts now. Until the process is as old as
// the window is long, it has no slack and only half of its requests count, because its
// predecessor may have used the slack and the retries of three quarters of a window's
// requests. While the request rate stays about the same, both processes together exceed the
// bound by at most a quarter.
func NewWindow(now time.Duration) *Window { return &Window{startedAt: now} }

// Set replaces the settings. The counts are kept unless Length changes; then they restart at
// zero, as for a new process.
func (w *Window) Set(now time.Duration, set WindowSettings) {
	if set.Length != w.set.Length {
		*w = Window{startedAt: now, newestSlot: int64(now) * slotCount / int64(max(set.Length, 1))}
	}
	w.set = set
}

// RecordRequest counts a first attempt.
func (w *Window) RecordRequest(now time.Duration) {
	w.advance(now)
	w.requests[w.newestSlot%(slotCount+1)]++
}

// Allow reports whether a request that has made a number of attempts may be retried now, and
// if so counts the retry.
func (w *Window) Allow(now time.Duration, attempts int) bool {
	if attempts >= w.set.MaxAttempts || w.set.Length <= 0 {
		return false
	}
	w.advance(now)
	used := 0.0
	for _, n := range w.retries {
		used += n
	}
	total, certain := w.countRequests()
	allowed := w.set.Share * total / 2
	if now-w.startedAt >= w.set.Length {
		allowed = w.set.Share*max(certain, total/2) + w.set.Slack
	}
	if used+1 > allowed {
		return false
	}
	w.retries[w.newestSlot%(slotCount+1)]++
	return true
}

// countRequests returns the number of requests in the last window, and how many of them are
// certain to count for every window that contains this moment, whatever happens later. The
// bound for a window uses the number of requests in that window, in the one directly before it
// or in the one half a window earlier, whichever is largest. For every window that contains
// this moment, that number includes at least half of the requests of the last window, and at
// least all of them except those of its first or its last quarter.
func (w *Window) countRequests() (total, certain float64) {
	first, last := 0.0, 0.0
	for i := range slotCount {
		n := w.requests[(w.newestSlot-int64(i)+slotCount+1)%(slotCount+1)]
		total += n
		if i < quarterSlots {
			last += n
		}
		if i >= slotCount-quarterSlots {
			first += n
		}
	}
	return total, total - max(first, last)
}

// advance moves to the slot of the current time and clears the counts of the slots that it
// reuses.
func (w *Window) advance(now time.Duration) {
	slot := int64(now) * slotCount / int64(w.set.Length)
	for i := max(w.newestSlot+1, slot-slotCount); i <= slot; i++ {
		w.requests[i%(slotCount+1)], w.retries[i%(slotCount+1)] = 0, 0
	}
	w.newestSlot = max(w.newestSlot, slot)
}
