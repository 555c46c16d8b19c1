// Package fleet keeps one daemon's view of the targets: the groups of model engines and the hosts
// of plain services, the age of what is known about them, and the work in flight there. Package
// request reads it to choose targets, package group to assign hosts to groups.
//
// The view combines the configuration in force, the platform's list of hosts, the results of this
// daemon's probes and the results that peers send as digests. Of two reports on a host the newer
// one counts, by the time at which its probe was sent; but a failed probe overrides another
// prober's successful one only after failureOverrideAge.
//
// A group is routable only while a report that is up to date shows, for every member, that the
// member is ready in this group and this generation. A plain service's host is routable while it
// answers probes. The assignment in the platform states which hosts form a group; the reports
// decide whether the group serves.
//
// Several daemons share the probing of a host: one of them by rendezvous hashing probes it
// periodically; the others step in if its reports stop.
//
// A target that becomes routable is cold and gets a low limit of requests in flight, which rises
// with its answers. A dealer divides the limit among the daemons.
//
// Times are monotonic times since this daemon started.
package fleet

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// ReportMaxAge is the maximum age of a report, counted from when its probe was sent. Older
	// reports are ignored: a target with a stale member is not routable.
	ReportMaxAge = 1500 * time.Millisecond
	// probeInterval is the minimum time between two probes of a host by one prober.
	probeInterval = 300 * time.Millisecond
	// failureOverrideAge is how much newer a failed probe must be than another prober's
	// successful one to override it. Either prober may be cut off from the host.
	failureOverrideAge = 2 * probeInterval
	// reportRepeatInterval is the time after which this daemon sends an unchanged report to its
	// peers again.
	reportRepeatInterval = 500 * time.Millisecond
	// secondaryProbeAge is the age of a host's newest report from which the host's secondary
	// probers probe it too, anyProbeAge the age from which every daemon does.
	secondaryProbeAge = 1000 * time.Millisecond
	anyProbeAge       = 1250 * time.Millisecond
	// probersPerHost is the number of a host's probers by rendezvous hashing: the primary one
	// and the secondary ones.
	probersPerHost = 3
)

// Config is the part of the configuration in force that the view reads.
type Config interface {
	Model(name string) (*object.Model, bool)
	Service(name string) (*object.Service, bool)
	DataCentre(name string) (*object.DataCentre, bool)
	Host(name string) (*object.Host, bool)
	Domain(name string) (*object.Domain, object.Version)
	// Names returns the names of a kind's objects, sorted.
	Names(kind object.Kind) []string
}

// Members is the part of the membership that the view reads.
type Members interface {
	// Live returns the live daemons, including this one, sorted.
	Live() []string
	// Owners returns up to n live daemons for a duty by rendezvous hashing, the owner first.
	Owners(key string, n int) []string
}

// HostKey returns the rendezvous key of the duty to probe a host.
func HostKey(host string) string { return "host/" + host }

// ServiceTarget returns the target name of a plain service's host.
func ServiceTarget(service, host string) string { return service + "/" + host }
