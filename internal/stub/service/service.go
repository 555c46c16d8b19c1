// Package service is a stub plain service whose calls may have effects, for tests and
// measurements. It counts how often each idempotency key was run, so that tests find calls
// that ran twice. It loses its connections and its warmth, but no counts, when its incarnation
// ends (see packages lifecycle and warmth). Faults make it misbehave.
package service

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/lifecycle"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/warmth"
)

// maxBodyBytes bounds what is read of a call's body.
const maxBodyBytes = 16 << 20

// Paths of the control interface.
const (
	PathStats  = "/stub/stats"
	PathFaults = "/stub/faults"
)

// Options are the settings of a service.
type Options struct {
	Host         string
	RunTime      time.Duration // time between the start of a run and its answer
	RestartDelay time.Duration // time between two incarnations
	Seed         uint64        // determines which calls get the faults of Shares
	Warmth       warmth.Limits
}

// Service is one service: a sequence of incarnations, with faults and counts that outlast
// them.
type Service struct {
	options Options
	process *lifecycle.Process[*warmth.Gate]

	mu       sync.Mutex
	stats    Stats
	faults   Faults
	resumed  chan struct{}     // closed when a pause ends
	arrivals map[string]uint64 // number of calls by key, from which Shares are drawn
	previous *Answer           // last answer sent, used for crossed answers
}

// Answer is the body of the answer to a call.
type Answer struct {
	Key         string `json:"key"`
	Attempt     string `json:"attempt"`
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	// Run is the number of runs of this key so far, including this one; 0 without a key.
	Run int64 `json:"run"`
	// BodyDigest is the digest of the call's body, by which the caller recognises the answer
	// to its call.
	BodyDigest string `json:"bodyDigest"`
}

// Digest returns the BodyDigest of a call's body.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// New returns a service whose first incarnation is running.
func New(o Options) *Service {
	s := &Service{
		options: o, resumed: make(chan struct{}), arrivals: make(map[string]uint64),
		stats: Stats{RunsByKey: make(map[string]int64), AttemptsByKey: make(map[string][]string)},
	}
	s.process = lifecycle.New(o.Host, o.RestartDelay, func() *warmth.Gate { return warmth.New(o.Warmth) })
	return s
}

// Hooks returns the server hooks that bind each connection to the incarnation that accepted
// it.
func (s *Service) Hooks() serve.Hooks {
	return serve.Hooks{ConnContext: s.process.ConnContext, ConnState: s.process.ConnState}
}

// Handler returns the handler of the control interface, the probe and calls on all other
// paths.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, s.Stats()) })
	r.Post(PathFaults, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, s.SetFaults) })
	r.Get(engineapi.PathProbe, s.handleProbe)
	r.Handle("/*", http.HandlerFunc(s.handleCall))
	return r
}

func (s *Service) handleProbe(w http.ResponseWriter, r *http.Request) {
	s.waitWhilePaused(r)
	w.Header().Set(engineapi.HeaderIncarnation, s.process.Of(r).ID)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	i := s.process.Of(r)
	s.waitWhilePaused(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
	w.Header().Set(engineapi.HeaderIncarnation, i.ID)
	key := r.Header.Get(engineapi.HeaderIdempotencyKey)
	fault := s.nextFault(key)
	if fault == CrashBefore {
		s.endIncarnation(i)
		panic(http.ErrAbortHandler)
	}
	if fault == RefuseBefore || !s.admit(i) {
		s.refuse(w)
		return
	}
	// The call leaves the gate before its answer is sent, since the caller may send the next
	// call as soon as it has the answer.
	answer, ran := s.run(r, i, body, key)
	i.State.Leave(ran && (fault == NoFault || fault == Cross))
	if !ran {
		panic(http.ErrAbortHandler)
	}
	s.sendAnswer(w, i, answer, fault)
}

// admit passes a call through the gate. It returns false if the call must be refused, and
// aborts the connection if the incarnation crashes by overload or has crashed.
func (s *Service) admit(i *lifecycle.Incarnation[*warmth.Gate]) bool {
	switch i.State.Enter() {
	case warmth.Run:
		return true
	case warmth.Refuse:
		return false
	case warmth.Crash:
		s.count(func(stats *Stats) { stats.OverloadCrashes++ })
		s.endIncarnation(i)
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) refuse(w http.ResponseWriter) {
	s.count(func(stats *Stats) { stats.Refused++ })
	w.Header().Set(engineapi.HeaderNotRun, "true")
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

// run counts the run of the call, then waits for the run time. The run stays counted if the
// incarnation ends meanwhile; run then returns false.
func (s *Service) run(r *http.Request, i *lifecycle.Incarnation[*warmth.Gate], body []byte, key string) (Answer, bool) {
	attempt := r.Header.Get(engineapi.HeaderAttempt)
	runs := s.countRun(key, attempt)
	timer := time.NewTimer(s.options.RunTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-i.Context().Done():
		return Answer{}, false
	}
	s.waitWhilePaused(r)
	return Answer{
		Key: key, Attempt: attempt, Host: s.options.Host, Incarnation: i.ID,
		Method: r.Method, Path: r.URL.Path, Run: runs, BodyDigest: Digest(body),
	}, true
}

// sendAnswer sends the answer, changed by the call's fault.
func (s *Service) sendAnswer(w http.ResponseWriter, i *lifecycle.Incarnation[*warmth.Gate], answer Answer, fault Fault) {
	switch fault {
	case CrashAfter:
		s.endIncarnation(i)
		panic(http.ErrAbortHandler)
	case FailAfter:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case Cross:
		answer = s.crossedAnswer(answer)
	}
	s.setPrevious(answer)
	w.Header().Set(engineapi.HeaderAttempt, answer.Attempt)
	w.Header().Set("Content-Type", "application/json")
	text := encode(answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == Truncate {
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
	s.count(func(stats *Stats) { stats.Completed++ })
}
