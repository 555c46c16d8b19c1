// Package object defines the kinds of object that rhubarbswitch stores in the platform's object
// API, and the checks that a value must pass before it is written or put in force. Objects are
// plain data, encoded as JSON; the platform assigns their versions.
//
// Operators write contracts, models, services, data centres and hosts (config.go). The daemons
// themselves write the assignment of hosts to groups, leases, daemon registrations, claims
// (record.go) and accounts (account.go).
package object

// Kind names a kind of object as it appears in the platform's paths.
type Kind string

// The kinds of object. ConfigKinds are written by operators, the others by the daemons.
const (
	KindContract   Kind = "contract"
	KindModel      Kind = "model"
	KindService    Kind = "service"
	KindDataCentre Kind = "datacentre"
	KindHost       Kind = "host"
	KindDomain     Kind = "domain"
	KindLease      Kind = "lease"
	KindDaemon     Kind = "daemon"
	KindClaim      Kind = "claim"
	KindAccount    Kind = "account"
)

// ConfigKinds are the kinds that operators write. They are a part of WatchedKinds.
var ConfigKinds = []Kind{KindContract, KindModel, KindService, KindDataCentre, KindHost}

// WatchedKinds are the kinds that every daemon watches: the configuration, the assignment of
// hosts to groups, and the daemons, among which the slots of cold targets are divided.
var WatchedKinds = []Kind{KindContract, KindModel, KindService, KindDataCentre, KindHost, KindDomain, KindDaemon}

// MaxValueBytes is the maximum size of an encoded value; a larger one is not sent. The platform
// refuses 1 MiB; the limit leaves 16 KiB for the envelope around the value.
const MaxValueBytes = 1<<20 - 16<<10

// Version is the platform's revision at which an object was last written. Revisions are global: a
// later write to any object has a higher version. Zero means that the object does not exist.
type Version uint64

// Value is the typed content of an object.
type Value interface {
	// Kind returns the kind of object to which the value belongs.
	Kind() Kind
	// Check returns an error for the first rule that the value breaks, or nil.
	Check() error
}

// Object is a value with its name and version. A nil Value with a version above zero is a deletion
// reported by a watch.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	Value   Value
}

// Deleted reports whether the object is a deletion.
func (o Object) Deleted() bool { return o.Value == nil }
