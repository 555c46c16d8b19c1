package coldstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const target = "t"

// world is a platform and daemons that share one cold target.
type world struct {
	t          *rapid.T
	slots      int
	now        time.Duration
	revision   object.Version
	objects    map[string]object.Object
	platformUp bool // the platform answers
	daemons    []*daemon
	cut        map[string]bool // directions that are cut, as "from>to"
	joinCount  int
}

// daemon is one run of a daemon.
type daemon struct {
	name           string
	incarnation    string
	skew           time.Duration // of its monotonic clock
	dealer         *Dealer
	reaper         *Reaper
	w              *world
	cut            bool // cannot reach the platform
	paused         bool
	gone           bool
	applied        object.Version
	live           []string
	lastHeartbeats map[string]time.Duration
	inbox          []heartbeatFrom
	loads          []time.Duration // when each request in flight was sent, in world time
}

type heartbeatFrom struct {
	from string
	h    step.Heartbeat
}

func (d *daemon) Live() []string                   { return d.live }
func (d *daemon) Owners(_ string, n int) []string  { return d.live[:min(n, len(d.live))] }
func (d *daemon) mono() time.Duration              { return d.w.now + d.skew }
func (w *world) put(name string, v *object.Daemon) { w.write(object.Object{Name: name, Value: v}) }
func (w *world) running(d *daemon) bool            { return !d.gone && !d.paused }
func (w *world) connected(from, to *daemon) bool   { return !w.cut[from.name+">"+to.name] }
func (w *world) reachesPlatform(d *daemon) bool    { return w.platformUp && !d.cut }
func (d *daemon) canWrite(o object.Object) bool {
	return d.w.reachesPlatform(d) && d.w.objects[o.Name].Version == o.Version
}

func (w *world) write(o object.Object) {
	w.revision++
	o.Kind, o.Version = object.KindDaemon, w.revision
	w.objects[o.Name] = o
}
func (w *world) remove(name string) { w.revision++; delete(w.objects, name) }
func (w *world) totalLoad() (n int) {
	for _, d := range w.daemons {
		n += len(d.loads)
	}
	return n
}

func (w *world) Objects(object.Kind) []object.Object { return w.sorted() }

func (w *world) sorted() []object.Object {
	var all []object.Object
	for _, name := range slices.Sorted(mapsKeys(w.objects)) {
		all = append(all, w.objects[name])
	}
	return all
}

func mapsKeys(m map[string]object.Object) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (w *world) join(name string) {
	if !w.platformUp {
		return
	}
	d := &daemon{name: name, w: w, lastHeartbeats: make(map[string]time.Duration), live: []string{name}}
	d.skew = time.Duration(rapid.IntRange(0, 100).Draw(w.t, "skew")) * time.Second
	d.dealer = NewDealer(name, fmt.Sprint(w.joinCount))
	d.incarnation = fmt.Sprint(w.joinCount)
	d.reaper = NewReaper(name, d.dealer)
	d.dealer.Advance(d.mono())
	if _, taken := w.objects[name]; taken {
		d.dealer.StartHoldOff()
	}
	w.put(name, &object.Daemon{Incarnation: fmt.Sprint(w.joinCount)})
	w.joinCount++
	w.daemons = append(w.daemons, d)
	d.watch()
}

// watch brings the daemon up to the state of the platform, if it reaches it.
func (d *daemon) watch() {
	if !d.w.reachesPlatform(d) {
		return
	}
	d.apply(d.w.revision, d.w.sorted())
	d.dealer.Confirm(d.mono())
}

func (d *daemon) apply(revision object.Version, objects []object.Object) {
	if revision < d.applied {
		return
	}
	d.applied = revision
	d.dealer.SetDaemons(revision, objects)
	own, ok := d.w.objects[d.name]
	if v, _ := own.Value.(*object.Daemon); ok && v.Leaving && v.Incarnation == d.incarnation && d.canWrite(own) {
		d.w.put(d.name, &object.Daemon{Incarnation: v.Incarnation})
	}
}

// step handles the heartbeats in the inbox and sends a request if the share allows one.
func (d *daemon) step() {
	d.dealer.Advance(d.mono())
	for _, b := range d.inbox {
		d.lastHeartbeats[b.from] = d.mono()
		d.dealer.Heartbeat(b.from, b.h)
	}
	d.inbox = nil
	d.live = []string{d.name}
	for from, at := range d.lastHeartbeats {
		if d.mono()-at <= heartbeatMaxAge {
			d.live = append(d.live, from)
		} else {
			d.dealer.PeerDown(from)
		}
	}
	slices.Sort(d.live)
	d.dealer.Advance(d.mono())
	if d.w.reachesPlatform(d) {
		d.reap()
	}
	if len(d.loads) < d.dealer.Share(target, d.w.slots) {
		d.loads = append(d.loads, d.w.now)
	}
}

