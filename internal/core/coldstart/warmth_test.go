package coldstart

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLimitStaysColdUntilAnswered(t *testing.T) {
	l := Limits{Cold: 2, Warm: 16, AnswersToWarm: 14}
	var w Warmth
	require.True(t, w.Identify(1, 100))
	got := map[int64]int{}
	for _, n := range []int64{0, 1, 2, 5, 6, 13, 14} {
		w.Identify(1, 100+n)
		got[n], _ = w.Limit(l)
	}
	require.Equal(t, map[int64]int{0: 2, 1: 2, 2: 2, 5: 2, 6: 2, 13: 2, 14: 16}, got)
}

func TestTargetTurnsColdAgain(t *testing.T) {
	l := Limits{Cold: 1, Warm: 8, AnswersToWarm: 4}
	cases := map[string]func(w *Warmth){
		"new incarnation": func(w *Warmth) { w.Identify(2, 9) },
		"count fell":      func(w *Warmth) { w.Identify(1, 0) },
		"reset":           func(w *Warmth) { w.Reset(1, 9) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var w Warmth
			w.Identify(1, 2)
			for range 4 {
				w.CountAnswer()
			}
			limit, warm := w.Limit(l)
			require.True(t, warm)
			require.Equal(t, 8, limit)
			change(&w)
			limit, warm = w.Limit(l)
			require.False(t, warm)
			require.Equal(t, 1, limit)
		})
	}
}

func TestLimitIsNeverAboveWarm(t *testing.T) {
	for cold := 1; cold <= 20; cold++ {
		for warm := cold; warm <= 40; warm++ {
			var w Warmth
			last := 0
			for n := range int64(60) {
				w.Identify(1, n)
				limit, _ := w.Limit(Limits{Cold: cold, Warm: warm, AnswersToWarm: 50})
				require.GreaterOrEqual(t, limit, last)
				require.LessOrEqual(t, limit, warm)
				last = limit
			}
			require.Equal(t, warm, last)
		}
	}
}
