package gateway

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// modelStore is a store with its past, to which it can be taken back.
type modelStore struct {
	storeContents
	era  uint64
	past []storeContents // one for each step
}

type storeContents struct {
	revision  uint64
	leases    map[uint64]step.ControlLease // by the era in the object's name
	revisions map[uint64]uint64            // of the leases
	hosts     map[string]site.Host
	version   int64
	evacuated bool // data centre dc2
}

func (c storeContents) clone() storeContents {
	c.leases, c.revisions, c.hosts = maps.Clone(c.leases), maps.Clone(c.revisions), maps.Clone(c.hosts)
	return c
}

func (m *modelStore) answer(e step.Effect) (step.LeaseAnswered, bool) {
	l := &leaseStore{era: m.era, revision: m.revision, leases: m.leases, revisions: m.revisions}
	a, ok := l.answer(e)
	m.revision = l.revision
	return a, ok
}

// restoreModel is a deployment whose store is taken back at any moment, with daemons that are
// cut off from it, stand still and restart.
type restoreModel struct {
	rt      *rapid.T
	t       *testing.T
	now     time.Duration
	store   modelStore
	truth   storeContents // what operators and hosts have written last
	writeAt time.Duration // when they write it again
	daemons []*modelDaemon
	calls   int
	// controlEpochs are the first epochs of all terms, in the order in which they began.
	controlEpochs []uint64
}

type modelDaemon struct {
	*harness
	startedAt  time.Duration
	cut        bool
	pausedTill time.Duration
	listed     bool
	late       []step.LeaseAnswered // answers that are still on their way
	held       bool
	leftHosts  map[string]bool // hosts that it knew as draining or gone
	version    int64
	knewOut    bool // it knew of the evacuation in force
}

func (m *restoreModel) start(i int) {
	d := &modelDaemon{harness: newHarness(m.t), startedAt: m.now, leftHosts: make(map[string]bool)}
	d.s = New(Settings{Daemon: fmt.Sprintf("d%d", i), Incarnation: fmt.Sprintf("r%d", m.now), DataCentre: "dc", Cores: 1, Limits: d.s.settings.Limits})
	m.daemons[i] = d
}

// deliver posts the store's contents to a daemon, as a list.
func (m *restoreModel) deliver(d *modelDaemon) {
	m.reduce(d, step.StoreEra{Era: m.store.era})
	if m.store.version > 0 {
		d.configure(m.store.version) // asks for nothing
	}
	before := maps.Clone(d.s.hosts)
	m.reduce(d, step.SiteHosts{Full: true, Hosts: slices.Collect(maps.Values(m.store.hosts))})
	for id := range before {
		h, listed := d.s.hosts[id], m.truth.hosts[id]
		if h == nil && listed.ID == "" || h != nil && h.Draining {
			d.leftHosts[id] = true
		}
	}
	var out []string
	if m.store.evacuated {
		out = []string{"dc2"}
	}
	m.reduce(d, step.SiteEvacuated{Full: !d.listed || d.s.storeBackAt == d.now, DataCentres: out})
	d.listed = true
	d.knewOut = m.store.evacuated || d.knewOut && m.truth.evacuated
}

// reduce passes an event to a daemon and carries out the effects.
func (m *restoreModel) reduce(d *modelDaemon, ev step.Event) { m.carryOut(d, d.reduce(ev)) }

// step lets 50 ms pass.
func (m *restoreModel) step() {
	m.now += 50 * time.Millisecond
	if m.now >= m.writeAt && m.writeAt > 0 {
		m.store.hosts, m.store.version, m.store.evacuated = maps.Clone(m.truth.hosts), m.truth.version, m.truth.evacuated
		m.store.revision++
		m.writeAt = 0
	}
	m.store.past = append(m.store.past, m.store.clone())
	for _, d := range m.daemons {
		if m.now < d.pausedTill {
			continue
		}
		d.now = m.now - d.startedAt
		late := d.late
		d.late = nil
		for _, a := range late {
			m.reduce(d, a)
		}
		if !d.cut {
			m.deliver(d)
		}
		m.reduce(d, step.Tick{})
		m.check(d)
	}
	holders := 0
	for _, d := range m.daemons {
		if m.now >= d.pausedTill && d.s.lease.Held(d.now) {
			holders++
		}
	}
	require.LessOrEqual(m.rt, holders, 1)
}

