package coldstart

// Limits are what a target bears, in requests in flight over all daemons.
type Limits struct {
	Cold int // just started
	Warm int // after After whole answers
	// After is the number of whole answers that make a cold target warm.
	After int
}

// Warmth follows one target. The zero value is cold and has seen no incarnation.
type Warmth struct {
	identity uint64 // of the incarnations and the generation that the answers belong to
	base     int64  // the target's count of answers when it was taken as cold
	reported int64  // answers that the target reported since
	own      int64  // answers that this daemon got since
}

// Identify takes up which incarnations serve now and the target's own count of
// answers. New ones make the target cold; so does a count that fell. It reports
// whether the target went cold.
func (w *Warmth) Identify(identity uint64, answered int64) bool {
	if identity != w.identity || answered < w.base {
		w.Reset(identity, answered)
		return true
	}
	w.reported = max(w.reported, answered-w.base)
	return false
}

// Reset makes the target cold.
func (w *Warmth) Reset(identity uint64, answered int64) {
	w.identity, w.base = identity, answered
	w.reported, w.own = 0, 0
}

// Answered counts a whole answer that this daemon got.
func (w *Warmth) Answered() { w.own++ }

// Limit returns the limit over all daemons that the answered work has earned, and
// whether it is the warm one. Nothing is declared of what a target bears between
// cold and warm, so that it stays at the cold limit until it has answered enough.
func (w *Warmth) Limit(l Limits) (limit int, warm bool) {
	if max(w.reported, w.own) >= int64(l.After) || l.Cold >= l.Warm {
		return l.Warm, true
	}
	return l.Cold, false
}
