package admit

import "time"

const (
	// smoothingWeight is the weight of a new measurement in the moving average.
	smoothingWeight = 0.1
	// runTimeFactor times the average run time is the run time that a request is expected to
	// need. A request that is expected to finish exactly at its deadline mostly finishes just
	// after it, and has then taken a slot from one that could complete.
	runTimeFactor = 1.25
)

// estimator estimates waits and run times at a set of targets, from the average run time of one
// request and the number of requests that may run concurrently.
type estimator struct {
	meanSeconds float64 // moving average of the run time; zero before the first measurement
}

func (e *estimator) record(runTime time.Duration) {
	if e.meanSeconds == 0 {
		e.meanSeconds = runTime.Seconds()
		return
	}
	e.meanSeconds += smoothingWeight * (runTime.Seconds() - e.meanSeconds)
}

// wait estimates how long it takes until a number of requests have got a slot. It returns zero
// before the first measurement, so that no request is refused without data.
func (e *estimator) wait(ahead, slots int) time.Duration {
	return time.Duration(float64(ahead) * e.meanSeconds / float64(max(slots, 1)) * float64(time.Second))
}

// runTime estimates how long one request runs; see runTimeFactor.
func (e *estimator) runTime() time.Duration {
	return time.Duration(runTimeFactor * e.meanSeconds * float64(time.Second))
}
