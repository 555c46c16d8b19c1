// Package site is a stand-in of the users' platform for tests: its store, its servers
// with engines and groups, and plain services. It speaks the published protocol, as far as
// the tests need it, and keeps what they check.
package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/stub/serve"
)

const (
	objectsPath = "/rhubarbswitch/objects/"
	// pageItems is the length of a page, short so that tests see several.
	pageItems = 5
)

// Object is one object of the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Meta names an object and the revision of its last change.
type Meta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// Store is the platform's store.
type Store struct {
	*serve.Local

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]Object
	log     []change
	kept    uint64 // history from this revision on is kept
	changed chan struct{}
	faults  StoreFaults
	writes  int
	calls   int
	watches map[string]int // calls by kind
}

// StoreFaults is what the store does wrong. Its own operators and servers write past them.
type StoreFaults struct {
	// Status is what every call gets; zero is the right answer.
	Status int
	// Delay is how long each call waits.
	Delay time.Duration
	// LoseEvery is the number of writes of which one is not answered, though it is done,
	// LoseLate after it came; zero loses none.
	LoseEvery int
	LoseLate  time.Duration
}

// OpenStore starts an empty store.
func OpenStore() (*Store, error) {
	s := &Store{objects: make(map[string]map[string]Object), watches: make(map[string]int), changed: make(chan struct{}), rev: 1}
	local, err := serve.Open(s, serve.Hooks{})
	s.Local = local
	return s, err
}

// Put writes an object as the operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test's own value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Meta: Meta{Name: name}, Spec: raw})
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.rev++
		delete(s.objects[kind], name)
		o.Meta.Rev = s.rev
		s.tell(change{kind: kind, Deleted: true, Object: o})
	}
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.kept, s.log = s.rev, nil
}

// Fail puts faults in force.
func (s *Store) Fail(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Watches returns the number of watches of a kind so far.
func (s *Store) Watches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[kind]
}

// Read decodes an object's spec, or reports false if there is none.
func (s *Store) Read(kind, name string, into any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return ok && json.Unmarshal(o.Spec, into) == nil
}

func (s *Store) put(kind string, o Object) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	old, exists := s.objects[kind][o.Meta.Name]
	if exists && string(old.Spec) == string(o.Spec) {
		return old // a write that changes nothing is no change
	}
	s.rev++
	o.Meta.Rev, o.Meta.Created = s.rev, s.rev
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][o.Meta.Name] = o
	s.tell(change{kind: kind, Object: o})
	return o
}

func (s *Store) tell(c change) {
	s.log = append(s.log, c)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	switch {
	case faults.Status != 0:
		w.WriteHeader(faults.Status)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	serve.Reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []Object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][name])
	}
	serve.Reply(w, http.StatusOK, map[string]any{"items": items, "morePages": len(names) > pageItems, "at": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.watches[kind]++
	s.mu.Unlock()
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events, at, changed := []change{}, s.rev, s.changed
		for _, c := range s.log {
			if c.kind == kind && c.Object.Meta.Rev > from {
				events = append(events, c)
			}
		}
		gone, down := from < s.kept, s.faults.Status
		s.mu.Unlock()
		switch {
		case down != 0:
			w.WriteHeader(down)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			serve.Reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	s.writes++
	faults := s.faults
	lost := faults.LoseEvery > 0 && s.writes%faults.LoseEvery == 0
	s.mu.Unlock()
	if lost {
		time.AfterFunc(faults.LoseLate, func() { s.apply(r.Method, kind, name, o) })
		panic(http.ErrAbortHandler)
	}
	status, answer := s.apply(r.Method, kind, name, o)
	serve.Reply(w, status, answer)
}

// apply does a write if its condition holds.
func (s *Store) apply(method, kind, name string, o Object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists, o.Meta.Rev != 0 && exists && o.Meta.Rev != standing.Meta.Rev:
		return http.StatusConflict, standing
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, nil
	}
	o.Meta.Name = name
	return http.StatusOK, s.put(kind, o)
}
