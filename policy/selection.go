package policy

import "math"

// Selection of the endpoint of an attempt among a key's candidates: one at random, passing over those whose load or
// latency is well above the mean (randomized load balancing over a few hashed choices). The inputs are the attempts in
// flight per unit of weight, both current and averaged, and the latency in nanoseconds.
//
// The latency of an endpoint is computed by Little's law: the average number of attempts in flight, divided by the rate
// at which attempts are sent. This also covers an endpoint that answers nothing. With hundreds of balancers, each one
// rarely has an attempt in flight at an endpoint when the next request arrives, so the current number alone says
// little. The average and the latency make up for that.
//
// Without this rule, a slow endpoint would still serve a third of the requests of its keys, and its answers would be
// late while other endpoints are idle. The probability of being passed over grows with the latency of an endpoint
// relative to the mean, so it falls again when the others get slower. The decision is random so that balancers with
// equal observations do not all change endpoints at the same time.

const (
	// overloadRatio is the multiple of the mean load above which an endpoint is passed over.
	overloadRatio = 1.1

	// overloadSlack is added to that limit to allow for random variation.
	overloadSlack = 0.3

	// latencyExponent is the power to which a uniform draw is raised. With 1/5, an endpoint slower than the mean is
	// kept with probability (mean latency / its latency)^5.
	latencyExponent = 0.2

	// excessiveLatencyRatio is the multiple of the mean latency above which an endpoint is left out until all endpoints
	// are candidates. If all candidates are left out, the candidate set grows as it does after a rejection: the load of
	// a single key can exceed what its candidates can serve.
	excessiveLatencyRatio = 3.0

	// priorAttempts is the weight, in attempts, of the prior in a latency estimate: the mean latency of a larger group,
	// such as all endpoints of the same machine type.
	priorAttempts = 2.0

	// rejectionWeight is the number of attempts in flight that a rejection counts as: it is evidence of the load from
	// other balancers.
	rejectionWeight = 2.0

	// maxConnectFailureRatio is the ratio of failed connections to successful attempts from which on endpoints in the
	// balancer's own zone are no longer preferred. A zone outage is discovered endpoint by endpoint, and it may be the
	// own zone that is lost.
	maxConnectFailureRatio = 0.05
)

// loadMeter holds the number of attempts in flight and its average over time.
type loadMeter struct {
	inFlight int
	average  average
}

// advanceAverage updates the average to the present. It must be called before inFlight changes.
func (m *loadMeter) advanceAverage(activityTime int64) { m.average.Update(activityTime, m.inFlight) }

// latencyRecord holds decaying sums of the latency of attempts at the endpoints of one machine type, or at all
// endpoints.
type latencyRecord struct {
	answers  sum
	time     sum // total latency of these answers, in nanoseconds
	rejected sum // rejections; each counts as an attempt that took timeConstant
}

// mean returns the mean latency of an attempt, in nanoseconds. others, the mean of a larger group, counts as
// priorAttempts attempts, so it dominates while there are few answers.
func (l *latencyRecord) mean(activityTime int64, others float64) float64 {
	rejected := l.rejected.ValueAt(activityTime)
	n := l.answers.ValueAt(activityTime) + rejected + priorAttempts
	return (l.time.ValueAt(activityTime) + rejected*float64(timeConstant) + priorAttempts*others) / n
}

// meanLatency returns the mean latency of attempts at caches, in nanoseconds.
func (b *Balancer) meanLatency() float64 { return b.fleetwide.latency.mean(b.clock.activityTime, 0) }

