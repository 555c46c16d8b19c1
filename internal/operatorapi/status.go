package operatorapi

import (
	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

// Status is what one daemon knows of the whole system.
type Status struct {
	Cluster     string         `json:"cluster"`
	Daemon      string         `json:"daemon"`
	Incarnation string         `json:"incarnation"`
	DataCentre  string         `json:"dataCentre"`
	Release     string         `json:"release"`
	Ready       bool           `json:"ready"`
	Reason      string         `json:"reason,omitempty"` // why not ready
	Applied     object.Version `json:"applied"`          // revision of the configuration in force
	// PlatformReachable says whether this daemon hears the platform.
	PlatformReachable bool            `json:"platformReachable"`
	Daemons           []DaemonStatus  `json:"daemons"` // this one included
	Groups            []GroupStatus   `json:"groups"`
	Services          []ServiceStatus `json:"services"`
	Leases            []LeaseStatus   `json:"leases"`
}

// DaemonStatus is one daemon as the answering one knows it.
type DaemonStatus struct {
	Name       string         `json:"name"`
	API        string         `json:"api"` // address of its operators' interface
	DataCentre string         `json:"dataCentre"`
	Applied    object.Version `json:"applied"`
	Linked     bool           `json:"linked"`
	Leaving    bool           `json:"leaving,omitempty"`
	// AgeMillis is how long ago it was heard.
	AgeMillis int64 `json:"ageMillis"`
}

// GroupStatus is one group of hosts.
type GroupStatus struct {
	Name       string   `json:"name"`
	Model      string   `json:"model"`
	Domain     string   `json:"domain"`
	DataCentre string   `json:"dataCentre"`
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
	Serving    bool     `json:"serving"`
	Reason     string   `json:"reason,omitempty"` // why not serving
	Cold       bool     `json:"cold,omitempty"`
	// Limit is the number of requests that the group bears over all daemons;
	// InFlight how many run there as far as is known.
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
}

// ServiceStatus is one target of a plain service.
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

// LeaseStatus says which daemon orders a domain's hosts.
type LeaseStatus struct {
	Domain string `json:"domain"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// AgeMillis is how long ago the holder's last renewal was seen; -1 if unknown.
	AgeMillis int64 `json:"ageMillis"`
}

// Applied says how far a revision of the configuration is in force.
type Applied struct {
	Revision object.Version `json:"revision"`
	InForce  []string       `json:"inForce"` // daemons
	Lagging  []Lag          `json:"lagging"`
}

// Lag is one daemon that has not applied the revision as far as is known.
type Lag struct {
	Daemon    string         `json:"daemon"`
	Applied   object.Version `json:"applied"`
	AgeMillis int64          `json:"ageMillis"`
}

// Everywhere reports whether every known daemon has the revision in force.
func (a Applied) Everywhere() bool { return len(a.InForce) > 0 && len(a.Lagging) == 0 }

// AppliedOf derives from a status how far a revision is in force.
func AppliedOf(s Status, revision object.Version) Applied {
	a := Applied{Revision: revision, InForce: []string{}, Lagging: []Lag{}}
	for _, d := range s.Daemons {
		if d.Applied >= revision {
			a.InForce = append(a.InForce, d.Name)
			continue
		}
		a.Lagging = append(a.Lagging, Lag{Daemon: d.Name, Applied: d.Applied, AgeMillis: d.AgeMillis})
	}
	return a
}

// Trace is what one daemon remembers of a request, in order of time.
type Trace struct {
	Request string       `json:"request"`
	Events  []TraceEvent `json:"events"`
}

// TraceEvent is one logged event of a request.
type TraceEvent struct {
	UnixMillis int64        `json:"unixMillis"`
	Daemon     string       `json:"daemon"`
	Event      string       `json:"event"` // number, such as RS2001
	Message    string       `json:"message"`
	Fields     []TraceField `json:"fields,omitempty"`
}

// TraceField is one named value of an event.
type TraceField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}
