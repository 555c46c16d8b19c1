package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/objectjson"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// Platform is a backend that reads and writes objects directly in the platform. It checks
// values as a daemon does. It serves while no daemon can be reached.
type Platform struct {
	address string
	client  *platform.Client
}

// NewPlatform returns a backend for the platform at a base URL.
func NewPlatform(address string, options ...platform.Option) *Platform {
	return &Platform{address: address, client: platform.New(address, options...)}
}

// Get reads an object.
func (p *Platform) Get(ctx context.Context, kind object.Kind, name string) (operatorapi.Object, error) {
	o, err := p.client.Get(ctx, kind, name)
	if err != nil {
		return operatorapi.Object{}, p.backendError(err)
	}
	return encode(o)
}

// Put checks an object and writes it if it still has the version ifVersion; 0 creates it.
func (p *Platform) Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error) {
	decoded, err := objectjson.Decode(kind, value)
	if err != nil {
		return operatorapi.Object{}, &operatorapi.Error{Code: operatorapi.CodeInvalid, Message: err.Error()}
	}
	o, err := p.client.Put(ctx, name, ifVersion, decoded)
	if err != nil {
		return operatorapi.Object{}, p.backendError(err)
	}
	return encode(o)
}

// Delete deletes an object if it still has the version ifVersion.
func (p *Platform) Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error {
	return p.backendError(p.client.Delete(ctx, kind, name, ifVersion))
}

// List reads every object of a kind.
func (p *Platform) List(ctx context.Context, kind object.Kind) ([]operatorapi.Object, error) {
	var items []operatorapi.Object
	var encodeErr error
	_, err := p.client.List(ctx, kind, func(o object.Object) {
		item, err := encode(o)
		encodeErr = errors.Join(encodeErr, err)
		items = append(items, item)
	})
	if err != nil {
		return nil, p.backendError(err)
	}
	return items, encodeErr
}

// Status returns the daemons, leases and groups that are recorded in the platform. Daemon,
// Applied, the services and the state of the groups are left out, because only daemons know
// them.
func (p *Platform) Status(ctx context.Context) (operatorapi.Status, error) {
	s := operatorapi.Status{PlatformReachable: true, Reason: "read from the platform, since no daemon answered"}
	_, err := p.client.List(ctx, object.KindDaemon, func(o object.Object) {
		d := o.Value.(*object.Daemon)
		s.Daemons = append(s.Daemons, operatorapi.DaemonStatus{
			Name: o.Name, API: d.API, DataCentre: d.DataCentre, Leaving: d.Leaving, AgeMillis: -1,
		})
	})
	if err != nil {
		return s, p.backendError(err)
	}
	_, err = p.client.List(ctx, object.KindDomain, func(o object.Object) { addDomainStatus(&s, o.Name, o.Value.(*object.Domain)) })
	return s, p.backendError(err)
}

func addDomainStatus(s *operatorapi.Status, name string, d *object.Domain) {
	s.Leases = append(s.Leases, operatorapi.LeaseStatus{Domain: name, Holder: d.Holder, Fence: d.Fence, AgeMillis: -1})
	for group, g := range d.Groups {
		s.Groups = append(s.Groups, operatorapi.GroupStatus{
			Name: group, Model: g.Model, Domain: name, DataCentre: g.DataCentre,
			Generation: g.Generation, Members: g.Members, Reason: "only daemons know",
		})
	}
}

// Trace returns an error: only daemons record the events of requests.
func (p *Platform) Trace(context.Context, string) (operatorapi.Trace, error) {
	return operatorapi.Trace{}, &Unreachable{Where: "any daemon", Err: errors.New("the platform stores no traces")}
}

func encode(o object.Object) (operatorapi.Object, error) {
	item := operatorapi.Object{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if o.Deleted() {
		return item, nil
	}
	value, err := json.Marshal(o.Value)
	item.Value = value
	return item, err
}

// backendError converts an error of the platform's client to one of a backend.
func (p *Platform) backendError(err error) error {
	if err == nil {
		return nil
	}
	if e, ok := errors.Into[*platform.ConflictError](err); ok {
		return conflictError(e)
	}
	if e, ok := errors.Into[*platform.AbsentError](err); ok {
		return &operatorapi.Error{Code: operatorapi.CodeNotFound, Message: e.Error()}
	}
	if _, ok := errors.Into[*platform.UnsentError](err); ok {
		return &Unreachable{Where: p.address, Err: err}
	}
	if e, ok := errors.Into[*platform.LostError](err); ok && e.Op != "get" && e.Op != "list" {
		return unknownOutcome(http.MethodPut, err)
	}
	return err
}

func conflictError(e *platform.ConflictError) error {
	current, err := encode(e.Current)
	if err != nil {
		return err
	}
	current.Kind, current.Name = e.Kind, e.Name
	return &operatorapi.Error{
		Code:    operatorapi.CodeConflict,
		Message: operatorapi.ConflictMessage(e.Kind, e.Name, e.IfVersion, e.Current.Version),
		Current: &current,
	}
}
