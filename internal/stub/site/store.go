package site

import (
	"encoding/json"
	"fmt"
	"io"
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
	// pageLimit is the maximum number of objects of a page; small, so that tests read several
	// pages.
	pageLimit = 5
)

// Object is one object of the store.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
	// raw is sent instead of all of it if it is set, as it is.
	raw string
}

// Meta holds an object's name and the revision of its last change.
type Meta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// encode returns the object as it is sent.
func (o Object) encode() string {
	if o.raw != "" {
		return o.raw
	}
	encoded, err := json.Marshal(o)
	if err != nil {
		panic(err) // only a mistake in the test gives an object that can't be encoded
	}
	return string(encoded)
}

// reply sends a body that need not be JSON.
func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // fails only if the caller has disconnected
}

// change is one entry of the store's history.
type change struct {
	kind    string
	at      time.Time
	foreign bool // made by an operator or a server, not by a daemon
	Deleted bool
	Object  Object
}

// Store is the platform's store, with one revision counter over all kinds.
type Store struct {
	*serve.Local

	mu           sync.Mutex
	rev          uint64
	era          uint64 // sent with each answer
	objects      map[string]map[string]Object
	history      []change // all changes of this era and the copy that it began with
	historyStart uint64   // watches get the changes after this revision
	changed      chan struct{}
	faults       StoreFaults
	writes       int
	calls        int
	watches      map[string]int // number of watch calls by kind
}

// StoreFaults are the faults that the store shows to callers of its HTTP interface. Put and
// Remove, which operators and servers use, are not affected. The zero value is a correct
// store.
type StoreFaults struct {
	// Status is the status of all answers; 0 gives correct answers.
	Status int
	// Delay is the time that each call waits before it is handled.
	Delay time.Duration
	// LoseOneIn n loses the answer of every nth write; 0 loses none. Such a write is still
	// carried out, LostWriteDelay after its arrival.
	LoseOneIn      int
	LostWriteDelay time.Duration
}

// OpenStore starts an empty store.
func OpenStore() (*Store, error) {
	s := &Store{objects: make(map[string]map[string]Object), watches: make(map[string]int), changed: make(chan struct{}), rev: 1}
	local, err := serve.Open(s, serve.Hooks{})
	s.Local = local
	return s, err
}

// Put writes an object in the role of an operator or a server.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only a mistake in the test gives a value that can't be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Meta: Meta{Name: name}, Spec: raw}, true)
}

// PutRaw writes an object in the role of another writer. It is sent as it is, whether it is JSON or not, but
// for its first %d, which is replaced by its revision.
func (s *Store) PutRaw(kind, name, object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := strings.Replace(object, "%d", strconv.FormatUint(s.rev+1, 10), 1)
	s.put(kind, Object{Meta: Meta{Name: name}, raw: raw}, true)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name, true)
}

func (s *Store) remove(kind, name string, foreign bool) {
	if o, ok := s.objects[kind][name]; ok {
		s.rev++
		delete(s.objects[kind], name)
		o.Meta.Rev = s.rev
		s.appendChange(change{kind: kind, foreign: foreign, Deleted: true, Object: o})
	}
}

// DropHistory drops the history, so that watches from earlier revisions get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.historyStart = s.rev
}

// SetFaults replaces the store's faults and lets running watches check them.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// WatchCalls returns the number of watch calls of a kind so far.
func (s *Store) WatchCalls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[kind]
}

// Read decodes the spec of an object into a value. It returns false if there is no such
// object.
func (s *Store) Read(kind, name string, into any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return ok && json.Unmarshal(o.Spec, into) == nil
}

func (s *Store) put(kind string, o Object, foreign bool) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	old, exists := s.objects[kind][o.Meta.Name]
	if exists && string(old.Spec) == string(o.Spec) && old.raw == o.raw {
		return old // a write of the same spec gets no new revision
	}
	s.rev++
	o.Meta.Rev, o.Meta.Created = s.rev, s.rev
	if exists {
		o.Meta.Created = old.Meta.Created
	}
	s.objects[kind][o.Meta.Name] = o
	s.appendChange(change{kind: kind, foreign: foreign, Object: o})
	return o
}

func (s *Store) appendChange(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the objects interface, with the faults in force.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.setEra(w)
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
	s.setEra(w)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o.encode())
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var items []string
	for _, name := range names[:min(len(names), pageLimit)] {
		items = append(items, s.objects[kind][name].encode())
	}
	reply(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"morePages":%t,"at":%d}`, strings.Join(items, ","), len(names) > pageLimit, s.rev))
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
	for timedOut := false; ; {
		s.mu.Lock()
		s.setEra(w)
		events, at, changed := []string(nil), s.rev, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Rev > max(from, s.historyStart) {
				events = append(events, fmt.Sprintf(`{"deleted":%t,"object":%s}`, c.Deleted, c.Object.encode()))
			}
		}
		historyDropped, faultStatus := from < s.historyStart || from > s.rev, s.faults.Status
		s.mu.Unlock()
		switch {
		case faultStatus != 0:
			w.WriteHeader(faultStatus)
			return
		case historyDropped:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || timedOut:
			reply(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"at":%d}`, strings.Join(events, ","), at))
			return
		}
		select {
		case <-changed:
		case <-end:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil && r.Method != http.MethodDelete {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	s.writes++
	faults := s.faults
	lost := faults.LoseOneIn > 0 && s.writes%faults.LoseOneIn == 0
	s.mu.Unlock()
	if lost {
		time.AfterFunc(faults.LostWriteDelay, func() { s.apply(nil, r.Method, kind, name, o) })
		panic(http.ErrAbortHandler)
	}
	status, answer := s.apply(w, r.Method, kind, name, o)
	serve.Reply(w, status, answer)
}

// apply carries out a write if its condition on existence and revision holds. It returns the
// status and body of the answer, and sets its era unless w is nil.
func (s *Store) apply(w http.ResponseWriter, method, kind, name string, o Object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w != nil {
		s.setEra(w)
	}
	current, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists, o.Meta.Rev != 0 && exists && o.Meta.Rev != current.Meta.Rev:
		return http.StatusConflict, current
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case method == http.MethodDelete:
		s.remove(kind, name, false)
		return http.StatusOK, current
	}
	o.Meta.Name = name
	return http.StatusOK, s.put(kind, o, false)
}

// LeaseHolder returns the daemon that holds the lease of the present era, or an empty name.
func (s *Store) LeaseHolder() string {
	s.mu.Lock()
	name := "groups"
	if s.era > 0 {
		name += "." + strconv.FormatUint(s.era, 10)
	}
	s.mu.Unlock()
	var lease struct {
		Holder string `json:"holder"`
	}
	s.Read("gateway-control", name, &lease)
	return lease.Holder
}
