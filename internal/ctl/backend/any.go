package backend

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/diff"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Any tries several backends in order and stays with the first that answers.
type Any struct {
	backends []Backend
	note     func(string) // told when one is passed over
}

// NewAny returns a backend over several. note is told when one is passed over.
func NewAny(note func(string), backends ...Backend) *Any {
	return &Any{backends: backends, note: note}
}

// Get reads an object.
func (a *Any) Get(ctx context.Context, kind object.Kind, name string) (operatorapi.Object, error) {
	return first(a, func(b Backend) (operatorapi.Object, error) { return b.Get(ctx, kind, name) })
}

// List reads every object of a kind.
func (a *Any) List(ctx context.Context, kind object.Kind) ([]operatorapi.Object, error) {
	return first(a, func(b Backend) ([]operatorapi.Object, error) { return b.List(ctx, kind) })
}

// Status reads the state of the system.
func (a *Any) Status(ctx context.Context) (operatorapi.Status, error) {
	return first(a, func(b Backend) (operatorapi.Status, error) { return b.Status(ctx) })
}

// Put writes an object if ifVersion stands. A write whose answer is lost is read
// back: if the wanted value stands at a later version, it counts as done.
func (a *Any) Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error) {
	o, err := first(a, func(b Backend) (operatorapi.Object, error) { return b.Put(ctx, kind, name, ifVersion, value) })
	if CodeOf(err) != operatorapi.CodeUnknown {
		return o, err
	}
	standing, readErr := a.Get(ctx, kind, name)
	if readErr == nil && standing.Version > ifVersion && Equal(standing.Value, value) {
		return standing, nil
	}
	return o, err
}

// Delete deletes an object if ifVersion stands.
func (a *Any) Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error {
	_, err := first(a, func(b Backend) (struct{}, error) { return struct{}{}, b.Delete(ctx, kind, name, ifVersion) })
	if CodeOf(err) != operatorapi.CodeUnknown {
		return err
	}
	if _, readErr := a.Get(ctx, kind, name); CodeOf(readErr) == operatorapi.CodeNotFound {
		return nil
	}
	return err
}

// Trace gathers what every daemon remembers of a request, in order of time.
func (a *Any) Trace(ctx context.Context, request string) (operatorapi.Trace, error) {
	return first(a, func(b Backend) (operatorapi.Trace, error) {
		d, ok := b.(*Daemon)
		if !ok {
			return b.Trace(ctx, request)
		}
		return traceAll(ctx, d, request, a.note)
	})
}

// first returns the first backend's result that is an answer. A daemon that can't
// reach the platform is passed over too, since another may.
func first[T any](a *Any, call func(Backend) (T, error)) (T, error) {
	var result T
	err := errors.New("nothing to ask: give --daemon or --platform, or set RHUBARB_DAEMON")
	for i, b := range a.backends {
		result, err = call(b)
		if !passOver(err) {
			return result, err
		}
		if i+1 < len(a.backends) {
			a.note(err.Error())
		}
	}
	return result, err
}

func passOver(err error) bool {
	_, unreachable := errors.Into[*Unreachable](err)
	return unreachable || CodeOf(err) == operatorapi.CodeUnreachable
}

// CodeOf returns the code of an error from the interface, or "".
func CodeOf(err error) operatorapi.Code {
	if e, ok := errors.Into[*operatorapi.Error](err); ok {
		return e.Code
	}
	return ""
}

// Equal reports whether two JSON values say the same.
func Equal(x, y json.RawMessage) bool {
	changes, err := diff.JSON(x, y)
	return err == nil && len(changes) == 0
}
