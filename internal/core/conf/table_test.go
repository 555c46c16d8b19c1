package conf

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

func dc(name string, version object.Version, reason string) object.Object {
	return object.Object{
		Kind: object.KindDataCentre, Name: name, Version: version, Value: &object.DataCentre{Reason: reason},
	}
}

func deleted(name string, version object.Version) object.Object {
	return object.Object{Kind: object.KindDataCentre, Name: name, Version: version}
}

func TestOlderBatchesAreIgnored(t *testing.T) {
	table, out := New(), &step.Out{}
	require.True(t, table.ApplyBatch(step.ConfigBatch{Full: true, Revision: 10, Objects: []object.Object{dc("a", 4, "x"), dc("b", 6, "x")}}, out))
	require.True(t, table.ApplyBatch(step.ConfigBatch{Revision: 12, Objects: []object.Object{dc("a", 11, "new"), deleted("b", 12)}}, out))
	for name, late := range map[string]step.ConfigBatch{
		"old snapshot": {Full: true, Revision: 10, Objects: []object.Object{dc("a", 4, "x"), dc("b", 6, "x")}},
		"old change":   {Revision: 11, Objects: []object.Object{dc("a", 11, "other"), dc("b", 6, "x")}},
	} {
		require.False(t, table.ApplyBatch(late, out), name)
		require.Equal(t, object.Version(12), table.Applied(), name)
		a, _ := table.DataCentre("a")
		require.Equal(t, "new", a.Reason)
		_, ok := table.DataCentre("b")
		require.False(t, ok, name)
	}
}

func TestSnapshotDeletesMissingObjects(t *testing.T) {
	table, out := New(), &step.Out{}
	table.ApplyBatch(step.ConfigBatch{Full: true, Revision: 5, Objects: []object.Object{dc("a", 1, ""), dc("b", 2, "")}}, out)
	require.True(t, table.ApplyObject(dc("c", 9, ""), out))
	refused := []step.RefusedObject{{Kind: object.KindDataCentre, Name: "b", Version: 7}}
	require.True(t, table.ApplyBatch(step.ConfigBatch{Full: true, Revision: 8, Refused: refused}, out))
	require.Equal(t, []string{"b", "c"}, table.Names(object.KindDataCentre),
		"a is deleted, b keeps the value before the refused one, c is newer than the snapshot")
}

func TestObjectAppliedAheadOfWatchReachesPeers(t *testing.T) {
	first, second, out := New(), New(), &step.Out{}
	start := step.ConfigBatch{Full: true, Revision: 5, Objects: []object.Object{dc("a", 4, "old")}}
	first.ApplyBatch(start, out)
	second.ApplyBatch(start, out)
	require.True(t, first.ApplyObject(dc("a", 9, "new"), out))
	sent := &step.Out{}
	first.SendDelta("second", step.ConfigAsk{Applied: second.Applied()}, sent)
	require.Len(t, sent.Effects, 1)
	require.True(t, second.ApplyDelta("first", sent.Effects[0].(step.SendPeer).Message.(step.ConfigDelta), out))
	a, _ := second.DataCentre("a")
	require.Equal(t, "new", a.Reason)
	require.Equal(t, object.Version(5), second.Applied(), "other writes up to version 9 are not known")
}

func TestDeltaWithGapTriggersQuery(t *testing.T) {
	table, out := New(), &step.Out{}
	require.False(t, table.ApplyDelta("p", step.ConfigDelta{From: 5, To: 9}, out))
	require.Equal(t, []step.Effect{step.SendPeer{To: "p", Message: step.ConfigAsk{Applied: 0}}}, out.Effects)
	require.Zero(t, table.Applied())
}

func TestInvalidObjectRejectsWholeDelta(t *testing.T) {
	table, out := New(), &step.Out{}
	good, err := Encode(dc("a", 2, "x"))
	require.NoError(t, err)
	broken := step.EncodedObject{Kind: object.KindModel, Name: "m", Version: 3, Value: []byte(`{"members":0}`)}
	require.False(t, table.ApplyDelta("p", step.ConfigDelta{To: 3, Objects: []step.EncodedObject{good, broken}}, out))
	require.Zero(t, table.Applied())
	require.Empty(t, table.Names(object.KindDataCentre))
}

