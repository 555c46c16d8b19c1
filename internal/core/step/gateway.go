package step

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/hostlimit"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/quarantine"
	"github.com/rhubarbswitch/rhubarbswitch/internal/core/site"
)

// Call is a request at a gateway that waits for admission. The gateway forwards it unchanged.
type Call struct {
	ID RequestID
	// CallerID is the caller's own identifier of the request; it appears in logs.
	CallerID string
	Method   string
	Host     string // value of the Host header
	Path     string // without the query
	Query    string
	Key      string // identifies the caller's team
	// Model, PromptTokens and MaxTokens are set if the request generates text.
	Model        string
	PromptTokens int
	MaxTokens    int
	// SharedParts are the IDs of the parts of the prompt that other requests may share, in order.
	SharedParts []uint64
	// Deadline is the monotonic time at which the caller gives up; zero if the request does not
	// state one.
	Deadline time.Duration
	// BodyHash is a hash of the body.
	BodyHash uint64
	// HandedOver is set if another daemon has handed the request over, which is never done twice.
	// MaxRuns is how many more attempts may run then.
	HandedOver bool
	MaxRuns    int
	// StaysHere is set if the request is never handed over: daemons of earlier releases would take it for a
	// message.
	StaysHere bool
	// Counted is set if the daemon that hands it over has counted it for its retry budget.
	Counted bool
	// Service is the service that that daemon has chosen for it; empty if it named none.
	Service string
	// ConfigVersion is the version of the configuration by which that daemon admitted it; 0 if it named none.
	ConfigVersion int64
	// LeavingHosts are hosts that have told that daemon that they leave.
	LeavingHosts []LeavingHost
}

// LeavingHost is an incarnation of a host that has stated that it leaves.
type LeavingHost struct {
	Host        string
	Incarnation int64
}

// Forward starts one attempt of an admitted Call. ForwardEnded reports its end.
type Forward struct {
	ID      RequestID
	Attempt AttemptID
	// Host, Address and Service name the target.
	Host    string
	Address string
	Service string
	// Daemon is the daemon that the request is handed over to, at Address; empty if it is sent to a
	// host. MaxRuns is how many attempts that daemon may let run.
	// Counted is set if the request counts for this daemon's retry budget, and so not for the other's.
	// ConfigVersion is the oldest version of the configuration by which the request may run, valid if Daemon
	// is set.
	Daemon        string
	MaxRuns       int
	Counted       bool
	ConfigVersion int64
	// LeavingHosts are hosts of the service that have told this daemon that they leave.
	LeavingHosts []LeavingHost
	Team         string
	// Urgency ranks the request in the target's queue; 0 is served first.
	Urgency int
	// Late is set if the request can't begin within its objective, or yields to those that can.
	Late bool
	// Estimated is the estimated time to the first event.
	Estimated time.Duration
	Deadline  time.Duration // monotonic; the attempt ends with EndedTimeout here
	Stream    bool
	// MayRepeat is set if the request may run more than once. One that may not is sent over a
	// connection that no other request uses.
	MayRepeat bool
	// FirstByteTimeout bounds the wait for the first bytes of the answer, EventGapTimeout the
	// wait between two events of a stream. When one of them expires, AnswerStalled is posted,
	// and again while the stall lasts; the attempt goes on. Zero disables the timeout.
	FirstByteTimeout time.Duration
	EventGapTimeout  time.Duration
}

// AnswerBegan reports that the first bytes of an answer have arrived.
type AnswerBegan struct {
	ID      RequestID
	Attempt AttemptID
	Load    site.Load // Slots is zero if the target did not report its load
	Limit   site.LimitStatement
	// NewConnection is set if the connection was opened for this attempt.
	NewConnection bool
	// ConfigVersion is the version of the configuration of the daemon that the request was handed over to;
	// zero if it does not say, or the request was sent to a host.
	ConfigVersion int64
}

// StreamStarted reports that the first event of an attempt's stream has been delivered.
type StreamStarted struct {
	ID      RequestID
	Attempt AttemptID
}

// StreamResumed reports that an attempt has delivered a further event of its stream while another attempt was
// running beside it.
type StreamResumed struct {
	ID      RequestID
	Attempt AttemptID
}

