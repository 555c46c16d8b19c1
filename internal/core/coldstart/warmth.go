package coldstart

// Limits are the numbers of requests in flight that a target can take, over all daemons.
type Limits struct {
	Cold int // while it is cold
	Warm int // once it is warm
	// AnswersToWarm is the number of complete answers after which a cold target is warm.
	AnswersToWarm int
}

// Warmth follows one target. The zero value is cold and knows no incarnation.
type Warmth struct {
	identity        uint64 // of the incarnations and the generation that the counts are for
	baseCount       int64  // the target's own count of answers when it became cold
	reportedAnswers int64  // answers since then, as reported by the target
	ownAnswers      int64  // answers since then that this daemon received
}

// Identify sets which incarnations serve now and the target's own count of answers. A new
// identity makes the target cold, and so does a count below the one at which it became cold.
// Identify reports whether the target became cold.
func (w *Warmth) Identify(identity uint64, answered int64) bool {
	if identity != w.identity || answered < w.baseCount {
		w.Reset(identity, answered)
		return true
	}
	w.reportedAnswers = max(w.reportedAnswers, answered-w.baseCount)
	return false
}

// Reset makes the target cold.
func (w *Warmth) Reset(identity uint64, answered int64) {
	w.identity, w.baseCount = identity, answered
	w.reportedAnswers, w.ownAnswers = 0, 0
}

// CountAnswer counts a complete answer that this daemon received.
func (w *Warmth) CountAnswer() { w.ownAnswers++ }

// Limit returns the limit over all daemons that the target has reached by its answers, and
// whether it is the warm one. Nothing is configured about what a target can take between cold
// and warm, so it keeps the cold limit until it has given enough answers.
func (w *Warmth) Limit(l Limits) (limit int, warm bool) {
	if max(w.reportedAnswers, w.ownAnswers) >= int64(l.AnswersToWarm) || l.Cold >= l.Warm {
		return l.Warm, true
	}
	return l.Cold, false
}
