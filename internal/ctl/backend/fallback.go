package backend

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/ctl/diff"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/operatorapi"
)

// Fallback is a backend over several others. Each call tries them in order and uses the first
// that can be reached.
type Fallback struct {
	backends []Backend
	warn     func(string) // see NewFallback
}

// NewFallback returns a backend over several others. It calls warn with the error of every
// backend that it skips, and with every gap in a trace.
func NewFallback(warn func(string), backends ...Backend) *Fallback {
	return &Fallback{backends: backends, warn: warn}
}

// Get reads an object.
func (f *Fallback) Get(ctx context.Context, kind object.Kind, name string) (operatorapi.Object, error) {
	return firstAnswer(f, func(b Backend) (operatorapi.Object, error) { return b.Get(ctx, kind, name) })
}

// List reads every object of a kind.
func (f *Fallback) List(ctx context.Context, kind object.Kind) ([]operatorapi.Object, error) {
	return firstAnswer(f, func(b Backend) ([]operatorapi.Object, error) { return b.List(ctx, kind) })
}

// Status reads the status of the system.
func (f *Fallback) Status(ctx context.Context) (operatorapi.Status, error) {
	return firstAnswer(f, func(b Backend) (operatorapi.Status, error) { return b.Status(ctx) })
}

// Put writes an object if it still has the version ifVersion; 0 creates it. If the answer to
// the write is lost, Put reads the object: the write counts as done if the object has a later
// version and the value to be written.
func (f *Fallback) Put(ctx context.Context, kind object.Kind, name string, ifVersion object.Version, value json.RawMessage) (operatorapi.Object, error) {
	o, err := firstAnswer(f, func(b Backend) (operatorapi.Object, error) { return b.Put(ctx, kind, name, ifVersion, value) })
	if CodeOf(err) != operatorapi.CodeUnknown {
		return o, err
	}
	current, readErr := f.Get(ctx, kind, name)
	if readErr == nil && current.Version > ifVersion && Equal(current.Value, value) {
		return current, nil
	}
	return o, err
}

// Delete deletes an object if it still has the version ifVersion. If the answer is lost,
// Delete reads the object: the deletion counts as done if the object does not exist.
func (f *Fallback) Delete(ctx context.Context, kind object.Kind, name string, ifVersion object.Version) error {
	_, err := firstAnswer(f, func(b Backend) (struct{}, error) { return struct{}{}, b.Delete(ctx, kind, name, ifVersion) })
	if CodeOf(err) != operatorapi.CodeUnknown {
		return err
	}
	if _, readErr := f.Get(ctx, kind, name); CodeOf(readErr) == operatorapi.CodeNotFound {
		return nil
	}
	return err
}

// Trace reads the events that all daemons have recorded for a request, in order of time.
func (f *Fallback) Trace(ctx context.Context, request string) (operatorapi.Trace, error) {
	return firstAnswer(f, func(b Backend) (operatorapi.Trace, error) {
		d, ok := b.(*Daemon)
		if !ok {
			return b.Trace(ctx, request)
		}
		return traceAllDaemons(ctx, d, request, f.warn)
	})
}

// firstAnswer returns the result of the first backend that can be reached. It also skips a
// daemon that can't reach the platform, since another daemon may.
func firstAnswer[T any](f *Fallback, call func(Backend) (T, error)) (T, error) {
	var result T
	err := errors.New("no daemon or platform is named: give --daemon or --platform, or set RHUBARB_DAEMON")
	for i, b := range f.backends {
		result, err = call(b)
		if !isUnreachable(err) {
			return result, err
		}
		if i+1 < len(f.backends) {
			f.warn(err.Error())
		}
	}
	return result, err
}

func isUnreachable(err error) bool {
	_, unreachable := errors.Into[*Unreachable](err)
	return unreachable || CodeOf(err) == operatorapi.CodeUnreachable
}

// CodeOf returns the error code if err contains an *operatorapi.Error, and otherwise "".
func CodeOf(err error) operatorapi.Code {
	if e, ok := errors.Into[*operatorapi.Error](err); ok {
		return e.Code
	}
	return ""
}

// Equal reports whether two JSON values have the same fields with the same values. Empty
// objects and arrays count as absent.
func Equal(x, y json.RawMessage) bool {
	changes, err := diff.JSON(x, y)
	return err == nil && len(changes) == 0
}
