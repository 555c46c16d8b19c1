package site

import (
	"net/http"
	"strconv"
	"time"
)

// Restore replaces the store's contents by those of some time ago and begins the next era.
// What daemons have written since is lost. What operators and servers have written since is
// returned, the last write of each object, to be given to Rewrite.
func (s *Store) Restore(age time.Duration) []LostWrite {
	cutoff := time.Now().Add(-age)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.history) && !s.history[kept].at.After(cutoff) {
		kept++
	}
	lost := lastForeignWrites(s.history[kept:])
	history := s.history[:kept:kept]
	s.objects, s.history, s.rev = make(map[string]map[string]Object), history, 1
	for _, c := range history {
		s.rev = c.Object.Meta.Rev
		if s.objects[c.kind] == nil {
			s.objects[c.kind] = make(map[string]Object)
		}
		if c.Deleted {
			delete(s.objects[c.kind], c.Object.Meta.Name)
		} else {
			s.objects[c.kind][c.Object.Meta.Name] = c.Object
		}
	}
	s.historyStart = min(s.historyStart, s.rev)
	s.era++
	s.notifyWatches()
	return lost
}

// LostWrite is a write of an operator or a server that the store has lost.
type LostWrite struct {
	change change
}

// lastForeignWrites returns the last write of each object that is not a daemon's, in order.
func lastForeignWrites(changes []change) []LostWrite {
	var lost []LostWrite
	seen := make(map[[2]string]bool)
	for i := len(changes) - 1; i >= 0; i-- {
		c := changes[i]
		if key := [2]string{c.kind, c.Object.Meta.Name}; c.foreign && !seen[key] {
			seen[key] = true
			lost = append([]LostWrite{{change: c}}, lost...)
		}
	}
	return lost
}

// Rewrite makes a lost write again, unless its author has written the object since.
func (s *Store) Rewrite(w LostWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := w.change.Object.Meta.Name
	for i := len(s.history) - 1; i >= 0; i-- {
		if c := s.history[i]; c.foreign && c.kind == w.change.kind && c.Object.Meta.Name == name && c.at.After(w.change.at) {
			return
		}
	}
	if w.change.Deleted {
		s.remove(w.change.kind, name, true)
		return
	}
	s.put(w.change.kind, Object{Meta: Meta{Name: name}, Spec: w.change.Object.Spec, raw: w.change.Object.raw}, true)
}

// setEra sets the era of an answer. The caller holds mu, so that the answer's contents are of
// that era.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}
