package daemon

import (
	"context"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/logging"
	"github.com/rhubarbswitch/rhubarbswitch/internal/loop"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
	"github.com/rhubarbswitch/rhubarbswitch/internal/peer"
	"github.com/rhubarbswitch/rhubarbswitch/internal/platform"
)

// execute starts one effect without waiting for its result. It reports whether the loop must
// end.
func (d *Daemon) execute(ctx context.Context, effect step.Effect) bool {
	countEffect(effect)
	switch e := effect.(type) {
	case step.Dispatch:
		d.calls.Send(e.ID, e)
	case step.Answer:
		d.calls.Send(e.ID, e)
	case step.Deliver:
		d.calls.Send(e.ID, e)
	case step.Cancel:
		d.calls.Send(e.ID, e)
	case step.GetObject, step.PutObject, step.DeleteObject:
		d.background.Go(func() { d.Post(d.callPlatform(ctx, e)) })
	case step.Probe:
		sent := d.now().Mono
		d.background.Go(func() { d.Post(d.targets.Probe(ctx, e, sent)) })
	case step.SendOrder:
		d.background.Go(func() { d.Post(d.sendOrder(e)) })
	case step.SendPeer:
		if err := d.mesh.Send(e.To, e.Message); err != nil {
			d.log.Debug("message not sent", "to", e.To, "error", err)
		}
	case step.SetPeers:
		d.setPeers(e.Peers)
	case step.SetWake:
		d.setWake(e.At)
	case step.SetReady:
		d.ready.Store(e.Ready)
		if e.Ready {
			d.logEvent(event.DaemonReady)
		}
	case step.SetConfig:
		d.configChanged = true
	case step.Log:
		d.logEvent(e.ID, e.Fields...)
	case step.Exit:
		return true
	}
	return false
}

// callPlatform makes the platform call of an effect and returns its result as an event.
func (d *Daemon) callPlatform(ctx context.Context, effect step.Effect) step.PlatformReply {
	switch e := effect.(type) {
	case step.GetObject:
		o, err := d.platform.Get(ctx, e.Kind, e.Name)
		return platform.Reply(e.Op, o, err)
	case step.PutObject:
		o, err := d.platform.Put(ctx, e.Name, e.IfVersion, e.Value)
		return platform.Reply(e.Op, o, err)
	case step.DeleteObject:
		err := d.platform.Delete(ctx, e.Kind, e.Name, e.IfVersion)
		return platform.Reply(e.Op, object.Object{}, err)
	}
	return step.PlatformReply{}
}

// sendOrder sends an order unless its NotAfter time has passed. It reads the clock here, just
// before the connection is used, to detect a pause of the process since the reducer's check.
// Pinning and fencing protect against a pause after this check.
func (d *Daemon) sendOrder(e step.SendOrder) step.OrderReply {
	if e.NotAfter > 0 && d.now().Mono > e.NotAfter {
		return step.OrderReply{Op: e.Op, Host: e.Host, Status: step.ReplyUnsent}
	}
	return d.targets.Order(e)
}

// logEvent logs a numbered event, counts it, and adds it to the traces if it has a request.
func (d *Daemon) logEvent(id event.ID, fields ...event.Field) {
	loop.CountEvent(id)
	logging.Event(d.log, id, fields...)
	d.traces.add(d.set.Daemon, id, fields)
}

func (d *Daemon) setPeers(peers []step.Peer) {
	addresses := make([]peer.Address, len(peers))
	for i, p := range peers {
		addresses[i] = peer.Address{Name: p.Daemon, Address: p.Address}
	}
	d.mesh.SetPeers(addresses)
}
