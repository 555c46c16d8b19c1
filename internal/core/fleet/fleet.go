// Package fleet keeps what one daemon knows of the targets: the groups of model
// engines and the hosts of plain services, how fresh that knowledge is, and how
// much work is in flight there.
//
// A group is routable only while every one of its members has itself reported,
// freshly, that it is ready in this group and this generation. The assignment in
// the platform says what a group should be; the reports decide whether it serves.
//
// Times are monotonic times since this daemon started.
package fleet

import (
	"time"

	"github.com/rhubarbswitch/rhubarbswitch/internal/object"
)

const (
	// FreshFor bounds the age of a report, counted from when its probe was sent,
	// up to which it proves anything.
	FreshFor = 1500 * time.Millisecond
	// ProbeEvery is the interval between two probes of a host by one prober.
	ProbeEvery = 300 * time.Millisecond
	// standFor is the age from which a report that a host answered gives way to
	// another prober's failure to reach it.
	standFor = 2 * ProbeEvery
	// refreshEvery is the interval after which an unchanged report is passed on again.
	refreshEvery = 500 * time.Millisecond
	// secondAfter and anyAfter are the ages of the newest report from which the
	// next probers by rendezvous, and then all daemons, probe a host too.
	secondAfter = 1000 * time.Millisecond
	anyAfter    = 1250 * time.Millisecond
	// secondProbers is the number of daemons by rendezvous that may probe early.
	secondProbers = 3
)

// Config is the part of the configuration that the view reads.
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
	// Live returns the live daemons, sorted, with this one.
	Live() []string
	// Owners returns up to n live daemons for a duty, the first being its owner.
	Owners(key string, n int) []string
}

// HostKey is the rendezvous key of the duty to probe a host.
func HostKey(host string) string { return "host/" + host }

// ServiceTarget is the name of the target that a host of a plain service is.
func ServiceTarget(service, host string) string { return service + "/" + host }
