package group

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// tick is the world's step.
const tick = 100 * time.Millisecond

// world is a store, engines and daemons with their controllers. The faults are fields
// that a test sets.
type world struct {
	now      time.Duration
	revision object.Version
	objects  map[key]object.Object
	storeUp  bool
	loseAll  bool          // answers to writes are lost, after the write took effect or before
	slow     time.Duration // added to every order on its way
	engines  map[string]*engine
	names    []string // of the engines, sorted
	nodes    []*node
	queue    []delivery
	broken   string // the first breach of an invariant
	trace    func(format string, args ...any)
	set      func(*Settings)
	conns    uint64
}

type key struct {
	kind object.Kind
	name string
}

// delivery is something that happens later.
type delivery struct {
	at time.Duration
	do func()
}

type engine struct {
	host     platformapi.Host
	listed   bool
	slower   time.Duration // added to loading
	checks   bool
	run      int
	dead     bool
	paused   bool
	group    string
	gen      uint64
	members  []string
	loadedAt time.Duration // when the weights are loaded
	fence    uint64
	first    string                   // the first join of this incarnation
	truth    map[string]time.Duration // when it last served "group@generation"
}

func (e *engine) up() bool            { return !e.dead && !e.paused }
func (e *engine) incarnation() string { return fmt.Sprintf("%s-%d", e.host.Name, e.run) }
func (e *engine) restart() {
	e.run++
	e.dead, e.paused = false, false
	e.group, e.gen, e.first, e.members = "", 0, "", nil
}
func label(g string, gen uint64) string { return fmt.Sprintf("%s@%d", g, gen) }

func (w *world) ready(e *engine) bool {
	if e.group == "" || w.now < e.loadedAt {
		return false
	}
	for _, address := range e.members {
		m := w.engines[address]
		if m == nil || !m.up() || m.group != e.group || m.gen != e.gen || w.now < m.loadedAt {
			return false
		}
	}
	return true
}

// take is the engine's handling of an order.
func (w *world) take(e *engine, o engineapi.Order) (engineapi.Status, step.ReplyStatus) {
	if e.checks && o.Fence < e.fence {
		return w.status(e), step.ReplyConflict
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engineapi.OrderJoin:
		this := label(o.Group, o.Generation)
		if !e.checks && e.first != "" && e.first != this {
			w.breach("%s was told %s and then %s", e.incarnation(), e.first, this)
		}
		e.first = this
		if e.group != o.Group || e.gen != o.Generation {
			if e.group == "" {
				e.loadedAt = w.now + loadTime + e.slower
			}
			e.group, e.gen, e.members = o.Group, o.Generation, o.Members
		}
	case engineapi.OrderIdle:
		e.group, e.gen, e.members = "", 0, nil
	case engineapi.OrderRetire:
		e.dead = true
		w.after(restartTime, func() {
			if e.dead {
				e.restart()
			}
		})
	}
	return w.status(e), step.ReplyOK
}

const (
	loadTime    = 3 * time.Second
	restartTime = time.Second
)

func (w *world) status(e *engine) engineapi.Status {
	return engineapi.Status{
		Host: e.host.Name, Incarnation: e.incarnation(), Group: e.group, Generation: e.gen, Model: "m",
		Loaded: e.group != "" && w.now >= e.loadedAt, Ready: w.ready(e), Fence: e.fence, ChecksFencing: e.checks,
	}
}

func (w *world) breach(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{w.now + d, do})
}
