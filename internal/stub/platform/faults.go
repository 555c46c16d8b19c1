package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// DownMode is the behaviour of the platform during an outage.
type DownMode string

// The kinds of outages.
const (
	DownNot    DownMode = ""       // no outage
	DownRefuse DownMode = "refuse" // answers 503
	DownReset  DownMode = "reset"  // aborts the connection
	DownHang   DownMode = "hang"   // withholds answers until the faults change
)

// Faults are the faults that the platform shows. A new setting replaces the faults in force.
// SlowMillis delays each call.
type Faults struct {
	Down       DownMode `json:"down,omitempty"`
	SlowMillis int64    `json:"slowMillis,omitempty"`
	// LoseWriteAnswers is the share of writes, from 0 to 1, whose connection is aborted before
	// the answer, although the write was handled.
	LoseWriteAnswers float64 `json:"loseWriteAnswers,omitempty"`
	// Seed restarts the random sequence that selects the lost answers; 0 continues the current
	// one.
	Seed uint64 `json:"seed,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the rates of calls; calls above them get 429. 0
	// is no limit.
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
}

// HostsUpdate replaces the host list after a delay.
type HostsUpdate struct {
	Hosts     []platformapi.Host `json:"hosts"`
	LagMillis int64              `json:"lagMillis,omitempty"`
}

// faultState holds the faults in force, the random sequence of lost answers and the rate
// limits.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	changed chan struct{} // closed at the next change of faults
	reads   rateLimit
	writes  rateLimit
}

func newFaultState(seed uint64) *faultState {
	return &faultState{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if faults.Seed != 0 {
		f.random = rand.New(rand.NewPCG(faults.Seed, 0))
	}
	f.reads = rateLimit{perSecond: faults.ReadsPerSecond, tokens: faults.ReadsPerSecond}
	f.writes = rateLimit{perSecond: faults.WritesPerSecond, tokens: faults.WritesPerSecond}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultState) current() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

// losesAnswer decides whether the answer of a write is lost.
func (f *faultState) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.LoseWriteAnswers > 0 && f.random.Float64() < f.faults.LoseWriteAnswers
}

func (f *faultState) takeToken(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		return f.writes.take(time.Now())
	}
	return f.reads.take(time.Now())
}

// admitCall applies outage, rate limits and delay to a call. It returns false if the call was
// answered with an error.
func (f *faultState) admitCall(w http.ResponseWriter, r *http.Request) bool {
	if !f.waitUntilUp(w, r.Context()) {
		return false
	}
	if !f.takeToken(isWrite(r)) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	faults, _ := f.current()
	// The delay continues if the caller disconnects, since a write that has been sent still
	// arrives.
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	return true
}

// waitUntilUp applies the outage in force: it returns true if there is none, and waits for its
// end if it withholds answers.
func (f *faultState) waitUntilUp(w http.ResponseWriter, ctx context.Context) bool {
	for {
		faults, changed := f.current()
		switch faults.Down {
		case DownRefuse:
			http.Error(w, "out of service", http.StatusServiceUnavailable)
			return false
		case DownReset:
			panic(http.ErrAbortHandler)
		case DownHang:
			select {
			case <-changed:
			case <-ctx.Done():
				panic(http.ErrAbortHandler)
			}
		default:
			return true
		}
	}
}

func isWrite(r *http.Request) bool {
	return r.Method == http.MethodPut || r.Method == http.MethodDelete
}

// rateLimit is a token bucket with a capacity of the tokens of one second.
type rateLimit struct {
	perSecond  float64 // 0 means no limit
	tokens     float64 // calls that are allowed now
	refilledAt time.Time
}

func (a *rateLimit) take(now time.Time) bool {
	if a.perSecond == 0 {
		return true
	}
	if !a.refilledAt.IsZero() {
		a.tokens = min(a.perSecond, a.tokens+a.perSecond*now.Sub(a.refilledAt).Seconds())
	}
	a.refilledAt = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