// loadAndLatency returns the average number of attempts in flight at an endpoint per unit of weight, and the latency of
// an attempt there in nanoseconds. The mean latency of the endpoint's machine type is the prior of the latency. While
// the endpoint's cache fills after an evacuation, its latency is capped at the mean of all caches.
func (b *Balancer) loadAndLatency(index int) (load, latency float64) {
	endpoint := &b.endpoints[index]
	activityTime := b.clock.activityTime
	attempts := endpoint.attempts.ValueAt(activityTime)
	own := endpoint.load.average.Update(activityTime, endpoint.load.inFlight) + rejectionWeight*endpoint.rejected.ValueAt(activityTime)
	prior := b.machineTypes[endpoint.machineType].latency.mean(activityTime, b.meanLatency())
	latency = (own*float64(timeConstant)/b.clock.rate + priorAttempts*prior) / (attempts + priorAttempts)
	if b.clock.now < endpoint.evacuated.cacheFillsUntil {
		latency = min(latency, b.meanLatency())
	}
	return own / endpoint.weight, latency
}

// selectionOrder defines the order in which the candidates of a request are tried.
type selectionOrder struct {
	ordered bool // by rank instead of at random: the miss rate is high, and a key should be fetched for one cache only
	strict  bool // also regardless of load: the origin is failing, or all balancers agree that the miss rate is high
}

// selectionOrder returns the order that the recent miss rate calls for.
func (b *Balancer) selectionOrder() selectionOrder {
	activityTime := b.clock.activityTime
	ordered := b.misses.areMissesFrequent(activityTime)
	strict := ordered && (b.widespreadMisses || b.misses.isOriginFailing(activityTime, 1))
	return selectionOrder{ordered, strict}
}

// selectEndpoint returns a candidate whose load and latency are not well above the mean. If there is none, it returns
// the candidate with the least load. It passes over suspected outliers; only if all endpoints are candidates and every
// one that may be tried is suspected, it returns the suspect with the fewest attempts in flight. It returns noEndpoint
// if no candidate qualifies.
func (b *Balancer) selectEndpoint(now int64, request *requestState) int {
	order := b.selectionOrder()
	n := b.rankCandidates(request.key, request.candidateCount, order.ordered)
	maxLoad := b.maxLoad()
	if order.ordered && !order.strict {
		b.moveLastReadFirst(request.key, n)
	}
	local := b.moveLocalFirst(n, order.strict)
	maxLatency := b.maxLatency()
	leastLoaded, leastBusySuspect, leastLoad := noEndpoint, noEndpoint, 0.0
	for ; n > 0; n, local = n-1, local-1 {
		index := b.drawCandidate(n, local, order.ordered)
		if !b.canAttempt(now, request, index) {
			continue
		}
		endpoint := &b.endpoints[index]
		if b.isSuspected(request, index) {
			if leastBusySuspect == noEndpoint || endpoint.load.inFlight < b.endpoints[leastBusySuspect].load.inFlight {
				leastBusySuspect = index
			}
			continue
		}
		load, latency := b.loadAndLatency(index)
		load += float64(endpoint.load.inFlight)
		if b.hasExcessiveLatency(request, endpoint, latency) {
			continue
		}
		if order.strict || b.isNearMean(load, maxLoad, latency, maxLatency) {
			return index
		}
		if leastLoaded == noEndpoint || load < leastLoad {
			leastLoaded, leastLoad = index, load
		}
	}
	if leastLoaded == noEndpoint && request.candidateCount >= len(b.ready) {
		return leastBusySuspect
	}
	return leastLoaded
}

// maxLoad returns the load above which an endpoint is passed over. It is based on the sum of the current and the
// average load of the mean endpoint.
func (b *Balancer) maxLoad() float64 {
	mean := float64(b.load.inFlight)/float64(max(1, len(b.ready))) +
		b.load.average.Update(b.clock.activityTime, b.load.inFlight)/max(1, b.totalWeight)
	return overloadRatio*mean + overloadSlack
}

// maxLatency returns the latency, in nanoseconds, above which an endpoint may be passed over. With cache-aside it is
// excessiveLatencyRatio times as high, as each key that moves costs an extra attempt and an origin fetch.
func (b *Balancer) maxLatency() float64 {
	if b.settings.cacheAside {
		return b.meanLatency() * excessiveLatencyRatio
	}
	return b.meanLatency()
}

