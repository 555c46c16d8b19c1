package operatorapi

import (
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Status is the state of the whole system as one daemon knows it.
type Status struct {
	Cluster     string `json:"cluster"`
	Daemon      string `json:"daemon"`      // name of the daemon that answers
	Incarnation string `json:"incarnation"` // changes when the daemon restarts
	DataCentre  string `json:"dataCentre"`  // of the daemon that answers
	Release     string `json:"release"`     // software version of the daemon that answers
	// Ready is true while the daemon that answers serves callers. Reason says why it does not.
	Ready   bool           `json:"ready"`
	Reason  string         `json:"reason,omitempty"`
	Applied object.Version `json:"applied"` // revision of the configuration in force
	// PlatformReachable is true while the platform answers this daemon.
	PlatformReachable bool            `json:"platformReachable"`
	Daemons           []DaemonStatus  `json:"daemons"` // includes the daemon that answers
	Groups            []GroupStatus   `json:"groups"`
	Services          []ServiceStatus `json:"services"`
	Leases            []LeaseStatus   `json:"leases"`
}

// DaemonStatus is the state of one daemon, as the daemon that answers knows it.
type DaemonStatus struct {
	Name string `json:"name"`
	// API is the address of its operators' interface. Daemons leave it empty at present; only
	// a status that rhubarbctl reads from the platform contains it.
	API        string         `json:"api"`
	DataCentre string         `json:"dataCentre"`        // empty if unknown
	Applied    object.Version `json:"applied"`           // revision of the configuration in force there
	Linked     bool           `json:"linked"`            // the daemon that answers has a link to it
	Leaving    bool           `json:"leaving,omitempty"` // it is shutting down
	// AgeMillis is 0 for a live daemon, and -1 if it is unknown whether the daemon is live.
	AgeMillis int64 `json:"ageMillis"`
}

// GroupStatus is the state of one group of hosts, which together serve a model.
type GroupStatus struct {
	Name       string   `json:"name"`
	Model      string   `json:"model"`
	Domain     string   `json:"domain"`
	DataCentre string   `json:"dataCentre"`
	Generation uint64   `json:"generation"` // increases each time the group is formed
	Members    []string `json:"members"`    // names of the hosts
	Serving    bool     `json:"serving"`
	Reason     string   `json:"reason,omitempty"` // why it does not serve, if known
	Cold       bool     `json:"cold,omitempty"`   // in its cold start: Limit is lower than usual
	// Limit is the number of requests that the group can run at once, over all daemons.
	Limit int `json:"limit"`
	// InFlight is the number of requests that the group runs, as far as the daemon that
	// answers knows.
	InFlight int `json:"inFlight"`
}

// ServiceStatus is the state of one target of a plain service. Its fields have the same
// meaning as those of GroupStatus.
type ServiceStatus struct {
	Service    string `json:"service"`
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	Serving    bool   `json:"serving"`
	Reason     string `json:"reason,omitempty"`
	Cold       bool   `json:"cold,omitempty"`
	Limit      int    `json:"limit"`
	InFlight   int    `json:"inFlight"`
}

// LeaseStatus is the lease on a domain. Its holder is the daemon that orders the domain's
// hosts.
type LeaseStatus struct {
	Domain string `json:"domain"`
	Holder string `json:"holder"` // name of the daemon
	Fence  uint64 `json:"fence"`  // fencing token of the holder's orders
	// AgeMillis is the time in milliseconds since the holder's last renewal was seen, or -1 if
	// it is unknown. At present it is always -1.
	AgeMillis int64 `json:"ageMillis"`
}

// Applied says which daemons have a revision of the configuration in force.
type Applied struct {
	Revision object.Version  `json:"revision"`
	InForce  []string        `json:"inForce"` // names of the daemons that have it in force
	Lagging  []LaggingDaemon `json:"lagging"`
}

// LaggingDaemon is a daemon that has not reported the revision as in force.
type LaggingDaemon struct {
	Daemon    string         `json:"daemon"`
	Applied   object.Version `json:"applied"`   // revision that it has in force
	AgeMillis int64          `json:"ageMillis"` // see DaemonStatus
}

// Everywhere reports whether every known daemon has the revision in force.
func (a Applied) Everywhere() bool { return len(a.InForce) > 0 && len(a.Lagging) == 0 }

// AppliedOf derives from a status which daemons have a revision in force.
func AppliedOf(s Status, revision object.Version) Applied {
	a := Applied{Revision: revision, InForce: []string{}, Lagging: []LaggingDaemon{}}
	for _, d := range s.Daemons {
		if d.Applied >= revision {
			a.InForce = append(a.InForce, d.Name)
			continue
		}
		a.Lagging = append(a.Lagging, LaggingDaemon{Daemon: d.Name, Applied: d.Applied, AgeMillis: d.AgeMillis})
	}
	return a
}

// Trace contains the recorded events of a request, in order of time.
type Trace struct {
	Request string       `json:"request"`
	Events  []TraceEvent `json:"events"`
}

// TraceEvent is one logged event of a request.
type TraceEvent struct {
	UnixMillis int64        `json:"unixMillis"` // wall-clock time in milliseconds
	Daemon     string       `json:"daemon"`     // daemon that logged the event
	Event      string       `json:"event"`      // event number, such as RS2001
	Message    string       `json:"message"`
	Fields     []TraceField `json:"fields,omitempty"`
}

// TraceField is one named value of an event.
type TraceField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}
