package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/site"
)

const (
	// answerGrace is how long after its deadline an undisturbed daemon may still answer a
	// request.
	answerGrace = 500 * time.Millisecond
	// cancelGrace is how long after a caller's disconnect a server may still run its stream.
	cancelGrace = 500 * time.Millisecond
	// drainTimeout is how long after a server announced its drain it may still get requests.
	drainTimeout = 3 * time.Second
	// evacuationTimeout is the same for the servers of an evacuated data centre.
	evacuationTimeout = 5 * time.Second
	// applyTimeout is how long after a configuration change a daemon may still serve the
	// previous configuration.
	applyTimeout = 3 * time.Second
	// regressGrace is how long after a daemon served a configuration it may still answer from
	// an older one, since requests overtake each other.
	regressGrace = 250 * time.Millisecond
)

// Finding is a violation of one of the promises that daemons make to callers and servers.
type Finding struct {
	Promise string
	Detail  string
	// At is when the checker found it, since the start of the run.
	At time.Duration
	// Request is the ID of the request that it is about, if it is about one. Moment is when that
	// request ended, or else when the checker found it.
	Request string `json:",omitempty"`
	Moment  time.Time
}

// checker compares what callers received and servers ran with the promises of the daemons. A
// promise with a time bound is only checked where the timeline shows no disturbance.
type checker struct {
	timeline  *timeline
	startedAt time.Time

	mu             sync.Mutex
	calls          map[string]*call // by request ID
	callCounts     map[string]int   // by kind and status
	findings       []Finding
	reported       map[string]bool      // promise and detail of the findings so far
	drainStartedAt map[string]time.Time // by server
	evacuations    []*evacuation
	routeAddedAt   []time.Time              // when each extra route was configured, by number
	routesServed   map[[2]int][]servedRoute // by daemon and incarnation
	runCount       int                      // runs at servers
	// processStartedAt is when each process started, by daemon and incarnation.
	processStartedAt map[[2]int]time.Time
	freezes          map[int][]time.Time // when each daemon was frozen
	crashers         []*crasher          // so far
	linksCuts        []*linksCut
	truncated        []*call // that no unplanned disturbance excuses; see checkLost
}

// evacuation is a time during which the operators had a data centre evacuated; to is zero
// while it lasts.
type evacuation struct {
	zone     string
	from, to time.Time
}

// servedRoute is an extra route that a daemon served, and when its answer arrived.
type servedRoute struct {
	route int
	at    time.Time
}

func newChecker(t *timeline, startedAt time.Time) *checker {
	return &checker{
		timeline: t, startedAt: startedAt, calls: make(map[string]*call), callCounts: make(map[string]int), reported: make(map[string]bool),
		drainStartedAt: make(map[string]time.Time), routesServed: make(map[[2]int][]servedRoute),
		processStartedAt: make(map[[2]int]time.Time), freezes: make(map[int][]time.Time),
	}
}

// addFinding records a finding, unless there is one with the same promise and text.
func (k *checker) addFinding(promise, format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.addFindingLocked(promise, format, args...)
}

func (k *checker) addFindingLocked(promise, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	if !k.reported[promise+detail] {
		k.reported[promise+detail] = true
		f := Finding{Promise: promise, Detail: detail, At: time.Since(k.startedAt).Round(time.Millisecond), Moment: time.Now()}
		// A text about one request begins with its ID.
		id, _, _ := strings.Cut(detail, " ")
		if c := k.calls[id]; c != nil {
			f.Request = id
			if !c.EndedAt.IsZero() {
				f.Moment = c.EndedAt
			}
		}
		k.findings = append(k.findings, f)
	}
}

func (k *checker) recordDrain(server string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drainStartedAt[server] = at
}

// recordEvacuation records the start of an evacuation and returns the function that records
// its end.
func (k *checker) recordEvacuation(zone string, at time.Time) func(time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := &evacuation{zone: zone, from: at}
	k.evacuations = append(k.evacuations, o)
	return func(at time.Time) {
		k.mu.Lock()
		defer k.mu.Unlock()
		o.to = at
	}
}

// recordConfiguration records that a configuration with this number of extra routes was
// written.
func (k *checker) recordConfiguration(routes int, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.routeAddedAt) < routes {
		k.routeAddedAt = append(k.routeAddedAt, at)
	}
}

// newestRoute returns the number of the newest extra route.
func (k *checker) newestRoute() (route int, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.routeAddedAt) - 1, len(k.routeAddedAt) > 0
}

