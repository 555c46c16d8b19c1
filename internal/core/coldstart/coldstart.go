// Package coldstart limits the load on a target that has just started to what the target can
// take, over all daemons together.
//
// A Warmth follows one target from cold to warm by the number of requests that it has
// answered. A Dealer computes how many of a target's slots this daemon may use. A Reaper
// removes the objects of dead daemons, so that their slots are dealt to others.
//
// The slots are dealt over the daemons that have an object in the platform, not over the
// daemons that are linked at the moment. If the daemons are split in two, each part still
// counts the daemons of the other part, so that all shares together do not exceed the target's
// limit.
//
// Five rules keep the sum of the shares within the limit while the set of daemons changes:
//
//  1. A daemon uses its slots only while its deal is valid. Either it has recently had proof
//     from the platform that its configuration is current, or, in an outage of the platform,
//     every other daemon of the set reports that it does not reach the platform either and has
//     applied no later revision.
//  2. A daemon uses a slot that it has gained only once every other daemon of the set has
//     reported that it has applied the change, and that its load on the target fits its new
//     share.
//  3. The object of an unresponsive daemon is first marked as leaving, and deleted only
//     HoldOffDelay later. Within that time the daemon, if it is still running, has seen the
//     mark or its deal has become invalid, and its last requests have ended.
//  4. A run that replaces another run of the same name uses no slots for HoldOffDelay, and its
//     heartbeats acknowledge nothing on behalf of the earlier run. If it stops within that
//     time, it marks its object as leaving instead of deleting it.
//  5. Only a daemon that all others of some set containing it have acknowledged may delete the
//     object of another daemon. Daemons of that set that are cut off from the platform still
//     include it among the daemons that must agree by rule 1.
//
// Times are monotonic and count from the start of this daemon.
package coldstart

import "time"

const (
	// ConfirmationMaxAge is the maximum age of the platform call that last proved the
	// configuration current. When it is older, the deal is valid only by agreement in an
	// outage.
	ConfirmationMaxAge = 10 * time.Second
	// heartbeatMaxAge is the maximum age of a heartbeat that counts for the agreement in an
	// outage.
	heartbeatMaxAge = 3 * time.Second
	// MaxAttemptDuration is the longest time that a request sent to a cold target may run.
	MaxAttemptDuration = 30 * time.Second
	// stepMargin allows for the time between a step and the execution of its effects.
	stepMargin = 2 * time.Second
	// HoldOffDelay is how long the slots of a daemon that may still be running stay unused. By
	// then its deal has become invalid and its last requests have ended.
	HoldOffDelay = ConfirmationMaxAge + heartbeatMaxAge + MaxAttemptDuration + stepMargin
	// DeadTimeout is how long a daemon must be unresponsive before its object is marked as
	// leaving.
	DeadTimeout = 10 * time.Second
)