func (d *daemon) reap() {
	var out step.Out
	d.reaper.Tick(d.mono(), d.w, d, func() step.OpID { return 1 }, &out)
	for _, e := range out.Effects {
		switch e := e.(type) {
		case step.PutObject:
			d.w.put(e.Name, e.Value.(*object.Daemon))
		case step.DeleteObject:
			d.w.remove(e.Name)
		}
	}
}

func (d *daemon) sendHeartbeats() {
	h := step.Heartbeat{Held: d.dealer.HoldingOff(), Applied: d.applied, Platform: d.w.reachesPlatform(d), Loads: []step.Load{{Target: target, InFlight: len(d.loads)}}}
	for _, other := range d.w.daemons {
		if other != d && other.name != d.name && !other.gone && d.w.connected(d, other) {
			other.inbox = append(other.inbox, heartbeatFrom{d.name, h})
		}
	}
}

// advance lets one or more seconds pass. In each, every running daemon sends a heartbeat and
// makes a step.
func (w *world) advance() {
	for range rapid.IntRange(1, 20).Draw(w.t, "seconds") {
		w.now += time.Second
		for _, d := range w.daemons {
			d.loads = slices.DeleteFunc(d.loads, func(sent time.Duration) bool { return w.now-sent > MaxAttemptDuration })
		}
		for _, d := range w.daemons {
			if w.running(d) {
				d.watch()
				d.sendHeartbeats()
				d.step()
			}
		}
		w.check()
	}
}

// check fails the test if the target has more requests in flight than slots.
func (w *world) check() {
	if w.totalLoad() <= w.slots {
		return
	}
	for _, d := range w.daemons {
		w.t.Logf("%s gone=%v paused=%v cut=%v applied=%d load=%d set=%v acknowledged=%d", d.name, d.gone, d.paused, d.cut, d.applied, len(d.loads), d.dealer.currentSet(), d.dealer.acknowledgedSet)
	}
	w.t.Fatalf("%d requests in flight at a target with %d slots", w.totalLoad(), w.slots)
}

func (w *world) pick(accept func(*daemon) bool) *daemon {
	var from []*daemon
	for _, d := range w.daemons {
		if accept(d) {
			from = append(from, d)
		}
	}
	if len(from) == 0 {
		return nil
	}
	return rapid.SampledFrom(from).Draw(w.t, "daemon")
}

func (w *world) actions() map[string]func(*rapid.T) {
	any := func(d *daemon) bool { return w.running(d) }
	with := func(accept func(*daemon) bool, do func(*daemon)) func(*rapid.T) {
		return func(*rapid.T) {
			if d := w.pick(accept); d != nil {
				do(d)
			}
		}
	}
	return map[string]func(*rapid.T){
		"pass":   func(*rapid.T) { w.advance() },
		"outage": func(*rapid.T) { w.platformUp = !w.platformUp },
		"join": func(*rapid.T) {
			if len(w.daemons) < 12 {
				w.join(fmt.Sprintf("d%d", w.joinCount))
			}
		},
		"kill":  with(any, func(d *daemon) { d.gone = true }),
		"pause": with(func(d *daemon) bool { return !d.gone }, func(d *daemon) { d.paused = !d.paused }),
		"restart": with(func(d *daemon) bool { return w.running(d) && w.platformUp }, func(d *daemon) {
			d.gone = true
			w.join(d.name)
		}),
		"replaced while paused": with(func(d *daemon) bool { return d.paused && !d.gone && w.platformUp }, func(d *daemon) { w.join(d.name) }),
		"leave": with(any, func(d *daemon) {
			if _, ok := w.objects[d.name]; ok && len(d.loads) == 0 && w.reachesPlatform(d) {
				d.gone = true
				if own := w.objects[d.name].Value.(*object.Daemon); d.dealer.HoldingOff() {
					w.put(d.name, &object.Daemon{Incarnation: own.Incarnation, Leaving: true})
				} else if own.Incarnation == d.incarnation {
					w.remove(d.name)
				}
			}
		}),
		"cut platform": with(any, func(d *daemon) { d.cut = !d.cut }),
		"cut peers": func(*rapid.T) {
			a, b := w.pick(any), w.pick(any)
			if a != nil && a != b {
				pair := a.name + ">" + b.name
				w.cut[pair] = !w.cut[pair]
			}
		},
		"finish": with(func(d *daemon) bool { return len(d.loads) > 0 && w.running(d) }, func(d *daemon) { d.loads = d.loads[1:] }),
	}
}

// TestColdLimitHoldsOverAllDaemons makes daemons join, die, pause, be replaced, and lose the
// platform or each other. The target must never have more requests in flight than slots.
func TestColdLimitHoldsOverAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, slots: rapid.IntRange(1, 8).Draw(t, "slots"), objects: map[string]object.Object{}, cut: map[string]bool{}, platformUp: true}
		for range rapid.IntRange(3, 9).Draw(t, "daemons") {
			w.join(fmt.Sprintf("d%d", w.joinCount))
		}
		t.Repeat(w.actions())
	})
}