func (m *restoreModel) carryOut(d *modelDaemon, effects []step.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		var op step.OpID
		switch e := e.(type) {
		case step.ReadLease:
			op = e.Op
		case step.WriteLease:
			op = e.Op
		default:
			continue
		}
		if d.cut {
			effects = append(effects, d.reduce(step.LeaseAnswered{Op: op, Era: d.s.era, Status: step.ReplyUnsent})...)
			continue
		}
		a, _ := m.store.answer(e)
		switch rapid.IntRange(0, 19).Draw(m.rt, "answer") {
		case 0:
			d.late = append(d.late, a)
		case 1:
			effects = append(effects, d.reduce(step.LeaseAnswered{Op: op, Era: a.Era, Status: step.ReplyLost})...)
		default:
			effects = append(effects, d.reduce(a)...)
		}
	}
}

// check checks what one daemon does.
func (m *restoreModel) check(d *modelDaemon) {
	if held := d.s.HoldsControl(); held != d.held {
		d.held = held
		if held {
			m.controlEpochs = append(m.controlEpochs, firstEpoch(d.s.lease.Era(), d.s.lease.Revision()))
		}
	}
	if c := d.s.Config(); c != nil {
		require.GreaterOrEqual(m.rt, c.Version, d.version, "the configuration went back")
		d.version = c.Version
	}
	m.calls++
	for _, e := range d.reduce(step.Call{ID: step.RequestID(fmt.Sprint(m.calls)), Host: "h", Path: "/read/1", Key: "key"}) {
		if f, ok := e.(step.Forward); ok {
			require.False(m.rt, d.leftHosts[f.Host], "%s got a request after it was known to leave", f.Host)
			require.False(m.rt, d.knewOut && m.truth.hosts[f.Host].DataCentre == "dc2", "an evacuated data centre got a request")
			d.endAttempt(f, step.EndedComplete, 200)
		}
	}
}

// TestRestoresAtAnyMoment takes the store back at any moment, several times, while daemons are
// cut off, stand still, restart and get answers late. No two daemons may hold control at once,
// epochs of later terms must exceed those of earlier ones, and no daemon may go back to an older
// configuration, to hosts that left or to a data centre that is still evacuated.
func TestRestoresAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &restoreModel{rt: rt, t: t, daemons: make([]*modelDaemon, rapid.IntRange(2, 4).Draw(rt, "daemons"))}
		m.truth = storeContents{version: 1, hosts: make(map[string]site.Host)}
		for i := range 6 {
			h := plainHost(fmt.Sprintf("h%d", i))
			h.DataCentre, h.Writes = []string{"dc", "dc2"}[i%2], 1
			m.truth.hosts[h.ID] = h
		}
		m.store.storeContents = m.truth.clone()
		m.store.revision, m.store.leases, m.store.revisions = 1, make(map[uint64]step.ControlLease), make(map[uint64]uint64)
		m.store.era = uint64(rapid.IntRange(0, 2).Draw(rt, "first era"))
		for i := range m.daemons {
			m.start(i)
		}
		write := func() { // operators and hosts write to the store at once, unless it is about to be rewritten
			if m.writeAt == 0 {
				m.writeAt = m.now
			}
		}
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			i := rapid.IntRange(0, len(m.daemons)-1).Draw(rt, "daemon")
			d := m.daemons[i]
			switch rapid.SampledFrom([]string{"restore", "restore", "pass", "pass", "cut", "pause", "restart", "drain", "leave", "configure", "evacuate"}).Draw(rt, "what") {
			case "restore":
				age := min(rapid.IntRange(1, 100).Draw(rt, "age"), len(m.store.past))
				if age > 0 {
					m.store.storeContents = m.store.past[len(m.store.past)-age].clone()
					m.store.past = m.store.past[:len(m.store.past)-age]
				}
				m.store.era++
				m.writeAt = m.now + time.Duration(rapid.IntRange(1, 30).Draw(rt, "rewritten after"))*50*time.Millisecond
			case "cut":
				d.cut = !d.cut
			case "pause":
				d.pausedTill = m.now + time.Duration(rapid.IntRange(1, 8000).Draw(rt, "pause"))*time.Millisecond
			case "restart":
				m.start(i)
			case "drain", "leave":
				id := fmt.Sprintf("h%d", rapid.IntRange(0, 5).Draw(rt, "host"))
				h, ok := m.truth.hosts[id]
				if !ok {
					break
				}
				h.Writes++
				if h.Draining {
					delete(m.truth.hosts, id)
				} else {
					h.Draining = true
					m.truth.hosts[id] = h
				}
				write()
			case "configure":
				m.truth.version++
				write()
			case "evacuate":
				m.truth.evacuated = !m.truth.evacuated
				if !m.truth.evacuated {
					for _, d := range m.daemons {
						d.knewOut = false
					}
				}
				write()
			}
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				m.step()
			}
		}
		for i := 1; i < len(m.controlEpochs); i++ {
			require.Greater(rt, m.controlEpochs[i], m.controlEpochs[i-1]+1<<formationBits-1, "terms %v", m.controlEpochs)
		}
	})
}