// recordSent records a request. The caller records it before it sends it, so that no server
// runs a request that the checker does not know.
func (k *checker) recordSent(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[c.ID] = c
}

// checkOutcome checks the answer that a caller received.
func (k *checker) checkOutcome(c *call, o outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.outcome = o
	a := c.Answer
	switch {
	case !c.DisconnectedAt.IsZero():
		k.callCounts[string(c.Kind)+" left"]++
	case !a.Complete:
		k.callCounts[string(c.Kind)+" cut"]++
		k.recordTruncated(c)
	default:
		k.callCounts[fmt.Sprintf("%s %d", c.Kind, a.Status)]++
		k.checkCompleteAnswer(c)
	}
	if c.Kind == chat && a.Status == http.StatusOK && !strings.HasPrefix(site.EventsOf(c.ID), a.Body) {
		k.addFindingLocked("order", "%s got events of another request or in the wrong order: %q", c.ID, a.Body)
	}
	waited := c.EndedAt.Sub(c.SentAt)
	if waited > requestDeadline+answerGrace && k.timeline.undisturbed(c.Daemon, c.SentAt, c.EndedAt, false) {
		k.addFindingLocked("deadline", "%s waited %s at daemon %d, past its deadline of %s", c.ID, waited, c.Daemon, requestDeadline)
	}
}

// checkCompleteAnswer checks the status, stamp and body of a complete answer.
func (k *checker) checkCompleteAnswer(c *call) {
	a := c.Answer
	stamp := a.Header.Get("X-Server-Stamp")
	switch {
	case a.Status == http.StatusOK:
		server, own := strings.CutSuffix(stamp, "."+c.ID)
		if want := fmt.Sprintf("%s ran %s for %s", server, c.ID, site.Team); !own || c.Kind != chat && a.Body != want {
			k.addFindingLocked("own answer", "%s got %q with stamp %q", c.ID, a.Body, stamp)
		}
		if c.Kind == chat && a.Body != site.EventsOf(c.ID) {
			k.addFindingLocked("own answer", "%s ended as complete after %q", c.ID, a.Body)
		}
		if c.Kind == probe && c.Incarnation > 0 {
			at := [2]int{c.Daemon, c.Incarnation}
			k.routesServed[at] = append(k.routesServed[at], servedRoute{c.Route, c.EndedAt})
		}
	case stamp != "":
		if a.Status != http.StatusInternalServerError {
			k.addFindingLocked("own answer", "%s got the server's stamp with status %d", c.ID, a.Status)
		}
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		k.checkQuarantined(c)
		if a.Header.Get("Retry-After") == "" {
			k.addFindingLocked("refusal", "%s was refused without a Retry-After header", c.ID)
		}
	case c.Kind == probe && a.Status == http.StatusNotFound:
		k.checkUnknownRoute(c)
	case a.Status < 500 && a.Status != http.StatusRequestTimeout:
		k.addFindingLocked("denied", "%s was answered %d: %s", c.ID, a.Status, a.Body)
	}
}

// checkUnknownRoute checks a probe that its daemon answered with 404. The daemon must know a
// route applyTimeout after it was configured, and must not return to an older configuration.
func (k *checker) checkUnknownRoute(c *call) {
	addedAt := k.routeAddedAt[c.Route]
	if c.SentAt.After(addedAt.Add(applyTimeout)) && k.timeline.undisturbed(c.Daemon, addedAt, c.EndedAt, false) {
		k.addFindingLocked("configuration", "daemon %d does not know route %d, %s after it was configured", c.Daemon, c.Route, c.SentAt.Sub(addedAt))
	}
	for _, s := range k.routesServed[[2]int{c.Daemon, c.Incarnation}] {
		if c.Incarnation > 0 && s.route >= c.Route && c.SentAt.After(s.at.Add(regressGrace)) {
			k.addFindingLocked("configuration", "daemon %d returned to an older configuration: it served route %d and later did not know route %d", c.Daemon, s.route, c.Route)
		}
	}
}

// checkRuns checks all runs at servers so far, and adds the violations that the site itself
// found.
func (k *checker) checkRuns(runs []site.Run, violations []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runCount = len(runs)
	for _, b := range violations {
		k.addFindingLocked("groups", "%s", b)
	}
	byCall := make(map[string][]site.Run)
	for _, run := range runs {
		c := k.calls[run.Request]
		if c == nil || run.Method != http.MethodPost || run.Path != c.Path || run.Body != c.Body || run.Team != site.Team ||
			(c.Kind == chat) != (run.Service == site.LLM) {
			k.addFindingLocked("asked", "%s ran %s %s %q for %s as %q, which nobody sent", run.Server, run.Method, run.Path, run.Body, run.Team, run.Request)
			continue
		}
		byCall[run.Request] = append(byCall[run.Request], run)
		k.checkPlacement(c, run)
	}
	for id, ran := range byCall {
		k.checkRunsOfCall(k.calls[id], ran)
	}
}

