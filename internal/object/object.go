// Package object defines the kinds of object that rhubarbswitch keeps in the
// platform's object API, and the checks that each must pass before it is
// written. Objects are plain data: encoding is JSON, versions are the
// platform's.
package object

// Kind names a kind of object as it appears in the platform's paths.
type Kind string

// The kinds of object. Configuration kinds are written by operators and watched
// by every daemon; the others are the system's own records.
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

// ConfigKinds are the kinds that operators write.
var ConfigKinds = []Kind{KindContract, KindModel, KindService, KindDataCentre, KindHost}

// WatchedKinds are the kinds that every daemon follows by watch: the
// configuration, the assignment of hosts to groups, and the daemons, over which the
// slots of cold targets are dealt.
var WatchedKinds = []Kind{KindContract, KindModel, KindService, KindDataCentre, KindHost, KindDomain, KindDaemon}

// MaxValueBytes bounds an encoded value. The platform refuses 1 MiB; the bound
// leaves room for its envelope.
const MaxValueBytes = 1<<20 - 16<<10

// Version is the platform's revision at which an object was last written. It is
// global: a later write to any object has a higher version. Zero means absent.
type Version uint64

// Value is the typed content of an object.
type Value interface {
	// Kind reports which kind of object the value belongs to.
	Kind() Kind
	// Check reports the first rule that the value breaks, or nil.
	Check() error
}

// Object is a value with its name and version. A nil Value at a version above
// zero is a deletion seen by a watch.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	Value   Value
}

// Deleted reports whether the object stands for a deletion.
func (o Object) Deleted() bool { return o.Value == nil }
