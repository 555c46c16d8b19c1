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
	// inForceTimeout is the longest time that an accepted change may take until it is in
	// force on every daemon. The test fails above it.
	inForceTimeout = 15 * time.Second
	// statusInterval is the time between two reads of a daemon's status.
	statusInterval = 5 * time.Millisecond
	// pauseDuration is how long a daemon is paused. It exceeds the time after which peers
	// close a link to an unresponsive daemon.
	pauseDuration = 3 * time.Second
)

// productionTimings restores a daemon's default timeouts and intervals, which
// prepareDaemon shortens, and sets the platform's address.
func productionTimings(address string) func(*config.Settings) {
	return func(s *config.Settings) {
		d := config.Default()
		d.Platform.Address = "http://" + address
		s.Platform, s.Lease = d.Platform, d.Lease
		s.Peers.Heartbeat, s.Peers.Silence = d.Peers.Heartbeat, d.Peers.Silence
	}
}

// applyTimes holds, for each daemon, how long one change took until it was in force there.
type applyTimes []time.Duration

// waitStatus waits until a condition holds for each daemon's status. It returns the time
// from since until then, or until waitTimeout has passed.
func waitStatus(daemons []*daemon, since time.Time, holds func(operatorapi.Status) bool) applyTimes {
	times := make(applyTimes, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() {
			for times[i] == 0 {
				s, err := d.status()
				if passed := time.Since(since); passed > waitTimeout || (err == nil && holds(s)) {
					times[i] = passed
				}
				time.Sleep(statusInterval)
			}
		})
	}
	wg.Wait()
	return times
}

// waitApplied waits until all daemons have a revision in force.
func waitApplied(daemons []*daemon, revision uint64, since time.Time) applyTimes {
	return waitStatus(daemons, since, func(s operatorapi.Status) bool { return s.Applied >= object.Version(revision) })
}

// configCluster is a cluster whose daemons use the default timings and whose last daemon
// reaches the platform through a relay, so that a test can cut it off.
type configCluster struct {
	*cluster
	relay         *stub
	relayControl  string  // address of the relay's control interface
	relayedDaemon *daemon // the daemon behind the relay
	changeCount   int     // number of configuration changes written so far
}

func newConfigCluster(t *testing.T) *configCluster {
	t.Helper()
	c := &configCluster{cluster: newCluster(t)}
	c.relay = startStub(t, "relay", "cutter", "--to", c.platform.address)
	c.relayControl = c.relay.readLine()
	for range *configDaemons - 1 {
		c.addDaemon("a", productionTimings(c.platform.address))
	}
	c.relayedDaemon = c.addDaemon("a", productionTimings(c.relay.address))
	c.waitServing(0)
	return c
}

// cut sets how the relay treats existing and new connections to the platform.
func (c *configCluster) cut(mode cutter.Mode) {
	sendJSON(c.t, "POST", c.relayControl, cutter.PathCut, cutter.Cut{Existing: mode, New: mode})
}

// change writes an object and returns its revision.
func (c *configCluster) change() uint64 {
	c.changeCount++
	return c.put(object.KindDataCentre, "a", &object.DataCentre{Reason: fmt.Sprint(c.changeCount)})
}

// measureChanges measures configChanges changes in one situation, logs the times, and
// fails the test if one of them took inForceTimeout or longer.
func (c *configCluster) measureChanges(situation string, measure func() applyTimes) {
	c.t.Helper()
	var all, slowest applyTimes
	for range *configChanges {
		times := measure()
		all = append(all, times...)
		slowest = append(slowest, slices.Max(times))
	}
	slices.Sort(all)
	slices.Sort(slowest)
	c.t.Logf("%-34s changes %d, a daemon: median %v; everywhere: median %v, worst %v", situation, *configChanges,
		all[len(all)/2].Round(time.Millisecond), slowest[len(slowest)/2].Round(time.Millisecond), slowest[len(slowest)-1].Round(time.Millisecond))
	require.Less(c.t, slowest[len(slowest)-1], inForceTimeout, situation)
}

