package process

import (
	"fmt"
	"testing"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
)

// engineHost is a host with a stub model engine.
type engineHost struct {
	*stub
	name       string
	domain     string // fabric domain
	dataCentre string
	// listedAddress is the address in the platform's host list, where daemons reach the
	// engine: its own or that of a relay in front of it.
	listedAddress string
}

func (h *engineHost) stats(t *testing.T) engine.Stats {
	t.Helper()
	return getJSON[engine.Stats](t, h.address, engine.PathStats)
}

func (h *engineHost) setFaults(t *testing.T, f engine.Faults) {
	t.Helper()
	sendJSON(t, "POST", h.address, engine.PathFaults, f)
}

// addEngine starts an engine. Daemons learn of it once listHosts has added it to the host
// list.
func (c *cluster) addEngine(name, domain, dataCentre string, args ...string) *engineHost {
	c.t.Helper()
	s := startStub(c.t, name, append([]string{
		"engine", "--host", name, "--load-ms", "50", "--poll-ms", "50", "--restart-ms", "100",
	}, args...)...)
	h := &engineHost{stub: s, name: name, domain: domain, dataCentre: dataCentre, listedAddress: s.address}
	c.engines = append(c.engines, h)
	return h
}

// listHosts replaces the platform's host list with the engines started so far.
func (c *cluster) listHosts() {
	c.t.Helper()
	update := platform.HostsUpdate{}
	for _, h := range c.engines {
		update.Hosts = append(update.Hosts, platformapi.Host{
			Name: h.name, Address: h.listedAddress, Domain: h.domain, DataCentre: h.dataCentre, Accelerators: 4,
		})
	}
	sendJSON(c.t, "POST", c.platform.address, platform.PathHosts, update)
}

// withGroups sets the number of groups that a model requires.
func withGroups(n int) func(*object.Model) { return func(m *object.Model) { m.Groups = n } }

// putModel writes the model. Each of its groups has one member unless change sets another
// number.
func (c *cluster) putModel(change func(*object.Model)) {
	c.t.Helper()
	m := &object.Model{Members: 1, Weights: "w1", ColdLimit: 32, WarmLimit: 64, WarmAfter: 5}
	if change != nil {
		change(m)
	}
	c.put(object.KindModel, modelName, m)
}

// waitGroups waits until every daemon lists all the others and reports exactly n groups as
// serving.
func (c *cluster) waitGroups(n int) {
	c.t.Helper()
	for _, d := range c.daemons {
		waitUntil(c.t, fmt.Sprintf("%s sees %d groups serving", d.name, n), func() bool {
			s, err := d.status()
			return err == nil && len(s.Daemons) >= len(c.daemons) && servingGroups(s.Groups) == n
		})
	}
}

// engineRuns returns how many requests all engines have run.
func (c *cluster) engineRuns() int64 {
	c.t.Helper()
	var runs int64
	for _, h := range c.engines {
		runs += h.stats(c.t).Runs
	}
	return runs
}
