// Package rendezvous scores who does a duty: of all candidates the one with the
// highest score. Whoever knows the same candidates comes to the same answer, and a
// candidate that comes or goes moves only its own duties.
package rendezvous

import "github.com/cespare/xxhash/v2"

// roundStep is an odd number that sets the rounds of one pair far apart.
const roundStep = 0x9e3779b97f4a7c15

// Hash returns the hash of a name, from which scores are made. It is worth keeping
// for names that are scored often.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of a candidate for a duty, both given as hashes. Another
// round gives another score.
func Score(candidate, duty, round uint64) uint64 {
	return Mix(Mix(candidate+round*roundStep) ^ duty)
}

// Mix spreads the bits of a number (the finalizer of a 64-bit hash).
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