// AnswerStalled reports that an attempt has received nothing for FirstByteTimeout or
// EventGapTimeout.
type AnswerStalled struct {
	ID      RequestID
	Attempt AttemptID
	// TargetSilence is the time since any request of this daemon last received data from the
	// target.
	TargetSilence time.Duration
	// Unresumable is set if the attempt's stream has begun and no other target can go on with it.
	Unresumable bool
}

// ForwardEnded reports the end of an attempt of a Call. Delivered counts events, not tokens.
type ForwardEnded struct {
	AttemptEnded
	// Unresumable is set if a stream has begun and no target can go on with it: its last event does not
	// show which one is next.
	Unresumable bool
	Load        site.Load // Slots is zero if the target did not report its load
	// Limit is what the target stated as it refused to run the request; nil if the answer was none of
	// its own. An answer that began states it in AnswerBegan.
	Limit *site.LimitStatement
	// Handover is what the daemon that the request was handed over to said of it; nil if it said
	// nothing, or the request was sent to a host.
	Handover *HandoverResult
}

// HandoverResult is what became of a request at the daemon that it was handed over to.
type HandoverResult struct {
	// Runs is the number of attempts that may have run there, final if Answer is set.
	Runs int
	// Sent is the number of attempts at hosts, and Reached the number of those that may have reached theirs, refused ones
	// included. Both are final if Answer is set.
	Sent, Reached int
	// Answer is the daemon's own answer; nil if the answer is a target's.
	Answer *Answer
}

// GatewaySettings are the settings that a gateway's reducer applies. The event arrives when the
// settings file is read again.
type GatewaySettings struct {
	// RetryShare and RetrySlack are the retry budget of all daemons together: within any
	// RetryWindow at most RetryShare times the number of requests, plus RetrySlack, are retries.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// EngineStall is how long the head of a group that has lost a member stalls before it fails.
	EngineStall time.Duration
	// ShutdownTimeout bounds the time from Stop to Exit, even if requests are still in flight.
	ShutdownTimeout time.Duration
}

// SiteConfig is the newest configuration of the deployment.
type SiteConfig struct {
	Revision uint64
	Config   *site.Config
}

// SiteHosts holds the registered hosts that have changed. If Full is set, it lists all of them.
type SiteHosts struct {
	Full  bool
	Hosts []site.Host // added or changed
	Gone  []string    // IDs of hosts that are no longer registered
}

// SiteEvacuated lists the data centres that must get no work. If Full is set, the list was read
// from the store as a whole; otherwise the store has reported a change of it.
type SiteEvacuated struct {
	Full        bool
	DataCentres []string
}

// SiteDaemons lists the daemons of the deployment. Address is where other daemons reach one; it
// is empty if the daemon accepts no calls from them.
type SiteDaemons struct{ Daemons []Peer }

// NotifySuspect notifies the lease holder, which orders the groups, of a stalled engine.
type NotifySuspect struct {
	Daemon  string // the lease holder
	Address string // of the lease holder
	Host    string // of the stalled engine
}

// HostSuspected reports that another daemon has sent a NotifySuspect for a host's engine.
type HostSuspected struct{ Host string }

// ProbeHost tests whether a host's process accepts connections. HostProbed is the reply.
type ProbeHost struct {
	Host    string
	Address string
	// PathOf is the service whose hosts may be out of this daemon's reach; empty if the probe is to
	// show whether the host has crashed.
	PathOf string
}

// ProbeResult is the result of a ProbeHost.
type ProbeResult uint8

// The results.
const (
	// ProbeAccepted: the host accepts connections.
	ProbeAccepted ProbeResult = iota + 1
	// ProbeRefused: the machine answers that no process listens there.
	ProbeRefused
	// ProbeUnanswered: no answer arrived, which says nothing of the process.
	ProbeUnanswered
)

// String returns the result's name as it appears in logs.
func (r ProbeResult) String() string { return [...]string{"", "accepted", "refused", "unanswered"}[r] }

