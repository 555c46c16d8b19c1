package process

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/config"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/cutter"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/service"
)

var (
	configChanges = flag.Int("config-changes", 2, "changes of configuration in each situation")
	configDaemons = flag.Int("config-daemons", 5, "daemons that follow the configuration")
)

const (
	// inForceBound is how long an accepted change may take to be in force everywhere.
	inForceBound = 15 * time.Second
	// statusEvery is the time between two looks at a daemon's revision.
	statusEvery = 5 * time.Millisecond
	// freezeTime exceeds the silence bound of the links.
	freezeTime = 3 * time.Second
)

// productionTimes gives a daemon the default times in place of the tests' short ones.
func productionTimes(address string) func(*config.Settings) {
	return func(s *config.Settings) {
		d := config.Default()
		d.Platform.Address = "http://" + address
		s.Platform, s.Lease = d.Platform, d.Lease
		s.Peers.Heartbeat, s.Peers.Silence = d.Peers.Heartbeat, d.Peers.Silence
	}
}

// spread is how long one change took on each daemon.
type spread []time.Duration

// observe waits until a condition holds at each daemon.
func observe(daemons []*daemon, since time.Time, holds func(operatorapi.Status) bool) spread {
	times := make(spread, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() {
			for times[i] == 0 {
				s, err := d.status()
				if passed := time.Since(since); passed > patience || (err == nil && holds(s)) {
					times[i] = passed
				}
				time.Sleep(statusEvery)
			}
		})
	}
	wg.Wait()
	return times
}

// follow waits until all daemons have a revision in force.
func follow(daemons []*daemon, revision uint64, since time.Time) spread {
	return observe(daemons, since, func(s operatorapi.Status) bool { return s.Applied >= object.Version(revision) })
}

// configCluster is a cluster whose last daemon reaches the platform through a relay.
type configCluster struct {
	*cluster
	relay   *stub
	control string // address of the relay's control interface
	last    *daemon
	drawn   int
}

func newConfigCluster(t *testing.T) *configCluster {
	t.Helper()
	c := &configCluster{cluster: newCluster(t)}
	c.relay = startStub(t, "relay", "cutter", "--to", c.platform.address)
	c.control = c.relay.line()
	for range *configDaemons - 1 {
		c.addDaemon("a", productionTimes(c.platform.address))
	}
	c.last = c.addDaemon("a", productionTimes(c.relay.address))
	c.waitServing(0)
	return c
}

func (c *configCluster) cut(mode cutter.Mode) {
	send(c.t, "POST", c.control, cutter.PathCut, cutter.Cut{Existing: mode, New: mode})
}

// change writes an object and returns its revision.
func (c *configCluster) change() uint64 {
	c.drawn++
	return c.put(object.KindDataCentre, "a", &object.DataCentre{Reason: fmt.Sprint(c.drawn)})
}

// repeat measures changes in one situation and checks the bound.
func (c *configCluster) repeat(situation string, measure func() spread) {
	c.t.Helper()
	var all, slowest spread
	for range *configChanges {
		times := measure()
		all = append(all, times...)
		slowest = append(slowest, slices.Max(times))
	}
	slices.Sort(all)
	slices.Sort(slowest)
	c.t.Logf("%-34s changes %d, a daemon: median %v; everywhere: median %v, worst %v", situation, *configChanges,
		all[len(all)/2].Round(time.Millisecond), slowest[len(slowest)/2].Round(time.Millisecond), slowest[len(slowest)-1].Round(time.Millisecond))
	require.Less(c.t, slowest[len(slowest)-1], inForceBound, situation)
}

// TestConfigurationInForceEverywhere accepts changes in each situation and measures
// until every daemon has them in force.
func TestConfigurationInForceEverywhere(t *testing.T) {
	c := newConfigCluster(t)
	all := func() spread { return follow(c.daemons, c.change(), time.Now()) }
	c.repeat("usual", all)

	for _, mode := range []cutter.Mode{cutter.Swallow, cutter.Reset} {
		c.cut(mode)
		c.repeat("one cut from the platform, "+string(mode), all)
	}
	c.cut(cutter.Reset) // ends what was swallowed
	c.cut(cutter.Pass)

	c.faults(platform.Faults{SlowMillis: 1000})
	c.repeat("platform slow by 1 s", all)
	c.faults(platform.Faults{})

	c.addServices(1, []string{dataCentreOut})
	c.repeat("out, platform down once accepted", c.takeOut)

	early := 0
	c.repeat("one frozen, counted from its waking", func() spread { return c.freeze(&early) })
	t.Logf("the lowest revision of the live daemons had passed the change before the frozen one had it in %d of %d freezes", early, *configChanges)
}

// dataCentreOut is a data centre that holds one target of the service.
const dataCentreOut = "b"

// takeOut accepts a data centre's removal at one daemon, takes the platform down in the
// same moment, and waits until no daemon routes there any more.
func (c *configCluster) takeOut() spread {
	c.put(object.KindDataCentre, dataCentreOut, &object.DataCentre{})
	c.waitServing(1)
	path := operatorapi.PathObjects + string(object.KindDataCentre) + "/" + dataCentreOut
	standing := get[operatorapi.Object](c.t, c.daemons[0].operators, path)
	send(c.t, "PUT", c.daemons[0].operators, fmt.Sprintf("%s?ifVersion=%d", path, standing.Version), &object.DataCentre{Out: true})
	accepted := time.Now()
	c.faults(platform.Faults{Down: platform.DownReset})
	defer c.faults(platform.Faults{})
	return observe(c.daemons, accepted, func(s operatorapi.Status) bool { return !s.Services[0].Serving })
}