// TestAllSlotsAreUsedOnceFaultsStop checks that all slots are dealt again some time after a
// crash of some daemons.
func TestAllSlotsAreUsedOnceFaultsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, slots: 5, objects: map[string]object.Object{}, cut: map[string]bool{}, platformUp: true}
		for range 6 {
			w.join(fmt.Sprintf("d%d", w.joinCount))
		}
		w.advance()
		for range rapid.IntRange(0, 4).Draw(t, "crashes") {
			w.pick(func(d *daemon) bool { return !d.gone }).gone = true
		}
		for w.now < 2*(DeadTimeout+HoldOffDelay) {
			w.advance()
			for _, d := range w.daemons {
				d.loads = nil
			}
		}
		w.now += time.Second
		shares := 0
		for _, d := range w.daemons {
			if w.running(d) {
				d.watch()
				d.step()
				shares += d.dealer.Share(target, w.slots)
			}
		}
		require.Equal(t, w.slots, shares)
	})
}

func TestSharesAreEvenAndNeverRaisedByJoining(t *testing.T) {
	set := []string{"a", "b", "c", "d", "e"}
	for slots := range 20 {
		sum := 0
		for _, name := range set {
			n := ShareOf(set, name, target, 0, slots)
			require.InDelta(t, float64(slots)/5, float64(n), 1)
			require.GreaterOrEqual(t, n, ShareOf(append(set, "f"), name, target, 0, slots))
			sum += n
		}
		require.Equal(t, slots, sum)
	}
}

func BenchmarkShare(b *testing.B) {
	for _, n := range []int{9, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := NewDealer("d000", "")
			var objects []object.Object
			for i := range n {
				objects = append(objects, object.Object{Kind: object.KindDaemon, Name: fmt.Sprintf("d%03d", i), Version: object.Version(i + 1), Value: &object.Daemon{}})
			}
			d.SetDaemons(object.Version(n), objects)
			for _, o := range objects[1:] {
				d.Heartbeat(o.Name, step.Heartbeat{Applied: object.Version(n)})
			}
			d.Confirm(0)
			d.Advance(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				d.Share(target, 4)
			}
		})
	}
}

// TestOutageAgreement checks that the deal is not valid in an outage as soon as one condition
// of the agreement is not met.
func TestOutageAgreement(t *testing.T) {
	const later = ConfirmationMaxAge + 5*time.Second
	heartbeat := step.Heartbeat{Applied: 2}
	objects := []object.Object{
		{Name: "a", Version: 1, Value: &object.Daemon{Incarnation: "i"}},
		{Name: "b", Version: 2, Value: &object.Daemon{}},
	}
	cases := map[string]struct {
		change func(d *Dealer)
		valid  bool
	}{
		"agreed":            {func(*Dealer) {}, true},
		"peer has platform": {func(d *Dealer) { d.Heartbeat("b", step.Heartbeat{Applied: 2, Platform: true}) }, false},
		"peer knows more":   {func(d *Dealer) { d.Heartbeat("b", step.Heartbeat{Applied: 3}) }, false},
		"peer lost":         {func(d *Dealer) { d.PeerDown("b") }, false},
		"heartbeat too old": {func(d *Dealer) { d.Advance(later + time.Second); d.Advance(later + heartbeatMaxAge + 1) }, false},
		"paused":            {func(d *Dealer) { d.Advance(later + pauseThreshold); d.Heartbeat("b", heartbeat) }, false},
		"alone":             {func(d *Dealer) { d.SetDaemons(3, objects[:1]) }, false},
		"another run":       {func(d *Dealer) { objects[0].Value = &object.Daemon{Incarnation: "j"}; d.SetDaemons(3, objects) }, false},
		"marked": {func(d *Dealer) {
			objects[0].Value = &object.Daemon{Incarnation: "i", Leaving: true}
			d.SetDaemons(3, objects)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			objects[0].Value = &object.Daemon{Incarnation: "i"}
			d := NewDealer("a", "i")
			d.SetDaemons(2, objects)
			d.Confirm(0)
			for now := time.Duration(0); now <= later; now += time.Second {
				d.Advance(now)
			}
			d.Heartbeat("b", heartbeat)
			c.change(d)
			d.Advance(d.now)
			require.Equal(t, c.valid, d.Valid())
		})
	}
}

// TestReaperNeedsAcknowledgement checks that a daemon that no other has acknowledged never
// removes the object of an unresponsive daemon.
func TestReaperNeedsAcknowledgement(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		w := &world{slots: 1, objects: map[string]object.Object{}, platformUp: true}
		w.put("a", &object.Daemon{Incarnation: "i"})
		w.put("b", &object.Daemon{})
		d := &daemon{name: "a", w: w, live: []string{"a"}, dealer: NewDealer("a", "i")}
		d.dealer.SetDaemons(w.revision, w.sorted())
		if acknowledged {
			d.dealer.Heartbeat("b", step.Heartbeat{Applied: w.revision})
		}
		d.reaper = NewReaper("a", d.dealer)
		for ; w.now < 2*(DeadTimeout+HoldOffDelay); w.now += time.Second {
			d.reap()
		}
		_, exists := w.objects["b"]
		require.Equal(t, !acknowledged, exists)
	}
}
