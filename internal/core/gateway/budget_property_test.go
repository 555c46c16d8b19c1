package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

const (
	budgetWindow = 10 * time.Second
	// maxLearnDelay bounds the time until daemons know of one that has started.
	maxLearnDelay = learnTime - 100*time.Millisecond
)

// budgetWorld is a deployment that counts what arrives at the servers of each service.
type budgetWorld struct {
	worldClock
	t            *testing.T
	draw         *rand.Rand
	daemons      []*budgetDaemon
	handed       *handovers
	requests     map[string][]time.Duration // by service that a route leads to
	repeats      map[string][]time.Duration // arrivals beyond the first of each request, by service
	arrived      map[string]bool            // by the caller's ID
	sent         int
	share, slack float64
	steady       bool                  // no daemon restarts or joins
	modes        map[string]serverMode // by service
}

// serverMode is what the servers of a service do, in percent of the arrivals.
type serverMode struct {
	refuse, fail, breakOff, stall int
}

type budgetDaemon struct {
	name      string
	s         *State
	startedAt time.Duration
	cut       map[string]bool // services out of reach
	unsent    int             // percent of attempts for which no connection can be opened
	attempts  map[step.AttemptID]*budgetAttempt
	weight    int // of the callers' traffic
	flapping  bool
}

type budgetAttempt struct {
	step.Forward
	daemon *budgetDaemon
	to     *budgetDaemon // that it was handed over to
}

func budgetConfig(t *testing.T) *site.Config {
	route := func(name string, kind site.Kind, shares ...site.Share) site.Route {
		return site.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: kind == site.Stream, Public: true, Timeout: 4 * time.Second, MaxTargets: 3, Shares: shares}
	}
	c := &site.Config{
		Version: 1, Teams: map[string]*site.Team{},
		Services: map[string]*site.Service{
			"plain": {Name: "plain"}, "small": {Name: "small"},
			"llm": {Name: "llm", Engine: &site.Engine{
				Slots: 26, StepTime: 6 * time.Millisecond, StepsPerEvent: 7, PromptTokensPerSecond: 50000, MeanAnswerTokens: 180,
				Models: []site.Model{{Name: "m", GroupSize: 1, TimeFactor: 1, Share: 1}},
			}},
		},
		Routes: []site.Route{
			route("once", site.Once, site.Share{Service: "plain", Weight: 1}),
			route("read", site.Repeatable, site.Share{Service: "plain", Weight: 1}),
			route("small", site.Repeatable, site.Share{Service: "small", Weight: 1}),
			route("split", site.Repeatable, site.Share{Service: "plain", Weight: 1}, site.Share{Service: "small", Weight: 1}),
			route("chat", site.Stream, site.Share{Service: "llm", Weight: 1}),
		},
	}
	require.NoError(t, c.Prepare())
	return c
}

func newBudgetWorld(rt *rapid.T, t *testing.T, seed uint64, n int, share, slack float64) *budgetWorld {
	w := &budgetWorld{
		worldClock: worldClock{rt: rt, now: time.Minute}, t: t, draw: rand.New(rand.NewPCG(seed, 1)), handed: newHandovers(),
		requests: make(map[string][]time.Duration), share: share, slack: slack, repeats: make(map[string][]time.Duration), arrived: make(map[string]bool), modes: make(map[string]serverMode),
	}
	for i := range n {
		d := &budgetDaemon{name: fmt.Sprintf("d%d", i), weight: 1}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		w.start(d)
		d.startedAt = 0
	}
	for _, d := range w.daemons {
		w.list(d)
	}
	return w
}

