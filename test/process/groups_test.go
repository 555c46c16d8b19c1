package process

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/engine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/load"
)

// groupCluster starts a cluster with one fabric domain and waits until the daemons have
// formed the required groups of its hosts.
func groupCluster(t *testing.T, hosts, members, groups, daemons int, args ...string) *cluster {
	c := newCluster(t)
	c.putContract()
	c.putModel(func(m *object.Model) {
		m.Members, m.Groups = members, groups
		m.ChecksFencing = strings.Contains(strings.Join(args, " "), "--checks-fencing")
	})
	for i := range hosts {
		c.addEngine(fmt.Sprintf("h%d", i), "f1", "a", append([]string{"--tokens-per-second", "50"}, args...)...)
	}
	c.listHosts()
	for range daemons {
		c.addDaemon("a", nil)
	}
	c.waitGroups(groups)
	return c
}

// domain reads a fabric domain's object from the platform.
func (c *cluster) domain(name string) (object.Domain, error) {
	var d object.Domain
	e, err := tryGetJSON[platformapi.Envelope](c.platform.address, platformapi.PathObjects+"domain/"+name)
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal(e.Value, &d)
}

func (c *cluster) engine(name string) *engineHost {
	for _, h := range c.engines {
		if h.name == name {
			return h
		}
	}
	c.t.Fatalf("no host %q", name)
	return nil
}

func (c *cluster) daemonNamed(name string) *daemon {
	for _, d := range c.daemons {
		if d.name == name {
			return d
		}
	}
	c.t.Fatalf("no daemon %q", name)
	return nil
}

// maxBrokenGroupAge is the longest time after the loss of a member in which its group may
// still receive requests. The test fails above it.
const maxBrokenGroupAge = 3 * time.Second

// checkGroups logs what the engines recorded of orders and broken groups. It fails the test
// if an engine joined a group while in another, or received a request on a group that had
// been broken for maxBrokenGroupAge or longer.
func (c *cluster) checkGroups() {
	c.t.Helper()
	for _, h := range c.engines {
		if h.hasExited() {
			continue
		}
		s := h.stats(c.t)
		c.t.Logf("%s: incarnations %d, orders accepted %d, refused %d, stale accepted %d, joined while in another group %d, requests on a broken group %d (oldest %d ms), broken in flight %d",
			h.name, s.Incarnations, s.OrdersAccepted, s.OrdersRefused, s.StaleOrdersAccepted, s.JoinedWhileInGroup,
			s.BrokenGroupRequests, s.BrokenAgeMillis, s.BrokenInFlight)
		require.Zero(c.t, s.JoinedWhileInGroup, h.name)
		require.Less(c.t, s.BrokenAgeMillis, maxBrokenGroupAge.Milliseconds(), h.name)
	}
}

// TestGroupLosesMember kills a host of a serving group permanently. A spare must replace it,
// and no stream may end without a terminal event or an error.
func TestGroupLosesMember(t *testing.T) {
	for _, args := range [][]string{nil, {"--checks-fencing"}} {
		t.Run(strings.Join(append([]string{"engines"}, args...), " "), func(t *testing.T) {
			c := groupCluster(t, 7, 3, 2, 3, args...)
			d, err := c.domain("f1")
			require.NoError(t, err)
			group := sortedGroups(d)[0]
			victim := d.Groups[group].Members[1]
			var lost time.Time
			var fault sync.WaitGroup
			fault.Go(func() {
				time.Sleep(2 * time.Second)
				lost = time.Now()
				c.engine(victim).kill()
			})
			_, results := c.sendStreams(10, 6*time.Second, 61, nil)
			fault.Wait()
			requireConsistent(t, results)
			waitUntil(t, "two groups serve without the lost host", func() bool {
				d, err := c.domain("f1")
				return err == nil && len(d.Groups) == 2 && !groupHas(d, victim) && c.groupsServe(2)
			})
			t.Logf("both groups serve %s after the loss", time.Since(lost))
			c.checkGroups()
		})
	}
}

