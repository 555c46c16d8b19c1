package step

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Message is sent from one daemon to another over their link. The concrete types are below;
// package peer assigns each its number on the wire.
type Message interface{ message() }

// Heartbeat is sent periodically to every linked daemon. It proves that the sender is alive and
// carries its state.
type Heartbeat struct {
	Incarnation string         `cbor:"1,keyasint"`
	Applied     object.Version `cbor:"2,keyasint"` // revision of the configuration in force
	Platform    bool           `cbor:"3,keyasint"` // the platform is reachable from the sender
	Leaving     bool           `cbor:"4,keyasint"` // the sender is stopping
	// Held is set while an earlier run of the same name may still be running. Applied is then
	// the sender's revision only; the earlier run may still use an older one.
	Held bool `cbor:"9,keyasint,omitempty"`
	// Loads are the sender's requests in flight by target.
	Loads []Load `cbor:"5,keyasint,omitempty"`
	// Newest is the highest version of any watched object that the sender knows.
	Newest object.Version `cbor:"6,keyasint,omitempty"`
	// Every is the sender's heartbeat interval if it has grown with the number of daemons; zero
	// means the configured interval.
	Every time.Duration `cbor:"7,keyasint,omitempty"`
	// Demands are the loads that customers with limits offer to the sender.
	Demands []Demand `cbor:"10,keyasint,omitempty"`
}

// Demand is the load that one customer offers to one daemon, whether admitted or not.
type Demand struct {
	Customer string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint,omitempty"` // a second
	Tokens   float64 `cbor:"3,keyasint,omitempty"` // a second
	InFlight int     `cbor:"4,keyasint,omitempty"` // concurrent requests
}

// Load is the work that one daemon has in flight at one target.
type Load struct {
	Target   string `cbor:"1,keyasint"` // name of the target: group, or service/host
	InFlight int    `cbor:"2,keyasint"` // requests
	Tokens   int64  `cbor:"3,keyasint"` // estimated tokens of these requests
}

// ConfigAsk queries a peer for the objects that have changed after a revision.
type ConfigAsk struct {
	Applied object.Version `cbor:"1,keyasint"`
	// Nonce is returned in the answer. If it is not zero, a peer that may serve requests answers
	// even if nothing has changed.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
}

// ConfigDelta holds the watched objects that changed after revision From, up to revision To. A
// full delta is a snapshot at To.
type ConfigDelta struct {
	Full    bool            `cbor:"1,keyasint"`
	From    object.Version  `cbor:"2,keyasint"`
	To      object.Version  `cbor:"3,keyasint"`
	Objects []EncodedObject `cbor:"4,keyasint,omitempty"`
	Nonce   uint64          `cbor:"5,keyasint,omitempty"` // of the ConfigAsk; zero if it had none
}

// EncodedObject is an object with its value as JSON. An empty value is a deletion.
type EncodedObject struct {
	Kind    object.Kind    `cbor:"1,keyasint"`
	Name    string         `cbor:"2,keyasint"`
	Version object.Version `cbor:"3,keyasint"`
	Value   []byte         `cbor:"4,keyasint,omitempty"`
}

// Digest carries the results of the sender's probes.
type Digest struct {
	// Sent is the sender's monotonic time. The receiver computes from it how much longer this
	// message was in transit than the fastest one.
	Sent    time.Duration  `cbor:"2,keyasint"`
	Reports []MemberReport `cbor:"1,keyasint,omitempty"`
}

// MemberReport is one host's status from a probe that was sent Age before the digest.
type MemberReport struct {
	Host        string        `cbor:"1,keyasint"`
	OK          bool          `cbor:"2,keyasint"`
	Age         time.Duration `cbor:"3,keyasint"`
	Incarnation string        `cbor:"4,keyasint,omitempty"`
	Group       string        `cbor:"5,keyasint,omitempty"`
	Generation  uint64        `cbor:"6,keyasint,omitempty"`
	Ready       bool          `cbor:"7,keyasint,omitempty"`
	InFlight    int           `cbor:"8,keyasint,omitempty"`
	Tokens      int64         `cbor:"9,keyasint,omitempty"`
	Answered    int64         `cbor:"10,keyasint,omitempty"`
}

// Suspect reports that a target died while it ran a request with this fingerprint.
type Suspect struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Target      string        `cbor:"2,keyasint"`           // name of the host
	Incarnation string        `cbor:"3,keyasint,omitempty"` // the one that died
	Age         time.Duration `cbor:"4,keyasint"`           // of the death
	Alone       bool          `cbor:"5,keyasint"`           // no other request of the sender ran there; not used
}

// ClaimAsk asks the daemon that writes a shard's claims to include a change in its next batch:
// a claim, its outcome if the claim has one, or its release.
type ClaimAsk struct {
	Shard   string       `cbor:"1,keyasint"` // name of the claim object
	Key     string       `cbor:"2,keyasint"`
	Claim   object.Claim `cbor:"3,keyasint"`
	Release bool         `cbor:"4,keyasint,omitempty"` // release the claim instead of writing it
}

// ClaimReply answers ClaimAsk.
type ClaimReply struct {
	Shard   string       `cbor:"1,keyasint"`
	Key     string       `cbor:"2,keyasint"`
	Attempt string       `cbor:"3,keyasint"`           // the attempt in the ClaimAsk
	Stands  object.Claim `cbor:"4,keyasint"`           // the claim now recorded for the key
	Unknown bool         `cbor:"5,keyasint,omitempty"` // not known here; the requester must read the shard
	// Release and Finish state which kind of change is answered: a release or an outcome. If
	// neither is set, it is a claim.
	Release bool `cbor:"6,keyasint,omitempty"`
	Finish  bool `cbor:"7,keyasint,omitempty"`
}

// Goodbye announces that the sender stops. Its slices and slots are free.
type Goodbye struct {
	Incarnation string `cbor:"1,keyasint"`
}

// UsageHandoff hands unsettled usage to a peer when the sender stops while the platform is
// unreachable.
type UsageHandoff struct {
	Account  string       `cbor:"1,keyasint"`
	Slice    string       `cbor:"2,keyasint"` // incarnation that holds the slice
	Sequence uint64       `cbor:"3,keyasint"` // of the slice, as last known to the sender
	Usage    object.Usage `cbor:"4,keyasint"`
	// Attempts are the sender's writes whose replies were lost. If the slice in the platform has
	// the sequence number of one of them, that write took effect and its part of Usage is
	// already settled.
	Attempts []HandoffAttempt `cbor:"5,keyasint,omitempty"`
}

// HandoffAttempt is a write whose reply was lost, and the usage that it would have settled.
type HandoffAttempt struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Usage    object.Usage `cbor:"2,keyasint"`
}

// UsageTaken answers UsageHandoff: the sender of UsageTaken now settles the usage.
type UsageTaken struct {
	Account string `cbor:"1,keyasint"`
	Slice   string `cbor:"2,keyasint"`
}

func (Heartbeat) message()    {}
func (ConfigAsk) message()    {}
func (ConfigDelta) message()  {}
func (Digest) message()       {}
func (Suspect) message()      {}
func (ClaimAsk) message()     {}
func (ClaimReply) message()   {}
func (Goodbye) message()      {}
func (UsageHandoff) message() {}
func (UsageTaken) message()   {}
