package step

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Message is what one daemon tells another. The concrete types are below; package
// peer gives each a number on the wire.
type Message interface{ message() }

// Heartbeat proves that a daemon lives and says how far it is.
type Heartbeat struct {
	Incarnation string         `cbor:"1,keyasint"`
	Applied     object.Version `cbor:"2,keyasint"` // revision of the configuration in force
	Platform    bool           `cbor:"3,keyasint"` // whether the sender hears the platform
	Leaving     bool           `cbor:"4,keyasint"`
	// Held says that the sender took the place of a run of the same name that may still
	// go on: its word that it has applied a revision does not speak for that run.
	Held bool `cbor:"9,keyasint,omitempty"`
	// Loads are the sender's requests in flight by target.
	Loads []Load `cbor:"5,keyasint,omitempty"`
	// Newest is the highest version of any watched object that the sender knows.
	Newest object.Version `cbor:"6,keyasint,omitempty"`
	// Every is the sender's interval between heartbeats where it has grown with the
	// cluster; zero means the configured one.
	Every time.Duration `cbor:"7,keyasint,omitempty"`
	// Demands are what customers with limits ask of the sender.
	Demands []Demand `cbor:"10,keyasint,omitempty"`
}

// Demand is what one customer asks of one daemon, admitted or not.
type Demand struct {
	Customer string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint,omitempty"` // a second
	Tokens   float64 `cbor:"3,keyasint,omitempty"` // a second
	InFlight int     `cbor:"4,keyasint,omitempty"` // wanted at the same time
}

// Load is one target's work in flight from one daemon.
type Load struct {
	Target   string `cbor:"1,keyasint"` // group or service host
	InFlight int    `cbor:"2,keyasint"`
	Tokens   int64  `cbor:"3,keyasint"`
}

// ConfigAsk asks for what changed after a revision.
type ConfigAsk struct {
	Applied object.Version `cbor:"1,keyasint"`
	// Nonce is repeated in the answer; unless it is zero, a peer that may serve
	// answers also when nothing changed.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
}

// ConfigDelta brings watched objects that changed between two revisions. A full
// one is a snapshot.
type ConfigDelta struct {
	Full    bool            `cbor:"1,keyasint"`
	From    object.Version  `cbor:"2,keyasint"`
	To      object.Version  `cbor:"3,keyasint"`
	Objects []EncodedObject `cbor:"4,keyasint,omitempty"`
	Nonce   uint64          `cbor:"5,keyasint,omitempty"` // of the ask
}

// EncodedObject is an object with its value as JSON; an empty value is a deletion.
type EncodedObject struct {
	Kind    object.Kind    `cbor:"1,keyasint"`
	Name    string         `cbor:"2,keyasint"`
	Version object.Version `cbor:"3,keyasint"`
	Value   []byte         `cbor:"4,keyasint,omitempty"`
}

// Digest passes on what a prober saw.
type Digest struct {
	// Sent is the sender's monotonic time, from which the receiver tells how long the
	// message was on its way beyond the usual.
	Sent    time.Duration  `cbor:"2,keyasint"`
	Reports []MemberReport `cbor:"1,keyasint,omitempty"`
}

// MemberReport is one host's status as a prober saw it Age ago.
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

// Suspect passes on that a target died while running a fingerprint.
type Suspect struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Target      string        `cbor:"2,keyasint"`
	Incarnation string        `cbor:"3,keyasint,omitempty"`
	Age         time.Duration `cbor:"4,keyasint"`
	Alone       bool          `cbor:"5,keyasint"` // nothing else was running there from the sender
}

// ClaimAsk asks the receiver to write a claim with its next batch of the shard, its
// outcome if the claim has one, or its release.
type ClaimAsk struct {
	Shard   string       `cbor:"1,keyasint"` // name of the claim object
	Key     string       `cbor:"2,keyasint"`
	Claim   object.Claim `cbor:"3,keyasint"`
	Release bool         `cbor:"4,keyasint,omitempty"`
}

// ClaimReply answers ClaimAsk with the claim that stands for the key. Unknown
// means that the receiver can't tell and the asker must read for itself.
type ClaimReply struct {
	Shard   string       `cbor:"1,keyasint"`
	Key     string       `cbor:"2,keyasint"`
	Attempt string       `cbor:"3,keyasint"` // the asker's
	Stands  object.Claim `cbor:"4,keyasint"`
	Unknown bool         `cbor:"5,keyasint,omitempty"`
	// Release and Finish tell which change is answered; neither is a claim.
	Release bool `cbor:"6,keyasint,omitempty"`
	Finish  bool `cbor:"7,keyasint,omitempty"`
}

// Goodbye says that the sender stops; its slices and slots are free.
type Goodbye struct {
	Incarnation string `cbor:"1,keyasint"`
}

// UsageHandoff hands unsettled usage to a peer in an outage of the platform.
type UsageHandoff struct {
	Account  string       `cbor:"1,keyasint"`
	Slice    string       `cbor:"2,keyasint"` // the slice it belongs to
	Sequence uint64       `cbor:"3,keyasint"`
	Usage    object.Usage `cbor:"4,keyasint"`
	// Attempts are the sender's writes whose answers were lost: if the slice stands
	// at the sequence number of one, its part of Usage is settled already.
	Attempts []HandoffAttempt `cbor:"5,keyasint,omitempty"`
}

// HandoffAttempt is a write whose answer was lost and what it would have settled.
type HandoffAttempt struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Usage    object.Usage `cbor:"2,keyasint"`
}

// UsageTaken answers UsageHandoff: the receiver settles the usage from here on.
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