func TestContractByKey(t *testing.T) {
	table, out := New(), &step.Out{}
	contract := func(name string, version object.Version, hashes ...string) object.Object {
		return object.Object{Kind: object.KindContract, Name: name, Version: version, Value: &object.Contract{KeyHashes: hashes}}
	}
	table.ApplyBatch(step.ConfigBatch{Revision: 2, Objects: []object.Object{contract("b", 1, "h1", "h2"), contract("a", 2, "h2")}}, out)
	name, _, ok := table.ContractByKey("h2")
	require.True(t, ok)
	require.Equal(t, "a", name)
	table.ApplyBatch(step.ConfigBatch{Revision: 3, Objects: []object.Object{contract("b", 3, "h3")}}, out)
	_, _, ok = table.ContractByKey("h1")
	require.False(t, ok, "a key removed from its contract is no longer accepted")
}

// history holds all writes to the platform, by rising version.
type history struct {
	revision object.Version
	writes   []object.Object
}

func (h *history) at(name string, revision object.Version) object.Object {
	var last object.Object
	for _, o := range h.writes {
		if o.Name == name && o.Version <= revision {
			last = o
		}
	}
	return last
}

func (h *history) snapshot(revision object.Version) []object.Object {
	var objects []object.Object
	for _, name := range names {
		// The platform serves the pages of a list after it has fixed the list's revision, so
		// objects may be newer.
		if o := h.at(name, h.revision); !o.Deleted() {
			objects = append(objects, o)
		}
	}
	return objects
}

func (h *history) since(from, to object.Version) []object.Object {
	var changes []object.Object
	for _, o := range h.writes {
		if o.Version > from && o.Version <= to {
			changes = append(changes, o)
		}
	}
	return changes
}

var names = []string{"a", "b", "c", "d"}

// packet is a message in transit between two tables.
type packet struct {
	from, to int
	message  step.Message
}

// cluster simulates tables with a platform and a network that loses, repeats and reorders
// messages.
type cluster struct {
	history   history
	tables    []*Table
	watchedTo []object.Version // revision up to which each table's watch has delivered
	network   []packet
	applied   []object.Version
}

func (m *cluster) deliver(p packet) {
	out := &step.Out{}
	switch msg := p.message.(type) {
	case step.ConfigAsk:
		m.tables[p.to].SendDelta(fmt.Sprint(p.from), msg, out)
	case step.ConfigDelta:
		m.tables[p.to].ApplyDelta(fmt.Sprint(p.from), msg, out)
	}
	for _, e := range out.Effects {
		if s, ok := e.(step.SendPeer); ok {
			m.network = append(m.network, packet{p.to, p.from, s.Message})
		}
	}
}

func (m *cluster) checkTables(t *rapid.T) {
	for i, table := range m.tables {
		if table.Applied() < m.applied[i] {
			t.Fatalf("table %d: applied revision fell from %d to %d", i, m.applied[i], table.Applied())
		}
		m.applied[i] = table.Applied()
		for _, name := range names {
			o, ok := table.Object(object.KindDataCentre, name)
			if !m.isPossible(name, table.Applied(), o, ok) {
				t.Fatalf("table %d at revision %d has %v of %s, want %v or newer", i, table.Applied(), o, name, m.history.at(name, table.Applied()))
			}
		}
	}
}

// isPossible reports whether an object is the state at the applied revision or a later write.
func (m *cluster) isPossible(name string, applied object.Version, o object.Object, ok bool) bool {
	states := append(m.history.since(applied, m.history.revision), m.history.at(name, applied))
	for _, w := range states {
		if (w.Name == name || w.Version == 0) && w.Deleted() == !ok && (!ok || w.Version == o.Version) {
			return true
		}
	}
	return false
}