// hasExcessiveLatency reports whether an endpoint is left out because of its latency until all endpoints are
// candidates. An endpoint for which this balancer holds the probe lease is never left out.
func (b *Balancer) hasExcessiveLatency(request *requestState, endpoint *endpointState, latency float64) bool {
	if request.candidateCount >= len(b.ready) || endpoint.outlier.isProbe() {
		return false
	}
	return latency > excessiveLatencyRatio*b.meanLatency()
}

// isNearMean reports whether an endpoint's load is at most maxLoad and its latency passes a random check against
// maxLatency. It draws no random number if the load is too high.
func (b *Balancer) isNearMean(load, maxLoad, latency, maxLatency float64) bool {
	if load <= maxLoad {
		return math.Pow(b.random.float64(), latencyExponent)*latency <= maxLatency
	}
	return false
}

// moveLastReadFirst moves the cache that answered a key last to the front of the first n candidates, so that the key is
// fetched for one cache only while the miss rate is high.
func (b *Balancer) moveLastReadFirst(key uint64, n int) {
	last := b.recentKeys[key%recentKeySlots]
	if last.key != key {
		return
	}
	for position := range n {
		if b.candidates[position].endpoint == last.endpoint {
			b.candidates[0], b.candidates[position] = b.candidates[position], b.candidates[0]
		}
	}
}

// moveLocalFirst moves the preferred ones among the first n candidates to the front, keeping their order, and returns
// their number. Preferred are endpoints in this balancer's zone, as traffic between zones is expensive, and those for
// which it holds the probe lease. It moves none if the order is strict, as all balancers must then use the same order,
// nor while many connections fail.
func (b *Balancer) moveLocalFirst(n int, isStrict bool) (local int) {
	connectFailures := b.connectFailures.ValueAt(b.clock.activityTime)
	if isStrict || n == 0 {
		return 0
	}
	if connectFailures >= maxConnectFailureRatio*(b.outcomes.successes.ValueAt(b.clock.activityTime)+1) {
		return 0
	}
	for position := range n {
		candidate := b.candidates[position]
		endpoint := &b.endpoints[candidate.endpoint]
		if endpoint.zone == b.settings.zone || endpoint.outlier.isProbe() {
			copy(b.candidates[local+1:position+1], b.candidates[local:position])
			b.candidates[local] = candidate
			local++
		}
	}
	return local
}

// drawCandidate removes one of the first n candidates and returns its endpoint: the first one if ordered, else a random
// one of the first local candidates, or of all n if local is 0 or less.
func (b *Balancer) drawCandidate(n, local int, ordered bool) int {
	position := 0
	if !ordered {
		if local <= 0 {
			local = n
		}
		position = b.random.intN(local)
	}
	index := b.candidates[position].endpoint
	copy(b.candidates[position:n], b.candidates[position+1:n])
	return index
}

// canAttempt reports whether a candidate may get the next attempt: the eligibility rules allow it, there are retry
// tokens for a retry, and the request has not tried it yet. An endpoint may be tried again once the request has had as
// many attempts as there are ready endpoints.
func (b *Balancer) canAttempt(now int64, request *requestState, index int) bool {
	if !b.isEligible(now, request, index) {
		return false
	}
	isRetry := len(request.attempts) > 0
	if isRetry && !(b.retries.hasToken() && b.endpoints[index].retries.hasToken()) {
		return false
	}
	return !request.hasTried(index) || len(b.ready) <= len(request.attempts)
}

// isSuspected reports whether a candidate is passed over as an outlier. An endpoint for which this balancer holds the
// probe lease gets no non-idempotent request, as the probe may be lost with its effect unknown.
func (b *Balancer) isSuspected(request *requestState, index int) bool {
	if b.endpoints[index].outlier.isProbe() && b.settings.classes[request.class].effect == NonIdempotent {
		return true
	}
	return b.isOutlier(index, b.random.float64)
}
