package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// halfDealer gives each of two daemons half of the slots.
type halfDealer struct{}

func (halfDealer) Share(_ string, slots int) int { return (slots + 1) / 2 }
func (halfDealer) Daemons() []string             { return []string{"a", "b"} }
func (halfDealer) Forget(string)                 {}

func answered(n int64, sent time.Duration) step.HostReport {
	r := report("h000-0", sent)
	r.Status.CompleteAnswers = n
	return r
}

func TestLimitRisesWithAnswersAndResetsWhenCold(t *testing.T) {
	v, c := fleetOf(1)
	v.SetDealer(halfDealer{})
	target, _ := v.Target("d000.0")
	var out step.Out
	v.Tick(at(1), &out)
	require.Equal(t, 1, target.Limit, "half of the cold limit")
	v.HostReport(at(2), answered(8, 2))
	v.Tick(at(warmLimitInterval), &out)
	require.Equal(t, 8, target.Limit, "half of the warm limit")

	cold := map[string]func(){
		"new incarnation of a member": func() {
			r := report("h000-5", 3)
			r.Status.Incarnation = "i2"
			v.HostReport(at(3), r)
		},
		"stale report": func() {
			require.Empty(t, v.Candidates(at(ReportMaxAge+10), "m", ""))
			for i := range 8 {
				v.HostReport(at(ReportMaxAge+11), report(fmt.Sprintf("h000-%d", i), ReportMaxAge+11))
			}
		},
		"taken out and in": func() {
			c.centres["dc"] = &object.DataCentre{Out: true}
			v.ConfigChanged(at(4))
			c.centres["dc"].Out = false
			v.ConfigChanged(at(4))
		},
	}
	for _, name := range sortedKeys(cold) {
		v, c = fleetOf(1)
		v.SetDealer(halfDealer{})
		target, _ = v.Target("d000.0")
		v.HostReport(at(2), answered(8, 2))
		v.Tick(at(warmLimitInterval), &out)
		cold[name]()
		require.Equal(t, 1, target.Limit, name)
	}
}

func TestRestartIsDetectedFromAnswer(t *testing.T) {
	v, _ := fleetOf(1)
	v.Begin(at(1), "d000.0", 1)
	v.End(at(2), "d000.0", 1, step.EndedComplete, "i2")
	require.Empty(t, v.Candidates(at(2), "m", ""), "not routable until the reports agree again")
	v.HostReport(at(3), report("h000-0", 3))
	require.Len(t, v.Candidates(at(3), "m", ""), 1)
}

func TestWarmSharesFollowDemand(t *testing.T) {
	v, _ := fleetOf(1)
	v.SetDealer(halfDealer{})
	v.HostReport(at(2), answered(8, 2))
	target, _ := v.Target("d000.0")
	var out step.Out
	now := warmLimitInterval
	for range 20 {
		v.Tick(step.Time{Mono: now, Unix: now.Milliseconds()}, &out)
		for target.Free() > 0 {
			v.Begin(at(now), target.Name, 1)
		}
		now += warmLimitInterval
	}
	require.Equal(t, 16, target.InFlight, "a single busy daemon reaches the full limit after some intervals")
	v.Heartbeat(at(now), "b", step.Heartbeat{Loads: []step.Load{{Target: target.Name, InFlight: 3}}})
	v.Tick(at(now), &out)
	require.Zero(t, target.Free())
}

func TestSharesOfUnresponsiveDaemonsStayUnused(t *testing.T) {
	v, _ := fleetOf(1)
	v.SetDealer(halfDealer{})
	v.members.(*fakeMembers).live = []string{"a"}
	v.HostReport(at(2), answered(8, 2))
	target, _ := v.Target("d000.0")
	var out step.Out
	for now := warmLimitInterval; now < 20*warmLimitInterval; now += warmLimitInterval {
		v.Tick(step.Time{Mono: now, Unix: now.Milliseconds()}, &out)
		for target.Free() > 0 {
			v.Begin(at(now), target.Name, 1)
		}
	}
	require.Equal(t, 8, target.InFlight)
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{10, 90, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, _ := fleetOf(n)
			b.ReportAllocs()
			for b.Loop() {
				if len(v.Candidates(at(1), "m", "")) != n {
					b.Fatal("not all are routable")
				}
			}
		})
	}
}

// manyGroups is the number of groups expected within the next two years, with 720 hosts.
const manyGroups = 90

func BenchmarkHostReport(b *testing.B) {
	v, _ := fleetOf(manyGroups)
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now++
		v.HostReport(at(now), report("h045-3", now))
	}
}

func BenchmarkTick(b *testing.B) {
	v, _ := fleetOf(manyGroups)
	v.SetDealer(halfDealer{})
	b.ReportAllocs()
	now := time.Duration(0)
	var out step.Out
	for b.Loop() {
		now++
		out.Effects = out.Effects[:0]
		v.Tick(at(now), &out)
	}
}

func BenchmarkConfigChanged(b *testing.B) {
	v, _ := fleetOf(manyGroups)
	b.ReportAllocs()
	for b.Loop() {
		v.ConfigChanged(at(1))
	}
}
