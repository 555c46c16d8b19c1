package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

func TestDrawRepeatsAndOverlaps(t *testing.T) {
	const length = time.Minute
	overlaps, planned := 0, 0
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		faults := Draw(seed, length, nil)
		require.Equal(t, faults, Draw(seed, length, nil))
		for i, f := range faults {
			require.Less(t, f.At, length)
			require.Positive(t, f.Duration)
			seen[f.Kind] = true
			if i > 0 && f.At < faults[i-1].At+faults[i-1].Duration {
				overlaps++
			}
			if f.Kind == ConfigChange {
				planned++
			}
		}
	}
	require.Len(t, seen, len(Kinds()), "all kinds are drawn")
	require.Greater(t, overlaps, 100)
	require.Positive(t, planned)
	for _, f := range Draw(3, length, []Kind{StoreDown}) {
		require.Equal(t, StoreDown, f.Kind)
	}
	require.Error(t, Check([]Kind{"nonsense"}))
}

// TestSeedsKeepTheirDisturbances guards against a new kind that changes what the seeds of earlier findings
// draw: without the series of planned work and the disturbed orders they have what the other kinds alone draw.
func TestSeedsKeepTheirDisturbances(t *testing.T) {
	later := []struct {
		kinds       []Kind
		drawnFor    func(seed uint64) bool
		seedsOf20   int
		seedsWithIt int
	}{
		{kinds: []Kind{PlannedSeries}, drawnFor: func(seed uint64) bool { return seed%plannedSeriesSeeds == plannedSeriesSeeds-1 }, seedsOf20: 4},
		{kinds: kindsOf(controlCatalogue), drawnFor: func(seed uint64) bool { return seed%controlSeeds == 0 }, seedsOf20: 7},
	}
	for seed := range uint64(20) {
		var others []Kind
		for _, k := range Kinds() {
			isCrash := slices.Contains([]Kind{CrashingRequest, CrashingPart, CrashingBurst}, k)
			if !isCrash || seed%2 == 1 {
				others = append(others, k)
			}
		}
		rest := Draw(seed, time.Minute, nil)
		for i, l := range later {
			isLater := func(k Kind) bool { return slices.Contains(l.kinds, k) }
			others = slices.DeleteFunc(others, isLater)
			before := len(rest)
			rest = slices.DeleteFunc(rest, func(f Fault) bool { return isLater(f.Kind) })
			if len(rest) < before {
				later[i].seedsWithIt++
				require.True(t, l.drawnFor(seed))
			}
		}
		require.Equal(t, Draw(seed, time.Minute, others), rest)
	}
	for _, l := range later {
		require.Equal(t, l.seedsOf20, l.seedsWithIt, "%v", l.kinds)
	}
}

func kindsOf(specs []kindSpec) []Kind {
	var kinds []Kind
	for _, s := range specs {
		kinds = append(kinds, s.kind)
	}
	return kinds
}

// checkerTest is a checker for one request to an undisturbed daemon. The test cases change one
// part of its outcome or its runs.
type checkerTest struct {
	*checker
	now time.Time
}

func newCheckerTest() *checkerTest {
	now := time.Now().Add(-time.Minute)
	return &checkerTest{newChecker(&timeline{}, now), now}
}

func (h *checkerTest) request(kind callKind, change func(*call)) *call {
	c := &call{ID: "r1", Kind: kind, Path: "/" + string(kind) + "/r1", Body: "b", SentAt: h.now}
	c.Incarnation, c.EndedAt = 1, h.now.Add(100*time.Millisecond)
	c.Answer = load.FrontedAnswer{Status: http.StatusOK, Complete: true, Body: "s ran r1 for " + site.Team, Header: http.Header{"X-Server-Stamp": {"s.r1"}}}
	if kind == chat {
		c.Answer.Body = site.EventsOf("r1")
	}
	if change != nil {
		change(c)
	}
	h.recordSent(c)
	h.checkOutcome(c, c.outcome)
	return c
}

func (h *checkerTest) ranAt(server string, after time.Duration) site.Run {
	began := h.now.Add(after)
	return site.Run{
		Request: "r1", Server: server, Service: site.Ledger, Zone: "zone-a", Method: http.MethodPost, Path: "/write/r1", Body: "b",
		Team: site.Team, StartedAt: began, EndedAt: began.Add(10 * time.Millisecond),
	}
}

