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

func TestFewDaemonsQueryNoOther(t *testing.T) {
	few := daemons(minDaemonsToRelay - 1)
	all := append(few, Daemon{Name: "far", DataCentre: "b", Address: "10.0.1.1:1"}, Daemon{Name: "mute", DataCentre: "a"})
	for i := len(all); i < minDaemonsToRelayFar; i++ {
		all = append(all, Daemon{Name: fmt.Sprintf("far%d", i), DataCentre: "b", Address: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	for _, d := range few {
		_, ok := sourcesOf(d, all).Pick(0) // one of all has no address
		require.False(t, ok, d.Name)
	}
}

// TestSmallDataCentresShareSources lets daemons of data centres that are too small for sources
// of their own choose theirs, beside those of a large one. Only two daemons may be left that
// query the store, and the large data centre must stay by itself.
func TestSmallDataCentresShareSources(t *testing.T) {
	all := daemons(22)
	for i := range all {
		all[i].DataCentre = string(rune('a' + i%5))
	}
	large := daemons(minDaemonsToRelay)
	for i := range large {
		large[i].Name, large[i].DataCentre = "large-"+large[i].Name, "large"
	}
	all = append(all, large...)
	toStore := 0
	for _, d := range all {
		from, ok := sourcesOf(d, all).Pick(0)
		if !ok {
			toStore++
		} else if d.DataCentre == "large" {
			require.Equal(t, "large", from.DataCentre)
		}
	}
	require.LessOrEqual(t, toStore, 2)
}

// TestNoQueryCycles draws daemons, the part of them that each daemon knows, and failed
// sources. Following the sources from any daemon must end at one that queries the store.
func TestNoQueryCycles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := daemons(rapid.IntRange(minDaemonsToRelay, 60).Draw(rt, "daemons"))
		sourceOf := make(map[string]string)
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
				if nearby := slices.DeleteFunc(slices.Clone(known), func(o Daemon) bool { return o.DataCentre != d.DataCentre || o.Name == d.Name }); len(nearby)+1 >= minDaemonsToRelay {
					require.Equal(rt, d.DataCentre, from.DataCentre)
				}
				sourceOf[d.Name] = from.Name
			}
		}
		for _, d := range all {
			at := d.Name
			for range len(all) {
				at = sourceOf[at]
			}
			require.Empty(rt, at, "from %s", d.Name)
		}
	})
}

// TestQueriesAreSpread lets 340 daemons of one data centre choose their source, ten of them
// with more CPU cores. Only large ones may be queried, each by about as many others.
func TestQueriesAreSpread(t *testing.T) {
	all := daemons(340)
	for i := range 10 {
		all[34*i].Cores = 0.8
	}
	queriers := make(map[string]int)
	for _, d := range all {
		if from, ok := sourcesOf(d, all).Pick(0); ok {
			require.Equal(t, 0.8, from.Cores)
			queriers[from.Name]++
		}
	}
	require.Len(t, queriers, 340/daemonsPerSource)
	for name, n := range queriers {
		require.LessOrEqual(t, n, 2*daemonsPerSource, name)
	}
}

func TestFailedSourceIsAvoided(t *testing.T) {
	all := daemons(30)
	s := sourcesOf(slices.MaxFunc(all, compareRank), all)
	first, ok := s.Pick(0)
	require.True(t, ok)
	s.Avoid(time.Second, first.Name)
	for i := range minSources + fallbackSources - 1 {
		next, ok := s.Pick(time.Second)
		require.True(t, ok)
		require.NotEqual(t, first, next)
		s.Avoid(time.Second+time.Duration(i), next.Name)
	}
	_, ok = s.Pick(2 * time.Second)
	require.False(t, ok, "only the store remains")
	again, ok := s.Pick(time.Second + sourceRetryDelay)
	require.True(t, ok)
	require.Equal(t, first, again)
}
