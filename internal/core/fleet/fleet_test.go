package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

type fakeConfig struct {
	models   map[string]*object.Model
	services map[string]*object.Service
	centres  map[string]*object.DataCentre
	hosts    map[string]*object.Host
	domains  map[string]*object.Domain
}

func get[T any](m map[string]*T, name string) (*T, bool) { v, ok := m[name]; return v, ok }

func (c *fakeConfig) Model(n string) (*object.Model, bool)           { return get(c.models, n) }
func (c *fakeConfig) Service(n string) (*object.Service, bool)       { return get(c.services, n) }
func (c *fakeConfig) DataCentre(n string) (*object.DataCentre, bool) { return get(c.centres, n) }
func (c *fakeConfig) Host(n string) (*object.Host, bool)             { return get(c.hosts, n) }

func (c *fakeConfig) Domain(n string) (*object.Domain, object.Version) { return c.domains[n], 1 }

func (c *fakeConfig) Names(kind object.Kind) []string {
	switch kind {
	case object.KindDomain:
		return sortedKeys(c.domains)
	case object.KindService:
		return sortedKeys(c.services)
	default:
		return nil
	}
}

type fakeMembers struct{ live []string }

func (m *fakeMembers) Live() []string { return m.live }

func (m *fakeMembers) Owners(_ string, n int) []string { return m.live[:min(n, len(m.live))] }

func at(d time.Duration) step.Time { return step.Time{Mono: d} }

// fleetOf returns a view of n groups of 8 hosts each. All hosts have reported at time zero.
func fleetOf(n int) (*View, *fakeConfig) {
	c := &fakeConfig{
		models:  map[string]*object.Model{"m": {Members: 8, Groups: n, ColdLimit: 2, WarmLimit: 16, WarmAfter: 8}},
		centres: map[string]*object.DataCentre{},
		hosts:   map[string]*object.Host{},
		domains: map[string]*object.Domain{},
	}
	v := New("a", c, &fakeMembers{live: []string{"a", "b"}})
	var list step.HostList
	for g := range n {
		domain := fmt.Sprintf("d%03d", g)
		group := object.Group{Model: "m", Generation: 3, DataCentre: "dc"}
		for i := range 8 {
			host := fmt.Sprintf("h%03d-%d", g, i)
			group.Members = append(group.Members, host)
			list.Hosts = append(list.Hosts, platformapi.Host{Name: host, Address: host + ":1", Domain: domain, DataCentre: "dc"})
		}
		c.domains[domain] = &object.Domain{Groups: map[string]object.Group{domain + ".0": group}}
	}
	v.HostList(at(0), list)
	v.ConfigChanged(at(0))
	for _, h := range list.Hosts {
		v.HostReport(at(0), report(h.Name, 0))
	}
	return v, c
}

func report(host string, sent time.Duration) step.HostReport {
	return step.HostReport{Host: host, OK: true, Conn: 1, Sent: sent, Status: engineapi.Status{
		Host: host, Incarnation: "i1", Group: "d" + host[1:4] + ".0", Generation: 3, Ready: true,
	}}
}

func TestGroupNeedsEveryMember(t *testing.T) {
	cases := map[string]func(v *View, c *fakeConfig){
		"stale": func(v *View, _ *fakeConfig) { v.Candidates(at(ReportMaxAge+1), "m", "") },
		"dead": func(v *View, _ *fakeConfig) {
			v.HostReport(at(1), step.HostReport{Host: "h000-7", Sent: 1})
		},
		"other generation": func(v *View, _ *fakeConfig) {
			r := report("h000-7", 1)
			r.Status.Generation = 2
			v.HostReport(at(1), r)
		},
		"other group": func(v *View, _ *fakeConfig) {
			r := report("h000-7", 1)
			r.Status.Group = "x"
			v.HostReport(at(1), r)
		},
		"not ready": func(v *View, _ *fakeConfig) {
			r := report("h000-7", 1)
			r.Status.Ready = false
			v.HostReport(at(1), r)
		},
		"leaving": func(v *View, _ *fakeConfig) {
			v.HostList(at(1), step.HostList{Hosts: []platformapi.Host{{Name: "h000-3", Address: "x:1", Domain: "d000", Leaving: true}}})
		},
		"host out": func(v *View, c *fakeConfig) {
			c.hosts["h000-3"] = &object.Host{Out: true}
			v.ConfigChanged(at(1))
		},
		"data centre out": func(v *View, c *fakeConfig) {
			c.centres["dc"] = &object.DataCentre{Out: true}
			v.ConfigChanged(at(1))
		},
		"new generation in the assignment": func(v *View, c *fakeConfig) {
			g := c.domains["d000"].Groups["d000.0"]
			g.Generation++
			c.domains["d000"].Groups["d000.0"] = g
			v.ConfigChanged(at(1))
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			v, c := fleetOf(1)
			require.Len(t, v.Candidates(at(1), "m", ""), 1)
			change(v, c)
			require.Empty(t, v.Candidates(at(2), "m", ""))
			require.False(t, v.Routable(at(2), "d000.0") && name != "stale")
		})
	}
}

