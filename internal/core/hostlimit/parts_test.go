package hostlimit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is some daemons that know of the same limit.
type fleet struct {
	t       *testing.T
	now     time.Duration
	daemons []*Limits
	limit   float64
}

func newFleet(t *testing.T, daemons int, limit float64) *fleet {
	f := &fleet{t: t, now: time.Minute, limit: limit}
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("d%d", i))
	}
	for _, name := range names {
		l := New(name)
		l.SetDaemons(names)
		l.Record(f.now, stated(limit, f.now), true)
		f.daemons = append(f.daemons, l)
	}
	return f
}

func (f *fleet) part(i int) float64 {
	part, limited := f.daemons[i].Part(f.now, f.daemons[i].Host("a", 1), "s")
	require.True(f.t, limited)
	return part
}

func (f *fleet) sum() float64 {
	sum := 0.0
	for i := range f.daemons {
		sum += f.part(i)
	}
	return sum
}

// run lets requests come at rates and messages reach all daemons but the deaf ones.
func (f *fleet) run(length time.Duration, rates []float64, deaf ...int) {
	credit := make([]float64, len(rates))
	for until := f.now + length; f.now < until; f.now += 50 * ms {
		for i, rate := range rates {
			for credit[i] += rate * 0.05; credit[i] >= 1; credit[i]-- {
				f.daemons[i].RecordDemand(f.now, "s")
			}
			m, ok := f.daemons[i].Tick(f.now)
			if !ok {
				continue
			}
			for j, other := range f.daemons {
				if j != i && !slices.Contains(deaf, i) && !slices.Contains(deaf, j) {
					other.RecordMessage(f.now, m)
				}
			}
		}
	}
}

func TestPartsAddUpToTheLimit(t *testing.T) {
	for _, daemons := range []int{1, 2, 7, 40, 340} {
		for _, limit := range []float64{0.1, 0.3, 1, 4.8, 100, 1e9} {
			f := newFleet(t, daemons, limit)
			require.InEpsilon(t, limit, f.sum(), 0.001, "%d daemons, limit %v: before any message", daemons, limit)
			senders := 0
			for i := range f.daemons {
				if f.part(i) > 0 {
					senders++
				}
			}
			// Each may send one request at once.
			require.LessOrEqual(t, float64(senders), 2*limit+1, "%d daemons, limit %v", daemons, limit)
		}
	}
}

// TestPartsFollowDemand lets one of seven daemons have most of the requests.
func TestPartsFollowDemand(t *testing.T) {
	f := newFleet(t, 7, 10)
	f.run(5*time.Second, []float64{1, 1, 1, 30, 1, 1, 1})
	require.InEpsilon(t, 10, f.sum(), 0.001)
	require.Greater(t, f.part(3), 6.0)
	require.Greater(t, f.part(0), equalShare*10/7)
	f.run(5*time.Second, []float64{30, 1, 1, 1, 1, 1, 1})
	require.InEpsilon(t, 10, f.sum(), 0.001)
	require.Greater(t, f.part(0), 6.0)
}

// TestSilentDaemonsLoseTheirDemand lets one daemon fall silent. The others take over its part, but for
// its equal one, once it has been silent for long.
func TestSilentDaemonsLoseTheirDemand(t *testing.T) {
	rates := []float64{5, 5, 5, 5}
	f := newFleet(t, 4, 8)
	f.run(3*time.Second, rates)
	f.run(5*time.Second, rates, 3)
	require.InEpsilon(t, 2, f.part(0), 0.1, "it may still run")
	f.run(8*time.Second, rates, 3)
	require.InEpsilon(t, 8*(equalShare/4+(1-equalShare)/3), f.part(0), 0.1)
}

// TestDaemonsWithoutPartLookAfterAHostThatNobodyAsks lets a host be asked by nobody.
func TestDaemonsWithoutPartLookAfterAHostThatNobodyAsks(t *testing.T) {
	f := newFleet(t, 40, 1)
	may := func() (n int) {
		for i := range f.daemons {
			if f.part(i) > 0 && !f.daemons[i].Host("a", 1).part.hasPart {
				n++
			}
		}
		return n
	}
	require.Zero(t, may())
	f.now += unheardAfter
	require.Zero(t, may())
	f.now += 2*f.daemons[0].interval() + 4*unheardStep
	require.Equal(t, 2, may(), "in turns")
	for i, l := range f.daemons {
		if h := l.Host("a", 1); f.part(i) > 0 && !h.part.hasPart {
			h.RecordSent(f.now)
		}
	}
	require.Zero(t, may())
}

// TestRatesRiseAfterTheEnd ends a limit. It is forgotten when the rates have risen.
func TestRatesRiseAfterTheEnd(t *testing.T) {
	f := newFleet(t, 2, 4)
	l := f.daemons[0]
	l.Record(f.now, stated(0, f.now+1), true)
	require.Zero(t, l.InForce())
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		part, limited := l.Part(f.now+after, l.Host("a", 1), "s")
		require.True(t, limited)
		require.InEpsilon(t, 2*math.Exp2(after.Seconds()*2), part, 0.001)
	}
	_, limited := l.Part(f.now+rampTime, l.Host("a", 1), "s")
	require.False(t, limited)
	l.Tick(f.now + rampTime)
	require.Nil(t, l.Host("a", 1))
	_, due := l.Tick(f.now + time.Minute)
	require.False(t, due, "nothing is sent while no host is in need")
}

// TestNewsIsToldSoon changes a limit between two regular messages.
func TestNewsIsToldSoon(t *testing.T) {
	f := newFleet(t, 3, 4)
	l := f.daemons[0]
	m, due := l.Tick(f.now)
	require.True(t, due)
	require.Equal(t, []Statement{stated(4, f.now)}, m.Statements)
	_, due = l.Tick(f.now + 50*ms)
	require.False(t, due)
	l.Record(f.now+100*ms, stated(2, f.now+50*ms), true)
	_, due = l.Tick(f.now + 100*ms)
	require.False(t, due)
	m, due = l.Tick(f.now + urgentDelay)
	require.True(t, due)
	require.Equal(t, []Statement{stated(2, f.now+50*ms)}, m.Statements)
	l.Record(f.now+300*ms, stated(2, f.now+260*ms), false)
	m, due = l.Tick(f.now + 300*ms + minMessageInterval)
	require.True(t, due)
	require.Empty(t, m.Statements, "another daemon has told it")
}

// BenchmarkPart computes the parts of 730 hosts that name a limit, among 340 daemons.
func BenchmarkPart(b *testing.B) {
	var names []string
	for i := range 340 {
		names = append(names, fmt.Sprintf("d%d", i))
	}
	l := New("d7")
	l.SetDaemons(names)
	var hosts []*Host
	for i := range 730 {
		s := stated(5, 1)
		s.Host = fmt.Sprintf("h%d", i)
		l.Record(0, s, true)
		hosts = append(hosts, l.Host(s.Host, 1))
	}
	for i := 0; b.Loop(); i++ {
		l.Part(time.Duration(i)*time.Microsecond, hosts[i%len(hosts)], "s")
	}
}

// TestNoPartBeforeTheDaemonsAreKnown guards against daemons that have just started and each take the whole limit.
func TestNoPartBeforeTheDaemonsAreKnown(t *testing.T) {
	sum := 0.0
	for i := range 7 {
		l := New(fmt.Sprintf("d%d", i))
		l.Record(0, stated(4, 0), true)
		part, limited := l.Part(0, l.Host("a", 1), "s")
		require.True(t, limited)
		sum += part
	}
	require.LessOrEqual(t, sum, 4.0)
}
