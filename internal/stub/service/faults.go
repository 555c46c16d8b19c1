package service

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// closeDelay is the wait between the answer to a crash setting and the reset of all
// connections, so that the answer arrives first.
const closeDelay = 20 * time.Millisecond

// Fault is the fault of one call.
type Fault int

// The faults of a call.
const (
	NoFault      Fault = iota
	CrashBefore        // the incarnation ends before the call runs
	CrashAfter         // the incarnation ends after the run and before the answer
	Truncate           // the connection is aborted after half of the answer
	Cross              // another call's answer is sent
	RefuseBefore       // 503 with X-Not-Run, before the run
	FailAfter          // 500 after the run
)

// Faults are the faults that the service shows. A new setting replaces the faults in force.
// Pause withholds all answers. Crash acts once, after the setting has been answered.
type Faults struct {
	Pause  bool   `json:"pause,omitempty"`
	Crash  bool   `json:"crash,omitempty"`
	Counts Counts `json:"counts,omitzero"`
	Shares Shares `json:"shares,omitzero"`
}

// Counts are the numbers of the next calls that get each fault, in the order of the fields.
type Counts struct {
	CrashBefore  int `json:"crashBefore,omitempty"`
	CrashAfter   int `json:"crashAfter,omitempty"`
	Truncate     int `json:"truncate,omitempty"`
	Cross        int `json:"cross,omitempty"`
	RefuseBefore int `json:"refuseBefore,omitempty"`
	FailAfter    int `json:"failAfter,omitempty"`
}

// Shares are the shares of calls, from 0 to 1, that get each fault. The choice depends on the
// seed, the key and the number of earlier calls with the key, so that it is the same for any
// order of calls.
type Shares struct {
	CrashBefore  float64 `json:"crashBefore,omitempty"`
	CrashAfter   float64 `json:"crashAfter,omitempty"`
	Truncate     float64 `json:"truncate,omitempty"`
	Cross        float64 `json:"cross,omitempty"`
	RefuseBefore float64 `json:"refuseBefore,omitempty"`
	FailAfter    float64 `json:"failAfter,omitempty"`
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	if s.faults.Pause && !f.Pause {
		close(s.resumed)
		s.resumed = make(chan struct{})
	}
	s.faults = f
	s.mu.Unlock()
	if i, running := s.process.Current(); running && f.Crash {
		time.AfterFunc(closeDelay, func() { s.endIncarnation(i) })
	}
}

// nextFault returns the fault of the next call, which has this key. Counts come before shares.
func (s *Service) nextFault(key string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[key]++
	if fault := s.faults.Counts.next(); fault != NoFault {
		return fault
	}
	return s.faults.Shares.pick(s.options.Seed, key, s.arrivals[key])
}

// next returns the first fault with a count above 0 and counts it down.
func (c *Counts) next() Fault {
	for _, entry := range []struct {
		count *int
		fault Fault
	}{
		{&c.CrashBefore, CrashBefore},
		{&c.CrashAfter, CrashAfter},
		{&c.Truncate, Truncate},
		{&c.Cross, Cross},
		{&c.RefuseBefore, RefuseBefore},
		{&c.FailAfter, FailAfter},
	} {
		if *entry.count > 0 {
			*entry.count--
			return entry.fault
		}
	}
	return NoFault
}

// pick returns the fault of the nth arrival of a key.
func (s *Shares) pick(seed uint64, key string, arrival uint64) Fault {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, seed))
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, arrival))
	point := float64(digest.Sum64()) / math.MaxUint64
	for _, entry := range []struct {
		share float64
		fault Fault
	}{
		{s.CrashBefore, CrashBefore},
		{s.CrashAfter, CrashAfter},
		{s.Truncate, Truncate},
		{s.Cross, Cross},
		{s.RefuseBefore, RefuseBefore},
		{s.FailAfter, FailAfter},
	} {
		if point < entry.share {
			return entry.fault
		}
		point -= entry.share
	}
	return NoFault
}

// endIncarnation records the peaks of an incarnation and ends it.
func (s *Service) endIncarnation(i *lifecycle.Incarnation[*warmth.Gate]) {
	s.recordPeaks(i.State)
	s.process.End(i)
}

func (s *Service) waitWhilePaused(r *http.Request) {
	for {
		s.mu.Lock()
		paused, resumed := s.faults.Pause, s.resumed
		s.mu.Unlock()
		if !paused {
			return
		}
		select {
		case <-resumed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// crossedAnswer returns the answer to the previous call, or an invented one if there is none
// or it is of the same attempt.
func (s *Service) crossedAnswer(own Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.previous != nil && s.previous.Attempt != own.Attempt {
		return *s.previous
	}
	own.Attempt, own.Key, own.BodyDigest = "other-"+own.Attempt, "other-"+own.Key, ""
	return own
}

func (s *Service) setPrevious(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous = &a
}

func encode(a Answer) []byte {
	text, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return text
}