// checkPlacement checks that the server of a run was neither drained nor evacuated.
func (k *checker) checkPlacement(c *call, run site.Run) {
	undisturbed := func(from time.Time) bool {
		return k.timeline.undisturbed(c.Daemon, from, run.StartedAt, false) && !k.timeline.disturbed(scopeServers, c.SentAt, run.StartedAt, false)
	}
	if from, ok := k.drainStartedAt[run.Server]; ok && run.StartedAt.After(from.Add(drainTimeout)) && (undisturbed(from) || k.knew(c, from, drainTimeout)) {
		k.addFindingLocked("drain", "%s ran at %s, %s after that server began to drain", c.ID, run.Server, run.StartedAt.Sub(from))
	}
	for _, o := range k.evacuations {
		if o.zone == run.Zone && run.StartedAt.After(o.from.Add(evacuationTimeout)) && (o.to.IsZero() || run.StartedAt.Before(o.to)) &&
			(undisturbed(o.from) || k.knew(c, o.from, evacuationTimeout)) {
			k.addFindingLocked("evacuation", "%s ran in %s, %s after that data centre was evacuated", c.ID, run.Zone, run.StartedAt.Sub(o.from))
		}
	}
}

// knew reports whether the process that took a request must have known something before that
// was written at from, since it was not disturbed for as long as it may take to know it. No
// later disturbance excuses that it acts as if it did not know it any more.
func (k *checker) knew(c *call, from time.Time, within time.Duration) bool {
	startedAt, ok := k.processStartedAt[[2]int{c.Daemon, c.Incarnation}]
	return ok && startedAt.Before(from) && c.SentAt.After(from.Add(within)) && k.timeline.undisturbed(c.Daemon, from, from.Add(within), false)
}

// recordStart records the start of a daemon's process.
func (k *checker) recordStart(daemon, incarnation int, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.processStartedAt[[2]int{daemon, incarnation}] = at
}

// checkRunsOfCall checks all runs of one request: that there are not too many, that a refused
// write has none, and that a stream ends once its caller has disconnected.
func (k *checker) checkRunsOfCall(c *call, runs []site.Run) {
	at := make([]string, len(runs))
	for i, run := range runs {
		at[i] = run.Server
	}
	if c.Kind == write && len(runs) > 1 {
		k.addFindingLocked("once", "%s ran at %v", c.ID, at)
	}
	if len(runs) > site.MaxTargets {
		k.addFindingLocked("targets", "%s ran at %v", c.ID, at)
	}
	refused := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if c.Kind == write && slices.Contains(refused, c.Answer.Status) {
		k.addFindingLocked("refusal", "%s was answered %d and ran at %v", c.ID, c.Answer.Status, at)
	}
	if c.DisconnectedAt.IsZero() || c.Kind != chat {
		return
	}
	last := runs[len(runs)-1]
	until := c.DisconnectedAt.Add(cancelGrace)
	if last.EndedAt.IsZero() && time.Now().After(until.Add(time.Second)) || last.EndedAt.After(until) {
		if k.timeline.undisturbed(c.Daemon, c.SentAt, until, false) && !k.timeline.disturbed(scopeServers, c.SentAt, until, false) {
			k.addFindingLocked("gone", "%s still ran at %s, %s after its caller disconnected", c.ID, last.Server, cancelGrace)
		}
	}
}

// Report is the result of a run. It is written as JSON under the field names.
type Report struct {
	Seed uint64
	// Faults are the numbers of disturbances by kind, Calls the numbers of requests by kind
	// and status, and Runs the number of runs at servers.
	Faults map[Kind]int
	Calls  map[string]int
	Runs   int
	// Replacements is the number of daemons that were replaced by those of another build.
	Replacements int
	Findings     []Finding
	// Logs is the folder with the daemons' logs; empty if there are no findings.
	Logs string `json:",omitempty"`
}

func (k *checker) report(seed uint64, faults []Fault) Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := Report{Seed: seed, Faults: make(map[Kind]int), Calls: k.callCounts, Runs: k.runCount, Findings: k.findings}
	for _, f := range faults {
		r.Faults[f.Kind]++
	}
	return r
}