// sortedGroups returns the names of a domain's groups, sorted if there are two.
func sortedGroups(d object.Domain) []string {
	var names []string
	for name := range d.Groups {
		names = append(names, name)
	}
	if len(names) > 1 && names[0] > names[1] {
		names[0], names[1] = names[1], names[0]
	}
	return names
}

// groupHas reports whether a group of the domain has the host as a member.
func groupHas(d object.Domain, host string) bool {
	for _, g := range d.Groups {
		for _, m := range g.Members {
			if m == host {
				return true
			}
		}
	}
	return false
}

// groupsServe reports whether every daemon reports exactly n groups as serving.
func (c *cluster) groupsServe(n int) bool {
	for _, d := range c.daemons {
		s, err := d.status()
		if err != nil || servingGroups(s.Groups) != n {
			return false
		}
	}
	return true
}

// TestLeaseHolderPausedPastExpiry pauses the lease holder and crashes a member, so that
// another daemon takes the lease and repairs the group, and then resumes the former holder.
// Its outdated orders must do no harm: every stream must complete and no engine may join a
// second group.
func TestLeaseHolderPausedPastExpiry(t *testing.T) {
	for _, args := range [][]string{nil, {"--checks-fencing"}} {
		t.Run(strings.Join(append([]string{"engines"}, args...), " "), func(t *testing.T) {
			c := groupCluster(t, 7, 3, 2, 3, args...)
			before, err := c.domain("f1")
			require.NoError(t, err)
			holder := c.daemonNamed(before.Holder)
			victim := before.Groups[sortedGroups(before)[0]].Members[2]
			holder.pause()
			c.engine(victim).setFaults(t, engine.Faults{Crash: true})
			waitUntil(t, "another daemon holds the domain's lease", func() bool {
				d, err := c.domain("f1")
				return err == nil && d.Holder != before.Holder && d.Fence > before.Fence
			})
			awake := c.daemonsExcept(holder)
			waitUntil(t, "two groups serve", func() bool {
				for _, d := range awake {
					s, err := d.status()
					if err != nil || servingGroups(s.Groups) != 2 {
						return false
					}
				}
				return true
			})
			holder.resume()
			report, results, err := load.Run(t.Context(), load.Options{
				Addresses: callersOf(awake), CallerKey: callerKey, Kind: load.Streams, Model: modelName,
				Rate: 10, Duration: 5 * time.Second, Deadline: 20 * time.Second, MaxTokens: 40, Prompts: 1 << 20,
				MaxInFlight: 200, Seed: 63,
			})
			require.NoError(t, err)
			requireConsistent(t, results)
			require.Equal(t, report.Sent, report.Complete)
			waitUntil(t, "the resumed daemon sees two groups serve", func() bool { return c.groupsServe(2) })
			c.checkGroups()
		})
	}
}

func (c *cluster) daemonsExcept(than *daemon) []*daemon {
	var others []*daemon
	for _, d := range c.daemons {
		if d != than {
			others = append(others, d)
		}
	}
	return others
}

func callersOf(daemons []*daemon) []string {
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, d.callersAddress)
	}
	return addresses
}

// TestPausedMemberResumes pauses a member's process under load for longer than the max age of
// its reports and resumes it. No stream may be wrong or cut, and both groups must serve again.
func TestPausedMemberResumes(t *testing.T) {
	c := groupCluster(t, 6, 3, 2, 2)
	d, err := c.domain("f1")
	require.NoError(t, err)
	victim := c.engine(d.Groups[sortedGroups(d)[0]].Members[1])
	var fault sync.WaitGroup
	fault.Go(func() {
		time.Sleep(2 * time.Second)
		victim.pause()
		time.Sleep(4 * time.Second)
		victim.resume()
	})
	_, results := c.sendStreams(10, 8*time.Second, 65, nil)
	fault.Wait()
	requireConsistent(t, results)
	waitUntil(t, "two groups serve again", func() bool { return c.groupsServe(2) })
	c.checkGroups()
}
