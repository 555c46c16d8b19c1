// Package platformapi defines the HTTP protocol of the platform: its versioned objects, which
// clients list and watch, and its list of hosts. The platform and its clients share these types.
package platformapi

import "encoding/json"

// Paths of the platform's API, with the successful answer and the statuses of refusals.
//
//	GET    /v1/objects/{kind}/{name}                 Envelope, or 404
//	PUT    /v1/objects/{kind}/{name}?ifVersion=N     Envelope, or 409 with the current; N=0 creates
//	DELETE /v1/objects/{kind}/{name}?ifVersion=N     Envelope without value, or 409
//	GET    /v1/objects/{kind}?after=NAME&limit=N     Page
//	GET    /v1/watch?kinds=a,b&from=REV&waitMillis=N WatchBatch, or 410 if REV is no longer kept
//	GET    /v1/hosts                                 HostList
const (
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch"
	PathHosts   = "/v1/hosts"
)

// Envelope is one version of an object, or its deletion.
type Envelope struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the platform's global revision at the object's last write.
	Version uint64 `json:"version"`
	// Value is empty if the object was deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Page is one page of a list of objects, sorted by name.
type Page struct {
	// Revision is the platform's revision at which the page was read.
	Revision uint64     `json:"revision"`
	Items    []Envelope `json:"items"`
	// Next is the value of "after" for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// WatchBatch holds every change of the watched kinds after the requested revision and up to
// Revision, in order.
type WatchBatch struct {
	Revision uint64     `json:"revision"`
	Changes  []Envelope `json:"changes"`
}

// HostList is the platform's list of hosts. It lags behind the hosts' actual state.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Host is one host of the list.
type Host struct {
	Name         string `json:"name"`
	Address      string `json:"address"` // of the host's engine, host:port
	Domain       string `json:"domain"`  // fabric domain that the host belongs to
	DataCentre   string `json:"dataCentre"`
	Accelerators int    `json:"accelerators"`
	Leaving      bool   `json:"leaving"` // whether the platform is going to remove the host
}
