package daemon

import (
	"context"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// store is the platform as operators reach it through this daemon. What it reads or
// writes is told to the reducer, so that an accepted change is in force here and at
// the peers even if the platform is lost before any watch has told of it.
type store struct {
	*platform.Client
	post func(step.Event)
}

// Get reads an object.
func (s store) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	o, err := s.Client.Get(ctx, kind, name)
	if err == nil {
		s.post(step.ObjectRead{Object: o})
	}
	return o, err
}

// Put writes an object if ifVersion stands.
func (s store) Put(ctx context.Context, name string, ifVersion object.Version, value object.Value) (object.Object, error) {
	o, err := s.Client.Put(ctx, name, ifVersion, value)
	if err == nil {
		s.post(step.ObjectRead{Object: o})
	}
	return o, err
}
