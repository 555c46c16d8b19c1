package service

import (
	"maps"
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// Stats counts what happened since the start, over all incarnations.
type Stats struct {
	Incarnations int   `json:"incarnations"`
	Runs         int64 `json:"runs"`
	Whole        int64 `json:"whole"`
	Refused      int64 `json:"refused"`
	Toppled      int64 `json:"toppled"`
	PeakInFlight int   `json:"peakInFlight"`
	PeakCold     int   `json:"peakCold"`
	// RunsByKey counts the runs of each idempotency key, and AttemptsByKey names
	// the attempts that ran.
	RunsByKey     map[string]int64    `json:"runsByKey"`
	AttemptsByKey map[string][]string `json:"attemptsByKey"`
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	if i, running := s.process.Current(); running {
		s.keepPeaks(i.State)
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

// countRun records a run and returns how often the key has run.
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

func (s *Service) keepPeaks(gate *warmth.Gate) {
	state := gate.State()
	s.count(func(stats *Stats) {
		stats.PeakInFlight = max(stats.PeakInFlight, state.Peak)
		stats.PeakCold = max(stats.PeakCold, state.PeakCold)
	})
}