// TestCheckerFindsEachViolation breaks one promise in each case, and expects a finding of that
// promise; the first three cases break none.
func TestCheckerFindsEachViolation(t *testing.T) {
	const second = time.Second
	answer := func(kind callKind, change func(*call)) func(*checkerTest) {
		return func(h *checkerTest) { h.request(kind, change) }
	}
	runs := func(change func(*call), runs ...func(*site.Run)) func(*checkerTest) {
		return func(h *checkerTest) {
			h.request(write, change)
			var all []site.Run
			for _, f := range runs {
				run := h.ranAt("s", 10*time.Millisecond)
				f(&run)
				all = append(all, run)
			}
			h.checkRuns(all, nil)
		}
	}
	own := func(*site.Run) {}
	for name, c := range map[string]struct {
		promise string
		make    func(*checkerTest)
	}{
		"no violation":           {"", answer(write, nil)},
		"complete stream":        {"", answer(chat, nil)},
		"one run":                {"", runs(nil, own)},
		"answer of another":      {"own answer", answer(read, func(c *call) { c.Answer.Body = "s ran r2 for " + site.Team })},
		"stamp of another":       {"own answer", answer(read, func(c *call) { c.Answer.Header.Set("X-Server-Stamp", "s.r2") })},
		"other status":           {"own answer", answer(read, func(c *call) { c.Answer.Status = 418 })},
		"short stream":           {"own answer", answer(chat, func(c *call) { c.Answer.Body = c.Answer.Body[:len(c.Answer.Body)/2] })},
		"gap in a broken stream": {"order", answer(chat, func(c *call) { c.Answer.Body, c.Answer.Complete = "id: 2\n", false })},
		"refused without a time": {"refusal", answer(read, func(c *call) { c.Answer = load.FrontedAnswer{Status: 503, Complete: true} })},
		"proper request denied":  {"denied", answer(read, func(c *call) { c.Answer = load.FrontedAnswer{Status: 404, Complete: true} })},
		"cut off": {"lost", func(h *checkerTest) {
			h.request(write, func(c *call) { c.Answer, c.EndedAt = load.FrontedAnswer{}, c.SentAt.Add(second) })
			h.checkLost(nil, nil)
		}},
		"past its deadline": {"deadline", answer(read, func(c *call) { c.EndedAt = c.SentAt.Add(requestDeadline + second) })},
		"run twice":         {"once", runs(nil, own, own)},
		"refused and run": {"refusal", runs(func(c *call) {
			c.Answer = load.FrontedAnswer{Status: 503, Complete: true, Header: http.Header{"Retry-After": {"1"}}}
		}, own)},
		"request that nobody sent": {"asked", runs(nil, func(r *site.Run) { r.Request = "r9" })},
		"changed body":             {"asked", runs(nil, func(r *site.Run) { r.Body = "c" })},
		"changed path":             {"asked", runs(nil, func(r *site.Run) { r.Path = "/write/r2" })},
		"forged team":              {"asked", runs(nil, func(r *site.Run) { r.Team = "forged" })},
		"too many targets":         {"targets", runs(nil, own, own, own)},
		"run at a drained server": {"drain", func(h *checkerTest) {
			h.recordDrain("s", h.now)
			runs(nil, func(r *site.Run) { r.StartedAt = h.now.Add(drainTimeout + second) })(h)
		}},
		"run in an evacuated zone": {"evacuation", func(h *checkerTest) {
			h.recordEvacuation("zone-a", h.now)
			runs(nil, func(r *site.Run) { r.StartedAt = h.now.Add(evacuationTimeout + second) })(h)
		}},
		"run after the caller disconnected": {"gone", func(h *checkerTest) {
			c := h.request(chat, func(c *call) { c.DisconnectedAt = c.EndedAt })
			run := h.ranAt("s", 0)
			run.Service, run.Path, run.EndedAt = site.LLM, c.Path, c.DisconnectedAt.Add(second)
			h.checkRuns([]site.Run{run}, nil)
		}},
		"old configuration": {"configuration", func(h *checkerTest) {
			h.recordConfiguration(1, h.now.Add(-applyTimeout-second))
			h.request(probe, func(c *call) { c.Answer = load.FrontedAnswer{Status: 404, Complete: true} })
		}},
		"return to an older configuration": {"configuration", func(h *checkerTest) {
			h.recordConfiguration(2, h.now)
			h.request(probe, func(c *call) { c.Route = 1 })
			h.request(probe, func(c *call) {
				c.SentAt, c.Answer = c.EndedAt.Add(second), load.FrontedAnswer{Status: 404, Complete: true}
			})
		}},
		"violation in a group": {"groups", func(h *checkerTest) { h.checkRuns(nil, []string{"x joins y"}) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCheckerTest()
			c.make(h)
			if c.promise == "" {
				require.Empty(t, h.findings)
				return
			}
			require.NotEmpty(t, h.findings)
			require.Contains(t, promises(h.findings), c.promise)
		})
	}
}

func promises(findings []Finding) []string {
	var names []string
	for _, f := range findings {
		names = append(names, f.Promise)
	}
	return names
}

// TestCheckerExcusesDisturbedDaemon checks that a lost and a late answer of a disturbed daemon
// are no findings.
func TestCheckerExcusesDisturbedDaemon(t *testing.T) {
	h := newCheckerTest()
	h.timeline.disturbances = append(h.timeline.disturbances, &disturbance{scope: 0, from: h.now.Add(-time.Second), to: h.now})
	h.request(write, func(c *call) { c.Answer = load.FrontedAnswer{} })
	h.request(read, func(c *call) { c.EndedAt = c.SentAt.Add(requestDeadline + time.Second) })
	h.checkLost([]site.Run{h.ranAt("s", 0)}, nil)
	require.Empty(t, h.findings)
}
