// Package conf holds the configuration in force and the assignment of hosts to
// groups: every watched object at its newest known version.
//
// The table covers the platform's history up to the applied revision: it knows the
// newest state at that revision of every watched object. The applied revision only
// rises. Batches come from the platform's watch and deltas from peers; both may
// repeat, arrive in any order or be lost.
package conf

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// MaxTombstones bounds the deletions that are remembered for peers' deltas.
const MaxTombstones = 1024

// Table is the configuration in force. The zero value is not usable; see New.
// Values handed out are shared and must not be changed.
type Table struct {
	applied object.Version
	newest  object.Version
	// floor is the revision from which deltas can be told: deletions at or below it may be forgotten.
	floor   object.Version
	bound   int // on tombs
	entries map[key]object.Object
	// tombs are the deletions above floor, by rising version.
	tombs []object.Object
	dead  map[key]object.Version
	// names are the live objects' names by kind, sorted.
	names map[object.Kind][]string
	// owners are the contracts' names by key hash, sorted.
	owners map[string][]string
}

type key struct {
	kind object.Kind
	name string
}

func keyOf(o object.Object) key { return key{o.Kind, o.Name} }

// New returns an empty table at revision 0.
func New() *Table {
	return &Table{
		bound:   MaxTombstones,
		entries: make(map[key]object.Object),
		dead:    make(map[key]object.Version),
		names:   make(map[object.Kind][]string),
		owners:  make(map[string][]string),
	}
}

// Applied returns the revision up to which every watched object is known. It never falls.
func (t *Table) Applied() object.Version { return t.applied }

// Newest returns the highest version of any watched object or deletion known. It never falls.
func (t *Table) Newest() object.Version { return t.newest }

// ApplyBatch puts a batch of the platform in force and reports whether any object changed.
func (t *Table) ApplyBatch(b step.ConfigBatch, out *step.Out) bool {
	for _, r := range b.Refused {
		out.Log(event.ConfigRefused, event.F("kind", r.Kind), event.F("name", r.Name),
			event.F("version", r.Version), event.F("reason", r.Reason))
	}
	if b.Full {
		return t.applySnapshot(b.Revision, b.Objects, refusedKeys(b.Refused), "platform", out)
	}
	return t.applyChanges(b.Revision, b.Objects, "platform", out)
}

// Learn puts one object in force that this daemon read or wrote, ahead of the watch, and
// reports whether it changed. The applied revision stays, since others may be missing
// up to there; peers are told of it by Newest.
func (t *Table) Learn(o object.Object, out *step.Out) bool {
	if !slices.Contains(object.WatchedKinds, o.Kind) || !t.take(o) {
		return false
	}
	t.advance(t.applied, true, "this daemon", out)
	return true
}

func refusedKeys(refused []step.RefusedObject) map[key]bool {
	keys := make(map[key]bool, len(refused))
	for _, r := range refused {
		keys[key{r.Kind, r.Name}] = true
	}
	return keys
}

// applyChanges takes up objects that complete the history up to revision.
func (t *Table) applyChanges(revision object.Version, objects []object.Object, source string, out *step.Out) bool {
	changed := false
	for _, o := range objects {
		if t.take(o) {
			changed = true
		}
	}
	t.advance(revision, changed, source, out)
	return changed
}

// applySnapshot takes up the whole state at revision; what it lacks does not exist
// there, but for the keys in keep. An older snapshot than what is in force changes nothing.
func (t *Table) applySnapshot(revision object.Version, objects []object.Object, keep map[key]bool, source string, out *step.Out) bool {
	if revision < t.applied {
		return false
	}
	present := make(map[key]bool, len(objects))
	changed := false
	for _, o := range objects {
		present[keyOf(o)] = true
		if t.take(o) {
			changed = true
		}
	}
	for _, o := range t.sorted() {
		k := keyOf(o)
		if present[k] || keep[k] || o.Version > revision {
			continue
		}
		if t.take(object.Object{Kind: o.Kind, Name: o.Name, Version: revision}) {
			changed = true
		}
	}
	if revision > t.applied {
		t.raiseFloor(revision)
	}
	t.advance(revision, changed, source, out)
	return changed
}

