package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func daemons(n int) []Daemon {
	list := make([]Daemon, n)
	for i := range list {
		list[i] = Daemon{Name: fmt.Sprintf("d%d", i), DataCentre: "a", Address: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.2}
	}
	return list
}

func sourcesOf(self Daemon, all []Daemon) *Sources {
	s := NewSources(self)
	s.SetDaemons(all)
	return s
}

func TestFewDaemonsAskNobody(t *testing.T) {
	few := daemons(relayFrom - 1)
	all := append(few, Daemon{Name: "far", DataCentre: "b", Address: "10.0.1.1:1"}, Daemon{Name: "mute", DataCentre: "a"})
	for _, d := range few {
		_, ok := sourcesOf(d, all).Pick(0)
		require.False(t, ok, d.Name)
	}
}

// TestNobodyAsksInACircle draws daemons and what each of them knows of the others: whoever is
// asked, and whoever failed, following those that are asked ends at one that asks nobody.
func TestNobodyAsksInACircle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := daemons(rapid.IntRange(relayFrom, 60).Draw(rt, "daemons"))
		asks := make(map[string]string)
		for i := range all {
			all[i].Cores = rapid.SampledFrom([]float64{0.2, 0.8}).Draw(rt, "cores")
			all[i].DataCentre = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "data centre")
		}
		for _, d := range all {
			known := all[rapid.IntRange(0, len(all)-1).Draw(rt, "unknown"):]
			s := sourcesOf(d, known)
			for range rapid.IntRange(0, 3).Draw(rt, "failed") {
				if from, ok := s.Pick(0); ok {
					s.Avoid(0, from.Name)
				}
			}
			if from, ok := s.Pick(0); ok {
				require.Equal(rt, d.DataCentre, from.DataCentre)
				asks[d.Name] = from.Name
			}
		}
		for _, d := range all {
			at := d.Name
			for range len(all) {
				at = asks[at]
			}
			require.Empty(rt, at, "from %s", d.Name)
		}
	})
}

// TestQuestionsAreSpread lets 340 daemons of one data centre, eight of them large, choose: the
// large ones are asked, each by about as many.
func TestQuestionsAreSpread(t *testing.T) {
	all := daemons(340)
	for i := range 10 {
		all[34*i].Cores = 0.8
	}
	asked := make(map[string]int)
	for _, d := range all {
		if from, ok := sourcesOf(d, all).Pick(0); ok {
			require.Equal(t, 0.8, from.Cores)
			asked[from.Name]++
		}
	}
	require.Len(t, asked, 340/perSource)
	for name, n := range asked {
		require.LessOrEqual(t, n, 2*perSource, name)
	}
}

func TestFailedSourceIsAvoidedForAWhile(t *testing.T) {
	all := daemons(30)
	s := sourcesOf(slices.MaxFunc(all, compare), all)
	first, ok := s.Pick(0)
	require.True(t, ok)
	s.Avoid(time.Second, first.Name)
	for i := range leastSources + standIns - 1 {
		next, ok := s.Pick(time.Second)
		require.True(t, ok)
		require.NotEqual(t, first, next)
		s.Avoid(time.Second+time.Duration(i), next.Name)
	}
	_, ok = s.Pick(2 * time.Second)
	require.False(t, ok, "the store is left")
	again, ok := s.Pick(time.Second + avoidFor)
	require.True(t, ok)
	require.Equal(t, first, again)
}
