package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

const (
	// maxValueBytes is the maximum size of an object's value; a larger one gets 413.
	maxValueBytes    = 1 << 20
	defaultPageLimit = 500 // objects of a page
	// maxWatchWait bounds the time that a watch waits for a change.
	maxWatchWait = 30 * time.Second
)

// Paths of the control interface.
const (
	PathStats  = "/stub/stats"
	PathFaults = "/stub/faults"
	PathHosts  = "/stub/hosts"
)

// Options are the settings of the platform. Zero values give the defaults.
type Options struct {
	Hosts   []platformapi.Host
	History int    // number of changes in the history
	Seed    uint64 // of the random sequence that selects lost answers
}

// Stats are counts of calls since the start, including those that a fault stopped.
type Stats struct {
	Reads       int64  `json:"reads"`
	Writes      int64  `json:"writes"`
	Watches     int64  `json:"watches"`
	Conflicts   int64  `json:"conflicts"`
	LostAnswers int64  `json:"lostAnswers"`
	Revision    uint64 `json:"revision"`
	// WritesByKind counts attempted writes by kind of object.
	WritesByKind map[string]int64 `json:"writesByKind"`
}

// Server is the platform's HTTP interface and host list.
type Server struct {
	store  *store
	faults *faultState

	reads, watches, conflicts, lostAnswers atomic.Int64

	mu     sync.Mutex
	hosts  []platformapi.Host
	writes map[string]int64 // by kind
}

// New returns a platform without objects.
func New(o Options) *Server {
	if o.History == 0 {
		o.History = defaultHistory
	}
	return &Server{
		store: newStore(o.History), faults: newFaultState(o.Seed),
		hosts: slices.Clone(o.Hosts), writes: make(map[string]int64),
	}
}

// Handler returns the handler of the platform's interface and the control interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.applyFaults)
		r.Get("/v1/objects/{kind}/{name}", s.getObject)
		r.Put("/v1/objects/{kind}/{name}", s.putObject)
		r.Delete("/v1/objects/{kind}/{name}", s.deleteObject)
		r.Get("/v1/objects/{kind}", s.listObjects)
		r.Get(platformapi.PathWatch, s.watch)
		r.Get(platformapi.PathHosts, s.listHosts)
	})
	r.Get(PathStats, func(w http.ResponseWriter, _ *http.Request) { serve.Reply(w, http.StatusOK, s.Stats()) })
	r.Post(PathFaults, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, s.SetFaults) })
	r.Post(PathHosts, func(w http.ResponseWriter, r *http.Request) { serve.Accept(w, r, s.SetHosts) })
	return r
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// SetHosts replaces the host list after the update's delay.
func (s *Server) SetHosts(u HostsUpdate) {
	if u.LagMillis > 0 {
		time.AfterFunc(time.Duration(u.LagMillis)*time.Millisecond, func() { s.replaceHosts(u.Hosts) })
		return
	}
	s.replaceHosts(u.Hosts)
}

func (s *Server) replaceHosts(hosts []platformapi.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	revision := s.store.list("", "", 0).Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Reads: s.reads.Load(), Watches: s.watches.Load(), Conflicts: s.conflicts.Load(),
		LostAnswers: s.lostAnswers.Load(), Revision: revision, WritesByKind: make(map[string]int64),
	}
	for kind, n := range s.writes {
		stats.Writes += n
		stats.WritesByKind[kind] = n
	}
	return stats
}

// applyFaults is a middleware that counts a call and applies the faults in force to it.
func (s *Server) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.count(r)
		if s.faults.admitCall(w, r) {
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Server) count(r *http.Request) {
	switch {
	case isWrite(r):
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platformapi.PathObjects), "/")
		s.mu.Lock()
		s.writes[kind]++
		s.mu.Unlock()
	case r.URL.Path == platformapi.PathWatch:
		s.watches.Add(1)
	default:
		s.reads.Add(1)
	}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	e := s.store.get(chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
	if e.Version == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	serve.Reply(w, http.StatusOK, e)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		http.Error(w, "give ifVersion as a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case len(value) > maxValueBytes:
		http.Error(w, "value above 1 MiB", http.StatusRequestEntityTooLarge)
		return
	case !json.Valid(value):
		http.Error(w, "value is not JSON", http.StatusBadRequest)
		return
	}
	e, done := s.store.put(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), ifVersion, value)
	s.answerWrite(w, e, done)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		http.Error(w, "give ifVersion as a number", http.StatusBadRequest)
		return
	}
	e, done := s.store.remove(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), ifVersion)
	s.answerWrite(w, e, done)
}

func (s *Server) answerWrite(w http.ResponseWriter, e platformapi.Envelope, done bool) {
	if s.faults.losesAnswer() {
		s.lostAnswers.Add(1)
		panic(http.ErrAbortHandler)
	}
	if !done {
		s.conflicts.Add(1)
		serve.Reply(w, http.StatusConflict, e)
		return
	}
	serve.Reply(w, http.StatusOK, e)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	limit := defaultPageLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "give limit as a number above 0", http.StatusBadRequest)
			return
		}
		limit = n
	}
	serve.Reply(w, http.StatusOK, s.store.list(chi.URLParam(r, "kind"), r.URL.Query().Get("after"), limit))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "give from as a revision", http.StatusBadRequest)
		return
	}
	millis, err := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	if err != nil || millis < 0 {
		http.Error(w, "give waitMillis as a number", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	batch, kept := s.store.watch(ctx, strings.Split(query.Get("kinds"), ","), from)
	// A watch that was waiting when an outage began is answered like any other call of the
	// outage.
	if !s.faults.waitUntilUp(w, r.Context()) {
		return
	}
	if !kept {
		http.Error(w, "revision not kept: list again", http.StatusGone)
		return
	}
	serve.Reply(w, http.StatusOK, batch)
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := platformapi.HostList{Hosts: slices.Clone(s.hosts)}
	s.mu.Unlock()
	serve.Reply(w, http.StatusOK, list)
}
