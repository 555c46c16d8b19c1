// Package service is a small stand-in for a plain service whose calls may have
// effects: it counts how often each idempotency key was run and can be told to
// misbehave.
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

const maxBodyBytes = 16 << 20

// Paths of the stand-in's own interface.
const (
	PathStats  = "/stub/stats"
	PathFaults = "/stub/faults"
)

// Options are the stand-in's settings.
type Options struct {
	Host    string
	Run     time.Duration // time that a call takes
	Restart time.Duration // pause between two incarnations
	Seed    uint64        // of the faults
	Warmth  warmth.Limits
}

// Service is the stand-in.
type Service struct {
	options Options
	process *lifecycle.Process[*warmth.Gate]

	mu       sync.Mutex
	stats    Stats
	faults   Faults
	resumed  chan struct{}     // closed when a pause ends
	arrivals map[string]uint64 // of each key, for the draw of faults
	previous *Answer           // the last answer given, for crossed ones
}

// Answer is what a call returns.
type Answer struct {
	Key         string `json:"key"`
	Attempt     string `json:"attempt"`
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	// Run counts the runs of this key so far, this one included; zero without a key.
	Run int64 `json:"run"`
	// BodyDigest is the digest of the call's body, so that the caller can tell its
	// own answer from another's.
	BodyDigest string `json:"bodyDigest"`
}

// Digest returns the digest that an answer gives of a call's body.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// New returns a service that has run nothing.
func New(o Options) *Service {
	s := &Service{
		options: o, resumed: make(chan struct{}), arrivals: make(map[string]uint64),
		stats: Stats{RunsByKey: make(map[string]int64), AttemptsByKey: make(map[string][]string)},
	}
	s.process = lifecycle.New(o.Host, o.Restart, func() *warmth.Gate { return warmth.New(o.Warmth) })
	return s
}

// Hooks bind connections to incarnations; the server needs them.
func (s *Service) Hooks() serve.Hooks {
	return serve.Hooks{ConnContext: s.process.ConnContext, ConnState: s.process.ConnState}
}

// Handler serves any path, besides the stand-in's own interface.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, s.Stats()) })
	r.Post(PathFaults, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, s.SetFaults) })
	r.Get(engineapi.PathBeat, s.beat)
	r.Handle("/*", http.HandlerFunc(s.call))
	return r
}

func (s *Service) beat(w http.ResponseWriter, r *http.Request) {
	s.waitWhilePaused(r)
	w.Header().Set(engineapi.HeaderIncarnation, s.process.Of(r).ID)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	i := s.process.Of(r)
	s.waitWhilePaused(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
	w.Header().Set(engineapi.HeaderIncarnation, i.ID)
	key := r.Header.Get(engineapi.HeaderKey)
	fault := s.draw(key)
	if fault == CrashBefore {
		s.end(i)
		panic(http.ErrAbortHandler)
	}
	if fault == RefuseBefore || !s.enter(i) {
		s.refuse(w)
		return
	}
	// The place is free before the answer leaves, since the caller may send the next
	// call at once.
	answer, ran := s.run(r, i, body, key)
	i.State.Leave(ran && (fault == Sound || fault == Cross))
	if !ran {
		panic(http.ErrAbortHandler)
	}
	s.send(w, i, answer, fault)
}

// enter admits a call; false means a refusal before running.
func (s *Service) enter(i *lifecycle.Incarnation[*warmth.Gate]) bool {
	switch i.State.Enter() {
	case warmth.Run:
		return true
	case warmth.Refuse:
		return false
	case warmth.Crash:
		s.count(func(stats *Stats) { stats.Toppled++ })
		s.end(i)
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) refuse(w http.ResponseWriter) {
	s.count(func(stats *Stats) { stats.Refused++ })
	w.Header().Set(engineapi.HeaderNotRun, "true")
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

// run has the call's effect, then takes the time it takes. The effect stays even
// if the incarnation ends meanwhile, which is reported as false.
func (s *Service) run(r *http.Request, i *lifecycle.Incarnation[*warmth.Gate], body []byte, key string) (Answer, bool) {
	attempt := r.Header.Get(engineapi.HeaderAttempt)
	runs := s.countRun(key, attempt)
	timer := time.NewTimer(s.options.Run)
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

// send answers as the fault says.
func (s *Service) send(w http.ResponseWriter, i *lifecycle.Incarnation[*warmth.Gate], answer Answer, fault Fault) {
	switch fault {
	case CrashAfter:
		s.end(i)
		panic(http.ErrAbortHandler)
	case FailAfter:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case Cross:
		answer = s.other(answer)
	}
	s.remember(answer)
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
	s.count(func(stats *Stats) { stats.Whole++ })
}
