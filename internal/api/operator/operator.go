// Package operator serves the operators' interface of a daemon: objects, status,
// traces, health and metrics. Package operatorapi describes the protocol.
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

// Store keeps objects. *platform.Client is one; its errors are package platform's.
type Store interface {
	Get(ctx context.Context, kind object.Kind, name string) (object.Object, error)
	Put(ctx context.Context, name string, ifVersion object.Version, value object.Value) (object.Object, error)
	Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error
	List(ctx context.Context, kind object.Kind, each func(object.Object)) (platform.Listing, error)
}

// Inspector tells what the daemon knows.
type Inspector interface {
	// Status returns the daemon's view of the whole system.
	Status(ctx context.Context) (operatorapi.Status, error)
	// Trace returns what the daemon remembers of a request; no events if nothing.
	Trace(ctx context.Context, id step.RequestID) (operatorapi.Trace, error)
}

// Options are what the interface is built on.
type Options struct {
	Store     Store
	Inspector Inspector
	// Keys are the operator keys. An empty set lets everybody in.
	Keys Keys
	// Ready returns nil while callers are served, else the reason.
	Ready func() error
	// Pprof adds Go profiles under /debug/pprof/.
	Pprof bool
}

type server struct {
	store     Store
	inspector Inspector
}

// New returns the handler of the interface.
func New(o Options) http.Handler {
	s := &server{store: o.Store, inspector: o.Inspector}
	r := chi.NewRouter()
	health.Register(r, o.Ready)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, invalid(http.StatusNotFound, operatorapi.CodeNotFound, "this path is not known: see docs/operations/README.md"))
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
			profiles(r)
		}
	})
	return r
}

func profiles(r chi.Router) {
	r.Get("/debug/pprof/cmdline", pprof.Cmdline)
	r.Get("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/pprof/symbol", pprof.Symbol)
	r.Get("/debug/pprof/trace", pprof.Trace)
	r.Get("/debug/pprof/*", pprof.Index)
}
