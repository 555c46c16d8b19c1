package member

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/event"
)

const (
	// proofQueryInterval is the interval between two rounds of queries for proof after a
	// pause.
	proofQueryInterval = 200 * time.Millisecond
	// proofQueryPeers is the number of peers that are queried in a round.
	proofQueryPeers = 3
)

// proofState is the proof that this daemon needs before it starts work after a pause. While it
// was not running, an accepted change may have come into force on all other daemons. Only an
// answer to a query that was sent after the pause proves that this daemon missed none. A
// message that arrives without a query may have waited in a buffer since before the pause.
type proofState struct {
	needed    bool          // this daemon has been paused and has no proof yet
	pausedAt  time.Duration // when the pause was noticed
	queriedAt time.Duration // when the last round of queries was sent
	round     uint64        // number of the last round
}

// onPause records that this daemon was not running for the given time.
func (t *Table) onPause(length time.Duration, out *step.Out) {
	t.changedAt = t.now
	t.proof = proofState{needed: true, pausedAt: t.now, queriedAt: t.now - proofQueryInterval, round: t.proof.round}
	out.Log(event.DaemonPaused, event.F("length", length))
}

// queryProof asks some peers to confirm that this daemon has missed no change.
func (t *Table) queryProof(out *step.Out) {
	if t.proof.needed && t.now-t.proof.pausedAt >= t.settleDelay() && t.Isolated() && t.InLargerPart() {
		// In an outage of the platform, the larger part of the daemons continues to serve
		// with the configuration that it knows. By now their heartbeats have reported which
		// one that is.
		t.proof.needed = false
	}
	if !t.proof.needed || t.now-t.proof.queriedAt < proofQueryInterval {
		return
	}
	t.proof.queriedAt = t.now
	t.proof.round++
	linked := t.linkedPeers()
	for _, name := range linked[:min(proofQueryPeers, len(linked))] {
		out.Add(step.SendPeer{To: name, Message: step.ConfigAsk{Applied: t.ownHeartbeat.Applied, Nonce: t.nonce()}})
	}
}

// nonce identifies a round of queries. It contains the time of the pause, so that an answer to
// a query from an earlier pause is not taken as proof.
func (t *Table) nonce() uint64 { return uint64(t.proof.pausedAt)<<8 | t.proof.round&0xff }

// OnProof handles the answer of a peer to a query with a nonce. The answer is proof if it
// belongs to a round after the last pause.
func (t *Table) OnProof(nonce uint64) {
	if t.proof.needed && nonce>>8 == uint64(t.proof.pausedAt)<<8>>8 {
		t.proof.needed = false
	}
}

// MayServe reports whether this daemon may start work: it has missed no change in a pause, and
// it is not cut off from all daemons that could report a change.
func (t *Table) MayServe() bool { return !t.proof.needed && !t.CutOff() }

// CutOff reports whether this daemon reaches neither the platform nor a peer that does, and is
// not in the larger part of the daemons, which continues to serve in an outage of the
// platform.
func (t *Table) CutOff() bool { return t.Isolated() && !t.InLargerPart() }
