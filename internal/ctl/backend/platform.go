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

// Platform reads and writes the platform itself, with the same checks as a daemon.
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
		return operatorapi.Object{}, p.sort(err)
	}
	return encode(o)
}

// Put checks and writes an object if ifVersion stands; zero creates.
func (p *Platform) Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error) {
	decoded, err := objectjson.Decode(kind, value)
	if err != nil {
		return operatorapi.Object{}, &operatorapi.Error{Code: operatorapi.CodeInvalid, Message: err.Error()}
	}
	o, err := p.client.Put(ctx, name, ifVersion, decoded)
	if err != nil {
		return operatorapi.Object{}, p.sort(err)
	}
	return encode(o)
}

// Delete deletes an object if ifVersion stands.
func (p *Platform) Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error {
	return p.sort(p.client.Delete(ctx, kind, name, ifVersion))
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
		return nil, p.sort(err)
	}
	return items, encodeErr
}

// Status tells what the platform's records say; what only daemons know is left out.
func (p *Platform) Status(ctx context.Context) (operatorapi.Status, error) {
	s := operatorapi.Status{PlatformReachable: true, Reason: "read from the platform, since no daemon answered"}
	_, err := p.client.List(ctx, object.KindDaemon, func(o object.Object) {
		d := o.Value.(*object.Daemon)
		s.Daemons = append(s.Daemons, operatorapi.DaemonStatus{
			Name: o.Name, API: d.API, DataCentre: d.DataCentre, Leaving: d.Leaving, AgeMillis: -1,
		})
	})
	if err != nil {
		return s, p.sort(err)
	}
	_, err = p.client.List(ctx, object.KindDomain, func(o object.Object) { addDomain(&s, o.Name, o.Value.(*object.Domain)) })
	return s, p.sort(err)
}

func addDomain(s *operatorapi.Status, name string, d *object.Domain) {
	s.Leases = append(s.Leases, operatorapi.LeaseStatus{Domain: name, Holder: d.Holder, Fence: d.Fence, AgeMillis: -1})
	for group, g := range d.Groups {
		s.Groups = append(s.Groups, operatorapi.GroupStatus{
			Name: group, Model: g.Model, Domain: name, DataCentre: g.DataCentre,
			Generation: g.Generation, Members: g.Members, Reason: "only daemons know",
		})
	}
}

// Trace has nothing to tell: only daemons remember requests.
func (p *Platform) Trace(context.Context, string) (operatorapi.Trace, error) {
	return operatorapi.Trace{}, &Unreachable{Where: "any daemon", Err: errors.New("the platform holds no traces")}
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

// sort turns errors of the platform's client into those of a backend.
func (p *Platform) sort(err error) error {
	if err == nil {
		return nil
	}
	if e, ok := errors.Into[*platform.Conflict](err); ok {
		return conflict(e)
	}
	if e, ok := errors.Into[*platform.Absent](err); ok {
		return &operatorapi.Error{Code: operatorapi.CodeNotFound, Message: e.Error()}
	}
	if _, ok := errors.Into[*platform.Unsent](err); ok {
		return &Unreachable{Where: p.address, Err: err}
	}
	if e, ok := errors.Into[*platform.Lost](err); ok && e.Op != "get" && e.Op != "list" {
		return unknownOutcome(http.MethodPut, err)
	}
	return err
}

func conflict(e *platform.Conflict) error {
	standing, err := encode(e.Standing)
	if err != nil {
		return err
	}
	standing.Kind, standing.Name = e.Kind, e.Name
	return &operatorapi.Error{
		Code:    operatorapi.CodeConflict,
		Message: operatorapi.ConflictMessage(e.Kind, e.Name, e.IfVersion, e.Standing.Version),
		Current: &standing,
	}
}
