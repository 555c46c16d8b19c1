// Package platform is a stub of the platform's object API and host list, for tests and
// measurements. It keeps everything in memory. One revision counter covers all objects; the
// version of an object is the revision of its last write. Faults make the platform misbehave.
package platform

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

const defaultHistory = 10_000 // number of changes in the history

type objectKey struct{ kind, name string }

// store holds the objects and the latest changes.
type store struct {
	mu              sync.Mutex
	revision        uint64
	objects         map[objectKey]platformapi.Envelope
	history         []platformapi.Envelope // oldest first; a deletion has no value
	historyLimit    int
	droppedRevision uint64        // highest revision that has left the history
	changed         chan struct{} // closed at the next change
}

func newStore(historyLimit int) *store {
	return &store{objects: make(map[objectKey]platformapi.Envelope), historyLimit: historyLimit, changed: make(chan struct{})}
}

// get returns the current envelope of an object; its version is 0 if there is no such object.
func (s *store) get(kind, name string) platformapi.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(kind, name)
}

func (s *store) current(kind, name string) platformapi.Envelope {
	if e, ok := s.objects[objectKey{kind, name}]; ok {
		return e
	}
	return platformapi.Envelope{Kind: kind, Name: name}
}

// put writes the value if ifVersion is the object's current version (0: no such object). It
// returns the current envelope afterwards and whether the write was done.
func (s *store) put(kind, name string, ifVersion uint64, value json.RawMessage) (platformapi.Envelope, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current(kind, name)
	if current.Version != ifVersion {
		return current, false
	}
	next := platformapi.Envelope{Kind: kind, Name: name, Version: s.revision + 1, Value: value}
	s.objects[objectKey{kind, name}] = next
	s.record(next)
	return next, true
}

// remove deletes the object if ifVersion is its current version.
func (s *store) remove(kind, name string, ifVersion uint64) (platformapi.Envelope, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current(kind, name)
	if current.Version != ifVersion || ifVersion == 0 {
		return current, false
	}
	tombstone := platformapi.Envelope{Kind: kind, Name: name, Version: s.revision + 1}
	delete(s.objects, objectKey{kind, name})
	s.record(tombstone)
	return tombstone, true
}

// record adds a change to the history and wakes the watches.
func (s *store) record(e platformapi.Envelope) {
	s.revision = e.Version
	s.history = append(s.history, e)
	if excess := len(s.history) - s.historyLimit; excess > 0 {
		s.droppedRevision = s.history[excess-1].Version
		s.history = slices.Delete(s.history, 0, excess)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns up to limit objects of a kind, by name, whose names follow the given one.
func (s *store) list(kind, after string, limit int) platformapi.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platformapi.Page{Revision: s.revision, Items: []platformapi.Envelope{}}
	for key, e := range s.objects {
		if key.kind == kind && key.name > after {
			page.Items = append(page.Items, e)
		}
	}
	slices.SortFunc(page.Items, byName)
	if len(page.Items) > limit {
		page.Items = page.Items[:limit]
		page.Next = page.Items[limit-1].Name
	}
	return page
}

func byName(a, b platformapi.Envelope) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

// since returns the changes of the kinds after a revision. kept is false if the history no
// longer holds all of them, or if the revision is in the future.
func (s *store) since(kinds []string, from uint64) (batch platformapi.WatchBatch, changed <-chan struct{}, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.droppedRevision || from > s.revision {
		return platformapi.WatchBatch{}, nil, false
	}
	batch = platformapi.WatchBatch{Revision: s.revision, Changes: []platformapi.Envelope{}}
	for _, e := range s.history {
		if e.Version > from && slices.Contains(kinds, e.Kind) {
			batch.Changes = append(batch.Changes, e)
		}
	}
	return batch, s.changed, true
}

// watch waits until one of the kinds has a change after a revision, or the context ends. It
// returns false if the history does not hold the changes.
func (s *store) watch(ctx context.Context, kinds []string, from uint64) (platformapi.WatchBatch, bool) {
	for {
		batch, changed, kept := s.since(kinds, from)
		if !kept || len(batch.Changes) > 0 {
			return batch, kept
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, true
		}
	}
}
