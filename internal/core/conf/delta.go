package conf

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// SendDelta answers a peer's query with the changes that it lacks: a delta, or a snapshot if
// deletions that it may have missed are no longer known. A peer that lacks nothing gets an
// answer only if its query has a nonce.
func (t *Table) SendDelta(from string, query step.ConfigAsk, out *step.Out) {
	if query.Nonce == 0 && query.Applied >= t.applied && query.Applied >= t.newest {
		return
	}
	d, err := t.Delta(query.Applied)
	if err != nil {
		out.Log(event.ConfigRefused, event.F("reason", err))
		return
	}
	d.Nonce = query.Nonce
	out.Add(step.SendPeer{To: from, Message: d})
}

// Delta returns the changes after a revision in order of version, or a snapshot if deletions
// after that revision are no longer known. Either may hold objects with a version above its To
// revision, which this daemon applied ahead of the watch.
func (t *Table) Delta(after object.Version) (step.ConfigDelta, error) {
	d := step.ConfigDelta{Full: after < t.deltaFloor, From: after, To: t.applied}
	if d.Full {
		d.From = 0
	}
	objects := t.sorted()
	if !d.Full {
		objects = slices.DeleteFunc(objects, func(o object.Object) bool { return o.Version <= after })
		for _, o := range t.tombstones {
			if o.Version > after {
				objects = append(objects, o)
			}
		}
	}
	slices.SortStableFunc(objects, func(a, b object.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range objects {
		e, err := Encode(o)
		if err != nil {
			return step.ConfigDelta{}, err
		}
		d.Objects = append(d.Objects, e)
	}
	return d, nil
}

// ApplyDelta puts a peer's delta in force and reports whether any object changed. A delta that
// starts above the applied revision would leave a gap; it is dropped and the peer is queried for
// the changes after the applied revision.
func (t *Table) ApplyDelta(from string, d step.ConfigDelta, out *step.Out) bool {
	if !d.Full && d.From > t.applied {
		out.Add(step.SendPeer{To: from, Message: step.ConfigAsk{Applied: t.applied}})
		return false
	}
	objects := make([]object.Object, 0, len(d.Objects))
	for _, e := range d.Objects {
		o, err := Decode(e)
		if err != nil {
			// Without this object the table would not be complete at d.To, so the whole delta is
			// dropped.
			out.Log(event.ConfigRefused, event.F("kind", e.Kind), event.F("name", e.Name),
				event.F("version", e.Version), event.F("reason", err), event.F("peer", from))
			return false
		}
		objects = append(objects, o)
	}
	if d.Full {
		return t.applySnapshot(d.To, objects, nil, from, out)
	}
	return t.applyChanges(d.To, objects, from, out)
}

// Encode encodes an object for a peer.
func Encode(o object.Object) (step.EncodedObject, error) {
	e := step.EncodedObject{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if o.Deleted() {
		return e, nil
	}
	value, err := json.Marshal(o.Value)
	if err != nil {
		return step.EncodedObject{}, errors.Wrapf(err, "encode %s %q: correct it with rhubarbctl apply", o.Kind, o.Name)
	}
	e.Value = value
	return e, nil
}

// Decode decodes an object from a peer and checks its rules.
func Decode(e step.EncodedObject) (object.Object, error) {
	o := object.Object{Kind: e.Kind, Name: e.Name, Version: e.Version}
	if len(e.Value) == 0 {
		return o, nil
	}
	v, err := object.New(e.Kind)
	if err != nil {
		return object.Object{}, err
	}
	if err := json.Unmarshal(e.Value, v); err != nil {
		return object.Object{}, errors.Wrapf(err, "decode %s %q: run the same release on all daemons", e.Kind, e.Name)
	}
	if err := v.Check(); err != nil {
		return object.Object{}, errors.Wrapf(err, "%s %q", e.Kind, e.Name)
	}
	o.Value = v
	return o, nil
}
