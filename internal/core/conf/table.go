// Package conf holds the configuration in force: every watched object (contracts, models,
// services, data centres, hosts, the assignment of hosts to groups, daemons) at its newest known
// version. The reducer of package core applies updates to it; the other packages below
// internal/core read it.
//
// Updates come as batches from the platform's watch, as deltas from peers and as single objects
// that this daemon itself has read or written. Updates may be repeated, reordered or lost.
//
// Invariants: at the applied revision the table is complete, that is, each object in it is the
// state at that revision or a later write. The applied revision never falls, and no object
// returns to an older version.
package conf

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// maxTombstones bounds the number of deletions kept for deltas to peers. When it is exceeded, the
// oldest are dropped, and a peer whose revision is older gets a snapshot instead of a delta.
const maxTombstones = 1024

// Table is the configuration in force. Create it with New. The values it returns are shared and
// must not be changed.
type Table struct {
	applied object.Version // see Applied
	newest  object.Version // see Newest
	// deltaFloor is the oldest revision for which a delta can be computed. Deletions at or below
	// it may have been dropped, so an older peer gets a snapshot.
	deltaFloor     object.Version
	tombstoneLimit int                   // maximum length of tombstones
	entries        map[key]object.Object // objects that exist
	// tombstones are the deletions above deltaFloor, by rising version.
	tombstones []object.Object
	// deletedAt holds the version of each deletion in tombstones.
	deletedAt map[key]object.Version
	// names holds the sorted names of the objects that exist, by kind.
	names map[object.Kind][]string
	// customersByKey holds the sorted names of the contracts that list a key hash, by hash.
	customersByKey map[string][]string
}

type key struct {
	kind object.Kind
	name string
}

func keyOf(o object.Object) key { return key{o.Kind, o.Name} }

// New returns an empty table at revision 0.
func New() *Table {
	return &Table{
		tombstoneLimit: maxTombstones,
		entries:        make(map[key]object.Object),
		deletedAt:      make(map[key]object.Version),
		names:          make(map[object.Kind][]string),
		customersByKey: make(map[string][]string),
	}
}

// Applied returns the revision at which the table is complete. It never falls.
func (t *Table) Applied() object.Version { return t.applied }

// Newest returns the highest version of any object or deletion that the table has ever held. It
// may be above Applied and never falls.
func (t *Table) Newest() object.Version { return t.newest }

// ApplyBatch puts a batch from the platform's watch in force and reports whether any object
// changed.
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

// ApplyObject puts one object in force that this daemon has read or written, before the watch
// delivers it, and reports whether it changed. The applied revision stays, since the table may
// lack other objects up to this version. Peers notice the object because Newest rises.
func (t *Table) ApplyObject(o object.Object, out *step.Out) bool {
	if !slices.Contains(object.WatchedKinds, o.Kind) || !t.put(o) {
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

// applyChanges applies the objects that make the table complete at revision.
func (t *Table) applyChanges(revision object.Version, objects []object.Object, source string, out *step.Out) bool {
	changed := false
	for _, o := range objects {
		if t.put(o) {
			changed = true
		}
	}
	t.advance(revision, changed, source, out)
	return changed
}

// applySnapshot applies the complete state at revision. It deletes objects that the snapshot
// lacks, except those in refused, which keep their previous values, and those written after
// revision. A snapshot older than the applied revision changes nothing.
func (t *Table) applySnapshot(revision object.Version, objects []object.Object, refused map[key]bool, source string, out *step.Out) bool {
	if revision < t.applied {
		return false
	}
	present := make(map[key]bool, len(objects))
	changed := false
	for _, o := range objects {
		present[keyOf(o)] = true
		if t.put(o) {
			changed = true
		}
	}
	for _, o := range t.sorted() {
		k := keyOf(o)
		if present[k] || refused[k] || o.Version > revision {
			continue
		}
		if t.put(object.Object{Kind: o.Kind, Name: o.Name, Version: revision}) {
			changed = true
		}
	}
	if revision > t.applied {
		t.raiseDeltaFloor(revision)
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

// put puts one object or deletion in force if it is newer than the known one, and reports whether
// an object changed. It ignores versions up to the applied revision, where the table is complete;
// so a late message cannot restore an object whose tombstone has been dropped.
func (t *Table) put(o object.Object) bool {
	if o.Version <= t.applied {
		return false
	}
	k := keyOf(o)
	old, exists := t.entries[k]
	if o.Version <= max(old.Version, t.deletedAt[k]) {
		return false
	}
	t.newest = max(t.newest, o.Version)
	if exists {
		t.remove(old)
	}
	t.dropTombstone(k)
	if o.Deleted() {
		t.addTombstone(o)
		return exists
	}
	t.entries[k] = o
	t.addToIndexes(o)
	return true
}

func (t *Table) addToIndexes(o object.Object) {
	t.names[o.Kind] = insertSorted(t.names[o.Kind], o.Name)
	if c, ok := o.Value.(*object.Contract); ok {
		for _, h := range c.KeyHashes {
			t.customersByKey[h] = insertSorted(t.customersByKey[h], o.Name)
		}
	}
}

func (t *Table) remove(o object.Object) {
	delete(t.entries, keyOf(o))
	t.names[o.Kind] = removeSorted(t.names[o.Kind], o.Name)
	c, ok := o.Value.(*object.Contract)
	if !ok {
		return
	}
	for _, h := range c.KeyHashes {
		t.customersByKey[h] = removeSorted(t.customersByKey[h], o.Name)
		if len(t.customersByKey[h]) == 0 {
			delete(t.customersByKey, h)
		}
	}
}

// dropTombstone drops the tombstone of an object that is written or deleted again.
func (t *Table) dropTombstone(k key) {
	version, ok := t.deletedAt[k]
	if !ok {
		return
	}
	delete(t.deletedAt, k)
	t.tombstones = slices.DeleteFunc(t.tombstones, func(o object.Object) bool {
		return o.Version == version && keyOf(o) == k
	})
}

func (t *Table) addTombstone(o object.Object) {
	at, _ := slices.BinarySearchFunc(t.tombstones, o.Version, func(a object.Object, v object.Version) int {
		return cmp.Compare(a.Version, v)
	})
	t.tombstones = slices.Insert(t.tombstones, at, o)
	t.deletedAt[keyOf(o)] = o.Version
	if excess := len(t.tombstones) - t.tombstoneLimit; excess > 0 {
		t.raiseDeltaFloor(t.tombstones[excess-1].Version)
	}
}

// raiseDeltaFloor drops the tombstones up to a revision.
func (t *Table) raiseDeltaFloor(revision object.Version) {
	t.deltaFloor = max(t.deltaFloor, revision)
	kept := t.tombstones[:0]
	for _, o := range t.tombstones {
		if o.Version > t.deltaFloor {
			kept = append(kept, o)
			continue
		}
		delete(t.deletedAt, keyOf(o))
	}
	t.tombstones = kept
}

// sorted returns the objects that exist, sorted by kind and name.
func (t *Table) sorted() []object.Object {
	objects := make([]object.Object, 0, len(t.entries))
	for _, kind := range object.WatchedKinds {
		for _, name := range t.names[kind] {
			objects = append(objects, t.entries[key{kind, name}])
		}
	}
	return objects
}

func insertSorted(names []string, name string) []string {
	at, found := slices.BinarySearchFunc(names, name, strings.Compare)
	if found {
		return names
	}
	return slices.Insert(names, at, name)
}

func removeSorted(names []string, name string) []string {
	at, found := slices.BinarySearchFunc(names, name, strings.Compare)
	if !found {
		return names
	}
	return slices.Delete(names, at, at+1)
}
