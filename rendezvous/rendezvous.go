// Package rendezvous holds the hash step that rendezvous hashing is built on here (Thaler and Ravishankar, "A
// Name-Based Mapping Scheme for Rendezvous", 1996): each pair of a key and a candidate gets a score, and the
// candidates with the highest scores are chosen. Processes that compare scores must compute the same ones, so Mix
// never changes.
package rendezvous

// Mix spreads the entropy of pair over all 64 bits, so that scores of similar pairs are unrelated. It is the
// finalizer of SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
func Mix(pair uint64) uint64 {
	pair = (pair ^ pair>>30) * 0xbf58476d1ce4e5b9
	pair = (pair ^ pair>>27) * 0x94d049bb133111eb
	return pair ^ pair>>31
}

// GoldenRatio is 2^64 divided by the golden ratio, the odd increment of SplitMix64. Callers combine the two members
// of a pair with it before Mix.
const GoldenRatio = 0x9e3779b97f4a7c15
