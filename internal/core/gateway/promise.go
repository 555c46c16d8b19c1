package gateway

import (
	"strconv"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
)

// promisesNotRun reports whether callers take a status as the promise that their request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// withheld reports whether the complete answer of an attempt must not reach the caller. Its status would
// promise that the request has not run, but a target that has not run it states so, and such an attempt ends
// as refused. For a request that may run again the promise means nothing.
func (c *call) withheld(e step.ForwardEnded) bool {
	return (e.Ending == step.EndedComplete || e.Ending == step.EndedError) && !c.route.MayRepeat() && promisesNotRun(e.Status)
}

// endingReason is why a request ends with the failure of its last attempt.
func (c *call) endingReason(e step.ForwardEnded) string {
	if c.withheld(e) {
		return "status " + strconv.Itoa(e.Status) + " without the statement that it has not run"
	}
	return e.Ending.String()
}
