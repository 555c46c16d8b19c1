package engine

import "maps"

// Stats counts what happened since the start, over all incarnations.
type Stats struct {
	Incarnations int   `json:"incarnations"`
	Runs         int64 `json:"runs"`
	Whole        int64 `json:"whole"`  // answers given in full
	Tokens       int64 `json:"tokens"` // generated
	Cancels      int64 `json:"cancels"`
	Disconnects  int64 `json:"disconnects"` // callers that left before the end
	Refused      int64 `json:"refused"`     // before running
	Toppled      int64 `json:"toppled"`
	Poisoned     int64 `json:"poisoned"`
	PeakInFlight int   `json:"peakInFlight"`
	PeakCold     int   `json:"peakCold"`
	PrefixHits   int64 `json:"prefixHits"`
	PrefixMisses int64 `json:"prefixMisses"`
	Loads        int64 `json:"loads"`
	Retired      int64 `json:"retired"`

	OrdersTaken        int64 `json:"ordersTaken"`
	OrdersRefused      int64 `json:"ordersRefused"`
	StaleOrdersTaken   int64 `json:"staleOrdersTaken"`
	JoinedWhileInGroup int64 `json:"joinedWhileInGroup"`

	// BrokenGroupRequests counts requests that arrived while a member was known
	// to be missing; BrokenAgeMillis is the longest such lack at an arrival.
	BrokenGroupRequests int64 `json:"brokenGroupRequests"`
	BrokenAgeMillis     int64 `json:"brokenAgeMillis"`
	// BrokenInFlight counts requests that lost a member while they ran.
	BrokenInFlight int64 `json:"brokenInFlight"`

	RunsByAttempt map[string]int64 `json:"runsByAttempt"`
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	if i, running := e.process.Current(); running {
		e.keepPeaks(i.State)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Incarnations = e.process.Serial()
	stats.RunsByAttempt = maps.Clone(e.stats.RunsByAttempt)
	return stats
}

func (e *Engine) count(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

func (e *Engine) keepPeaks(s *state) {
	gate := s.gate.State()
	e.count(func(stats *Stats) {
		stats.PeakInFlight = max(stats.PeakInFlight, gate.Peak)
		stats.PeakCold = max(stats.PeakCold, gate.PeakCold)
	})
}