// HostProbed answers ProbeHost.
type HostProbed struct {
	Host   string
	Result ProbeResult
	Sent   time.Duration // when the probe was sent
	PathOf string        // as in ProbeHost
}

// ShareEvidence sends evidence on crashes to other daemons. EvidenceReceived is what they get.
type ShareEvidence struct {
	Addresses []string
	Evidence  quarantine.Evidence
}

// EvidenceReceived is the evidence that another daemon has shared. Its times are this daemon's.
type EvidenceReceived struct{ Evidence quarantine.Evidence }

// ShareLimits tells other daemons of the limits that hosts have named, and of this daemon's demand.
// LimitsReceived is what they get.
type ShareLimits struct {
	Addresses []string
	Message   hostlimit.Message
}

// LimitsReceived is what another daemon has told of limits. Its times are this daemon's.
type LimitsReceived struct{ Message hostlimit.Message }

// StoreVerdict stores a verdict, so that daemons that start later know it. VerdictAnswered is the
// reply.
type StoreVerdict struct {
	Op      OpID
	Verdict quarantine.Verdict
}

// RemoveVerdict removes a stored verdict. VerdictAnswered is the reply.
type RemoveVerdict struct {
	Op          OpID
	Fingerprint quarantine.Fingerprint
}

// VerdictAnswered answers StoreVerdict and RemoveVerdict. OK is set if the store is as ordered.
type VerdictAnswered struct {
	Op OpID
	OK bool
}

// SiteVerdicts holds the stored verdicts that have changed. If Full is set, it lists all of them.
type SiteVerdicts struct {
	Full     bool
	Verdicts []quarantine.Verdict
	Gone     []quarantine.Fingerprint // no longer stored
}

// HostNotice reports what a host has stated about its availability.
type HostNotice struct {
	Host   string
	Notice site.Notice
}

// StoreEra reports the era of the platform's store, when it is first known and when it rises.
// An era ends when the store comes back from an older copy of its data: revisions of different
// eras can't be compared, and what was written last in the era before may be lost.
type StoreEra struct{ Era uint64 }

// RequestReport requests an engine's report. ReportAnswered is the reply.
type RequestReport struct {
	Host    string
	Address string
}

// ReportAnswered answers RequestReport.
type ReportAnswered struct {
	Host   string
	OK     bool        // the engine answered
	Report site.Report // valid if OK
	// Accepts is whether the host accepted a connection although the engine did not answer in time.
	Accepts bool
	// Sent is when the request was sent.
	Sent time.Duration
	// Limit is what the engine stated, valid also if OK is unset.
	Limit site.LimitStatement
}

// GroupOrderKind is the kind of change that an order makes.
type GroupOrderKind string

// The orders.
const (
	// OrderJoin makes a host a member of a group.
	OrderJoin GroupOrderKind = "join"
	// OrderOpen makes a ready head (the first member of a group) accept requests.
	OrderOpen GroupOrderKind = "open"
	// OrderClose makes a head refuse new requests and finish those in flight.
	OrderClose GroupOrderKind = "close"
	// OrderAbort closes a head and aborts its requests in flight.
	OrderAbort GroupOrderKind = "abort"
	// OrderLeave removes a member from its group.
	OrderLeave GroupOrderKind = "leave"
	// OrderStage loads a model's weights onto a host that is in no group.
	OrderStage GroupOrderKind = "stage"
)

// GroupOrder changes the role of an engine in a group.
type GroupOrder struct {
	Kind  GroupOrderKind
	Group site.GroupID
	Model string
	// Members are the group's hosts in order of rank.
	Members []string
	// ExpectedOrders is the number of orders that the engine must have accepted so far. If it
	// has accepted another number, this order was computed from an old state and has no effect.
	ExpectedOrders uint64
}

// SendGroupOrder sends an order to an engine. GroupOrderAnswered is the reply.
type SendGroupOrder struct {
	Op      OpID
	Host    string
	Address string
	Order   GroupOrder
	// Until is when the lease expires under which the order was decided. It must not be sent from then on.
	Until time.Duration
}

// Expired reports whether the order must not be sent any more. Another daemon may order by now.
func (o SendGroupOrder) Expired(now time.Duration) bool { return now >= o.Until }

