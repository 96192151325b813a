package policy

import "math"

// Which endpoints a key belongs to: weighted rendezvous hashing (Thaler and Ravishankar, 1998). Each ready endpoint gets a score from its hash, the key and its weight;
// the highest scores are the key's candidates, the same at all balancers. A wider set contains the narrower one, and a change of the list moves
// only the keys of the endpoints that came or went. This guards caches against each balancer filling them with keys of its own.

const (
	// initialCandidates is among how many endpoints the first attempt chooses: one spreads no load, more hold each key more often.
	initialCandidates = 3

	// expansionFactor widens the set after a rejection: 3, 21, 147, all.
	expansionFactor = 7
)

// candidate is an endpoint with its score for a key: the larger, the earlier.
type candidate struct {
	score    float64
	endpoint int
}

// rankCandidates puts the first count endpoints of a key's ranking at the front of b.candidates and returns how many there are. They are in the order of the ranking,
// but where all are candidates and the order does not matter, in that of the list.
func (b *Balancer) rankCandidates(key uint64, count int, ordered bool) int {
	if count >= len(b.ready) && !ordered {
		for place, endpoint := range b.ready {
			b.candidates[place].endpoint = endpoint
		}
		return len(b.ready)
	}
	n := 0
	for _, index := range b.ready {
		score := b.rendezvousScore(key, index)
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

// rendezvousScore is the logarithm of a uniform hash over the endpoint's weight, so that keys fall in proportion to weights. A zone that the key is
// kept out of stands last.
func (b *Balancer) rendezvousScore(key uint64, index int) float64 {
	endpoint := &b.endpoints[index]
	mix := (key ^ endpoint.hash) * 0x9e3779b97f4a7c15
	mix = (mix ^ mix>>32) * 0xd6e8feb86659fd93
	mix ^= mix >> 32
	uniform := (float64(mix>>11) + 0.5) / (1 << 53)
	return math.Log(uniform)/endpoint.weight - endpoint.evacuationPenalty(key)
}

// evacuation is how far a zone's endpoints are kept free of keys (package evacuation decides it for the fleet).
type evacuation struct {
	share           float64 // of the keys that do not go there
	cacheFillsUntil int64   // it is slow until then, as its cache fills
}

// evacuationPenalty sets an endpoint last in a key's ranking while the key does not go to its zone. One for which this balancer holds the probe lease
// is ranked as ever.
func (e *endpointState) evacuationPenalty(key uint64) float64 {
	if e.evacuated.share > 0 && !e.outlier.isProbe() && keyPosition(key) < e.evacuated.share {
		return math.Inf(1)
	}
	return 0
}

// keyPosition is where a key stands among all, from 0 to 1, the same at all balancers, so that a zone's keys leave and return in one order.
func keyPosition(key uint64) float64 { return float64(key*0x9e3779b97f4a7c15>>11) / (1 << 53) }

// SetEvacuation sets which share of the keys does not go to a zone's endpoints now. Keys that come back are free of where they were read last: else they would
// stay there for as long as many reads miss. For the time of fillTime after the last step the zone's endpoints are not passed over as slow: their answers are
// fetches, and a cache that is passed over for that never fills.
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
