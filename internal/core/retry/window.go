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
	// LearnTime is how long other daemons may take to learn of this one. Until then they may use its part of the slack.
	LearnTime time.Duration
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts int
}

const (
	// slotCount is the number of slots into which a window is divided for counting.
	slotCount = 20
	// historySlots is the number of slots whose counts are kept: those of the last window and of the one before it,
	// and one more, since a window does not begin at the boundary of a slot.
	historySlots = 2*slotCount + 1
	// beforeWeight and withinWeight are the weights of a daemon's requests before a window and in it. Their sum is the
	// factor by which all daemons together may exceed the share of the requests; users reduce the share by it.
	beforeWeight, withinWeight = 0.7, 0.55
)

// Windows are the retry budgets of services: the bound holds for each service, and the requests of one allow no
// retries at another.
type Windows struct {
	set       WindowSettings
	slack     func(service string) float64
	startedAt time.Duration
	byService map[string]*Window
}

// NewWindows returns the windows of a process that starts now; see NewWindow.
func NewWindows(now time.Duration) *Windows {
	return &Windows{startedAt: now, byService: make(map[string]*Window)}
}

// Set replaces the settings, as Window.Set does.
func (ws *Windows) Set(now time.Duration, set WindowSettings) {
	ws.SetEach(now, set, func(string) float64 { return set.Slack })
}

// SetEach replaces the settings as Set does, with a slack of its own for each service.
func (ws *Windows) SetEach(now time.Duration, set WindowSettings, slack func(service string) float64) {
	if set.Length != ws.set.Length {
		ws.startedAt = now
	}
	ws.set, ws.slack = set, slack
	for service, w := range ws.byService {
		set.Slack = slack(service)
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
		if ws.slack != nil {
			w.set.Slack = ws.slack(service)
		}
		ws.byService[service] = w
	}
	return w
}

// Window is the retry budget of one service. It counts requests and retries over the last two windows of time.
// Retries that were not used in normal operation are available when a host is lost. A token
// bucket that keeps the same bound could not save them up, because it must be as small as the
// slack. All times are monotonic.
//
// The bound for a window of time uses the requests of all daemons in that window, in the one directly before it or in
// the one half a window earlier, whichever are most, and no daemon knows which that will be. So each daemon weighs
// its own requests before a window and in it in the same way, and allows no more than the bound would be for its own
// requests. That holds for every window that contains the moment of a retry. Summed over daemons and processes it is at
// most 1.25 times the share of the largest number, wherever requests move.
type Window struct {
	set        WindowSettings
	newestSlot int64 // number of the slot that contains the latest time
	startedAt  time.Duration
	// The counts of the newest slots, by slot number modulo the arrays' length.
	requests, retries [historySlots]float64
}

// NewWindow returns the window of a process that starts now. Until the process is as old as
// the window is long and the other daemons know of it, it has no slack, because its predecessor
// or they may have used it.
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
	w.requests[w.newestSlot%historySlots]++
}

// Allow reports whether a request that has made a number of attempts may be retried now, and
// if so counts the retry.
func (w *Window) Allow(now time.Duration, attempts int) bool {
	if attempts >= w.set.MaxAttempts || w.set.Length <= 0 {
		return false
	}
	w.advance(now)
	slack := 0.0
	if now-w.startedAt >= w.set.Length+w.set.LearnTime {
		slack = w.set.Slack
	}
	// Each window that contains this moment has begun in one of these slots.
	for age := range slotCount + 1 {
		if w.retriesSince(age)+1 > w.set.Share*w.weighRequests(age)+slack {
			return false
		}
	}
	w.retries[w.newestSlot%historySlots]++
	return true
}

// retriesSince returns the retries since the beginning of the slot that is a number of slots old.
func (w *Window) retriesSince(age int) float64 {
	n := 0.0
	for i := range age + 1 {
		n += w.retries[w.index(i)]
	}
	return n
}

// weighRequests returns the number of requests that allow retries in a window that has begun in the slot that is a
// number of slots old. Slots that overlap the window only in part count where they count least.
func (w *Window) weighRequests(age int) float64 {
	before, middle, within := 0.0, 0.0, 0.0
	for i := range age + slotCount {
		n := w.requests[w.index(i)]
		switch {
		case i < age:
			within += n
		case i > age:
			before += n
		}
		if max(i-age, age-i) < slotCount/2 {
			middle += n
		}
	}
	return min(beforeWeight*before+withinWeight*(within+w.requests[w.index(age)]), max(before, middle, within))
}

// index returns where the counts of the slot are kept that is a number of slots old.
func (w *Window) index(age int) int64 {
	return (w.newestSlot - int64(age) + historySlots) % historySlots
}

// advance moves to the slot of the current time and clears the counts of the slots that it
// reuses.
func (w *Window) advance(now time.Duration) {
	slot := int64(now) * slotCount / int64(w.set.Length)
	for i := max(w.newestSlot+1, slot-historySlots+1); i <= slot; i++ {
		w.requests[i%historySlots], w.retries[i%historySlots] = 0, 0
	}
	w.newestSlot = max(w.newestSlot, slot)
}