// start starts a daemon, or restarts it. What it had in progress is lost.
func (w *budgetWorld) start(d *budgetDaemon) {
	before := d.attempts
	d.attempts, d.cut, d.startedAt = make(map[step.AttemptID]*budgetAttempt), make(map[string]bool), w.now
	limits := step.GatewaySettings{RetryShare: w.share, RetrySlack: w.slack, RetryWindow: budgetWindow, EngineStall: 5 * time.Second, ShutdownTimeout: 8 * time.Second}
	d.s = New(Settings{Daemon: d.name, Incarnation: fmt.Sprint(w.now), DataCentre: "dc", Cores: 1, Limits: limits})
	w.post(d, limits)
	w.post(d, step.SiteConfig{Revision: 1, Config: budgetConfig(w.t)})
	hosts := step.SiteHosts{Full: true}
	for i := range 4 {
		hosts.Hosts = append(hosts.Hosts, plainHost(fmt.Sprintf("p%d", i)), openHead(fmt.Sprintf("l%d", i)))
		small := plainHost(fmt.Sprintf("s%d", i))
		small.Service = "small"
		hosts.Hosts = append(hosts.Hosts, small)
	}
	w.post(d, hosts)
	for _, other := range w.daemons {
		for _, id := range sortedIDs(other.attempts) {
			if a := other.attempts[id]; a.to == d && len(before) > 0 {
				w.end(a, step.AttemptEnded{Ending: step.EndedBroken}, nil)
			}
		}
	}
	w.list(d)
	for _, other := range w.daemons {
		w.after(time.Duration(w.draw.Int64N(int64(maxLearnDelay))), 0, func() { w.list(other) })
	}
}

