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

// groupCluster is one fabric domain whose hosts the daemons group by themselves.
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

func (c *cluster) domain(name string) (object.Domain, error) {
	var d object.Domain
	e, err := tryGet[platformapi.Envelope](c.platform.address, platformapi.PathObjects+"domain/"+name)
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

// brokenSoon bounds how long after a member's loss its group may still be sent requests.
const brokenSoon = 3 * time.Second

// judgeGroups logs and checks what the engines saw of orders and broken groups.
func (c *cluster) judgeGroups() {
	c.t.Helper()
	for _, h := range c.engines {
		if h.hasEnded() {
			continue
		}
		s := h.stats(c.t)
		c.t.Logf("%s: incarnations %d, orders %d, refused %d, stale taken %d, joined while in another group %d, on a broken group %d (oldest %d ms), broken in flight %d",
			h.name, s.Incarnations, s.OrdersTaken, s.OrdersRefused, s.StaleOrdersTaken, s.JoinedWhileInGroup,
			s.BrokenGroupRequests, s.BrokenAgeMillis, s.BrokenInFlight)
		require.Zero(c.t, s.JoinedWhileInGroup, h.name)
		require.Less(c.t, s.BrokenAgeMillis, brokenSoon.Milliseconds(), h.name)
	}
}

// TestGroupLosesMember kills a host of a serving group for good; a spare takes its
// place and no stream ends without a word.
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
			_, results := c.streams(10, 6*time.Second, 61, nil)
			fault.Wait()
			requireSound(t, results)
			until(t, "two groups serve without the lost host", func() bool {
				d, err := c.domain("f1")
				return err == nil && len(d.Groups) == 2 && !groupHas(d, victim) && c.groupsServe(2)
			})
			t.Logf("both groups serve %s after the loss", time.Since(lost))
			c.judgeGroups()
		})
	}
}

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

func (c *cluster) groupsServe(n int) bool {
	for _, d := range c.daemons {
		s, err := d.status()
		if err != nil || servingGroups(s.Groups) != n {
			return false
		}
	}
	return true
}

// TestHolderFreezesPastItsLease stops the daemon that controls the domain, lets a
// member die meanwhile so that another daemon takes over and repairs, and wakes it.
func TestHolderFreezesPastItsLease(t *testing.T) {
	for _, args := range [][]string{nil, {"--checks-fencing"}} {
		t.Run(strings.Join(append([]string{"engines"}, args...), " "), func(t *testing.T) {
			c := groupCluster(t, 7, 3, 2, 3, args...)
			before, err := c.domain("f1")
			require.NoError(t, err)
			holder := c.daemonNamed(before.Holder)
			victim := before.Groups[sortedGroups(before)[0]].Members[2]
			holder.pause()
			c.engine(victim).faults(t, engine.Faults{Crash: true})
			until(t, "another daemon holds the domain", func() bool {
				d, err := c.domain("f1")
				return err == nil && d.Holder != before.Holder && d.Fence > before.Fence
			})
			awake := c.others(holder)
			until(t, "two groups serve", func() bool {
				for _, d := range awake {
					s, err := d.status()
					if err != nil || servingGroups(s.Groups) != 2 {
						return false
					}
				}
				return true
			})
			holder.wake()
			report, results, err := load.Run(t.Context(), load.Options{
				Addresses: callersOf(awake), CallerKey: callerKey, Kind: load.Streams, Model: modelName,
				Rate: 10, Duration: 5 * time.Second, Deadline: 20 * time.Second, MaxTokens: 40, Prompts: 1 << 20,
				MaxInFlight: 200, Seed: 63,
			})
			require.NoError(t, err)
			requireSound(t, results)
			require.Equal(t, report.Sent, report.Whole)
			until(t, "the woken daemon sees two groups serve", func() bool { return c.groupsServe(2) })
			c.judgeGroups()
		})
	}
}

func (c *cluster) others(than *daemon) []*daemon {
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
		addresses = append(addresses, d.callers)
	}
	return addresses
}

// TestMemberFreezesAndReturns pauses a member's process past the freshness bound and
// wakes it, under load.
func TestMemberFreezesAndReturns(t *testing.T) {
	c := groupCluster(t, 6, 3, 2, 2)
	d, err := c.domain("f1")
	require.NoError(t, err)
	victim := c.engine(d.Groups[sortedGroups(d)[0]].Members[1])
	var fault sync.WaitGroup
	fault.Go(func() {
		time.Sleep(2 * time.Second)
		victim.pause()
		time.Sleep(4 * time.Second)
		victim.wake()
	})
	_, results := c.streams(10, 8*time.Second, 65, nil)
	fault.Wait()
	requireSound(t, results)
	until(t, "two groups serve again", func() bool { return c.groupsServe(2) })
	c.judgeGroups()
}