// OrderOutcome is the result of an order.
type OrderOutcome uint8

// The outcomes.
const (
	// OrderAccepted: the engine accepted the order; its order count rose by one.
	OrderAccepted OrderOutcome = iota + 1
	// OrderDone: the order was completed at once, or its result was already in effect.
	OrderDone
	// OrderRejected: the order does not match the engine's state or its order count.
	OrderRejected
	// OrderLost: no answer arrived. The engine may still carry out the order.
	OrderLost
	// OrderNotSent: the order was not sent.
	OrderNotSent
	// OrderExpired: the order was not sent because its lease had expired. That says nothing about the engine.
	OrderExpired
)

// Ineffective reports whether the order surely has no effect.
func (o OrderOutcome) Ineffective() bool {
	return o == OrderRejected || o == OrderNotSent || o == OrderExpired
}

// String returns the outcome's name as it appears in logs.
func (o OrderOutcome) String() string {
	return [...]string{"", "begun", "done", "unfit", "lost", "not sent", "expired"}[o]
}

// GroupOrderAnswered answers SendGroupOrder.
type GroupOrderAnswered struct {
	Op      OpID
	Host    string
	Outcome OrderOutcome
}

// ControlLease is the stored lease whose holder orders all groups.
type ControlLease struct {
	Holder      string `json:"holder"` // name of the daemon
	Incarnation string `json:"run"`    // the holder's incarnation
	// Renewal rises with each write. Without it a renewal would change nothing, so the store
	// would keep the revision from which other daemons conclude that the holder is alive.
	Renewal uint64 `json:"renewal"`
	// JoinDelayMillis maps each host that must not join a group yet to the remaining delay in
	// milliseconds, counted from the write of the lease.
	JoinDelayMillis map[string]int64 `json:"resting,omitempty"`
	// LoadsEndMillis is how long, counted from the write of the lease, the holder's latest
	// weight loads still count against the load limit of the weight store.
	LoadsEndMillis int64 `json:"loadsEndMillis,omitempty"`
}

// ReadLease reads the lease of an era. AllowStale permits a cached answer that is seconds old.
type ReadLease struct {
	Op         OpID
	Era        uint64
	AllowStale bool
}

// WriteLease writes the lease of an era if its current revision is Revision. Zero creates the
// lease. Each era has its own object, so that a write of an earlier era can't succeed because
// the store gives out the same revision again.
type WriteLease struct {
	Op       OpID
	Era      uint64
	Revision uint64
	Lease    ControlLease
}

// LeaseAnswered answers ReadLease and WriteLease. If Status is ReplyOK or ReplyConflict, Lease
// and Revision are the stored ones, and Era is that of the answer.
type LeaseAnswered struct {
	Op       OpID
	Status   ReplyStatus
	Era      uint64
	Revision uint64
	Lease    ControlLease
}

func (GatewaySettings) event()    {}
func (Call) event()               {}
func (AnswerBegan) event()        {}
func (StreamStarted) event()      {}
func (StreamResumed) event()      {}
func (AnswerStalled) event()      {}
func (ForwardEnded) event()       {}
func (SiteConfig) event()         {}
func (SiteHosts) event()          {}
func (SiteEvacuated) event()      {}
func (SiteDaemons) event()        {}
func (HostSuspected) event()      {}
func (HostProbed) event()         {}
func (EvidenceReceived) event()   {}
func (LimitsReceived) event()     {}
func (VerdictAnswered) event()    {}
func (SiteVerdicts) event()       {}
func (HostNotice) event()         {}
func (StoreEra) event()           {}
func (ReportAnswered) event()     {}
func (GroupOrderAnswered) event() {}
func (LeaseAnswered) event()      {}

func (Forward) effect()        {}
func (ProbeHost) effect()      {}
func (ShareEvidence) effect()  {}
func (ShareLimits) effect()    {}
func (StoreVerdict) effect()   {}
func (RemoveVerdict) effect()  {}
func (NotifySuspect) effect()  {}
func (RequestReport) effect()  {}
func (SendGroupOrder) effect() {}
func (ReadLease) effect()      {}
func (WriteLease) effect()     {}
