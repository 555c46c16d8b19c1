// Package operator implements the HTTP interface of a daemon for operators: reading and
// writing objects in the store, the status of the system, request traces, health and
// metrics. Package operatorapi defines the protocol; rhubarbctl is its client.
//
// Every write is conditional on the version that the operator has read. If the store's answer
// to a PUT is lost, the object is read, and the outcome is reported as unknown if that does
// not confirm the write. A deletion whose answer is lost is reported as unknown at once. All
// paths but health, readiness and metrics require an operator key, unless the daemon has none.
package operator

import (
	"context"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"

	"github.com/rhubarbswitch/rhubarbswitch/internal/api/health"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// Store reads and writes objects. *platform.Client implements it. Its errors are those of
// package platform.
type Store interface {
	Get(ctx context.Context, kind object.Kind, name string) (object.Object, error)
	Put(ctx context.Context, name string, ifVersion object.Version, value object.Value) (object.Object, error)
	Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error
	List(ctx context.Context, kind object.Kind, each func(object.Object)) (platform.Listing, error)
}

// Inspector gives access to the state of the daemon.
type Inspector interface {
	// Status returns the daemon's view of the whole system.
	Status(ctx context.Context) (operatorapi.Status, error)
	// Trace returns the events that the daemon has recorded for a request. The list is
	// empty if there are none.
	Trace(ctx context.Context, id step.RequestID) (operatorapi.Trace, error)
}

// Options configure the interface.
type Options struct {
	Store     Store
	Inspector Inspector
	// Keys are the accepted operator keys. If there are none, no key is required.
	Keys Keys
	// Ready returns nil while the daemon serves callers, and otherwise the reason why not.
	Ready func() error
	// Pprof enables Go profiles under /debug/pprof/.
	Pprof bool
}

type server struct {
	store     Store
	inspector Inspector
}

// New returns the handler of the operators' interface.
func New(o Options) http.Handler {
	s := &server{store: o.Store, inspector: o.Inspector}
	r := chi.NewRouter()
	health.Register(r, o.Ready)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newErrorAnswer(http.StatusNotFound, operatorapi.CodeNotFound, "this path is not known: see docs/operations/README.md"))
	})
	r.Group(func(r chi.Router) {
		r.Use(o.Keys.require)
		r.Get("/v1/objects/{kind}", s.list)
		r.Get("/v1/objects/{kind}/{name}", s.get)
		r.Put("/v1/objects/{kind}/{name}", s.put)
		r.Delete("/v1/objects/{kind}/{name}", s.delete)
		r.Get("/v1/status", s.status)
		r.Get("/v1/applied", s.applied)
		r.Get("/v1/trace/{request}", s.trace)
		if o.Pprof {
			registerProfiles(r)
		}
	})
	return r
}

func registerProfiles(r chi.Router) {
	r.Get("/debug/pprof/cmdline", pprof.Cmdline)
	r.Get("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/pprof/symbol", pprof.Symbol)
	r.Get("/debug/pprof/trace", pprof.Trace)
	r.Get("/debug/pprof/*", pprof.Index)
}
