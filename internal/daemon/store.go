package daemon

import (
	"context"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// reportingStore gives operators access to the platform through this daemon. It posts each
// object that it reads or writes to the reducer, so that an accepted change comes into force
// on this daemon and its peers even if the platform fails before a watch reports the change.
type reportingStore struct {
	*platform.Client
	post func(step.Event)
}

// Get reads an object and posts it to the reducer.
func (s reportingStore) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	o, err := s.Client.Get(ctx, kind, name)
	if err == nil {
		s.post(step.ObjectRead{Object: o})
	}
	return o, err
}

// Put writes an object if its current version is ifVersion, and posts it to the reducer.
func (s reportingStore) Put(ctx context.Context, name string, ifVersion object.Version, value object.Value) (object.Object, error) {
	o, err := s.Client.Put(ctx, name, ifVersion, value)
	if err == nil {
		s.post(step.ObjectRead{Object: o})
	}
	return o, err
}
