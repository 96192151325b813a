package policy

import "math"

// Candidate ranking by weighted rendezvous hashing (Thaler and Ravishankar, 1998). The score of a ready endpoint for a
// key is log(uniform hash of the key and the endpoint) / weight, and the endpoints with the highest scores are the
// key's candidates. All balancers compute the same candidates without communicating.
//
// A larger candidate set contains every smaller one, and a change of the endpoint list moves only the keys of the
// endpoints that were added or removed. If balancers ranked endpoints differently, each would store a key in other
// caches, and the miss rate would rise with the number of balancers. The endpoints of an evacuated zone rank last for
// the keys that are excluded from the zone (package evacuation).

const (
	// initialCandidates is the number of candidates of a request's first attempt. A single candidate would have to
	// serve all requests for a hot key; more than three would store each key in more caches and leave room for fewer
	// keys.
	initialCandidates = 3

	// expansionFactor multiplies the number of candidates after a rejection: 3, 21, 147, and so on up to all endpoints.
	expansionFactor = 7

	// Multipliers of the hash: 2^64 divided by the golden ratio (Knuth's multiplicative hashing), and the constant of a
	// 64-bit mixer.
	hashMultiplier = 0x9e3779b97f4a7c15
	mixMultiplier  = 0xd6e8feb86659fd93
)

// candidate is an endpoint with its score for a key. A higher score ranks first.
type candidate struct {
	score    float64
	endpoint int
}

// rankCandidates writes the top count endpoints for a key to the front of b.candidates, best first, and returns their
// number. If every ready endpoint is a candidate and ordered is false, it skips the scoring and keeps the order of
// b.ready.
func (b *Balancer) rankCandidates(key uint64, count int, ordered bool) int {
	if count >= len(b.ready) && !ordered {
		for position, endpoint := range b.ready {
			b.candidates[position].endpoint = endpoint
		}
		return len(b.ready)
	}
	n := 0
	for _, index := range b.ready {
		endpoint := &b.endpoints[index]
		// Dividing the logarithm by the weight distributes keys in proportion to the weights.
		score := math.Log(rendezvousHash(key, endpoint.hash))/endpoint.weight - endpoint.evacuationPenalty(key)
		if n < count {
			n++
		} else if score <= b.candidates[n-1].score {
			continue
		}
		position := n - 1
		for ; position > 0 && b.candidates[position-1].score < score; position-- {
			b.candidates[position] = b.candidates[position-1]
		}
		b.candidates[position] = candidate{score, index}
	}
	return n
}

// rendezvousHash returns a hash of a key and an endpoint that is uniformly distributed between 0 and 1.
func rendezvousHash(key, endpointHash uint64) float64 {
	mix := (key ^ endpointHash) * hashMultiplier
	mix = (mix ^ mix>>32) * mixMultiplier
	mix ^= mix >> 32
	return (float64(mix>>11) + 0.5) / (1 << 53)
}

// evacuation is the evacuation state of an endpoint's zone. Package evacuation decides it for the whole fleet.
type evacuation struct {
	excludedShare   float64 // share of the keys that are not sent to the zone, 0 to 1
	cacheFillsUntil int64   // until then the endpoint is expected to be slow, as its cache is filling
}

// evacuationPenalty returns the amount to subtract from an endpoint's score: infinity if the key is excluded from the
// endpoint's zone, so that the endpoint ranks last, else 0. It is always 0 for an endpoint for which this balancer
// holds the probe lease.
func (e *endpointState) evacuationPenalty(key uint64) float64 {
	if e.evacuated.excludedShare > 0 && !e.outlier.isProbe() && keyPosition(key) < e.evacuated.excludedShare {
		return math.Inf(1)
	}
	return 0
}

// keyPosition maps a key to a position from 0 up to 1. All balancers compute the same position, so that they all move
// keys out of a zone, and back, in the same order.
func keyPosition(key uint64) float64 { return float64(key*hashMultiplier>>11) / (1 << 53) }

// SetEvacuation sets the share of the keys, from 0 to 1, that are no longer sent to a zone's endpoints.
//
// It forgets which endpoint answered a returning key last. Otherwise the key would stay at that endpoint for as long as
// the miss rate is high. For fillTime nanoseconds after each step of an evacuation, the zone's endpoints are not
// passed over for their latency: their answers need origin fetches, and a cache that is passed over for that would
// never fill.
func (b *Balancer) SetEvacuation(zone int, share float64, fillTime int64) {
	previousShare := 0.0
	for index := range b.endpoints {
		endpoint := &b.endpoints[index]
		if endpoint.zone != zone || !endpoint.isKnown() {
			continue
		}
		previousShare = max(previousShare, endpoint.evacuated.excludedShare)
		if share > 0 || endpoint.evacuated.excludedShare > 0 {
			endpoint.evacuated.cacheFillsUntil = b.clock.now + fillTime
		}
		endpoint.evacuated.excludedShare = share
	}
	for n := range b.recentKeys {
		if position := keyPosition(b.recentKeys[n].key); position >= share && position < previousShare {
			b.recentKeys[n] = keyRecord{}
		}
	}
}
