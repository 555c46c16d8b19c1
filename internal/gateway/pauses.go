package gateway

import (
	"sync"
	"time"
)

const (
	// pauseThreshold is how long nothing was done, not even a tick, if the process counts as paused. A lower one
	// would end streams too soon on a machine that is short of processors.
	pauseThreshold = 20 * tickInterval
	// signalDelay is how long after a pause a signal may be received that was sent during it.
	signalDelay = 200 * time.Millisecond
)

// pauses knows the last pause of the process: it was stopped by a signal, or got no processor. It is safe for
// concurrent use.
type pauses struct {
	mu       sync.Mutex
	activeAt time.Duration // when the reducer last began to handle an event; zero before
	from, to time.Duration // the last pause; equal if there was none
}

// active records that the reducer begins to handle an event.
func (p *pauses) active(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
	p.activeAt = now
}

func (p *pauses) update(now time.Duration) {
	if p.activeAt > 0 && now-p.activeAt >= pauseThreshold {
		p.from, p.to = p.activeAt, now
	}
}

// sentBy returns the earliest time at which a signal may have been sent that is received now.
func (p *pauses) sentBy(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
	if p.to > p.from && now-p.to <= signalDelay {
		return p.from
	}
	return now
}
