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

// faultGrace lets the answer to a setting leave before connections close.
const faultGrace = 20 * time.Millisecond

// Fault is what goes wrong with one call.
type Fault int

// The faults of a call.
const (
	Sound        Fault = iota
	CrashBefore        // the incarnation ends before the call has run
	CrashAfter         // it ends after the run and before the answer
	Truncate           // the answer breaks off half-way
	Cross              // the answer is another call's
	RefuseBefore       // 503 with X-Not-Run
	FailAfter          // 500 after the run
)

// Faults is what the stand-in can be told to do wrong. Setting it replaces the
// faults set before; Crash acts once.
type Faults struct {
	Pause  bool   `json:"pause,omitempty"`
	Crash  bool   `json:"crash,omitempty"`
	Counts Counts `json:"counts,omitzero"`
	Shares Shares `json:"shares,omitzero"`
}

// Counts strike the next calls, in the order of the fields.
type Counts struct {
	CrashBefore  int `json:"crashBefore,omitempty"`
	CrashAfter   int `json:"crashAfter,omitempty"`
	Truncate     int `json:"truncate,omitempty"`
	Cross        int `json:"cross,omitempty"`
	RefuseBefore int `json:"refuseBefore,omitempty"`
	FailAfter    int `json:"failAfter,omitempty"`
}

// Shares strike a share of the calls each, 0 to 1, drawn from the seed, the key
// and how often the key has arrived: the same for any order of calls.
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
		time.AfterFunc(faultGrace, func() { s.end(i) })
	}
}

// draw picks the fault of the next call.
func (s *Service) draw(key string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[key]++
	if fault := s.faults.Counts.next(); fault != Sound {
		return fault
	}
	return s.faults.Shares.pick(s.options.Seed, key, s.arrivals[key])
}

func (c *Counts) next() Fault {
	for _, left := range []struct {
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
		if *left.count > 0 {
			*left.count--
			return left.fault
		}
	}
	return Sound
}

func (s *Shares) pick(seed uint64, key string, arrival uint64) Fault {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, seed))
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, arrival))
	point := float64(digest.Sum64()) / math.MaxUint64
	for _, part := range []struct {
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
		if point < part.share {
			return part.fault
		}
		point -= part.share
	}
	return Sound
}

// end ends an incarnation and keeps its peaks.
func (s *Service) end(i *lifecycle.Incarnation[*warmth.Gate]) {
	s.keepPeaks(i.State)
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

// other returns the answer given before, or a made-up one.
func (s *Service) other(own Answer) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.previous != nil && s.previous.Attempt != own.Attempt {
		return *s.previous
	}
	own.Attempt, own.Key, own.BodyDigest = "other-"+own.Attempt, "other-"+own.Key, ""
	return own
}

func (s *Service) remember(a Answer) {
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
