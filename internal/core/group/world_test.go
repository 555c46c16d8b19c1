package group

import (
	"fmt"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// tick is the time between two steps of the world.
const tick = 100 * time.Millisecond

// world is a store, engines, and daemons with their controllers. Tests set its fields to cause
// faults.
type world struct {
	now         time.Duration
	revision    object.Version
	objects     map[key]object.Object
	storeUp     bool
	loseReplies bool          // replies to writes are lost; some of the writes take effect
	orderDelay  time.Duration // time that an order takes to arrive
	engines     map[string]*engine
	names       []string // of the engines, sorted
	nodes       []*node
	queue       []delivery
	violation   string // the first violation of an invariant, empty if none
	trace       func(format string, args ...any)
	set         func(*Settings)
	conns       uint64
}

type key struct {
	kind object.Kind
	name string
}

// delivery is an action that is due at a later time.
type delivery struct {
	at time.Duration
	do func()
}

// engine is the simulated engine of one host.
type engine struct {
	host          platformapi.Host
	listed        bool          // registered at the platform
	extraLoadTime time.Duration // added to loadTime
	checks        bool          // refuses outdated fencing tokens
	run           int           // number of the incarnation
	dead          bool
	paused        bool
	group         string
	gen           uint64
	members       []string
	loadedAt      time.Duration // when its weights are loaded
	fence         uint64
	firstJoin     string                   // "group@generation" of the first join of this incarnation
	servedAt      map[string]time.Duration // by "group@generation", when it last served it
}

func (e *engine) up() bool            { return !e.dead && !e.paused }
func (e *engine) incarnation() string { return fmt.Sprintf("%s-%d", e.host.Name, e.run) }
func (e *engine) restart() {
	e.run++
	e.dead, e.paused = false, false
	e.group, e.gen, e.firstJoin, e.members = "", 0, "", nil
}
func groupLabel(g string, gen uint64) string { return fmt.Sprintf("%s@%d", g, gen) }

// ready reports whether the engine and all members of its group are up, joined and loaded.
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

// handleOrder executes an order at the engine.
func (w *world) handleOrder(e *engine, o engineapi.Order) (engineapi.Status, step.ReplyStatus) {
	if e.checks && o.FencingToken < e.fence {
		return w.status(e), step.ReplyConflict
	}
	e.fence = max(e.fence, o.FencingToken)
	switch o.Kind {
	case engineapi.OrderJoin:
		this := groupLabel(o.Group, o.Generation)
		if !e.checks && e.firstJoin != "" && e.firstJoin != this {
			w.reportViolation("%s was ordered to join %s and then %s", e.incarnation(), e.firstJoin, this)
		}
		e.firstJoin = this
		if e.group != o.Group || e.gen != o.Generation {
			if e.group == "" {
				e.loadedAt = w.now + loadTime + e.extraLoadTime
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
		Loaded: e.group != "" && w.now >= e.loadedAt, Ready: w.ready(e), FencingToken: e.fence, ChecksFencing: e.checks,
	}
}

// reportViolation records the first violation of an invariant.
func (w *world) reportViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{w.now + d, do})
}
