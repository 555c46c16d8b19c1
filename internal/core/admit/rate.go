package admit

import "time"

const (
	// smoothing is the weight of a new measurement.
	smoothing = 0.1
	// spread is how much longer than the smoothed time a request is taken to run. What
	// would end just at its deadline mostly ends just after it, and has then taken a
	// place from one that could be whole.
	spread = 1.25
)

// rate estimates how fast a pool of targets serves, from how long one request runs
// and how many may run side by side.
type rate struct {
	runTime float64 // seconds, smoothed; zero until measured
}

func (r *rate) served(ran time.Duration) {
	if r.runTime == 0 {
		r.runTime = ran.Seconds()
		return
	}
	r.runTime += smoothing * (ran.Seconds() - r.runTime)
}

// wait estimates how long it takes until a number of requests have got a place.
// Without a measurement it says zero: nothing is refused on a guess.
func (r *rate) wait(ahead, places int) time.Duration {
	return time.Duration(float64(ahead) * r.runTime / float64(max(places, 1)) * float64(time.Second))
}

// running estimates how long one request runs.
func (r *rate) running() time.Duration {
	return time.Duration(spread * r.runTime * float64(time.Second))
}