// TestConfigurationInForceEverywhere measures the time from the platform's acceptance of a
// change until every daemon has it in force: in normal operation, with one daemon cut off
// from the platform, with a slow platform, with a platform that goes down right after the
// acceptance, and with a paused daemon, counted from its resumption.
func TestConfigurationInForceEverywhere(t *testing.T) {
	c := newConfigCluster(t)
	all := func() applyTimes { return waitApplied(c.daemons, c.change(), time.Now()) }
	c.measureChanges("usual", all)

	for _, mode := range []cutter.Mode{cutter.Swallow, cutter.Reset} {
		c.cut(mode)
		c.measureChanges("one cut from the platform, "+string(mode), all)
	}
	c.cut(cutter.Reset) // closes the connections whose bytes were swallowed
	c.cut(cutter.Pass)

	c.setPlatformFaults(platform.Faults{SlowMillis: 1000})
	c.measureChanges("platform slow by 1 s", all)
	c.setPlatformFaults(platform.Faults{})

	c.addServices(1, []string{removedDataCentre})
	c.measureChanges("out, platform down once accepted", c.takeDataCentreOut)

	early := 0
	c.measureChanges("one daemon paused, counted from its resumption", func() applyTimes { return c.pauseDuringChange(&early) })
	t.Logf("the lowest revision of the linked daemons had reached the change while the daemon was paused in %d of %d pauses", early, *configChanges)
}

// removedDataCentre is the data centre that the tests take out. It holds one target of the
// service.
const removedDataCentre = "b"

// takeDataCentreOut has one daemon accept that removedDataCentre is taken out, takes the
// platform down right after, and waits until no daemon routes to the data centre.
func (c *configCluster) takeDataCentreOut() applyTimes {
	c.put(object.KindDataCentre, removedDataCentre, &object.DataCentre{})
	c.waitServing(1)
	path := operatorapi.PathObjects + string(object.KindDataCentre) + "/" + removedDataCentre
	current := getJSON[operatorapi.Object](c.t, c.daemons[0].operatorsAddress, path)
	sendJSON(c.t, "PUT", c.daemons[0].operatorsAddress, fmt.Sprintf("%s?ifVersion=%d", path, current.Version), &object.DataCentre{Out: true})
	accepted := time.Now()
	c.setPlatformFaults(platform.Faults{Down: platform.DownReset})
	defer c.setPlatformFaults(platform.Faults{})
	return waitStatus(c.daemons, accepted, func(s operatorapi.Status) bool { return !s.Services[0].Serving })
}

// pauseDuringChange writes a change while the last daemon is paused, and waits until every
// daemon has it in force after that daemon resumes. It increments early if the lowest
// revision of the linked daemons reached the change while the daemon was still paused.
func (c *configCluster) pauseDuringChange(early *int) applyTimes {
	c.relayedDaemon.pause()
	time.Sleep(pauseDuration / 2)
	revision := c.change()
	time.Sleep(pauseDuration / 2)
	s, err := c.daemons[0].status()
	require.NoError(c.t, err)
	if lowestLinkedRevision(s) >= object.Version(revision) {
		*early++
	}
	require.False(c.t, operatorapi.AppliedOf(s, object.Version(revision)).Everywhere(),
		"an unresponsive daemon must not count as having the change in force")
	c.relayedDaemon.resume()
	return waitApplied(c.daemons, revision, time.Now())
}

// lowestLinkedRevision returns the lowest revision that the daemon and the daemons linked
// to it have in force.
func lowestLinkedRevision(s operatorapi.Status) object.Version {
	lowest := s.Applied
	for _, d := range s.Daemons {
		if d.Linked {
			lowest = min(lowest, d.Applied)
		}
	}
	return lowest
}

const (
	// callsToPausedDaemon is the number of calls that wait at a daemon while it is paused.
	callsToPausedDaemon = 20
	// cutOffTimeout is how long a daemon that reaches neither the platform nor a peer may
	// accept new work: the duration of a watch and its grace, and the time after which it
	// considers its peers unresponsive. The test fails if it is ready for longer.
	cutOffTimeout = 8 * time.Second
)

