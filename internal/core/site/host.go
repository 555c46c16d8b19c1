package site

import (
	"slices"
	"time"
)

// Host is one registered host: the process of an engine or of a plain service.
type Host struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	// Domain is the fabric domain of an engine's host; all members of a group are in one
	// domain.
	Domain string
	Slots  int // requests that run at once
	// Draining hosts finish their requests and must get no new ones.
	Draining bool
	// ColdLeft is how much longer the host stays cold, as of its last registration.
	ColdLeft time.Duration
	// Incarnation identifies the run of the host's process: it rises with each restart.
	Incarnation int64
	// Writes is how often this incarnation has written its entry; a newer entry has more.
	Writes uint64
	// Staged are the models whose weights are stored on the host.
	Staged []string
	// Model is the model that the host's group serves; empty outside of groups and while
	// joining.
	Model string
	// Member is the host's place in a group.
	Member Membership
}

// StagedWith reports whether a model's weights are stored on the host.
func (h *Host) StagedWith(model string) bool { return slices.Contains(h.Staged, model) }

// Phase is the state of a host as a member of a group.
type Phase uint8

// The phases.
const (
	Absent  Phase = iota // member of no group
	Joining              // loads weights or connects to the other members
	Ready                // has joined; a head does not yet take requests
	Open                 // a head that takes requests
	Closing              // a head that finishes its requests
	Broken               // a head that has lost a member
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	return [...]string{"absent", "joining", "ready", "open", "closing", "broken"}[p]
}

// GroupID names one formation of a group. Another list of members has another epoch.
type GroupID struct {
	Name  string
	Epoch uint64
}

// Membership is a host's place in a group; the zero value is none.
type Membership struct {
	Group GroupID
	Rank  int // 0 is the head, which takes the group's requests
	Phase Phase
}

// Report is the state that an engine reports about itself. It lags by Engine.ReportLag.
type Report struct {
	// Incarnation is that of the reporting process, as in Host.Incarnation.
	Incarnation int64
	// OrderCount is the number of orders that this incarnation has accepted.
	OrderCount uint64
	Busy       bool
	Running    int
	Queued     int
	Model      string
	Staged     []string
	Member     Membership
}

// Notice is what a host states about its own availability with any answer.
type Notice struct {
	// Leaving is set if the host is about to stop and must get no new requests.
	Leaving bool
	// Quiet is how long the host must get no request from this daemon; zero if it asks for
	// nothing.
	Quiet time.Duration
	// InvalidQuiet is a request for quiet that could not be parsed; empty if there is none.
	InvalidQuiet string
}

// Empty reports whether the host states nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// LimitStatement is what an answer of a host states about the requests that the host takes.
type LimitStatement struct {
	// PerSecond is the number of requests a second that the host takes from all daemons together;
	// zero if it names no limit.
	PerSecond float64
	// Invalid is a limit that can't be read; empty if there is none. Such an answer states nothing.
	Invalid string
}

// Load is the load that a target reports with an answer.
type Load struct {
	Running int // requests that run
	Waiting int // requests that wait for a slot
	Slots   int // requests that can run at once; zero if no load was reported
}
