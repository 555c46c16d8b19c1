package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/peer"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

const (
	// listEvery is the mean interval between two reads of the list of daemons.
	listEvery = 5 * time.Second
	// retryEvery is the mean pause after a failure to register.
	retryEvery = time.Second
)

// keepRegistered writes this daemon's object and follows the others'.
func (d *Daemon) keepRegistered(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(d.seed(), 1))
	for ctx.Err() == nil {
		pause := listEvery
		if err := d.registerAndList(ctx); err != nil {
			pause = retryEvery
		}
		// Half to one and a half of the pause, so that daemons do not come all at once.
		pause = pause/2 + time.Duration(jitter.Int64N(int64(pause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// registerAndList writes the object if it is not there as it should be, and links
// to the daemons that are listed.
func (d *Daemon) registerAndList(ctx context.Context) error {
	var names []string
	var peers []peer.Address
	var own object.Object
	_, err := d.platform.List(ctx, object.KindDaemon, func(o object.Object) {
		v, ok := o.Value.(*object.Daemon)
		if !ok {
			return
		}
		if o.Name == d.set.Daemon {
			own = o
			return
		}
		if v.Leaving {
			return
		}
		names = append(names, o.Name)
		peers = append(peers, peer.Address{Name: o.Name, Address: v.Address})
	})
	if err != nil {
		return err
	}
	d.mesh.SetPeers(peers)
	v, registered := own.Value.(*object.Daemon)
	replaced := registered && v.Incarnation != d.incarnation
	d.Post(step.DaemonList{Names: names, Replaced: replaced})
	if registered && !replaced && !v.Leaving {
		return nil
	}
	_, err = d.platform.Put(ctx, d.set.Daemon, own.Version, d.registration())
	return err
}

func (d *Daemon) registration() *object.Daemon {
	return &object.Daemon{
		Address:     d.set.Peers.AdvertiseOr(),
		API:         d.set.Operators.AdvertiseOr(),
		DataCentre:  d.set.DataCentre,
		Incarnation: d.incarnation,
		StartedUnix: d.began.Unix(),
	}
}

// unregister deletes this daemon's object, unless a later daemon of the same name
// has written its own.
func (d *Daemon) unregister(ctx context.Context) {
	o, err := d.platform.Get(ctx, object.KindDaemon, d.set.Daemon)
	if err != nil {
		return
	}
	v, ok := o.Value.(*object.Daemon)
	if !ok || v.Incarnation != d.incarnation {
		return
	}
	err = d.platform.Delete(ctx, object.KindDaemon, d.set.Daemon, o.Version)
	if _, lost := errors.Into[*platform.Lost](err); lost {
		// It took effect or it did not: the others find out when they link.
		d.log.Debug("daemon object may be left behind", "error", err)
	}
}
