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

// fakePlatform is an in-memory platform with fault injection.
type fakePlatform struct {
	*httptest.Server
	mu            sync.Mutex
	revision      uint64
	objects       map[string]platformapi.Envelope // by kind/name
	changeLog     []platformapi.Envelope
	forgottenUpTo uint64 // a watch from a lower revision answers 410
	// down makes every call answer 503.
	down atomic.Bool
	// loseNextAnswer closes the connection of the next write after it took effect.
	loseNextAnswer atomic.Bool
	// stallNext stalls the connection of the next call: that call and later ones over the same
	// connection get no answer.
	stallNext    atomic.Bool
	stalledConns sync.Map // remote addresses of stalled connections
	callCount    atomic.Int64
	quit         chan struct{} // closed at the end of the test; ends stalled calls
}

func startFake(t *testing.T) *fakePlatform {
	f := &fakePlatform{objects: make(map[string]platformapi.Envelope), quit: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", f.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", f.write)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", f.write)
	mux.HandleFunc("GET /v1/objects/{kind}", f.list)
	mux.HandleFunc("GET /v1/watch", f.watch)
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, platformapi.HostList{Hosts: []platformapi.Host{{Name: "h1"}}})
	})
	f.Server = httptest.NewServer(f.injectFaults(mux))
	t.Cleanup(func() {
		close(f.quit)
		f.Server.CloseClientConnections()
		f.Server.Close()
	})
	return f
}

func (f *fakePlatform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.callCount.Add(1)
		if f.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.stallNext.Swap(false) {
			f.stalledConns.Store(r.RemoteAddr, true)
		}
		if _, dead := f.stalledConns.Load(r.RemoteAddr); dead {
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

func (f *fakePlatform) get(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.objects[key(r)]
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, http.StatusOK, e)
}

func (f *fakePlatform) write(w http.ResponseWriter, r *http.Request) {
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
	if f.loseNextAnswer.Swap(false) {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, e)
}

// put writes a raw value, or deletes the object if the value is nil. The caller holds mu.
func (f *fakePlatform) put(kind, name string, value json.RawMessage) platformapi.Envelope {
	f.revision++
	e := platformapi.Envelope{Kind: kind, Name: name, Version: f.revision, Value: value}
	f.objects[kind+"/"+name] = e
	if value == nil {
		delete(f.objects, kind+"/"+name)
	}
	f.changeLog = append(f.changeLog, e)
	return e
}

func (f *fakePlatform) seed(kind, name, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(kind, name, json.RawMessage(value))
}

func (f *fakePlatform) list(w http.ResponseWriter, r *http.Request) {
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

func (f *fakePlatform) watch(w http.ResponseWriter, r *http.Request) {
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

func (f *fakePlatform) changes(from uint64, kinds []string) (platformapi.WatchBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := platformapi.WatchBatch{Revision: f.revision}
	for _, e := range f.changeLog {
		if e.Version > from && slices.Contains(kinds, e.Kind) {
			b.Changes = append(b.Changes, e)
		}
	}
	return b, from < f.forgottenUpTo
}
