package place

import (
	"math"
	"time"
)

const (
	// lagWeight is the weight of one request in the lag of a model, and lagHalf the time in
	// which a lag that nothing confirms halves.
	lagWeight = 0.2
	lagHalf   = 2 * time.Second
	// lagMost bounds it: no estimate is that wrong for long.
	lagMost = 8
)

// lag is how many times longer than estimated requests of a model take to begin: more than
// one where all its targets have more to do than this daemon is told, as after a loss of
// many of them. Waiting on at one is better then than reading the prompt again at another,
// which has as much to do.
type lag struct {
	over float64 // beyond one
	at   time.Duration
}

func (l *lag) now(now time.Duration) float64 {
	if l == nil {
		return 1
	}
	return 1 + l.over*math.Exp2(-float64(now-l.at)/float64(lagHalf))
}

// Took notes how long a request took to begin, and what was estimated. One that has not begun
// tells nothing: its target may be lost.
func (b *Book) Took(now time.Duration, service, model string, took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	key := poolKey{service, model}
	l := b.lag[key]
	if l == nil {
		l = &lag{}
		b.lag[key] = l
	}
	seen := min(max(float64(took)/float64(estimate), 1), lagMost)
	before := l.now(now)
	l.over, l.at = before+lagWeight*(seen-before)-1, now
}

// Lag returns how many times longer than estimated requests of a model take to begin now.
func (b *Book) Lag(now time.Duration, service, model string) float64 {
	return b.lag[poolKey{service, model}].now(now)
}