func sortedIDs(attempts map[step.AttemptID]*budgetAttempt) []step.AttemptID {
	var ids []step.AttemptID
	for id := range attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// list tells a daemon of all that have started by now.
func (w *budgetWorld) list(d *budgetDaemon) {
	var e step.SiteDaemons
	for _, other := range w.daemons {
		if other.s != nil {
			e.Daemons = append(e.Daemons, step.Peer{Daemon: other.name, Address: other.name + ":1", DataCentre: "dc"})
		}
	}
	if d.s != nil {
		w.post(d, e)
	}
}

func (w *budgetWorld) run(d time.Duration) {
	w.advance(d, func() {
		for _, d := range w.daemons {
			w.post(d, step.Tick{})
		}
	})
}

func (w *budgetWorld) post(d *budgetDaemon, ev step.Event) {
	for _, effect := range d.s.Reduce(step.Time{Mono: w.now - d.startedAt}, ev) {
		switch e := effect.(type) {
		case step.Forward:
			a := &budgetAttempt{Forward: e, daemon: d}
			d.attempts[e.Attempt] = a
			if e.Daemon != "" {
				w.handOver(a)
			} else {
				w.forward(a)
			}
		case step.Cancel:
			if a := d.attempts[e.Attempt]; a != nil {
				w.after(time.Millisecond, 0, func() { w.end(a, step.AttemptEnded{Ending: step.EndedCancelled}, nil) })
			}
		case step.Deliver, step.Answer:
			w.handed.onEffect(effect)
		case step.ProbeHost:
			result, s := step.ProbeAccepted, d.s
			if d.cut[serviceOf(e.Host)] {
				result = step.ProbeRefused
			}
			sent := w.now - d.startedAt
			w.after(time.Millisecond, 0, func() {
				if d.s == s {
					w.post(d, step.HostProbed{Host: e.Host, Result: result, Sent: sent, PathOf: e.PathOf})
				}
			})
		}
	}
}

func serviceOf(host string) string {
	return map[byte]string{'p': "plain", 's': "small", 'l': "llm"}[host[0]]
}

// end ends an attempt, unless it has ended or its daemon has restarted.
func (w *budgetWorld) end(a *budgetAttempt, e step.AttemptEnded, result *step.HandoverResult) {
	if a.daemon.attempts[a.Attempt] != a {
		return
	}
	delete(a.daemon.attempts, a.Attempt)
	if a.Daemon == "" {
		w.handed.onEnded(a.ID, e.Ending)
	}
	e.ID, e.Attempt = a.ID, a.Attempt
	w.post(a.daemon, step.ForwardEnded{AttemptEnded: e, Handover: result})
}

func (w *budgetWorld) forward(a *budgetAttempt) {
	if a.daemon.cut[serviceOf(a.Host)] || w.draw.IntN(100) < a.daemon.unsent {
		w.after(time.Millisecond, 0, func() { w.end(a, step.AttemptEnded{Ending: step.EndedUnsent}, nil) })
		return
	}
	w.after(time.Millisecond, 0, func() { w.arrive(a) })
}

// arrive lets a server take an attempt.
func (w *budgetWorld) arrive(a *budgetAttempt) {
	if a.daemon.attempts[a.Attempt] != a {
		return
	}
	service, id := serviceOf(a.Host), w.handed.calls[a.ID].CallerID
	if w.arrived[id] {
		w.repeats[service] = append(w.repeats[service], w.now)
	}
	w.arrived[id] = true
	mode, n := w.modes[service], w.draw.IntN(100)
	ended := step.AttemptEnded{Ending: step.EndedComplete, Status: 200}
	began := a.Stream
	switch {
	case n < mode.refuse:
		ended, began = step.AttemptEnded{Ending: step.EndedRefused, Status: 503}, false
	case n < mode.refuse+mode.fail:
		ended, began = step.AttemptEnded{Ending: step.EndedError, Status: 500}, false
	case n < mode.refuse+mode.fail+mode.breakOff:
		ended = step.AttemptEnded{Ending: step.EndedBroken}
		if began {
			ended.Delivered = 1 + w.draw.IntN(5)
		}
	case n < mode.refuse+mode.fail+mode.breakOff+mode.stall && a.FirstByteTimeout > 0:
		w.after(300*time.Millisecond, 0, func() {
			if a.daemon.attempts[a.Attempt] == a {
				w.post(a.daemon, step.AnswerStalled{ID: a.ID, Attempt: a.Attempt, TargetSilence: 300 * time.Millisecond})
			}
		})
		w.after(2*time.Second, 0, func() { w.end(a, step.AttemptEnded{Ending: step.EndedTimeout}, nil) })
		return
	}
	runTime := time.Duration(10+w.draw.IntN(200)) * time.Millisecond
	if ended.Ending == step.EndedRefused {
		runTime = time.Millisecond
	}
	if began {
		w.after(5*time.Millisecond, 0, func() {
			if a.daemon.attempts[a.Attempt] == a {
				w.post(a.daemon, step.AnswerBegan{ID: a.ID, Attempt: a.Attempt, NewConnection: true})
			}
		})
	}
	w.after(runTime, 0, func() { w.end(a, ended, nil) })
}

func (w *budgetWorld) handOver(a *budgetAttempt) {
	a.to = w.daemons[slices.IndexFunc(w.daemons, func(d *budgetDaemon) bool { return d.name == a.Daemon })]
	taker := a.to.s
	call := w.handed.begin(a.Forward, func(ended step.Event) {
		w.after(time.Millisecond, 0, func() {
			e := ended.(step.ForwardEnded)
			w.end(a, e.AttemptEnded, e.Handover)
		})
	})
	w.after(time.Millisecond, 0, func() {
		if a.to.s != taker {
			w.end(a, step.AttemptEnded{Ending: step.EndedBroken}, nil)
			return
		}
		w.post(a.to, call)
	})
}

// send lets a caller send a request to a daemon chosen by the weights of the traffic.
func (w *budgetWorld) send(path string) {
	total := 0
	for _, d := range w.daemons {
		total += d.weight
	}
	at := w.draw.IntN(total)
	d := w.daemons[0]
	for _, d = range w.daemons {
		if at < d.weight {
			break
		}
		at -= d.weight
	}
	w.sent++
	id := step.RequestID(fmt.Sprintf("r%d", w.sent))
	call := step.Call{ID: id, CallerID: string(id), Method: "POST", Host: "h", Path: "/" + path + "/1", BodyHash: uint64(w.sent)}
	if path == "chat" {
		call.Model, call.PromptTokens = "m", 100
	}
	w.handed.calls[id] = call
	for _, service := range map[string][]string{"once": {"plain"}, "read": {"plain"}, "small": {"small"}, "split": {"plain", "small"}, "chat": {"llm"}}[path] {
		w.requests[service] = append(w.requests[service], w.now)
	}
	w.post(d, call)
}

// check checks the bound in each window that begins with a repeat.
func (w *budgetWorld) check() {
	for service, repeats := range w.repeats {
		for i, from := range repeats {
			n := countWithin(repeats[i:], from, budgetWindow)
			requests := max(countWithin(w.requests[service], from-budgetWindow, budgetWindow), countWithin(w.requests[service], from-budgetWindow/2, budgetWindow), countWithin(w.requests[service], from, budgetWindow))
			if w.share == 0 && w.steady {
				// Without margin, but for the time between a decision and the arrival.
				require.LessOrEqual(w.rt, float64(countWithin(repeats[i:], from, budgetWindow-time.Second)), budgetShare*w.slack, "%s, from %v", service, from)
			}
			require.LessOrEqual(w.rt, float64(n), w.share*float64(requests)+w.slack, "%s, %d requests, from %v", service, requests, from)
		}
	}
}

// TestArrivalsAtEachServiceStayWithinBudget counts arrivals at the servers while they refuse, fail, break off and stall,
// daemons restart, join and are cut off from services, and traffic moves between daemons.
func TestArrivalsAtEachServiceStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(rt, "daemons")
		slack := rapid.SampledFrom([]float64{0, 6, 1.1 * float64(n) / budgetShare}).Draw(rt, "slack")
		w := newBudgetWorld(rt, t, rapid.Uint64().Draw(rt, "seed"), n, rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "share"), slack)
		services := []string{"plain", "small", "llm"}
		w.steady = rapid.Bool().Draw(rt, "steady")
		modes := []serverMode{{}, {refuse: 100}, {refuse: 60}, {fail: 80}, {breakOff: 60}, {stall: 40}, {refuse: 45, fail: 30, breakOff: 10}, {refuse: 60, fail: 40}}
		for range rapid.IntRange(2, 6).Draw(rt, "phases") {
			for _, service := range services {
				w.modes[service] = rapid.SampledFrom(modes).Draw(rt, service)
				for _, d := range w.daemons {
					d.cut[service] = rapid.IntRange(0, 3).Draw(rt, "cut") == 0
				}
			}
			for _, d := range w.daemons {
				d.weight = rapid.SampledFrom([]int{0, 1, 1, 10}).Draw(rt, "weight")
				d.flapping = rapid.IntRange(0, 3).Draw(rt, "flaps") == 0
				d.unsent = rapid.SampledFrom([]int{0, 0, 30}).Draw(rt, "unsent")
				if !w.steady && rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
					w.start(d)
				}
			}
			w.daemons[0].weight++
			if !w.steady && len(w.daemons) < 10 && rapid.IntRange(0, 4).Draw(rt, "joins") == 0 {
				d := &budgetDaemon{name: fmt.Sprintf("d%d", len(w.daemons)), weight: 1}
				w.daemons = append(w.daemons, d)
				w.start(d)
			}
			load := rapid.SampledFrom([]int{1, 3, 20}).Draw(rt, "load")
			paths := []string{"read", "once", "split", "chat", "small"}
			for until := w.now + time.Duration(rapid.IntRange(500, 8000).Draw(rt, "length"))*time.Millisecond; w.now < until; {
				for _, d := range w.daemons {
					if d.flapping && w.draw.IntN(3) == 0 {
						service := services[w.draw.IntN(len(services))]
						d.cut[service] = !d.cut[service]
					}
				}
				for range load {
					w.send(paths[w.draw.IntN(len(paths))])
				}
				w.run(100 * time.Millisecond)
			}
		}
		w.run(3 * time.Second)
		w.check()
	})
}
