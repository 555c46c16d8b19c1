package account

import (
	"slices"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// pendingHandoff is usage that a leaving daemon could not settle because the platform did not
// answer. The daemon that took it over settles it.
type pendingHandoff struct {
	slice    string // incarnation whose slice the usage belongs to
	sequence uint64 // sequence number of the slice in the last state that the daemon knew
	usage    object.Usage
	// openWrites are the daemon's writes whose answers were lost, with the usage that each of
	// them settles.
	openWrites []step.HandoffAttempt
}

// Handoff sends the unsettled usage of all accounts to a peer. A daemon calls it if it stops
// while the platform does not answer. The peer confirms each account's slice with UsageTaken.
func (m *Manager) Handoff(to string, out *step.Out) {
	for _, name := range m.names {
		st := m.accounts[name]
		for _, p := range st.handoffs {
			out.Add(step.SendPeer{To: to, Message: step.UsageHandoff{
				Account: name, Slice: p.slice, Sequence: p.sequence, Usage: p.usage, Attempts: p.openWrites,
			}})
		}
		if (st.granted == amount{} && st.unsettled == object.Usage{}) {
			continue
		}
		h := step.UsageHandoff{
			Account: name, Slice: m.set.Incarnation, Sequence: st.storedSequence(), Usage: st.unsettled,
		}
		for _, w := range st.openWrites {
			h.Attempts = append(h.Attempts, step.HandoffAttempt{Sequence: w.sequence, Usage: w.settled})
		}
		out.Add(step.SendPeer{To: to, Message: h})
	}
}

// storedSequence returns the sequence number of this daemon's slice in the known state.
func (st *accountState) storedSequence() uint64 {
	if st.stored == nil {
		return 0
	}
	return st.stored.Slices[st.set.Incarnation].Sequence
}

// OnHandoff takes over the usage of a peer that stops. The next write settles it.
func (m *Manager) OnHandoff(from string, h step.UsageHandoff, out *step.Out) {
	if m.closing {
		return // the sender tries another daemon
	}
	st := m.account(h.Account)
	known := slices.ContainsFunc(st.handoffs, func(p pendingHandoff) bool { return p.slice == h.Slice })
	if !known {
		st.handoffs = append(st.handoffs, pendingHandoff{slice: h.Slice, sequence: h.Sequence, usage: h.Usage, openWrites: h.Attempts})
	}
	out.Add(step.SendPeer{To: from, Message: step.UsageTaken{Account: h.Account, Slice: h.Slice}})
}

// OnUsageTaken drops the usage that a peer has taken over.
func (m *Manager) OnUsageTaken(t step.UsageTaken) {
	st := m.accounts[t.Account]
	if st == nil || !m.closing {
		return
	}
	st.handoffs = slices.DeleteFunc(st.handoffs, func(p pendingHandoff) bool { return p.slice == t.Slice })
	if t.Slice != m.set.Incarnation {
		return
	}
	st.dropSlice()
	st.granted, st.openWrites = amount{}, nil
}

// settleInto settles the usage in the account if its slice is still stored. If it is not,
// another daemon has settled the slice or moved it to uncertain. A slice with an unexpected
// sequence number is moved to uncertain as a whole.
func (p pendingHandoff) settleInto(next *object.Account) {
	s, present := next.Slices[p.slice]
	if !present {
		return
	}
	usage, known := p.unsettledAt(s.Sequence)
	if !known {
		next.Uncertain.Requests += s.Requests
		next.Uncertain.Tokens += s.Tokens
	} else {
		next.Settled = add(next.Settled, usage)
	}
	delete(next.Slices, p.slice)
}

// unsettledAt returns the usage that is not settled yet if the stored slice has a sequence
// number. It reports false if the number is neither the last known one nor that of an open
// write.
func (p pendingHandoff) unsettledAt(sequence uint64) (object.Usage, bool) {
	if sequence == p.sequence {
		return p.usage, true
	}
	for _, a := range p.openWrites {
		if a.Sequence == sequence {
			return subtract(p.usage, a.Usage), true
		}
	}
	return object.Usage{}, false
}
