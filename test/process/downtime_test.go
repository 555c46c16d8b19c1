package process

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
)

var (
	baseline        = flag.Bool("baseline", false, "build the daemons with the first, simple repair policy")
	measure         = flag.Bool("measure", false, "run the measurements, which take minutes")
	measureSeed     = flag.Uint64("seed", 1, "seed of the measurements")
	measureDuration = flag.Duration("for", 3*time.Minute, "length of a measurement")
	checksFencing   = flag.Bool("checks-fencing", false, "measure with engines that check fencing tokens")
)

const (
	// sampleInterval is the time between two reads of the groups' state.
	sampleInterval = 100 * time.Millisecond
	// acceleratorsPerHost is the number of accelerators that the host list gives each host.
	acceleratorsPerHost = 4
	// loadMillis is the time in milliseconds that an engine takes to load the weights.
	loadMillis = "4000"
)

// lossKind is the way in which a group loses a member.
type lossKind string

const (
	crashed    lossKind = "crash"  // the incarnation ends; the next one starts after a second
	paused     lossKind = "pause"  // the process is paused for a second and keeps its state
	pausedLong lossKind = "freeze" // the process is paused for 20 s and keeps its state
)

// downtime sums up the cost of the losses.
type downtime struct {
	losses int
	down   time.Duration // group-time in which required groups did not serve
	idle   time.Duration // accelerator-time of hosts that were up but in no serving group
}

// TestGroupDowntime measures, with real processes, how long groups do not serve and how
// many accelerators are idle per lost member. It runs only with -measure.
func TestGroupDowntime(t *testing.T) {
	if !*measure {
		t.Skip("a measurement: run with -measure")
	}
	const groups = 4
	c := newCluster(t)
	for range 3 {
		c.addDaemon("dc1", nil)
	}
	args := []string{"--load-ms", loadMillis, "--restart-ms", "1000", "--notice-ms", "300", "--break-ms", "500"}
	if *checksFencing {
		args = append(args, "--checks-fencing")
	}
	for _, domain := range []string{"f1", "f2"} {
		for i := range 7 {
			c.addEngine(fmt.Sprintf("%s-%d", domain, i), domain, "dc1", args...)
		}
	}
	c.listHosts()
	c.putModel(func(m *object.Model) { m.Members, m.Groups, m.ChecksFencing = 3, groups, *checksFencing })
	c.waitGroups(groups)
	m := c.measureLosses(groups)
	t.Logf("baseline=%v checks=%v seed=%d: %d losses in %v: groups down %.1f s, %.1f s a loss; stranded %.0f accelerator-seconds, %.0f a loss",
		*baseline, *checksFencing, *measureSeed, m.losses, *measureDuration, m.down.Seconds(), m.down.Seconds()/float64(m.losses),
		m.idle.Seconds(), m.idle.Seconds()/float64(m.losses))
}

// measureLosses runs for measureDuration and makes a random serving group lose a random
// member every 10 to 20 s. It samples the groups' state from the first daemon.
func (c *cluster) measureLosses(groups int) downtime {
	draw := rand.New(rand.NewPCG(*measureSeed, 0))
	var m downtime
	upAgainAt := make(map[string]time.Time) // when each lost host is up again
	next := time.Now().Add(2 * time.Second)
	last := time.Now()
	for end := last.Add(*measureDuration); time.Now().Before(end); time.Sleep(sampleInterval) {
		s, err := c.daemons[0].status()
		now := time.Now()
		if err != nil {
			continue
		}
		serving := servingHosts(s.Groups)
		up := 0
		for _, h := range c.engines {
			if now.After(upAgainAt[h.name]) {
				up++
			}
		}
		m.down += time.Duration(groups-len(serving)) * now.Sub(last)
		idle := up
		for _, members := range serving {
			idle -= len(members)
		}
		m.idle += time.Duration(max(0, idle)*acceleratorsPerHost) * now.Sub(last)
		last = now
		if now.After(next) && len(serving) > 0 {
			next = now.Add(10*time.Second + time.Duration(draw.IntN(10000))*time.Millisecond)
			members := serving[draw.IntN(len(serving))]
			c.injectLoss(members[draw.IntN(len(members))], draw.IntN(4), upAgainAt)
			m.losses++
		}
	}
	return m
}

// injectLoss crashes a host or pauses it, for a short or a long time, as the draw from 0 to 3
// selects. It records in upAgainAt when the host is up again.
func (c *cluster) injectLoss(host string, draw int, upAgainAt map[string]time.Time) {
	kind := []lossKind{crashed, crashed, paused, pausedLong}[draw]
	for _, h := range c.engines {
		if h.name != host {
			continue
		}
		c.t.Logf("%s %s", kind, host)
		switch kind {
		case crashed:
			h.crash()
			upAgainAt[host] = time.Now().Add(time.Second)
		case paused, pausedLong:
			length := time.Second
			if kind == pausedLong {
				length = 20 * time.Second
			}
			h.pause()
			time.AfterFunc(length, h.resume)
			upAgainAt[host] = time.Now().Add(length)
		}
	}
}

// crash ends the engine's incarnation. The engine also resets the connection of this request,
// so an error is ignored.
func (h *engineHost) crash() {
	response, err := controlClient.Post("http://"+h.address+engine.PathFaults, "application/json", strings.NewReader(`{"crash":true}`))
	if err == nil {
		_ = response.Body.Close()
	}
}

// servingHosts returns the members of each serving group, in the order of the status.
func servingHosts(all []operatorapi.GroupStatus) [][]string {
	var serving [][]string
	for _, g := range all {
		if g.Serving {
			serving = append(serving, g.Members)
		}
	}
	return serving
}
