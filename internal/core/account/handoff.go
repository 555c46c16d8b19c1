package account

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// parcel is usage that a leaving daemon could not settle itself in an outage.
type parcel struct {
	slice    string
	sequence uint64
	usage    object.Usage
	attempts []step.HandoffAttempt
}

// Handoff hands what is unsettled to a peer, for a stop while the platform does not
// answer. The peer answers each with UsageTaken.
func (m *Manager) Handoff(to string, out *step.Out) {
	for _, name := range m.order {
		b := m.books[name]
		for _, p := range b.parcels {
			out.Add(step.SendPeer{To: to, Message: step.UsageHandoff{
				Account: name, Slice: p.slice, Sequence: p.sequence, Usage: p.usage, Attempts: p.attempts,
			}})
		}
		if (b.granted == amount{} && b.unsettled == object.Usage{}) {
			continue
		}
		h := step.UsageHandoff{
			Account: name, Slice: m.set.Incarnation, Sequence: b.standingSequence(), Usage: b.unsettled,
		}
		for _, a := range b.attempts {
			h.Attempts = append(h.Attempts, step.HandoffAttempt{Sequence: a.sequence, Usage: a.settled})
		}
		out.Add(step.SendPeer{To: to, Message: h})
	}
}

func (b *book) standingSequence() uint64 {
	if b.base == nil {
		return 0
	}
	return b.base.Slices[b.set.Incarnation].Sequence
}

// OnHandoff takes over a peer's usage; it is settled with the next write.
func (m *Manager) OnHandoff(from string, h step.UsageHandoff, out *step.Out) {
	if m.closing {
		return // the sender tries another
	}
	b := m.book(h.Account)
	known := slices.ContainsFunc(b.parcels, func(p parcel) bool { return p.slice == h.Slice })
	if !known {
		b.parcels = append(b.parcels, parcel{slice: h.Slice, sequence: h.Sequence, usage: h.Usage, attempts: h.Attempts})
	}
	out.Add(step.SendPeer{To: from, Message: step.UsageTaken{Account: h.Account, Slice: h.Slice}})
}

// OnTaken drops what a peer has taken over.
func (m *Manager) OnTaken(t step.UsageTaken) {
	b := m.books[t.Account]
	if b == nil || !m.closing {
		return
	}
	b.parcels = slices.DeleteFunc(b.parcels, func(p parcel) bool { return p.slice == t.Slice })
	if t.Slice != m.set.Incarnation {
		return
	}
	b.lose()
	b.granted, b.attempts = amount{}, nil
}

// settle moves a parcel's usage into the account if its slice still stands: a slice
// that does not was settled by another, or is uncertain.
func (p parcel) settle(next *object.Account) {
	s, present := next.Slices[p.slice]
	if !present {
		return
	}
	usage, known := p.owed(s.Sequence)
	if !known {
		next.Uncertain.Requests += s.Requests
		next.Uncertain.Tokens += s.Tokens
	} else {
		next.Settled = add(next.Settled, usage)
	}
	delete(next.Slices, p.slice)
}

// owed returns what is unsettled if the slice stands at a sequence number.
func (p parcel) owed(sequence uint64) (object.Usage, bool) {
	if sequence == p.sequence {
		return p.usage, true
	}
	for _, a := range p.attempts {
		if a.Sequence == sequence {
			return subtract(p.usage, a.Usage), true
		}
	}
	return object.Usage{}, false
}
