// Package rendezvous provides the hash step for rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping
// Scheme for Rendezvous", 1996): each pair of a key and a candidate gets a score, and the candidates with the highest
// scores are chosen. All processes must compute the same scores, so the result of Mix must never change.
package rendezvous

// Mix spreads the entropy of pair over all 64 bits, so that similar pairs get unrelated scores. It is the finalizer of
// SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
func Mix(pair uint64) uint64 {
	pair = (pair ^ pair>>30) * 0xbf58476d1ce4e5b9
	pair = (pair ^ pair>>27) * 0x94d049bb133111eb
	return pair ^ pair>>31
}

// GoldenRatio is 2^64 divided by the golden ratio, the odd increment of SplitMix64. Callers include it in the
// value that they compute from a pair and pass to Mix.
const GoldenRatio = 0x9e3779b97f4a7c15