func (t *Table) advance(revision object.Version, changed bool, source string, out *step.Out) {
	t.applied = max(t.applied, revision)
	if !changed {
		return
	}
	out.Add(step.SetConfig{Revision: t.applied})
	out.Log(event.ConfigApplied, event.F("revision", t.applied), event.F("newest", t.newest), event.F("source", source))
}

// take puts one object in force if it is newer than what is known. Up to the applied
// revision everything is known: a late message can't bring back what was deleted.
func (t *Table) take(o object.Object) bool {
	if o.Version <= t.applied {
		return false
	}
	k := keyOf(o)
	old, exists := t.entries[k]
	if o.Version <= max(old.Version, t.dead[k]) {
		return false
	}
	t.newest = max(t.newest, o.Version)
	if exists {
		t.unlink(old)
	}
	t.forget(k)
	if o.Deleted() {
		t.bury(o)
		return exists
	}
	t.entries[k] = o
	t.link(o)
	return true
}

func (t *Table) link(o object.Object) {
	t.names[o.Kind] = insert(t.names[o.Kind], o.Name)
	if c, ok := o.Value.(*object.Contract); ok {
		for _, h := range c.KeyHashes {
			t.owners[h] = insert(t.owners[h], o.Name)
		}
	}
}

func (t *Table) unlink(o object.Object) {
	delete(t.entries, keyOf(o))
	t.names[o.Kind] = remove(t.names[o.Kind], o.Name)
	c, ok := o.Value.(*object.Contract)
	if !ok {
		return
	}
	for _, h := range c.KeyHashes {
		t.owners[h] = remove(t.owners[h], o.Name)
		if len(t.owners[h]) == 0 {
			delete(t.owners, h)
		}
	}
}

// forget drops the tombstone of an object that is written or deleted anew.
func (t *Table) forget(k key) {
	version, ok := t.dead[k]
	if !ok {
		return
	}
	delete(t.dead, k)
	t.tombs = slices.DeleteFunc(t.tombs, func(o object.Object) bool {
		return o.Version == version && keyOf(o) == k
	})
}

func (t *Table) bury(o object.Object) {
	at, _ := slices.BinarySearchFunc(t.tombs, o.Version, func(a object.Object, v object.Version) int {
		return cmp.Compare(a.Version, v)
	})
	t.tombs = slices.Insert(t.tombs, at, o)
	t.dead[keyOf(o)] = o.Version
	if excess := len(t.tombs) - t.bound; excess > 0 {
		t.raiseFloor(t.tombs[excess-1].Version)
	}
}

// raiseFloor forgets the deletions up to a revision.
func (t *Table) raiseFloor(revision object.Version) {
	t.floor = max(t.floor, revision)
	kept := t.tombs[:0]
	for _, o := range t.tombs {
		if o.Version > t.floor {
			kept = append(kept, o)
			continue
		}
		delete(t.dead, keyOf(o))
	}
	t.tombs = kept
}

// sorted returns the live objects by kind and name.
func (t *Table) sorted() []object.Object {
	objects := make([]object.Object, 0, len(t.entries))
	for _, kind := range object.WatchedKinds {
		for _, name := range t.names[kind] {
			objects = append(objects, t.entries[key{kind, name}])
		}
	}
	return objects
}

func insert(names []string, name string) []string {
	at, found := slices.BinarySearchFunc(names, name, strings.Compare)
	if found {
		return names
	}
	return slices.Insert(names, at, name)
}

func remove(names []string, name string) []string {
	at, found := slices.BinarySearchFunc(names, name, strings.Compare)
	if !found {
		return names
	}
	return slices.Delete(names, at, at+1)
}
