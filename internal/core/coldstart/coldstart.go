// Package coldstart keeps the load on a target that has just started within what
// the target bears, over all daemons together.
//
// A Warmth follows one target from cold to warm by the work that it has answered. A
// Dealer says how many of a target's slots are this daemon's. The slots are dealt
// over the daemon objects in the platform, not over the daemons that happen to be
// linked: two sides of a cut both keep the daemons of the other side in their deal,
// so that their shares still add up to no more than the target's limit.
//
// Four rules make the sum hold while the set of daemons changes:
//
//  1. A daemon uses its slots only while it is sure: it has lately heard from the
//     platform that its configuration is current, or, in an outage, every other
//     daemon of the set says that it does not hear the platform either and is at the
//     same revision.
//  2. A slot newly gained is used once every other daemon of the set has said that
//     it has applied the change, and that its load on the target fits its new share.
//  3. The object of a silent daemon is first marked and deleted only HoldOff later.
//     Within that time the daemon, should it still run, has seen the mark or is no
//     longer sure, and its last requests have ended.
//  4. A run that took the place of another of the same name holds back for HoldOff and
//     does not speak for it until then. If it leaves before, it marks its object.
//  5. Only a daemon that all others of some set containing it have acknowledged may
//     delete another's object. Those of that set that are cut off from the platform
//     keep it among those they must hear by rule 1.
//
// Times are monotonic times since this daemon started.
package coldstart

import "time"

const (
	// ConfirmFor bounds the age of the call to the platform that last proved the
	// configuration current.
	ConfirmFor = 10 * time.Second
	// hearFor bounds the age of a peer's heartbeat that counts.
	hearFor = 3 * time.Second
	// LongestAttempt bounds how long a request sent to a cold target may run.
	LongestAttempt = 30 * time.Second
	// margin allows for the time between a step and what it causes.
	margin = 2 * time.Second
	// HoldOff is how long the slots of a daemon that may still run stay unused.
	HoldOff = ConfirmFor + hearFor + LongestAttempt + margin
	// DeadAfter is the silence after which a daemon's object is marked.
	DeadAfter = 10 * time.Second
)