func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cluster{tables: []*Table{New(), New(), New()}, watchedTo: make([]object.Version, 3), applied: make([]object.Version, 3)}
		for _, table := range m.tables {
			table.tombstoneLimit = 2
		}
		one := rapid.IntRange(0, len(m.tables)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				m.history.revision += object.Version(rapid.IntRange(1, 3).Draw(t, "gap"))
				o := dc(rapid.SampledFrom(names).Draw(t, "name"), m.history.revision, fmt.Sprint(m.history.revision))
				if rapid.Bool().Draw(t, "delete") {
					o.Value = nil
				}
				m.history.writes = append(m.history.writes, o)
			},
			"watch": func(t *rapid.T) {
				i := one.Draw(t, "table")
				from := m.watchedTo[i]
				to := object.Version(rapid.Uint64Range(uint64(from), uint64(m.history.revision)).Draw(t, "to"))
				m.tables[i].ApplyBatch(step.ConfigBatch{Revision: to, Objects: m.history.since(from, to)}, &step.Out{})
				m.watchedTo[i] = to
			},
			"list": func(t *rapid.T) {
				i := one.Draw(t, "table")
				revision := object.Version(rapid.Uint64Range(uint64(m.watchedTo[i]), uint64(m.history.revision)).Draw(t, "revision"))
				m.tables[i].ApplyBatch(step.ConfigBatch{Full: true, Revision: revision, Objects: m.history.snapshot(revision)}, &step.Out{})
				m.watchedTo[i] = revision
			},
			"learn": func(t *rapid.T) {
				if o := m.history.at(rapid.SampledFrom(names).Draw(t, "name"), m.history.revision); o.Version > 0 {
					m.tables[one.Draw(t, "table")].ApplyObject(o, &step.Out{})
				}
			},
			"ask": func(t *rapid.T) {
				from, to := one.Draw(t, "from"), one.Draw(t, "to")
				m.network = append(m.network, packet{from, to, step.ConfigAsk{Applied: m.tables[from].Applied()}})
			},
			"deliver": func(t *rapid.T) {
				if len(m.network) == 0 {
					t.Skip("no message in transit")
				}
				i := rapid.IntRange(0, len(m.network)-1).Draw(t, "packet")
				p := m.network[i]
				if !rapid.Bool().Draw(t, "again later") {
					m.network = append(m.network[:i:i], m.network[i+1:]...)
				}
				if !rapid.Bool().Draw(t, "lost") {
					m.deliver(p)
				}
			},
			"": m.checkTables,
		})
		m.converge(t)
	})
}

// converge brings the first table up to date from the platform and lets the others query it.
func (m *cluster) converge(t *rapid.T) {
	first := m.tables[0]
	first.ApplyBatch(step.ConfigBatch{Revision: m.history.revision, Objects: m.history.since(m.watchedTo[0], m.history.revision)}, &step.Out{})
	for i := range m.tables {
		m.network = []packet{{i, 0, step.ConfigAsk{Applied: m.tables[i].Applied()}}}
		for len(m.network) > 0 {
			p := m.network[0]
			m.network = m.network[1:]
			m.deliver(p)
		}
	}
	for i, table := range m.tables {
		if table.Applied() != m.history.revision {
			t.Fatalf("table %d: applied revision is %d, want %d", i, table.Applied(), m.history.revision)
		}
	}
	m.checkTables(t)
}

func BenchmarkApplyDelta(b *testing.B) {
	const objects, changes = 1000, 1
	source, out := New(), &step.Out{}
	for i := range objects {
		source.ApplyObject(dc(fmt.Sprintf("dc%04d", i), object.Version(i+1), "reason"), out)
	}
	source.ApplyBatch(step.ConfigBatch{Revision: objects}, out)
	base := *source
	base.applied = objects - changes
	delta, err := source.Delta(objects - changes)
	require.NoError(b, err)
	require.Len(b, delta.Objects, changes)
	b.ReportAllocs()
	for b.Loop() {
		table := base
		table.entries = map[key]object.Object{}
		table.ApplyDelta("p", delta, &step.Out{})
	}
}