// TestResumedDaemonRespectsDataCentreOut guards against dispatch by stale configuration. It
// takes a data centre out while one daemon is paused and calls wait at that daemon. When the
// daemon resumes, it must send none of the calls to that data centre. In the second case it is
// also cut off from the platform and can learn of the change only from its peers, which have
// closed their links to it meanwhile.
func TestResumedDaemonRespectsDataCentreOut(t *testing.T) {
	for _, mode := range []cutter.Mode{cutter.Pass, cutter.Swallow} {
		t.Run("platform "+string(mode), func(t *testing.T) { resumeAfterChange(t, mode) })
	}
}

func resumeAfterChange(t *testing.T, mode cutter.Mode) {
	c := newConfigCluster(t)
	c.putContract()
	c.addServices(2, []string{"a", removedDataCentre})
	c.waitServing(2)
	c.cut(mode)
	caller := load.NewCaller(callerKey, 10*time.Second)
	defer caller.Close()
	c.relayedDaemon.pause()
	var wg sync.WaitGroup
	results := make([]load.Result, callsToPausedDaemon)
	for i := range results {
		call := load.Call{Service: serviceName, Method: "GET", Path: fmt.Sprintf("/entries/%d", i)}
		wg.Go(func() { results[i] = caller.Call(context.Background(), c.relayedDaemon.callersAddress, call) })
	}
	time.Sleep(pauseDuration / 2)
	c.put(object.KindDataCentre, removedDataCentre, &object.DataCentre{Out: true})
	time.Sleep(pauseDuration / 2)
	before := getJSON[service.Stats](t, c.services[1].address, service.PathStats).Runs
	c.relayedDaemon.resume()
	resumedAt := time.Now()
	wg.Wait()
	t.Logf("%d calls answered within %v of the daemon's resumption", callsToPausedDaemon, time.Since(resumedAt).Round(time.Millisecond))
	runs := getJSON[service.Stats](t, c.services[1].address, service.PathStats).Runs - before
	require.Zero(t, runs, "requests ran in the data centre that is out")
	for _, r := range results {
		require.NoError(t, r.Err)
		require.Equal(t, 200, r.Status, "the calls must wait until the configuration is up to date and run elsewhere: %s", r.Code)
	}
}

// TestIsolatedDaemonBecomesUnready cuts one daemon off from the platform and pauses all its
// peers. The daemon must become unready within cutOffTimeout, because its configuration may be
// stale, and ready again once its peers resume.
func TestIsolatedDaemonBecomesUnready(t *testing.T) {
	c := newConfigCluster(t)
	others := c.daemons[:len(c.daemons)-1]
	began := time.Now()
	c.cut(cutter.Swallow)
	for _, d := range others {
		d.pause()
	}
	waitUntil(t, "not ready", func() bool { return !c.relayedDaemon.ready() })
	took := time.Since(began)
	t.Logf("not ready %v after it was cut off", took.Round(time.Millisecond))
	require.Less(t, took, cutOffTimeout)
	for _, d := range others {
		d.resume()
	}
	waitUntil(t, "the daemon is ready through its peers", c.relayedDaemon.ready)
	for _, d := range others {
		waitUntil(t, "the other daemons are ready", d.ready)
	}
}

// TestDaemonStartsInAnOutage starts a daemon while the platform is down. It must get the
// latest configuration from its peers and become ready.
func TestDaemonStartsInAnOutage(t *testing.T) {
	c := newCluster(t)
	c.addDaemon("a", nil)
	revision := c.put(object.KindDataCentre, "a", &object.DataCentre{Reason: "last before the outage"})
	waitApplied(c.daemons, revision, time.Now())
	c.setPlatformFaults(platform.Faults{Down: platform.DownReset})
	began := time.Now()
	late := c.addDaemon("a", func(s *config.Settings) { s.Peers.Seeds = []string{c.daemons[0].peersAddress} })
	got, err := late.status()
	require.NoError(t, err)
	require.GreaterOrEqual(t, got.Applied, object.Version(revision))
	require.False(t, got.PlatformReachable)
	t.Logf("ready %v after its start", time.Since(began).Round(time.Millisecond))
}
