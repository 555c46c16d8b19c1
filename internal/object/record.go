package object

// Domain holds the complete assignment of one fabric domain's hosts to groups. Because the whole
// assignment is one object and its check refuses a host with two groups, no write can put a host
// into two groups. Its name is the fabric domain's name.
type Domain struct {
	// Holder is the lease holder: the daemon that may send orders to this domain's hosts.
	Holder string `json:"holder,omitempty"`
	// Fence is the domain's fencing token. It rises with every takeover and with every change
	// of the assignment or of a pin, but not with a release. The fencing tokens of orders
	// are derived from it. If an engine refuses an order because it has seen a higher token
	// than the domain's orders have, Fence is raised until they have a higher one.
	Fence uint64 `json:"fence"`
	// HolderIncarnation is the incarnation of Holder.
	HolderIncarnation string `json:"run,omitempty"`
	// LastGeneration is the highest generation assigned in this domain so far. Generations are
	// unique within the domain, so a group that reuses an old name differs from the old group.
	LastGeneration uint64 `json:"last,omitempty"`
	// Groups are the domain's groups, by name.
	Groups map[string]Group `json:"groups,omitempty"`
	// Pins fix, for hosts whose engines do not check fencing tokens, the only orders that may
	// ever be sent to the current incarnation. The key is the host's name.
	Pins map[string]Pin `json:"pins,omitempty"`
}

// Group is one replica of a model over several hosts.
type Group struct {
	Model string `json:"model"`
	// Generation rises whenever the members change.
	Generation uint64 `json:"generation"`
	// Members are host names in rank order; the first one accepts the group's requests.
	Members []string `json:"members"`
	// DataCentre is the data centre of the fabric domain.
	DataCentre string `json:"dataCentre"`
}

// Pin limits the orders to one incarnation of a host's engine. Once a pin is written for an
// incarnation, its group and generation never change; Retire may only change to true.
type Pin struct {
	Incarnation string `json:"incarnation"`
	Group       string `json:"group,omitempty"`
	Generation  uint64 `json:"generation,omitempty"`
	Retire      bool   `json:"retire,omitempty"` // the incarnation may be ordered to end
}

// Lease proves that a daemon which holds fabric domains is alive. Other daemons measure its age
// on their own clocks, from when they saw it change.
type Lease struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
	// Renewal rises with each renewal. It shows whether a renewal took effect although its
	// reply was lost.
	Renewal uint64 `json:"renewal"`
	// Millis is how long the holder may act after it has sent a renewal.
	Millis int64 `json:"millis"`
}

// Daemon is the registration of a daemon, by which other daemons find it.
type Daemon struct {
	Address     string `json:"address"` // of the peer link, host:port
	API         string `json:"api"`     // of the operators' interface, host:port
	DataCentre  string `json:"dataCentre"`
	Incarnation string `json:"incarnation"`
	StartedUnix int64  `json:"startedUnix"`       // seconds
	Leaving     bool   `json:"leaving,omitempty"` // stopping, or found unresponsive by another daemon
}

// Outcome states what is known of the execution of a request.
type Outcome string

// The outcomes. NotRun and Completed are used only if proven; otherwise the outcome is Unknown.
const (
	NotRun    Outcome = "not_run"
	Completed Outcome = "completed"
	Unknown   Outcome = "unknown"
)

// ClaimShard holds the claims of one shard whose keys were created in one window of time.
type ClaimShard struct {
	Claims map[string]Claim `json:"claims"` // by customer and key, separated by a slash
}

// Claim states which attempt owns an idempotency key and, once known, how it ended.
type Claim struct {
	Attempt string `json:"a"`
	Daemon  string `json:"d"`
	// Outcome is empty while the attempt may still be running.
	Outcome Outcome `json:"o,omitempty"`
	// Status and Body are the recorded answer. Body is empty if it was too large to record.
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
