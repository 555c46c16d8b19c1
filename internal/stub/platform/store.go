// Package platform is a small stand-in for the platform's object API and host
// list. It keeps everything in memory and can be told to misbehave.
package platform

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

const defaultHistory = 10_000 // changes kept for watches

type objectKey struct{ kind, name string }

// store holds the objects, the revision and the kept history of changes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[objectKey]platformapi.Envelope
	history  []platformapi.Envelope
	keep     int
	dropped  uint64        // highest revision that history no longer holds
	changed  chan struct{} // closed at the next change
}

func newStore(keep int) *store {
	return &store{objects: make(map[objectKey]platformapi.Envelope), keep: keep, changed: make(chan struct{})}
}

// get returns the standing envelope; its version is zero when the object is absent.
func (s *store) get(kind, name string) platformapi.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standing(kind, name)
}

func (s *store) standing(kind, name string) platformapi.Envelope {
	if e, ok := s.objects[objectKey{kind, name}]; ok {
		return e
	}
	return platformapi.Envelope{Kind: kind, Name: name}
}

// put writes the value if ifVersion stands. It returns the envelope that stands
// afterwards and whether the write took effect.
func (s *store) put(kind, name string, ifVersion uint64, value json.RawMessage) (platformapi.Envelope, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := s.standing(kind, name)
	if standing.Version != ifVersion {
		return standing, false
	}
	next := platformapi.Envelope{Kind: kind, Name: name, Version: s.revision + 1, Value: value}
	s.objects[objectKey{kind, name}] = next
	s.record(next)
	return next, true
}

// remove deletes the object if ifVersion stands.
func (s *store) remove(kind, name string, ifVersion uint64) (platformapi.Envelope, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := s.standing(kind, name)
	if standing.Version != ifVersion || ifVersion == 0 {
		return standing, false
	}
	gone := platformapi.Envelope{Kind: kind, Name: name, Version: s.revision + 1}
	delete(s.objects, objectKey{kind, name})
	s.record(gone)
	return gone, true
}

func (s *store) record(e platformapi.Envelope) {
	s.revision = e.Version
	s.history = append(s.history, e)
	if excess := len(s.history) - s.keep; excess > 0 {
		s.dropped = s.history[excess-1].Version
		s.history = slices.Delete(s.history, 0, excess)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns up to limit objects of a kind whose names come after the given one.
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

// since returns the changes of the kinds after a revision. kept is false when the
// history does not reach back to it.
func (s *store) since(kinds []string, from uint64) (batch platformapi.WatchBatch, changed <-chan struct{}, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.dropped || from > s.revision {
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

// watch waits until the kinds change after a revision or the context ends.
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
