package service

import (
	"maps"
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// Stats are counts since the start, over all incarnations.
type Stats struct {
	Incarnations    int   `json:"incarnations"`
	Runs            int64 `json:"runs"`
	Completed       int64 `json:"whole"`        // complete answers
	Refused         int64 `json:"refused"`      // calls answered without running them
	OverloadCrashes int64 `json:"toppled"`      // crashes by overload while cold
	PeakInFlight    int   `json:"peakInFlight"` // maximum of requests in flight
	PeakCold        int   `json:"peakCold"`     // the same while cold
	// RunsByKey is the number of runs of each idempotency key, and AttemptsByKey the IDs of
	// the attempts that ran.
	RunsByKey     map[string]int64    `json:"runsByKey"`
	AttemptsByKey map[string][]string `json:"attemptsByKey"`
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	if i, running := s.process.Current(); running {
		s.recordPeaks(i.State)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Incarnations = s.process.Incarnations()
	stats.RunsByKey = maps.Clone(s.stats.RunsByKey)
	stats.AttemptsByKey = make(map[string][]string, len(s.stats.AttemptsByKey))
	for key, attempts := range s.stats.AttemptsByKey {
		stats.AttemptsByKey[key] = slices.Clone(attempts)
	}
	return stats
}

func (s *Service) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// countRun records a run and returns the number of runs of its key so far; 0 without a key.
func (s *Service) countRun(key, attempt string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Runs++
	if key == "" {
		return 0
	}
	s.stats.RunsByKey[key]++
	s.stats.AttemptsByKey[key] = append(s.stats.AttemptsByKey[key], attempt)
	return s.stats.RunsByKey[key]
}

func (s *Service) recordPeaks(gate *warmth.Gate) {
	state := gate.State()
	s.count(func(stats *Stats) {
		stats.PeakInFlight = max(stats.PeakInFlight, state.Peak)
		stats.PeakCold = max(stats.PeakCold, state.PeakCold)
	})
}
