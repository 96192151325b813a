package policy

import "math"

// Which endpoints a key belongs to: weighted rendezvous hashing (Thaler and Ravishankar, 1998). Each ready endpoint
// gets a score from its hash, the key and its weight: log(uniform hash of both) / weight. The endpoints with the
// highest scores are the key's candidates, the same at all balancers, since they share nothing else.
//
// A wider set contains the narrower one, and a change of the list moves only the keys of the endpoints that came or
// went. This guards caches against each balancer filling them with keys of its own, which shows as misses that rise
// with the number of balancers. An evacuated zone's endpoints stand last for the keys that are to leave the zone
// (package evacuation).

const (
	// initialCandidates is among how many endpoints the first attempt chooses. One would spread no load; more would
	// hold each key more often, and so fewer keys.
	initialCandidates = 3

	// expansionFactor widens the set after a rejection: 3, 21, 147, all.
	expansionFactor = 7

	// The multipliers of the hash: 2^64 over the golden ratio (Knuth's multiplicative hashing), and that of a 64-bit
	// mixer.
	hashMultiplier = 0x9e3779b97f4a7c15
	mixMultiplier  = 0xd6e8feb86659fd93
)

// candidate is an endpoint with its score for a key: the larger, the earlier.
type candidate struct {
	score    float64
	endpoint int
}

// rankCandidates puts the first count endpoints of a key's ranking at the front of b.candidates and returns how many
// there are. They are in the order of the ranking; but if all are candidates and the order does not matter, in that of
// the list.
func (b *Balancer) rankCandidates(key uint64, count int, ordered bool) int {
	if count >= len(b.ready) && !ordered {
		for place, endpoint := range b.ready {
			b.candidates[place].endpoint = endpoint
		}
		return len(b.ready)
	}
	n := 0
	for _, index := range b.ready {
		endpoint := &b.endpoints[index]
		// The logarithm over the weight makes keys fall in proportion to weights.
		score := math.Log(rendezvousHash(key, endpoint.hash))/endpoint.weight - endpoint.evacuationPenalty(key)
		if n < count {
			n++
		} else if score <= b.candidates[n-1].score {
			continue
		}
		place := n - 1
		for ; place > 0 && b.candidates[place-1].score < score; place-- {
			b.candidates[place] = b.candidates[place-1]
		}
		b.candidates[place] = candidate{score, index}
	}
	return n
}

// rendezvousHash is a hash of a key and an endpoint, uniform between 0 and 1.
func rendezvousHash(key, endpointHash uint64) float64 {
	mix := (key ^ endpointHash) * hashMultiplier
	mix = (mix ^ mix>>32) * mixMultiplier
	mix ^= mix >> 32
	return (float64(mix>>11) + 0.5) / (1 << 53)
}

// evacuation is how far an endpoint's zone is kept free of keys. Package evacuation decides it for the fleet.
type evacuation struct {
	share           float64 // of the keys that do not go there, 0 to 1
	cacheFillsUntil int64   // the endpoint is slow until then, as its cache fills
}

// evacuationPenalty is what a key's evacuation takes from an endpoint's score: all, while the key is to stay out of its
// zone, so that the endpoint stands last. One for which this balancer holds the probe lease is ranked as ever.
func (e *endpointState) evacuationPenalty(key uint64) float64 {
	if e.evacuated.share > 0 && !e.outlier.isProbe() && keyPosition(key) < e.evacuated.share {
		return math.Inf(1)
	}
	return 0
}

// keyPosition is where a key stands among all, from 0 to 1, the same at all balancers, so that a zone's keys leave and
// return in one order.
func keyPosition(key uint64) float64 { return float64(key*hashMultiplier>>11) / (1 << 53) }

// SetEvacuation sets which share of the keys, from 0 to 1, does not go to a zone's endpoints from now on.
//
// It is no longer remembered where keys that come back were read last: else they would stay there for as long as many
// reads miss. For fillTime after the last step, in nanoseconds, the zone's endpoints are not passed over as slow: their
// answers are fetches, and a cache that is passed over for that would never fill.
func (b *Balancer) SetEvacuation(zone int, share float64, fillTime int64) {
	before := 0.0
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if endpoint.zone != zone || !endpoint.isKnown() {
			continue
		}
		before = max(before, endpoint.evacuated.share)
		if share > 0 || endpoint.evacuated.share > 0 {
			endpoint.evacuated.cacheFillsUntil = b.clock.now + fillTime
		}
		endpoint.evacuated.share = share
	}
	for n := range b.recentKeys {
		if position := keyPosition(b.recentKeys[n].key); position >= share && position < before {
			b.recentKeys[n] = keyRecord{}
		}
	}
}