// freeze accepts a change while the last daemon is frozen, and counts when the lowest
// revision of the live daemons passes it nevertheless.
func (c *configCluster) freeze(early *int) spread {
	c.last.pause()
	time.Sleep(freezeTime / 2)
	revision := c.change()
	time.Sleep(freezeTime / 2)
	s, err := c.daemons[0].status()
	require.NoError(c.t, err)
	if lowestLive(s) >= object.Version(revision) {
		*early++
	}
	require.False(c.t, operatorapi.AppliedOf(s, object.Version(revision)).Everywhere(),
		"a daemon that is listed but not heard does not count as having the change")
	c.last.wake()
	return follow(c.daemons, revision, time.Now())
}

func lowestLive(s operatorapi.Status) object.Version {
	lowest := s.Applied
	for _, d := range s.Daemons {
		if d.Linked {
			lowest = min(lowest, d.Applied)
		}
	}
	return lowest
}

const (
	// callsAtFrozen is the number of calls that wait at a daemon while it is frozen.
	callsAtFrozen = 20
	// cutOffBound is how long a daemon that nobody reaches may take new work: a watch
	// and its grace, and the silence of its peers.
	cutOffBound = 8 * time.Second
)

// TestWokenDaemonSendsNothingWhereItMayNot takes a data centre out while a daemon is
// frozen and callers wait there. Cut off from the platform too, it can learn of it from
// its peers alone, who have closed their links meanwhile.
func TestWokenDaemonSendsNothingWhereItMayNot(t *testing.T) {
	for _, mode := range []cutter.Mode{cutter.Pass, cutter.Swallow} {
		t.Run("platform "+string(mode), func(t *testing.T) { wakeAfterChange(t, mode) })
	}
}

func wakeAfterChange(t *testing.T, mode cutter.Mode) {
	c := newConfigCluster(t)
	c.putContract()
	c.addServices(2, []string{"a", dataCentreOut})
	c.waitServing(2)
	c.cut(mode)
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	c.last.pause()
	var wg sync.WaitGroup
	results := make([]load.Result, callsAtFrozen)
	for i := range results {
		call := load.Call{Service: serviceName, Method: "GET", Path: fmt.Sprintf("/entries/%d", i)}
		wg.Go(func() { results[i] = caller.Call(context.Background(), c.last.callers, call) })
	}
	time.Sleep(freezeTime / 2)
	c.put(object.KindDataCentre, dataCentreOut, &object.DataCentre{Out: true})
	time.Sleep(freezeTime / 2)
	before := get[service.Stats](t, c.services[1].address, service.PathStats).Runs
	c.last.wake()
	woken := time.Now()
	wg.Wait()
	t.Logf("%d calls answered within %v of its waking", callsAtFrozen, time.Since(woken).Round(time.Millisecond))
	runs := get[service.Stats](t, c.services[1].address, service.PathStats).Runs - before
	require.Zero(t, runs, "runs in the data centre that is out")
	for _, r := range results {
		require.NoError(t, r.Err)
		require.Equal(t, 200, r.Status, "the calls wait for proof and go elsewhere: %s", r.Code)
	}
}

// TestDaemonCutOffFromEverybodyTakesNoWork silences the platform for one daemon and
// all its peers, then brings them back.
func TestDaemonCutOffFromEverybodyTakesNoWork(t *testing.T) {
	c := newConfigCluster(t)
	others := c.daemons[:len(c.daemons)-1]
	began := time.Now()
	c.cut(cutter.Swallow)
	for _, d := range others {
		d.pause()
	}
	until(t, "not ready", func() bool { return !c.last.ready() })
	took := time.Since(began)
	t.Logf("not ready %v after it was cut off", took.Round(time.Millisecond))
	require.Less(t, took, cutOffBound)
	for _, d := range others {
		d.wake()
	}
	until(t, "ready by its peers", c.last.ready)
	for _, d := range others {
		until(t, "the others are ready", d.ready)
	}
}

// TestDaemonStartsInAnOutage gives a new daemon the configuration from its peers.
func TestDaemonStartsInAnOutage(t *testing.T) {
	c := newCluster(t)
	c.addDaemon("a", nil)
	revision := c.put(object.KindDataCentre, "a", &object.DataCentre{Reason: "last before the outage"})
	follow(c.daemons, revision, time.Now())
	c.faults(platform.Faults{Down: platform.DownReset})
	began := time.Now()
	late := c.addDaemon("a", func(s *config.Settings) { s.Peers.Seeds = []string{c.daemons[0].peers} })
	got, err := late.status()
	require.NoError(t, err)
	require.GreaterOrEqual(t, got.Applied, object.Version(revision))
	require.False(t, got.PlatformReachable)
	t.Logf("ready %v after its start", time.Since(began).Round(time.Millisecond))
}
