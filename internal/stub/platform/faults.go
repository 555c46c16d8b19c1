package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// DownMode says how the platform behaves while it is down.
type DownMode string

// The ways of being down.
const (
	DownNot    DownMode = ""       // in service
	DownRefuse DownMode = "refuse" // answers 503
	DownReset  DownMode = "reset"  // closes the connection
	DownHang   DownMode = "hang"   // holds calls until the fault ends
)

// Faults is everything that the stand-in can be told to do wrong. Setting it
// replaces the faults set before.
type Faults struct {
	Down       DownMode `json:"down,omitempty"`
	SlowMillis int64    `json:"slowMillis,omitempty"`
	// LoseWriteAnswers is the share of writes, 0 to 1, that take effect although
	// the connection is dropped before the answer.
	LoseWriteAnswers float64 `json:"loseWriteAnswers,omitempty"`
	// Seed restarts the draw of lost answers; zero goes on with the running one.
	Seed uint64 `json:"seed,omitempty"`
	// ReadsPerSecond and WritesPerSecond bound the rates; beyond them calls get 429.
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
}

// HostsUpdate replaces the host list after a lag.
type HostsUpdate struct {
	Hosts     []platformapi.Host `json:"hosts"`
	LagMillis int64              `json:"lagMillis,omitempty"`
}

// faultState holds the faults in force and their draw.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	draw    *rand.Rand
	changed chan struct{} // closed at the next setting
	reads   allowance
	writes  allowance
}

func newFaultState(seed uint64) *faultState {
	return &faultState{draw: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if faults.Seed != 0 {
		f.draw = rand.New(rand.NewPCG(faults.Seed, 0))
	}
	f.reads = allowance{perSecond: faults.ReadsPerSecond, tokens: faults.ReadsPerSecond}
	f.writes = allowance{perSecond: faults.WritesPerSecond, tokens: faults.WritesPerSecond}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultState) current() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

// loses draws whether the answer of a write is lost.
func (f *faultState) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.LoseWriteAnswers > 0 && f.draw.Float64() < f.faults.LoseWriteAnswers
}

func (f *faultState) admit(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		return f.writes.take(time.Now())
	}
	return f.reads.take(time.Now())
}

// pass holds the call back as the faults say and reports whether it may go on.
func (f *faultState) pass(w http.ResponseWriter, r *http.Request) bool {
	if !f.waitUp(w, r.Context()) {
		return false
	}
	if !f.admit(isWrite(r)) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	faults, _ := f.current()
	// The delay ignores the caller's departure: a write on its way still arrives.
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	return true
}

func (f *faultState) waitUp(w http.ResponseWriter, ctx context.Context) bool {
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

// allowance is a token bucket that holds one second's worth.
type allowance struct {
	perSecond float64 // 0 means no bound
	tokens    float64
	at        time.Time
}

func (a *allowance) take(now time.Time) bool {
	if a.perSecond == 0 {
		return true
	}
	if !a.at.IsZero() {
		a.tokens = min(a.perSecond, a.tokens+a.perSecond*now.Sub(a.at).Seconds())
	}
	a.at = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