func TestReportsOverrideHostList(t *testing.T) {
	v, _ := fleetOf(1)
	v.HostList(at(1), step.HostList{})
	require.Len(t, v.Candidates(at(2), "m", ""), 1, "hosts that answer stay although the list lacks them")
	v.HostList(at(2*ReportMaxAge), step.HostList{})
	require.Empty(t, v.Candidates(at(2*ReportMaxAge), "m", ""))
	_, ok := v.Host("h000-0")
	require.False(t, ok, "a host that is neither listed nor has a recent report is removed")
}

func TestLeavingMarkStaysUntilRestart(t *testing.T) {
	v, _ := fleetOf(1)
	entry := platformapi.Host{Name: "h000-3", Address: "x:1", Domain: "d000", DataCentre: "dc", Leaving: true}
	v.HostList(at(1), step.HostList{Hosts: []platformapi.Host{entry}})
	entry.Leaving = false
	v.HostList(at(2), step.HostList{Hosts: []platformapi.Host{entry}})
	h, _ := v.Host("h000-3")
	require.True(t, h.Leaving, "an older list does not clear the leaving mark")
	r := report("h000-3", 3)
	r.Status.Incarnation = "i2"
	v.HostReport(at(3), r)
	v.HostList(at(4), step.HostList{Hosts: []platformapi.Host{entry}})
	require.False(t, h.Leaving, "a restarted host has returned")
}

func TestFailureOfOneProberDoesNotOverrideRecentSuccess(t *testing.T) {
	v, _ := fleetOf(1)
	fail := step.Digest{Sent: failureOverrideAge - 1, Reports: []step.MemberReport{{Host: "h000-0", Age: 0}}}
	v.Digest(at(failureOverrideAge-1), "b", fail)
	fail.Sent = failureOverrideAge
	require.Len(t, v.Candidates(at(failureOverrideAge-1), "m", ""), 1)
	v.Digest(at(failureOverrideAge), "b", fail)
	require.Empty(t, v.Candidates(at(failureOverrideAge), "m", ""))
}

func TestDelayedDigestIsStale(t *testing.T) {
	v, _ := fleetOf(1)
	reports := func(sent time.Duration) step.Digest {
		d := step.Digest{Sent: sent}
		for i := range 8 {
			d.Reports = append(d.Reports, step.MemberReport{
				Host: fmt.Sprintf("h000-%d", i), OK: true, Incarnation: "i1", Group: "d000.0", Generation: 3, Ready: true,
			})
		}
		return d
	}
	const ahead = time.Hour // how far the peer's clock is ahead
	v.Digest(at(time.Second), "b", reports(ahead+time.Second))
	require.Len(t, v.Candidates(at(2*time.Second), "m", ""), 1)
	v.Digest(at(10*time.Second), "b", reports(ahead+2*time.Second))
	require.Empty(t, v.Candidates(at(10*time.Second), "m", ""), "the digest was delayed by 8 s")
	v.Digest(at(11*time.Second), "b", reports(ahead+11*time.Second))
	require.Len(t, v.Candidates(at(11*time.Second), "m", ""), 1)
}

func TestServiceTargetNeedsRecentReport(t *testing.T) {
	c := &fakeConfig{services: map[string]*object.Service{"orders": {
		Targets: []object.ServiceTarget{{Host: "s1", Address: "s1:1", DataCentre: "dc"}}, ColdLimit: 1, WarmLimit: 4,
	}}}
	v := New("a", c, &fakeMembers{live: []string{"a"}})
	v.ConfigChanged(at(0))
	require.Empty(t, v.Candidates(at(0), "", "orders"))
	var out step.Out
	v.Tick(at(0), &out)
	require.Equal(t, []step.Effect{step.Probe{Host: "s1", Address: "s1:1", Service: true}}, out.Effects)
	v.HostReport(at(1), step.HostReport{Host: "s1", OK: true, Sent: 0})
	require.Len(t, v.Candidates(at(1), "", "orders"), 1)
	require.Empty(t, v.Candidates(at(ReportMaxAge+1), "", "orders"))
}

func TestHeartbeatReplacesPeerLoads(t *testing.T) {
	v, _ := fleetOf(1)
	v.Heartbeat(at(1), "b", step.Heartbeat{Loads: []step.Load{{Target: "d000.0", InFlight: 3, Tokens: 30}}})
	v.Heartbeat(at(2), "b", step.Heartbeat{Loads: []step.Load{{Target: "d000.0", InFlight: 1, Tokens: 10}}})
	target, _ := v.Target("d000.0")
	require.Equal(t, 1, target.PeerInFlight)
	v.PeerDown("b")
	require.Zero(t, target.PeerInFlight)
	require.Zero(t, target.PeerTokens)
}

func TestRemovedTargetStaysUntilLastRequestEnds(t *testing.T) {
	v, c := fleetOf(1)
	v.Begin(at(1), "d000.0", 5)
	delete(c.domains, "d000")
	v.ConfigChanged(at(2))
	require.Equal(t, []step.Load{{Target: "d000.0", InFlight: 1, Tokens: 5}}, v.Loads())
	v.End(at(3), "d000.0", 5, step.EndedComplete, "i1")
	require.Empty(t, v.Loads())
}
