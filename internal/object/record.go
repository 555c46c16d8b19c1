package object

// Domain holds the whole assignment of one fabric domain's hosts to groups. One
// object a domain makes a host in two groups impossible to write. Its name is the
// fabric domain's.
type Domain struct {
	// Holder is the daemon that may order this domain's hosts. Fence rises with every
	// change of the holder or of an assignment; orders are numbered after it.
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence"`
	// Run is the holder's incarnation.
	Run string `json:"run,omitempty"`
	// Last is the highest generation given out in this domain. Generations are unique
	// within it, so that a group of an old name is never taken for a later one.
	Last uint64 `json:"last,omitempty"`
	// Groups are the domain's groups, by name.
	Groups map[string]Group `json:"groups,omitempty"`
	// Pins hold, for hosts whose engines do not check fencing numbers, the only
	// orders that the present incarnation may ever be sent.
	Pins map[string]Pin `json:"pins,omitempty"`
}

// Group is one replica of a model over several hosts.
type Group struct {
	Model string `json:"model"`
	// Generation rises whenever the members change.
	Generation uint64 `json:"generation"`
	// Members are host names in rank order; the first takes the requests.
	Members []string `json:"members"`
	// DataCentre is the one that holds the fabric domain.
	DataCentre string `json:"dataCentre"`
}

// Pin fixes what one incarnation of a host's engine may be told. Once written for
// an incarnation the group and generation never change; Retire only turns true.
type Pin struct {
	Incarnation string `json:"incarnation"`
	Group       string `json:"group,omitempty"`
	Generation  uint64 `json:"generation,omitempty"`
	Retire      bool   `json:"retire,omitempty"`
}

// Lease is a daemon's proof of life for the domains it holds. Observers time it
// from when they saw it change, on their own clocks.
type Lease struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
	// Renewal rises with each renewal.
	Renewal uint64 `json:"renewal"`
	// Millis is how long the holder may act after sending a renewal.
	Millis int64 `json:"millis"`
}

// Daemon is how daemons find one another when they start and leave.
type Daemon struct {
	Address     string `json:"address"` // of the peer link, host:port
	API         string `json:"api"`     // of the operators' interface, host:port
	DataCentre  string `json:"dataCentre"`
	Incarnation string `json:"incarnation"`
	StartedUnix int64  `json:"startedUnix"` // seconds
	Leaving     bool   `json:"leaving,omitempty"`
}

// Outcome says what is known of a request's run.
type Outcome string

// The outcomes. NotRun and Completed are proofs; everything else is Unknown.
const (
	NotRun    Outcome = "not_run"
	Completed Outcome = "completed"
	Unknown   Outcome = "unknown"
)

// ClaimShard holds the claims of one shard and one window of mint times.
type ClaimShard struct {
	Claims map[string]Claim `json:"claims"` // by customer and key
}

// Claim says which attempt owns a key and, once known, how it ended.
type Claim struct {
	Attempt string `json:"a"`
	Daemon  string `json:"d"`
	// Outcome is empty while the attempt may still be running.
	Outcome Outcome `json:"o,omitempty"`
	// Status and Body are the recorded answer; Body is empty if it was large.
	Status int    `json:"s,omitempty"`
	Body   []byte `json:"b,omitempty"`
}

// Kind returns KindDomain.
func (*Domain) Kind() Kind { return KindDomain }

// Kind returns KindLease.
func (*Lease) Kind() Kind { return KindLease }

// Kind returns KindDaemon.
func (*Daemon) Kind() Kind { return KindDaemon }

// Kind returns KindClaim.
func (*ClaimShard) Kind() Kind { return KindClaim }
