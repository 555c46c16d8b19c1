// Package rendezvous implements rendezvous hashing (highest random weight). It scores the
// candidates for a duty, and the candidate with the highest score is responsible for it.
// Callers that know the same candidates choose the same one. When a candidate joins or leaves,
// only its own duties move.
package rendezvous

import "github.com/cespare/xxhash/v2"

// roundStep is an odd number close to 2^64 divided by the golden ratio. Multiples of it are
// far apart, and so are the rounds of a candidate.
const roundStep = 0x9e3779b97f4a7c15

// Hash returns the hash of a name for Score. Callers that score a name often should keep it.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of a candidate for a duty, both given as hashes. Different rounds
// give different scores.
func Score(candidate, duty, round uint64) uint64 {
	return Mix(Mix(candidate+round*roundStep) ^ duty)
}

// Mix spreads the bits of a number. It is the finalizer of the 64-bit MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
