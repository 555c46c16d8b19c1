// Package platformapi is the published protocol of the platform: its object API and host list.
package platformapi

import "encoding/json"

// Paths of the platform's interface.
//
//	GET    /v1/objects/{kind}/{name}                 Envelope, or 404
//	PUT    /v1/objects/{kind}/{name}?ifVersion=N     Envelope, or 409 with the Envelope that stands; N=0 creates
//	DELETE /v1/objects/{kind}/{name}?ifVersion=N     Envelope without value, or 409
//	GET    /v1/objects/{kind}?after=NAME&limit=N     Page
//	GET    /v1/watch?kinds=a,b&from=REV&waitMillis=N WatchBatch; 410 when REV is no longer kept
//	GET    /v1/hosts                                 HostList, lagging
const (
	PathObjects = "/v1/objects/"
	PathWatch   = "/v1/watch"
	PathHosts   = "/v1/hosts"
)

// Envelope is an object as the platform hands it out. Version is the global
// revision of its last write. An empty Value is a deletion.
type Envelope struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Page is one page of a list, by name, at Revision. Next is empty on the last.
type Page struct {
	Revision uint64     `json:"revision"`
	Items    []Envelope `json:"items"`
	Next     string     `json:"next,omitempty"`
}

// WatchBatch holds every change of the watched kinds up to Revision, in order.
type WatchBatch struct {
	Revision uint64     `json:"revision"`
	Changes  []Envelope `json:"changes"`
}

// HostList is the platform's lagging list of hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Host is one host of the list.
type Host struct {
	Name         string `json:"name"`
	Address      string `json:"address"` // of the engine, host:port
	Domain       string `json:"domain"`  // fabric domain
	DataCentre   string `json:"dataCentre"`
	Accelerators int    `json:"accelerators"`
	Leaving      bool   `json:"leaving"`
}
