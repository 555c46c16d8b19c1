package step

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// Call asks for the admission of a request that a gateway passes on as it came.
type Call struct {
	ID RequestID
	// CallerID is the caller's own name of the request; logs carry it.
	CallerID string
	Host     string // of the Host header
	Path     string // without the query
	Key      string
	// Model, PromptTokens and MaxTokens are set for generations.
	Model        string
	PromptTokens int
	MaxTokens    int
	// Deadline is the monotonic time at which the caller gives up; zero if not told.
	Deadline time.Duration
	// Fingerprint identifies the content.
	Fingerprint uint64
}

// Forward starts one attempt of an admitted Call.
type Forward struct {
	ID      RequestID
	Attempt AttemptID
	// Host, Address and Service name the target.
	Host    string
	Address string
	Service string
	Team    string
	// Urgency ranks the request at the target, 0 first.
	Urgency  int
	Deadline time.Duration
	Stream   bool
	// MayRepeat tells that the request may run again; others go over a connection of
	// their own.
	MayRepeat bool
	// FirstPatience and PausePatience are how long the answer, and a stream between two
	// events, may bring nothing before AnswerQuiet is posted; zero never posts it.
	FirstPatience time.Duration
	PausePatience time.Duration
}

// AnswerBegan says that the first bytes of an answer are there.
type AnswerBegan struct {
	ID      RequestID
	Attempt AttemptID
	Load    site.Load // zero Slots if not told
}

// AnswerQuiet says that an attempt has brought nothing for its patience.
type AnswerQuiet struct {
	ID      RequestID
	Attempt AttemptID
	// TargetSilent is how long no request of this daemon has heard from the target.
	TargetSilent time.Duration
}

// ForwardEnded says how an attempt of a Call ended. Delivered counts events.
type ForwardEnded struct {
	AttemptEnded
	Load site.Load // zero Slots if not told
}

// Bounds are what a gateway must keep to, by its settings. It comes when they are read
// again.
type Bounds struct {
	// RetryShare and RetrySlack bound the requests that are sent again, over all daemons:
	// a share of the requests, and a number beside it.
	RetryShare float64
	RetrySlack float64
	// RetryWindow is the time, any of that length, for which that holds.
	RetryWindow time.Duration
	// Stall is how long an engine that lost a member of its group stands still.
	Stall time.Duration
	// Grace is how long a stopping daemon may take.
	Grace time.Duration
}

// SiteConfig is the newest configuration of the deployment.
type SiteConfig struct {
	Revision uint64
	Config   *site.Config
}

// SiteHosts are registered hosts that changed; a full one lists all there are.
type SiteHosts struct {
	Full  bool
	Hosts []site.Host
	Gone  []string
}

// SiteEvacuated lists the data centres that must get no work.
type SiteEvacuated struct{ DataCentres []string }

// SiteDaemons lists the daemons of the deployment. An address is where other daemons reach
// one; empty if it takes no calls of them.
type SiteDaemons struct{ Daemons []Peer }

// TellSuspect tells a daemon, which orders the groups, of an engine that brings nothing.
type TellSuspect struct {
	Daemon  string
	Address string
	Host    string
}

// HostSuspected is an engine of which another daemon told that it brings nothing.
type HostSuspected struct{ Host string }

// AskReport asks an engine for its report.
type AskReport struct {
	Host    string
	Address string
}

// ReportRead answers AskReport.
type ReportRead struct {
	Host   string
	OK     bool
	Report site.Report // valid if OK
	// Sent is when the question was sent.
	Sent time.Duration
}

// GroupOrderKind names what an order asks of an engine.
type GroupOrderKind string

// The orders.
const (
	// OrderJoin makes a host a member of a group.
	OrderJoin GroupOrderKind = "join"
	// OrderOpen makes a head that is ready take requests.
	OrderOpen GroupOrderKind = "open"
	// OrderClose makes a head take no new requests and finish what it runs.
	OrderClose GroupOrderKind = "close"
	// OrderAbort closes a head and breaks off what it runs.
	OrderAbort GroupOrderKind = "abort"
	// OrderLeave takes a member out of its group.
	OrderLeave GroupOrderKind = "leave"
	// OrderStage loads a model's weights onto a host.
	OrderStage GroupOrderKind = "stage"
)

// GroupOrder is a change of an engine's part in a group.
type GroupOrder struct {
	Kind  GroupOrderKind
	Group site.GroupID
	Model string
	// Members are the group's hosts in order of rank.
	Members []string
	// Expect is the number of orders that the engine must have taken up: the order does
	// nothing if another came before.
	Expect uint64
}

// SendGroupOrder sends an order to an engine.
type SendGroupOrder struct {
	Op      OpID
	Host    string
	Address string
	Order   GroupOrder
}

// OrderOutcome says what became of an order.
type OrderOutcome uint8

// The outcomes.
const (
	// OrderBegun is an order that the engine took up: its count rose by one.
	OrderBegun OrderOutcome = iota + 1
	// OrderDone is an order that is done at once or whose state held already.
	OrderDone
	// OrderUnfit is an order that does not fit the engine's state or count.
	OrderUnfit
	// OrderLost is an order without an answer: it may be carried out yet.
	OrderLost
	// OrderNotSent never left.
	OrderNotSent
)

// String returns the outcome's name in logs.
func (o OrderOutcome) String() string {
	return [...]string{"", "begun", "done", "unfit", "lost", "not sent"}[o]
}

// GroupOrderAnswered answers SendGroupOrder.
type GroupOrderAnswered struct {
	Op      OpID
	Host    string
	Outcome OrderOutcome
}

// ControlLease is the object that one daemon holds to order all groups.
type ControlLease struct {
	Holder string `json:"holder"`
	Run    string `json:"run"`
	// Renewal rises with each write: one that changes nothing would leave the revision as
	// it is, by which others see that the holder lives.
	Renewal uint64 `json:"renewal"`
	// Resting are hosts that must not join a group yet, each with the milliseconds left
	// when the lease was written.
	Resting map[string]int64 `json:"resting,omitempty"`
	// LoadsEndMillis is how long the holder's latest loads count against the weight
	// store's bound.
	LoadsEndMillis int64 `json:"loadsEndMillis,omitempty"`
}

// ReadLease reads the lease. Stale allows an answer that is seconds old.
type ReadLease struct {
	Op    OpID
	Stale bool
}

// WriteLease writes the lease if Revision stands; zero creates it.
type WriteLease struct {
	Op       OpID
	Revision uint64
	Lease    ControlLease
}

// LeaseAnswered answers ReadLease and WriteLease. Lease and Revision are what stands,
// for ReplyOK and ReplyConflict.
type LeaseAnswered struct {
	Op       OpID
	Status   ReplyStatus
	Revision uint64
	Lease    ControlLease
}

func (Bounds) event()             {}
func (Call) event()               {}
func (AnswerBegan) event()        {}
func (AnswerQuiet) event()        {}
func (ForwardEnded) event()       {}
func (SiteConfig) event()         {}
func (SiteHosts) event()          {}
func (SiteEvacuated) event()      {}
func (SiteDaemons) event()        {}
func (HostSuspected) event()      {}
func (ReportRead) event()         {}
func (GroupOrderAnswered) event() {}
func (LeaseAnswered) event()      {}

func (Forward) effect()        {}
func (TellSuspect) effect()    {}
func (AskReport) effect()      {}
func (SendGroupOrder) effect() {}
func (ReadLease) effect()      {}
func (WriteLease) effect()     {}
