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
	baseline    = flag.Bool("baseline", false, "build the daemons with the first simple policy of repair")
	measure     = flag.Bool("measure", false, "run the measurements, which take minutes")
	measureSeed = flag.Uint64("seed", 1, "seed of the measurements")
	measureFor  = flag.Duration("for", 3*time.Minute, "length of a measurement")
	checksFlag  = flag.Bool("checks-fencing", false, "measure with engines that check fencing numbers")
)

const (
	// sampleEvery is the interval between two looks at the groups.
	sampleEvery = 100 * time.Millisecond
	// accelerators is the number on each host.
	accelerators = 4
	loadMillis   = "4000"
)

// lossKind is how a member is lost.
type lossKind string

const (
	crashed lossKind = "crash"  // a new incarnation after a second
	paused  lossKind = "pause"  // back after a second as it was
	frozen  lossKind = "freeze" // back after 20 s as it was
)

// downtime adds up what losses cost.
type downtime struct {
	losses   int
	down     time.Duration // groups that do not serve, by time
	stranded time.Duration // accelerators that are up and serve no group, by time
}

// TestGroupDowntime measures, with real processes, the time that groups do not serve
// and the accelerators that stand idle, per lost member.
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
	if *checksFlag {
		args = append(args, "--checks-fencing")
	}
	for _, domain := range []string{"f1", "f2"} {
		for i := range 7 {
			c.addEngine(fmt.Sprintf("%s-%d", domain, i), domain, "dc1", args...)
		}
	}
	c.listHosts()
	c.putModel(func(m *object.Model) { m.Members, m.Groups, m.ChecksFencing = 3, groups, *checksFlag })
	c.waitGroups(groups)
	m := c.measureLosses(groups)
	t.Logf("baseline=%v checks=%v seed=%d: %d losses in %v: groups down %.1f s, %.1f s a loss; stranded %.0f accelerator-seconds, %.0f a loss",
		*baseline, *checksFlag, *measureSeed, m.losses, *measureFor, m.down.Seconds(), m.down.Seconds()/float64(m.losses),
		m.stranded.Seconds(), m.stranded.Seconds()/float64(m.losses))
}

// measureLosses strikes members of serving groups, one every ten to twenty seconds.
func (c *cluster) measureLosses(groups int) downtime {
	draw := rand.New(rand.NewPCG(*measureSeed, 0))
	var m downtime
	away := make(map[string]time.Time) // hosts that are not up, until when
	next := time.Now().Add(2 * time.Second)
	last := time.Now()
	for end := last.Add(*measureFor); time.Now().Before(end); time.Sleep(sampleEvery) {
		s, err := c.daemons[0].status()
		now := time.Now()
		if err != nil {
			continue
		}
		serving := servingHosts(s.Groups)
		up := 0
		for _, h := range c.engines {
			if now.After(away[h.name]) {
				up++
			}
		}
		m.down += time.Duration(groups-len(serving)) * now.Sub(last)
		idle := up
		for _, members := range serving {
			idle -= len(members)
		}
		m.stranded += time.Duration(max(0, idle)*accelerators) * now.Sub(last)
		last = now
		if now.After(next) && len(serving) > 0 {
			next = now.Add(10*time.Second + time.Duration(draw.IntN(10000))*time.Millisecond)
			members := serving[draw.IntN(len(serving))]
			c.strike(members[draw.IntN(len(members))], draw.IntN(4), away)
			m.losses++
		}
	}
	return m
}

func (c *cluster) strike(host string, draw int, away map[string]time.Time) {
	kind := []lossKind{crashed, crashed, paused, frozen}[draw]
	for _, h := range c.engines {
		if h.name != host {
			continue
		}
		c.t.Logf("%s %s", kind, host)
		switch kind {
		case crashed:
			h.crash()
			away[host] = time.Now().Add(time.Second)
		case paused, frozen:
			length := time.Second
			if kind == frozen {
				length = 20 * time.Second
			}
			h.pause()
			time.AfterFunc(length, h.wake)
			away[host] = time.Now().Add(length)
		}
	}
}

// crash ends the engine's incarnation, and with it the connection that told it to.
func (h *engineHost) crash() {
	response, err := control.Post("http://"+h.address+engine.PathFaults, "application/json", strings.NewReader(`{"crash":true}`))
	if err == nil {
		_ = response.Body.Close()
	}
}

// servingHosts returns the members of each serving group, in order of names.
func servingHosts(all []operatorapi.GroupStatus) [][]string {
	var serving [][]string
	for _, g := range all {
		if g.Serving {
			serving = append(serving, g.Members)
		}
	}
	return serving
}
