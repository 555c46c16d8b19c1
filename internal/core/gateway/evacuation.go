package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

// evacuationRetention is how long after the store came back from an older copy an evacuation
// that is missing from it still counts. Operators write again what was lost.
const evacuationRetention = 10 * time.Second

// onEvacuated applies the data centres that must get no work. A list of a store that has just
// come back from an older copy may lack some.
func (s *State) onEvacuated(now time.Duration, e step.SiteEvacuated, out *step.Out) {
	next := make(map[string]bool, len(e.DataCentres))
	for _, name := range e.DataCentres {
		next[name] = true
		delete(s.retainedEvacuations, name)
	}
	if until := s.storeBackAt + evacuationRetention; e.Full && s.storeRestored && now < until {
		for name := range s.evacuated {
			if !next[name] {
				s.retainedEvacuations[name] = until
			}
		}
	}
	s.evacuatedInStore = next
	s.updateEvacuated(now, out)
}

func (s *State) expireRetainedEvacuations(now time.Duration, out *step.Out) {
	expired := false
	for name, until := range s.retainedEvacuations {
		if now >= until {
			delete(s.retainedEvacuations, name)
			expired = true
		}
	}
	if expired {
		s.updateEvacuated(now, out)
	}
}

func (s *State) updateEvacuated(now time.Duration, out *step.Out) {
	next := maps.Clone(s.evacuatedInStore)
	for name := range s.retainedEvacuations {
		next[name] = true
	}
	if maps.Equal(next, s.evacuated) {
		return
	}
	out.Log(event.DataCentresOut, event.F("dataCentres", slices.Sorted(maps.Keys(next))), event.F("retained", len(s.retainedEvacuations)))
	s.evacuated = next
	s.updateParts(now)
}
