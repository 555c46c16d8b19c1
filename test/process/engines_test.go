package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/platform"
)

// engineHost is a host with a model engine. Daemons reach it at listed, which may
// be a cutter before it.
type engineHost struct {
	*stub
	name       string
	domain     string
	dataCentre string
	listed     string
}

func (h *engineHost) stats(t *testing.T) engine.Stats {
	t.Helper()
	return get[engine.Stats](t, h.address, engine.PathStats)
}

func (h *engineHost) faults(t *testing.T, f engine.Faults) {
	t.Helper()
	send(t, "POST", h.address, engine.PathFaults, f)
}

// addEngine starts an engine; listHosts makes it known.
func (c *cluster) addEngine(name, domain, dataCentre string, args ...string) *engineHost {
	c.t.Helper()
	s := startStub(c.t, name, append([]string{
		"engine", "--host", name, "--load-ms", "50", "--poll-ms", "50", "--restart-ms", "100",
	}, args...)...)
	h := &engineHost{stub: s, name: name, domain: domain, dataCentre: dataCentre, listed: s.address}
	c.engines = append(c.engines, h)
	return h
}

// listHosts replaces the platform's host list by the engines started so far.
func (c *cluster) listHosts() {
	c.t.Helper()
	update := platform.HostsUpdate{}
	for _, h := range c.engines {
		update.Hosts = append(update.Hosts, platformapi.Host{
			Name: h.name, Address: h.listed, Domain: h.domain, DataCentre: h.dataCentre, Accelerators: 4,
		})
	}
	send(c.t, "POST", c.platform.address, platform.PathHosts, update)
}

func (c *cluster) putModel(change func(*object.Model)) {
	c.t.Helper()
	m := &object.Model{Members: 1, Weights: "w1", ColdLimit: 32, WarmLimit: 64, WarmAfter: 5}
	if change != nil {
		change(m)
	}
	c.put(object.KindModel, modelName, m)
}

// assign gives each engine a group of its own and keeps it joined until the test
// ends, in place of a domain's holder.
func (c *cluster) assign() {
	c.t.Helper()
	domains := make(map[string]*object.Domain)
	for _, h := range c.engines {
		if domains[h.domain] == nil {
			domains[h.domain] = &object.Domain{Fence: 1, Groups: make(map[string]object.Group)}
		}
		domains[h.domain].Groups["g-"+h.name] = object.Group{
			Model: modelName, Generation: 1, Members: []string{h.name}, DataCentre: h.dataCentre,
		}
	}
	for name, d := range domains {
		c.put(object.KindDomain, name, d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		for ctx.Err() == nil {
			for _, h := range c.engines {
				h.join()
			}
			time.Sleep(glance)
		}
	}()
	c.t.Cleanup(func() {
		cancel()
		<-kept
	})
}

// join orders an idle engine into its group. An engine between two incarnations is
// ordered the next time.
func (h *engineHost) join() {
	status, err := tryGet[engineapi.Status](h.address, engineapi.PathStatus)
	if err != nil || status.Group != "" {
		return
	}
	body, err := json.Marshal(engineapi.Order{
		Fence: 1, Kind: engineapi.OrderJoin, Group: "g-" + h.name, Generation: 1,
		Model: modelName, Weights: "w1", Members: []string{h.address},
	})
	if err != nil {
		return
	}
	response, err := control.Post("http://"+h.address+engineapi.PathOrder, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// waitGroups waits until every daemon sees n groups serving.
func (c *cluster) waitGroups(n int) {
	c.t.Helper()
	for _, d := range c.daemons {
		until(c.t, fmt.Sprintf("%s sees %d groups serving", d.name, n), func() bool {
			s, err := d.status()
			return err == nil && len(s.Daemons) >= len(c.daemons) && servingGroups(s.Groups) == n
		})
	}
}

func (c *cluster) engineRuns() int64 {
	c.t.Helper()
	var runs int64
	for _, h := range c.engines {
		runs += h.stats(c.t).Runs
	}
	return runs
}
