package member

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// proofEvery is the time between two rounds of asking for proof after a pause.
	proofEvery = 200 * time.Millisecond
	// proofPeers is the number of peers that are asked in a round.
	proofPeers = 3
)

// proof is what a daemon needs before it starts work after a pause: while it was not
// running, an accepted change may have come into force everywhere else. Only an answer
// to a question that was asked after the pause proves that none was missed; what
// arrives unasked may have waited in a buffer.
type proof struct {
	wanted bool
	paused time.Duration // when the pause was noticed
	asked  time.Duration
	round  uint64
}

// pause notices that nothing ran for a while.
func (t *Table) pause(length time.Duration, out *step.Out) {
	t.changed = t.now
	t.proof = proof{wanted: true, paused: t.now, asked: t.now - proofEvery, round: t.proof.round}
	out.Log(event.DaemonPaused, event.F("length", length))
}

// seekProof asks some peers to say that this daemon has missed nothing.
func (t *Table) seekProof(out *step.Out) {
	if t.proof.wanted && t.now-t.proof.paused >= t.settle() && t.Isolated() && t.LargerPart() {
		// In an outage the larger part serves on with what it knows; by now its
		// heartbeats have told what that is.
		t.proof.wanted = false
	}
	if !t.proof.wanted || t.now-t.proof.asked < proofEvery {
		return
	}
	t.proof.asked = t.now
	t.proof.round++
	linked := t.linked()
	for _, name := range linked[:min(proofPeers, len(linked))] {
		out.Add(step.SendPeer{To: name, Message: step.ConfigAsk{Applied: t.own.Applied, Nonce: t.nonce()}})
	}
}

// nonce names a round of questions; the time of the pause makes it this pause's own.
func (t *Table) nonce() uint64 { return uint64(t.proof.paused)<<8 | t.proof.round&0xff }

// Proven takes up a peer's answer to a question with a nonce.
func (t *Table) Proven(nonce uint64) {
	if t.proof.wanted && nonce>>8 == uint64(t.proof.paused)<<8>>8 {
		t.proof.wanted = false
	}
}

// MayServe reports whether this daemon may start work: it has missed no change in a
// pause and is not cut off from everybody who could tell it of one.
func (t *Table) MayServe() bool { return !t.proof.wanted && !t.CutOff() }

// CutOff reports that this daemon hears neither the platform nor a peer that does, and
// is not of the larger part of the daemons, which serves on in an outage.
func (t *Table) CutOff() bool { return t.Isolated() && !t.LargerPart() }
