package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/platformapi"
)

// fake is a platform in memory.
type fake struct {
	*httptest.Server
	mu       sync.Mutex
	revision uint64
	objects  map[string]platformapi.Envelope // by kind/name
	log      []platformapi.Envelope
	kept     uint64 // changes up to here are forgotten
	// down refuses every call with 503; lose closes the connection after the
	// next write took effect.
	down atomic.Bool
	lose atomic.Bool
	// hang keeps calls waiting that come over connections opened before.
	hang  atomic.Bool
	conns sync.Map // remote address -> true, of connections that are dead
	calls atomic.Int64
	quit  chan struct{}
}

func startFake(t *testing.T) *fake {
	f := &fake{objects: make(map[string]platformapi.Envelope), quit: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", f.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", f.write)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", f.write)
	mux.HandleFunc("GET /v1/objects/{kind}", f.list)
	mux.HandleFunc("GET /v1/watch", f.watch)
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, platformapi.HostList{Hosts: []platformapi.Host{{Name: "h1"}}})
	})
	f.Server = httptest.NewServer(f.fail(mux))
	t.Cleanup(func() {
		close(f.quit)
		f.Server.CloseClientConnections()
		f.Server.Close()
	})
	return f
}

func (f *fake) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		if f.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.hang.Swap(false) {
			f.conns.Store(r.RemoteAddr, true)
		}
		if _, dead := f.conns.Load(r.RemoteAddr); dead {
			<-f.quit
			return
		}
		next.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func key(r *http.Request) string { return r.PathValue("kind") + "/" + r.PathValue("name") }

func (f *fake) get(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.objects[key(r)]
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, http.StatusOK, e)
}

func (f *fake) write(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var value json.RawMessage
	if r.Method == http.MethodPut {
		_ = json.NewDecoder(r.Body).Decode(&value)
	}
	old := f.objects[key(r)]
	if strconv.FormatUint(old.Version, 10) != r.URL.Query().Get("ifVersion") {
		reply(w, http.StatusConflict, old)
		return
	}
	e := f.put(r.PathValue("kind"), r.PathValue("name"), value)
	if f.lose.Swap(false) {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, e)
}

// put writes a raw value, or deletes if it is empty. The caller holds mu.
func (f *fake) put(kind, name string, value json.RawMessage) platformapi.Envelope {
	f.revision++
	e := platformapi.Envelope{Kind: kind, Name: name, Version: f.revision, Value: value}
	f.objects[kind+"/"+name] = e
	if value == nil {
		delete(f.objects, kind+"/"+name)
	}
	f.log = append(f.log, e)
	return e
}

func (f *fake) seed(kind, name, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(kind, name, json.RawMessage(value))
}

func (f *fake) list(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	page := platformapi.Page{Revision: f.revision}
	for _, e := range f.objects {
		if e.Kind == r.PathValue("kind") && e.Name > r.URL.Query().Get("after") {
			page.Items = append(page.Items, e)
		}
	}
	slices.SortFunc(page.Items, func(a, b platformapi.Envelope) int { return strings.Compare(a.Name, b.Name) })
	if len(page.Items) > limit {
		page.Items = page.Items[:limit]
		page.Next = page.Items[limit-1].Name
	}
	reply(w, http.StatusOK, page)
}

func (f *fake) watch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		b, gone := f.changes(from, strings.Split(r.URL.Query().Get("kinds"), ","))
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(b.Changes) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			reply(w, http.StatusOK, b)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fake) changes(from uint64, kinds []string) (platformapi.WatchBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := platformapi.WatchBatch{Revision: f.revision}
	for _, e := range f.log {
		if e.Version > from && slices.Contains(kinds, e.Kind) {
			b.Changes = append(b.Changes, e)
		}
	}
	return b, from < f.kept
}
