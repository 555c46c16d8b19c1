package engine

import "maps"

// Stats are counts since the start, over all incarnations.
type Stats struct {
	Incarnations    int   `json:"incarnations"`
	Runs            int64 `json:"runs"`
	Completed       int64 `json:"whole"`  // complete answers
	Tokens          int64 `json:"tokens"` // generated tokens
	Cancels         int64 `json:"cancels"`
	Disconnects     int64 `json:"disconnects"`  // runs whose caller disconnected before the end
	Refused         int64 `json:"refused"`      // requests answered without running them
	OverloadCrashes int64 `json:"toppled"`      // crashes by overload while cold
	Poisoned        int64 `json:"poisoned"`     // runs of prompts with the crash marker
	PeakInFlight    int   `json:"peakInFlight"` // maximum of requests in flight
	PeakCold        int   `json:"peakCold"`     // the same while cold
	PrefixHits      int64 `json:"prefixHits"`
	PrefixMisses    int64 `json:"prefixMisses"`
	Loads           int64 `json:"loads"`   // loads of weights
	Retired         int64 `json:"retired"` // retire orders

	// StaleOrdersAccepted counts accepted orders with an older fencing token than an earlier
	// accepted order. JoinedWhileInGroup counts join orders accepted while in another group.
	OrdersAccepted      int64 `json:"ordersTaken"`
	OrdersRefused       int64 `json:"ordersRefused"`
	StaleOrdersAccepted int64 `json:"staleOrdersTaken"`
	JoinedWhileInGroup  int64 `json:"joinedWhileInGroup"`

	// BrokenGroupRequests counts requests that arrived while the engine knew that a member was
	// missing. BrokenAgeMillis is the longest time for which one had been missing then.
	BrokenGroupRequests int64 `json:"brokenGroupRequests"`
	BrokenAgeMillis     int64 `json:"brokenAgeMillis"`
	// BrokenInFlight counts requests whose group lost a member while they ran.
	BrokenInFlight int64 `json:"brokenInFlight"`

	RunsByAttempt map[string]int64 `json:"runsByAttempt"`
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	if i, running := e.process.Current(); running {
		e.recordPeaks(i.State)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Incarnations = e.process.Incarnations()
	stats.RunsByAttempt = maps.Clone(e.stats.RunsByAttempt)
	return stats
}

func (e *Engine) count(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

func (e *Engine) recordPeaks(s *state) {
	gate := s.gate.State()
	e.count(func(stats *Stats) {
		stats.PeakInFlight = max(stats.PeakInFlight, gate.Peak)
		stats.PeakCold = max(stats.PeakCold, gate.PeakCold)
	})
}
